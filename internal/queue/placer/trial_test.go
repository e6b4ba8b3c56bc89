package placer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// crash records crashes of workers under a task of a job.
func crash(tr *tracker.Tracker, id string, task int32, crashes int, alone bool) {
	for range crashes {
		number, _ := tr.Job(id).Step(0, 0).NextRun(task)
		tr.Apply(&messages.QueueChange{Starts: []*messages.Run{{Job: id, Task: task, Number: number, Worker: "x", Born: 1}}})
		tr.Apply(&messages.QueueChange{Ends: []*messages.WorkerEnds{{
			Worker: "x", Born: 1, Over: true, Crashes: []*messages.Crash{{Job: id, Task: task, Number: number, Alone: alone}},
		}}})
	}
}

func workersOf(plan Plan, id string) []string {
	var list []string
	for _, r := range plan.Starts {
		if r.GetJob() == id {
			list = append(list, r.GetWorker())
		}
	}
	return list
}

// TestTrialEndangersLittleWork guards against a crash that takes work of others along: a task under which a worker may
// have crashed starts where least would be lost, and nothing starts beside it until its worker is seen alive.
func TestTrialEndangersLittleWork(t *testing.T) {
	small := func() *messages.Step { return &messages.Step{Count: 1, Processors: 1000} }
	t.Run("on an idle worker, alone", func(t *testing.T) {
		is := is.New(t)
		tr := tracker.New()
		workers := fleet(2)
		submit(tr, "old", 1, small())
		occupy(tr, "old", workers[0])
		submit(tr, "suspect", 1, small())
		crash(tr, "suspect", 0, 1, true)
		submit(tr, "later", 1, &messages.Step{Count: 4, Processors: 1000})
		plan := NewPlan(input(workers, tr))
		is.Equal(workersOf(plan, "suspect"), []string{"w01"})
		is.Equal(workersOf(plan, "later"), []string{"w00", "w00", "w00", "w00"})
	})
	t.Run("not on a worker that has started lately", func(t *testing.T) {
		is := is.New(t)
		tr := tracker.New()
		workers := fleet(2)
		submit(tr, "old", 1, small())
		occupy(tr, "old", workers[0])
		workers[1].Young = true
		submit(tr, "suspect", 1, small())
		crash(tr, "suspect", 0, 1, true)
		is.Equal(workersOf(NewPlan(input(workers, tr)), "suspect"), []string{"w00"})
	})
	t.Run("not beside a run that is starting", func(t *testing.T) {
		is := is.New(t)
		tr := tracker.New()
		workers := fleet(1)
		submit(tr, "new", 1, small())
		occupy(tr, "new", workers[0])
		workers[0].Runs[0].Starting = true
		submit(tr, "suspect", 1, small())
		crash(tr, "suspect", 0, 1, true)
		submit(tr, "later", 1, small())
		plan := NewPlan(input(workers, tr))
		is.Equal(len(plan.Starts), 0) // the worker is kept free of starts for the trial
		workers[0].Runs[0].Starting = false
		is.Equal(workersOf(NewPlan(input(workers, tr)), "suspect"), []string{"w00"})
	})
	t.Run("nothing starts beside a trial", func(t *testing.T) {
		is := is.New(t)
		tr := tracker.New()
		workers := fleet(1)
		submit(tr, "suspect", 1, small())
		crash(tr, "suspect", 0, 1, true)
		run := NewPlan(input(workers, tr)).Starts[0]
		tr.Apply(&messages.QueueChange{Starts: []*messages.Run{run}})
		j := tr.Job("suspect")
		workers[0].Runs = []*ActiveRun{{Key: tracker.KeyOf(run), Job: j, Step: j.Step(0, 0), Need: Need(small()), Starting: true}}
		submit(tr, "later", 1, small())
		is.Equal(len(NewPlan(input(workers, tr)).Starts), 0)
		workers[0].Runs[0].Starting = false
		is.Equal(len(NewPlan(input(workers, tr)).Starts), 1)
	})
	t.Run("a gang", func(t *testing.T) {
		is := is.New(t)
		tr := tracker.New()
		submit(tr, "suspect", 1, &messages.Step{Count: 2, Processors: 1000, Gang: true, Spread: 1})
		crash(tr, "suspect", 1, 1, true)
		submit(tr, "later", 1, &messages.Step{Count: 2, Processors: 1000})
		plan := NewPlan(input(fleet(3), tr))
		gang := workersOf(plan, "suspect")
		is.Equal(len(gang), 2)
		for _, w := range workersOf(plan, "later") {
			is.True(w != gang[0] && w != gang[1])
		}
	})
}

// TestTrialsAreFew guards against many deadly tasks that take down a large part of a busy fleet at once: few are tried
// at a time, while other tasks go on starting, and more where workers are idle.
func TestTrialsAreFew(t *testing.T) {
	for _, c := range []struct {
		name string
		busy int // of 64 workers
		want int
	}{
		{"a busy fleet", 64, 4},
		{"an idle fleet", 0, 32},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tr := tracker.New()
			workers := fleet(64)
			submit(tr, "old", 1, &messages.Step{Count: 64, Processors: 1000})
			occupy(tr, "old", workers[:c.busy]...)
			for i := range 100 {
				id := fmt.Sprintf("suspect%d", i)
				submit(tr, id, 1, &messages.Step{Count: 1, Processors: 1000})
				crash(tr, id, 0, 1, true)
			}
			submit(tr, "sound", 1, &messages.Step{Count: 16, Processors: 1000})
			plan := NewPlan(input(workers, tr))
			trials := 0
			for _, r := range plan.Starts {
				if r.GetJob() != "sound" && r.GetJob() != "old" {
					trials++
				}
			}
			is.Equal(trials, c.want)
			is.Equal(len(workersOf(plan, "sound")), 16)
		})
	}
}

// TestDoomedStepStartsNothing guards against work for a job that is about to be given up: the other tasks of its step
// wait for the result of the trial.
func TestDoomedStepStartsNothing(t *testing.T) {
	is := is.New(t)
	tr := tracker.New()
	workers := fleet(4)
	submit(tr, "array", 1, &messages.Step{Count: 8, Processors: 1000})
	crash(tr, "array", 3, 1, true)
	is.Equal(len(NewPlan(input(workers, tr)).Starts), 8) // one crash says little
	crash(tr, "array", 3, 1, true)
	is.Equal(len(NewPlan(input(workers, tr)).Starts), 1)
	is.True(!tr.Job("array").Step(0, 0).Tasks[3].CrashesWorkers())
	crash(tr, "array", 3, 1, false)
	is.True(tr.Job("array").Step(0, 0).Tasks[3].CrashesWorkers())
}

// TestTrialOfFillerStartsAlone guards against a task that starts beside a trial as it needs no resource that is counted.
func TestTrialOfFillerStartsAlone(t *testing.T) {
	is := is.New(t)
	tr := tracker.New()
	workers := fleet(1)
	submit(tr, "suspect", 1, &messages.Step{Count: 1, Processors: 1000})
	crash(tr, "suspect", 0, 1, true)
	run := NewPlan(input(workers, tr)).Starts[0]
	tr.Apply(&messages.QueueChange{Starts: []*messages.Run{run}})
	j := tr.Job("suspect")
	workers[0].Runs = []*ActiveRun{{Key: tracker.KeyOf(run), Job: j, Step: j.Step(0, 0), Need: Vector{Processors: 1000}, Starting: true}}
	submit(tr, "filler", 1, &messages.Step{Count: 1, Processors: 1000, Filler: true})
	is.Equal(len(NewPlan(input(workers, tr)).Starts), 0)
}

// TestGangTrialStartsAlone guards against a gang with two crashes that starts on a worker beside a run that is starting:
// the crash of that worker would have two explanations.
func TestGangTrialStartsAlone(t *testing.T) {
	is := is.New(t)
	tr := tracker.New()
	workers := fleet(1)
	submit(tr, "new", 1, &messages.Step{Count: 1, Processors: 1000})
	occupy(tr, "new", workers[0])
	workers[0].Runs[0].Starting = true
	submit(tr, "suspect", 1, &messages.Step{Count: 2, Processors: 1000, Gang: true})
	crash(tr, "suspect", 0, 2, true)
	is.Equal(len(NewPlan(input(workers, tr)).Starts), 0)
}

// TestGangTrialIsNotBesideStartsOfItsPass is the same for runs that start in the same pass.
func TestGangTrialIsNotBesideStartsOfItsPass(t *testing.T) {
	is := is.New(t)
	tr := tracker.New()
	workers := fleet(1)
	submit(tr, "new", 0, &messages.Step{Count: 1, Processors: 1000})
	submit(tr, "suspect", 1, &messages.Step{Count: 2, Processors: 1000, Gang: true})
	crash(tr, "suspect", 0, 2, true)
	is.Equal(len(NewPlan(input(workers, tr)).Starts), 1)
}

// TestUrgentSuspectDoesNotEvictBesideTrial guards against runs that are evicted from a worker on which nothing may
// start.
func TestUrgentSuspectDoesNotEvictBesideTrial(t *testing.T) {
	is := is.New(t)
	tr := tracker.New()
	workers := fleet(1)
	submit(tr, "suspect", 1, &messages.Step{Count: 1, Processors: 30_000})
	crash(tr, "suspect", 0, 1, true)
	run := NewPlan(input(workers, tr)).Starts[0]
	tr.Apply(&messages.QueueChange{Starts: []*messages.Run{run}})
	j := tr.Job("suspect")
	workers[0].Runs = []*ActiveRun{{Key: tracker.KeyOf(run), Job: j, Step: j.Step(0, 0), Need: Vector{Processors: 30_000}, Starting: true, Remaining: 1 << 40}}
	workers[0].Free.Processors -= 30_000
	submit(tr, "urgent", 0, &messages.Step{Count: 1, Processors: 30_000})
	is.Equal(len(NewPlan(input(workers, tr)).Stops), 0) // the worker has free capacity once the trial has survived
}

// BenchmarkTrials measures a pass with many suspect tasks.
func BenchmarkTrials(b *testing.B) {
	for _, n := range []int{1100, 6600} {
		for _, suspects := range []int{0, 100, 2000} {
			for _, busy := range []int{0, 14} {
				tr := tracker.New()
				workers := fleet(n)
				submit(tr, "old", 1, &messages.Step{Count: int32(n*busy + 1), Processors: 1000})
				for range busy {
					occupy(tr, "old", workers...)
				}
				tr.Apply(&messages.QueueChange{Cancels: []string{"old"}})
				for i := range suspects {
					id := fmt.Sprintf("suspect%d", i)
					submit(tr, id, 1, &messages.Step{Count: 1, Processors: 1000})
					crash(tr, id, 0, 1, true)
				}
				b.Run(fmt.Sprintf("workers=%d/suspects=%d/runs=%d", n, suspects, busy), func(b *testing.B) {
					for b.Loop() {
						NewPlan(input(workers, tr))
					}
				})
			}
		}
	}
}

// TestOverdueTrialsWaitForNoOthers guards against jobs that stand still beside idle workers because the trials of other
// jobs, or starts on the worker of their own trial, go on and on.
func TestOverdueTrialsWaitForNoOthers(t *testing.T) {
	overdue := func(StepKey) Wait { return Wait{Idle: maxIdleWait} }
	small := func() *messages.Step { return &messages.Step{Count: 3, Processors: 1000} }
	// submitSuspects submits jobs of which each task is a suspect.
	submitSuspects := func(tr *tracker.Tracker, n int) {
		for i := range n {
			id := fmt.Sprintf("suspect%d", i)
			submit(tr, id, 1, small())
			for task := range int32(3) {
				crash(tr, id, task, 2, false)
			}
		}
	}
	startedJobs := func(in *Input) int {
		started := map[string]bool{}
		for _, r := range NewPlan(in).Starts {
			started[r.GetJob()] = true
		}
		return len(started)
	}
	t.Run("more suspects than trials", func(t *testing.T) {
		is := is.New(t)
		tr := tracker.New()
		submitSuspects(tr, 20)
		in := input(fleet(4), tr)
		is.Equal(startedJobs(in), 2)
		in = input(fleet(4), tr)
		in.Waited = overdue
		is.Equal(startedJobs(in), 20) // more than there are workers
	})
	t.Run("one task of a job that stands still", func(t *testing.T) {
		is := is.New(t)
		tr := tracker.New()
		submitSuspects(tr, 1)
		in := input(fleet(8), tr)
		in.Waited = overdue
		is.Equal(len(NewPlan(in).Starts), 1)
	})
	t.Run("not in a busy fleet", func(t *testing.T) {
		is := is.New(t)
		tr := tracker.New()
		workers := fleet(4)
		submit(tr, "old", 1, &messages.Step{Count: 4, Processors: 40_000, Accelerators: 8})
		occupy(tr, "old", workers...)
		submitSuspects(tr, 4)
		in := input(workers, tr)
		in.Waited = overdue
		is.Equal(len(NewPlan(in).Starts), 1)
	})
	t.Run("beside starts", func(t *testing.T) {
		is := is.New(t)
		tr := tracker.New()
		workers := fleet(1)
		submit(tr, "new", 1, small())
		occupy(tr, "new", workers[0])
		workers[0].Runs[0].Starting = true
		submit(tr, "suspect", 1, &messages.Step{Count: 1, Processors: 1000})
		crash(tr, "suspect", 0, 1, false)
		in := input(workers, tr)
		is.Equal(len(workersOf(NewPlan(in), "suspect")), 0)
		in.Waited = overdue
		is.Equal(len(workersOf(NewPlan(in), "suspect")), 1)
	})
}

// TestWorkersOfTrialsAreUsedInTheEnd guards against a task that stands still beside idle workers because each of them has
// a trial.
func TestWorkersOfTrialsAreUsedInTheEnd(t *testing.T) {
	for _, c := range []struct {
		name string
		step *messages.Step
		wait Wait
		want int
	}{
		{"a task, not for long", &messages.Step{Count: 1, Processors: 1000}, Wait{Idle: maxIdleWait - 1}, 0},
		{"a task, for long", &messages.Step{Count: 1, Processors: 1000}, Wait{Idle: maxIdleWait}, 1},
		{"a gang, for long", &messages.Step{Count: 2, Processors: 1000, Gang: true}, Wait{Idle: maxIdleWait}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tr := tracker.New()
			workers := fleet(2)
			submit(tr, "tried", 1, &messages.Step{Count: 2, Processors: 1000})
			crash(tr, "tried", 0, 1, false)
			crash(tr, "tried", 1, 1, false)
			for i, w := range workers {
				run := &messages.Run{Job: "tried", Task: int32(i), Number: 2, Worker: w.ID, Born: w.Started}
				tr.Apply(&messages.QueueChange{Starts: []*messages.Run{run}})
				j := tr.Job("tried")
				w.Runs = []*ActiveRun{{Key: tracker.KeyOf(run), Job: j, Step: j.Step(0, 0), Need: Need(j.Step(0, 0).Spec), Starting: true}}
				w.Free = w.Free.Sub(Need(j.Step(0, 0).Spec))
			}
			submit(tr, "a", 1, c.step)
			in := input(workers, tr)
			in.Waited = func(StepKey) Wait { return c.wait }
			is.Equal(len(workersOf(NewPlan(in), "a")), c.want)
		})
	}
}

// TestDecidingTrialsStartAlone guards against innocent tasks that are given up for crashes of others: after three crashes a
// task starts on a worker of its own, also if it no longer waits for other trials, and nothing starts beside it. After four
// crashes this holds however long it and others have waited, while there is a worker for each such trial.
func TestDecidingTrialsStartAlone(t *testing.T) {
	for _, c := range []struct {
		gang    bool
		crashes int
		jobs    int
		waited  time.Duration
		workers int // with starts, at least
	}{
		{false, 3, 12, maxDecidingWait - 1, 6},
		{true, 3, 12, maxDecidingWait - 1, 6},
		{false, 4, 4, 2 * maxDecidingWait, 5},
		{true, 4, 4, 2 * maxDecidingWait, 8},
	} {
		t.Run(fmt.Sprintf("gang %v, %d crashes", c.gang, c.crashes), func(t *testing.T) {
			is := is.New(t)
			tr := tracker.New()
			for i := range c.jobs {
				id := fmt.Sprintf("suspect%d", i)
				submit(tr, id, 1, &messages.Step{Count: 2, Processors: 1000, Gang: c.gang, Spread: 1})
				crash(tr, id, 0, c.crashes, false)
				crash(tr, id, 1, c.crashes, false)
			}
			submit(tr, "later", 2, &messages.Step{Count: 40, Processors: 1000})
			in := input(fleet(8), tr)
			in.Waited = func(StepKey) Wait { return Wait{Deferred: maxBusyWait, Idle: c.waited} }
			jobs := map[string]map[string]bool{}
			for _, r := range NewPlan(in).Starts {
				if jobs[r.GetWorker()] == nil {
					jobs[r.GetWorker()] = map[string]bool{}
				}
				jobs[r.GetWorker()][r.GetJob()] = true
			}
			is.True(len(jobs) >= c.workers)
			for _, started := range jobs {
				is.Equal(len(started), 1)
			}
		})
	}
}

// TestTrialCountsForSpread guards against two tasks of a step on one worker beyond the step's limit: a task that may have
// crashed a worker is placed apart from the rest of its step, in the same pass.
func TestTrialCountsForSpread(t *testing.T) {
	for _, suspects := range []int32{1, 2, 3} {
		is := is.New(t)
		tr := tracker.New()
		submit(tr, "apart", 1, &messages.Step{Count: 3, Processors: 1000, Spread: 1})
		for task := range suspects {
			crash(tr, "apart", task, 1, false)
		}
		in := input(fleet(2), tr)
		in.Waited = func(StepKey) Wait { return Wait{Idle: 2 * maxIdleWait} }
		list := workersOf(NewPlan(in), "apart")
		slices.Sort(list)
		is.True(len(list) > 0)
		is.Equal(slices.Compact(slices.Clone(list)), list) // no worker twice
	}
}

// TestLastTrialOnBusyWorkers guards against a last trial that never starts, as a run is starting on each worker at any time.
func TestLastTrialOnBusyWorkers(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		idle   time.Duration
		starts int
	}{{maxApartWait - 1, 0}, {maxApartWait, 1}} {
		tr := tracker.New()
		workers := fleet(3)
		submit(tr, "short", 1, &messages.Step{Count: 3, Processors: 1000})
		occupy(tr, "short", workers...)
		for _, w := range workers {
			w.Runs[0].Starting = true
		}
		submit(tr, "suspect", 1, &messages.Step{Count: 1, Processors: 1000})
		crash(tr, "suspect", 0, tracker.LastTrialCrashes, false)
		in := input(workers, tr)
		in.Waited = func(StepKey) Wait { return Wait{Deferred: maxBusyWait, Idle: c.idle} }
		is.Equal(len(NewPlan(in).Starts), c.starts)
	}
}
