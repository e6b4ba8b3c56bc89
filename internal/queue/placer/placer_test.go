package placer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// fleet returns n equal workers with 8 accelerators each, 4 workers per rack.
func fleet(n int) []*Worker {
	var list []*Worker
	for i := range n {
		capacity := Vector{Processors: 64_000, Memory: 128_000, Accelerators: 8}
		list = append(list, &Worker{
			ID: fmt.Sprintf("w%02d", i), Started: 1, Pool: "p", Rack: fmt.Sprintf("r%d", i/4), Capacity: capacity, Free: capacity, Usable: true,
		})
	}
	return list
}

func input(workers []*Worker, tr *tracker.Tracker) *Input {
	return &Input{
		Workers: workers, Jobs: tr.Open(),
		Age:       func(*tracker.Job) time.Duration { return 0 },
		Guarantee: func(string) int64 { return 1000 },
		Estimate: func(_ *tracker.Job, s *tracker.Step) time.Duration {
			return time.Duration(s.Spec.GetEstimate()) * time.Millisecond
		},
		Due:  func(*tracker.Job, int32) bool { return true },
		Pool: func(*tracker.Job) string { return "p" },

		FailedAt: func(*tracker.Job) time.Time { return time.Time{} },
		Held:     func(tracker.TaskKey, *tracker.Task) bool { return false },
		Resting:  func(tracker.TaskKey) bool { return false },
		Waited:   func(StepKey) Wait { return Wait{} }, RackFactor: 3,
	}
}

// fail ends runs of the first task of a job as failed.
func fail(tr *tracker.Tracker, id string, failures int) {
	for n := range uint32(failures) {
		tr.Apply(&messages.QueueChange{Starts: []*messages.Run{{Job: id, Number: n + 1, Worker: "x", Born: 1}}})
		tr.Apply(&messages.QueueChange{Ends: []*messages.WorkerEnds{{
			Worker: "x", Born: 1, Sequence: uint64(n) + 1, Ends: []*messages.End{{Job: id, Number: n + 1, How: tracker.EndFailed}},
		}}})
	}
}

func submit(tr *tracker.Tracker, id string, priority int32, s *messages.Step) {
	if s.GetEstimate() == 0 {
		s.Estimate = 2000
	}
	tr.Apply(&messages.QueueChange{Submits: []*messages.Work{{Id: id, Priority: priority, Attempts: 3, Objective: 60_000, Steps: []*messages.Step{s}}}})
}

// occupy starts one task of a job on each worker, as if placed by an earlier pass.
func occupy(tr *tracker.Tracker, id string, workers ...*Worker) {
	for _, w := range workers {
		occupyTask(tr, id, w)
	}
}

// occupyTask starts the next task of a job on a worker, as if placed by an earlier pass.
func occupyTask(tr *tracker.Tracker, id string, w *Worker) {
	j := tr.Job(id)
	s := j.Step(0, 0)
	task := slices.IndexFunc(s.Tasks, func(t tracker.Task) bool { return t.Active == 0 })
	run := &messages.Run{Job: id, Task: int32(task), Number: 1, Worker: w.ID, Born: w.Started}
	tr.Apply(&messages.QueueChange{Starts: []*messages.Run{run}})
	w.Free = w.Free.Sub(Need(s.Spec))
	w.Runs = append(w.Runs, &ActiveRun{
		Key: tracker.KeyOf(run), Job: j, Step: s, Need: Need(s.Spec), Unsaved: time.Second, Remaining: 5 * time.Second, AtWork: true,
	})
}

// TestSmallTasksShareWorkers checks that small tasks are packed onto few workers. Spread over all workers,
// they would leave none whole for gangs that need whole workers.
func TestSmallTasksShareWorkers(t *testing.T) {
	is := is.New(t)
	tr := tracker.New()
	submit(tr, "narrow", 2, &messages.Step{Count: 8, Processors: 1000, Accelerators: 1})
	plan := NewPlan(input(fleet(8), tr))
	used := map[string]bool{}
	for _, r := range plan.Starts {
		used[r.GetWorker()] = true
	}
	is.Equal(len(plan.Starts), 8)
	is.Equal(len(used), 1)
}

// TestCompactGangStaysInOneRack checks that a compact gang, which is slow across racks, waits for a single
// rack that it fits into instead of using free workers of two racks, reserves no workers of the other one, and starts in the rack
// that becomes free.
func TestCompactGangStaysInOneRack(t *testing.T) {
	is := is.New(t)
	tr := tracker.New()
	workers := fleet(8)
	submit(tr, "low", 1, &messages.Step{Count: 4, Accelerators: 8})
	occupy(tr, "low", workers[0], workers[1], workers[4], workers[5])
	submit(tr, "gang", 1, &messages.Step{Count: 4, Accelerators: 8, Gang: true, Compact: true})
	is.Equal(len(NewPlan(input(workers, tr)).Starts), 0)
	submit(tr, "long", 1, &messages.Step{Count: 4, Accelerators: 8, Estimate: 60_000})
	is.Equal(startsByRack(workers, NewPlan(input(workers, tr))), map[string]int{"long r1": 2}) // the gang waits for r0
	for _, w := range workers[4:6] {
		w.Free, w.Runs = w.Capacity, nil
	}
	is.Equal(startsByRack(workers, NewPlan(input(workers, tr))), map[string]int{"gang r1": 4, "long r0": 2})
	submit(tr, "other", 1, &messages.Step{Count: 2, Accelerators: 8})
	occupy(tr, "other", workers[4], workers[5])
	submit(tr, "loose", 1, &messages.Step{Count: 4, Accelerators: 8, Gang: true})
	tr.Apply(&messages.QueueChange{Cancels: []string{"gang", "long"}})
	is.Equal(startsByRack(workers, NewPlan(input(workers, tr))), map[string]int{"loose r0": 2, "loose r1": 2})
}

// startsByRack counts the starts of a plan by job and rack.
func startsByRack(workers []*Worker, plan Plan) map[string]int {
	counts := map[string]int{}
	for _, r := range plan.Starts {
		w := workers[slices.IndexFunc(workers, func(w *Worker) bool { return w.ID == r.GetWorker() })]
		counts[r.GetJob()+" "+w.Rack]++
	}
	return counts
}

// TestUrgentCompactGangEvictsInOneRack guards against an urgent compact gang that stops runs in two racks, though one rack of
// them would do, or starts in both.
func TestUrgentCompactGangEvictsInOneRack(t *testing.T) {
	is := is.New(t)
	tr := tracker.New()
	workers := fleet(8)
	submit(tr, "low", 1, &messages.Step{Count: 4, Accelerators: 8})
	occupy(tr, "low", workers[0], workers[1], workers[4], workers[5])
	for _, w := range []*Worker{workers[0], workers[4]} {
		w.Runs[0].Unsaved = 0 // one cheap victim in each rack
	}
	submit(tr, "gang", 0, &messages.Step{Count: 4, Accelerators: 8, Gang: true, Compact: true})
	plan := NewPlan(input(workers, tr))
	is.Equal(len(plan.Starts), 0)
	racks := map[string]int{}
	for _, a := range plan.Stops {
		racks[workers[slices.IndexFunc(workers, func(w *Worker) bool { return slices.Contains(w.Runs, a) })].Rack]++
	}
	is.Equal(len(racks), 1)
	is.Equal(len(plan.Stops), 2)
}

// TestCompactGangBesideLastingTasks guards against a compact gang that waits for ever for a rack which lasting tasks
// keep from becoming empty. They hold a part of each rack, and all other workers are idle.
func TestCompactGangBesideLastingTasks(t *testing.T) {
	for _, c := range []struct {
		name     string
		priority int32 // of the gang
		lasting  []int // workers with a lasting task
		busy     []int // workers with a task that ends
		racks    int   // in which the gang starts, 0 if it waits
		stops    int
	}{
		{"in each rack", 1, []int{0, 1, 4, 5}, nil, 2, 0},
		{"in one rack, the other is idle", 1, []int{0, 1}, nil, 1, 0},
		{"in one rack, the other becomes idle", 1, []int{0, 1}, []int{4, 5}, 0, 0},
		{"urgent, all other workers are busy", 0, []int{0, 1, 4, 5}, []int{2, 3, 6, 7}, 0, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tr := tracker.New()
			workers := fleet(8)
			submit(tr, "service", 1, &messages.Step{Count: int32(len(c.lasting)), Accelerators: 1, Lasting: true})
			submit(tr, "low", 2, &messages.Step{Count: int32(max(len(c.busy), 1)), Accelerators: 8})
			for _, i := range c.lasting {
				occupyTask(tr, "service", workers[i])
			}
			for _, i := range c.busy {
				occupyTask(tr, "low", workers[i])
			}
			if len(c.busy) == 0 {
				tr.Apply(&messages.QueueChange{Cancels: []string{"low"}})
			}
			submit(tr, "gang", c.priority, &messages.Step{Count: 3, Accelerators: 8, Gang: true, Compact: true})
			plan := NewPlan(input(workers, tr))
			racks := map[string]bool{}
			for _, r := range plan.Starts {
				is.Equal(r.GetJob(), "gang")
				racks[workers[slices.IndexFunc(workers, func(w *Worker) bool { return w.ID == r.GetWorker() })].Rack] = true
			}
			is.Equal(len(racks), c.racks)
			is.Equal(len(plan.Stops), c.stops)
		})
	}
}

// TestUrgentGangStopsCheapestRun checks eviction with all workers in use: an urgent gang stops the runs that
// lose the least work, no more than necessary, and none of its own priority.
func TestUrgentGangStopsCheapestRun(t *testing.T) {
	is := is.New(t)
	tr := tracker.New()
	workers := fleet(4)
	submit(tr, "old", 1, &messages.Step{Count: 2, Accelerators: 8})
	occupy(tr, "old", workers[0], workers[1])
	submit(tr, "saved", 1, &messages.Step{Count: 1, Accelerators: 8, Checkpoints: true})
	occupy(tr, "saved", workers[2])
	workers[2].Runs[0].Unsaved = 0
	submit(tr, "urgent", 0, &messages.Step{Count: 1, Accelerators: 8})
	occupy(tr, "urgent", workers[3])
	submit(tr, "new", 0, &messages.Step{Count: 1, Accelerators: 8, Gang: true})
	plan := NewPlan(input(workers, tr))
	is.Equal(len(plan.Starts), 0)
	is.Equal(len(plan.Stops), 1)
	is.Equal(plan.Stops[0].Key.Job, "saved")
	// While the stop is pending, the next pass stops nothing else.
	second := NewPlan(input(workers, tr))
	is.Equal(len(second.Stops), 0)
	is.Equal(len(second.Starts), 0)
}

// TestCautiousUnitBlocksNoOther checks that an urgent unit for which no eviction makes room, because it may not use
// workers in doubt, does not keep later ones of the same pass from evicting there.
func TestCautiousUnitBlocksNoOther(t *testing.T) {
	is := is.New(t)
	tr := tracker.New()
	workers := fleet(1)
	workers[0].Suspect = true
	submit(tr, "low", 1, &messages.Step{Count: 1, Accelerators: 8})
	occupy(tr, "low", workers[0])
	submit(tr, "last attempt", 0, &messages.Step{Count: 1, Accelerators: 8, Gang: true})
	fail(tr, "last attempt", 2)
	is.Equal(len(NewPlan(input(workers, tr)).Stops), 0)
	submit(tr, "first attempt", 0, &messages.Step{Count: 1, Accelerators: 8, Gang: true})
	is.Equal(len(NewPlan(input(workers, tr)).Stops), 1)
}

// TestRackSearchBlocksNoWiderSearch guards against a compact gang that waits behind a smaller one for which no rack can be
// cleared, though it fits in no rack itself and evictions across racks make room for it.
func TestRackSearchBlocksNoWiderSearch(t *testing.T) {
	is := is.New(t)
	tr := tracker.New()
	workers := fleet(8)
	submit(tr, "urgent", 0, &messages.Step{Count: 2, Accelerators: 8})
	occupy(tr, "urgent", workers[0], workers[4])
	submit(tr, "low", 1, &messages.Step{Count: 6, Accelerators: 8})
	occupy(tr, "low", slices.Concat(workers[1:4], workers[5:])...)
	submit(tr, "fits in a rack", 0, &messages.Step{Count: 4, Accelerators: 8, Gang: true, Compact: true})
	is.Equal(len(NewPlan(input(workers, tr)).Stops), 0)
	submit(tr, "fits in no rack", 0, &messages.Step{Count: 5, Accelerators: 8, Gang: true, Compact: true})
	is.Equal(len(NewPlan(input(workers, tr)).Stops), 5)
}

// TestUnitWithinTrialLimitBlocksNoOther guards against a unit that has waited long enough for trials that decide over jobs, and
// still evicts nothing beside them because an earlier one may not use their workers.
func TestUnitWithinTrialLimitBlocksNoOther(t *testing.T) {
	is := is.New(t)
	tr := tracker.New()
	workers := fleet(4)
	submit(tr, "suspect", 0, &messages.Step{Count: 1, Processors: 1000})
	crash(tr, "suspect", 0, decidingCrashes, false)
	occupy(tr, "suspect", workers[0])
	workers[0].Runs[0].Starting = true
	submit(tr, "low", 1, &messages.Step{Count: 1, Accelerators: 8})
	occupy(tr, "low", workers[0])
	submit(tr, "urgent", 0, &messages.Step{Count: 3, Accelerators: 1})
	occupy(tr, "urgent", workers[1:]...)
	submit(tr, "new", 0, &messages.Step{Count: 1, Accelerators: 8})
	submit(tr, "old", 0, &messages.Step{Count: 1, Accelerators: 8})
	in := input(workers, tr)
	in.Waited = func(key StepKey) Wait {
		if key.Job == "old" {
			return Wait{Deferred: maxBusyWait, Idle: maxDecidingWait}
		}
		return Wait{}
	}
	plan := NewPlan(in)
	is.Equal(len(plan.Stops), 1)
	is.Equal(plan.StoppedFor[0].Job, "old")
}

// TestEvictionRespectsSpread checks that runs are stopped on as many workers as the spread limit of the urgent
// step requires, though all the cheapest ones are on one worker. Suspect tasks are placed one by one, and count for each other.
func TestEvictionRespectsSpread(t *testing.T) {
	for _, suspects := range []int32{0, 1, 2} {
		t.Run(fmt.Sprintf("%d suspects", suspects), func(t *testing.T) {
			is := is.New(t)
			tr := tracker.New()
			workers := fleet(2)
			submit(tr, "cheap", 1, &messages.Step{Count: 2, Accelerators: 4, Checkpoints: true})
			occupy(tr, "cheap", workers[0], workers[0])
			submit(tr, "dear", 1, &messages.Step{Count: 2, Accelerators: 4})
			occupy(tr, "dear", workers[1], workers[1])
			for _, a := range workers[0].Runs {
				a.Unsaved = 0
			}
			submit(tr, "urgent", 0, &messages.Step{Count: 2, Accelerators: 4, Spread: 1})
			for task := range suspects {
				crash(tr, "urgent", task, 1, false)
			}
			var stopped []string
			for _, a := range NewPlan(input(workers, tr)).Stops {
				stopped = append(stopped, a.Key.Job)
			}
			is.Equal(stopped, []string{"cheap", "dear"})
		})
	}
}

// TestWaitingGangIsNotStarved checks that a stream of small long tasks does not delay a wide gang: tasks that
// would end after its estimated start do not get the workers reserved for it.
func TestWaitingGangIsNotStarved(t *testing.T) {
	is := is.New(t)
	tr := tracker.New()
	workers := fleet(4)
	submit(tr, "now", 1, &messages.Step{Count: 1, Accelerators: 8})
	occupy(tr, "now", workers[0])
	submit(tr, "gang", 1, &messages.Step{Count: 4, Accelerators: 8, Gang: true, Compact: true})
	submit(tr, "long", 1, &messages.Step{Count: 24, Accelerators: 1, Estimate: 60_000})
	is.Equal(len(NewPlan(input(workers, tr)).Starts), 0)
	submit(tr, "short", 1, &messages.Step{Count: 4, Accelerators: 1, Estimate: 1000})
	plan := NewPlan(input(workers, tr))
	is.Equal(len(plan.Starts), 4) // backfill: they end before the gang can start
	for _, r := range plan.Starts {
		is.Equal(r.GetJob(), "short")
	}
}

// TestPlanInvariants checks plans for random workers and jobs, some of which are submitted while others run. A plan must not exceed
// the free capacity, start only part of a gang, start a task that is running, done or started by the same plan, or use a worker not
// allowed for it, nor stop a run that is urgent, lasting or of the job that gets its room, or stop it twice.
func TestPlanInvariants(t *testing.T) {
	stops := 0
	rapid.Check(t, func(t *rapid.T) {
		tr := tracker.New()
		workers := fleet(rapid.IntRange(1, 10).Draw(t, "workers"))
		for _, w := range workers {
			w.Usable = rapid.IntRange(0, 9).Draw(t, "usable") > 0
			w.Evacuated = rapid.IntRange(0, 9).Draw(t, "evacuated") == 0
			w.Suspect = rapid.IntRange(0, 4).Draw(t, "suspect") == 0
			w.Probed = rapid.IntRange(0, 4).Draw(t, "probed") == 0
			if rapid.Bool().Draw(t, "label") {
				w.Labels = []string{"a"}
			}
		}
		for round := range 4 {
			submitRandom(t, tr, round)
			plan := NewPlan(input(workers, tr))
			checkPlan(t, tr, workers, plan)
			stops += len(plan.Stops)
			applyPlan(t, tr, workers, plan)
		}
	})
	if stops == 0 {
		t.Fatal("no plan stops a run")
	}
}

// submitRandom submits random jobs, some of whose tasks have failed before.
func submitRandom(t *rapid.T, tr *tracker.Tracker, round int) {
	for i := range rapid.IntRange(1, 6).Draw(t, "jobs") {
		s := &messages.Step{
			Count: int32(rapid.IntRange(1, 12).Draw(t, "count")), Accelerators: int64(rapid.SampledFrom([]int{0, 1, 2, 4, 8, 9}).Draw(t, "accelerators")),
			Processors: int64(rapid.SampledFrom([]int{1000, 26_000, 64_000}).Draw(t, "processors")), Memory: 1000,
			Gang: rapid.Bool().Draw(t, "gang"), Compact: rapid.Bool().Draw(t, "compact"), Checkpoints: rapid.Bool().Draw(t, "checkpoints"),
			Spread: int32(rapid.SampledFrom([]int{0, 0, 1, 2}).Draw(t, "spread")), Label: rapid.SampledFrom([]string{"", "", "a"}).Draw(t, "needs"),
			Estimate: int64(rapid.IntRange(100, 20_000).Draw(t, "estimate")), Lasting: rapid.IntRange(0, 4).Draw(t, "lasting") == 0,
		}
		id := fmt.Sprintf("j%d.%d", round, i)
		submit(tr, id, int32(rapid.IntRange(0, 2).Draw(t, "priority")), s)
		fail(tr, id, rapid.IntRange(0, 2).Draw(t, "failures"))
	}
}

// applyPlan starts and stops the runs of a plan, and ends some of the others as done.
func applyPlan(t *rapid.T, tr *tracker.Tracker, workers []*Worker, plan Plan) {
	tr.Apply(&messages.QueueChange{Starts: plan.Starts})
	for _, w := range workers {
		for _, r := range plan.Starts {
			if r.GetWorker() != w.ID {
				continue
			}
			j := tr.Job(r.GetJob())
			w.Free = w.Free.Sub(Need(j.Step(0, 0).Spec))
			w.Runs = append(w.Runs, &ActiveRun{
				Key: tracker.KeyOf(r), Job: j, Step: j.Step(0, 0), Need: Need(j.Step(0, 0).Spec),
				Unsaved: time.Second, Remaining: time.Duration(rapid.IntRange(0, 9000).Draw(t, "remaining")) * time.Millisecond,
			})
		}
		w.Runs = slices.DeleteFunc(w.Runs, func(a *ActiveRun) bool {
			how := tracker.EndStopped
			if !slices.Contains(plan.Stops, a) {
				if rapid.IntRange(0, 4).Draw(t, "end") > 0 {
					return false
				}
				how = tracker.EndDone
			}
			end := &messages.End{Job: a.Key.Job, Task: a.Key.Task, Number: a.Key.Number, How: how}
			tr.Apply(&messages.QueueChange{Ends: []*messages.WorkerEnds{{Worker: w.ID, Born: w.Started, Ends: []*messages.End{end}}}})
			w.Free = w.Free.Add(a.Need)
			return true
		})
	}
}

// fitsInOneRack reports whether all tasks of a step fit on the workers of one rack that it may use, when these run nothing but
// lasting tasks, which never end by themselves.
func fitsInOneRack(s *tracker.Step, workers []*Worker) bool {
	slots := map[string]int{}
	for _, w := range workers {
		if !w.Usable || w.Evacuated || w.Probed || w.Suspect && s.Failures(0) == 2 || s.Spec.GetLabel() != "" && len(w.Labels) == 0 {
			continue
		}
		limit := len(s.Tasks)
		if spread := int(s.Spec.GetSpread()); spread > 0 {
			limit = min(limit, spread)
		}
		capacity := w.Capacity
		for _, a := range w.Runs {
			if a.Step.Spec.GetLasting() {
				capacity = capacity.Sub(a.Need)
			}
		}
		slots[w.Rack] += capacity.Fits(Need(s.Spec), limit)
	}
	for _, n := range slots {
		if n >= len(s.Tasks) {
			return true
		}
	}
	return false
}

func checkPlan(t *rapid.T, tr *tracker.Tracker, workers []*Worker, plan Plan) {
	free, byID := map[string]Vector{}, map[string]*Worker{}
	counts := map[string]int{}
	for _, w := range workers {
		free[w.ID], byID[w.ID] = w.Free, w
		for _, a := range w.Runs {
			counts[a.Key.Job+w.ID]++
		}
	}
	started, startedOn := map[string]int{}, map[string]int{}
	racks := map[string]string{} // of the first member, by job
	seen := map[tracker.TaskKey]bool{}
	for _, r := range plan.Starts {
		j, w := tr.Job(r.GetJob()), byID[r.GetWorker()]
		s := j.Step(0, 0)
		key := tracker.KeyOf(r).TaskKey
		if seen[key] || j.Ended() || s.Done || s.Tasks[r.GetTask()].Done {
			t.Fatalf("%v starts a task twice, or one that is done", r)
		}
		seen[key] = true
		startedOn[w.ID]++
		if racks[r.GetJob()] == "" {
			racks[r.GetJob()] = w.Rack
		}
		free[w.ID] = free[w.ID].Sub(Need(s.Spec))
		started[r.GetJob()]++
		counts[r.GetJob()+w.ID]++
		left := free[w.ID]
		switch {
		case left.Processors < 0 || left.Memory < 0 || left.Accelerators < 0:
			t.Fatalf("%v exceeds the free capacity: %+v left on %s", r, left, w.ID)
		case !w.Usable || w.Evacuated:
			t.Fatalf("%v starts on an unusable worker", r)
		case r.GetBorn() != w.Started || r.GetNumber() <= s.Tasks[r.GetTask()].Number:
			t.Fatalf("%v has the incarnation or number of an earlier run", r)
		case s.Spec.GetLabel() != "" && len(w.Labels) == 0:
			t.Fatalf("%v starts on a worker without the label", r)
		case s.Spec.GetSpread() > 0 && counts[r.GetJob()+w.ID] > int(s.Spec.GetSpread()):
			t.Fatalf("%v exceeds the spread limit of its step on %s", r, w.ID)
		case s.Spec.GetGang() && s.Spec.GetCompact() && fitsInOneRack(s, workers) && w.Rack != racks[r.GetJob()]:
			t.Fatalf("%v starts in rack %s, another member in rack %s", r, w.Rack, racks[r.GetJob()])
		case w.Suspect && s.Failures(r.GetTask()) == 2:
			t.Fatalf("%v is a last attempt on a suspect worker", r)
		case w.Probed && (s.Spec.GetGang() || startedOn[w.ID] > 1 || len(w.Runs) > 0):
			t.Fatalf("%v is not the only task on a probed worker", r)
		case s.Tasks[r.GetTask()].Active > 0:
			t.Fatalf("%v starts a task that is already running", r)
		}
	}
	for id, n := range started {
		if s := tr.Job(id).Step(0, 0); s.Spec.GetGang() && n != len(s.Tasks) {
			t.Fatalf("%d of %d gang members of job %s start", n, len(s.Tasks), id)
		}
	}
	checkStops(t, workers, plan)
}

func checkStops(t *rapid.T, workers []*Worker, plan Plan) {
	stopped := map[tracker.RunKey]bool{}
	for i, a := range plan.Stops {
		switch {
		case a.Job.Work.GetPriority() == 0:
			t.Fatalf("urgent run %v is stopped", a.Key)
		case a.Step.Spec.GetLasting():
			t.Fatalf("lasting run %v is stopped", a.Key)
		case stopped[a.Key]:
			t.Fatalf("%v is stopped twice", a.Key)
		case !slices.ContainsFunc(workers, func(w *Worker) bool { return slices.Contains(w.Runs, a) }):
			t.Fatalf("%v is stopped and does not run", a.Key)
		case a.Key.Job == plan.StoppedFor[i].Job:
			t.Fatalf("%v is stopped for its own job", a.Key)
		}
		stopped[a.Key] = true
	}
}

// TestLastingTasksAreNotEvicted checks that lasting tasks, which are services with users of their own, are
// never stopped for urgent gangs.
func TestLastingTasksAreNotEvicted(t *testing.T) {
	is := is.New(t)
	tr := tracker.New()
	workers := fleet(2)
	submit(tr, "service", 2, &messages.Step{Count: 1, Accelerators: 8, Lasting: true})
	occupy(tr, "service", workers[0])
	submit(tr, "batch", 1, &messages.Step{Count: 1, Accelerators: 8})
	occupy(tr, "batch", workers[1])
	submit(tr, "urgent", 0, &messages.Step{Count: 1, Accelerators: 8, Gang: true})
	plan := NewPlan(input(workers, tr))
	is.Equal(len(plan.Stops), 1)
	is.Equal(plan.Stops[0].Key.Job, "batch")
}

// TestFailingWorkersDoNotUseUpAttempts guards against a worker that fails every task while all others are
// full. It is free again right after each failure, so it would use up the attempts of one job after another.
func TestFailingWorkersDoNotUseUpAttempts(t *testing.T) {
	failed := time.Unix(1_000_000, 0)
	task := func(gang bool) *messages.Step {
		return &messages.Step{Count: 2, Processors: 1000, Accelerators: 1, Gang: gang}
	}
	for _, c := range []struct {
		name         string
		step         *messages.Step
		failures     int
		failedLately bool
		change       func(w *Worker)
		starts       int
	}{
		{"healthy worker runs all tasks", task(false), 0, false, func(*Worker) {}, 2},
		{"suspect worker is used if no other fits", task(false), 0, false, func(w *Worker) { w.Suspect = true }, 2},
		{"suspect worker gets no last attempt", task(false), 2, false, func(w *Worker) { w.Suspect = true }, 0},
		{"probed worker gets one task", task(false), 0, false, func(w *Worker) { w.Probed = true }, 1},
		{"probed worker gets no last attempt", task(false), 2, false, func(w *Worker) { w.Probed = true }, 0},
		{"probed worker gets no gang", task(true), 0, false, func(w *Worker) { w.Probed = true }, 0},
		{"unproven worker gets no last attempt right after a failure", task(false), 2, true, func(*Worker) {}, 0},
		{"unproven worker gets a second attempt right after a failure", task(false), 1, true, func(*Worker) {}, 2},
		{"unproven worker gets a last attempt later", task(false), 2, false, func(*Worker) {}, 2},
		{"worker proven since gets a last attempt", task(false), 2, true, func(w *Worker) { w.ProvenAt = failed.Add(time.Second) }, 2},
		{"worker proven before the failure gets no last attempt", task(false), 2, true, func(w *Worker) { w.ProvenAt = failed.Add(-time.Millisecond) }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tr := tracker.New()
			submit(tr, "j", 1, c.step)
			fail(tr, "j", c.failures)
			workers := fleet(1)
			c.change(workers[0])
			in := input(workers, tr)
			in.FailedAt = func(*tracker.Job) time.Time {
				if c.failedLately {
					return failed
				}
				return time.Time{}
			}
			is.Equal(len(NewPlan(in).Starts), c.starts)
		})
	}
}

// TestStartsOfAPlanAreLimited guards against a plan that does not fit into a log entry. The rest starts in later passes.
func TestStartsOfAPlanAreLimited(t *testing.T) {
	is := is.New(t)
	tr := tracker.New()
	workers := fleet(4)
	for _, w := range workers {
		w.Capacity.Processors = 10_000_000
		w.Free = w.Capacity
	}
	submit(tr, "many", 1, &messages.Step{Count: maxStarts * 2, Processors: 1000})
	submit(tr, "other", 1, &messages.Step{Count: 1, Processors: 1000})
	is.Equal(len(NewPlan(input(workers, tr)).Starts), maxStarts)
}
