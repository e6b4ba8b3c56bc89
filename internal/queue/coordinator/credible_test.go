package coordinator

import (
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestReportsFarAheadChangeNothing guards against a report of another writer whose numbers are too large: the worker's own
// reports, or the ends in them, would be ignored from then on.
func TestReportsFarAheadChangeNothing(t *testing.T) {
	done := func(sequence uint64) []*messages.NumberedEnd {
		return []*messages.NumberedEnd{{Sequence: sequence, End: &messages.End{Job: "a", Number: 1, How: tracker.EndDone}}}
	}
	for _, c := range []struct {
		name     string
		sequence uint64
		ends     []*messages.NumberedEnd
	}{
		{"report number", 1 << 40, nil},
		{"number of an end", 3, []*messages.NumberedEnd{{Sequence: 1 << 40, End: &messages.End{Job: "x", Number: 1, How: tracker.EndDone}}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.startRun(t)
			running := []*messages.Running{{Run: &messages.Run{Job: "a", Number: 1}}}
			odd := f.report(t, c.sequence, func(r *messages.FleetReport) { r.Running, r.Ends = running, c.ends })
			is.Equal(odd.GetLease(), int64(0))
			is.Equal(odd.GetAcknowledged(), uint64(0))
			orders := f.report(t, 4, func(r *messages.FleetReport) { r.Ends = done(1) })
			is.Equal(orders.GetAcknowledged(), uint64(1))
			is.Equal(f.state.Job("a").Phase, tracker.Completed)
		})
	}
}

// TestTooLargeMessagesAreRefused checks that a job and a catalog that do not fit into a log entry get a final answer.
func TestTooLargeMessagesAreRefused(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.opts.MaxMessage = 1000
	is.Equal(f.submit(t, "/q/a", "k1"), StatusOK)
	v, err := f.Submit(context.Background(), &messages.Submission{Host: "h", Path: "/q/b", Key: "k1", Work: &messages.Work{
		Body: strings.Repeat("b", 1000), Steps: []*messages.Step{{Count: 1, Processors: 1000, Estimate: 1000}},
	}})
	is.NoErr(err)
	is.Equal(v.GetStatus(), StatusTooLarge)
	is.True(f.state.Job("b") == nil)
	v, err = f.Install(context.Background(), &messages.Catalog{Version: 2, Text: make([]byte, 1000)})
	is.NoErr(err)
	is.Equal(v.GetStatus(), StatusTooLarge)
	is.Equal(f.state.Catalog().GetVersion(), uint64(1))
}

// TestOneReportWithoutARunRevokesNothing guards against a run that is started elsewhere while it goes on, because a report of
// another writer does not list it.
func TestOneReportWithoutARunRevokesNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.startRun(t)
	running := []*messages.Running{{Run: &messages.Run{Job: "a", Number: 1}}}
	f.report(t, 3, func(r *messages.FleetReport) { r.Running = running })
	f.report(t, 4, nil)
	f.Pass(context.Background())
	is.True(f.state.IsActive(tracker.RunKey{TaskKey: tracker.TaskKey{Job: "a"}, Number: 1}))
	f.report(t, 5, func(r *messages.FleetReport) { r.Running = running })
	f.Pass(context.Background())
	is.True(f.state.IsActive(tracker.RunKey{TaskKey: tracker.TaskKey{Job: "a"}, Number: 1}))
	// A run that stays away is gone: its task starts again.
	f.report(t, 6, nil)
	f.report(t, 7, nil)
	f.Pass(context.Background())
	is.True(!f.state.IsActive(tracker.RunKey{TaskKey: tracker.TaskKey{Job: "a"}, Number: 1}))
}
