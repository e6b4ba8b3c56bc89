package coordinator

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/state/applier"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// fixture is a coordinator with in-memory state and a clock that the test sets.
type fixture struct {
	*Coordinator
	state      *tracker.Tracker
	leaderTerm uint64
	index      uint64 // of the last commit
	now        time.Time
	// wait replaces the wait of a long poll.
	wait func(ctx context.Context, wake <-chan struct{}, limit time.Duration)
}

func newFixture() *fixture {
	f := &fixture{state: tracker.New(), leaderTerm: 1, now: time.Unix(1_000_000, 0), wait: func(context.Context, <-chan struct{}, time.Duration) {}}
	f.Coordinator = NewStepped(Options{
		Timing: Timing{Lease: 6 * time.Second, MaxLease: 6 * time.Second, MinReportInterval: 250 * time.Millisecond, MaxContactTimeout: 2 * time.Second, Retention: time.Minute},
		Read: func(ctx context.Context, read func(uint64, *tracker.Tracker)) error {
			if ctx.Err() != nil {
				return ctx.Err() // a cancelled call does not reach the state
			}
			read(f.leaderTerm, f.state)
			return nil
		},
		Commit: func(ctx context.Context, term uint64, c *messages.QueueChange) (applier.Receipt, error) {
			if ctx.Err() != nil {
				return applier.Receipt{}, ctx.Err()
			}
			if term != f.leaderTerm {
				return applier.Receipt{}, applier.ErrNotLeader
			}
			f.state.Apply(c)
			f.index++
			return applier.Receipt{Index: f.index, Term: f.leaderTerm}, nil
		},
		RedirectError: func(_ context.Context, err error) error { return err },
		Wait:          func(ctx context.Context, wake <-chan struct{}, limit time.Duration) { f.wait(ctx, wake, limit) },
		Now:           func() time.Time { return f.now }, Wall: func() time.Time { return f.now }, Metrics: tally.NoopScope, Log: zap.NewNop(),
	})
	f.state.Apply(&messages.QueueChange{Catalog: &messages.Catalog{
		Version: 1, Pools: []*messages.Pool{{Name: "p"}},
		Queues: []*messages.Queue{
			{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Attempts: 2, Priority: 1},
			{Name: "open", Host: "h", Prefix: "/open/", Pool: "p", Public: true},
			{Name: "advised", Host: "h", Prefix: "/advised/", Pool: "p", Public: true, Advised: true},
		},
		Organisations: []*messages.Organisation{{Name: "one", Keys: []string{"k1"}}, {Name: "two", Keys: []string{"k2"}}},
	}})
	return f
}

func (f *fixture) report(t *testing.T, sequence uint64, change func(*messages.FleetReport)) *messages.FleetOrders {
	t.Helper()
	r := &messages.FleetReport{Worker: "w", Born: 5, Sequence: sequence, Pool: "p", Processors: 8000, Memory: 8000}
	if change != nil {
		change(r)
	}
	o, err := f.Report(context.Background(), r)
	if err != nil {
		t.Fatal(err)
	}
	return o
}

func (f *fixture) submit(t *testing.T, path, key string) string {
	t.Helper()
	v, err := f.Submit(context.Background(), &messages.Submission{Host: "h", Path: path, Key: key, Work: &messages.Work{
		Body: "body", Steps: []*messages.Step{{Count: 1, Processors: 1000, Estimate: 1000}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	return v.GetStatus()
}

// startRun submits the job "a" with one task and starts it on the worker, which sends two reports.
func (f *fixture) startRun(t *testing.T) {
	t.Helper()
	if status := f.submit(t, "/q/a", "k1"); status != StatusOK {
		t.Fatal(status)
	}
	f.report(t, 1, nil)
	f.Pass(context.Background())
	if starts := f.report(t, 2, nil).GetStarts(); len(starts) != 1 {
		t.Fatalf("%d starts, want 1", len(starts))
	}
}

// TestVerdicts checks the statuses that callers receive.
func TestVerdicts(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	for _, c := range []struct{ path, key, want string }{
		{"/q/a", "k1", StatusOK},
		{"/q/a", "k1", StatusOK}, // submitted twice
		{"/q/b", "wrong", StatusNoKey},
		{"/open/c", "", StatusOK},
		{"/none/d", "k1", StatusNoQueue},
		{"/advised/e", "", StatusMismatch},
	} {
		if got := f.submit(t, c.path, c.key); got != c.want {
			t.Errorf("%s with key %q: %s, want %s", c.path, c.key, got, c.want)
		}
	}
	look := func(path, key string) *messages.Verdict {
		v, err := f.Look(context.Background(), &messages.Lookup{Host: "h", Path: path, Key: key})
		is.NoErr(err)
		return v
	}
	is.Equal(look("/q/a", "k1").GetPhase(), "pending")
	is.Equal(look("/q/a", "k2").GetStatus(), StatusUnknown) // of another organisation
	is.Equal(look("/q/z", "k1").GetStatus(), StatusUnknown)
	is.Equal(look("/q/", "k1").GetWaiting(), int64(1))
}

// TestStartIsRepeatedUntilListed checks one run from its start to its acknowledged end.
func TestStartIsRepeatedUntilListed(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	is.Equal(f.submit(t, "/q/a", "k1"), StatusOK)
	first := f.report(t, 1, nil)
	is.Equal(first.GetLease(), int64(6000))
	f.Pass(context.Background())
	o := f.report(t, 2, nil)
	is.Equal(len(o.GetStarts()), 1)
	is.Equal(o.GetStarts()[0].GetBody(), "body")
	run := o.GetStarts()[0].GetRun()
	is.Equal(len(f.report(t, 3, func(r *messages.FleetReport) { r.Running = []*messages.Running{{Run: run}} }).GetStarts()), 0)
	done := func(r *messages.FleetReport) {
		r.Ends = []*messages.NumberedEnd{{Sequence: 1, End: &messages.End{Job: "a", Number: 1, How: tracker.EndDone}}}
	}
	is.Equal(f.report(t, 4, done).GetAcknowledged(), uint64(1))
	is.Equal(f.state.Job("a").Phase, tracker.Completed)
}

// TestUndeliveredStartIsRescheduled checks that a start is revoked if its order did not arrive, and that the
// worker gets no work until a report shows that responses reach it.
func TestUndeliveredStartIsRescheduled(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.startRun(t)
	f.now = f.now.Add(1100 * time.Millisecond) // the worker waits a second for the response
	is.Equal(len(f.report(t, 3, nil).GetStarts()), 0)
	is.Equal(f.state.Job("a").Active(), 0)
	f.Pass(context.Background())
	is.Equal(f.state.Job("a").Active(), 0) // nothing starts on an unreachable worker
	f.now = f.now.Add(250 * time.Millisecond)
	f.report(t, 4, nil)
	f.Pass(context.Background())
	is.Equal(f.state.Job("a").Active(), 1)
}

// TestStaleReportsAreIgnored checks reports that are out of order, of an earlier incarnation or of an unknown
// pool.
func TestStaleReportsAreIgnored(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.report(t, 7, nil)
	for _, change := range []func(*messages.FleetReport){
		func(r *messages.FleetReport) { r.Sequence = 6 },
		func(r *messages.FleetReport) { r.Born = 4 },
		func(r *messages.FleetReport) { r.Pool = "other" },
	} {
		o := f.report(t, 8, change)
		is.Equal(o.GetLease(), int64(0))
		is.Equal(f.workers["w"].sequence, uint64(7))
	}
}

// TestRunIsLostOnlyAfterLeaseExpiry checks that the run of a worker that stops reporting is ended only after
// its lease, granted for the last report, has expired on a slow clock too.
func TestRunIsLostOnlyAfterLeaseExpiry(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	is.Equal(f.submit(t, "/q/a", "k1"), StatusOK)
	f.report(t, 1, nil)
	f.Pass(context.Background())
	run := f.report(t, 2, nil).GetStarts()[0].GetRun()
	f.report(t, 3, func(r *messages.FleetReport) { r.Running = []*messages.Running{{Run: run}} })
	f.now = f.now.Add(6*time.Second + 100*time.Millisecond) // on a clock 2 % slow the lease ends later
	f.Pass(context.Background())
	is.Equal(f.state.Job("a").Active(), 1)
	f.now = f.now.Add(250 * time.Millisecond)
	f.Pass(context.Background())
	is.Equal(f.state.Job("a").Active(), 0)
}

// TestEndsOfAnAbandonedReport checks that the ends in a report are committed though its sender is gone before
// the leader handles it, as after the last report of a worker that exits. Otherwise finished work is repeated.
func TestEndsOfAnAbandonedReport(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.startRun(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := f.Report(ctx, &messages.FleetReport{
		Worker: "w", Born: 5, Sequence: 3, Pool: "p", Processors: 8000, Memory: 8000,
		Ends: []*messages.NumberedEnd{{Sequence: 1, End: &messages.End{Job: "a", Number: 1, How: tracker.EndDone}}},
	})
	is.True(errors.Is(err, context.Canceled)) // nobody waits for orders
	is.Equal(f.state.Job("a").Phase, tracker.Completed)
}

// TestDelayedReportsAtNewLeader guards against runs that are taken for not started, and start elsewhere while they go
// on: reports from before their start that were held up by a partition arrive at a new leader first.
func TestDelayedReportsAtNewLeader(t *testing.T) {
	running := func(r *messages.FleetReport) {
		r.Running = []*messages.Running{{Run: &messages.Run{Job: "a", Number: 1}}}
	}
	newLeader := func(t *testing.T) *fixture {
		f := newFixture()
		if status := f.submit(t, "/q/a", "k1"); status != StatusOK {
			t.Fatal(status)
		}
		f.report(t, 1, nil)
		f.Pass(context.Background())
		if starts := f.report(t, 5, nil).GetStarts(); len(starts) != 1 {
			t.Fatalf("%d starts, want 1", len(starts))
		}
		f.leaderTerm++
		return f
	}
	t.Run("a run that goes on", func(t *testing.T) {
		is := is.New(t)
		f := newLeader(t)
		f.report(t, 3, nil)
		f.report(t, 4, nil)
		is.Equal(f.state.Job("a").Active(), 1)
		is.Equal(len(f.report(t, 6, running).GetStops()), 0)
	})
	t.Run("a run that must stop", func(t *testing.T) {
		is := is.New(t)
		f := newLeader(t)
		_, err := f.Cancel(context.Background(), &messages.Lookup{Host: "h", Path: "/q/a", Key: "k1"})
		is.NoErr(err)
		f.report(t, 3, nil)
		is.Equal(f.state.Job("a").Active(), 1) // its capacity is in use until it has stopped
		is.Equal(len(f.report(t, 6, running).GetStops()), 1)
	})
	t.Run("a start that did not arrive is given up after the longest lease", func(t *testing.T) {
		is := is.New(t)
		f := newLeader(t)
		_, err := f.Cancel(context.Background(), &messages.Lookup{Host: "h", Path: "/q/a", Key: "k1"})
		is.NoErr(err)
		f.report(t, 6, nil)
		f.now = f.now.Add(f.opts.Timing.MaxLease + time.Second)
		f.report(t, 7, nil)
		is.Equal(f.state.Job("a").Active(), 0)
	})
	t.Run("a start that did not arrive is given up once a response of the new leader has arrived", func(t *testing.T) {
		is := is.New(t)
		f := newLeader(t)
		_, err := f.Cancel(context.Background(), &messages.Lookup{Host: "h", Path: "/q/a", Key: "k1"})
		is.NoErr(err)
		f.report(t, 6, nil)
		is.Equal(f.submit(t, "/q/b", "k1"), StatusOK)
		f.Pass(context.Background())
		is.Equal(len(f.report(t, 7, nil).GetStarts()), 1)
		f.report(t, 8, func(r *messages.FleetReport) {
			r.Running = []*messages.Running{{Run: &messages.Run{Job: "b", Number: 1}}}
		})
		is.Equal(f.state.Job("a").Active(), 0)
	})
}

// TestReportingWorkerIsNotLost checks that a worker that reports is not lost when its lease expires because an
// overloaded leader reads reports but responds too late to extend leases.
func TestReportingWorkerIsNotLost(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.startRun(t)
	lost := func() bool { return f.expiredWorkers(f.state) != nil }
	run := &messages.Running{Run: &messages.Run{Job: "a", Number: 1}, Percent: 10}
	for sequence := range uint64(20) {
		f.now = f.now.Add(500 * time.Millisecond)
		f.receive(f.state, &messages.FleetReport{
			Worker: "w", Born: 5, Sequence: 3 + sequence, Pool: "p", Processors: 8000, Memory: 8000, Running: []*messages.Running{run},
		})
		is.True(!lost())
	}
	f.now = f.now.Add(f.opts.Timing.contactTimeout(f.workers["w"].interval))
	is.True(lost())
}

// TestLongPoll checks when the response to a report waits for orders, and what ends the wait.
func TestLongPoll(t *testing.T) {
	newPolling := func() *fixture {
		f := newFixture()
		f.opts.Timing.MaxPollTime = 500 * time.Millisecond
		f.wait = func(_ context.Context, _ <-chan struct{}, limit time.Duration) { f.now = f.now.Add(limit) }
		return f
	}
	t.Run("an idle worker waits for the full time", func(t *testing.T) {
		is := is.New(t)
		f := newPolling()
		from := f.now
		o := f.report(t, 1, nil)
		is.Equal(f.now.Sub(from), 500*time.Millisecond)
		is.Equal(o.GetAgain(), nextPollDelay.Milliseconds())
	})
	t.Run("a start ends the wait", func(t *testing.T) {
		is := is.New(t)
		f := newPolling()
		f.wait = func(ctx context.Context, wake <-chan struct{}, _ time.Duration) {
			f.now = f.now.Add(100 * time.Millisecond)
			is.Equal(f.submit(t, "/q/a", "k1"), StatusOK)
			f.Pass(ctx)
			<-wake
		}
		from := f.now
		is.Equal(len(f.report(t, 1, nil).GetStarts()), 1)
		is.Equal(f.now.Sub(from), 100*time.Millisecond)
	})
	t.Run("a stale report does not end the wait", func(t *testing.T) {
		is := is.New(t)
		f := newPolling()
		f.report(t, 1, nil)
		f.wait = func(ctx context.Context, wake <-chan struct{}, _ time.Duration) {
			f.wait = func(context.Context, <-chan struct{}, time.Duration) { f.now = f.now.Add(time.Second) }
			woken := func() bool {
				select {
				case <-wake:
					return true
				default:
					return false
				}
			}
			f.report(t, 1, nil)
			is.True(!woken())
			is.Equal(f.submit(t, "/q/a", "k1"), StatusOK)
			f.Pass(ctx)
			is.True(woken())
		}
		is.Equal(len(f.report(t, 2, nil).GetStarts()), 1)
	})
	t.Run("a cancellation ends the wait", func(t *testing.T) {
		is := is.New(t)
		f := newPolling()
		f.startRun(t)
		f.wait = func(ctx context.Context, wake <-chan struct{}, _ time.Duration) {
			_, err := f.Cancel(ctx, &messages.Lookup{Host: "h", Path: "/q/a", Key: "k1"})
			is.NoErr(err)
			<-wake
		}
		o := f.report(t, 3, func(r *messages.FleetReport) {
			r.Running = []*messages.Running{{Run: &messages.Run{Job: "a", Number: 1}, Percent: 1}}
		})
		is.Equal(len(o.GetStops()), 1)
	})
	t.Run("the wait ends at the expected end of a run", func(t *testing.T) {
		is := is.New(t)
		f := newPolling()
		f.startRun(t)
		listed := func(percent int32) func(r *messages.FleetReport) {
			return func(r *messages.FleetReport) {
				r.Running = []*messages.Running{{Run: &messages.Run{Job: "a", Number: 1}, Percent: percent}}
			}
		}
		f.report(t, 3, listed(1))
		f.now = f.now.Add(400 * time.Millisecond)
		from := f.now
		f.report(t, 4, listed(90)) // 90 percent in 900 ms
		is.Equal(f.now.Sub(from), 100*time.Millisecond)
		from = f.now
		f.report(t, 5, listed(99))
		is.Equal(f.now, from)
	})
}

// TestLateReportExtendsNoLease checks that the lease granted for a delayed report is counted from the time the
// report was sent. A worker that crashes behind a network partition may have a report in flight that arrives
// seconds later; its runs must not wait for a lease from the arrival on.
func TestLateReportExtendsNoLease(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	clock := func(ms int64) func(*messages.FleetReport) {
		return func(r *messages.FleetReport) { r.Clock = ms }
	}
	f.report(t, 1, clock(10_000))
	firstReport := f.now
	f.now = f.now.Add(time.Second)
	f.report(t, 2, clock(11_000))
	is.Equal(f.workers["w"].lastContact, f.now)
	sent := f.now.Add(510 * time.Millisecond)
	f.now = f.now.Add(7 * time.Second)
	f.report(t, 3, clock(11_500))
	w := f.workers["w"]
	is.True(!w.lastContact.Before(sent.Add(-10*time.Millisecond)) && w.lastContact.Before(sent.Add(50*time.Millisecond)))
	is.Equal(w.leaseEnd, f.opts.Timing.leaseExpiry(w.lastContact, f.opts.Timing.Lease))
	is.True(!f.workerView(f.state, w, f.now).Usable) // out of contact in spite of the arrival
	// A clock that is 2 % slow must not shorten a lease.
	f.now = firstReport.Add(10 * time.Second)
	f.report(t, 4, clock(10_000+9_800))
	is.Equal(f.workers["w"].lastContact.Add(time.Second).After(f.now), true)
}

// TestReplacementAtSameAddress checks that the runs of a crashed worker end at once, and not when the lease
// expires, if another worker starts at the same address under another id.
func TestReplacementAtSameAddress(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	is.Equal(f.submit(t, "/q/a", "k1"), StatusOK)
	at := func(worker string, born int64) func(*messages.FleetReport) {
		return func(r *messages.FleetReport) { r.Worker, r.Born, r.Address = worker, born, "10.0.0.1:8080" }
	}
	f.report(t, 1, at("old", 5))
	f.Pass(context.Background())
	is.Equal(len(f.report(t, 2, at("old", 5)).GetStarts()), 1)
	is.True(f.expiredWorkers(f.state) == nil)
	f.now = f.now.Add(time.Second)
	f.report(t, 1, at("new", 9))
	f.Pass(context.Background()) // ends the run of the old worker
	f.Pass(context.Background()) // starts it again
	is.Equal(len(f.report(t, 2, at("new", 9)).GetStarts()), 1)
	// A delayed report of the old worker is ignored.
	is.Equal(f.report(t, 3, at("old", 5)).GetLease(), int64(0))
	f.Pass(context.Background())
	is.Equal(len(f.workers), 1)
}

// TestFormerAddressReplacesNobody checks that a worker that restarted at another address is not taken for
// replaced when a later worker starts at its former address: its runs go on and must not start elsewhere.
func TestFormerAddressReplacesNobody(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	at := func(worker string, born int64, address string) func(*messages.FleetReport) {
		return func(r *messages.FleetReport) { r.Worker, r.Born, r.Address = worker, born, address }
	}
	f.report(t, 1, at("moved", 5, "10.0.0.1:8080"))
	f.report(t, 1, at("moved", 7, "10.0.0.2:8080"))
	is.Equal(f.submit(t, "/q/a", "k1"), StatusOK)
	f.Pass(context.Background())
	is.Equal(len(f.report(t, 2, at("moved", 7, "10.0.0.2:8080")).GetStarts()), 1)
	f.report(t, 1, at("later", 9, "10.0.0.1:8080"))
	is.True(!f.workers["moved"].replaced)
	is.True(f.expiredWorkers(f.state) == nil)
	f.report(t, 2, at("later2", 11, "10.0.0.1:8080"))
	is.True(f.workers["later"].replaced)
}

// TestStartsFitLessCapacity guards against starts that bring a worker over its capacity: they were decided before it
// reported that its capacity has shrunk. Starts that still fit go on, and runs that do not fit any more are not stopped.
func TestStartsFitLessCapacity(t *testing.T) {
	for _, c := range []struct {
		name       string
		processors int64
		starts     int
	}{{"unchanged", 8000, 2}, {"room for one more", 2500, 1}, {"full", 1500, 0}, {"none", 0, 0}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.startRun(t)
			runs := []*messages.Run{{Job: "a", Number: 1}}
			running := func(processors int64) func(r *messages.FleetReport) {
				return func(r *messages.FleetReport) {
					r.Processors = processors
					listing(runs)(r)
				}
			}
			f.report(t, 3, running(8000))
			is.Equal(f.submit(t, "/q/b", "k1"), StatusOK)
			is.Equal(f.submit(t, "/q/c", "k1"), StatusOK)
			f.Pass(context.Background())
			o := f.report(t, 4, running(c.processors))
			is.Equal(len(o.GetStarts()), c.starts)
			is.Equal(len(o.GetStops()), 0)
			is.Equal(f.state.Job("a").Active(), 1)
			is.Equal(f.state.Job("b").Active()+f.state.Job("c").Active(), c.starts)
			f.Pass(context.Background())
			is.Equal(f.state.Job("b").Active()+f.state.Job("c").Active(), c.starts) // nothing starts again there
			for _, order := range o.GetStarts() {
				runs = append(runs, order.GetRun())
			}
			f.report(t, 5, running(8000))
			f.Pass(context.Background())
			is.Equal(f.state.Job("b").Active()+f.state.Job("c").Active(), 2) // more capacity is used at once
		})
	}
}

// TestOversizedJobsAreRefused checks that a job that exceeds the capacity of the fleet is refused at once with
// a retry delay, and does not wait forever.
func TestOversizedJobsAreRefused(t *testing.T) {
	f := newFixture()
	submit := func(id string, s *messages.Step) *messages.Verdict {
		v, err := f.Submit(context.Background(), &messages.Submission{
			Host: "h", Path: "/q/" + id, Key: "k1", Work: &messages.Work{Steps: []*messages.Step{s}},
		})
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
	is := is.New(t)
	large := &messages.Step{Count: 1, Accelerators: 16, Estimate: 1000}
	is.Equal(submit("unknown", large).GetStatus(), StatusOK) // no worker is known yet
	fill := func() {
		for i := range 4 {
			f.report(t, uint64(f.now.Unix()), func(r *messages.FleetReport) {
				r.Worker, r.Accelerators, r.Labels = fmt.Sprintf("w%d", i), 8, []string{"a"}
			})
		}
	}
	fill()
	is.Equal(submit("early", large).GetStatus(), StatusOK) // not all workers may have reported yet
	f.now = f.now.Add(fleetDiscoveryTime)
	fill()
	f.proposed["under-way"] = &messages.Work{Queue: "q", Steps: []*messages.Step{large}}
	is.Equal(submit("under-way", large).GetStatus(), StatusOK) // an earlier call may have committed it
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
		v := submit(c.name, c.step)
		if v.GetStatus() != c.want {
			t.Errorf("%s: %s (%s), want %s", c.name, v.GetStatus(), v.GetReason(), c.want)
		}
		is.Equal(v.GetRetry() > 0, c.want == StatusRefused)
		is.Equal(f.state.Job(c.name) != nil, c.want == StatusOK)
	}
}
