package scheduler

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// FuzzDecode decodes arbitrary bytes as a log entry. An event that is decoded must keep its kind when it is
// encoded and decoded again.
func FuzzDecode(f *testing.F) {
	queues := ChangeQueues{Change: &messages.QueueChange{Cancels: []string{"j"}}}
	evacuation := ChangeQueues{Change: &messages.QueueChange{Evacuations: []*messages.EvacuationOrder{{Place: "a"}}}}
	first := ApplyManifest{Text: []byte("{}")}
	for _, e := range []Event{first, Announce{}, WorkerLost{Worker: "w"}, Submit{Org: "o"}, Cancel{Keys: []string{"k"}}, Report{Acks: []Ack{{}}}, Tick{}, queues, evacuation} {
		data, err := Encode(time.Unix(1, 0).UTC(), e)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		now, e, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Encode(now, e)
		if err != nil {
			return // for example a year after 9999
		}
		_, back, err := Decode(again)
		if err != nil || kindOf(back) != kindOf(e) {
			t.Fatalf("%T is %T after a round trip: %v", e, back, err)
		}
	})
}

func TestDecodeRejectsUnknownFormats(t *testing.T) {
	is := is.New(t)
	_, _, err := Decode([]byte(`{"format": 3, "kind": "tick"}`))
	is.Equal(err.Error(), "decode entry: format 3, want at most 2")
	_, _, err = Decode([]byte(`{"format": 2, "kind": "tick"}`))
	is.Equal(err.Error(), `decode entry "tick": unknown kind`)
	_, _, err = Decode([]byte(`{"format": 1, "kind": "queues", "body": ""}`))
	is.Equal(err.Error(), `decode entry "queues": unknown kind`)
	_, _, err = Decode([]byte(`{"format": 1, "kind": "dance"}`))
	is.Equal(err.Error(), `decode entry "dance": unknown kind`)
}

// TestEvacuationsHaveTheirOwnFormat guards against an earlier build that applies an entry, or restores a snapshot, without the
// evacuations in it: such a keeper would start tasks where the others start none. What holds no evacuation stays as
// earlier builds read it.
func TestEvacuationsHaveTheirOwnFormat(t *testing.T) {
	is := is.New(t)
	now := time.Unix(7, 0).UTC()
	change := func(over bool) ChangeQueues {
		return ChangeQueues{Change: &messages.QueueChange{Time: 7000, Evacuations: []*messages.EvacuationOrder{{Place: "north", Over: over, By: "op"}}}}
	}
	formatOf := func(data []byte) int {
		var head struct {
			Format int `json:"format"`
		}
		is.NoErr(json.Unmarshal(data, &head))
		return head.Format
	}
	data, err := Encode(now, change(false))
	is.NoErr(err)
	is.Equal(formatOf(data), 2)
	at, event, err := Decode(data)
	is.NoErr(err)
	is.Equal(at, now)
	is.True(proto.Equal(event.(ChangeQueues).Change, change(false).Change))
	plain, err := Encode(now, ChangeQueues{Change: &messages.QueueChange{Cancels: []string{"j"}}})
	is.NoErr(err)
	is.Equal(plain[0], byte(queueEntryTag))

	s := New()
	for _, c := range []struct {
		event  ChangeQueues
		format int
	}{{ChangeQueues{Change: &messages.QueueChange{}}, 1}, {change(false), 2}, {change(true), 1}} {
		s.Step(now, c.event)
		saved, err := s.Save()
		is.NoErr(err)
		is.Equal(formatOf(saved), c.format)
		restored, err := Restore(saved)
		is.NoErr(err)
		is.Equal(restored.Queues().IsEvacuated("north"), c.format == 2)
	}
	_, err = Restore([]byte(`{"format": 3}`))
	is.Equal(err.Error(), "restore scheduler state: format 3, want 1 or 2")
}
