package coordinator

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/bluebellgauge/bluebellgauge/internal/state/applier"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// acceptances calls the coordinator with a job, its copy, its cancellation and a catalog.
func acceptances(f *fixture) (errs []error) {
	ctx := context.Background()
	job := &messages.Submission{Host: "h", Path: "/q/a", Key: "k1", Work: &messages.Work{
		Body: "body", Steps: []*messages.Step{{Count: 1, Processors: 1000, Estimate: 1000}},
	}}
	for range 2 {
		_, err := f.Submit(ctx, job)
		errs = append(errs, err)
	}
	_, err := f.Cancel(ctx, &messages.Lookup{Host: "h", Path: "/q/a", Key: "k1"})
	errs = append(errs, err)
	_, err = f.Install(ctx, &messages.Catalog{Version: 2})
	return append(errs, err)
}

// TestAcceptancesAreLogged guards against an accepted job, cancellation or catalog that is lost, and nothing in the logs
// says which entry of the log held it.
func TestAcceptancesAreLogged(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	core, lines := observer.New(zap.InfoLevel)
	f.opts.Log = zap.New(core)
	for _, err := range acceptances(f) {
		is.NoErr(err)
	}
	submits := lines.FilterMessage("job submitted").All()
	is.Equal(len(submits), 2)
	for i, want := range []struct {
		reason      string
		index, term uint64
	}{{"", 1, 1}, {"known already", 0, 0}} {
		fields := submits[i].ContextMap()
		is.Equal(fields["path"], "/q/a")
		is.Equal(fields["outcome"], StatusOK)
		is.Equal(fields["reason"], want.reason)
		is.Equal(fields["index"], want.index)
		is.Equal(fields["term"], want.term)
	}
	cancels := lines.FilterMessage("job cancelled").All()
	is.Equal(len(cancels), 1)
	is.Equal(cancels[0].ContextMap(), map[string]any{"request": "a", "index": uint64(2), "term": uint64(1)})
	catalogs := lines.FilterMessage("catalog received").All()
	is.Equal(len(catalogs), 1)
	is.Equal(catalogs[0].ContextMap(), map[string]any{
		"version": uint64(2), "held": uint64(1), "queues": int64(0), "installed": true, "index": uint64(3), "term": uint64(1),
	})
}

// TestUnknownOutcomesAreLogged guards against a job, cancellation or catalog whose outcome is unknown, and nothing in the
// logs says which entry of the log to look for.
func TestUnknownOutcomesAreLogged(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	is.Equal(f.submit(t, "/q/a", "k1"), StatusOK)
	core, lines := observer.New(zap.InfoLevel)
	f.opts.Log = zap.New(core)
	f.opts.Commit = func(context.Context, uint64, *messages.QueueChange) (applier.Receipt, error) {
		return applier.Receipt{Index: 7, Term: 3}, applier.ErrOutcomeUnknown
	}
	_, err := f.Submit(context.Background(), &messages.Submission{Host: "h", Path: "/q/b", Key: "k1", Work: &messages.Work{}})
	is.Equal(err, applier.ErrOutcomeUnknown)
	acceptances(f) // the job is known already
	for message, request := range map[string]any{
		"job submission outcome unknown": "b", "job cancellation outcome unknown": "a", "catalog installation outcome unknown": nil,
	} {
		list := lines.FilterMessage(message).All()
		is.Equal(len(list), 1)
		fields := list[0].ContextMap()
		is.Equal(fields["request"], request)
		is.Equal(fields["index"], uint64(7))
		is.Equal(fields["term"], uint64(3))
		is.Equal(fields["error"], applier.ErrOutcomeUnknown.Error())
	}
}
