package coordinator

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

const (
	// maxIdleTime is how long a job may have nothing running while there is capacity for it twice over in a pool that is
	// mostly idle.
	maxIdleTime = 3 * time.Second
	// testInterval is the time between two passes of a test.
	testInterval = 50 * time.Millisecond
)

// rackFleet is a fleet of workers that report what the replicated state says they run.
type rackFleet struct {
	*fixture
	workers  []string
	sequence uint64
	ends     map[string][]*messages.NumberedEnd // all that a worker has had, by worker
	runs     func(worker string, run *messages.Run, listed time.Duration) (how string)
	begun    map[tracker.RunKey]time.Time
	born     map[string]int64 // of workers that have restarted, Unix milliseconds
	stopTime time.Duration    // from the first stop order to the end of a run
	stopAt   map[tracker.RunKey]time.Time
	stopped  map[tracker.RunKey]bool
	place    map[string]string // data centre, by rack
}

// newRackFleet returns a fleet with four workers in each rack. The label marks the first two of a rack. runs returns how
// a run ends after it has been at work for some time, or "" while it goes on.
func newRackFleet(racks int, runs func(worker string, run *messages.Run, elapsed time.Duration) string) *rackFleet {
	f := &rackFleet{
		fixture: newFixture(), ends: map[string][]*messages.NumberedEnd{}, runs: runs, begun: map[tracker.RunKey]time.Time{}, born: map[string]int64{},
		stopAt: map[tracker.RunKey]time.Time{}, stopped: map[tracker.RunKey]bool{},
	}
	f.opts.RackFactor = 3
	for rack := range racks {
		for i := range 4 {
			f.workers = append(f.workers, fmt.Sprintf("r%d-w%d", rack, i))
		}
	}
	return f
}

// rackOf returns the rack in the id of a worker.
func rackOf(id string) string {
	rack, _, _ := strings.Cut(id, "-")
	return rack
}

// isFirst reports whether a worker is one of the first two of its rack.
func isFirst(id string) bool { return strings.HasSuffix(id, "-w0") || strings.HasSuffix(id, "-w1") }

// step lets each worker report and runs a pass.
func (f *rackFleet) step(t *testing.T) {
	t.Helper()
	f.now = f.now.Add(testInterval)
	f.sequence++
	for _, id := range f.workers {
		orders := f.report(t, f.sequence, func(r *messages.FleetReport) {
			r.Worker, r.Rack, r.Place = id, rackOf(id), f.place[rackOf(id)]
			if born, ok := f.born[id]; ok {
				r.Born = born
			}
			if isFirst(id) {
				r.Labels = []string{"first"}
			}
			f.addRuns(r)
		})
		for _, run := range orders.GetStops() {
			key := tracker.KeyOf(run)
			if f.stopAt[key].IsZero() {
				f.stopAt[key] = f.now.Add(f.stopTime)
			}
			if f.begun[key].IsZero() || !f.now.Before(f.stopAt[key]) {
				f.stopped[key] = true
				f.end(id, run, tracker.EndStopped)
			}
		}
	}
	f.Pass(context.Background())
}

// addRuns adds to a report what runs on its worker, and what has ended there.
func (f *rackFleet) addRuns(r *messages.FleetReport) {
	for key, run := range f.state.RunsOn(r.GetWorker()) {
		if run.GetBorn() != r.GetBorn() {
			continue // it was lost in a restart
		}
		if f.stopped[key] {
			continue // a worker does not list what it has ended
		}
		if _, ok := f.begun[key]; !ok {
			f.begun[key] = f.now
		}
		how := f.runs(r.GetWorker(), run, f.now.Sub(f.begun[key]))
		if how == "" {
			r.Running = append(r.Running, &messages.Running{Run: run})
			continue
		}
		f.end(r.GetWorker(), run, how)
	}
	r.Ends = f.ends[r.GetWorker()]
}

// restart lets a worker crash and start again at once.
func (f *rackFleet) restart(id string) {
	f.born[id] = f.now.UnixMilli()
	delete(f.ends, id)
}

// end adds an end to the next report of a worker.
func (f *rackFleet) end(worker string, run *messages.Run, how string) {
	f.ends[worker] = append(f.ends[worker], &messages.NumberedEnd{
		Sequence: uint64(len(f.ends[worker]) + 1), End: &messages.End{
			Job: run.GetJob(), Occurrence: run.GetOccurrence(), Step: run.GetStep(), Task: run.GetTask(), Number: run.GetNumber(), How: how,
		},
	})
}

// add adds a job.
func (f *rackFleet) add(id string, attempts int32, s *messages.Step) {
	f.state.Apply(&messages.QueueChange{Submits: []*messages.Work{{Id: id, Queue: "q", Pool: "p", Priority: 1, Attempts: attempts, Steps: []*messages.Step{s}}}})
}

// longestIdle runs passes for some time and returns the longest time for which a job had nothing running.
func (f *rackFleet) longestIdle(t *testing.T, id string, limit time.Duration) time.Duration {
	t.Helper()
	longest, idle := time.Duration(0), time.Duration(0)
	for range limit / testInterval {
		f.step(t)
		if j := f.state.Job(id); j.Ended() {
			break
		} else if j.Active() > 0 {
			idle = 0
			continue
		}
		idle += testInterval
		longest = max(longest, idle)
	}
	return longest
}

// TestGangBesideRunsThatDoNotEnd guards against a compact gang that waits without end in an idle pool, for a rack that runs
// with a short estimate never leave.
func TestGangBesideRunsThatDoNotEnd(t *testing.T) {
	for _, c := range []struct {
		name    string
		lasting bool
	}{
		{"stuck tasks", false},
		{"lasting tasks", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newRackFleet(4, func(string, *messages.Run, time.Duration) string { return "" })
			f.step(t)
			f.add("small", 2, &messages.Step{Count: 8, Processors: 1000, Estimate: 1000, Label: "first", Spread: 1, Lasting: c.lasting})
			f.step(t)
			is.Equal(f.state.Job("small").Active(), 8)
			f.add("gang", 2, &messages.Step{Count: 3, Processors: 8000, Estimate: 5000, Gang: true, Compact: true})
			idle := f.longestIdle(t, "gang", 10*time.Second)
			is.Equal(f.state.Job("gang").Active(), 3)
			is.True(idle < maxIdleTime)
		})
	}
}

// TestLastAttemptBesideFailingService guards against a job on its last attempt that waits without end, because a service
// that fails at each start makes every worker look faulty.
func TestLastAttemptBesideFailingService(t *testing.T) {
	for _, c := range []struct {
		name     string
		racks    int
		service  *messages.Step
		failTime time.Duration
		label    string // of the workers that the job needs
	}{
		{"on all workers", 2, &messages.Step{Count: 16, Processors: 500, Estimate: 60_000, Lasting: true, Spread: 2}, 50 * time.Millisecond, ""},
		// It fails on too few workers to show that it is not their fault, and keeps them quarantined.
		{"on two workers", 3, &messages.Step{Count: 2, Processors: 4000, Estimate: 60_000, Lasting: true, Label: "first"}, 300 * time.Millisecond, "first"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newRackFleet(c.racks, func(_ string, run *messages.Run, elapsed time.Duration) string {
				switch {
				case run.GetJob() == "service" && elapsed >= c.failTime:
					return tracker.EndFailed
				case run.GetJob() == "job" && run.GetNumber() <= 2 && elapsed >= time.Second:
					return tracker.EndFailed
				case run.GetJob() == "job" && elapsed >= 2500*time.Millisecond:
					return tracker.EndDone
				}
				return ""
			})
			if c.label != "" {
				f.workers = slices.DeleteFunc(f.workers, func(id string) bool { return isFirst(id) && rackOf(id) != "r2" })
			}
			f.step(t)
			f.add("service", 3, c.service)
			for range 5 * time.Second / testInterval {
				f.step(t)
			}
			f.add("job", 3, &messages.Step{Count: 1, Processors: 500, Estimate: 2500, Label: c.label})
			idle := f.longestIdle(t, "job", 30*time.Second)
			is.Equal(f.state.Job("job").Phase, tracker.Completed)
			is.True(idle < maxIdleTime)
		})
	}
}

// TestSmallJobBesideWaitingGang guards against a job that waits beside idle workers until those that a gang waits for are
// free.
func TestSmallJobBesideWaitingGang(t *testing.T) {
	is := is.New(t)
	f := newRackFleet(2, func(_ string, run *messages.Run, elapsed time.Duration) string {
		if run.GetJob() == "batch" && elapsed >= 75*time.Second || run.GetJob() == "gang" && elapsed >= 20*time.Second {
			return tracker.EndDone
		}
		return ""
	})
	f.step(t)
	f.add("batch", 2, &messages.Step{Count: 2, Processors: 8000, Estimate: 75_000})
	f.step(t)
	f.add("gang", 2, &messages.Step{Count: 7, Processors: 8000, Estimate: 20_000, Gang: true})
	f.step(t)
	f.add("small", 2, &messages.Step{Count: 1, Processors: 1000, Estimate: 90_000})
	is.True(f.longestIdle(t, "small", 10*time.Second) < maxIdleTime)
	is.Equal(f.state.Job("small").Active(), 1)
}
