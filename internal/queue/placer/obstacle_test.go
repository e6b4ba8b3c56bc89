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

// TestEvacuatedObstacle guards against a job that waits for an evacuated data centre while the log says that it waits for capacity,
// and the reverse.
func TestEvacuatedObstacle(t *testing.T) {
	for _, c := range []struct {
		name     string
		step     *messages.Step
		change   func(workers []*Worker)
		obstacle Obstacle
	}{
		{"label", &messages.Step{Count: 1, Processors: 1, Label: "rare"}, func(workers []*Worker) { workers[0].Labels = []string{"rare"} }, Evacuated},
		{"label of others, too", &messages.Step{Count: 1, Processors: 1, Label: "rare"}, func(workers []*Worker) {
			workers[0].Labels, workers[7].Labels = []string{"rare"}, []string{"rare"}
			workers[7].Free = Vector{}
		}, NoCapacity},
		{"gang", &messages.Step{Count: 6, Accelerators: 8, Gang: true}, func([]*Worker) {}, Evacuated},
		{"gang that fits on others once they are free", &messages.Step{Count: 4, Accelerators: 8, Gang: true}, func(workers []*Worker) {
			workers[7].Free = Vector{}
		}, NoCapacity},
		{"gang that fits nowhere", &messages.Step{Count: 9, Accelerators: 8, Gang: true}, func([]*Worker) {}, NoCapacity},
		{"spread", &messages.Step{Count: 5, Processors: 1, Gang: true, Spread: 1}, func([]*Worker) {}, Evacuated},
		{"all evacuated", &messages.Step{Count: 1, Processors: 1}, func(workers []*Worker) {
			for _, w := range workers {
				w.Evacuated = true
			}
		}, Evacuated},
		{"others are silent", &messages.Step{Count: 1, Processors: 1}, func(workers []*Worker) {
			for _, w := range workers[4:] {
				w.Usable, w.Silent = false, true
			}
		}, NoCapacity},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tr := tracker.New()
			submit(tr, "a", 1, c.step)
			workers := evacuatedFleet()
			c.change(workers)
			plan := NewPlan(input(workers, tr))
			is.Equal(len(plan.Starts), 0)
			is.Equal(len(plan.Blocked), 1)
			is.Equal(plan.Blocked[0].Obstacle, c.obstacle)
		})
	}
}
