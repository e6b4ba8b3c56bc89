package coordinator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// crashFixture is a coordinator with workers that restart.
type crashFixture struct {
	*fixture
	is       *is.I
	sequence uint64
}

func newCrashFixture(t *testing.T, jobs ...string) *crashFixture {
	f := &crashFixture{fixture: newFixture(), is: is.New(t)}
	for _, id := range jobs {
		f.is.Equal(f.submit(t, "/q/"+id, "k1"), StatusOK)
	}
	return f
}

// reportFrom sends a report of an incarnation that began at the given time.
func (f *crashFixture) reportFrom(t *testing.T, worker string, born time.Time, change func(*messages.FleetReport)) *messages.FleetOrders {
	t.Helper()
	f.sequence++
	return f.report(t, f.sequence, func(r *messages.FleetReport) {
		r.Worker, r.Born, r.Address = worker, born.UnixMilli(), "10.0.0.1:"+worker[1:2]
		r.Clock = max(f.now.Sub(born).Milliseconds(), 0)
		if change != nil {
			change(r)
		}
	})
}

// begin reports from a worker, and lets all waiting jobs start on it.
func (f *crashFixture) begin(t *testing.T, worker string, born time.Time) []*messages.Run {
	t.Helper()
	f.reportFrom(t, worker, born, nil)
	f.Pass(context.Background())
	var runs []*messages.Run
	for _, order := range f.reportFrom(t, worker, born, nil).GetStarts() {
		runs = append(runs, order.GetRun())
	}
	return runs
}

func (f *crashFixture) crashesOf(job string) []tracker.Crash {
	return f.state.Job(job).Step(0, 0).Tasks[0].Crashes
}

func listing(runs []*messages.Run) func(*messages.FleetReport) {
	return func(r *messages.FleetReport) {
		for _, run := range runs {
			r.Running = append(r.Running, &messages.Running{Run: run})
		}
	}
}

// TestCrashEvidence guards against blame for the loss of a worker on runs that cannot have caused it, and against
// crashes for which no run is blamed: a task that crashes its workers would then be started for ever.
func TestCrashEvidence(t *testing.T) {
	const age = time.Minute
	for _, c := range []struct {
		name    string
		jobs    []string
		age     time.Duration // of the worker
		lose    func(t *testing.T, f *crashFixture, runs []*messages.Run, born time.Time)
		crashes int
		alone   bool
	}{
		{"a restart under the same name", []string{"a"}, age, func(t *testing.T, f *crashFixture, _ []*messages.Run, _ time.Time) {
			f.reportFrom(t, "w1", f.now, nil)
		}, 1, true},
		{"a successor at the same address", []string{"a"}, age, func(t *testing.T, f *crashFixture, _ []*messages.Run, _ time.Time) {
			f.reportFrom(t, "w10", f.now, nil)
			f.Pass(context.Background())
		}, 1, true},
		{"two runs were starting", []string{"a", "b"}, age, func(t *testing.T, f *crashFixture, _ []*messages.Run, _ time.Time) {
			f.reportFrom(t, "w1", f.now, nil)
		}, 1, false},
		{"the worker is young", []string{"a"}, time.Second, func(t *testing.T, f *crashFixture, _ []*messages.Run, _ time.Time) {
			f.reportFrom(t, "w1", f.now, nil)
		}, 1, false},
		{"the lease expires and the worker may be alive", []string{"a"}, age, func(_ *testing.T, f *crashFixture, _ []*messages.Run, _ time.Time) {
			f.now = f.now.Add(7 * time.Second)
			f.Pass(context.Background())
		}, 1, false},
		{"the run was at work", []string{"a"}, age, func(t *testing.T, f *crashFixture, runs []*messages.Run, born time.Time) {
			f.reportFrom(t, "w1", born, listing(runs))
			f.now = f.now.Add(survivalTime)
			f.reportFrom(t, "w1", born, listing(runs))
			f.now = f.now.Add(time.Second)
			f.reportFrom(t, "w1", f.now, nil)
		}, 0, false},
		{"the worker had announced its exit", []string{"a"}, age, func(t *testing.T, f *crashFixture, runs []*messages.Run, born time.Time) {
			f.reportFrom(t, "w1", born, func(r *messages.FleetReport) {
				listing(runs)(r)
				r.Leaving = true
			})
			f.now = f.now.Add(time.Second)
			f.reportFrom(t, "w1", f.now, nil)
		}, 0, false},
		{"the order was not sent", []string{"a"}, age, func(t *testing.T, f *crashFixture, _ []*messages.Run, _ time.Time) {
			f.is.Equal(f.submit(t, "/q/z", "k1"), StatusOK)
			f.Pass(context.Background())
			f.reportFrom(t, "w1", f.now, nil)
			f.is.Equal(len(f.crashesOf("z")), 0)
		}, 1, true},
		{"a new leader that has not heard of the run", []string{"a"}, age, func(t *testing.T, f *crashFixture, _ []*messages.Run, _ time.Time) {
			f.leaderTerm++
			f.reportFrom(t, "w1", f.now, nil)
		}, 1, false},
		{"a new leader that has heard of the run", []string{"a"}, age, func(t *testing.T, f *crashFixture, runs []*messages.Run, born time.Time) {
			f.leaderTerm++
			f.reportFrom(t, "w1", born, listing(runs))
			f.now = f.now.Add(survivalTime)
			f.reportFrom(t, "w1", born, listing(runs))
			f.reportFrom(t, "w1", f.now, nil)
		}, 0, false},
		{"another worker was lost while it was starting nothing", []string{"a"}, age, func(t *testing.T, f *crashFixture, _ []*messages.Run, born time.Time) {
			f.reportFrom(t, "w2", born, nil)
			f.reportFrom(t, "w2", f.now, nil)
			f.reportFrom(t, "w1", f.now, nil)
		}, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newCrashFixture(t, c.jobs...)
			born := f.now.Add(-c.age)
			runs := f.begin(t, "w1", born)
			f.is.Equal(len(runs), len(c.jobs))
			f.now = f.now.Add(100 * time.Millisecond)
			c.lose(t, f, runs, born)
			f.is.Equal(f.state.Job("a").Active(), 0)
			crashes := f.crashesOf("a")
			f.is.Equal(len(crashes), c.crashes)
			if c.crashes > 0 {
				f.is.Equal(crashes[0].Alone, c.alone)
				f.is.Equal(crashes[0].Worker, "w1")
			}
		})
	}
}

// TestOlderRunsSurviveALeaderChange guards against blame on runs that began long before the one that crashed the
// worker, when the leader that had seen them at work is gone.
func TestOlderRunsSurviveALeaderChange(t *testing.T) {
	f := newCrashFixture(t, "a")
	born := f.now.Add(-time.Minute)
	older := f.begin(t, "w1", born)
	f.reportFrom(t, "w1", born, listing(older))
	for range 12 {
		f.now = f.now.Add(maxStartGap / 12)
		f.reportFrom(t, "w1", born, listing(older))
	}
	f.is.Equal(f.submit(t, "/q/b", "k1"), StatusOK)
	f.Pass(context.Background())
	f.is.Equal(len(f.reportFrom(t, "w1", born, listing(older)).GetStarts()), 1)
	f.leaderTerm++
	f.now = f.now.Add(time.Second)
	f.reportFrom(t, "w1", f.now, nil)
	f.is.Equal(len(f.crashesOf("a")), 0)
	f.is.Equal(len(f.crashesOf("b")), 1)
}

// TestCrashingTaskIsGivenUp guards against a task that takes down one worker after another: its job fails after three
// crashes, though a new leader takes over before the first one is known and the state passes through a snapshot.
func TestCrashingTaskIsGivenUp(t *testing.T) {
	f := newCrashFixture(t, "a")
	for i := range 3 {
		f.is.True(!f.state.Job("a").Ended())
		worker := fmt.Sprintf("w%d", i)
		f.is.Equal(len(f.begin(t, worker, f.now.Add(-time.Minute))), 1)
		data, err := f.state.Save()
		f.is.NoErr(err)
		restored, err := tracker.Restore(data)
		f.is.NoErr(err)
		*f.state = *restored
		if i == 0 {
			f.leaderTerm++
		}
		f.now = f.now.Add(3 * time.Second)
		f.reportFrom(t, worker, f.now, func(r *messages.FleetReport) { r.Processors = 0 })
	}
	f.is.Equal(len(f.crashesOf("a")), 3)
	f.Pass(context.Background())
	f.is.Equal(f.state.Job("a").Phase, tracker.Running) // other losses may become known
	f.now = f.now.Add(verdictDelay)
	f.Pass(context.Background())
	f.is.Equal(f.state.Job("a").Phase, tracker.Failed)
	f.is.Equal(len(f.state.Open()), 0)
}

// TestDoubtfulCrashIsTriedAgain guards against a job that is given up for a crash that was one of several: another worker
// is found lost, with nothing starting on it, shortly after the third crash. All trials used up, the job fails.
func TestDoubtfulCrashIsTriedAgain(t *testing.T) {
	f := newCrashFixture(t, "a")
	old := f.now.Add(-time.Minute)
	f.reportFrom(t, "w9", old, func(r *messages.FleetReport) { r.Processors = 0 })
	for i := range 5 {
		f.now = f.now.Add(quietPeriod)
		worker := fmt.Sprintf("w%d", i)
		f.is.Equal(len(f.begin(t, worker, f.now.Add(-time.Minute))), 1)
		f.now = f.now.Add(unexplainedPeriod)
		f.reportFrom(t, worker, f.now, func(r *messages.FleetReport) { r.Processors = 0 })
		f.is.Equal(len(f.crashesOf("a")), i+1)
		f.Pass(context.Background())
		f.now = f.now.Add(verdictDelay / 2)
		f.reportFrom(t, "w9", f.now, func(r *messages.FleetReport) { r.Processors = 0 })
		f.now = f.now.Add(verdictDelay / 2)
		f.Pass(context.Background())
		f.is.Equal(f.state.Job("a").Ended(), i == 4)
	}
}
