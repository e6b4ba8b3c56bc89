package coordinator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestEndedIncarnationsAreRemoved guards against a replicated state that grows with the workers that have ever reported an end:
// the incarnation of a worker without runs was not removed when the worker went, and the late report of an ended incarnation
// added it again.
func TestEndedIncarnationsAreRemoved(t *testing.T) {
	ctx := context.Background()
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprint("late=", late), func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.startRun(t)
			if late {
				f.now = f.now.Add(time.Minute)
				f.Pass(ctx) // the loss of the worker
				_, known := f.state.Incarnation("w")
				is.True(!known)
				f.leaderTerm++ // the successor does not know the worker
				f.Pass(ctx)
			}
			f.report(t, 3, doneOnFirst(1))
			_, known := f.state.Incarnation("w")
			is.True(known)
			is.Equal(f.state.Job("a").Phase, tracker.Completed)
			f.now = f.now.Add(workerRetention)
			f.Pass(ctx)
			f.Pass(ctx)
			_, known = f.state.Incarnation("w")
			is.True(known) // it may be back
			f.now = f.now.Add(time.Second)
			f.Pass(ctx)
			_, known = f.state.Incarnation("w")
			is.True(!known)
		})
	}
}

// TestIncarnationsInContactAreKept guards against the removal of the incarnation of a worker that is idle and reports, or of
// one that a new leader has not heard yet.
func TestIncarnationsInContactAreKept(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	f := newFixture()
	f.startRun(t)
	f.report(t, 3, doneOnFirst(1))
	for n := range uint64(4) {
		f.now = f.now.Add(workerRetention / 2)
		f.report(t, 4+n, nil)
		f.Pass(ctx)
	}
	f.now = f.now.Add(workerRetention / 2)
	f.leaderTerm++
	f.Pass(ctx)
	f.now = f.now.Add(workerRetention / 2)
	f.Pass(ctx)
	incarnation, known := f.state.Incarnation("w")
	is.True(known)
	is.Equal(incarnation, tracker.Incarnation{Started: 5, Sequence: 1})
}

// TestEndedIncarnationsAreRemovedInParts guards against a log entry that grows with the number of workers that have gone, and
// against starts that wait for the removal.
func TestEndedIncarnationsAreRemovedInParts(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	f := newFixture()
	change := &messages.QueueChange{}
	for i := range maxRemovedIncarnations + 1 {
		change.Ends = append(change.Ends, &messages.WorkerEnds{Worker: fmt.Sprint("gone", i), Born: 5})
	}
	f.state.Apply(change)
	left := func() int {
		n := 0
		f.state.EachIncarnation(func(string, tracker.Incarnation) { n++ })
		return n
	}
	f.Pass(ctx)
	f.now = f.now.Add(workerRetention + time.Second)
	is.Equal(f.submit(t, "/q/a", "k1"), StatusOK)
	f.report(t, 1, nil)
	f.Pass(ctx)
	is.Equal(left(), maxRemovedIncarnations+1)
	is.Equal(len(f.report(t, 2, nil).GetStarts()), 1) // first
	f.Pass(ctx)
	is.Equal(left(), 1)
	f.Pass(ctx)
	is.Equal(left(), 1) // not all workers are searched in each pass
	f.now = f.now.Add(goneCheckInterval)
	f.Pass(ctx)
	is.Equal(left(), 0)
}

// TestEndsAfterLossAreCredible guards against a worker whose reports are ignored for good: it has reported more ends than a first
// report may number, its runs are given up while it is out of contact, and the committed number goes with its incarnation.
func TestEndsAfterLossAreCredible(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	f := newFixture()
	f.startRun(t)
	f.report(t, 3, func(r *messages.FleetReport) {
		doneOnFirst(1)(r)
		r.Ends[0].Sequence = maxGap
	})
	is.Equal(f.state.Job("a").Phase, tracker.Completed)
	is.Equal(f.submit(t, "/q/b", "k1"), StatusOK)
	f.Pass(ctx)
	is.Equal(len(f.report(t, 4, nil).GetStarts()), 1)
	f.now = f.now.Add(20 * time.Second)
	f.Pass(ctx) // the loss of the worker
	_, known := f.state.Incarnation("w")
	is.True(!known)
	o := f.report(t, 5, func(r *messages.FleetReport) {
		r.Ends = []*messages.NumberedEnd{{Sequence: maxGap + 1, End: &messages.End{Job: "b", Number: 1, How: tracker.EndDone}}}
	})
	is.Equal(o.GetAcknowledged(), uint64(maxGap+1))
	is.Equal(f.state.Job("b").Phase, tracker.Completed)
}
