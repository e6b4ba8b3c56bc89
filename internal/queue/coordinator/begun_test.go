package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

func (f *fixture) waiting(t *testing.T) int64 {
	t.Helper()
	v, err := f.Look(context.Background(), &messages.Lookup{Host: "h", Path: "/q/", Key: "k1"})
	is.New(t).NoErr(err)
	return v.GetWaiting()
}

// TestUndeliveredStartsAreWaiting guards against jobs that are not counted as waiting though nothing of them has begun: the
// only idle worker was lost before the orders to start them arrived.
func TestUndeliveredStartsAreWaiting(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.report(t, 1, nil)
	for _, id := range []string{"a", "b"} {
		is.Equal(f.submit(t, "/q/"+id, "k1"), StatusOK)
	}
	f.Pass(context.Background())
	is.Equal(f.state.Job("a").Phase, tracker.Running) // decided
	is.Equal(f.waiting(t), int64(2))
	f.now = f.now.Add(20 * time.Second)
	f.Pass(context.Background()) // the worker is lost
	is.Equal(f.state.Job("a").Active(), 0)
	is.Equal(f.waiting(t), int64(2))
}

// TestJobsThatHaveBegunAreNotWaiting guards against the opposite error, also at a leader that was not told of the runs.
func TestJobsThatHaveBegunAreNotWaiting(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.startRun(t)
	run := &messages.Run{Job: "a", Number: 1}
	is.Equal(f.waiting(t), int64(1))
	f.report(t, 3, func(r *messages.FleetReport) { r.Running = []*messages.Running{{Run: run}} })
	is.Equal(f.waiting(t), int64(0))
	f.report(t, 4, func(r *messages.FleetReport) {
		r.Ends = []*messages.NumberedEnd{{Sequence: 1, End: &messages.End{Job: "a", Number: 1, How: tracker.EndFailed}}}
	})
	is.Equal(f.waiting(t), int64(0))
	f.leaderTerm++
	is.Equal(f.waiting(t), int64(0)) // the failure is in the state
	f.Pass(context.Background())
	is.Equal(len(f.begun), 0)
}
