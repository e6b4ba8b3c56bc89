package coordinator

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/state/applier"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// failedOn returns a change of a report that lists a run of the first task of the job "a" as failed.
func failedOn(number uint32) func(*messages.FleetReport) {
	return func(r *messages.FleetReport) {
		r.Ends = append(r.Ends, &messages.NumberedEnd{Sequence: uint64(number), End: &messages.End{Job: "a", Number: number, How: tracker.EndFailed}})
	}
}

// TestFailedEndCountsOnce guards against a job with two attempts that fails after one failed run, as its end is reported more
// than once: to the same leader, to its successor, after a commit whose outcome was unknown, or in a late report.
func TestFailedEndCountsOnce(t *testing.T) {
	for _, test := range []struct {
		name   string
		report func(t *testing.T, f *fixture)
	}{
		{"response lost", func(t *testing.T, f *fixture) { f.report(t, 4, failedOn(1)) }},
		{"new leader", func(t *testing.T, f *fixture) {
			f.report(t, 4, failedOn(1))
			f.leaderTerm++
		}},
		{"new leader, from a snapshot", func(t *testing.T, f *fixture) {
			f.report(t, 4, failedOn(1))
			data, err := f.state.Save()
			is.New(t).NoErr(err)
			restored, err := tracker.Restore(data)
			is.New(t).NoErr(err)
			*f.state = *restored
			f.leaderTerm++
		}},
		{"outcome unknown", func(t *testing.T, f *fixture) {
			commit := f.opts.Commit
			f.opts.Commit = func(ctx context.Context, term uint64, c *messages.QueueChange) (applier.Receipt, error) {
				receipt, err := commit(ctx, term, c)
				is.New(t).NoErr(err)
				return receipt, errors.New("outcome unknown")
			}
			r := &messages.FleetReport{Worker: "w", Born: 5, Sequence: 4, Pool: "p", Processors: 8000, Memory: 8000}
			failedOn(1)(r)
			_, err := f.Report(context.Background(), r)
			is.New(t).True(err != nil)
			f.opts.Commit = commit
		}},
		{"late report", func(t *testing.T, f *fixture) { f.report(t, 3, failedOn(1)) }}, // of the number of an earlier one
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			is.Equal(f.submit(t, "/q/a", "k1"), StatusOK) // two attempts
			f.report(t, 1, nil)
			f.Pass(context.Background())
			is.Equal(len(f.report(t, 2, nil).GetStarts()), 1)
			f.report(t, 3, func(r *messages.FleetReport) {
				r.Running = []*messages.Running{{Run: &messages.Run{Job: "a", Number: 1}}}
			})
			test.report(t, f)
			var second []*messages.StartOrder
			for sequence := uint64(5); len(second) == 0 && sequence < 100; sequence++ {
				f.now = f.now.Add(250 * time.Millisecond)
				second = f.report(t, sequence, failedOn(1)).GetStarts()
				is.Equal(f.state.Job("a").Step(0, 0).Failures(0), uint32(1))
				is.Equal(f.state.Job("a").Phase, tracker.Running)
				f.Pass(context.Background())
			}
			is.Equal(len(second), 1)
			is.Equal(second[0].GetRun().GetNumber(), uint32(2))
			f.report(t, 100, func(r *messages.FleetReport) {
				failedOn(1)(r)
				failedOn(2)(r)
			})
			is.Equal(f.state.Job("a").Phase, tracker.Failed)
		})
	}
}
