package placer

import (
	"testing"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestPendingStopsAreNotAwaitedForLong guards against work that stands still beside idle workers which it does not prefer,
// because the workers that it prefers have runs whose stop is pending, for however long.
func TestPendingStopsAreNotAwaitedForLong(t *testing.T) {
	quarantined := func(w *Worker) { w.Quarantined = true }
	young := func(w *Worker) { w.Young = true }
	for _, c := range []struct {
		name     string
		step     *messages.Step
		priority int32
		change   func(*Worker) // of the idle workers
		crashes  int
		wait     Wait
		starts   int
	}{
		{"a task, not for long", &messages.Step{Count: 1, Accelerators: 4}, 0, quarantined, 0, Wait{Idle: maxIdleWait - 1}, 0},
		{"a task", &messages.Step{Count: 1, Accelerators: 4}, 0, quarantined, 0, Wait{Idle: maxIdleWait}, 1},
		{"a gang, not for long", &messages.Step{Count: 2, Accelerators: 4, Gang: true}, 0, quarantined, 0, Wait{Idle: maxIdleWait - 1}, 0},
		{"a gang", &messages.Step{Count: 2, Accelerators: 4, Gang: true}, 0, quarantined, 0, Wait{Idle: maxIdleWait}, 2},
		{"a gang that is not urgent", &messages.Step{Count: 2, Accelerators: 4, Gang: true}, 1, quarantined, 0, Wait{Idle: maxIdleWait}, 2},
		{"a suspect task, not for long", &messages.Step{Count: 1, Accelerators: 4}, 0, young, 2, Wait{Idle: maxIdleWait - 1}, 0},
		{"a suspect task", &messages.Step{Count: 1, Accelerators: 4}, 0, young, 2, Wait{Idle: maxIdleWait}, 1},
		{"a suspect gang", &messages.Step{Count: 2, Accelerators: 4, Gang: true}, 0, young, 2, Wait{Idle: maxIdleWait}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tr := tracker.New()
			workers := fleet(8)
			submit(tr, "low", 2, &messages.Step{Count: 1, Accelerators: 8})
			occupy(tr, "low", workers[0])
			workers[0].Runs[0].Stopping = true
			for _, w := range workers[1:] {
				c.change(w)
			}
			submit(tr, "j", c.priority, c.step)
			crash(tr, "j", 0, c.crashes, false)
			in := input(workers, tr)
			in.Waited = func(StepKey) Wait { return c.wait }
			plan := NewPlan(in)
			is.Equal(len(plan.Starts), c.starts)
			is.Equal(len(plan.Stops), 0)
		})
	}
}
