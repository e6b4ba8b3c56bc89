package coordinator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// newEvacuatedService returns a fleet of which lasting tasks run in one of two data centres, north, and have been listed.
func newEvacuatedService(t *testing.T, racks int, s *messages.Step) *rackFleet {
	t.Helper()
	f := newRackFleet(racks, func(string, *messages.Run, time.Duration) string { return "" })
	f.opts.Places = []string{"north", "south"}
	f.opts.Timing.MaxStopTime = 400 * time.Millisecond
	f.place = map[string]string{"r0": "north", "r1": "south", "r2": "south"}
	f.stopTime = 2 * testInterval
	f.order(t, "south", false)
	f.add("service", 3, s)
	for range 8 {
		f.step(t)
	}
	f.order(t, "south", true)
	if n := f.tasksIn("north"); n != int(s.GetCount()) {
		t.Fatalf("%d tasks run in the north", n)
	}
	return f
}

// tasksIn returns how many tasks of the service have a run in a data centre.
func (f *rackFleet) tasksIn(place string) int {
	n := 0
	for _, task := range f.state.Job("service").Step(0, 0).Tasks {
		if task.Active > 0 && f.place[rackOf(task.Worker)] == place {
			n++
		}
	}
	return n
}

// away returns how many tasks of the service are not at work.
func (f *rackFleet) away() int {
	n, j := 0, f.state.Job("service")
	for i := range j.Step(0, 0).Tasks {
		if !f.isAtWork(f.state, j, j.Step(0, 0), int32(i)) {
			n++
		}
	}
	return n
}

// TestLastingTasksLeaveEvacuatedPlacePaced guards against a service that stays in an evacuated data centre for good, and against one of
// which more tasks are away at a time than may be.
func TestLastingTasksLeaveEvacuatedPlacePaced(t *testing.T) {
	for _, absent := range []int32{0, 1, 3} {
		t.Run(fmt.Sprint(absent), func(t *testing.T) {
			is := is.New(t)
			f := newEvacuatedService(t, 2, &messages.Step{Count: 8, Processors: 2000, Estimate: 1000, Lasting: true, Absent: absent})
			scope := tally.NewTestScope("", nil)
			f.metrics = newMetrics(scope)
			f.order(t, "north", false)
			most := 0
			begin := f.now
			for f.tasksIn("south") < 8 {
				f.step(t)
				most = max(most, f.away())
				is.True(f.now.Sub(begin) < 30*time.Second)
			}
			is.Equal(most, int(max(absent, 1)))
			is.Equal(scope.Snapshot().Counters()["evacuation_moves+"].Value(), int64(8))
			is.Equal(scope.Snapshot().Gauges()["evacuated_places+"].Value(), 1.0)
			f.order(t, "north", true)
			f.step(t)
			is.Equal(scope.Snapshot().Gauges()["evacuated_places+"].Value(), 0.0)
		})
	}
}

// TestTasksThatAreAwayDelayMoves guards against a service that loses more tasks at a time than may be away, as some are away for
// another reason than a move.
func TestTasksThatAreAwayDelayMoves(t *testing.T) {
	is := is.New(t)
	f := newEvacuatedService(t, 2, &messages.Step{Count: 4, Processors: 8000, Estimate: 1000, Lasting: true, Absent: 1})
	f.remove("r0-w0") // it falls silent with its task
	for range 20 {
		f.step(t)
	}
	is.Equal(f.away(), 1)
	f.order(t, "north", false)
	for range 10 {
		f.step(t)
		is.Equal(f.away(), 1)
	}
	is.Equal(f.tasksIn("north"), 4)
}

// TestLastingTasksStayWithoutRoom guards against a lasting task that is stopped though it fits nowhere else, and against several
// that are stopped for the same room. Room for one task alone may be gone by the time that the run has ended.
func TestLastingTasksStayWithoutRoom(t *testing.T) {
	for _, c := range []struct {
		free int // workers in the south
		want int // tasks that move
	}{{0, 0}, {1, 0}, {2, 1}, {4, 3}} {
		t.Run(fmt.Sprint(c.free), func(t *testing.T) {
			is := is.New(t)
			f := newEvacuatedService(t, 2, &messages.Step{Count: 4, Processors: 8000, Estimate: 1000, Lasting: true, Absent: 4})
			for i := range 4 - c.free {
				id := fmt.Sprintf("other%d", i)
				f.add(id, 3, &messages.Step{Count: 1, Processors: 8000, Estimate: 600_000})
				f.state.Apply(&messages.QueueChange{Starts: []*messages.Run{{Job: id, Number: 1, Worker: fmt.Sprintf("r1-w%d", i), Born: 5}}})
			}
			f.step(t)
			f.order(t, "north", false)
			for range 40 {
				f.step(t)
				is.True(f.away() <= c.want)
			}
			is.Equal(f.tasksIn("south"), c.want)
			is.Equal(f.tasksIn("north"), 4-c.want)
		})
	}
}

// TestNewLeaderMovesNothingUnheard guards against a new leader that takes tasks for at work whose workers have not reported to it, or
// have not listed them.
func TestNewLeaderMovesNothingUnheard(t *testing.T) {
	is := is.New(t)
	f := newEvacuatedService(t, 2, &messages.Step{Count: 4, Processors: 8000, Estimate: 1000, Lasting: true})
	f.order(t, "north", false)
	f.leaderTerm++
	for _, heard := range []bool{false, true} {
		f.sequence++
		for _, id := range f.workers {
			if id == "r0-w3" && !heard {
				continue
			}
			f.report(t, f.sequence, func(r *messages.FleetReport) {
				r.Worker, r.Rack, r.Place = id, rackOf(id), f.place[rackOf(id)]
				if id != "r0-w3" {
					f.addRuns(r)
				}
			})
		}
		f.Pass(context.Background())
		is.Equal(len(f.stopping), 0)
	}
	f.step(t)
	is.Equal(len(f.stopping), 1)
}

// TestLastingGangLeavesEvacuatedPlaceAsAWhole guards against a lasting gang that stays, or that runs without a member.
func TestLastingGangLeavesEvacuatedPlaceAsAWhole(t *testing.T) {
	is := is.New(t)
	f := newEvacuatedService(t, 3, &messages.Step{Count: 4, Processors: 8000, Estimate: 1000, Lasting: true, Gang: true})
	f.order(t, "north", false)
	begin := f.now
	for f.tasksIn("south") < 4 {
		f.step(t)
		is.True(f.now.Sub(begin) < 5*time.Second)
	}
	is.Equal(f.tasksIn("north"), 0)
}
