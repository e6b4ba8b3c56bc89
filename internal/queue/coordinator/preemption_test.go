package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/placer"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestNewLeaderKnowsHowLongRunsLast guards against stops, in the first second of a leader, of runs that have lasted for long
// as if they had just started: the time since their start follows from the replicated state.
func TestNewLeaderKnowsHowLongRunsLast(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.opts.Preemption = placer.Preemption{Restore: 600 * time.Millisecond, Stop: 200 * time.Millisecond}
	f.state.Apply(&messages.QueueChange{
		Submits: []*messages.Work{{Id: "j", Queue: "q", Pool: "p", Attempts: 2, Steps: []*messages.Step{{Count: 1, Processors: 1000, Estimate: 9000}}}},
	})
	f.state.Apply(&messages.QueueChange{Starts: []*messages.Run{{Job: "j", Number: 1, Worker: "w", Born: 5, Started: f.now.UnixMilli()}}})
	f.now = f.now.Add(3 * time.Second)
	f.leaderTerm++
	running := &messages.Running{Run: &messages.Run{Job: "j", Number: 1, Worker: "w", Born: 5}, Percent: 30}
	f.report(t, 1, func(r *messages.FleetReport) { r.Running = []*messages.Running{running} })
	is.NoErr(f.read(context.Background(), func(state *tracker.Tracker) {
		a := f.placerInput(state).Workers[0].Runs[0]
		is.Equal(a.Unsaved, time.Duration(0)) // the new leader has seen it only now
		is.Equal(a.Held, 3*time.Second)
	}))
}
