package coordinator

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/state/applier"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

const lateAddress = "10.0.0.1:80"

// lateReport is the report, delayed, that lists the run of the job "a" as done.
func lateReport(r *messages.FleetReport) {
	r.Address = lateAddress
	doneOnFirst(1)(r)
}

// successor makes a report one of the worker that has taken over the address.
func successor(r *messages.FleetReport) { r.Worker, r.Born, r.Address = "v", 6, lateAddress }

// restarted makes a report one of the next incarnation.
func restarted(r *messages.FleetReport) { r.Born = 6 }

// TestLateEndsAreRecorded guards against finished work that is repeated, or a job that waits for the repetition: the report that
// lists its end arrives after one of a later worker at that address, of a later incarnation, or of a later time.
func TestLateEndsAreRecorded(t *testing.T) {
	ctx := context.Background()
	for _, c := range []struct {
		name   string
		before func(t *testing.T, f *fixture)
	}{
		{"replaced", func(t *testing.T, f *fixture) { f.report(t, 1, successor) }},
		{"replaced and given up", func(t *testing.T, f *fixture) {
			f.report(t, 1, successor)
			f.Pass(ctx)
			is.New(t).Equal(len(f.state.RunsOn("w")), 0)
		}},
		{"replaced and repeated", func(t *testing.T, f *fixture) {
			f.report(t, 1, successor)
			f.Pass(ctx)
			f.report(t, 2, successor)
			f.Pass(ctx)
			is.New(t).Equal(len(f.report(t, 3, successor).GetStarts()), 1)
		}},
		{"restarted", func(t *testing.T, f *fixture) { f.report(t, 1, restarted) }},
		{"restarted and repeated", func(t *testing.T, f *fixture) {
			f.report(t, 1, restarted)
			f.Pass(ctx)
			is.New(t).Equal(len(f.report(t, 2, restarted).GetStarts()), 1)
		}},
		{"overtaken by a report that is not committed", func(_ *testing.T, f *fixture) {
			commit := f.opts.Commit
			f.opts.Commit = func(context.Context, uint64, *messages.QueueChange) (applier.Receipt, error) {
				return applier.Receipt{}, applier.ErrOutcomeUnknown
			}
			_, _ = f.Report(ctx, &messages.FleetReport{Worker: "w", Born: 5, Sequence: 4, Pool: "p", Ends: []*messages.NumberedEnd{
				{Sequence: 1, End: &messages.End{Job: "a", Number: 1, How: tracker.EndDone}},
			}})
			f.opts.Commit = commit
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.startRun(t)
			f.report(t, 3, func(r *messages.FleetReport) {
				r.Address = lateAddress
				r.Running = []*messages.Running{{Run: &messages.Run{Job: "a", Number: 1}}}
			})
			c.before(t, f)
			lines := f.observe()
			sequence := uint64(4)
			o := f.report(t, sequence, lateReport)
			is.Equal(f.state.Job("a").Phase, tracker.Completed)
			is.Equal(o.GetLease()+int64(len(o.GetStarts())+len(o.GetStops())), int64(0))
			is.Equal(o.GetAcknowledged(), uint64(0))
			is.Equal(lines.FilterMessage("report with ends ignored").Len(), 1)
			before := f.index
			f.report(t, sequence, lateReport) // once more
			is.Equal(f.index, before)
		})
	}
}

// TestLateEndsGiveNoLease guards against a worker that was replaced and counts as one with room once its last report is there,
// and against the end of a run that its successor has under way.
func TestLateEndsGiveNoLease(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.startRun(t)
	for sequence := range uint64(2) {
		f.report(t, 3+sequence, func(r *messages.FleetReport) {
			r.Address = lateAddress
			r.Running = []*messages.Running{{Run: &messages.Run{Job: "a", Number: 1}}}
		})
		f.now = f.now.Add(survivalTime)
	}
	is.Equal(f.submit(t, "/q/b", "k1"), StatusOK)
	f.report(t, 1, successor)
	f.Pass(context.Background())
	f.report(t, 2, successor)
	f.Pass(context.Background())
	is.Equal(len(f.report(t, 3, successor).GetStarts()), 2) // of "a", again, and "b"
	f.report(t, 5, func(r *messages.FleetReport) {
		r.Address = lateAddress
		for i, end := range []*messages.End{
			{Job: "a", Number: 2, How: tracker.EndDone},      // at work on the successor
			{Job: "b", Number: 1, How: tracker.EndDone},      // the same
			{Job: "a", Number: 1, How: tracker.EndFailed},    // it was given up
			{Job: "a", Number: 1, How: tracker.EndRecovered}, // no worker says so
			{Job: "none", Number: 1, How: tracker.EndDone},
		} {
			r.Ends = append(r.Ends, &messages.NumberedEnd{Sequence: uint64(i) + 1, End: end})
		}
	})
	is.Equal(len(f.state.RunsOn("v")), 2)
	is.Equal(f.state.Job("a").Step(0, 0).Failures(0), uint32(0))
	is.True(f.workers["w"] == nil || !f.workerView(f.state, f.workers["w"], f.now).Usable || f.workers["w"].left)
}
