package coordinator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// bench is a coordinator over an account in memory, on a clock that the test moves.
type bench struct {
	*Coordinator
	book *tracker.Tracker
	now  time.Time
	// wait stands for the wait of an answer that is held.
	wait func(ctx context.Context, wake <-chan struct{}, limit time.Duration)
}

func newBench() *bench {
	b := &bench{book: tracker.New(), now: time.Unix(1_000_000, 0)}
	b.Coordinator = NewStepped(Options{
		Timing: Timing{Lease: 6 * time.Second, Longest: 6 * time.Second, Report: 250 * time.Millisecond, Silent: 2 * time.Second, Retention: time.Minute},
		Read: func(_ context.Context, read func(uint64, *tracker.Tracker)) error {
			read(1, b.book)
			return nil
		},
		Commit: func(ctx context.Context, c *messages.QueueChange) error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			b.book.Apply(c)
			return nil
		},
		Explain: func(_ context.Context, err error) error { return err },
		Wait:    func(ctx context.Context, wake <-chan struct{}, limit time.Duration) { b.wait(ctx, wake, limit) },
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

// run hands in the job "a" of one task and has it started on the worker, which has sent two reports then.
func (b *bench) run(t *testing.T) {
	t.Helper()
	if status := b.submit(t, "/q/a", "k1"); status != StatusOK {
		t.Fatal(status)
	}
	b.report(t, 1, nil)
	b.Pass(context.Background())
	if starts := b.report(t, 2, nil).GetStarts(); len(starts) != 1 {
		t.Fatalf("%d starts, want 1", len(starts))
	}
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
		r.Ends = []*messages.NumberedEnd{{Sequence: 1, End: &messages.End{Job: "a", Number: 1, How: tracker.EndDone}}}
	}
	is.Equal(b.report(t, 4, done).GetAcknowledged(), uint64(1))
	is.Equal(b.book.Job("a").Phase, tracker.Completed)
}

// TestUnheardStartMovesOn checks that a start whose order did not arrive is taken back, and that the
// worker gets no work until it hears again.
func TestUnheardStartMovesOn(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.run(t)
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

// TestEndsOfAnAbandonedReport is the pattern of a worker whose report was held up: it no longer waits
// for the answer, and the ends in the report must count all the same, or done work is done again.
func TestEndsOfAnAbandonedReport(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.run(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := b.Report(ctx, &messages.FleetReport{
		Worker: "w", Born: 5, Sequence: 3, Pool: "p", Processors: 8000, Memory: 8000,
		Ends: []*messages.NumberedEnd{{Sequence: 1, End: &messages.End{Job: "a", Number: 1, How: tracker.EndDone}}},
	})
	is.NoErr(err)
	is.Equal(b.book.Job("a").Phase, tracker.Completed)
}

// TestHeardWorkerIsNotLost is the pattern of a leader under load that reads reports and is too slow to
// answer them: the leases that it could have extended run out, and what the workers list still counts.
func TestHeardWorkerIsNotLost(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.run(t)
	lost := func() bool { return b.lapses(b.book) != nil }
	run := &messages.Running{Run: &messages.Run{Job: "a", Number: 1}, Percent: 10}
	for sequence := range uint64(20) {
		b.now = b.now.Add(500 * time.Millisecond)
		b.hear(b.book, &messages.FleetReport{
			Worker: "w", Born: 5, Sequence: 3 + sequence, Pool: "p", Processors: 8000, Memory: 8000, Running: []*messages.Running{run},
		})
		is.True(!lost())
	}
	b.now = b.now.Add(b.opts.Timing.silentAfter(1))
	is.True(lost())
}

// TestHeldAnswers checks when the answer to a report waits for orders, and what ends the wait.
func TestHeldAnswers(t *testing.T) {
	newHolding := func() *bench {
		b := newBench()
		b.opts.Timing.Hold = 500 * time.Millisecond
		b.wait = func(_ context.Context, _ <-chan struct{}, limit time.Duration) { b.now = b.now.Add(limit) }
		return b
	}
	t.Run("an idle worker's answer waits to the end", func(t *testing.T) {
		is := is.New(t)
		b := newHolding()
		from := b.now
		o := b.report(t, 1, nil)
		is.Equal(b.now.Sub(from), 500*time.Millisecond)
		is.Equal(o.GetAgain(), againAfter.Milliseconds())
	})
	t.Run("a start ends the wait", func(t *testing.T) {
		is := is.New(t)
		b := newHolding()
		b.wait = func(ctx context.Context, wake <-chan struct{}, _ time.Duration) {
			b.now = b.now.Add(100 * time.Millisecond)
			is.Equal(b.submit(t, "/q/a", "k1"), StatusOK)
			b.Pass(ctx)
			<-wake
		}
		from := b.now
		is.Equal(len(b.report(t, 1, nil).GetStarts()), 1)
		is.Equal(b.now.Sub(from), 100*time.Millisecond)
	})
	t.Run("a report that comes late leaves the wait alone", func(t *testing.T) {
		is := is.New(t)
		b := newHolding()
		b.report(t, 1, nil)
		b.wait = func(ctx context.Context, wake <-chan struct{}, _ time.Duration) {
			b.wait = func(context.Context, <-chan struct{}, time.Duration) { b.now = b.now.Add(time.Second) }
			woken := func() bool {
				select {
				case <-wake:
					return true
				default:
					return false
				}
			}
			b.report(t, 1, nil)
			is.True(!woken())
			is.Equal(b.submit(t, "/q/a", "k1"), StatusOK)
			b.Pass(ctx)
			is.True(woken())
		}
		is.Equal(len(b.report(t, 2, nil).GetStarts()), 1)
	})
	t.Run("a cancellation ends the wait", func(t *testing.T) {
		is := is.New(t)
		b := newHolding()
		b.run(t)
		b.wait = func(ctx context.Context, wake <-chan struct{}, _ time.Duration) {
			_, err := b.Cancel(ctx, &messages.Lookup{Host: "h", Path: "/q/a", Key: "k1"})
			is.NoErr(err)
			<-wake
		}
		o := b.report(t, 3, func(r *messages.FleetReport) {
			r.Running = []*messages.Running{{Run: &messages.Run{Job: "a", Number: 1}, Percent: 1}}
		})
		is.Equal(len(o.GetStops()), 1)
	})
	t.Run("it does not wait beyond the expected end of a run", func(t *testing.T) {
		is := is.New(t)
		b := newHolding()
		b.run(t)
		listed := func(percent int32) func(r *messages.FleetReport) {
			return func(r *messages.FleetReport) {
				r.Running = []*messages.Running{{Run: &messages.Run{Job: "a", Number: 1}, Percent: percent}}
			}
		}
		b.report(t, 3, listed(1))
		b.now = b.now.Add(400 * time.Millisecond)
		from := b.now
		b.report(t, 4, listed(90)) // 900 ms for 90 percent
		is.Equal(b.now.Sub(from), 100*time.Millisecond)
		from = b.now
		b.report(t, 5, listed(99))
		is.Equal(b.now, from)
	})
}

// TestLateReportExtendsNoLease is the pattern of a worker that crashes behind a cut: its last report is
// held up and arrives seconds later. It says nothing of the worker's life now, and its answer arrives
// nowhere, so what ran there must not wait for a lease from that time on.
func TestLateReportExtendsNoLease(t *testing.T) {
	is := is.New(t)
	b := newBench()
	clock := func(ms int64) func(*messages.FleetReport) {
		return func(r *messages.FleetReport) { r.Clock = ms }
	}
	b.report(t, 1, clock(10_000))
	heard := b.now
	b.now = b.now.Add(time.Second)
	b.report(t, 2, clock(11_000))
	is.Equal(b.workers["w"].heard, b.now)
	sent := b.now.Add(510 * time.Millisecond)
	b.now = b.now.Add(7 * time.Second)
	b.report(t, 3, clock(11_500))
	w := b.workers["w"]
	is.True(!w.heard.Before(sent.Add(-10*time.Millisecond)) && w.heard.Before(sent.Add(50*time.Millisecond)))
	is.Equal(w.leaseEnd, b.opts.Timing.over(w.heard, b.opts.Timing.Lease))
	is.True(!b.viewOf(b.book, w, b.now).Usable) // it is silent, whatever arrives
	// A clock that runs two per cent slow must not shorten a lease.
	b.now = heard.Add(10 * time.Second)
	b.report(t, 4, clock(10_000+9_800))
	is.Equal(b.workers["w"].heard.Add(time.Second).After(b.now), true)
}

// TestSuccessorAtAnAddress is the pattern of a worker that crashes and whose successor comes up at the
// same address under another id: what ran before ends at once, not with the lease.
func TestSuccessorAtAnAddress(t *testing.T) {
	is := is.New(t)
	b := newBench()
	is.Equal(b.submit(t, "/q/a", "k1"), StatusOK)
	at := func(worker string, born int64) func(*messages.FleetReport) {
		return func(r *messages.FleetReport) { r.Worker, r.Born, r.Address = worker, born, "10.0.0.1:8080" }
	}
	b.report(t, 1, at("old", 5))
	b.Pass(context.Background())
	is.Equal(len(b.report(t, 2, at("old", 5)).GetStarts()), 1)
	is.True(b.lapses(b.book) == nil)
	b.now = b.now.Add(time.Second)
	b.report(t, 1, at("new", 9))
	b.Pass(context.Background()) // ends the run on the old worker
	b.Pass(context.Background()) // and starts it again
	is.Equal(len(b.report(t, 2, at("new", 9)).GetStarts()), 1)
	// A report of the old worker that was held up changes nothing.
	is.Equal(b.report(t, 3, at("old", 5)).GetLease(), int64(0))
	b.Pass(context.Background())
	is.Equal(len(b.workers), 1)
}

// TestJobsThatFitNowhereAreRefused is the pattern of jobs that no worker could ever run: their callers
// are told at once, with a time to come again, and not left to wait.
func TestJobsThatFitNowhereAreRefused(t *testing.T) {
	b := newBench()
	hand := func(id string, s *messages.Step) *messages.Verdict {
		v, err := b.Submit(context.Background(), &messages.Submission{
			Host: "h", Path: "/q/" + id, Key: "k1", Work: &messages.Work{Steps: []*messages.Step{s}},
		})
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
	is := is.New(t)
	large := &messages.Step{Count: 1, Accelerators: 16, Estimate: 1000}
	is.Equal(hand("unknown", large).GetStatus(), StatusOK) // no worker is known yet
	fill := func() {
		for i := range 4 {
			b.report(t, uint64(b.now.Unix()), func(r *messages.FleetReport) {
				r.Worker, r.Accelerators, r.Labels = fmt.Sprintf("w%d", i), 8, []string{"a"}
			})
		}
	}
	fill()
	is.Equal(hand("early", large).GetStatus(), StatusOK) // the leader may not have heard all of them
	b.now = b.now.Add(fleetKnownAfter)
	fill()
	b.proposed["under-way"] = true
	is.Equal(hand("under-way", large).GetStatus(), StatusOK) // an earlier call may have had it accepted
	for _, c := range []struct {
		name string
		step *messages.Step
		want string
	}{
		{"fits", &messages.Step{Count: 9, Accelerators: 8, Estimate: 1000}, StatusOK},
		{"large", large, StatusRefused},
		{"gang", &messages.Step{Count: 4, Accelerators: 8, Gang: true, Estimate: 1000}, StatusOK},
		{"wide-gang", &messages.Step{Count: 5, Accelerators: 8, Gang: true, Estimate: 1000}, StatusRefused},
		{"spread-gang", &messages.Step{Count: 5, Accelerators: 1, Spread: 1, Gang: true, Estimate: 1000}, StatusRefused},
		{"label", &messages.Step{Count: 1, Label: "a", Estimate: 1000}, StatusOK},
		{"no-label", &messages.Step{Count: 1, Label: "b", Estimate: 1000}, StatusRefused},
	} {
		v := hand(c.name, c.step)
		if v.GetStatus() != c.want {
			t.Errorf("%s: %s (%s), want %s", c.name, v.GetStatus(), v.GetReason(), c.want)
		}
		is.Equal(v.GetRetry() > 0, c.want == StatusRefused)
		is.Equal(b.book.Job(c.name) != nil, c.want == StatusOK)
	}
}
