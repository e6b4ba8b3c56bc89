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

// besides returns an Input.Slowdown by which the images "loud" and "soft" interfere, and "self" with itself.
func besides(factor float64) func(*tracker.Step, *Worker) float64 {
	return func(s *tracker.Step, w *Worker) float64 {
		for _, a := range w.Runs {
			x, y := s.Spec.GetImage(), a.Step.Spec.GetImage()
			if x == "loud" && y == "soft" || x == "soft" && y == "loud" || x == "self" && y == "self" {
				return factor
			}
		}
		return 1
	}
}

func single(image string, count int32) *messages.Step {
	return &messages.Step{Count: count, Processors: 8000, Accelerators: 1, Image: image}
}

// planWith returns the plan for a fleet, the workers of its starts by job.
func planWith(workers []*Worker, tr *tracker.Tracker, factor float64, change func(*Input)) (Plan, map[string][]string) {
	in := input(workers, tr)
	in.Slowdown = besides(factor)
	if change != nil {
		change(in)
	}
	plan := NewPlan(in)
	byJob := map[string][]string{}
	for _, r := range plan.Starts {
		byJob[r.GetJob()] = append(byJob[r.GetJob()], r.GetWorker())
	}
	return plan, byJob
}

// TestTaskStartsApart guards against a task that starts beside a run which it slows down, though another worker has room.
func TestTaskStartsApart(t *testing.T) {
	is := is.New(t)
	workers, tr := fleet(2), tracker.New()
	submit(tr, "running", 1, single("loud", 1))
	occupy(tr, "running", workers[0])
	submit(tr, "new", 1, single("soft", 1))
	plan, starts := planWith(workers, tr, 2, nil)
	is.Equal(starts["new"], []string{"w01"})
	is.Equal(plan.Apart, 1)
	plan, starts = planWith(workers, tr, 1.05, nil) // not significant: the fuller worker goes first
	is.Equal(starts["new"], []string{"w00"})
	is.Equal(plan.Apart, 0)
}

// TestInterferenceIsNoBan guards against tasks that wait though a worker has room.
func TestInterferenceIsNoBan(t *testing.T) {
	is := is.New(t)
	workers, tr := fleet(1), tracker.New()
	submit(tr, "running", 1, single("loud", 1))
	occupy(tr, "running", workers[0])
	submit(tr, "new", 1, single("soft", 2))
	submit(tr, "gang", 1, &messages.Step{Count: 2, Processors: 8000, Accelerators: 1, Gang: true, Image: "self"})
	plan, starts := planWith(workers, tr, 2, nil)
	is.Equal(len(starts["new"]), 2)
	is.Equal(len(starts["gang"]), 2)
	is.Equal(len(plan.Stops), 0)
}

// TestStartsOfOnePassAreKeptApart guards against two interfering tasks that start on one worker in one pass, before either
// is among its runs.
func TestStartsOfOnePassAreKeptApart(t *testing.T) {
	is := is.New(t)
	tr := tracker.New()
	submit(tr, "one", 1, single("loud", 1))
	submit(tr, "two", 1, single("soft", 1))
	submit(tr, "three", 1, single("self", 2))
	_, starts := planWith(fleet(4), tr, 2, nil)
	is.True(starts["one"][0] != starts["two"][0])
	is.True(starts["three"][0] != starts["three"][1])
}

// TestGangStartsApart guards against a gang with one member beside a neighbour, which slows down all members.
func TestGangStartsApart(t *testing.T) {
	is := is.New(t)
	workers, tr := fleet(8), tracker.New()
	submit(tr, "running", 1, single("loud", 1))
	occupy(tr, "running", workers[0])
	submit(tr, "gang", 1, &messages.Step{Count: 2, Processors: 8000, Accelerators: 8, Gang: true, Compact: true, Image: "soft"})
	submit(tr, "small", 1, &messages.Step{Count: 2, Processors: 8000, Accelerators: 1, Gang: true, Compact: true, Image: "soft"})
	submit(tr, "self", 1, &messages.Step{Count: 3, Processors: 8000, Accelerators: 1, Gang: true, Compact: true, Image: "self"})
	_, starts := planWith(workers, tr, 2, nil)
	for _, id := range append(starts["gang"], starts["small"]...) {
		is.True(id != "w00")
	}
	is.Equal(len(starts["gang"]), 2)
	is.Equal(len(starts["small"]), 2)
	is.True(starts["self"][0] != starts["self"][1] && starts["self"][1] != starts["self"][2])
}

// TestInterferenceGivesWay guards against interference that counts for more than the health of workers and the rack of the
// data.
func TestInterferenceGivesWay(t *testing.T) {
	for _, gang := range []bool{false, true} {
		for name, doubt := range map[string]func(w *Worker, s *messages.Step){
			"suspect":     func(w *Worker, _ *messages.Step) { w.Suspect = true },
			"quarantined": func(w *Worker, _ *messages.Step) { w.Quarantined = true },
			"data rack":   func(_ *Worker, s *messages.Step) { s.Rack = "r0" },
		} {
			workers, tr := fleet(5), tracker.New()
			workers = []*Worker{workers[0], workers[4]} // two racks
			submit(tr, "running", 1, single("loud", 1))
			occupy(tr, "running", workers[0])
			s := single("soft", 1)
			s.Gang = gang
			doubt(workers[1], s)
			submit(tr, "new", 1, s)
			if _, starts := planWith(workers, tr, 2, nil); len(starts["new"]) != 1 || starts["new"][0] != "w00" {
				t.Errorf("%s, gang %v: starts on %v", name, gang, starts["new"])
			}
		}
	}
}

// TestStoppingNeighboursDoNotCount guards against a preference by runs that are about to end.
func TestStoppingNeighboursDoNotCount(t *testing.T) {
	is := is.New(t)
	workers, tr := fleet(2), tracker.New()
	submit(tr, "running", 1, single("loud", 1))
	occupy(tr, "running", workers[0])
	workers[0].Runs[0].Stopping = true
	submit(tr, "new", 1, single("soft", 1))
	_, starts := planWith(workers, tr, 2, nil)
	is.Equal(starts["new"], []string{"w00"})
}

// TestPlansWithoutInterference guards against plans that change though no images interfere: plans with a Slowdown that finds
// none, and with one that only concerns other images, equal those without it.
func TestPlansWithoutInterference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		images := []string{"", "a", "b", "loud"}
		build := func(draws []int) (*Input, *tracker.Tracker) {
			next := func(n int) int {
				v := draws[0]
				draws = draws[1:]
				return v % n
			}
			workers, tr := fleet(12), tracker.New()
			for i := range 10 {
				submit(tr, fmt.Sprintf("running%d", i), int32(1+next(2)), single(images[next(4)], 1))
				occupy(tr, fmt.Sprintf("running%d", i), workers[next(12)])
			}
			workers[next(12)].Suspect = true
			for i := range 12 {
				gang := next(2) == 1
				submit(tr, fmt.Sprintf("new%d", i), int32(next(3)), &messages.Step{
					Count: int32(1 + next(9)), Processors: int64(1000 * (1 + next(20))), Accelerators: int64(next(9)), Gang: gang,
					Compact: gang && next(2) == 1, Image: images[next(4)], Rack: []string{"", "r0", "r2"}[next(3)], Estimate: int64(1000 * (1 + next(9))),
				})
			}
			return input(workers, tr), tr
		}
		draws := rapid.SliceOfN(rapid.IntRange(0, 1_000_000), 200, 200).Draw(t, "draws")
		describe := func(slowdown func(*tracker.Step, *Worker) float64) string {
			in, _ := build(draws)
			in.Slowdown = slowdown
			plan := NewPlan(in)
			text := fmt.Sprint(plan.Starts, plan.Deferred, plan.Relaxed, plan.Blocked, plan.Apart)
			for _, a := range plan.Stops {
				text += fmt.Sprint(a.Key)
			}
			return text
		}
		want := describe(nil)
		for _, slowdown := range []func(*tracker.Step, *Worker) float64{
			func(*tracker.Step, *Worker) float64 { return 1 },
			func(*tracker.Step, *Worker) float64 { return 1.09 }, // not significant
			besides(3), // images without a partner here
		} {
			if got := describe(slowdown); got != want {
				t.Fatalf("plan %s, want %s", got, want)
			}
		}
	})
}

// BenchmarkNeighbours measures a pass over 350 workers with eight runs each, without interference, with one that concerns
// other images, and with one that concerns all that start.
func BenchmarkNeighbours(b *testing.B) {
	for name, image := range map[string]string{"off": "", "other": "a", "involved": "soft"} {
		b.Run(name, func(b *testing.B) {
			workers, tr := fleet(350), tracker.New()
			submit(tr, "running", 1, single("loud", 700))
			for range 2 {
				occupy(tr, "running", workers...)
			}
			for i := range 20 {
				submit(tr, fmt.Sprintf("new%d", i), 1, single(image, 39))
			}
			in := input(workers, tr)
			if name != "off" {
				in.Slowdown = besides(2)
			}
			in.Waited = func(StepKey) Wait { return Wait{Idle: time.Second} }
			for b.Loop() {
				NewPlan(in)
			}
		})
	}
}
