package applier

import (
	"context"
	"hash/crc32"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/state/filer"
	"github.com/bluebellgauge/bluebellgauge/internal/state/replicator"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestSnapshotDueAfterFullDisk refuses a follower's snapshots, and then all its writes, for longer than the retry of a
// snapshot. The replica saved a snapshot of entries that the new node did not know to be committed, and panicked with
// the next commit, which ended the process.
func TestSnapshotDueAfterFullDisk(t *testing.T) {
	is := is.New(t)
	c := newTestClusterOnDisks(t, 10, true)
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	events := testEvents(22)
	next := 0
	propose := func(n int) {
		for end := next + n; next < end; next++ {
			c.proposeAny(ctx, events[next])
		}
	}
	propose(3)
	leader := c.leader()
	victim := leader
	for _, a := range c.replicas {
		if a != leader {
			victim = a
		}
	}
	disk := c.disks[victim.opts.Name]
	all := false
	disk.mu.Lock()
	disk.fillsAt = func(_ filer.Operation, path string) bool {
		disk.full = all || strings.HasSuffix(path, "/snapshot.new")
		return false
	}
	disk.mu.Unlock()
	propose(15)
	for applied, want := uint64(0), uint64(0); applied == 0 || applied < want; {
		is.NoErr(ctx.Err())
		v, err := victim.Status(ctx)
		is.NoErr(err)
		l, err := c.leader().Status(ctx)
		is.NoErr(err)
		applied, want = v.Applied, l.Applied
	}
	disk.mu.Lock()
	all = true
	disk.mu.Unlock()
	propose(2)
	time.Sleep(snapshotRetry + 200*time.Millisecond)
	disk.free()
	propose(3) // fewer than between two snapshots of the others
	is.True(isRunning(victim))
	for jobs := 0; jobs < next-1; {
		is.NoErr(ctx.Err())
		is.NoErr(victim.ReadStale(ctx, func(s *scheduler.State) { jobs = len(s.Jobs("o", true)) }))
		time.Sleep(time.Millisecond)
	}
}

// TestOldSnapshotAfterFullDisk offers a replica that was started anew a snapshot older than what it has applied. Its
// stored commit lags, so it installed the snapshot and its state went back.
func TestOldSnapshotAfterFullDisk(t *testing.T) {
	is := is.New(t)
	members := &messages.Members{Voters: []*messages.Member{{Name: "0"}, {Name: "1"}}}
	a := &Applier{opts: Options{Name: "0", Elapsed: func() time.Duration { return 0 }}, state: scheduler.New(), applied: 3}
	initial := replicator.InitialState{HardState: &messages.HardState{Term: 1, Commit: 1}, Members: members}
	for i := uint64(1); i <= 3; i++ {
		initial.Entries = append(initial.Entries, &messages.Entry{Index: i, Term: 1})
	}
	is.NoErr(a.restore(initial))
	data, err := scheduler.New().Save()
	is.NoErr(err)
	a.node.Step(&messages.Message{Kind: messages.Kind_KIND_SNAPSHOT, From: "1", To: "0", Term: 1, Chunk: &messages.Chunk{
		Index: 2, Term: 1, Members: members, Total: uint64(len(data)), Data: data,
		Checksum: crc32.Checksum(data, crc32.MakeTable(crc32.Castagnoli)),
	}})
	out := a.node.TakeOutput()
	is.Equal(out.Install, nil)
	is.Equal(a.node.Committed(), uint64(3))
	is.True(a.install(&replicator.Snapshot{Index: 2, Term: 1, Members: members, Data: data}) != nil)
	is.Equal(a.applied, uint64(3))
}
