package placer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// evacuatedFleet returns eight workers, of which the first rack of four is evacuated.
func evacuatedFleet() []*Worker {
	workers := fleet(8)
	for _, w := range workers[:4] {
		w.Evacuated = true
	}
	return workers
}

// checkStarts checks that a plan starts a number of tasks, none of them on evacuated workers.
func checkStarts(t *testing.T, plan Plan, workers []*Worker, want int) {
	t.Helper()
	is := is.New(t)
	is.Equal(len(plan.Starts), want)
	evacuated := map[string]bool{}
	for _, w := range workers {
		evacuated[w.ID] = w.Evacuated
	}
	for _, r := range plan.Starts {
		is.True(!evacuated[r.GetWorker()])
	}
}

// TestEvacuatedWorkersStartNothing guards against any kind of unit that starts on a worker of an evacuated data centre: gangs, compact
// gangs, single tasks, tasks whose data is there, and suspect tasks.
func TestEvacuatedWorkersStartNothing(t *testing.T) {
	for name, s := range map[string]*messages.Step{
		"gang":         {Count: 4, Accelerators: 8, Gang: true},
		"compact gang": {Count: 4, Accelerators: 8, Gang: true, Compact: true},
		"tasks":        {Count: 4, Accelerators: 8},
		"data":         {Count: 4, Accelerators: 8, Rack: "r0"},
		"data of gang": {Count: 4, Accelerators: 8, Rack: "r0", Gang: true},
		"lasting":      {Count: 4, Accelerators: 8, Lasting: true},
	} {
		t.Run(name, func(t *testing.T) {
			tr := tracker.New()
			submit(tr, "a", 1, s)
			workers := evacuatedFleet()
			checkStarts(t, NewPlan(input(workers, tr)), workers, 4)
		})
	}
	t.Run("suspect", func(t *testing.T) {
		tr := tracker.New()
		submit(tr, "a", 1, &messages.Step{Count: 1, Processors: 1000})
		crash(tr, "a", 0, 1, true)
		workers := evacuatedFleet()
		checkStarts(t, NewPlan(input(workers, tr)), workers, 1)
	})
}

// TestNothingIsStoppedInEvacuatedPlace guards against an urgent gang that has runs stopped on workers on which it can't start, and
// against one that waits for these as they become free first.
func TestNothingIsStoppedInEvacuatedPlace(t *testing.T) {
	is := is.New(t)
	tr := tracker.New()
	workers := evacuatedFleet()
	submit(tr, "low", 2, &messages.Step{Count: 8, Accelerators: 8})
	occupy(tr, "low", workers...)
	for i, w := range workers {
		w.Runs[0].Unsaved = time.Duration(i) * time.Second // the least loss would be on evacuated workers
		w.Runs[0].Remaining = time.Duration(i+1) * time.Second
	}
	submit(tr, "urgent", 0, &messages.Step{Count: 2, Accelerators: 8, Gang: true})
	plan := NewPlan(input(workers, tr))
	is.Equal(len(plan.Stops), 2)
	for _, a := range plan.Stops {
		is.True(a.Unsaved >= 4*time.Second)
	}
	checkStarts(t, plan, workers, 0)
}

// TestReservationsLeaveOutEvacuatedWorkers guards against a waiting gang that reserves workers which it never gets: a task that ends
// late would take those that it could have.
func TestReservationsLeaveOutEvacuatedWorkers(t *testing.T) {
	is := is.New(t)
	tr := tracker.New()
	workers := evacuatedFleet()
	submit(tr, "low", 1, &messages.Step{Count: 3, Accelerators: 8})
	occupy(tr, "low", workers[4:7]...)
	submit(tr, "gang", 1, &messages.Step{Count: 4, Accelerators: 8, Gang: true})
	submit(tr, "long", 1, &messages.Step{Count: 1, Accelerators: 8, Estimate: 60_000})
	is.Equal(len(NewPlan(input(workers, tr)).Starts), 0) // the last worker is kept for the gang
}

// TestEvacuatedWorkersMakeNoPoolIdle guards against a pool that counts as idle because of workers on which nothing may start: units would
// give up their preferences in a busy pool. Busy workers that are evacuated don't make a pool busy either.
func TestEvacuatedWorkersMakeNoPoolIdle(t *testing.T) {
	is := is.New(t)
	for _, occupied := range []int{0, 4} {
		tr := tracker.New()
		workers := evacuatedFleet()
		submit(tr, "low", 1, &messages.Step{Count: 4, Accelerators: 8, Processors: 64_000})
		occupy(tr, "low", workers[occupied:occupied+4]...)
		submit(tr, "a", 1, &messages.Step{Count: 8, Accelerators: 8, Gang: true})
		plan := NewPlan(input(workers, tr))
		is.Equal(len(plan.Blocked), 1)
		is.Equal(plan.Blocked[0].Idle, occupied == 0)
	}
}

// TestTrialsBesideEvacuation guards against more trials than the workers that are left should carry.
func TestTrialsBesideEvacuation(t *testing.T) {
	is := is.New(t)
	trials := func(workers []*Worker) int {
		p := &pass{input: &Input{Workers: workers}, trials: map[string]int{}, old: map[string]int{}, tried: map[*tracker.Job]bool{}}
		p.planTrials()
		return p.trials["p"]
	}
	workers := fleet(8 * idlePerTrial)
	all := trials(workers)
	for _, w := range workers[idlePerTrial:] {
		w.Evacuated = true
	}
	is.True(all > 1)
	is.Equal(trials(workers), 1)
}

// TestColdWorkersAreUsedLast guards against tasks and gangs that start on workers which are slow after their start, while others have
// room. It is no ban, and the rack of the data goes first.
func TestColdWorkersAreUsedLast(t *testing.T) {
	for _, c := range []struct {
		name   string
		step   *messages.Step
		cold   int // workers, the first ones
		want   int // starts on cold workers
		starts int
	}{
		{"task", &messages.Step{Count: 1, Processors: 1000}, 7, 0, 1},
		{"gang", &messages.Step{Count: 3, Accelerators: 8, Gang: true}, 5, 0, 3},
		{"gang that needs them", &messages.Step{Count: 4, Accelerators: 8, Gang: true}, 5, 1, 4},
		{"compact gang", &messages.Step{Count: 4, Accelerators: 8, Gang: true, Compact: true}, 3, 0, 4},
		{"only cold ones", &messages.Step{Count: 1, Processors: 1000}, 8, 1, 1},
		{"data", &messages.Step{Count: 1, Processors: 1000, Rack: "r0"}, 4, 1, 1},
		{"data of gang", &messages.Step{Count: 4, Accelerators: 8, Gang: true, Compact: true, Rack: "r0"}, 4, 4, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tr := tracker.New()
			submit(tr, "a", 1, c.step)
			workers := fleet(8)
			cold := map[string]bool{}
			for _, w := range workers[:c.cold] {
				w.Cold, cold[w.ID] = true, true
			}
			// Cold workers have less free capacity, which goes next.
			submit(tr, "low", 1, &messages.Step{Count: 8, Processors: 100})
			occupy(tr, "low", workers[:c.cold]...)
			plan := NewPlan(input(workers, tr))
			on, starts := 0, 0
			for _, r := range plan.Starts {
				if r.GetJob() != "a" {
					continue
				}
				starts++
				if cold[r.GetWorker()] {
					on++
				}
			}
			is.Equal(starts, c.starts)
			is.Equal(on, c.want)
		})
	}
}
