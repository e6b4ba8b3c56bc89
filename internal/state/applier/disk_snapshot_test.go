package applier

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/state/filer"
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
