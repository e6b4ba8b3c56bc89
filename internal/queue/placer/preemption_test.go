package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// testPreemption is that of a deployment where resuming takes three times as long as a stop.
var testPreemption = Preemption{Restore: 600 * time.Millisecond, Stop: 200 * time.Millisecond}

// randomPool returns workers with random runs, and random jobs that wait.
func randomPool(t *rapid.T) ([]*Worker, *tracker.Tracker) {
	tr := tracker.New()
	workers := fleet(rapid.IntRange(1, 16).Draw(t, "workers"))
	for i, w := range workers {
		id := fmt.Sprintf("running%d", i)
		submit(tr, id, int32(rapid.IntRange(0, 2).Draw(t, "priority of a run")), &messages.Step{
			Count: 2, Accelerators: int64(rapid.SampledFrom([]int{1, 4}).Draw(t, "accelerators of a run")), Processors: 1000,
			Checkpoints: rapid.Bool().Draw(t, "checkpoints"),
		})
		for range rapid.IntRange(0, 2).Draw(t, "runs") {
			occupyTask(tr, id, w)
			a := w.Runs[len(w.Runs)-1]
			a.Held = time.Duration(rapid.IntRange(0, 4000).Draw(t, "held")) * time.Millisecond
			a.Unsaved = 0
			if !a.Step.Spec.GetCheckpoints() {
				a.Unsaved = a.Held * 3 / 4
			}
			a.Remaining = time.Duration(rapid.IntRange(0, 4000).Draw(t, "remaining")) * time.Millisecond
		}
	}
	for i := range rapid.IntRange(1, 8).Draw(t, "jobs") {
		submit(tr, fmt.Sprintf("j%d", i), int32(rapid.IntRange(0, 2).Draw(t, "priority")), &messages.Step{
			Count: int32(rapid.IntRange(1, 8).Draw(t, "count")), Accelerators: int64(rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(t, "accelerators")),
			Processors: 1000, Memory: 1000, Gang: rapid.Bool().Draw(t, "gang"), Compact: rapid.Bool().Draw(t, "compact"),
		})
	}
	return workers, tr
}

// describe returns the starts and stops of a plan as text.
func describe(p Plan) string {
	text := ""
	for _, r := range p.Starts {
		text += fmt.Sprintf("start %s/%d on %s\n", r.GetJob(), r.GetTask(), r.GetWorker())
	}
	for _, a := range p.Stops {
		text += fmt.Sprintf("stop %v\n", a.Key)
	}
	return text + fmt.Sprint(p.Deferred, p.Relaxed, p.Blocked)
}

// unmarkStops takes back the stops of a plan, so that the same input can be planned again.
func unmarkStops(p Plan) {
	for _, a := range p.Stops {
		a.Stopping = false
	}
}

// TestPlansWithoutRestoreTimeAreUnchanged guards deployments that do not name the time to resume: nothing that only the costs
// of stops read may change a plan.
func TestPlansWithoutRestoreTimeAreUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers, tr := randomPool(t)
		with := input(workers, tr)
		with.Preemption.Stop = time.Second
		plan := NewPlan(with)
		unmarkStops(plan)
		for _, w := range workers {
			for _, a := range w.Runs {
				a.Held = 0
			}
		}
		if other := NewPlan(input(workers, tr)); describe(plan) != describe(other) {
			t.Fatalf("plans differ:\n%s\n%s", describe(plan), describe(other))
		}
	})
}

// TestPreemptionPlanInvariants checks plans with the costs of stops for random pools: no capacity is exceeded, no gang starts in
// part, and no urgent run is stopped.
func TestPreemptionPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers, tr := randomPool(t)
		in := input(workers, tr)
		in.Preemption = testPreemption
		checkPlan(t, tr, workers, NewPlan(in))
	})
}

// TestStopsSpareRunsThatResumeSlowly guards against stops of tasks with checkpoints as if these were free: the cheapest run is
// the one that loses the least time, including that to resume and to form its gang again.
func TestStopsSpareRunsThatResumeSlowly(t *testing.T) {
	for _, c := range []struct {
		name           string
		preemption     Preemption
		saved, plain   time.Duration // since the start of the run with checkpoints, and of the one without
		wantCheckpoint bool          // the run with checkpoints is stopped
	}{
		{"without the costs", Preemption{}, 0, 300 * time.Millisecond, true},
		{"the other one has just started", testPreemption, 3 * time.Second, 300 * time.Millisecond, false},
		{"the other one has lasted", testPreemption, 3 * time.Second, 3 * time.Second, true},
		{"it has just resumed", testPreemption, 100 * time.Millisecond, 800 * time.Millisecond, true},
		{"it has resumed in vain", testPreemption, 600 * time.Millisecond, 1000 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tr := tracker.New()
			workers := fleet(2)
			submit(tr, "saved", 1, &messages.Step{Count: 1, Accelerators: 8, Checkpoints: true})
			submit(tr, "plain", 1, &messages.Step{Count: 1, Accelerators: 8})
			occupy(tr, "saved", workers[0])
			occupy(tr, "plain", workers[1])
			workers[0].Runs[0].Unsaved, workers[0].Runs[0].Held = 0, c.saved
			workers[1].Runs[0].Unsaved, workers[1].Runs[0].Held = c.plain, c.plain
			submit(tr, "urgent", 0, &messages.Step{Count: 1, Accelerators: 8, Gang: true})
			in := input(workers, tr)
			in.Preemption = c.preemption
			plan := NewPlan(in)
			is.Equal(len(plan.Stops), 1)
			is.Equal(plan.Stops[0].Step.Spec.GetCheckpoints(), c.wantCheckpoint)
		})
	}
}

// TestUrgentWorkWaitsForRunsThatEndSoon guards against stops that make room no earlier than runs which end by themselves,
// and against an urgent unit that waits for long for ends that do not come.
func TestUrgentWorkWaitsForRunsThatEndSoon(t *testing.T) {
	stop := testPreemption.Stop
	for _, c := range []struct {
		name       string
		gang       bool
		preemption Preemption
		remaining  time.Duration
		waited     time.Duration
		age        time.Duration // of the urgent job, which takes 2 s and is to end within 60 s
		stops      int
	}{
		{"off", true, Preemption{Stop: stop}, stop, 0, 0, 2},
		{"gang", true, testPreemption, stop, 0, 0, 0},
		{"tasks", false, testPreemption, stop, 0, 0, 0},
		{"the run ends later than a stop", true, testPreemption, stop + 1, 0, 0, 2},
		{"not for long", true, testPreemption, stop, endWaitFactor*stop - 1, 0, 0},
		{"long enough", true, testPreemption, stop, endWaitFactor * stop, 0, 2},
		{"tasks, long enough", false, testPreemption, stop, endWaitFactor * stop, 0, 2},
		{"time for a stop after the wait", true, testPreemption, stop, 0, 58*time.Second - 3*stop, 0},
		{"no time for that", true, testPreemption, stop, 0, 58*time.Second - 3*stop + 1, 2},
		{"slow stops, long enough", true, Preemption{Restore: time.Minute, Stop: 10 * time.Second}, stop, maxEndWait, 0, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tr := tracker.New()
			workers := fleet(4)
			submit(tr, "low", 1, &messages.Step{Count: 4, Accelerators: 8})
			occupy(tr, "low", workers...)
			for _, w := range workers[:2] {
				w.Runs[0].Remaining = c.remaining
			}
			submit(tr, "urgent", 0, &messages.Step{Count: 2, Accelerators: 8, Gang: c.gang})
			in := input(workers, tr)
			in.Preemption = c.preemption
			in.Age = func(*tracker.Job) time.Duration { return c.age }
			in.Waited = func(StepKey) Wait { return Wait{Deferred: c.waited} }
			plan := NewPlan(in)
			is.Equal(len(plan.Stops), c.stops)
			want := StopsPending
			if c.stops == 0 {
				want = EndsPending
			}
			is.Equal(plan.Blocked[len(plan.Blocked)-1].Obstacle, want)
		})
	}
}
