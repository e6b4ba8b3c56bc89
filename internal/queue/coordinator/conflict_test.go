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

func submissionOf(path, key, body string) *messages.Submission {
	return &messages.Submission{Host: "h", Path: path, Key: key, Work: &messages.Work{
		Body: body, Steps: []*messages.Step{{Count: 1, Processors: 1000, Estimate: 1000}},
	}}
}

// TestIDInUseIsRefused guards against a job that is acknowledged and dropped, as another one has its ID, and against views and
// cancellations of that one by calls for the former (LOST, review/15).
func TestIDInUseIsRefused(t *testing.T) {
	for _, c := range []struct {
		name, path, key, body string
		submit, look          string // verdicts
	}{
		{"the same job", "/q/a", "k1", "body", StatusOK, StatusOK},
		{"the same job in another queue", "/open/a", "k1", "body", StatusOK, StatusOK},
		{"other organisation", "/q/a", "k2", "body", StatusConflict, StatusUnknown},
		{"other organisation and queue", "/open/a", "k2", "body", StatusConflict, StatusUnknown},
		{"other content", "/q/a", "k1", "other", StatusConflict, StatusOK},
		{"other content and queue", "/open/a", "k1", "other", StatusConflict, StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			is.Equal(f.submit(t, "/q/a", "k1"), StatusOK)
			for _, repeated := range []bool{false, true} {
				s := submissionOf(c.path, c.key, c.body)
				s.Repeated = repeated
				v, err := f.Submit(context.Background(), s)
				is.NoErr(err)
				is.Equal(v.GetStatus(), c.submit)
			}
			lookup := &messages.Lookup{Host: "h", Path: c.path, Key: c.key}
			v, err := f.Look(context.Background(), lookup)
			is.NoErr(err)
			is.Equal(v.GetStatus(), c.look)
			v, err = f.Cancel(context.Background(), lookup)
			is.NoErr(err)
			is.Equal(v.GetStatus(), c.look)
			is.Equal(f.state.Job("a").Phase == tracker.Cancelled, c.look == StatusOK)
		})
	}
}

// TestIDInUseByProposedJob guards against the same while the job that has the ID is being committed.
func TestIDInUseByProposedJob(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	var proposed *messages.QueueChange
	commit := f.opts.Commit
	f.opts.Commit = func(_ context.Context, _ uint64, c *messages.QueueChange) (applier.Receipt, error) {
		proposed = c
		return applier.Receipt{}, applier.ErrOutcomeUnknown
	}
	_, err := f.Submit(context.Background(), submissionOf("/q/a", "k1", "body"))
	is.True(errors.Is(err, applier.ErrOutcomeUnknown))
	f.opts.Commit = commit
	_, err = f.Submit(context.Background(), submissionOf("/open/a", "k2", "body"))
	is.True(errors.Is(err, errPending))
	f.state.Apply(proposed)
	v, err := f.Submit(context.Background(), submissionOf("/open/a", "k2", "body"))
	is.NoErr(err)
	is.Equal(v.GetStatus(), StatusConflict)
}

// TestJobOfRenamedQueueIsKnown guards against an accepted job that is answered as unknown, or refused if it is submitted again, after
// a later catalog lists its queue under another name and another queue under its name.
func TestJobOfRenamedQueueIsKnown(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	is.Equal(f.submit(t, "/q/a", "k1"), StatusOK)
	f.change(func(c *messages.Catalog) {
		c.Queues[0].Name = "renamed"
		c.Queues = append(c.Queues, &messages.Queue{Name: "q", Host: "h", Prefix: "/other/", Pool: "p", Attempts: 2})
	})
	v, err := f.Look(context.Background(), &messages.Lookup{Host: "h", Path: "/q/a", Key: "k1"})
	is.NoErr(err)
	is.Equal(v.GetStatus(), StatusOK)
	is.Equal(f.submit(t, "/q/a", "k1"), StatusOK)
}
