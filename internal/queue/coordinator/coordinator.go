// Package coordinator is the leader's part of queues: it takes callers' jobs and workers' reports,
// has them committed, and carries out what the placer decides. What it knows of workers lives for
// one term only; all else stands in the replicated account.
package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/job/estimator"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

const (
	passInterval = 100 * time.Millisecond // between passes while nothing happens
	passGap      = 10 * time.Millisecond  // between passes while much happens, so that one serves many events
	passRest     = 2                      // times a pass's own duration until the next, to leave the processor to others
	readTimeout  = time.Second            // for the replica to answer the pass
)

// Timing is how fast workers report and leases run out.
type Timing struct {
	Lease     time.Duration // of a worker's runs, from the sending of its report
	Longest   time.Duration // longest lease that any leader grants
	Report    time.Duration // least time between the reports of a worker
	Hold      time.Duration // longest time for which an answer waits for orders, 0 for none
	Share     time.Duration // of the time between two reports that each known worker adds, to bound the leader's load
	Silent    time.Duration // without a report until nothing is started on a worker
	Retention time.Duration // for which the phase of an ended job is known
}

// driftPercent bounds how much slower a worker's clock may run, with a margin.
const driftPercent = 3

// leaseMargin covers the time between the receipt of a report and the start of its lease.
const leaseMargin = 100 * time.Millisecond

// reportEvery returns the time between the reports of one of n workers.
func (t Timing) reportEvery(n int) time.Duration {
	return max(t.Report, min(time.Duration(n)*t.Share, t.Silent*2/3))
}

// againAfter is how soon a worker reports again whose answer was held, so that the next answer can be
// held.
const againAfter = 20 * time.Millisecond

// leastHold is the shortest time for which it is worth holding an answer.
const leastHold = 60 * time.Millisecond

// silenceMargin is longer than a worker waits for an answer beyond the time for which it is held,
// and until it has asked another keeper.
const silenceMargin = 750 * time.Millisecond

// silentAfter returns for how long one of n workers may be silent until nothing is started on it.
func (t Timing) silentAfter(n int) time.Duration {
	return min(t.Silent, max(t.reportEvery(n), t.Hold)+silenceMargin)
}

// answerMargin is longer than a report takes beyond the time that the worker was told, and shorter
// than the rest of the second that a worker waits for an answer that is held.
const answerMargin = 350 * time.Millisecond

// over returns when a lease that was granted at a time has surely run out.
func (t Timing) over(granted time.Time, lease time.Duration) time.Time {
	return granted.Add(lease + lease*driftPercent/100 + leaseMargin)
}

// Options are the dependencies of a coordinator.
type Options struct {
	Timing  Timing
	Address string // where workers reach this leader best, "" for anywhere
	// Read runs a function on the account of a leader that holds its lease. Calls do not overlap.
	Read func(ctx context.Context, read func(term uint64, book *tracker.Tracker)) error
	// Commit returns once a change is committed and applied.
	Commit func(ctx context.Context, change *messages.QueueChange) error
	// Explain turns an error of Read or Commit into one that points to the leader.
	Explain func(ctx context.Context, err error) error
	// Wait returns after a time, or earlier when it is woken or the context ends.
	Wait func(ctx context.Context, wake <-chan struct{}, limit time.Duration)
	// Now is the steady clock, Wall the time of day.
	Now  func() time.Time
	Wall func() time.Time
	// Metrics counts decisions and measures how long they take.
	Metrics tally.Scope
	Log     *zap.Logger
}

// Wait is the wait of a real daemon.
func Wait(ctx context.Context, wake <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.C:
	}
}

// Coordinator is the leader's part on one keeper. It rests while another keeper leads.
type Coordinator struct {
	opts    Options
	metrics metrics

	wake   chan struct{}
	cancel context.CancelFunc
	wait   sync.WaitGroup

	// What follows is used inside of Read only.
	term      uint64
	began     time.Time // of the term, as seen here
	workers   map[string]*worker
	addresses map[string]string // to the worker that reports from there
	proposed  map[string]bool   // jobs whose acceptance was proposed in this term and is not in the account yet
	tracks    map[tracker.RunKey]*track
	placed    map[tracker.RunKey]bool // starts that were committed in this term
	suspects  suspects
	stopping  map[tracker.RunKey]bool
	ages      map[string]time.Time // when a job was first seen here
	ended     map[string]time.Time // when a job was first seen to have ended
	estimates *estimator.Estimator
}

var _ messages.Queues = (*Coordinator)(nil)

// NewStepped returns a coordinator whose owner calls Pass, for virtual time.
func NewStepped(opts Options) *Coordinator {
	c := &Coordinator{opts: opts, metrics: newMetrics(opts.Metrics), wake: make(chan struct{}, 1), cancel: func() {}}
	c.enter(0)
	return c
}

// New starts the coordinator of one keeper.
func New(opts Options) *Coordinator {
	c := NewStepped(opts)
	var ctx context.Context
	ctx, c.cancel = context.WithCancel(context.Background())
	c.wait.Go(func() {
		ticker := time.NewTicker(passInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-c.wake:
			case <-ticker.C:
			}
			took := c.Pass(ctx)
			select {
			case <-ctx.Done():
				return
			case <-time.After(max(passGap, passRest*took)):
			}
		}
	})
	return c
}

// Stop ends the coordinator and waits for it.
func (c *Coordinator) Stop() {
	c.cancel()
	c.wait.Wait()
}

// enter forgets what was known in an earlier term.
func (c *Coordinator) enter(term uint64) {
	c.term = term
	c.began = c.opts.Now()
	c.workers = map[string]*worker{}
	c.addresses = map[string]string{}
	c.proposed = map[string]bool{}
	c.tracks = map[tracker.RunKey]*track{}
	c.placed = map[tracker.RunKey]bool{}
	c.suspects = suspects{}
	c.stopping = map[tracker.RunKey]bool{}
	c.ages = map[string]time.Time{}
	c.ended = map[string]time.Time{}
	c.estimates = estimator.New()
}

// read runs a function on the account of a leader, with what is known in its term.
func (c *Coordinator) read(ctx context.Context, f func(book *tracker.Tracker)) error {
	return c.opts.Read(ctx, func(term uint64, book *tracker.Tracker) {
		if term != c.term {
			c.enter(term)
			c.opts.Log.Info("leads queues", zap.Uint64("term", term), zap.Int("jobs", len(book.Open())))
		}
		f(book)
	})
}

func (c *Coordinator) stir() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Pass commits what time and the placer ask for. It returns how long the decisions took.
func (c *Coordinator) Pass(ctx context.Context) (took time.Duration) {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var change *messages.QueueChange
	err := c.read(readCtx, func(book *tracker.Tracker) {
		began := time.Now()
		change = c.decide(book)
		took = time.Since(began)
		c.metrics.pass.RecordDuration(took)
	})
	if err != nil || change == nil {
		return took // another keeper leads, or there is nothing to do
	}
	if err := c.commit(ctx, change); err != nil {
		c.opts.Log.Warn("decisions not committed", zap.Int("starts", len(change.GetStarts())), zap.Int("ends", len(change.GetEnds())), zap.Error(err))
		return took
	}
	err = c.read(ctx, func(*tracker.Tracker) {
		c.endLapsing(change.GetEnds())
		for _, r := range change.GetStarts() {
			c.placed[tracker.KeyOf(r)] = true
			c.rouse(r.GetWorker())
		}
	})
	if err != nil {
		c.opts.Log.Info("the term ended during a pass", zap.Error(err))
	}
	return took
}

// commit has a change committed and measures how long that takes.
func (c *Coordinator) commit(ctx context.Context, change *messages.QueueChange) error {
	began := time.Now()
	err := c.opts.Commit(ctx, change)
	c.metrics.commit.RecordDuration(time.Since(began))
	return err
}

// endLapsing lets workers get orders again once the end of what ran on them is committed.
func (c *Coordinator) endLapsing(ends []*messages.WorkerEnds) {
	for _, e := range ends {
		if w := c.workers[e.GetWorker()]; w != nil {
			w.lapsing = false
		}
	}
}
