package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestCrashLoopHoldsNoTask guards against a task that stands still beside idle workers because a single worker, on which it
// does not start, restarts again and again.
func TestCrashLoopHoldsNoTask(t *testing.T) {
	for _, c := range []struct {
		workers, crashes int
		renamed          bool // it has another id after each restart
	}{{8, 2, false}, {8, 3, false}, {8, 4, false}, {3, 4, false}, {8, 4, true}} {
		t.Run(fmt.Sprintf("%d workers, %d crashes, renamed %v", c.workers, c.crashes, c.renamed), func(t *testing.T) {
			f := newPoweredFleet(t, c.workers)
			for range 40 {
				f.step(t)
			}
			f.state.Apply(&messages.QueueChange{Submits: []*messages.Work{{
				Id: "a", Queue: "q", Pool: "p", Priority: 1, Attempts: 3, Steps: []*messages.Step{{Count: 1, Processors: 5000, Estimate: 60_000}},
			}}})
			f.crashAll(1, c.crashes)
			begin := f.now
			for n := 0; len(f.runningJobs()) == 0 && f.now.Sub(begin) < 30*time.Second; n++ {
				if n%4 == 0 {
					f.restart(f.workers[0])
					if c.renamed {
						f.workers[0].id = fmt.Sprintf("n%d", n)
					}
				}
				f.step(t)
			}
			if waited := f.now.Sub(begin); waited >= maxIdleTime {
				t.Errorf("the task has waited for %v", waited)
			}
		})
	}
}

// TestCrashLoopSparesNoDeadlyTask guards against a task that crashes its workers and is started without a limit, because a
// single worker of a small fleet restarts again and again.
func TestCrashLoopSparesNoDeadlyTask(t *testing.T) {
	for _, c := range []struct {
		workers int
		renamed bool // it has another id after each restart
	}{{2, false}, {3, false}, {4, false}, {8, false}, {3, true}, {8, true}} {
		t.Run(fmt.Sprintf("%d workers, renamed %v", c.workers, c.renamed), func(t *testing.T) {
			f := newPoweredFleet(t, c.workers)
			for range 40 {
				f.step(t)
			}
			f.submitJobs(1, &messages.Step{Count: 1, Processors: 5000, Estimate: 60_000})
			begin, starts := f.now, 0
			for n := 0; !f.state.Job("j00").Ended() && f.now.Sub(begin) < 2*time.Minute; n++ {
				for _, w := range f.workers {
					if len(w.running) > 0 {
						starts++
						f.restart(w)
					} else if n%4 == 0 && w == f.workers[0] {
						f.restart(w)
						if c.renamed {
							w.id = fmt.Sprintf("n%d", n)
						}
					}
				}
				f.step(t)
			}
			if phase := f.state.Job("j00").Phase; phase != tracker.Failed || starts > 5 {
				t.Errorf("after %d starts that crashed their workers the job is %v", starts, phase)
			}
		})
	}
}
