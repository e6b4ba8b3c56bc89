package applier

import (
	"context"
	"hash/crc32"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/state/filer"
	"github.com/bluebellgauge/bluebellgauge/internal/state/replicator"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// follower is a replica that never campaigns. The test sends it the messages of its leaders.
type follower struct {
	*Applier
	t       *testing.T
	lines   *observer.ObservedLogs
	replies chan struct{}
}

func startFollower(t *testing.T, folder string) *follower {
	t.Helper()
	core, lines := observer.New(zap.InfoLevel)
	replies := make(chan struct{}, 1)
	a, err := New(Options{
		Name: "0", Files: filer.Disk{}, Folder: folder, Bootstrap: &messages.Members{Voters: []*messages.Member{{Name: "0"}, {Name: "1"}, {Name: "2"}}},
		Tick: time.Hour, SnapshotEvery: 1000, Now: time.Now, Send: func(list []*messages.Message) {
			for range list {
				replies <- struct{}{}
			}
		},
		Deliver: func(uint64, uint64, bool, []scheduler.Order) {}, Log: zap.New(core),
	})
	if err != nil {
		t.Fatal(err)
	}
	return &follower{a, t, lines, replies}
}

// step sends a message and waits for its reply.
func (f *follower) step(m *messages.Message) {
	f.t.Helper()
	m.To = "0"
	if err := f.Step(context.Background(), []*messages.Message{m}); err != nil {
		f.t.Fatal(err)
	}
	select {
	case <-f.replies:
	case <-time.After(10 * time.Second):
		f.t.Fatal("no reply")
	}
}

// fields returns the fields of the only line with a message.
func (f *follower) fields(message string) map[string]any {
	f.t.Helper()
	list := f.lines.FilterMessage(message).All()
	for deadline := time.Now().Add(10 * time.Second); len(list) == 0 && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		list = f.lines.FilterMessage(message).All()
	}
	if len(list) != 1 {
		f.t.Fatalf("%d lines %q, want 1", len(list), message)
	}
	return list[0].ContextMap()
}

func emptyEntries(term, from, to uint64) (list []*messages.Entry) {
	for i := from; i <= to; i++ {
		list = append(list, &messages.Entry{Index: i, Term: term, Kind: messages.EntryKind_ENTRY_EMPTY})
	}
	return list
}

func equalFields(is *is.I, got, want map[string]any) {
	is.Helper()
	for name, value := range want {
		is.Equal(map[string]any{name: got[name]}, map[string]any{name: value})
	}
	is.Equal(len(got), len(want))
}

// TestStoredStateIsLogged guards against a replica that has lost what it acknowledged, and nothing in the logs says what it
// read back: from a new folder, after a torn write, and after its folder was reset.
func TestStoredStateIsLogged(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	f := startFollower(t, folder)
	want := map[string]any{
		"folder": folder, "identity": f.Identity(), "new": true, "reset": false, "torn": int64(0), "snapshot": uint64(0), "snapshotterm": uint64(0),
		"last": uint64(0), "lastterm": uint64(0), "term": uint64(0), "vote": "", "led": uint64(0), "committed": uint64(0), "applied": uint64(0),
		"voters": []any{"0", "1", "2"}, "learners": []any{},
	}
	equalFields(is, f.fields("replica starts"), want)
	f.step(&messages.Message{Kind: messages.Kind_KIND_APPEND, From: "1", Term: 3, Commit: 2, Entries: emptyEntries(3, 1, 4)})
	f.Stop()
	equalFields(is, f.fields("replica stopped"), map[string]any{
		"term": uint64(3), "applied": uint64(2), "committed": uint64(2), "synced": uint64(4),
	})

	log, err := os.OpenFile(filepath.Join(folder, "log"), os.O_APPEND|os.O_WRONLY, 0)
	is.NoErr(err)
	_, err = log.Write(make([]byte, 5))
	is.NoErr(err)
	is.NoErr(log.Close())
	f = startFollower(t, folder)
	f.Stop()
	want["new"], want["torn"], want["last"], want["lastterm"], want["term"], want["committed"] = false, int64(5), uint64(4), uint64(3), uint64(3), uint64(2)
	equalFields(is, f.fields("replica starts"), want)

	is.NoErr(os.WriteFile(filepath.Join(folder, "log"), []byte("no log"), 0))
	f = startFollower(t, folder)
	f.Stop()
	got := f.fields("replica starts")
	is.Equal(got["new"], true)
	is.Equal(got["reset"], true)
	is.Equal(got["last"], uint64(0))
	is.Equal(got["voters"], []any{})
	is.True(got["identity"] != want["identity"])
}

// TestReplacedEntriesAreLogged guards against acknowledged entries that a leader replaces, or a snapshot that it installs,
// and nothing in the logs says which.
func TestReplacedEntriesAreLogged(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	f := startFollower(t, folder)
	f.step(&messages.Message{Kind: messages.Kind_KIND_APPEND, From: "1", Term: 1, Commit: 2, Entries: emptyEntries(1, 1, 5)})
	f.step(&messages.Message{Kind: messages.Kind_KIND_APPEND, From: "2", Term: 2, Index: 3, Logterm: 1, Commit: 3, Entries: emptyEntries(2, 4, 4)})
	equalFields(is, f.fields("log truncated"), map[string]any{
		"from": uint64(4), "dropped": int64(2), "leader": "2", "term": uint64(2), "applied": uint64(2), "committed": uint64(3), "synced": uint64(3),
	})

	members := &messages.Members{Voters: []*messages.Member{{Name: "0", Identity: f.Identity()}, {Name: "2"}}, Learners: []*messages.Member{{Name: "3"}}}
	f.step(&messages.Message{Kind: messages.Kind_KIND_APPEND, From: "2", Term: 2, Index: 4, Logterm: 2, Commit: 5, Entries: []*messages.Entry{
		{Index: 5, Term: 2, Kind: messages.EntryKind_ENTRY_MEMBERS, Data: replicator.EncodeMembers(members)},
	}})
	equalFields(is, f.fields("membership applied"), map[string]any{
		"index": uint64(5), "term": uint64(2), "voters": []any{"0 " + f.Identity(), "2"}, "learners": []any{"3"},
	})

	data, err := scheduler.New().Save()
	is.NoErr(err)
	f.step(&messages.Message{Kind: messages.Kind_KIND_SNAPSHOT, From: "2", Term: 2, Chunk: &messages.Chunk{
		Index: 9, Term: 2, Members: members, Total: uint64(len(data)), Data: data, Checksum: crc32.Checksum(data, crc32.MakeTable(crc32.Castagnoli)),
	}})
	equalFields(is, f.fields("snapshot installed"), map[string]any{
		"index": uint64(9), "snapshotterm": uint64(2), "previous": uint64(5), "dropped": int64(0), "leader": "2",
		"term": uint64(2), "applied": uint64(9), "committed": uint64(9), "synced": uint64(9),
	})
	f.Stop()
	f = startFollower(t, folder)
	f.Stop()
	got := f.fields("replica starts")
	is.Equal(got["snapshot"], uint64(9))
	is.Equal(got["snapshotterm"], uint64(2))
	is.Equal(got["last"], uint64(9))
	is.Equal(got["applied"], uint64(9))
	is.Equal(got["learners"], []any{"3"})
}

// TestLeadershipIsLogged guards against changes of leader of which the logs don't say how far the log of the leader was
// committed.
func TestLeadershipIsLogged(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zap.InfoLevel)
	c := newTestClusterOnDisks(t, 1000, true, func(o *Options) { o.Log = zap.New(core).With(zap.String("replica", o.Name)) })
	leader := c.leader()
	list := c.linesOf(lines, leader, "leadership changed", true)
	is.True(len(list) > 0)
	fields := list[len(list)-1].ContextMap()
	is.Equal(fields["leader"], leader.opts.Name)
	for _, name := range []string{"term", "applied", "committed", "synced"} {
		_, ok := fields[name].(uint64)
		is.True(ok)
	}
}
