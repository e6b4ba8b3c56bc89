package coordinator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// neighbourFleet has eight workers with a task of the job "a" each, beside which a task of the job "b" comes and goes, and an
// empty one.
type neighbourFleet struct {
	*fixture
	logs  *observer.ObservedLogs
	scope tally.TestScope
	born  int64
}

func newNeighbourFleet(a, b *messages.Step) *neighbourFleet {
	f := &neighbourFleet{fixture: newFixture(), scope: tally.NewTestScope("", nil), born: 5}
	core, logs := observer.New(zapcore.InfoLevel)
	f.logs, f.opts.Log, f.metrics = logs, zap.New(core), newMetrics(f.scope)
	change := &messages.QueueChange{}
	for id, s := range map[string]*messages.Step{"a": a, "b": b} {
		s.Count, s.Processors, s.Estimate = 8, 1000, 60_000
		change.Submits = append(change.Submits, &messages.Work{Id: id, Queue: "q", Priority: 1, Attempts: 2, Steps: []*messages.Step{s}})
		for i := range int32(8) {
			change.Starts = append(change.Starts, &messages.Run{Job: id, Task: i, Number: 1, Worker: fmt.Sprint("w", i), Born: f.born})
		}
	}
	f.state.Apply(change)
	return f
}

// play sends the reports of some seconds. The tasks of "b" are listed in every other period of two seconds. list returns the
// progress and the usage of a task of "a" since the last report.
func (f *neighbourFleet) play(t *testing.T, length time.Duration, list func(beside bool) *messages.Running) {
	t.Helper()
	for at := time.Duration(0); at < length; at += 250 * time.Millisecond {
		f.now = f.now.Add(250 * time.Millisecond)
		for i := range int32(9) {
			r := &messages.FleetReport{
				Worker: fmt.Sprint("w", i), Born: f.born, Sequence: uint64(f.now.UnixMilli()), Pool: "p", Processors: 8000, Memory: 8000,
				Clock: f.now.UnixMilli() - 900_000_000,
			}
			if i == 8 {
				r.Processors = 32_000 // room for all of "b"
			}
			beside := (at+time.Duration(i)*300*time.Millisecond)/(2*time.Second)%2 == 1
			if i < 8 {
				l := list(beside)
				l.Run = &messages.Run{Job: "a", Task: i, Number: 1}
				l.Percent += f.percent(i)
				r.Running = append(r.Running, l)
				if beside {
					r.Running = append(r.Running, &messages.Running{Run: &messages.Run{Job: "b", Task: i, Number: 1}})
				}
			}
			if _, err := f.Report(context.Background(), r); err != nil {
				t.Fatal(err)
			}
		}
		f.Pass(context.Background())
	}
}

// percent returns the percentage of a task of "a" in the last report.
func (f *neighbourFleet) percent(task int32) int32 {
	t := f.progress[tracker.RunKey{TaskKey: tracker.TaskKey{Job: "a", Task: task}, Number: 1}]
	if t == nil {
		return 0
	}
	return t.percent
}

// slower lets a task of "a" progress by 3 percent a report alone, and by 1 beside one of "b".
func slower(beside bool) *messages.Running {
	if beside {
		return &messages.Running{Percent: 1}
	}
	return &messages.Running{Percent: 3}
}

// start submits a job of one task with the image and returns the worker on which it starts.
func (f *neighbourFleet) start(t *testing.T, id, image string) string {
	t.Helper()
	f.state.Apply(&messages.QueueChange{Submits: []*messages.Work{{
		Id: id, Queue: "q", Priority: 1, Attempts: 2, Steps: []*messages.Step{{Count: 1, Processors: 1000, Estimate: 1000, Image: image}},
	}}})
	f.Pass(context.Background())
	return f.state.Job(id).Step(0, 0).Tasks[0].Worker
}

// TestInterferingImagesAreKeptApart guards against reports that teach the leader nothing, placement that ignores what it has
// learned, and a new leader that acts on what it has not.
func TestInterferingImagesAreKeptApart(t *testing.T) {
	is := is.New(t)
	f := newNeighbourFleet(&messages.Step{Image: "x/a"}, &messages.Step{Image: "x/b"})
	f.play(t, 9*time.Second, slower)
	lines := f.logs.FilterMessage("images interfere").All()
	is.Equal(len(lines), 1)
	is.Equal(lines[0].ContextMap()["image"], "x/a")
	is.Equal(lines[0].ContextMap()["beside"], "x/b")
	is.True(lines[0].ContextMap()["slowdown"].(float64) > 1.5)
	is.Equal(f.scope.Snapshot().Gauges()["interfering_pairs+"].Value(), 1.0)

	is.True(f.start(t, "other", "x/c") != "w8") // a fuller worker
	is.Equal(f.start(t, "apart", "x/b"), "w8")
	is.True(f.scope.Snapshot().Counters()["starts_apart+"].Value() >= 1) // "b" has been started again meanwhile

	f.now = f.now.Add(25 * time.Second) // without samples
	f.Pass(context.Background())
	is.Equal(f.logs.FilterMessage("images no longer interfere").Len(), 1)
	is.Equal(f.scope.Snapshot().Gauges()["interfering_pairs+"].Value(), 0.0)
}

// TestNewLeaderStartsWithoutInterference guards against state that outlives its term.
func TestNewLeaderStartsWithoutInterference(t *testing.T) {
	is := is.New(t)
	f := newNeighbourFleet(&messages.Step{Image: "x/a"}, &messages.Step{Image: "x/b"})
	f.play(t, 9*time.Second, slower)
	is.True(f.slowdown() != nil)
	f.leaderTerm++
	f.play(t, time.Second, func(bool) *messages.Running { return &messages.Running{} })
	is.True(f.slowdown() == nil)
	is.Equal(f.scope.Snapshot().Gauges()["interfering_pairs+"].Value(), 0.0)
	is.True(f.start(t, "like before", "x/b") != "w8")
}

// TestTailsShowInterference guards against lasting tasks whose tails are not compared, and against the processors in use of
// other tasks that are taken for tails.
func TestTailsShowInterference(t *testing.T) {
	for _, bound := range []int64{80, 0} {
		is := is.New(t)
		f := newNeighbourFleet(&messages.Step{Image: "x/a", Lasting: true, Tail: bound}, &messages.Step{Image: "x/b"})
		f.play(t, 12*time.Second, func(beside bool) *messages.Running {
			if beside {
				return &messages.Running{Usage: 90}
			}
			return &messages.Running{Usage: 45}
		})
		is.Equal(f.slowdown() != nil, bound > 0)
	}
}

// TestStepsWithoutImagesAreNotProfiled guards against pools whose jobs name no images being affected.
func TestStepsWithoutImagesAreNotProfiled(t *testing.T) {
	is := is.New(t)
	f := newNeighbourFleet(&messages.Step{}, &messages.Step{Image: "x/b"})
	f.play(t, 9*time.Second, slower)
	is.True(f.slowdown() == nil)
	f = newNeighbourFleet(&messages.Step{Image: "x/a"}, &messages.Step{Image: "x/b"})
	f.opts.IgnoreInterference = true
	f.play(t, 9*time.Second, slower)
	is.True(f.slowdown() == nil)
}
