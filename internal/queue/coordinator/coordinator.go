// Package coordinator implements the leader's side of queues. It receives jobs from callers and reports from
// workers, commits the resulting changes and carries out the decisions of the placer. Data about workers is
// kept in memory for one term; everything else is in the replicated state.
package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/job/estimator"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/pacer"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/placer"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/state/applier"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

const (
	passInterval   = 100 * time.Millisecond // between passes without events
	minPassGap     = 10 * time.Millisecond  // least time between passes, so that one pass serves many events
	passRestFactor = 2                      // least time between passes as a multiple of the last pass, to limit CPU use
	readTimeout    = time.Second            // for a pass to read the replicated state
)

// Timing sets the lease duration and the report intervals of workers.
type Timing struct {
	Lease             time.Duration // lease on a worker's runs, counted from the time its report was sent
	LastingLease      time.Duration // the same while it runs lasting tasks, which start elsewhere once it ends, 0 for Lease
	MaxLease          time.Duration // longest lease that any leader may have granted
	MinReportInterval time.Duration // minimum time between two reports of a worker
	ReportCost        time.Duration // expected processor time of one report, with its share of the decisions
	MaxPollTime       time.Duration // longest time of a long poll for orders, 0 to disable long polls
	MaxStopTime       time.Duration // longest time from the receipt of a stop order to the end of the run
	MaxContactTimeout time.Duration // time without a report after which nothing is started on a worker
	Retention         time.Duration // how long the phase of an ended job is kept
}

// maxClockDriftPercent is an upper bound, with a margin, on how much slower a worker's clock may run.
const maxClockDriftPercent = 3

// leaseMargin covers the time between the receipt of a report and the start of the lease granted for it.
const leaseMargin = 100 * time.Millisecond

// maxReportInterval returns the longest time between two reports of a worker. It leaves time for a late report.
func (t Timing) maxReportInterval() time.Duration { return t.MaxContactTimeout * 2 / 3 }

// nextPollDelay is the shortest delay between a long poll and the worker's next report, which starts the next
// poll.
const nextPollDelay = 20 * time.Millisecond

// minPollTime is the shortest time for which a long poll is worthwhile.
const minPollTime = 60 * time.Millisecond

// contactMargin exceeds the time that a worker waits for a response after the end of a long poll, plus the
// time it needs to report to another keeper.
const contactMargin = 750 * time.Millisecond

// contactTimeout returns the time without a report after which nothing is started on a worker that was told to
// report after the given interval.
func (t Timing) contactTimeout(interval time.Duration) time.Duration {
	return min(t.MaxContactTimeout, max(interval, t.MaxPollTime)+contactMargin)
}

// responseMargin is how late a report may arrive after its due time. It exceeds the transmission time of a
// report, and is less than what remains, after a long poll, of the second that a worker waits for a response.
const responseMargin = 350 * time.Millisecond

// leaseExpiry returns the time by which a lease granted at the given time has expired on the worker's clock
// too.
func (t Timing) leaseExpiry(granted time.Time, lease time.Duration) time.Time {
	return granted.Add(lease + lease*maxClockDriftPercent/100 + leaseMargin)
}

// Options are the dependencies of a coordinator.
type Options struct {
	Timing  Timing
	Address string // preferred address of this leader for workers, "" for any keeper
	// Read calls read with the replicated state if this keeper leads and holds its lease. Calls do not
	// overlap.
	Read func(ctx context.Context, read func(term uint64, state *tracker.Tracker)) error
	// Commit returns after a change that was decided in a term has been committed and applied. It refuses the change if this
	// keeper does not lead in that term any more.
	Commit func(ctx context.Context, term uint64, change *messages.QueueChange) (applier.Receipt, error)
	// RedirectError converts an error of Read or Commit to one that names the leader.
	RedirectError func(ctx context.Context, err error) error
	// Wait returns at the limit, or earlier if wake receives or the context ends.
	Wait func(ctx context.Context, wake <-chan struct{}, limit time.Duration)
	// Now is the monotonic clock, Wall the wall clock.
	Now   func() time.Time
	Wall  func() time.Time
	Cores float64 // processor time per second that the process may use, 0 for unknown
	// MaxMessage limits the encoded size of a job and of a catalog in bytes, 0 for no limit.
	MaxMessage int
	// RackFactor is the run time of a compact gang across racks as a multiple of that in a single rack.
	RackFactor float64
	// Places are the data centres that the settings name.
	Places []string
	// KnowsPlace reports whether a data centre is known apart from Places and the workers of queues. It is called inside Read. nil means
	// that none is.
	KnowsPlace func(term uint64, place string) bool
	// OutdatedKeeper returns the name of a keeper in contact that can't apply entries with evacuations, "" for none. It is called
	// inside Read. nil means that there is none.
	OutdatedKeeper func(term uint64) string
	// Preemption is what stops for urgent work cost; the zero value counts only unsaved work.
	Preemption placer.Preemption
	// IgnoreInterference places tasks without regard to images that slow each other down.
	IgnoreInterference bool
	// Metrics receives the counts and durations of decisions and commits.
	Metrics tally.Scope
	Log     *zap.Logger
}

// Wait implements Options.Wait with a real timer.
func Wait(ctx context.Context, wake <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.C:
	}
}

// Coordinator runs the queues on one keeper. It is idle while another keeper leads.
type Coordinator struct {
	opts    Options
	metrics metrics

	committed passCommit // used by passes, which do not overlap

	wake      chan struct{}
	cancel    context.CancelFunc
	waitGroup sync.WaitGroup

	// The fields below are accessed only inside Read.
	term            uint64
	termStart       time.Time // first read of the term on this keeper
	workers         map[string]*worker
	addresses       map[string]string         // worker id by report address
	proposed        map[string]*messages.Work // jobs proposed in this term that are not in the replicated state yet
	progress        map[tracker.RunKey]*runProgress
	committedStarts map[tracker.RunKey]bool // starts committed in this term
	failedWorkers   failedWorkers
	stopping        map[tracker.RunKey]bool
	unexplainedAt   time.Time            // of the last loss of a worker that was starting nothing, zero for none
	lossAt          time.Time            // of the last loss that extended holds, zero for none
	allLosses       map[string]time.Time // of workers that no task alone explains, by machine, within widespreadPeriod before the last one
	losses          map[string]time.Time // of workers that were starting nothing, by machine, within widespreadPeriod before the last one
	widespreadAt    time.Time            // when these were last a large part of the workers, zero for never
	restartedAt     time.Time            // last start of a large part of the workers around the start of the term, zero for none
	verdicts        map[tracker.TaskKey]verdict
	hasVerdicts     bool // the tasks that had several crashes when the term began are in verdicts
	deferrals       map[placer.StepKey]*deferral
	idleWaits       map[placer.StepKey]idleWait // of steps that wait though most of their pool is idle
	resume          placer.StepKey              // at which the last pass left off, zero if it reached all
	waits           map[string]*jobWait         // by job
	waitLog         lineLimit
	accounts        map[string]*account // by job
	accountedAt     time.Time           // of the last sample
	usageLoggedAt   time.Time
	endLog          lineLimit
	outdatedFor     map[placer.StepKey]string // keepers of an earlier build for which gangs wait, as of the last pass
	goneCheckedAt   time.Time                 // when incarnations of workers that have gone were last searched
	restarts        map[tracker.TaskKey]restart
	seenAt          map[string]time.Time // when this leader first saw a job
	endedAt         map[string]time.Time // when this leader first saw a job as ended
	begun           map[string]bool      // jobs of which a worker has reported a run to this leader
	estimator       *estimator.Estimator
	pacer           *pacer.Pacer
	remainder       remainder
	interference    interference
}

var _ messages.Queues = (*Coordinator)(nil)

// NewStepped returns a coordinator without a background loop, for tests in virtual time. The caller runs
// Pass.
func NewStepped(opts Options) *Coordinator {
	c := &Coordinator{opts: opts, metrics: newMetrics(opts.Metrics), wake: make(chan struct{}, 1), cancel: func() {}}
	c.resetForTerm(0)
	return c
}

// New returns a coordinator that runs passes in the background until Stop.
func New(opts Options) *Coordinator {
	c := NewStepped(opts)
	var ctx context.Context
	ctx, c.cancel = context.WithCancel(context.Background())
	c.waitGroup.Go(func() {
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
			case <-time.After(max(minPassGap, passRestFactor*took)):
			}
		}
	})
	return c
}

// Stop stops the background loop and waits until it has ended.
func (c *Coordinator) Stop() {
	c.cancel()
	c.waitGroup.Wait()
}

// resetForTerm discards the in-memory data of the previous term.
func (c *Coordinator) resetForTerm(term uint64) {
	c.term = term
	c.termStart = c.opts.Now()
	c.workers = map[string]*worker{}
	c.addresses = map[string]string{}
	c.proposed = map[string]*messages.Work{}
	c.progress = map[tracker.RunKey]*runProgress{}
	c.committedStarts = map[tracker.RunKey]bool{}
	c.failedWorkers = failedWorkers{}
	c.stopping = map[tracker.RunKey]bool{}
	c.unexplainedAt, c.lossAt = time.Time{}, time.Time{}
	c.allLosses, c.losses = map[string]time.Time{}, map[string]time.Time{}
	c.widespreadAt, c.restartedAt = time.Time{}, time.Time{}
	c.verdicts, c.hasVerdicts = map[tracker.TaskKey]verdict{}, false
	c.deferrals = map[placer.StepKey]*deferral{}
	c.idleWaits, c.resume = map[placer.StepKey]idleWait{}, placer.StepKey{}
	c.waits = map[string]*jobWait{}
	c.waitLog, c.endLog = lineLimit{}, lineLimit{}
	c.accounts = map[string]*account{}
	c.accountedAt, c.usageLoggedAt = time.Time{}, time.Time{}
	c.outdatedFor = map[placer.StepKey]string{}
	c.goneCheckedAt = time.Time{}
	c.restarts = map[tracker.TaskKey]restart{}
	c.seenAt = map[string]time.Time{}
	c.endedAt = map[string]time.Time{}
	c.begun = map[string]bool{}
	c.remainder = remainder{}
	c.estimator = estimator.New()
	c.resetInterference()
	c.pacer = pacer.New(pacer.Options{
		Min: c.opts.Timing.MinReportInterval, Max: c.opts.Timing.maxReportInterval(), ReportCost: c.opts.Timing.ReportCost,
		Cores: c.opts.Cores,
	}, c.termStart)
}

// read calls f with the replicated state of the leader. It resets the in-memory data first if the term has
// changed.
func (c *Coordinator) read(ctx context.Context, f func(state *tracker.Tracker)) error {
	return c.opts.Read(ctx, func(term uint64, state *tracker.Tracker) {
		if term != c.term {
			c.resetForTerm(term)
			c.opts.Log.Info("leads queues", zap.Uint64("term", term), zap.Int("jobs", len(state.Open())))
		}
		f(state)
	})
}

func (c *Coordinator) triggerPass() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// passCommit is the change that a pass has committed and the leader has not observed yet.
type passCommit struct {
	term   uint64
	change *messages.QueueChange
}

// Pass runs one scheduling pass: it commits lease expiries, starts, jobs that are given up and the removal of old jobs. It returns how
// long the decisions took.
func (c *Coordinator) Pass(ctx context.Context) (took time.Duration) {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var change *messages.QueueChange
	var term uint64
	err := c.read(readCtx, func(state *tracker.Tracker) {
		start := time.Now()
		c.observeCommit(state) // if the read after the last commit failed
		term, change = c.term, c.decide(state)
		took = time.Since(start)
		c.metrics.pass.RecordDuration(took)
	})
	if err != nil {
		c.metrics.evacuatedPlaces.Update(0) // the leader counts them
	}
	if err != nil || change == nil {
		return took // another keeper leads, or there is nothing to commit
	}
	if _, err := c.commit(ctx, term, change); err != nil {
		c.opts.Log.Warn("scheduling decisions not committed", zap.Int("starts", len(change.GetStarts())), zap.Int("ends", len(change.GetEnds())), zap.Error(err))
		return took
	}
	c.committed = passCommit{term, change}
	if err := c.read(ctx, c.observeCommit); err != nil {
		c.opts.Log.Info("leader state not updated after commit", zap.Error(err)) // the next pass does it
	}
	return took
}

// observeCommit updates the in-memory data after the last change of a pass has been committed.
func (c *Coordinator) observeCommit(state *tracker.Tracker) {
	change := c.committed.change
	if c.committed.term != c.term {
		change = nil // its term has ended, and with it the in-memory data
	}
	c.committed = passCommit{}
	c.logWithoutEffect(state, change)
	c.clearExpiring(change.GetEnds())
	if len(state.Evacuations()) > 0 {
		c.wakeAffectedWorkers(state, change) // the other members of gangs with a start that was taken back
	}
	for _, id := range change.GetFailures() {
		c.wakeJobWorkers(state.Job(id))
	}
	for _, r := range change.GetStarts() {
		c.committedStarts[tracker.KeyOf(r)] = true
		c.wakeWorker(r.GetWorker())
	}
}

// commit commits a change that was decided in a term, and records how long that took.
func (c *Coordinator) commit(ctx context.Context, term uint64, change *messages.QueueChange) (applier.Receipt, error) {
	start := time.Now()
	receipt, err := c.opts.Commit(ctx, term, change)
	c.metrics.commit.RecordDuration(time.Since(start))
	return receipt, err
}

// clearExpiring allows orders to workers again after the ends of their runs have been committed.
func (c *Coordinator) clearExpiring(ends []*messages.WorkerEnds) {
	for _, e := range ends {
		if w := c.workers[e.GetWorker()]; w != nil {
			w.expiring = false
		}
	}
}
