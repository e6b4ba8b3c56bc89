package placer

import (
	"testing"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestPlanNamesObstacles guards against a job that stands still without a line that says why.
func TestPlanNamesObstacles(t *testing.T) {
	small := &messages.Step{Count: 2, Processors: 1000}
	for _, c := range []struct {
		name     string
		step     *messages.Step
		crashes  int // of its first task
		workers  int
		change   func(in *Input)
		obstacle Obstacle // "" if it starts
	}{
		{"starts", small, 0, 2, func(*Input) {}, ""},
		{"no worker", small, 0, 0, func(*Input) {}, NoCapacity},
		{"no pool", small, 0, 2, func(in *Input) { in.Pool = func(*tracker.Job) string { return "" } }, NoPool},
		{"held gang", &messages.Step{Count: 2, Processors: 1000, Gang: true}, 2, 2, func(in *Input) {
			in.Held = func(tracker.TaskKey, *tracker.Task) bool { return true }
		}, Held},
		{"likely given up", small, 2, 2, func(in *Input) { in.Held = func(tracker.TaskKey, *tracker.Task) bool { return true } }, LikelyGivenUp},
		{"quarantine", small, 0, 2, func(in *Input) {
			for _, w := range in.Workers {
				w.Quarantined = true
			}
		}, PreferredWorkers},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tr := tracker.New()
			submit(tr, "a", 1, c.step)
			crash(tr, "a", 0, c.crashes, true)
			in := input(fleet(c.workers), tr)
			c.change(in)
			plan := NewPlan(in)
			if c.obstacle == "" {
				is.Equal(len(plan.Blocked), 0)
				return
			}
			is.Equal(len(plan.Blocked), 1)
			is.Equal(plan.Blocked[0].Key, StepKey{Job: "a"})
			is.Equal(plan.Blocked[0].Obstacle, c.obstacle)
		})
	}
}
