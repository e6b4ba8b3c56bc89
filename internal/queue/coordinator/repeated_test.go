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

// change installs a later catalog that differs from the present one.
func (f *fixture) change(edit func(*messages.Catalog)) {
	c := &messages.Catalog{
		Version: f.state.Catalog().GetVersion() + 1, Pools: []*messages.Pool{{Name: "p"}},
		Queues:        []*messages.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Attempts: 2, Priority: 1}},
		Organisations: []*messages.Organisation{{Name: "one", Keys: []string{"k1"}}},
	}
	edit(c)
	f.state.Apply(&messages.QueueChange{Catalog: c})
}

// TestRepeatedCallOfAcceptedJob guards against a refusal of a job that runs: an earlier attempt of the same call was
// committed, its answer was lost, and the catalog changed before the attempt that follows.
func TestRepeatedCallOfAcceptedJob(t *testing.T) {
	for _, c := range []struct {
		name     string
		edit     func(*messages.Catalog)
		another  string // verdict on another call
		otherJob string // verdict on a call for another job under the same ID
	}{
		{"key withdrawn", func(c *messages.Catalog) { c.Organisations = nil }, StatusNoKey, StatusNoKey},
		{"queue removed", func(c *messages.Catalog) { c.Queues = nil }, StatusNoQueue, StatusNoQueue},
		{"queue advised", func(c *messages.Catalog) { c.Queues[0].Advised = true }, StatusOK, StatusConflict},
		{"unchanged", func(*messages.Catalog) {}, StatusOK, StatusConflict},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			is.Equal(f.submit(t, "/q/a", "k1"), StatusOK)
			f.change(c.edit)
			s := &messages.Submission{Host: "h", Path: "/q/a", Key: "k1", Repeated: true, Work: &messages.Work{
				Body: "body", Steps: []*messages.Step{{Count: 1, Processors: 1000, Estimate: 1000}},
			}}
			v, err := f.Submit(context.Background(), s)
			is.NoErr(err)
			is.Equal(v.GetStatus(), StatusOK)
			s.Work.Steps[0].Count = 2
			v, err = f.Submit(context.Background(), s)
			is.NoErr(err)
			is.Equal(v.GetStatus(), c.otherJob)
			is.Equal(f.submit(t, "/q/a", "k1"), c.another)
			is.Equal(len(f.state.Open()), 1)
		})
	}
}

// TestRepeatedCallWithAnotherKey guards against a caller without a valid key that is answered as if it had submitted a job that
// another caller has submitted with the same content.
func TestRepeatedCallWithAnotherKey(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	is.Equal(f.submit(t, "/q/a", "k1"), StatusOK)
	s := &messages.Submission{Host: "h", Path: "/q/a", Key: "k9", Repeated: true, Work: &messages.Work{
		Body: "body", Steps: []*messages.Step{{Count: 1, Processors: 1000, Estimate: 1000}},
	}}
	v, err := f.Submit(context.Background(), s)
	is.NoErr(err)
	is.Equal(v.GetStatus(), StatusNoKey)
	f.state.Job("a").Work.Caller = 0 // as accepted by an earlier build
	v, err = f.Submit(context.Background(), s)
	is.NoErr(err)
	is.Equal(v.GetStatus(), StatusOK)
}

// TestRepeatedCallAwaitsEarlierAttempt guards against a refusal while an earlier attempt of the same call is being
// committed, and may run.
func TestRepeatedCallAwaitsEarlierAttempt(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	s := &messages.Submission{Host: "h", Path: "/q/a", Key: "k1", Work: &messages.Work{
		Body: "body", Steps: []*messages.Step{{Count: 1, Processors: 1000, Estimate: 1000}},
	}}
	var proposed *messages.QueueChange
	commit := f.opts.Commit
	f.opts.Commit = func(_ context.Context, _ uint64, c *messages.QueueChange) (applier.Receipt, error) {
		proposed = c
		return applier.Receipt{}, applier.ErrOutcomeUnknown
	}
	_, err := f.Submit(context.Background(), s)
	is.True(errors.Is(err, applier.ErrOutcomeUnknown))
	f.opts.Commit = commit
	f.change(func(c *messages.Catalog) { c.Organisations = nil })
	s.Repeated = true
	_, err = f.Submit(context.Background(), s)
	is.True(errors.Is(err, errPending))
	f.state.Apply(proposed)
	v, err := f.Submit(context.Background(), s)
	is.NoErr(err)
	is.Equal(v.GetStatus(), StatusOK)
	is.Equal(f.state.Job("a").Phase, tracker.Pending)
}

// TestRepeatedCallAfterEarlierCall guards against a call with a withdrawn key that is answered as accepted, as one of its attempts was
// left open and an earlier call had submitted the job (CONFIG: a version older than one already obeyed).
func TestRepeatedCallAfterEarlierCall(t *testing.T) {
	for _, c := range []struct {
		name string
		age  time.Duration
		want string
	}{
		{"began after the acceptance", 100 * time.Millisecond, StatusNoKey},
		{"began before the acceptance", 5100 * time.Millisecond, StatusOK},
		{"of an entry of an earlier build", 0, StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			is.Equal(f.submit(t, "/q/a", "k1"), StatusOK)
			f.now = f.now.Add(5 * time.Second)
			f.change(func(c *messages.Catalog) { c.Organisations = nil })
			v, err := f.Submit(context.Background(), &messages.Submission{
				Host: "h", Path: "/q/a", Key: "k1", Repeated: true, Age: c.age.Milliseconds(),
				Work: &messages.Work{Body: "body", Steps: []*messages.Step{{Count: 1, Processors: 1000, Estimate: 1000}}},
			})
			is.NoErr(err)
			is.Equal(v.GetStatus(), c.want)
		})
	}
}
