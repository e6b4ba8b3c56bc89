package placer

import (
	"fmt"
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
		{"idle pool, not for long", 1, 0, Wait{Deferred: time.Minute / 4, Idle: maxIdleWait - 1}, 0, 0, []Deferral{{StepKey{Job: "gang"}, "a single rack", true}}},
		{"idle pool, for long", 1, 0, Wait{Deferred: maxIdleWait, Idle: maxIdleWait}, 3, 0, nil},
		{"busy pool, not for long", 1, 4, Wait{Deferred: maxBusyWait - 1, Idle: maxIdleWait}, 0, 0, []Deferral{{StepKey{Job: "gang"}, "a single rack", false}}},
		{"busy pool, for long", 1, 4, Wait{Deferred: maxBusyWait}, 3, 0, nil},
		{"full pool, for long", 1, 8, Wait{Deferred: maxBusyWait}, 0, 0, nil},
		{"full pool, urgent", 0, 8, Wait{}, 0, 0, []Deferral{{StepKey{Job: "gang"}, "a single rack", false}}},
		{"full pool, urgent, for long", 0, 8, Wait{Deferred: maxBusyWait}, 0, 3, nil},
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
			in.Waited = func(StepKey) Wait { return c.wait }
			plan := NewPlan(in)
			is.Equal(len(plan.Starts), c.starts)
			is.Equal(len(plan.Stops), c.stops)
			is.Equal(plan.Deferred, c.deferred)
			is.Equal(len(plan.Relaxed), min(c.starts+c.stops, 1))
		})
	}
}

// TestCautionEnds guards against a last attempt, or a task that may crash its worker, that waits without end for workers
// that nothing speaks against.
func TestCautionEnds(t *testing.T) {
	failed := time.Unix(1_000_000, 0)
	suspect := func(w *Worker) { w.Suspect = true }
	starting := func(w *Worker) {
		w.Runs = append(w.Runs, &ActiveRun{Starting: true, Job: &tracker.Job{Work: &messages.Work{Priority: 1}}, Step: &tracker.Step{Tasks: make([]tracker.Task, 1)}})
	}
	probed := func(w *Worker) { w.Probed = true }
	quarantined := func(w *Worker) { w.Quarantined = true }
	for _, c := range []struct {
		name     string
		step     *messages.Step
		priority int32
		busy     int // workers that are full
		change   func(*Worker)
		crashes  int
		wait     Wait
		starts   int
		stops    int
	}{
		{"suspects, not for long", &messages.Step{Count: 2, Accelerators: 1}, 1, 0, suspect, 0, Wait{Deferred: maxIdleWait, Idle: maxIdleWait - 1}, 0, 0},
		{"suspects, for long", &messages.Step{Count: 2, Accelerators: 1}, 1, 0, suspect, 0, Wait{Deferred: maxIdleWait, Idle: maxIdleWait}, 2, 0},
		{"suspects in a busy pool, not for long", &messages.Step{Count: 1, Accelerators: 1}, 1, 6, suspect, 0, Wait{Deferred: maxBusyWait - 1, Idle: maxIdleWait}, 0, 0},
		{"suspects in a busy pool, for long", &messages.Step{Count: 1, Accelerators: 1}, 1, 6, suspect, 0, Wait{Deferred: maxBusyWait}, 1, 0},
		{"suspects in a full pool, urgent", &messages.Step{Count: 1, Accelerators: 1}, 0, 8, suspect, 0, Wait{Deferred: maxBusyWait}, 0, 1},
		{"suspects, gang", &messages.Step{Count: 2, Accelerators: 8, Gang: true}, 1, 0, suspect, 0, Wait{Deferred: maxIdleWait, Idle: maxIdleWait}, 2, 0},
		{"suspects, compact gang", &messages.Step{Count: 2, Accelerators: 8, Gang: true, Compact: true}, 1, 0, suspect, 0, Wait{Deferred: maxIdleWait, Idle: maxIdleWait}, 2, 0},
		{"unproven workers", &messages.Step{Count: 1, Accelerators: 1}, 1, 0, func(*Worker) {}, 0, Wait{Deferred: maxIdleWait, Idle: maxIdleWait}, 1, 0},
		{"probed workers, not for long", &messages.Step{Count: 1, Accelerators: 1}, 1, 0, probed, 0, Wait{Deferred: maxIdleWait, Idle: maxIdleWait - 1}, 0, 0},
		{"probed workers, for long", &messages.Step{Count: 1, Accelerators: 1}, 1, 0, probed, 0, Wait{Deferred: maxIdleWait, Idle: maxIdleWait}, 1, 0},
		{"quarantined workers, not for long", &messages.Step{Count: 1, Accelerators: 1}, 1, 0, quarantined, 0, Wait{Deferred: maxIdleWait, Idle: maxIdleWait - 1}, 0, 0},
		{"quarantined workers, for long", &messages.Step{Count: 1, Accelerators: 1}, 1, 0, quarantined, 0, Wait{Deferred: maxIdleWait, Idle: maxIdleWait}, 1, 0},
		{"quarantined workers, gang", &messages.Step{Count: 2, Accelerators: 8, Gang: true}, 1, 0, quarantined, 0, Wait{Deferred: maxIdleWait, Idle: maxIdleWait}, 2, 0},
		{"young workers", &messages.Step{Count: 1, Accelerators: 8}, 1, 1, func(w *Worker) { w.Young = w.ID != "w00" }, 2, Wait{Deferred: maxIdleWait, Idle: maxIdleWait}, 1, 0},
		{"workers on which others start", &messages.Step{Count: 2, Accelerators: 4, Gang: true}, 1, 0, starting, 2, Wait{Deferred: maxIdleWait, Idle: maxIdleWait}, 2, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tr := tracker.New()
			workers := fleet(8)
			submit(tr, "low", 2, &messages.Step{Count: 8, Processors: 64_000, Accelerators: 8})
			occupy(tr, "low", workers[:c.busy]...)
			for _, w := range workers {
				c.change(w)
			}
			submit(tr, "j", c.priority, c.step)
			crash(tr, "j", 0, c.crashes, true)
			if c.crashes == 0 {
				fail(tr, "j", 2)
			}
			in := input(workers, tr)
			in.Jobs = []*tracker.Job{tr.Job("j")}
			in.FailedAt = func(*tracker.Job) time.Time { return failed }
			in.Waited = func(StepKey) Wait { return c.wait }
			plan := NewPlan(in)
			is.Equal(len(plan.Starts), c.starts)
			is.Equal(len(plan.Stops), c.stops)
			is.Equal(len(plan.Relaxed), min(c.starts+c.stops, 1))
		})
	}
}

// TestReservationsEndInIdlePool guards against work that waits beside idle workers for as long as a gang waits for all of
// them. In a busy pool the gang would starve, so there the reservations hold, but for lasting tasks.
func TestReservationsEndInIdlePool(t *testing.T) {
	long := Wait{Deferred: time.Minute, Idle: maxIdleWait}
	for _, c := range []struct {
		name   string
		busy   int // of eight workers
		step   *messages.Step
		wait   Wait
		starts int
	}{
		{"idle pool, not for long", 2, &messages.Step{Count: 1, Accelerators: 1, Estimate: 60_000}, Wait{Deferred: time.Minute, Idle: maxIdleWait - 1}, 0},
		{"idle pool, for long", 2, &messages.Step{Count: 1, Accelerators: 1, Estimate: 60_000}, long, 1},
		{"idle pool, room for one", 2, &messages.Step{Count: 4, Processors: 64_000, Accelerators: 8, Gang: true, Estimate: 60_000}, long, 0},
		{"idle pool, gang", 2, &messages.Step{Count: 3, Processors: 64_000, Accelerators: 8, Gang: true, Estimate: 60_000}, long, 3},
		{"busy pool", 5, &messages.Step{Count: 1, Accelerators: 1, Estimate: 60_000}, long, 0},
		{"busy pool, lasting task", 5, &messages.Step{Count: 1, Accelerators: 1, Estimate: 60_000, Lasting: true}, long, 1},
		{"busy pool, lasting task without room for two", 7, &messages.Step{Count: 1, Accelerators: 8, Estimate: 60_000, Lasting: true}, long, 0},
	} {
		for _, priority := range []int32{0, 1} {
			t.Run(fmt.Sprintf("%s, priority %d", c.name, priority), func(t *testing.T) {
				is := is.New(t)
				tr := tracker.New()
				workers := fleet(8)
				submit(tr, "batch", priority, &messages.Step{Count: 8, Processors: 64_000, Accelerators: 8})
				occupy(tr, "batch", workers[:c.busy]...)
				submit(tr, "waiting", priority, &messages.Step{Count: 7, Processors: 64_000, Accelerators: 8, Gang: true})
				submit(tr, "j", priority, c.step)
				in := input(workers, tr)
				in.Jobs = []*tracker.Job{tr.Job("waiting"), tr.Job("j")}
				in.Waited = func(key StepKey) Wait {
					if key.Job == "j" {
						return c.wait
					}
					return Wait{}
				}
				is.Equal(len(workersOf(NewPlan(in), "j")), c.starts)
			})
		}
	}
}

// TestPendingStopsHoldNoOthersInIdlePool guards against work that waits beside idle workers for as long as runs are stopped
// for an urgent gang, one after another.
func TestPendingStopsHoldNoOthersInIdlePool(t *testing.T) {
	for _, c := range []struct {
		name   string
		busy   int // of eight workers
		step   *messages.Step
		idle   time.Duration
		starts int
	}{
		{"idle pool, not for long", 2, &messages.Step{Count: 1, Accelerators: 1}, maxIdleWait - 1, 0},
		{"idle pool, for long", 2, &messages.Step{Count: 1, Accelerators: 1}, maxIdleWait, 1},
		{"idle pool, gang", 2, &messages.Step{Count: 3, Accelerators: 8, Gang: true}, maxIdleWait, 3},
		{"idle pool, room for one", 2, &messages.Step{Count: 4, Accelerators: 8, Gang: true}, maxIdleWait, 0},
		{"busy pool", 5, &messages.Step{Count: 1, Accelerators: 1}, maxIdleWait, 0},
	} {
		for _, stopped := range []bool{false, true} { // the stops may be of an earlier pass
			t.Run(fmt.Sprintf("%s, stopped %v", c.name, stopped), func(t *testing.T) {
				is := is.New(t)
				tr := tracker.New()
				workers := fleet(8)
				submit(tr, "batch", 2, &messages.Step{Count: 8, Processors: 64_000, Accelerators: 8})
				occupy(tr, "batch", workers[:c.busy]...)
				for _, w := range workers[:c.busy] {
					w.Runs[0].Stopping = stopped
				}
				submit(tr, "urgent", 0, &messages.Step{Count: 8, Accelerators: 8, Gang: true})
				submit(tr, "j", 1, c.step)
				in := input(workers, tr)
				in.Jobs = []*tracker.Job{tr.Job("urgent"), tr.Job("j")}
				in.Waited = func(key StepKey) Wait {
					if key.Job == "j" {
						return Wait{Deferred: time.Minute, Idle: c.idle}
					}
					return Wait{}
				}
				is.Equal(len(workersOf(NewPlan(in), "j")), c.starts)
			})
		}
	}
}

// TestLostWorkersAreNoPartOfAPool guards against a pool that counts as busy because of workers that are lost: the runs that
// they last reported count as theirs for a minute.
func TestLostWorkersAreNoPartOfAPool(t *testing.T) {
	is := is.New(t)
	tr := tracker.New()
	workers := fleet(8)
	for _, w := range workers[:4] {
		w.Usable, w.Free = false, Vector{}
	}
	submit(tr, "batch", 1, &messages.Step{Count: 1, Processors: 64_000, Accelerators: 8})
	occupy(tr, "batch", workers[4])
	submit(tr, "waiting", 1, &messages.Step{Count: 4, Processors: 64_000, Accelerators: 8, Gang: true})
	submit(tr, "j", 1, &messages.Step{Count: 1, Accelerators: 1, Estimate: 60_000})
	in := input(workers, tr)
	in.Jobs = []*tracker.Job{tr.Job("waiting"), tr.Job("j")}
	in.Waited = func(StepKey) Wait { return Wait{Deferred: maxIdleWait, Idle: maxIdleWait} }
	is.Equal(len(workersOf(NewPlan(in), "j")), 1)
}

// TestRelaxedTasksRespectSpread guards against a step that gets more tasks on a worker than its spread allows: some start in
// a pass as the step prefers, the others of it later in the same pass without preferences.
func TestRelaxedTasksRespectSpread(t *testing.T) {
	is := is.New(t)
	tr := tracker.New()
	workers := fleet(4)
	workers[1].Suspect, workers[2].Suspect, workers[3].Suspect = true, true, true
	submit(tr, "j", 1, &messages.Step{Count: 4, Accelerators: 1, Spread: 1})
	fail(tr, "j", 2)
	in := input(workers, tr)
	in.Waited = func(StepKey) Wait { return Wait{Deferred: maxIdleWait, Idle: maxIdleWait} }
	used := map[string]int{}
	for _, r := range NewPlan(in).Starts {
		used[r.GetWorker()]++
	}
	is.Equal(used, map[string]int{"w00": 1, "w01": 1, "w02": 1, "w03": 1})
}

// TestLastingTasksAreNeverLate guards against a lasting task that stands still behind each later gang of its priority, as it
// is older than the objective of its job.
func TestLastingTasksAreNeverLate(t *testing.T) {
	is := is.New(t)
	tr := tracker.New()
	workers := fleet(4)
	submit(tr, "service", 1, &messages.Step{Count: 1, Accelerators: 4, Estimate: 60_000, Lasting: true})
	submit(tr, "batch", 1, &messages.Step{Count: 1, Accelerators: 8})
	submit(tr, "gang", 1, &messages.Step{Count: 4, Accelerators: 8, Gang: true})
	occupy(tr, "batch", workers[0])
	in := input(workers, tr)
	in.Age = func(j *tracker.Job) time.Duration {
		if j.Work.GetId() == "service" {
			return time.Hour
		}
		return 0
	}
	plan := NewPlan(in)
	is.Equal(len(plan.Starts), 1)
	is.Equal(plan.Starts[0].GetJob(), "service")
}
