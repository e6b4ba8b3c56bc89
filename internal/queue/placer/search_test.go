package placer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// variedInput returns the input of a pass over workers and jobs of all kinds, most of them busy.
func variedInput(r *rand.Rand) *Input {
	chance := func(n int) bool { return r.IntN(n) == 0 }
	pick := func(values ...int64) int64 { return values[r.IntN(len(values))] }
	millis := func(n int) time.Duration { return time.Duration(r.IntN(n)) * time.Millisecond }
	tr, workers := tracker.New(), fleet(1+r.IntN(24))
	doubts := 4 + r.IntN(40)
	for _, w := range workers {
		w.Usable = !chance(20)
		w.Late, w.Silent = !w.Usable && chance(2), !w.Usable && chance(2)
		w.Suspect, w.Probed, w.Quarantined, w.Young, w.Cold = chance(doubts), chance(doubts), chance(doubts), chance(doubts), chance(doubts)
		w.Evacuated = chance(40)
		if chance(2) {
			w.Labels = []string{"a"}
		}
		if chance(4) {
			w.ProvenAt = time.Unix(1_000_001, 0)
		}
	}
	submitStep := func(id string, s *messages.Step) {
		s.Processors, s.Memory = 500*(1+r.Int64N(8)), 1000
		s.Checkpoints, s.Estimate = chance(2), 100+r.Int64N(20_000)
		if chance(8) {
			s.Label = "a"
		}
		if chance(8) {
			s.Rack = "r1"
		}
		if chance(3) {
			s.Image = fmt.Sprintf("i%d", r.IntN(3))
		}
		if chance(6) {
			s.Lasting, s.Absent = true, int32(r.IntN(3))
		}
		tr.Apply(&messages.QueueChange{Submits: []*messages.Work{{
			Id: id, Organisation: fmt.Sprintf("o%d", r.IntN(3)), Priority: int32(pick(-1, 0, 0, 0, 0, 1, 1, 1, 2, 2)), Attempts: 3,
			Objective: pick(0, 3000, 60_000), Steps: []*messages.Step{s},
		}}})
	}
	for i := range 1 + r.IntN(2*len(workers)) {
		id := fmt.Sprintf("running%d", i)
		submitStep(id, &messages.Step{Count: int32(1 + r.IntN(8)), Accelerators: pick(0, 1, 1, 2, 4, 8), Gang: chance(3)})
		s := tr.Job(id).Step(0, 0)
		for range s.Tasks {
			w := workers[r.IntN(len(workers))]
			if w.Free.Fits(Need(s.Spec), 1) == 0 {
				if s.Spec.GetGang() {
					break
				}
				continue
			}
			occupyTask(tr, id, w)
			a := w.Runs[len(w.Runs)-1]
			a.Held, a.Unsaved, a.Remaining = millis(5000), millis(5000), millis(4000)
			a.Stopping, a.Starting = chance(20), chance(30)
			a.AtWork = !a.Starting && !chance(20)
		}
	}
	for i := range 1 + r.IntN(20) {
		id := fmt.Sprintf("queued%d", i)
		submitStep(id, &messages.Step{
			Count: int32(1 + r.IntN(12)), Accelerators: pick(0, 1, 1, 2, 3, 4, 8, 9), Gang: chance(3), Compact: chance(3),
			Spread: int32(pick(0, 0, 0, 1, 2)),
		})
		if chance(10) {
			fail(tr, id, 1+r.IntN(2))
		}
		if chance(10) {
			crash(tr, id, 0, 1+r.IntN(4), chance(2))
		}
	}
	return variedWaits(r, input(workers, tr))
}

// variedWaits sets what an input says about waits, guarantees and costs.
func variedWaits(r *rand.Rand, in *Input) *Input {
	long := r.IntN(3) == 0
	of := func(id string, n int) int { // depends on the name alone, as it may be asked for often
		sum := 0
		for _, c := range id {
			sum = sum*31 + int(c)
		}
		return sum % n
	}
	in.Waited = func(key StepKey) Wait {
		if !long {
			return Wait{}
		}
		return Wait{Deferred: time.Duration(of(key.Job, 5)) * 9 * time.Second, Idle: time.Duration(of(key.Job, 7)) * 450 * time.Millisecond}
	}
	in.Age = func(j *tracker.Job) time.Duration { return time.Duration(of(j.Work.GetId(), 5)) * time.Second }
	guarantee := r.Int64N(40)
	in.Guarantee = func(string) int64 { return guarantee }
	in.FailedAt = func(j *tracker.Job) time.Time {
		if of(j.Work.GetId(), 3) == 0 {
			return time.Unix(1_000_000, 0)
		}
		return time.Time{}
	}
	if r.IntN(2) == 0 {
		in.Preemption = testPreemption
	}
	if r.IntN(3) == 0 {
		in.Slowdown = func(s *tracker.Step, w *Worker) float64 {
			value := 1.0
			for _, a := range w.Runs {
				if a.Step.Spec.GetImage() != "" && a.Step.Spec.GetImage() != s.Spec.GetImage() {
					value += 0.3
				}
			}
			return value
		}
	}
	return in
}

// describeAll returns all decisions of a plan as text.
func describeAll(p Plan) string {
	return describe(p) + fmt.Sprint(p.StoppedFor, p.Obstacles, p.Apart, p.Resume)
}

// TestSearchesPlanTheSame guards against plans that depend on what a pass keeps of earlier searches.
func TestSearchesPlanTheSame(t *testing.T) {
	for seed := range uint64(400) {
		want := newPlan(variedInput(rand.New(rand.NewPCG(seed, 2))), searchState{maxVisits: math.MaxInt, exhaustive: true})
		got := NewPlan(variedInput(rand.New(rand.NewPCG(seed, 2))))
		if describeAll(got) != describeAll(want) {
			t.Fatalf("seed %d: plan\n%s\nwant\n%s", seed, describeAll(got), describeAll(want))
		}
	}
}

// TestReclaimLimitsHoldAcrossWorkers guards against single tasks of one step that stop more than the limits allow, because what is
// kept of the first searches does not know the later stops on other workers.
func TestReclaimLimitsHoldAcrossWorkers(t *testing.T) {
	for _, c := range []struct {
		name     string
		priority int32
		lasting  bool
		stops    int
	}{
		{"tasks of a service that may be away", 2, true, 3},
		{"urgent runs beyond the guarantee of their organisation", 0, false, 24 - 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			workers, tr := fullFleet(3, c.priority, c.lasting)
			submitFor(tr, "guaranteed", "urgent", 0, &messages.Step{Count: 24, Processors: 1000, Accelerators: 1})
			in := input(workers, tr)
			in.Age = func(*tracker.Job) time.Duration { return reclaimDelay }
			in.Guarantee = func(organisation string) int64 {
				if organisation == "guaranteed" {
					return 24
				}
				return 5
			}
			is.New(t).Equal(len(NewPlan(in).Stops), c.stops)
		})
	}
}

// TestLimitedSearchKeepsOrder guards against a limit of the search that lets later units go before earlier ones: what a limited
// pass decides is what a pass without a limit decides first.
func TestLimitedSearchKeepsOrder(t *testing.T) {
	limited := 0
	for seed := range uint64(400) {
		r := rand.New(rand.NewPCG(seed, 3))
		all := NewPlan(variedInput(r))
		r = rand.New(rand.NewPCG(seed, 3))
		some := newPlan(variedInput(r), searchState{maxVisits: r.IntN(2000)})
		if some.Resume != (StepKey{}) {
			limited++
		}
		starts, stops := describe(Plan{Starts: all.Starts[:len(some.Starts)]}), describe(Plan{Stops: all.Stops[:len(some.Stops)]})
		if describe(Plan{Starts: some.Starts}) != starts || describe(Plan{Stops: some.Stops}) != stops {
			t.Fatalf("seed %d: plan\n%s\nis not the beginning of\n%s", seed, describe(some), describe(all))
		}
	}
	is.New(t).True(limited > 100)
}

// TestLimitedSearchReachesAll guards against a job that never starts on idle workers, because units which come first and fit nowhere,
// or whose tasks wait for stops that do not end, use up the work of each pass.
func TestLimitedSearchReachesAll(t *testing.T) {
	const first = 30
	for name, submitFirst := range map[string]func(*tracker.Tracker){
		"they fit nowhere": func(tr *tracker.Tracker) {
			for i := range first { // none asks for less than another one, so each is searched for
				submit(tr, fmt.Sprintf("large%d", i), 1, &messages.Step{Count: 1, Processors: int64(1000 + i), Memory: int64(200_000 - i)})
			}
		},
		"they wait for stops": func(tr *tracker.Tracker) {
			submit(tr, "urgent", 0, &messages.Step{Count: first, Processors: 1000, Accelerators: 1})
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			workers, tr := fullFleet(10, 2, false)
			submitFirst(tr)
			submit(tr, "small", 2, &messages.Step{Count: 1, Processors: 1000, Memory: 1000})
			in := input(workers, tr)
			passes := 0
			for ; passes < first; passes++ {
				plan := newPlan(in, searchState{maxVisits: 8 * len(workers)})
				if len(plan.Starts) > 0 {
					is.Equal(plan.Starts[0].GetJob(), "small")
					break
				}
				is.True(slices.ContainsFunc(plan.Blocked, func(b Blocked) bool { return b.Key.Job == "small" && b.Obstacle == SearchLimit }))
				in.Resume = plan.Resume
			}
			is.True(passes > 0)
			is.True(passes < first)
		})
	}
}
