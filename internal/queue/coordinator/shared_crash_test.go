package coordinator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// crashUnder starts the jobs on a worker, which crashes under them.
func (f *crashFixture) crashUnder(t *testing.T, worker string, jobs ...string) {
	t.Helper()
	f.now = f.now.Add(unexplainedPeriod)
	born := f.now.Add(-2 * minWorkerAge)
	f.reportFrom(t, worker, born, nil)
	var runs []*messages.Run
	for _, id := range jobs {
		number, _ := f.state.Job(id).Step(0, 0).NextRun(0)
		runs = append(runs, &messages.Run{Job: id, Number: number, Worker: worker, Born: born.UnixMilli(), Started: f.now.UnixMilli()})
	}
	f.state.Apply(&messages.QueueChange{Starts: runs})
	for _, r := range runs {
		f.committedStarts[tracker.KeyOf(r)] = true
	}
	f.reportFrom(t, worker, born, listing(runs))
	f.now = f.now.Add(survivalTime / 5)
	f.reportFrom(t, worker, f.now, func(r *messages.FleetReport) { r.Processors = 0 })
}

// TestSharedCrashDecidesNothing guards against an innocent job that is given up because it started five times on workers on which
// other jobs, which had crashed workers before, started too. It is given up only for a crash that none of these may explain.
func TestSharedCrashDecidesNothing(t *testing.T) {
	f := newCrashFixture(t, "a", "b", "c", "d", "e", "f", "g")
	for i, other := range []string{"b", "c", "d", "e", "f", "g"} {
		f.crashUnder(t, fmt.Sprintf("w%d", i), other)
		f.crashUnder(t, fmt.Sprintf("w%d", i), "a", other)
		f.is.Equal(len(f.crashesOf("a")), min(i+1, 4))
		f.is.Equal(len(f.crashesOf(other)), 2)
		f.passAfterVerdict()
		f.is.True(!f.state.Job("a").Ended())
	}
	f.crashUnder(t, "w9", "a")
	f.is.Equal(len(f.crashesOf("a")), 5)
	f.passAfterVerdict()
	f.is.Equal(f.state.Job("a").Phase, tracker.Failed)
}

// passAfterVerdict lets the leader decide now and after the delay of verdicts.
func (f *crashFixture) passAfterVerdict() {
	f.Pass(context.Background())
	f.now = f.now.Add(verdictDelay)
	f.Pass(context.Background())
}

// TestSharedCrashKeepsLastingTask guards against a lasting job that is given up: a crash that is not counted replaced the verdict on
// its task by one that did not know that the task lasts.
func TestSharedCrashKeepsLastingTask(t *testing.T) {
	f := newCrashFixture(t, "b")
	f.state.Apply(&messages.QueueChange{Submits: []*messages.Work{{
		Id: "a", Queue: "q", Pool: "p", Attempts: 3, Steps: []*messages.Step{{Count: 1, Processors: 1000, Lasting: true, Estimate: 1000}},
	}}})
	for i := range 4 {
		f.crashUnder(t, fmt.Sprintf("w%d", i), "a")
	}
	f.is.Equal(len(f.crashesOf("a")), 4)
	f.crashUnder(t, "w4", "b")
	f.crashUnder(t, "w5", "a", "b")
	f.passAfterVerdict()
	f.is.Equal(f.state.Job("a").Phase, tracker.Running)
}

// TestLossesAroundChangeOfLeader guards against an innocent job that is given up since a new leader does not know that a large part of
// the workers was lost together with the one under its last trial.
func TestLossesAroundChangeOfLeader(t *testing.T) {
	for _, c := range []struct {
		name   string
		others int // that restart with the worker of the trial
		clock  bool
		want   tracker.Phase
	}{
		{"widespread", 3, true, tracker.Running},
		{"one other", 1, true, tracker.Failed},
		{"none", 0, true, tracker.Failed},
		{"workers without clocks", 3, false, tracker.Failed},
	} {
		t.Run(c.name, func(t *testing.T) {
			others := []string{"b", "c", "d", "e"} // a crash under one of them as well is no proof
			f := newCrashFixture(t, append(others, "a")...)
			for i := range tracker.LastTrialCrashes {
				f.crashUnder(t, fmt.Sprintf("w%d", i), "a", others[i])
			}
			f.now = f.now.Add(2 * widespreadPeriod)
			f.state.Apply(&messages.QueueChange{Starts: []*messages.Run{{
				Job: "a", Number: tracker.LastTrialCrashes + 1, Worker: "v0", Born: f.now.Add(-time.Minute).UnixMilli(), Started: f.now.UnixMilli(),
			}}})
			f.leaderTerm++
			for i := range 9 {
				born := f.now.Add(-time.Minute)
				if i <= c.others {
					born = f.now.Add(-survivalTime)
				}
				f.reportFrom(t, fmt.Sprintf("v%d", i), born, func(r *messages.FleetReport) {
					r.Processors = 0 // nothing starts
					if !c.clock {
						r.Clock = 0
					}
				})
			}
			f.is.Equal(len(f.crashesOf("a")), tracker.LastTrialCrashes+1)
			f.passAfterVerdict()
			f.is.Equal(f.state.Job("a").Phase, c.want)
		})
	}
}
