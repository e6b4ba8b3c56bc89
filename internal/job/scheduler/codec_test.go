package scheduler

import (
	"encoding/json"
	"fmt"
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
	_, _, err := Decode([]byte(`{"format": 4, "kind": "tick"}`))
	is.Equal(err.Error(), "decode entry: format 4, want at most 3")
	_, _, err = Decode([]byte(`{"format": 3, "kind": "tick"}`))
	is.Equal(err.Error(), `decode entry "tick": unknown kind`)
	_, _, err = Decode([]byte(`{"format": 2, "kind": "tick"}`))
	is.Equal(err.Error(), `decode entry "tick": unknown kind`)
	_, _, err = Decode([]byte(`{"format": 1, "kind": "queues", "body": ""}`))
	is.Equal(err.Error(), `decode entry "queues": unknown kind`)
	_, _, err = Decode([]byte(`{"format": 1, "kind": "dance"}`))
	is.Equal(err.Error(), `decode entry "dance": unknown kind`)
}

// recode returns an event after its encoding, which must have a format, and decoding.
func recode(t *testing.T, e Event, format int) Event {
	t.Helper()
	is := is.New(t)
	now := time.Unix(1_000, 0).UTC()
	data, err := Encode(now, e)
	is.NoErr(err)
	is.Equal(formatOf(t, data), format)
	at, decoded, err := Decode(data)
	is.NoErr(err)
	is.Equal(at, now)
	return decoded
}

// formatOf returns the format of an entry or of a snapshot.
func formatOf(t *testing.T, data []byte) int {
	t.Helper()
	var head struct {
		Format int `json:"format"`
	}
	is.New(t).NoErr(json.Unmarshal(data, &head))
	return head.Format
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
	is.True(proto.Equal(recode(t, change(false), 2).(ChangeQueues).Change, change(false).Change))
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
		is.Equal(formatOf(t, saved), c.format)
		restored, err := Restore(saved)
		is.NoErr(err)
		is.Equal(restored.Queues().IsEvacuated("north"), c.format == 2)
	}
	_, err = Restore([]byte(`{"format": 3}`))
	is.Equal(err.Error(), "restore scheduler state: format 3, want 1 or 2")
}

// TestInheritedCheckpointsAreRefusedByEarlierBuilds guards against a keeper of an earlier build that starts such a run without
// its checkpoint.
func TestInheritedCheckpointsAreRefusedByEarlierBuilds(t *testing.T) {
	is := is.New(t)
	change := &messages.QueueChange{Starts: []*messages.Run{{Job: "j", Number: 2, Inherits: true}}}
	is.True(proto.Equal(recode(t, ChangeQueues{Change: change}, 2).(ChangeQueues).Change, change))
}

// TestRemovedHealthIsRefusedByEarlierBuilds guards against keepers whose health records differ: those of an earlier build keep
// the records that this entry removes.
func TestRemovedHealthIsRefusedByEarlierBuilds(t *testing.T) {
	is := is.New(t)
	is.Equal(recode(t, PruneHealth{}, 3), PruneHealth{})
	_, _, err := Decode([]byte(`{"format": 2, "kind": "health"}`))
	is.Equal(err.Error(), `decode entry "health": unknown kind`)
}

// TestHealthIsPruned guards against health records of workers that have left and of jobs that have ended, which grew with the
// state and its snapshots.
func TestHealthIsPruned(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000, 0).UTC()
	s := New()
	s.Step(now, Announce{Worker: WorkerInfo{Name: "here", Place: "p", Service: "s", Incarnation: 1, Slots: 8}})
	s.health.RecordFailure(now, "here", "left")
	is.Equal(s.RemovableHealth(), 0)
	for i := range removableHealth {
		s.health.RecordFailure(now, fmt.Sprint("gone", i), "poison")
	}
	is.True(s.RemovableHealth() >= removableHealth)
	s.Step(now, PruneHealth{})
	is.Equal(s.RemovableHealth(), 0)
	is.Equal(len(s.health.Workers), 1)
	is.Equal(len(s.health.Jobs), 0)
}

// TestReasonsOfEarlierBuilds guards against a snapshot that can't be read, or a reason that is lost, because the text of reasons has
// changed since the snapshot was written.
func TestReasonsOfEarlierBuilds(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000, 0).UTC()
	s := New()
	s.Step(now, ApplyManifest{Text: []byte(`{"version": 1, "places": [{"name": "p", "service": "s", "racks": 1, "workers": 1, "slots": 8,
		"processors": 8, "memory": 8}], "organisations": [{"name": "o", "token": "` + fmt.Sprintf("%064d", 0) + `"}]}`)})
	submit := Submit{Org: "o", Key: "k"}
	submit.Job.Service = "s"
	s.Step(now, submit)
	j := s.jobs[JobID("o", "k")]
	is.True(j != nil)
	for _, reason := range []string{"its room was taken back for other", "its room went to a guarantee"} {
		j.Reason = reason
		data, err := s.Save()
		is.NoErr(err)
		restored, err := Restore(data)
		is.NoErr(err)
		is.Equal(restored.jobs[j.ID].Reason, reason)
	}
}
