package coordinator

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap/zapcore"

	"github.com/bluebellgauge/bluebellgauge/internal/state/applier"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// order sends an order about a data centre and returns the status of the verdict.
func (f *fixture) order(t *testing.T, place string, over bool) string {
	t.Helper()
	v, err := f.Evacuate(context.Background(), &messages.EvacuationOrder{Place: place, Over: over, By: "op"})
	if err != nil {
		t.Fatal(err)
	}
	return v.GetStatus()
}

// reportFrom sends a report of a worker in a data centre that lists runs.
func (f *fixture) reportFrom(t *testing.T, worker, place string, sequence uint64, runs ...*messages.Run) *messages.FleetOrders {
	t.Helper()
	return f.report(t, sequence, func(r *messages.FleetReport) {
		r.Worker, r.Place = worker, place
		listing(runs)(r)
	})
}

// TestNothingStartsInEvacuatedPlace guards against starts in a data centre from the acknowledgement of its evacuation until
// its return, under the same leader and from the first pass of the next one.
func TestNothingStartsInEvacuatedPlace(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.opts.Places = []string{"north"}
	f.reportFrom(t, "w", "north", 1)
	is.Equal(f.order(t, "north", false), StatusOK)
	is.Equal(f.order(t, "north", false), StatusOK) // repeated
	is.Equal(f.submit(t, "/q/a", "k1"), StatusOK)
	sequence := uint64(1)
	starts := func() (planned, ordered int) {
		f.now = f.now.Add(250 * time.Millisecond)
		sequence++
		f.reportFrom(t, "w", "north", sequence)
		f.Pass(context.Background())
		planned = f.state.Job("a").Active()
		sequence++
		return planned, len(f.reportFrom(t, "w", "north", sequence).GetStarts())
	}
	for i := range 10 {
		if i%3 == 2 {
			f.leaderTerm++
		}
		planned, ordered := starts()
		is.Equal(planned, 0)
		is.Equal(ordered, 0)
	}
	list, err := f.Evacuations(context.Background(), nil)
	is.NoErr(err)
	is.Equal(len(list.GetEvacuations()), 1)
	is.Equal(list.GetEvacuations()[0].GetBy(), "op")
	is.Equal(f.order(t, "north", true), StatusOK)
	is.Equal(f.order(t, "north", true), StatusOK)
	planned, ordered := starts()
	is.Equal(planned, 1)
	is.Equal(ordered, 1)
}

// TestStartsBeforeEvacuation guards against a start that was decided before an evacuation and is ordered after it, and against
// one that waits long after it is known not to run. One that has begun runs on.
func TestStartsBeforeEvacuation(t *testing.T) {
	prepare := func(t *testing.T) *fixture {
		f := newFixture()
		f.opts.Places = []string{"north"}
		if status := f.submit(t, "/q/a", "k1"); status != StatusOK {
			t.Fatal(status)
		}
		f.reportFrom(t, "w", "north", 1)
		f.Pass(context.Background())
		return f
	}
	run := &messages.Run{Job: "a", Number: 1}
	t.Run("not ordered", func(t *testing.T) {
		is := is.New(t)
		f := prepare(t)
		lines := f.observe()
		f.order(t, "north", false)
		is.Equal(len(f.reportFrom(t, "w", "north", 2).GetStarts()), 0)
		is.Equal(f.state.Job("a").Active(), 0) // the report revokes it
		is.Equal(lines.FilterMessage("data centre evacuated").Len(), 1)
	})
	t.Run("not ordered, without a report", func(t *testing.T) {
		is := is.New(t)
		f := prepare(t)
		lines := f.observe()
		f.order(t, "north", false)
		f.Pass(context.Background())
		is.Equal(f.state.Job("a").Active(), 0)
		is.Equal(lines.FilterMessage("start withheld: the data centre is evacuated").Len(), 1)
		is.Equal(len(f.reportFrom(t, "w", "north", 2).GetStarts()), 0)
	})
	t.Run("ordered and lost", func(t *testing.T) {
		is := is.New(t)
		f := prepare(t)
		is.Equal(len(f.reportFrom(t, "w", "north", 2).GetStarts()), 1)
		f.order(t, "north", false)
		f.Pass(context.Background())
		is.Equal(f.state.Job("a").Active(), 1) // it may be on its way
		is.Equal(len(f.reportFrom(t, "w", "north", 3).GetStarts()), 0)
		is.Equal(f.state.Job("a").Active(), 0)
	})
	t.Run("ordered and begun", func(t *testing.T) {
		is := is.New(t)
		f := prepare(t)
		is.Equal(len(f.reportFrom(t, "w", "north", 2).GetStarts()), 1)
		f.order(t, "north", false)
		for s := range uint64(5) {
			o := f.reportFrom(t, "w", "north", 3+s, run)
			f.Pass(context.Background())
			is.Equal(len(o.GetStops()), 0)
			is.Equal(f.state.Job("a").Active(), 1)
		}
	})
	t.Run("of an earlier leader", func(t *testing.T) {
		is := is.New(t)
		f := prepare(t)
		f.order(t, "north", false)
		f.leaderTerm++
		lines := f.observe()
		begin := f.now
		for s := uint64(2); f.state.Job("a").Active() > 0; s++ {
			f.now = f.now.Add(250 * time.Millisecond)
			is.Equal(len(f.reportFrom(t, "w", "north", s).GetStarts()), 0)
			f.Pass(context.Background())
			is.True(f.now.Sub(begin) < 7*time.Second) // the longest lease
		}
		is.Equal(lines.FilterMessage("start withheld: the data centre is evacuated").Len(), 1)
	})
	t.Run("returned in time", func(t *testing.T) {
		is := is.New(t)
		f := prepare(t)
		f.leaderTerm++
		f.order(t, "north", false)
		is.Equal(len(f.reportFrom(t, "w", "north", 2).GetStarts()), 0)
		f.order(t, "north", true)
		is.Equal(len(f.reportFrom(t, "w", "north", 3).GetStarts()), 1)
	})
}

// TestEvacuationDuringLongPoll guards against a start that is sent in a response which was being held back when the evacuation
// was committed.
func TestEvacuationDuringLongPoll(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.opts.Places = []string{"north"}
	f.opts.Timing.MaxPollTime = 500 * time.Millisecond
	f.wait = func(_ context.Context, _ <-chan struct{}, limit time.Duration) { f.now = f.now.Add(limit) }
	f.reportFrom(t, "w", "north", 1)
	is.Equal(f.submit(t, "/q/a", "k1"), StatusOK)
	waits := 0
	f.wait = func(_ context.Context, _ <-chan struct{}, limit time.Duration) {
		if waits++; waits == 1 {
			f.Pass(context.Background())
			is.Equal(f.state.Job("a").Active(), 1)
			is.Equal(f.order(t, "north", false), StatusOK)
		}
		f.now = f.now.Add(limit)
	}
	is.Equal(len(f.reportFrom(t, "w", "north", 2).GetStarts()), 0)
	is.True(waits > 0)
}

// TestWorkerMovesIntoEvacuatedPlace guards against starts on a worker that joins an evacuated data centre, or reports from it
// later, and against a worker that stays unused after it has left one.
func TestWorkerMovesIntoEvacuatedPlace(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.opts.Places = []string{"north", "south"}
	is.Equal(f.submit(t, "/q/a", "k1"), StatusOK)
	is.Equal(f.order(t, "north", false), StatusOK)
	f.reportFrom(t, "w", "south", 1)
	f.Pass(context.Background())
	is.Equal(f.state.Job("a").Active(), 1)
	is.Equal(len(f.reportFrom(t, "w", "north", 2).GetStarts()), 0)
	f.Pass(context.Background())
	is.Equal(f.state.Job("a").Active(), 0)
	f.reportFrom(t, "w", "south", 3)
	f.Pass(context.Background())
	is.Equal(len(f.reportFrom(t, "w", "south", 4).GetStarts()), 1)
}

// TestGangAcrossEvacuatedPlace guards against a gang of which some members never start, since their workers' data centre was
// evacuated, while the others hold their workers: it starts elsewhere as a whole.
func TestGangAcrossEvacuatedPlace(t *testing.T) {
	is := is.New(t)
	f := newRackFleet(3, func(string, *messages.Run, time.Duration) string { return "" })
	f.place = map[string]string{"r0": "north", "r1": "south", "r2": "south"}
	f.step(t)
	f.add("gang", 3, &messages.Step{Count: 6, Processors: 8000, Estimate: 60_000, Gang: true})
	f.Pass(context.Background())
	step := f.state.Job("gang").Step(0, 0)
	places := map[string]int{}
	for _, task := range step.Tasks {
		places[f.place[rackOf(task.Worker)]]++
	}
	is.True(places["north"] > 0 && places["south"] > 0)
	is.Equal(f.order(t, "north", false), StatusOK)
	woken := func() int { // workers in the south whose long polls end
		n := 0
		for id, w := range f.Coordinator.workers {
			if f.place[rackOf(id)] == "south" {
				n += len(w.wake)
			}
		}
		return n
	}
	for _, w := range f.Coordinator.workers {
		w.wake = make(chan struct{}, 1)
	}
	f.Pass(context.Background()) // the fleet takes each start for begun in its next report
	is.Equal(woken(), places["south"])
	begin := f.now
	for f.now.Sub(begin) < 3*time.Second {
		f.step(t)
	}
	is.Equal(f.state.Job("gang").Active(), 6)
	for _, task := range step.Tasks {
		is.Equal(f.place[rackOf(task.Worker)], "south")
	}
	is.Equal(step.Failures(0), uint32(0))
}

// TestOrdersForPlaces checks which orders are accepted: one for a data centre that nobody names is a mistake of the operator's,
// but a leader that can't know yet must not refuse a real one.
func TestOrdersForPlaces(t *testing.T) {
	for _, c := range []struct {
		name     string
		settings []string
		led      time.Duration
		place    string
		over     bool
		want     string
	}{
		{"in the settings", []string{"north"}, 0, "north", false, StatusOK},
		{"not in the settings", []string{"north"}, 0, "nowhere", false, StatusNoPlace},
		{"end, not in the settings", []string{"north"}, 0, "nowhere", true, StatusNoPlace},
		{"named by a worker", []string{"north"}, 0, "workers", false, StatusOK},
		{"no settings, new leader", nil, fleetDiscoveryTime - time.Millisecond, "nowhere", false, StatusOK},
		{"no settings", nil, fleetDiscoveryTime, "nowhere", false, StatusNoPlace},
		{"no settings, named by a worker", nil, fleetDiscoveryTime, "workers", false, StatusOK},
		{"end of one in force whose workers are gone", nil, fleetDiscoveryTime, "gone", true, StatusOK},
		{"empty", nil, 0, "", false, StatusNoPlace},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.opts.Places = c.settings
			f.reportFrom(t, "w", "workers", 1)
			f.state.Apply(&messages.QueueChange{Evacuations: []*messages.EvacuationOrder{{Place: "gone"}}})
			f.now = f.termStart.Add(c.led)
			is.Equal(f.order(t, c.place, c.over), c.want)
			is.Equal(f.state.IsEvacuated(c.place), c.want == StatusOK && !c.over)
		})
	}
}

// TestOrderOfGoneCaller guards against a delayed copy of an order that takes effect after its caller has gone and has ordered
// otherwise.
func TestOrderOfGoneCaller(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.opts.Places = []string{"north"}
	ctx, gone := context.WithCancel(context.Background())
	commits := 0
	f.wait = func(context.Context, <-chan struct{}, time.Duration) { gone() } // the cancellation comes right behind the order
	f.opts.Commit = func(context.Context, uint64, *messages.QueueChange) (applier.Receipt, error) {
		commits++
		return applier.Receipt{}, nil
	}
	_, err := f.Evacuate(ctx, &messages.EvacuationOrder{Place: "north"})
	is.True(errors.Is(err, context.Canceled))
	is.Equal(commits, 0)
}

// TestUnconfirmedOrders guards against an acknowledgement without a commit, and against an order that is skipped because an
// earlier one has not been applied yet: the last order must hold.
func TestUnconfirmedOrders(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.opts.Places = []string{"north"}
	commit := f.opts.Commit
	var pending *messages.QueueChange
	f.opts.Commit = func(_ context.Context, _ uint64, change *messages.QueueChange) (applier.Receipt, error) {
		pending = change // it will be applied before any later one
		return applier.Receipt{}, applier.ErrOutcomeUnknown
	}
	_, err := f.Evacuate(context.Background(), &messages.EvacuationOrder{Place: "north"})
	is.True(errors.Is(err, applier.ErrOutcomeUnknown))
	is.True(!f.state.IsEvacuated("north"))
	f.opts.Commit = func(ctx context.Context, term uint64, change *messages.QueueChange) (applier.Receipt, error) {
		f.state.Apply(pending)
		return commit(ctx, term, change)
	}
	is.Equal(f.order(t, "north", true), StatusOK)
	is.True(!f.state.IsEvacuated("north"))
}

// TestOrdersBesideOutdatedKeeper guards against an entry that a keeper of an earlier build can't apply. An evacuation in force
// can always be ended.
func TestOrdersBesideOutdatedKeeper(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.opts.Places = []string{"north", "south"}
	outdated := ""
	f.opts.OutdatedKeeper = func(term uint64) string {
		is.Equal(term, f.leaderTerm)
		return outdated
	}
	is.Equal(f.order(t, "north", false), StatusOK)
	outdated = "vm7"
	v, err := f.Evacuate(context.Background(), &messages.EvacuationOrder{Place: "south"})
	is.NoErr(err)
	is.Equal(v.GetStatus(), StatusOutdated)
	is.Equal(v.GetReason(), "keeper vm7 is of an earlier build, which knows no evacuations")
	commits := f.index
	is.Equal(f.order(t, "south", true), StatusOK) // not in force
	is.Equal(f.index, commits)
	is.Equal(f.order(t, "north", true), StatusOK)
	is.True(!f.state.IsEvacuated("north"))
	is.True(!f.state.IsEvacuated("south"))
}

// TestWarningsOfEvacuation guards against an operator who is not told that an evacuation leaves no workers, or fewer accelerators
// than are guaranteed. Each is logged once.
func TestWarningsOfEvacuation(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.opts.Places = []string{"north", "south"}
	f.state.Apply(&messages.QueueChange{Catalog: &messages.Catalog{
		Version: 2, Pools: []*messages.Pool{{Name: "p"}}, Organisations: []*messages.Organisation{{Name: "one", Accelerators: 4}, {Name: "two", Accelerators: 6}},
	}})
	f.reportFrom(t, "w", "north", 1)
	lines := f.observe()
	count := func(message string) int {
		for range 3 {
			f.Pass(context.Background())
		}
		return lines.FilterMessage(message).FilterLevelExact(zapcore.WarnLevel).Len()
	}
	report := func(sequence uint64) {
		for _, place := range f.opts.Places {
			f.report(t, sequence, func(r *messages.FleetReport) { r.Worker, r.Place, r.Accelerators = "w"+place, place, 8 })
		}
	}
	report(1)
	f.now = f.now.Add(fleetDiscoveryTime - time.Second)
	report(2)
	is.Equal(f.order(t, "north", false), StatusOK)
	is.Equal(count("guarantees exceed what is left"), 0) // not all workers may have reported
	f.now = f.now.Add(time.Second)
	is.Equal(count("guarantees exceed what is left"), 1)
	is.Equal(count("no worker is left outside of evacuated data centres"), 0)
	is.Equal(f.order(t, "south", false), StatusOK)
	is.Equal(count("no worker is left outside of evacuated data centres"), 1)
	is.Equal(f.order(t, "south", true), StatusOK)
	is.Equal(f.order(t, "north", true), StatusOK)
	is.Equal(count("guarantees exceed what is left"), 1)
	is.Equal(f.order(t, "nowhere", false), StatusNoPlace)
	is.Equal(count("order for an unknown data centre"), 1)
}

// TestJobThatOnlyEvacuatedWorkersHold guards against the refusal of a job that only an evacuated data centre has room for, and
// against one that waits there without a line that says why, also when no workers are left to judge by whether the pool is idle.
func TestJobThatOnlyEvacuatedWorkersHold(t *testing.T) {
	for _, others := range []bool{true, false} {
		is := is.New(t)
		f := newFixture()
		f.opts.Places = []string{"north"}
		f.opts.Timing.MaxContactTimeout = 20 * time.Second
		lines := f.observe()
		sequence := uint64(0)
		report := func() {
			sequence++
			f.report(t, sequence, func(r *messages.FleetReport) { r.Worker, r.Place, r.Labels = "n", "north", []string{"rare"} })
			if others {
				f.report(t, sequence, func(r *messages.FleetReport) { r.Worker, r.Place = "s", "south" })
			}
		}
		report()
		f.now = f.now.Add(fleetDiscoveryTime)
		report()
		is.Equal(f.order(t, "north", false), StatusOK)
		v, err := f.Submit(context.Background(), &messages.Submission{Host: "h", Path: "/q/a", Key: "k1", Work: &messages.Work{
			Steps: []*messages.Step{{Count: 1, Processors: 1000, Estimate: 1000, Label: "rare"}},
		}})
		is.NoErr(err)
		is.Equal(v.GetStatus(), StatusOK)
		for range 12 {
			f.now = f.now.Add(100 * time.Millisecond)
			report()
			f.Pass(context.Background())
		}
		waiting := lines.FilterMessage("job waits beside idle workers").All()
		is.Equal(len(waiting), 1)
		is.Equal(waiting[0].ContextMap()["obstacle"], "evacuated")
	}
}

// TestQuarantineShareBesideEvacuation guards against quarantine that is lifted, or kept, because of workers on which nothing may
// start: its limit is a share of those that are left.
func TestQuarantineShareBesideEvacuation(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.opts.Places = []string{"north"}
	for i := range 8 {
		place := "south"
		if i >= 2 {
			place = "north"
		}
		f.reportFrom(t, fmt.Sprint(i), place, 1)
	}
	f.workers["0"].health.quarantineUntil = f.now.Add(time.Minute)
	quarantined := func() bool { return f.placerInput(f.state).Workers[0].Quarantined }
	is.True(quarantined()) // one of eight
	is.Equal(f.order(t, "north", false), StatusOK)
	is.True(!quarantined()) // one of two
}

// TestColdWorkers checks for how long a worker counts as cold after a report.
func TestColdWorkers(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.report(t, 1, func(r *messages.FleetReport) { r.Cold = 700 })
	cold := func() bool { return f.placerInput(f.state).Workers[0].Cold }
	is.True(cold())
	f.now = f.now.Add(699 * time.Millisecond)
	is.True(cold())
	f.now = f.now.Add(time.Millisecond)
	is.True(!cold())
	f.report(t, 2, nil)
	is.True(!cold())
}
