package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/placer"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// maxReclaimTime is the longest time until all tasks of an urgent job within its guarantee have begun.
const maxReclaimTime = 5700 * time.Millisecond

// TestUrgentGangBesideRelaxedWork guards against an urgent gang that starves in an idle pool: work that no longer waits for
// pending stops takes the workers that the gang has reserved, and is stopped for it in turn.
func TestUrgentGangBesideRelaxedWork(t *testing.T) {
	// Slower stops than maxIdleWait let that other work start, and the gang waits until half of the pool is in use.
	for _, stopTime := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		for _, c := range []struct {
			size    int32
			restore time.Duration
		}{{6, 0}, {8, 0}, {6, 3 * time.Second}, {8, 3 * time.Second}} {
			t.Run(fmt.Sprintf("stops take %v, gang of %d, resuming takes %v", stopTime, c.size, c.restore), func(t *testing.T) {
				f := newRackFleet(2, func(string, *messages.Run, time.Duration) string { return "" })
				f.stopTime = stopTime
				f.opts.Preemption = placer.Preemption{Restore: c.restore, Stop: stopTime}
				f.step(t)
				f.add("batch", 2, &messages.Step{Count: 8, Processors: 1000, Estimate: 60_000, Spread: 1})
				for range 40 {
					f.step(t)
				}
				f.state.Apply(&messages.QueueChange{Submits: []*messages.Work{{
					Id: "urgent", Queue: "q", Pool: "p", Attempts: 3,
					Steps: []*messages.Step{{Count: c.size, Processors: 8000, Estimate: 20_000, Gang: true}},
				}}})
				waited := time.Duration(0)
				for ; f.state.Job("urgent").Active() == 0 && waited < 30*time.Second; waited += testInterval {
					if waited%(100*time.Millisecond) == 0 {
						f.add("small"+waited.String(), 2, &messages.Step{Count: 1, Processors: 1000, Estimate: 60_000})
					}
					f.step(t)
				}
				if waited > maxReclaimTime {
					t.Errorf("the urgent gang has waited for %v", waited)
				}
			})
		}
	}
}
