package coordinator

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/state/applier"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestAcknowledgedEndIsRecorded guards against an end that is acknowledged and not recorded, after which its task runs
// again: the start of the run was committed by the predecessor, but the read that handled the report did not show it.
func TestAcknowledgedEndIsRecorded(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	is.Equal(f.submit(t, "/q/a", "k1"), StatusOK)
	f.report(t, 1, nil)
	commit := f.opts.Commit
	f.opts.Commit = func(ctx context.Context, term uint64, c *messages.QueueChange) (applier.Receipt, error) {
		f.state.Apply(&messages.QueueChange{Starts: []*messages.Run{{Job: "a", Number: 1, Worker: "w", Born: 5}}})
		return commit(ctx, term, c)
	}
	o := f.report(t, 2, func(r *messages.FleetReport) {
		r.Ends = []*messages.NumberedEnd{{Sequence: 1, End: &messages.End{Job: "a", Number: 1, How: tracker.EndDone}}}
	})
	is.True(o.GetAcknowledged() == 0 || f.state.Job("a").Phase == tracker.Completed)
}

// TestEndsOfUnknownRuns guards against a report that ends the process: it lists ends of a job, a step or a task that do
// not exist.
func TestEndsOfUnknownRuns(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.startRun(t)
	o := f.report(t, 3, func(r *messages.FleetReport) {
		for i, end := range []*messages.End{{Job: "none"}, {Job: "a", Step: 9}, {Job: "a", Step: -1}, {Job: "a", Task: 9}, {Job: "a", Occurrence: 9}} {
			r.Ends = append(r.Ends, &messages.NumberedEnd{Sequence: uint64(i) + 1, End: end})
		}
		r.Running = []*messages.Running{{Run: &messages.Run{Job: "a", Number: 1}}}
	})
	is.Equal(o.GetAcknowledged(), uint64(5))
	is.Equal(f.state.Job("a").Active(), 1)
}

// TestEndsOfRemovedPool guards against a repetition of finished work: a worker whose pool is removed from the catalog
// lists the end of its run, gets a response, and the end is dropped.
func TestEndsOfRemovedPool(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.startRun(t)
	f.state.Apply(&messages.QueueChange{Catalog: &messages.Catalog{
		Version: 2, Pools: []*messages.Pool{{Name: "p2"}},
		Queues: []*messages.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p2", Attempts: 2, Priority: 1}},
	}})
	f.report(t, 3, func(r *messages.FleetReport) {
		r.Ends = []*messages.NumberedEnd{{Sequence: 1, End: &messages.End{Job: "a", Number: 1, How: tracker.EndDone}}}
	})
	is.Equal(f.state.Job("a").Phase, tracker.Completed)
	is.True(!f.workerView(f.state, f.workers["w"], f.now).Usable)
}

// TestEndsOfRemovedPoolAtNewLeader is the same for a leader that did not know the worker before. What still runs there goes on.
func TestEndsOfRemovedPoolAtNewLeader(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.startRun(t)
	f.state.Apply(&messages.QueueChange{Catalog: &messages.Catalog{Version: 2, Pools: []*messages.Pool{{Name: "p2"}}}})
	f.leaderTerm++
	is.Equal(f.report(t, 3, func(r *messages.FleetReport) { r.Worker = "v" }).GetLease(), int64(0)) // it runs nothing
	is.True(f.report(t, 3, listing([]*messages.Run{{Job: "a", Number: 1}})).GetLease() > 0)
	f.leaderTerm++
	f.report(t, 4, doneOnFirst(1))
	is.Equal(f.state.Job("a").Phase, tracker.Completed)
	is.True(!f.workerView(f.state, f.workers["w"], f.now).Usable)
}

// TestReturnedWorkerGetsLease guards against a worker that returns after its loss and gets neither a lease nor orders
// until the term ends: the read after the commit of the loss failed, as the leader's lease had a gap.
func TestReturnedWorkerGetsLease(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.startRun(t)
	f.now = f.now.Add(time.Minute)
	read, commit := f.opts.Read, f.opts.Commit
	f.opts.Commit = func(ctx context.Context, term uint64, c *messages.QueueChange) (applier.Receipt, error) {
		f.opts.Read = func(context.Context, func(uint64, *tracker.Tracker)) error {
			f.opts.Read = read
			return errors.New("no lease")
		}
		return commit(ctx, term, c)
	}
	f.Pass(context.Background())
	f.opts.Commit = commit
	is.Equal(f.state.Job("a").Active(), 0)
	for sequence := range uint64(3) {
		f.now = f.now.Add(250 * time.Millisecond)
		f.report(t, 3+sequence, nil)
		f.Pass(context.Background())
	}
	is.True(f.report(t, 6, nil).GetLease() > 0)
}

// TestProofOfCurrentReports guards against delayed reports that pass for current ones at a new leader: only a run that
// the new leader alone can have ordered, or the end of the longest lease, proves that a start has not arrived.
func TestProofOfCurrentReports(t *testing.T) {
	lists := func(job string) func(r *messages.FleetReport) {
		return func(r *messages.FleetReport) {
			r.Running = []*messages.Running{{Run: &messages.Run{Job: job, Number: 1}}}
		}
	}
	// The predecessor starts "a" in its response to report 3 and "b" in that to report 5.
	newLeader := func(t *testing.T) *fixture {
		f := newFixture()
		is := is.New(t)
		is.Equal(f.submit(t, "/q/a", "k1"), StatusOK)
		f.report(t, 2, nil)
		f.Pass(context.Background())
		is.Equal(len(f.report(t, 3, nil).GetStarts()), 1)
		is.Equal(f.submit(t, "/q/b", "k1"), StatusOK)
		f.report(t, 4, lists("a"))
		f.Pass(context.Background())
		is.Equal(len(f.report(t, 5, lists("a")).GetStarts()), 1)
		f.leaderTerm++
		return f
	}
	cancelB := func(t *testing.T, f *fixture) {
		if _, err := f.Cancel(context.Background(), &messages.Lookup{Host: "h", Path: "/q/b", Key: "k1"}); err != nil {
			t.Fatal(err)
		}
	}
	t.Run("a listed run of the predecessor is no proof", func(t *testing.T) {
		is := is.New(t)
		f := newLeader(t)
		is.Equal(f.state.Job("a").Active()+f.state.Job("b").Active(), 2)
		is.Equal(len(f.report(t, 3, nil).GetStarts()), 2)
		f.report(t, 4, lists("a"))
		is.Equal(f.state.Job("b").Active(), 1)
		cancelB(t, f)
		f.report(t, 5, lists("a"))
		is.Equal(f.state.Job("b").Active(), 1)
	})
	t.Run("a lease on a slow clock is not over", func(t *testing.T) {
		is := is.New(t)
		f := newLeader(t)
		cancelB(t, f)
		f.report(t, 3, nil)
		f.now = f.now.Add(f.opts.Timing.MaxLease * 102 / 100)
		f.report(t, 4, lists("a"))
		is.Equal(f.state.Job("b").Active(), 1)
	})
	t.Run("the end of a run of the new leader is a proof", func(t *testing.T) {
		is := is.New(t)
		f := newLeader(t)
		cancelB(t, f)
		f.report(t, 6, lists("a"))
		is.Equal(f.submit(t, "/q/c", "k1"), StatusOK)
		f.Pass(context.Background())
		is.Equal(len(f.report(t, 7, lists("a")).GetStarts()), 1)
		f.report(t, 8, func(r *messages.FleetReport) {
			lists("a")(r)
			r.Ends = []*messages.NumberedEnd{{Sequence: 1, End: &messages.End{Job: "c", Number: 1, How: tracker.EndDone}}}
		})
		is.Equal(f.state.Job("b").Active(), 0)
	})
}

// TestStartOfReplacedIncarnation guards against a queue that starts nothing any more: a start is committed for a worker that
// has restarted in the same moment, and the worker is lost before it reports again. The end of that run named the earlier
// incarnation, was dropped, and was committed again in each pass, in place of all starts.
func TestStartOfReplacedIncarnation(t *testing.T) {
	for _, sameLeader := range []bool{true, false} {
		is := is.New(t)
		f := newFixture()
		is.Equal(f.submit(t, "/q/a", "k1"), StatusOK)
		f.report(t, 1, nil)
		f.report(t, 1, func(r *messages.FleetReport) { r.Born = 6 })
		f.state.Apply(&messages.QueueChange{Ends: []*messages.WorkerEnds{{Worker: "w", Born: 6, Sequence: 1}}})
		f.state.Apply(&messages.QueueChange{Starts: []*messages.Run{{Job: "a", Number: 1, Worker: "w", Born: 5}}})
		if !sameLeader {
			f.leaderTerm++
		}
		for n := range uint64(40) {
			f.now = f.now.Add(250 * time.Millisecond)
			f.report(t, n+1, func(r *messages.FleetReport) { r.Worker = "v" })
			f.Pass(context.Background())
		}
		is.Equal(len(f.state.RunsOn("w")), 0)
		is.Equal(len(f.state.RunsOn("v")), 1)
	}
}
