package applier

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/state/filer"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestRepliesWaitForSync guards against an acknowledgement, or a vote, that a loss of power takes back: it is sent while the
// disk has not taken what it relies on.
func TestRepliesWaitForSync(t *testing.T) {
	for name, m := range map[string]*messages.Message{
		"append":               {Kind: messages.Kind_KIND_APPEND, Entries: emptyEntries(1, 1, 3)},
		"vote":                 {Kind: messages.Kind_KIND_VOTE},
		"append of a new term": {Kind: messages.Kind_KIND_APPEND},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			disk, sent := &outageDisk{}, make(chan *messages.Message, 100)
			a, err := New(Options{
				Name: "0", Files: filer.Faulty{Files: filer.Disk{}, Fault: disk.fault}, Folder: t.TempDir(),
				Bootstrap: &messages.Members{Voters: []*messages.Member{{Name: "0"}, {Name: "1"}, {Name: "2"}}}, Tick: time.Hour, SnapshotEvery: 1000,
				Now: time.Now, Send: func(list []*messages.Message) {
					for _, reply := range list {
						sent <- reply
					}
				}, Deliver: func(uint64, uint64, bool, []scheduler.Order) {}, Log: zap.NewNop(),
			})
			is.NoErr(err)
			defer a.Stop()
			disk.set(false, 0, make(chan struct{}))
			m.From, m.To, m.Term = "1", "0", 1
			is.NoErr(a.Step(context.Background(), []*messages.Message{m}))
			select {
			case reply := <-sent:
				t.Errorf("%v sent before the sync", reply.GetKind())
			case <-time.After(100 * time.Millisecond):
			}
			disk.set(false, 0, nil)
			select {
			case reply := <-sent:
				is.True(!reply.GetRefused())
			case <-time.After(10 * time.Second):
				t.Error("no reply")
			}
		})
	}
}
