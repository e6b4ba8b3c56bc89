package applier

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/state/filer"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// testDisk is the disk of one replica. It refuses operations with ENOSPC from an operation on until it has space
// again.
type testDisk struct {
	mu      sync.Mutex
	full    bool
	fillsAt func(op filer.Operation, path string) bool // fills the disk; nil for never
	fast    bool                                       // skips syncs
	delay   time.Duration                              // of each sync of the log
}

func (d *testDisk) files() filer.Files { return filer.Faulty{Files: filer.Disk{}, Fault: d.fault} }

func (d *testDisk) fault(op filer.Operation, path string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fillsAt != nil && d.fillsAt(op, path) {
		d.full = true
	}
	if d.full {
		return syscall.ENOSPC
	}
	if op == filer.OpSync {
		time.Sleep(d.delay)
	}
	if d.fast && (op == filer.OpSync || op == filer.OpSyncFolder) {
		return filer.ErrSkip
	}
	return nil
}

// fillAt makes the disk full at the next operation of a kind on a file whose path has the given suffix.
func (d *testDisk) fillAt(op filer.Operation, suffix string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fillsAt = func(o filer.Operation, path string) bool { return o == op && strings.HasSuffix(path, suffix) }
}

func (d *testDisk) isFull() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.full
}

func (d *testDisk) free() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full, d.fillsAt = false, nil
}

// isRunning reports whether the replica has not stopped by itself.
func isRunning(a *Applier) bool {
	select {
	case <-a.Done():
		return false
	default:
		return true
	}
}

// proposeAny commits an event with whichever replica leads, and returns it.
func (c *testCluster) proposeAny(ctx context.Context, e scheduler.Event) *Applier {
	c.t.Helper()
	for ctx.Err() == nil {
		leader := c.leader()
		attempt, cancel := context.WithTimeout(ctx, time.Second)
		_, err := leader.Propose(attempt, e)
		cancel()
		if err == nil {
			return leader
		}
	}
	c.t.Fatal("no proposal was committed")
	return nil
}

// testEvents returns a manifest and a number of submissions.
func testEvents(n int) []scheduler.Event {
	manifest := []byte(`{"version": 1, "places": [{"name": "p", "service": "s", "racks": 1, "workers": 1, "slots": 8,
		"processors": 8, "memory": 8}], "organisations": [{"name": "o", "token": "` + fmt.Sprintf("%064d", 0) + `"}]}`)
	events := []scheduler.Event{scheduler.ApplyManifest{Text: manifest}}
	for i := range n {
		events = append(events, testSubmission(i))
	}
	return events
}

func testSubmission(i int) scheduler.Event {
	submit := scheduler.Submit{Org: "o", Key: fmt.Sprint(i)}
	submit.Job.Service = "s"
	return submit
}

// TestFullDisk fills the disk of the leader, and of a follower, at each operation of an append and of a snapshot.
// The replica stopped for good, which ended the process. It must stay, leave the lead to another replica, and
// follow again once its disk has space, with nothing lost or applied twice.
func TestFullDisk(t *testing.T) {
	type point struct {
		op     filer.Operation
		suffix string
	}
	points := []point{{filer.OpWrite, "/log"}, {filer.OpSync, "/log"}, {filer.OpOpen, "/log"}, {filer.OpTruncate, "/log"}}
	for _, name := range []string{"/snapshot", "/log"} {
		temp := name + ".new"
		points = append(points, point{filer.OpOpen, temp}, point{filer.OpWrite, temp}, point{filer.OpSync, temp}, point{filer.OpRename, name})
	}
	for _, p := range points {
		for _, victim := range []string{"leader", "follower"} {
			t.Run(fmt.Sprint(p.op, p.suffix, "/", victim), func(t *testing.T) { testFullDisk(t, p.op, p.suffix, victim == "leader") })
		}
	}
}

func testFullDisk(t *testing.T, op filer.Operation, suffix string, onLeader bool) {
	is := is.New(t)
	c := newTestClusterOnDisks(t, 10, true)
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	for _, e := range testEvents(2) {
		c.proposeAny(ctx, e)
	}
	leader := c.leader()
	victim := leader
	for _, a := range c.replicas {
		if !onLeader && a != leader {
			victim = a
		}
	}
	disk := c.disks[victim.opts.Name]
	disk.fillAt(op, suffix)
	submitted := 2
	submit := func(n int) {
		for range n {
			c.proposeAny(ctx, testSubmission(submitted))
			submitted++
		}
	}
	for !disk.isFull() {
		submit(1) // no fixed number: a follower's snapshot can be late, as the others commit without it
	}
	submit(8) // the others go on
	for name, a := range c.replicas {
		if !isRunning(a) {
			t.Fatalf("replica %s stopped: %v", name, a.Failure())
		}
	}
	is.True(c.leader() != victim)
	_, err := victim.Propose(ctx, scheduler.Tick{})
	is.True(errors.Is(err, ErrNotLeader))
	disk.free()
	submit(10)
	for name, a := range c.replicas {
		for jobs := 0; jobs < submitted; {
			if ctx.Err() != nil {
				t.Fatalf("replica %s has %d jobs", name, jobs)
			}
			is.NoErr(a.ReadStale(ctx, func(s *scheduler.State) { jobs = len(s.Jobs("o", true)) }))
			time.Sleep(time.Millisecond)
		}
	}
	is.True(!c.repeated.Load())
}

// TestFullDiskOfSingleReplica fills the disk of a group of one, to which a restart is no way out. What it
// acknowledged must be there once the disk has space again, and nothing may be acknowledged before.
func TestFullDiskOfSingleReplica(t *testing.T) {
	is := is.New(t)
	disk := &testDisk{}
	opts := Options{
		Name: "0", Files: disk.files(), Folder: t.TempDir(), Bootstrap: &messages.Members{Voters: []*messages.Member{{Name: "0"}}},
		Tick: 5 * time.Millisecond, SnapshotEvery: 1000, Now: time.Now, Send: func([]*messages.Message) {},
		Deliver: func(uint64, uint64, bool, []scheduler.Order) {}, Log: zap.NewNop(),
	}
	a, err := New(opts)
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	propose := func(e scheduler.Event) error {
		attempt, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, err := a.Propose(attempt, e)
		return err
	}
	events := testEvents(5)
	for _, e := range events[:3] {
		for propose(e) != nil {
			is.NoErr(ctx.Err())
		}
	}
	disk.fillAt(filer.OpWrite, "/log")
	is.True(errors.Is(propose(events[3]), ErrOutcomeUnknown))
	for range 20 {
		is.True(errors.Is(propose(events[4]), ErrNotLeader))
		is.True(errors.Is(a.Read(ctx, func(uint64, *scheduler.State) {}), ErrNotLeader))
		time.Sleep(20 * time.Millisecond)
	}
	disk.free()
	for _, e := range events[3:] {
		for propose(e) != nil {
			is.NoErr(ctx.Err())
			time.Sleep(time.Millisecond)
		}
	}
	a.Stop()
	is.NoErr(a.Failure())
	a, err = New(opts)
	is.NoErr(err)
	defer a.Stop()
	for jobs := 0; jobs < 4; {
		is.NoErr(ctx.Err())
		is.NoErr(a.ReadStale(ctx, func(s *scheduler.State) { jobs = len(s.Jobs("o", true)) }))
	}
}

// TestStopOnFullDisk checks that a replica whose disk is full can be stopped.
func TestStopOnFullDisk(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t, 10)
	leader := c.leader()
	disk := c.disks[leader.opts.Name]
	disk.fillAt(filer.OpWrite, "/log")
	_, err := leader.Propose(context.Background(), scheduler.Tick{})
	is.True(err != nil)
	is.True(disk.isFull())
	time.Sleep(50 * time.Millisecond)
	is.True(isRunning(leader))
}
