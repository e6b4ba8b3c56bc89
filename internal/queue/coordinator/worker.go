package coordinator

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/placer"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// worker is the reported state of one incarnation of a worker.
type worker struct {
	id            string
	address       string
	born          int64
	sequence      uint64
	acknowledged  uint64 // number of the last end that a response of this leader acknowledged
	pool          string
	rack          string
	place         string    // its data centre
	coldUntil     time.Time // when it is no longer slow after its start
	labels        []string
	capacity      placer.Vector
	leaving       bool
	exitAt        time.Time // earliest exit of a leaving worker
	left          bool
	exitNotice    bool          // it has sent a notice that it is about to exit
	previous      *worker       // the incarnation before it, nil if this leader did not know it
	replaced      bool          // a later worker reports from its address, so this one has ended
	lost          bool          // its loss has been recorded
	expiring      bool          // its end is being committed; it gets no orders until then
	firstContact  time.Time     // when this leader first heard of it
	lastContact   time.Time     // latest possible send time of its last report
	clock         int64         // worker's clock in that report, in milliseconds, 0 for none
	interval      time.Duration // that it was last told to wait before its next report
	nextReportDue time.Time     // deadline of the next report if the last response arrived, zero for none
	wake          chan struct{} // ends the long poll
	unreachable   bool          // responses seem not to arrive
	leaseEnd      time.Time     // when all leases granted in this term have expired
	listed        map[tracker.RunKey]bool
	// startOrders holds, by run, the sequence number of the report whose response last ordered its start.
	startOrders map[tracker.RunKey]uint64
	oversized   map[tracker.RunKey]bool // starts that no longer fit into the reported capacity
	withheld    map[tracker.RunKey]bool // starts that were logged as withheld since the data centre is evacuated
	unsent      bool                    // the last response did not have room for all starts
	// answered is true once a report has shown that a response of this leader arrived. Responses of earlier leaders
	// are void from then on, and no report that was sent before can pass for a current one.
	answered bool
	health   health
}

// hasAnnouncedExit reports whether the end of the worker is planned.
func (w *worker) hasAnnouncedExit() bool { return w.leaving || w.exitNotice }

// previousAt returns the incarnation before this one if it began at the given time and is known, or nil.
func (w *worker) previousAt(born int64) *worker {
	if w.previous == nil || w.previous.born != born {
		return nil
	}
	return w.previous
}

// receiveTimeout limits the processing of a report and the commit of the ends in it. It covers an election and
// a commit after it.
const receiveTimeout = 4 * time.Second

// Report processes a worker's report, commits the ends in it and returns orders for the worker.
func (c *Coordinator) Report(ctx context.Context, r *messages.FleetReport) (*messages.FleetOrders, error) {
	received := c.opts.Now()
	var change *messages.QueueChange
	var stale bool
	var term uint64
	var wake <-chan struct{}
	// The report is processed even if its sender is gone by now, as after the last report of a worker that
	// exits. Otherwise finished work is repeated.
	receiveCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), receiveTimeout)
	defer cancel()
	err := c.read(receiveCtx, func(state *tracker.Tracker) {
		c.pacer.Observe(c.opts.Now().Sub(received))
		term = c.term
		if change, stale = c.receive(state, r); !stale {
			wake = c.beginPoll(r)
		}
	})
	if err != nil {
		return nil, c.opts.RedirectError(ctx, err)
	}
	if change != nil {
		if _, err := c.commit(receiveCtx, term, change); err != nil {
			return nil, c.opts.RedirectError(ctx, err)
		}
		c.triggerPass()
		err := c.read(receiveCtx, func(state *tracker.Tracker) { c.wakeAffectedWorkers(state, change) })
		if err != nil {
			return nil, c.opts.RedirectError(ctx, err)
		}
	}
	if stale {
		return &messages.FleetOrders{Address: c.opts.Address}, nil
	}
	return c.respond(ctx, r, received, wake)
}

// respond returns the orders for a worker. While there are none it waits, as a long poll, so that an order is
// sent as soon as it is decided.
func (c *Coordinator) respond(ctx context.Context, r *messages.FleetReport, received time.Time, wake <-chan struct{}) (*messages.FleetOrders, error) {
	for {
		orders := &messages.FleetOrders{}
		var remaining time.Duration
		err := c.read(ctx, func(state *tracker.Tracker) {
			orders = c.ordersFor(state, r)
			if remaining = c.pollTime(state, r, received); len(orders.GetStarts())+len(orders.GetStops()) > 0 {
				remaining = 0
			}
			if remaining == 0 {
				c.scheduleReport(r, orders, received)
			}
		})
		if err != nil {
			return nil, c.opts.RedirectError(ctx, err)
		}
		if remaining == 0 {
			return orders, nil
		}
		c.opts.Wait(ctx, wake, remaining)
		if err := ctx.Err(); err != nil {
			return nil, fmt.Errorf("report cancelled while waiting for orders: %w", err)
		}
	}
}

// beginPoll returns the channel that ends the long poll of a report. It ends the poll of an earlier report,
// for whose response the worker no longer waits.
func (c *Coordinator) beginPoll(r *messages.FleetReport) <-chan struct{} {
	w := c.workers[r.GetWorker()]
	if w == nil {
		return nil
	}
	c.wakeWorker(w.id)
	w.wake = make(chan struct{}, 1)
	return w.wake
}

// wakeWorker ends a worker's long poll, if there is one.
func (c *Coordinator) wakeWorker(worker string) {
	w := c.workers[worker]
	if w == nil || w.wake == nil {
		return
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// wakeJobWorkers ends the long polls of all workers that run tasks of a job.
func (c *Coordinator) wakeJobWorkers(j *tracker.Job) {
	if j == nil {
		return
	}
	steps := j.Steps()
	for i := range steps {
		c.wakeStepWorkers(&steps[i])
	}
}

func (c *Coordinator) wakeStepWorkers(s *tracker.Step) {
	for i := range s.Tasks {
		if s.Tasks[i].Active > 0 {
			c.wakeWorker(s.Tasks[i].Worker)
		}
	}
}

// wakeAffectedWorkers ends the long polls of workers that must stop runs because of the ends in a change: the
// other members of a gang, and the rest of a job that has ended.
func (c *Coordinator) wakeAffectedWorkers(state *tracker.Tracker, change *messages.QueueChange) {
	for _, ends := range change.GetEnds() {
		for _, e := range ends.GetEnds() {
			j := state.Job(e.GetJob())
			if j == nil {
				continue
			}
			if j.Ended() {
				c.wakeJobWorkers(j)
				continue
			}
			if s := j.Step(e.GetOccurrence(), e.GetStep()); s != nil && (s.Spec.GetGang() || e.GetHow() == tracker.EndRecovered) {
				c.wakeStepWorkers(s)
			}
		}
	}
}

// pollTime returns how long the response to a report may still wait for orders, 0 to respond now. It does not
// exceed the expected end of any of the worker's runs, as the worker reports no ends while it waits.
func (c *Coordinator) pollTime(state *tracker.Tracker, r *messages.FleetReport, received time.Time) time.Duration {
	w := c.workers[r.GetWorker()]
	if w == nil || w.born != r.GetBorn() || w.sequence != r.GetSequence() || w.leaving || w.left || w.expiring {
		return 0 // a leaving worker waits for the acknowledgement
	}
	now := c.opts.Now()
	remaining := c.opts.Timing.MaxPollTime - now.Sub(received)
	for key := range w.listed {
		if remaining < minPollTime {
			return 0
		}
		j := state.Job(key.Job)
		if j == nil {
			return 0
		}
		if s := j.Step(key.Occurrence, key.Step); s != nil && !s.Spec.GetLasting() {
			remaining = min(remaining, c.progress[key].remaining(now, c.estimate(j, s)))
		}
	}
	if remaining < minPollTime {
		return 0
	}
	return remaining
}

// scheduleReport sets the time of a worker's next report in its orders and records the deadline.
func (c *Coordinator) scheduleReport(r *messages.FleetReport, o *messages.FleetOrders, received time.Time) {
	w := c.workers[r.GetWorker()]
	if w == nil || o.GetLease() == 0 {
		return
	}
	now := c.opts.Now()
	interval := c.pacer.Interval()
	w.interval = interval
	if polled := now.Sub(received); polled >= minPollTime && c.opts.Timing.MaxPollTime > 0 {
		interval = max(interval-polled, nextPollDelay)
	}
	if w.unsent {
		interval = nextPollDelay
	}
	o.Again = interval.Milliseconds()
	w.nextReportDue = now.Add(interval + responseMargin)
}

// receive processes a report and returns the change that must be committed before the response. stale is true
// if the report must be ignored, but for ends in it: a later one is known, a later worker has its address, or its pool is
// unknown.
func (c *Coordinator) receive(state *tracker.Tracker, r *messages.FleetReport) (change *messages.QueueChange, stale bool) {
	now := c.opts.Now()
	c.metrics.reports.Inc(1)
	w := c.workers[r.GetWorker()]
	if r.GetLeft() {
		c.receiveExitNotice(state, r, w)
		return nil, false
	}
	if state.Catalog() != nil && state.Pools()[r.GetPool()] == nil && !isKnown(state, w, r) {
		c.opts.Log.Warn("report names an unknown pool", zap.String("worker", r.GetWorker()), zap.String("pool", r.GetPool()))
		c.logIgnored(state, r, ignoredUnknownPool, nil)
		return nil, true
	}
	if isStale(state, w, r) {
		return c.ignore(state, r, ignoredStale), true
	}
	if !isCredible(state, w, r) {
		c.opts.Log.Warn("report has numbers far ahead of the last one", zap.String("worker", r.GetWorker()), zap.Uint64("report", r.GetSequence()))
		c.logIgnored(state, r, ignoredNotCredible, nil)
		return nil, true
	}
	if c.isReplaced(state, r) {
		return c.ignore(state, r, ignoredReplaced), true
	}
	if w == nil || r.GetBorn() > w.born {
		w = c.addIncarnation(state, r)
	}
	c.updateWorker(w, r, now)
	c.updateProgress(w, r)
	c.recordBegun(state, r)
	c.observeNeighbours(state, w, r)
	c.countMissed(state, w)
	return c.newEnds(state, w, r), false
}

// isKnown reports whether a report is of a worker that this leader knows from the same pool, or that has runs. They go on
// after the pool has left the catalog.
func isKnown(state *tracker.Tracker, w *worker, r *messages.FleetReport) bool {
	if w != nil && w.born == r.GetBorn() && w.pool == r.GetPool() {
		return true
	}
	for _, run := range state.RunsOn(r.GetWorker()) {
		if run.GetBorn() == r.GetBorn() {
			return true
		}
	}
	return false
}

// isStale reports whether a later incarnation of the worker, or a later report of the same one, is known.
func isStale(state *tracker.Tracker, w *worker, r *messages.FleetReport) bool {
	if incarnation, known := state.Incarnation(r.GetWorker()); known && r.GetBorn() < incarnation.Started {
		return true
	}
	return w != nil && (r.GetBorn() < w.born || r.GetBorn() == w.born && r.GetSequence() <= w.sequence)
}

// addIncarnation adds a worker that is new or has restarted.
func (c *Coordinator) addIncarnation(state *tracker.Tracker, r *messages.FleetReport) *worker {
	w := &worker{id: r.GetWorker(), born: r.GetBorn(), startOrders: map[tracker.RunKey]uint64{}}
	w.firstContact = c.opts.Now()
	if w.previous = c.workers[w.id]; w.previous != nil {
		w.previous.previous = nil
		if len(state.RunsOn(w.id)) == 0 {
			c.recordLoss(w.id, w.previous)
		}
	}
	c.workers[r.GetWorker()] = w
	c.opts.Log.Info("worker reports", zap.String("worker", w.id), zap.Int64("born", w.born),
		zap.String("address", r.GetAddress()), zap.String("pool", r.GetPool()), zap.Strings("labels", r.GetLabels()))
	c.triggerPass()
	return w
}

// isReplaced reports whether a worker that started later uses the address of a report. If instead the sender
// is the later one, it marks the earlier worker as replaced. An address belongs to one process at a time, so
// the earlier process has ended, and its runs need not wait for the lease to expire.
func (c *Coordinator) isReplaced(state *tracker.Tracker, r *messages.FleetReport) bool {
	if r.GetAddress() == "" {
		return false
	}
	previous := c.workers[c.addresses[r.GetAddress()]]
	// A worker that has restarted at another address is not the one that used this address.
	if previous != nil && previous.id != r.GetWorker() && previous.address == r.GetAddress() {
		if previous.born > r.GetBorn() {
			return true
		}
		if previous.born == r.GetBorn() {
			return false // the order of the two is unknown
		}
		if !previous.replaced && len(state.RunsOn(previous.id)) == 0 {
			c.recordLoss(previous.id, previous)
		}
		previous.replaced, previous.left = true, true
		c.opts.Log.Info("worker replaced", zap.String("worker", previous.id), zap.Int64("born", previous.born),
			zap.String("address", r.GetAddress()), zap.String("successor", r.GetWorker()), zap.Int64("later", r.GetBorn()))
		c.triggerPass()
	}
	c.addresses[r.GetAddress()] = r.GetWorker()
	return false
}

// updateWorker copies a worker's state from its report.
func (c *Coordinator) updateWorker(w *worker, r *messages.FleetReport, now time.Time) {
	if r.GetLeaving() && !w.leaving {
		c.opts.Log.Info("worker leaves", zap.String("worker", w.id), zap.Int64("remaining", r.GetRemaining()))
	}
	w.lost = false
	// A worker that received no response reports again only after its response timeout.
	w.unreachable = !w.nextReportDue.IsZero() && now.After(w.nextReportDue)
	w.nextReportDue = time.Time{}
	w.lastContact, w.clock = latestSendTime(w, r, now), r.GetClock()
	w.sequence = r.GetSequence()
	w.pool, w.labels = r.GetPool(), r.GetLabels()
	w.rack = r.GetRack()
	w.place = r.GetPlace()
	w.coldUntil = w.lastContact.Add(time.Duration(r.GetCold()) * time.Millisecond)
	w.capacity = placer.Vector{Processors: r.GetProcessors(), Memory: r.GetMemory(), Accelerators: r.GetAccelerators()}
	w.leaving = r.GetLeaving()
	w.exitAt = w.lastContact.Add(time.Duration(r.GetRemaining()) * time.Millisecond)
	w.address = r.GetAddress()
	w.left = w.left && w.leaving // not leaving: the exit notice was from an earlier incarnation
	w.exitNotice = w.exitNotice && w.leaving
}

// latestSendTime returns the latest time at which a report that arrives now can have been sent. A network
// partition can delay a report by seconds; the worker's clock then shows that less time has passed since its
// last report.
func latestSendTime(w *worker, r *messages.FleetReport, now time.Time) time.Time {
	elapsed := time.Duration(r.GetClock()-w.clock) * time.Millisecond
	if w.clock == 0 || r.GetClock() == 0 || elapsed < 0 {
		return now
	}
	if latest := w.lastContact.Add(elapsed + elapsed*maxClockDriftPercent/100 + clockResolution); latest.Before(now) {
		return latest
	}
	return now
}

// clockResolution is the resolution of the worker's clock in reports.
const clockResolution = time.Millisecond

// receiveExitNotice marks a worker that is about to exit. Nothing is started on it any more and its lease is
// not extended. Its runs stay active until the lease expires, because a worker continues for a while if its
// notice is not acknowledged. A late notice of an earlier incarnation is ignored.
func (c *Coordinator) receiveExitNotice(state *tracker.Tracker, r *messages.FleetReport, w *worker) {
	if w == nil || r.GetBorn() != 0 && r.GetBorn() != w.born {
		return
	}
	w.left, w.exitNotice = true, true
	c.opts.Log.Info("worker sent exit notice", zap.String("worker", w.id), zap.Int("runs", len(state.RunsOn(w.id))))
}

// newEnds returns the change that commits the new ends in a report, nil if there are none.
func (c *Coordinator) newEnds(state *tracker.Tracker, w *worker, r *messages.FleetReport) *messages.QueueChange {
	incarnation, known := state.Incarnation(w.id)
	if !known || incarnation.Started != w.born {
		incarnation = tracker.Incarnation{Started: w.born}
	}
	w.oversized = c.oversizedStarts(state, w)
	ends := &messages.WorkerEnds{Worker: w.id, Born: w.born, Sequence: incarnation.Sequence}
	runs := state.RunsOn(w.id)
	for _, e := range r.GetEnds() {
		if e.GetSequence() <= incarnation.Sequence {
			continue
		}
		ends.Sequence = max(ends.Sequence, e.GetSequence())
		if e.GetEnd().GetHow() == tracker.EndRecovered {
			continue // only a leader says so
		}
		key := tracker.EndKeyOf(e.GetEnd())
		c.observeOrder(w, key)
		// An end of a run that is not in the state is committed too: what is acknowledged is recorded if the run is in
		// the state by then.
		ends.Ends = append(ends.Ends, e.GetEnd())
		if recovered := c.recoveredEnd(state, w, e.GetEnd()); recovered != nil {
			ends.Ends = append(ends.Ends, recovered)
		}
		if run := runs[key]; run == nil || run.GetBorn() != w.born {
			c.metrics.unknownEnds.Inc(1)
			c.opts.Log.Info("end of an unknown run", zap.String("request", key.Job), zap.Int32("occurrence", key.Occurrence), zap.Int32("step", key.Step),
				zap.Int32("task", key.Task), zap.Uint32("run", key.Number), zap.String("worker", w.id), zap.String("how", e.GetEnd().GetHow()),
				zap.Uint64("end", e.GetSequence()), zap.Uint64("report", w.sequence))
			continue
		}
		c.recordEnd(state, w, key, e.GetEnd())
	}
	list := []*messages.WorkerEnds{ends}
	earlier, crashed := earlierIncarnation(runs, w.born)
	if crashed {
		if saved := c.checkpointEnds(state, w.id, earlier, maxCheckpointBytes); len(saved) > 0 {
			list = []*messages.WorkerEnds{{Worker: w.id, Born: earlier, Ends: saved}, ends}
		}
		ends.Crashes = c.crashes(state, w.id, earlier, w.previousAt(earlier), true)
	}
	if len(r.GetEnds()) < splitEndsThreshold {
		ends.Ends = append(ends.Ends, c.unstartedRuns(state, w, ends.Ends)...)
	}
	if ends.Sequence == incarnation.Sequence && !crashed && len(ends.Ends) == 0 {
		return nil
	}
	return &messages.QueueChange{Time: c.opts.Wall().UnixMilli(), Ends: list}
}

// earlierIncarnation returns the last incarnation before the given one that has runs, whose ends it could not report.
func earlierIncarnation(runs map[tracker.RunKey]*messages.Run, born int64) (earlier int64, ok bool) {
	for _, r := range runs {
		if r.GetBorn() < born {
			earlier, ok = max(earlier, r.GetBorn()), true
		}
	}
	return earlier, ok
}
