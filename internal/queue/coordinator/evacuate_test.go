package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestEndsInTheLastMomentsOfAWorker guards against finished work that is repeated: a run that ends as done just before
// its worker exits is not reported any more. Runs that are not sure to be reported in time are stopped while their ends
// can be.
func TestEndsInTheLastMomentsOfAWorker(t *testing.T) {
	const interval, stopTime = 250 * time.Millisecond, 400 * time.Millisecond
	last := stopTime + 2*interval + exitMargin // before the exit, for a stop
	for _, c := range []struct {
		name      string
		inherited bool
		from, to  int32 // percent, in one second
		left      time.Duration
		stopped   bool
	}{
		{"ends long before the exit", false, 0, 90, last, false},
		{"ends shortly before the exit", false, 0, 60, last, true},
		{"ends after the exit, which is still far", false, 0, 20, 5 * time.Second, false},
		{"has made no progress that shows when it ends", false, 0, 2, last, true},
		{"of an earlier leader, ends long before the exit", true, 60, 95, last, false},
		{"of an earlier leader, ends after the exit", true, 60, 70, last, true},
		{"of an earlier leader, the exit is far", true, 60, 70, 5 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.opts.Timing.MaxStopTime = stopTime
			f.startRun(t)
			if c.inherited {
				f.leaderTerm++
			}
			listed := func(percent int32, leaving bool) func(r *messages.FleetReport) {
				return func(r *messages.FleetReport) {
					r.Running = []*messages.Running{{Run: &messages.Run{Job: "a", Number: 1}, Percent: percent}}
					r.Leaving, r.Remaining = leaving, c.left.Milliseconds()
				}
			}
			f.report(t, 3, listed(c.from, false))
			for i := range int32(4) {
				f.now = f.now.Add(interval)
				f.report(t, uint64(4+i), listed(c.from+(c.to-c.from)*(i+1)/4, i == 3))
			}
			f.Pass(context.Background())
			o := f.report(t, 8, listed(c.to, true))
			is.Equal(len(o.GetStops()) == 1, c.stopped)
		})
	}
}

// TestLastingTaskOfLeavingWorker guards against a lasting task that runs until its worker exits and then waits for the end
// of a lease: it is moved while the worker can still report that it has stopped, and not earlier.
func TestLastingTaskOfLeavingWorker(t *testing.T) {
	is := is.New(t)
	f := startService(t)
	host := f.host()
	exit := f.now.Add(3 * time.Second)
	for f.now.Before(exit) {
		f.now = f.now.Add(testInterval)
		f.sequence++
		for _, id := range f.workers {
			o := f.report(t, f.sequence, func(r *messages.FleetReport) {
				r.Worker = id
				if id == host {
					r.Leaving, r.Remaining = true, exit.Sub(f.now).Milliseconds()
				}
				f.addRuns(r)
			})
			for _, run := range o.GetStops() {
				is.True(exit.Sub(f.now) < 1500*time.Millisecond)
				f.end(id, run, tracker.EndStopped)
			}
		}
		f.Pass(context.Background())
	}
	is.True(f.host() != host)
	is.Equal(f.state.Job("service").Active(), 1)
}
