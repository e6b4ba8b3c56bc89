package coordinator

import (
	"cmp"
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/state/applier"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// doneOnFirst returns a change of a report that lists the first run of each of n tasks of the job "a" as done.
func doneOnFirst(n int32) func(*messages.FleetReport) {
	return func(r *messages.FleetReport) {
		for task := range n {
			r.Ends = append(r.Ends, &messages.NumberedEnd{Sequence: uint64(task) + 1, End: &messages.End{Job: "a", Task: task, Number: 1, How: tracker.EndDone}})
		}
	}
}

// listed returns a change of a report that lists the runs of start orders as running.
func listed(starts []*messages.StartOrder) func(*messages.FleetReport) {
	return func(r *messages.FleetReport) {
		for _, s := range starts {
			r.Running = append(r.Running, &messages.Running{Run: s.GetRun()})
		}
	}
}

// TestDoneRunOfReturnedWorker guards against finished work that is acknowledged and repeated, while the next step waits
// for the repetition: a run ends as done behind a partition that outlasts its lease, and its worker reports that later.
func TestDoneRunOfReturnedWorker(t *testing.T) {
	for _, c := range []struct {
		name  string
		count int32
		gang  bool
	}{{"task", 1, false}, {"tasks", 2, false}, {"gang", 2, true}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.state.Apply(&messages.QueueChange{Submits: []*messages.Work{{Id: "a", Queue: "q", Attempts: 2, Priority: 1, Steps: []*messages.Step{
				{Count: c.count, Gang: c.gang, Processors: 1000, Estimate: 1000},
				{Count: 1, Processors: 1000, Estimate: 1000, After: []int32{0}},
			}}}})
			f.report(t, 1, nil)
			f.Pass(context.Background())
			first := f.report(t, 2, nil).GetStarts()
			is.Equal(len(first), int(c.count))
			f.report(t, 3, listed(first))
			f.now = f.now.Add(survivalTime)
			f.report(t, 4, listed(first))
			f.now = f.now.Add(time.Minute)
			f.Pass(context.Background())
			is.Equal(f.state.Job("a").Active(), 0) // the lease has expired
			other := func(r *messages.FleetReport) { r.Worker = "v" }
			f.report(t, 1, other)
			f.Pass(context.Background())
			repeats := f.report(t, 2, other).GetStarts()
			is.Equal(len(repeats), int(c.count))
			f.now = f.now.Add(200 * time.Millisecond)

			is.Equal(f.report(t, 5, doneOnFirst(c.count)).GetAcknowledged(), uint64(c.count))
			is.True(f.state.Job("a").Step(0, 0).Done)
			o := f.report(t, 3, func(r *messages.FleetReport) {
				other(r)
				listed(repeats)(r)
			})
			is.Equal(len(o.GetStops()), int(c.count)) // the repetition is stopped
			f.Pass(context.Background())
			is.Equal(f.state.Job("a").Step(0, 1).Tasks[0].Active, 1) // the next step runs
		})
	}
}

// TestDoneRunDuringExpiry guards against finished work that is acknowledged and repeated: the report that lists its end
// is handled while the end of the worker's lease is being committed.
func TestDoneRunDuringExpiry(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.startRun(t)
	f.now = f.now.Add(time.Minute)
	commit := f.opts.Commit
	f.opts.Commit = func(_ context.Context, _ uint64, expiry *messages.QueueChange) (applier.Receipt, error) {
		var reported []*messages.QueueChange
		f.opts.Commit = func(_ context.Context, _ uint64, c *messages.QueueChange) (applier.Receipt, error) {
			reported = append(reported, c)
			return applier.Receipt{}, nil
		}
		f.report(t, 3, doneOnFirst(1))
		f.opts.Commit = commit
		for _, c := range append([]*messages.QueueChange{expiry}, reported...) {
			f.state.Apply(c)
		}
		return applier.Receipt{}, nil
	}
	f.Pass(context.Background())
	is.Equal(f.state.Job("a").Phase, tracker.Completed)
}

// TestDoneRunsOfOtherWriters guards against a job that is completed without its work: a report of another writer lists as
// done what is at work elsewhere, was never started or never ends.
func TestDoneRunsOfOtherWriters(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.startRun(t)
	is.Equal(f.submit(t, "/q/b", "k1"), StatusOK)
	f.state.Apply(&messages.QueueChange{Submits: []*messages.Work{
		{Id: "c", Queue: "q", Steps: []*messages.Step{{Count: 1, Lasting: true}}}, {Id: "d", Queue: "q", Steps: []*messages.Step{{Count: 1}}},
	}})
	f.state.Apply(&messages.QueueChange{Starts: []*messages.Run{{Job: "c", Number: 1, Worker: "gone", Born: 5}, {Job: "d", Number: 1, Worker: "gone", Born: 5}}})
	f.state.Apply(&messages.QueueChange{Ends: []*messages.WorkerEnds{{Worker: "gone", Born: 5, Over: true}}})
	o := f.report(t, 1, func(r *messages.FleetReport) {
		r.Worker = "v"
		for i, end := range []*messages.End{
			{Job: "a", Number: 1},
			{Job: "a", Number: 2},
			{Job: "a"},
			{Job: "b", Number: 1},
			{Job: "b"},
			{Job: "c", Number: 1},
			{Job: "none", Number: 1},
			{Job: "a", Step: 9, Number: 1},
			{Job: "a", Task: -1, Number: 1},
			{Job: "a", Task: 9, Number: 1},
			{Job: "d", Number: 1, How: tracker.EndRecovered}, // no worker says so
		} {
			end.How = cmp.Or(end.GetHow(), tracker.EndDone)
			r.Ends = append(r.Ends, &messages.NumberedEnd{Sequence: uint64(i) + 1, End: end})
		}
	})
	is.Equal(o.GetAcknowledged(), uint64(11))
	is.Equal(f.state.Job("a").Phase, tracker.Running)
	is.Equal(f.state.Job("b").Phase, tracker.Pending)
	is.Equal(f.state.Job("c").Step(0, 0).Done, false)
	is.Equal(f.state.Job("d").Step(0, 0).Done, false)
}
