package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// FuzzDecode decodes arbitrary bytes as a log entry. An event that is decoded must keep its kind when it is
// encoded and decoded again.
func FuzzDecode(f *testing.F) {
	queues := ChangeQueues{Change: &messages.QueueChange{Cancels: []string{"j"}}}
	first := ApplyManifest{Text: []byte("{}")}
	for _, e := range []Event{first, Announce{}, WorkerLost{Worker: "w"}, Submit{Org: "o"}, Cancel{Keys: []string{"k"}}, Report{Acks: []Ack{{}}}, Tick{}, queues} {
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
	_, _, err := Decode([]byte(`{"format": 2, "kind": "tick"}`))
	is.Equal(err.Error(), "decode entry: format 2, want 1")
	_, _, err = Decode([]byte(`{"format": 1, "kind": "dance"}`))
	is.Equal(err.Error(), `decode entry "dance": unknown kind`)
}
