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

// fleet returns equal workers with 8 accelerators, 4 in a rack.
func fleet(n int) []*Worker {
	var list []*Worker
	for i := range n {
		room := Vector{Processors: 64_000, Memory: 128_000, Accelerators: 8}
		list = append(list, &Worker{
			ID: fmt.Sprintf("w%02d", i), Born: 1, Pool: "p", Rack: fmt.Sprintf("r%d", i/4), Capacity: room, Free: room, Usable: true,
		})
	}
	return list
}

func input(workers []*Worker, book *tracker.Tracker) *Input {
	return &Input{
		Workers: workers, Jobs: book.Open(),
		Age:       func(*tracker.Job) time.Duration { return 0 },
		Guarantee: func(string) int64 { return 1000 },
		Estimate: func(_ *tracker.Job, s *tracker.Step) time.Duration {
			return time.Duration(s.Spec.GetEstimate()) * time.Millisecond
		},
		Due:  func(*tracker.Job, int32) bool { return true },
		Pool: func(*tracker.Job) string { return "p" },
	}
}

func submit(b *tracker.Tracker, id string, priority int32, s *messages.Step) {
	if s.GetEstimate() == 0 {
		s.Estimate = 2000
	}
	b.Apply(&messages.QueueChange{Submits: []*messages.Work{{Id: id, Priority: priority, Attempts: 3, Objective: 60_000, Steps: []*messages.Step{s}}}})
}

// occupy starts a job's tasks on workers, as an earlier pass did.
func occupy(b *tracker.Tracker, id string, on ...*Worker) {
	j := b.Job(id)
	s := j.Step(0, 0)
	for i, w := range on {
		run := &messages.Run{Job: id, Task: int32(i), Number: 1, Worker: w.ID, Born: w.Born}
		b.Apply(&messages.QueueChange{Starts: []*messages.Run{run}})
		w.Free = w.Free.Sub(Need(s.Spec))
		w.Runs = append(w.Runs, &Active{
			Key: tracker.KeyOf(run), Job: j, Step: s, Need: Need(s.Spec), Unsaved: time.Second, Remaining: 5 * time.Second,
		})
	}
}

// TestNarrowWorkLeavesWholeWorkers is the pattern of a burst of small tasks before gangs of whole
// workers: the small ones must share workers, not spread over all of them.
func TestNarrowWorkLeavesWholeWorkers(t *testing.T) {
	is := is.New(t)
	b := tracker.New()
	submit(b, "narrow", 2, &messages.Step{Count: 8, Processors: 1000, Accelerators: 1})
	plan := New(input(fleet(8), b))
	used := map[string]bool{}
	for _, r := range plan.Starts {
		used[r.GetWorker()] = true
	}
	is.Equal(len(plan.Starts), 8)
	is.Equal(len(used), 1)
}

// TestCompactGangStaysInOneRack is the pattern of gangs that are slow across racks: one that fits into
// a rack waits for it rather than take what is free in two.
func TestCompactGangStaysInOneRack(t *testing.T) {
	is := is.New(t)
	b := tracker.New()
	workers := fleet(8)
	submit(b, "low", 1, &messages.Step{Count: 4, Accelerators: 8})
	occupy(b, "low", workers[0], workers[1], workers[4], workers[5])
	submit(b, "gang", 1, &messages.Step{Count: 4, Accelerators: 8, Gang: true, Compact: true})
	is.Equal(len(New(input(workers, b)).Starts), 0)
	submit(b, "loose", 1, &messages.Step{Count: 4, Accelerators: 8, Gang: true})
	racks := map[string]bool{}
	b.Apply(&messages.QueueChange{Cancels: []string{"gang"}})
	for _, r := range New(input(workers, b)).Starts {
		racks[r.GetWorker()] = true
	}
	is.Equal(len(racks), 4)
}

// TestUrgentGangTakesTheLeastLoss is the pattern of urgent work on a full fleet: it stops what loses
// least, no more than it needs, and nothing of its own priority.
func TestUrgentGangTakesTheLeastLoss(t *testing.T) {
	is := is.New(t)
	b := tracker.New()
	workers := fleet(4)
	submit(b, "old", 1, &messages.Step{Count: 2, Accelerators: 8})
	occupy(b, "old", workers[0], workers[1])
	submit(b, "saved", 1, &messages.Step{Count: 1, Accelerators: 8, Checkpoints: true})
	occupy(b, "saved", workers[2])
	workers[2].Runs[0].Unsaved = 0
	submit(b, "urgent", 0, &messages.Step{Count: 1, Accelerators: 8})
	occupy(b, "urgent", workers[3])
	submit(b, "new", 0, &messages.Step{Count: 1, Accelerators: 8, Gang: true})
	plan := New(input(workers, b))
	is.Equal(len(plan.Starts), 0)
	is.Equal(len(plan.Stops), 1)
	is.Equal(plan.Stops[0].Key.Job, "saved")
	// While the stop is under way, the next pass waits for it and stops nothing else.
	again := New(input(workers, b))
	is.Equal(len(again.Stops), 0)
	is.Equal(len(again.Starts), 0)
}

// TestWaitingGangIsNotStarved is the pattern of a wide gang behind a stream of small long tasks: what
// would end after the gang could start is kept off the workers that it waits for.
func TestWaitingGangIsNotStarved(t *testing.T) {
	is := is.New(t)
	b := tracker.New()
	workers := fleet(4)
	submit(b, "now", 1, &messages.Step{Count: 1, Accelerators: 8})
	occupy(b, "now", workers[0])
	submit(b, "gang", 1, &messages.Step{Count: 4, Accelerators: 8, Gang: true, Compact: true})
	submit(b, "long", 1, &messages.Step{Count: 24, Accelerators: 1, Estimate: 60_000})
	is.Equal(len(New(input(workers, b)).Starts), 0)
	submit(b, "short", 1, &messages.Step{Count: 4, Accelerators: 1, Estimate: 1000})
	plan := New(input(workers, b))
	is.Equal(len(plan.Starts), 4) // backfill that ends in time
	for _, r := range plan.Starts {
		is.Equal(r.GetJob(), "short")
	}
}

// TestPlansHold draws fleets and jobs: no plan may start more than has room, a part of a gang, a task
// on a worker that does not suit it, or a task that runs already; nor stop what is as urgent.
func TestPlansHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := tracker.New()
		workers := fleet(rapid.IntRange(1, 10).Draw(t, "workers"))
		for _, w := range workers {
			w.Usable = rapid.IntRange(0, 9).Draw(t, "usable") > 0
			if rapid.Bool().Draw(t, "label") {
				w.Labels = []string{"a"}
			}
		}
		for i := range rapid.IntRange(1, 12).Draw(t, "jobs") {
			s := &messages.Step{
				Count: int32(rapid.IntRange(1, 12).Draw(t, "count")), Accelerators: int64(rapid.SampledFrom([]int{0, 1, 2, 4, 8, 9}).Draw(t, "accelerators")),
				Processors: int64(rapid.SampledFrom([]int{1000, 26_000, 64_000}).Draw(t, "processors")), Memory: 1000,
				Gang: rapid.Bool().Draw(t, "gang"), Compact: rapid.Bool().Draw(t, "compact"), Checkpoints: rapid.Bool().Draw(t, "checkpoints"),
				Spread: int32(rapid.SampledFrom([]int{0, 0, 1, 2}).Draw(t, "spread")), Label: rapid.SampledFrom([]string{"", "", "a"}).Draw(t, "needs"),
				Estimate: int64(rapid.IntRange(100, 20_000).Draw(t, "estimate")),
			}
			submit(b, fmt.Sprintf("j%d", i), int32(rapid.IntRange(0, 2).Draw(t, "priority")), s)
		}
		for range 3 {
			plan := New(input(workers, b))
			checkPlan(t, b, workers, plan)
			b.Apply(&messages.QueueChange{Starts: plan.Starts})
			byID := map[string]*Worker{}
			for _, w := range workers {
				byID[w.ID] = w
			}
			for _, r := range plan.Starts {
				j := b.Job(r.GetJob())
				w := byID[r.GetWorker()]
				w.Free = w.Free.Sub(Need(j.Step(0, 0).Spec))
				w.Runs = append(w.Runs, &Active{
					Key: tracker.KeyOf(r), Job: j, Step: j.Step(0, 0), Need: Need(j.Step(0, 0).Spec),
					Unsaved: time.Second, Remaining: time.Duration(rapid.IntRange(0, 9000).Draw(t, "remaining")) * time.Millisecond,
				})
			}
		}
	})
}

func checkPlan(t *rapid.T, b *tracker.Tracker, workers []*Worker, plan Plan) {
	free, byID := map[string]Vector{}, map[string]*Worker{}
	onWorker := map[string]int{}
	for _, w := range workers {
		free[w.ID], byID[w.ID] = w.Free, w
		for _, a := range w.Runs {
			onWorker[a.Key.Job+w.ID]++
		}
	}
	started := map[string]int{}
	for _, r := range plan.Starts {
		j, w := b.Job(r.GetJob()), byID[r.GetWorker()]
		s := j.Step(0, 0)
		free[w.ID] = free[w.ID].Sub(Need(s.Spec))
		started[r.GetJob()]++
		onWorker[r.GetJob()+w.ID]++
		left := free[w.ID]
		switch {
		case left.Processors < 0 || left.Memory < 0 || left.Accelerators < 0:
			t.Fatalf("%v leaves %+v on %s", r, left, w.ID)
		case !w.Usable:
			t.Fatalf("%v starts on an unusable worker", r)
		case s.Spec.GetLabel() != "" && len(w.Labels) == 0:
			t.Fatalf("%v starts on a worker without the label", r)
		case s.Spec.GetSpread() > 0 && onWorker[r.GetJob()+w.ID] > int(s.Spec.GetSpread()):
			t.Fatalf("%v is one too many of its step on %s", r, w.ID)
		case s.Tasks[r.GetTask()].Active > 0:
			t.Fatalf("%v runs already", r)
		}
	}
	for id, n := range started {
		if s := b.Job(id).Step(0, 0); s.Spec.GetGang() && n != len(s.Tasks) {
			t.Fatalf("%d of the %d members of %s start", n, len(s.Tasks), id)
		}
	}
	for _, a := range plan.Stops {
		if a.Job.Work.GetPriority() == 0 {
			t.Fatalf("%v is stopped and is urgent itself", a.Key)
		}
	}
}

// TestLastingTasksAreLeftAlone is the pattern of services beside urgent gangs: what serves users of its
// own is never stopped for them.
func TestLastingTasksAreLeftAlone(t *testing.T) {
	is := is.New(t)
	b := tracker.New()
	workers := fleet(2)
	submit(b, "service", 2, &messages.Step{Count: 1, Accelerators: 8, Lasting: true})
	occupy(b, "service", workers[0])
	submit(b, "batch", 1, &messages.Step{Count: 1, Accelerators: 8})
	occupy(b, "batch", workers[1])
	submit(b, "urgent", 0, &messages.Step{Count: 1, Accelerators: 8, Gang: true})
	plan := New(input(workers, b))
	is.Equal(len(plan.Stops), 1)
	is.Equal(plan.Stops[0].Key.Job, "batch")
}

// TestBadWorkersDrawNoWork is the pattern of workers that fail all that they start while the others are
// full: they have room at once after each failure, and must not use up the attempts of job after job.
func TestBadWorkersDrawNoWork(t *testing.T) {
	task := func(gang bool) *messages.Step {
		return &messages.Step{Count: 2, Processors: 1000, Accelerators: 1, Gang: gang}
	}
	for _, c := range []struct {
		name     string
		step     *messages.Step
		failures int
		change   func(w *Worker)
		starts   int
	}{
		{"a sound worker takes all", task(false), 0, func(*Worker) {}, 2},
		{"a suspect takes what nothing else has room for", task(false), 0, func(w *Worker) { w.Suspect = true }, 2},
		{"a suspect takes no last attempt", task(false), 2, func(w *Worker) { w.Suspect = true }, 0},
		{"one task probes a bad worker", task(false), 0, func(w *Worker) { w.Probed = true }, 1},
		{"no last attempt probes", task(false), 2, func(w *Worker) { w.Probed = true }, 0},
		{"no gang probes", task(true), 0, func(w *Worker) { w.Probed = true }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := tracker.New()
			submit(b, "j", 1, c.step)
			for n := range uint32(c.failures) {
				b.Apply(&messages.QueueChange{Starts: []*messages.Run{{Job: "j", Number: n + 1, Worker: "x", Born: 1}}})
				b.Apply(&messages.QueueChange{Ends: []*messages.WorkerEnds{{
					Worker: "x", Born: 1, Sequence: uint64(n) + 1, Ends: []*messages.End{{Job: "j", Number: n + 1, How: tracker.EndFailed}},
				}}})
			}
			workers := fleet(1)
			c.change(workers[0])
			is.Equal(len(New(input(workers, b)).Starts), c.starts)
		})
	}
}
