package forwarder

import (
	"context"
	"hash/crc32"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/state/applier"
	"github.com/bluebellgauge/bluebellgauge/internal/state/filer"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestNewGroupDoesNotReplaceState guards against the loss of the last copy of what was accepted: two of three disks are
// replaced at one time, their replicas start a new group, and its leader sends its snapshot to the third replica.
func TestNewGroupDoesNotReplaceState(t *testing.T) {
	is := is.New(t)
	members := &messages.Members{Voters: []*messages.Member{{Name: "0", Identity: "old"}, {Name: "1"}, {Name: "2", Identity: "old"}}}
	sent := make(chan *messages.Message, 100)
	a, err := applier.New(applier.Options{
		Name: "1", Files: filer.Disk{}, Folder: t.TempDir(), Bootstrap: members, Tick: time.Minute, SnapshotEvery: 1000,
		Now: time.Now, Send: func(list []*messages.Message) {
			for _, m := range list {
				sent <- m
			}
		}, Deliver: func(uint64, uint64, bool, []scheduler.Order) {}, Log: zap.NewNop(),
	})
	is.NoErr(err)
	t.Cleanup(a.Stop)
	server := NewServer(ServerOptions{Replica: a})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	send := func(identity string, m *messages.Message) {
		m.From, m.To = "0", "1"
		_, _ = server.Exchange(ctx, &messages.Batch{To: "1", From: "0", Identity: identity, Messages: []*messages.Message{m}})
	}
	var entries []*messages.Entry
	for i := range uint64(10) {
		entries = append(entries, &messages.Entry{Index: i + 1, Term: 3, Kind: messages.EntryKind_ENTRY_EMPTY})
	}
	send("old", &messages.Message{Kind: messages.Kind_KIND_APPEND, Term: 3, Entries: entries, Commit: 10})
	is.Equal((<-sent).GetIndex(), uint64(10))

	send("new", &messages.Message{Kind: messages.Kind_KIND_APPEND, Term: 4, Index: 2, Logterm: 4})
	data, err := scheduler.New().Save()
	is.NoErr(err)
	send("new", &messages.Message{Kind: messages.Kind_KIND_SNAPSHOT, Term: 4, Chunk: &messages.Chunk{
		Index: 20, Term: 4, Members: members, Total: uint64(len(data)), Data: data, Checksum: crc32.Checksum(data, crc32.MakeTable(crc32.Castagnoli)),
	}})
	_, err = a.Status(ctx)
	is.NoErr(err)
	status, err := a.Status(ctx) // after the outputs of what the first one has followed
	is.NoErr(err)
	is.Equal(status.Applied, uint64(10))
	for len(sent) > 0 {
		m := <-sent
		is.True(m.GetKind() != messages.Kind_KIND_APPEND_REPLY || m.GetRefused()) // acknowledges nothing of the new group
	}
}
