package conductor

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/bookkeeper"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// bench is a conductor over an account in memory, on a clock that the test moves.
type bench struct {
	*Conductor
	book *bookkeeper.Book
	now  time.Time
}

func newBench() *bench {
	b := &bench{book: bookkeeper.New(), now: time.Unix(1_000_000, 0)}
	b.Conductor = NewStepped(Options{
		Timing: Timing{Lease: 6 * time.Second, Longest: 6 * time.Second, Report: 250 * time.Millisecond, Silent: 2 * time.Second, Retention: time.Minute},
		Read: func(_ context.Context, read func(uint64, *bookkeeper.Book)) error {
			read(1, b.book)
			return nil
		},
		Commit: func(_ context.Context, c *messages.QueueChange) error {
			b.book.Apply(c)
			return nil
		},
		Explain: func(_ context.Context, err error) error { return err },
		Now:     func() time.Time { return b.now }, Wall: func() time.Time { return b.now }, Metrics: tally.NoopScope, Log: zap.NewNop(),
	})
	b.book.Apply(&messages.QueueChange{Catalog: &messages.Catalog{
		Version: 1, Pools: []*messages.Pool{{Name: "p"}},
		Queues: []*messages.Queue{
			{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Attempts: 2, Priority: 1},
			{Name: "open", Host: "h", Prefix: "/open/", Pool: "p", Public: true},
			{Name: "advised", Host: "h", Prefix: "/advised/", Pool: "p", Public: true, Advised: true},
		},
		Organisations: []*messages.Organisation{{Name: "one", Keys: []string{"k1"}}, {Name: "two", Keys: []string{"k2"}}},
	}})
	return b
}

func (b *bench) report(t *testing.T, sequence uint64, change func(*messages.FleetReport)) *messages.FleetOrders {
	t.Helper()
	r := &messages.FleetReport{Worker: "w", Born: 5, Sequence: sequence, Pool: "p", Processors: 8000, Memory: 8000}
	if change != nil {
		change(r)
	}
	o, err := b.Report(context.Background(), r)
	if err != nil {
		t.Fatal(err)
	}
	return o
}

func (b *bench) submit(t *testing.T, path, key string) string {
	t.Helper()
	v, err := b.Submit(context.Background(), &messages.Submission{Host: "h", Path: path, Key: key, Work: &messages.Work{
		Body: "body", Steps: []*messages.Step{{Count: 1, Processors: 1000, Estimate: 1000}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	return v.GetStatus()
}

// TestVerdicts is a table of calls and what callers are told.
func TestVerdicts(t *testing.T) {
	is := is.New(t)
	b := newBench()
	for _, c := range []struct{ path, key, want string }{
		{"/q/a", "k1", StatusOK},
		{"/q/a", "k1", StatusOK}, // the same job again
		{"/q/b", "wrong", StatusNoKey},
		{"/open/c", "", StatusOK},
		{"/none/d", "k1", StatusNoQueue},
		{"/advised/e", "", StatusMismatch},
	} {
		if got := b.submit(t, c.path, c.key); got != c.want {
			t.Errorf("%s with key %q: %s, want %s", c.path, c.key, got, c.want)
		}
	}
	look := func(path, key string) *messages.Verdict {
		v, err := b.Look(context.Background(), &messages.Lookup{Host: "h", Path: path, Key: key})
		is.NoErr(err)
		return v
	}
	is.Equal(look("/q/a", "k1").GetPhase(), "pending")
	is.Equal(look("/q/a", "k2").GetStatus(), StatusUnknown) // another organisation's
	is.Equal(look("/q/z", "k1").GetStatus(), StatusUnknown)
	is.Equal(look("/q/", "k1").GetWaiting(), int64(1))
}

// TestStartIsRepeatedUntilListed follows one run from its start to its acknowledged end.
func TestStartIsRepeatedUntilListed(t *testing.T) {
	is := is.New(t)
	b := newBench()
	is.Equal(b.submit(t, "/q/a", "k1"), StatusOK)
	first := b.report(t, 1, nil)
	is.Equal(first.GetLease(), int64(6000))
	b.Pass(context.Background())
	o := b.report(t, 2, nil)
	is.Equal(len(o.GetStarts()), 1)
	is.Equal(o.GetStarts()[0].GetBody(), "body")
	run := o.GetStarts()[0].GetRun()
	is.Equal(len(b.report(t, 3, func(r *messages.FleetReport) { r.Running = []*messages.Running{{Run: run}} }).GetStarts()), 0)
	done := func(r *messages.FleetReport) {
		r.Ends = []*messages.NumberedEnd{{Sequence: 1, End: &messages.End{Job: "a", Number: 1, How: bookkeeper.EndDone}}}
	}
	is.Equal(b.report(t, 4, done).GetAcknowledged(), uint64(1))
	is.Equal(b.book.Job("a").Phase, bookkeeper.Completed)
}

// TestUnheardStartMovesOn checks that a start whose order did not arrive is taken back, and that the
// worker gets no work until it hears again.
func TestUnheardStartMovesOn(t *testing.T) {
	is := is.New(t)
	b := newBench()
	is.Equal(b.submit(t, "/q/a", "k1"), StatusOK)
	b.report(t, 1, nil)
	b.Pass(context.Background())
	is.Equal(len(b.report(t, 2, nil).GetStarts()), 1)
	b.now = b.now.Add(1100 * time.Millisecond) // the worker waits a second for the answer
	is.Equal(len(b.report(t, 3, nil).GetStarts()), 0)
	is.Equal(b.book.Job("a").Active(), 0)
	b.Pass(context.Background())
	is.Equal(b.book.Job("a").Active(), 0) // nothing is sent to a deaf worker
	b.now = b.now.Add(250 * time.Millisecond)
	b.report(t, 4, nil)
	b.Pass(context.Background())
	is.Equal(b.book.Job("a").Active(), 1)
}

// TestLateReportsChangeNothing checks reports out of order, of an earlier life and of an unknown pool.
func TestLateReportsChangeNothing(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.report(t, 7, nil)
	for _, change := range []func(*messages.FleetReport){
		func(r *messages.FleetReport) { r.Sequence = 6 },
		func(r *messages.FleetReport) { r.Born = 4 },
		func(r *messages.FleetReport) { r.Pool = "other" },
	} {
		o := b.report(t, 8, change)
		is.Equal(o.GetLease(), int64(0))
		is.Equal(b.workers["w"].sequence, uint64(7))
	}
}

// TestLostOnlyAfterTheLease checks that a silent worker's run is started elsewhere only once its lease
// has surely run out, counted from the last answer.
func TestLostOnlyAfterTheLease(t *testing.T) {
	is := is.New(t)
	b := newBench()
	is.Equal(b.submit(t, "/q/a", "k1"), StatusOK)
	b.report(t, 1, nil)
	b.Pass(context.Background())
	run := b.report(t, 2, nil).GetStarts()[0].GetRun()
	b.report(t, 3, func(r *messages.FleetReport) { r.Running = []*messages.Running{{Run: run}} })
	b.now = b.now.Add(6*time.Second + 100*time.Millisecond) // a clock 2 % slow ends the lease later than this
	b.Pass(context.Background())
	is.Equal(b.book.Job("a").Active(), 1)
	b.now = b.now.Add(250 * time.Millisecond)
	b.Pass(context.Background())
	is.Equal(b.book.Job("a").Active(), 0)
}
