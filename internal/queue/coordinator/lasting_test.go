package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// startService starts a lasting task on the first worker of a fleet with the longest lease of the platform, and returns
// after that worker has reported it for longer than that lease.
func startService(t *testing.T) *rackFleet {
	t.Helper()
	f := newRackFleet(2, func(string, *messages.Run, time.Duration) string { return "" })
	f.opts.Timing.Lease, f.opts.Timing.MaxLease, f.opts.Timing.LastingLease = 10*time.Second, 10*time.Second, 6*time.Second
	f.opts.Timing.MaxStopTime = 400 * time.Millisecond
	f.add("service", 3, &messages.Step{Count: 1, Processors: 500, Estimate: 60_000, Lasting: true})
	for range 12 * time.Second / testInterval {
		f.step(t)
	}
	if f.state.Job("service").Active() != 1 {
		t.Fatal("the service has not started")
	}
	return f
}

// host returns the worker of the service.
func (f *rackFleet) host() string { return f.state.Job("service").Step(0, 0).Tasks[0].Worker }

// remove makes a worker silent.
func (f *rackFleet) remove(id string) {
	var rest []string
	for _, w := range f.workers {
		if w != id {
			rest = append(rest, w)
		}
	}
	f.workers = rest
}

// TestLastingTaskOfLostWorker guards against a lasting task that waits for the end of the longest lease, 10 s, after its
// worker was lost, also beside gangs that come later and wait for workers.
func TestLastingTaskOfLostWorker(t *testing.T) {
	for _, gangs := range []bool{false, true} {
		is := is.New(t)
		f := startService(t)
		lost := f.host()
		f.remove(lost)
		absence := time.Duration(0)
		for ; f.host() == lost && absence < 20*time.Second; absence += testInterval {
			if gangs && absence%time.Second == 0 {
				f.add("gang"+absence.String(), 3, &messages.Step{Count: 9, Processors: 8000, Estimate: 20_000, Gang: true})
			}
			f.step(t)
		}
		is.True(absence <= maxLastingGap)
	}
}

// TestShorterLeaseKeepsEarlierOne guards against a task that runs twice: a worker keeps the lease that it was granted before
// lasting tasks started on it, and other work there may go on until that lease ends.
func TestShorterLeaseKeepsEarlierOne(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.opts.Timing.LastingLease = 2 * time.Second
	f.now = f.now.Add(time.Minute) // no earlier leader has leases left
	f.state.Apply(&messages.QueueChange{Submits: []*messages.Work{{
		Id: "service", Queue: "q", Pool: "p", Steps: []*messages.Step{{Count: 1, Processors: 1000, Estimate: 1000, Lasting: true}},
	}}})
	is.Equal(f.report(t, 1, nil).GetLease(), int64(6000))
	granted := f.now
	f.Pass(context.Background())
	f.now = f.now.Add(250 * time.Millisecond)
	o := f.report(t, 2, nil)
	is.Equal(len(o.GetStarts()), 1)
	is.Equal(o.GetLease(), int64(2000))
	for _, c := range []struct {
		elapsed time.Duration
		active  int
	}{{3 * time.Second, 1}, {6100 * time.Millisecond, 1}, {6300 * time.Millisecond, 0}} {
		f.now = granted.Add(c.elapsed)
		f.Pass(context.Background())
		is.Equal(f.state.Job("service").Active(), c.active)
	}
}
