package coordinator

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/state/applier"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// regainLead makes the keeper lose the lead and gain it again before the next change is committed. meanwhile runs then.
func (f *fixture) regainLead(meanwhile func()) {
	commit := f.opts.Commit
	f.opts.Commit = func(ctx context.Context, term uint64, c *messages.QueueChange) (applier.Receipt, error) {
		f.opts.Commit = commit
		f.leaderTerm += 2
		meanwhile()
		return commit(ctx, term, c)
	}
}

// TestRefusedJobDoesNotRun guards against a job that runs though its callers were refused: a keeper decides to accept it,
// loses the lead, gains it again, refuses a copy, and then commits the first decision.
func TestRefusedJobDoesNotRun(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.report(t, 1, nil)
	large := &messages.Submission{Host: "h", Path: "/q/a", Key: "k1", Work: &messages.Work{
		Steps: []*messages.Step{{Count: 1, Processors: 9000, Estimate: 1000}},
	}}
	refused := ""
	f.regainLead(func() {
		f.report(t, 2, nil)
		f.now = f.now.Add(fleetDiscoveryTime)
		v, err := f.Submit(context.Background(), large)
		is.NoErr(err)
		refused = v.GetStatus()
	})
	_, err := f.Submit(context.Background(), large)
	is.Equal(refused, StatusRefused)
	is.True(f.state.Job("a") == nil) // it was refused
	is.True(errors.Is(err, applier.ErrNotLeader))
}

// TestDecisionsOfEarlierTerm guards against starts, cancellations, catalogs and ends that are decided in one term and committed
// in another.
func TestDecisionsOfEarlierTerm(t *testing.T) {
	ctx := context.Background()
	for name, call := range map[string]func(f *fixture) error{
		"cancel": func(f *fixture) error {
			_, err := f.Cancel(ctx, &messages.Lookup{Host: "h", Path: "/q/a", Key: "k1"})
			return err
		},
		"install": func(f *fixture) error {
			_, err := f.Install(ctx, &messages.Catalog{Version: 2})
			return err
		},
		"report": func(f *fixture) error {
			_, err := f.Report(ctx, &messages.FleetReport{Worker: "w", Born: 5, Sequence: 9, Pool: "p", Ends: []*messages.NumberedEnd{
				{Sequence: 1, End: &messages.End{Job: "a", Number: 1, How: tracker.EndDone}},
			}})
			return err
		},
		"pass": func(f *fixture) error {
			f.Pass(ctx)
			return applier.ErrNotLeader // a pass returns none
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.startRun(t)
			is.Equal(f.submit(t, "/q/b", "k1"), StatusOK)
			f.report(t, 3, listing([]*messages.Run{{Job: "a", Number: 1}}))
			before := f.index
			f.regainLead(func() {})
			is.True(errors.Is(call(f), applier.ErrNotLeader))
			is.Equal(f.leaderTerm, uint64(3)) // a change was decided
			is.Equal(f.index, before)
		})
	}
}
