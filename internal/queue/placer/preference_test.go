package placer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestCompactGangWaitsForLimitedTime guards against a compact gang that waits without end for a single rack while runs
// that never end keep each rack busy.
func TestCompactGangWaitsForLimitedTime(t *testing.T) {
	for _, c := range []struct {
		name     string
		priority int32
		low      int // further workers with runs of low priority
		wait     Wait
		starts   int
		stops    int
		deferred []Deferral
	}{
		{"idle pool", 1, 0, Wait{}, 0, 0, []Deferral{{StepKey{Job: "gang"}, "a single rack", true}}},
		{"idle pool, not for long", 1, 0, Wait{Total: time.Minute / 4, Idle: maxIdleWait - 1}, 0, 0, []Deferral{{StepKey{Job: "gang"}, "a single rack", true}}},
		{"idle pool, for long", 1, 0, Wait{Total: maxIdleWait, Idle: maxIdleWait}, 3, 0, nil},
		{"busy pool, not for long", 1, 4, Wait{Total: maxBusyWait - 1, Idle: maxIdleWait}, 0, 0, []Deferral{{StepKey{Job: "gang"}, "a single rack", false}}},
		{"busy pool, for long", 1, 4, Wait{Total: maxBusyWait}, 3, 0, nil},
		{"full pool, for long", 1, 8, Wait{Total: maxBusyWait}, 0, 0, nil},
		{"full pool, urgent", 0, 8, Wait{}, 0, 0, []Deferral{{StepKey{Job: "gang"}, "a single rack", false}}},
		{"full pool, urgent, for long", 0, 8, Wait{Total: maxBusyWait}, 0, 3, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tr := tracker.New()
			workers := fleet(16)
			// A run on two of four workers in each rack, of the gang's priority.
			submit(tr, "stuck", c.priority, &messages.Step{Count: 8, Accelerators: 1})
			submit(tr, "low", 2, &messages.Step{Count: 8, Accelerators: 8})
			for i, w := range workers {
				if i%4 < 2 {
					occupyTask(tr, "stuck", w)
				}
			}
			for i := range c.low {
				occupyTask(tr, "low", workers[i/2*4+2+i%2])
			}
			submit(tr, "gang", c.priority, &messages.Step{Count: 3, Accelerators: 8, Gang: true, Compact: true})
			in := input(workers, tr)
			in.Jobs = []*tracker.Job{tr.Job("gang")}
			in.Deferred = func(StepKey) Wait { return c.wait }
			plan := NewPlan(in)
			is.Equal(len(plan.Starts), c.starts)
			is.Equal(len(plan.Stops), c.stops)
			is.Equal(plan.Deferred, c.deferred)
			is.Equal(len(plan.Relaxed), min(c.starts+c.stops, 1))
		})
	}
}
