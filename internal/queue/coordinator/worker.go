package coordinator

import (
	"context"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/placer"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// worker is one life of a worker, as it reports itself.
type worker struct {
	id       string
	address  string
	born     int64
	sequence uint64
	pool     string
	rack     string
	labels   []string
	capacity placer.Vector
	leaving  bool
	left     bool
	replaced bool          // a later worker reports from its address, so it has ended
	lapsing  bool          // the end of its life is being committed; it gets no orders until that is known
	heard    time.Time     // latest time at which its last report can have been sent
	clock    int64         // of the worker in that report, milliseconds, 0 for none
	expected time.Time     // when its next report comes at the latest if the last answer arrived, zero for any time
	wake     chan struct{} // ends the wait of the report whose answer is held
	deaf     bool          // answers to it seem to get lost
	leaseEnd time.Time     // when all leases that were granted here have surely run out
	listed   map[tracker.RunKey]bool
	// ordered holds the report whose answer last ordered the start of a run.
	ordered map[tracker.RunKey]uint64
	health  health
}

// endsTimeout bounds the commit of ends: an election and a commit after it.
const endsTimeout = 4 * time.Second

// Report takes a worker's report, commits the ends in it and returns the worker's orders.
func (c *Coordinator) Report(ctx context.Context, r *messages.FleetReport) (*messages.FleetOrders, error) {
	received := c.opts.Now()
	var change *messages.QueueChange
	var stale bool
	var wake <-chan struct{}
	err := c.read(ctx, func(book *tracker.Tracker) {
		if change, stale = c.hear(book, r); !stale {
			wake = c.waitOn(r)
		}
	})
	if err != nil {
		return nil, c.opts.Explain(ctx, err)
	}
	if stale {
		return &messages.FleetOrders{Address: c.opts.Address}, nil
	}
	if change != nil {
		// Ends that were read must count, also when the worker no longer waits for the answer.
		commitCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endsTimeout)
		defer cancel()
		if err := c.commit(commitCtx, change); err != nil {
			return nil, c.opts.Explain(ctx, err)
		}
		c.stir()
	}
	return c.answer(ctx, r, change, received, wake)
}

// answer returns the orders for a worker. It holds them back for a time while there are none, so that
// an order leaves as soon as it is decided.
func (c *Coordinator) answer(
	ctx context.Context, r *messages.FleetReport, change *messages.QueueChange, received time.Time, wake <-chan struct{},
) (*messages.FleetOrders, error) {
	for {
		orders := &messages.FleetOrders{}
		var hold time.Duration
		err := c.read(ctx, func(book *tracker.Tracker) {
			c.rouseGangs(book, change)
			orders = c.ordersFor(book, r)
			if hold = c.holdFor(book, r, received); len(orders.GetStarts())+len(orders.GetStops()) > 0 {
				hold = 0
			}
			if hold == 0 {
				c.expect(r, orders, received)
			}
		})
		if err != nil {
			return nil, c.opts.Explain(ctx, err)
		}
		if hold == 0 {
			return orders, nil
		}
		change = nil
		c.opts.Wait(ctx, wake, hold)
		if err := ctx.Err(); err != nil {
			return nil, fmt.Errorf("the report was abandoned: %w", err)
		}
	}
}

// waitOn returns what wakes the answer to a report. An answer to an earlier report that is held is
// sent at once, as its worker no longer waits for it.
func (c *Coordinator) waitOn(r *messages.FleetReport) <-chan struct{} {
	w := c.workers[r.GetWorker()]
	if w == nil {
		return nil
	}
	c.rouse(w.id)
	w.wake = make(chan struct{}, 1)
	return w.wake
}

// rouse lets the answer to a worker leave, if one is held.
func (c *Coordinator) rouse(worker string) {
	w := c.workers[worker]
	if w == nil || w.wake == nil {
		return
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// rouseJob lets the answers to all workers leave that run a part of a job.
func (c *Coordinator) rouseJob(j *tracker.Job) {
	if j == nil {
		return
	}
	steps := j.Steps()
	for i := range steps {
		c.rouseStep(&steps[i])
	}
}

func (c *Coordinator) rouseStep(s *tracker.Step) {
	for i := range s.Tasks {
		if s.Tasks[i].Active > 0 {
			c.rouse(s.Tasks[i].Worker)
		}
	}
}

// rouseGangs lets the answers leave that tell workers to stop what the ends in a change have made
// useless: the other members of a gang, and the rest of a job that has failed.
func (c *Coordinator) rouseGangs(book *tracker.Tracker, change *messages.QueueChange) {
	for _, ends := range change.GetEnds() {
		for _, e := range ends.GetEnds() {
			j := book.Job(e.GetJob())
			if j == nil {
				continue
			}
			if j.Ended() {
				c.rouseJob(j)
				continue
			}
			if s := j.Step(e.GetOccurrence(), e.GetStep()); s.Spec.GetGang() {
				c.rouseStep(s)
			}
		}
	}
}

// holdFor returns for how long the answer to a report may wait for orders: not beyond the time at
// which one of the worker's runs is expected to end, as the worker lists no end while it waits.
func (c *Coordinator) holdFor(book *tracker.Tracker, r *messages.FleetReport, received time.Time) time.Duration {
	w := c.workers[r.GetWorker()]
	if w == nil || w.born != r.GetBorn() || w.sequence != r.GetSequence() || w.leaving || w.left || w.lapsing {
		return 0 // a worker that leaves waits for the word that this is known
	}
	now := c.opts.Now()
	hold := c.opts.Timing.Hold - now.Sub(received)
	for key := range w.listed {
		if hold < leastHold {
			return 0
		}
		j := book.Job(key.Job)
		if j == nil {
			return 0
		}
		if s := j.Step(key.Occurrence, key.Step); s != nil && !s.Spec.GetLasting() {
			hold = min(hold, c.tracks[key].remaining(now, c.estimate(j, s)))
		}
	}
	if hold < leastHold {
		return 0
	}
	return hold
}

// expect tells a worker when to report again, and takes note of that time.
func (c *Coordinator) expect(r *messages.FleetReport, o *messages.FleetOrders, received time.Time) {
	w := c.workers[r.GetWorker()]
	if w == nil || o.GetLease() == 0 {
		return
	}
	now := c.opts.Now()
	again := c.opts.Timing.reportEvery(len(c.workers))
	if held := now.Sub(received); held >= leastHold && c.opts.Timing.Hold > 0 {
		again = max(again-held, againAfter)
	}
	o.Again = again.Milliseconds()
	w.expected = now.Add(again + answerMargin)
}

// hear takes note of a report and returns what must be committed before it is answered. stale
// tells that a later report is known, and that this one means nothing any more.
func (c *Coordinator) hear(book *tracker.Tracker, r *messages.FleetReport) (change *messages.QueueChange, stale bool) {
	now := c.opts.Now()
	c.metrics.reports.Inc(1)
	w := c.workers[r.GetWorker()]
	if r.GetLeft() {
		c.hearGoodbye(book, r, w)
		return nil, false
	}
	if book.Catalog() != nil && book.Pools()[r.GetPool()] == nil {
		c.opts.Log.Warn("report of an unknown pool", zap.String("worker", r.GetWorker()), zap.String("pool", r.GetPool()))
		return nil, true
	}
	if isStale(book, w, r) || c.isReplaced(r) {
		return nil, true
	}
	if w == nil || r.GetBorn() > w.born {
		w = c.newLife(r)
	}
	c.update(w, r, now)
	c.followRuns(w, r)
	return c.freshEnds(book, w, r), false
}

// isStale reports whether a report of a later life, or a later report of the same life, is known.
func isStale(book *tracker.Tracker, w *worker, r *messages.FleetReport) bool {
	if life, known := book.Life(r.GetWorker()); known && r.GetBorn() < life.Born {
		return true
	}
	return w != nil && (r.GetBorn() < w.born || r.GetBorn() == w.born && r.GetSequence() <= w.sequence)
}

// newLife takes in a worker that is not known, or that has started again.
func (c *Coordinator) newLife(r *messages.FleetReport) *worker {
	w := &worker{id: r.GetWorker(), born: r.GetBorn(), ordered: map[tracker.RunKey]uint64{}}
	c.workers[r.GetWorker()] = w
	c.opts.Log.Info("worker reports", zap.String("worker", w.id), zap.Int64("born", w.born),
		zap.String("address", r.GetAddress()), zap.String("pool", r.GetPool()), zap.Strings("labels", r.GetLabels()))
	c.stir()
	return w
}

// isReplaced reports whether a worker that started later reports from the address of a report. It takes
// note of the worker that the sender itself replaces. An address belongs to one process at a time, so
// the earlier one has ended, and nothing need wait for its lease.
func (c *Coordinator) isReplaced(r *messages.FleetReport) bool {
	if r.GetAddress() == "" {
		return false
	}
	earlier := c.workers[c.addresses[r.GetAddress()]]
	if earlier != nil && earlier.id != r.GetWorker() {
		if earlier.born > r.GetBorn() {
			return true
		}
		if earlier.born == r.GetBorn() {
			return false // nothing tells which of them is the later one
		}
		earlier.replaced, earlier.left = true, true
		c.opts.Log.Info("worker replaced", zap.String("worker", earlier.id), zap.Int64("born", earlier.born),
			zap.String("address", r.GetAddress()), zap.String("successor", r.GetWorker()), zap.Int64("later", r.GetBorn()))
		c.stir()
	}
	c.addresses[r.GetAddress()] = r.GetWorker()
	return false
}

// update takes note of what a worker says of itself.
func (c *Coordinator) update(w *worker, r *messages.FleetReport, now time.Time) {
	if r.GetLeaving() && !w.leaving {
		c.opts.Log.Info("worker leaves", zap.String("worker", w.id), zap.Int64("remaining", r.GetRemaining()))
	}
	// A worker that got no answer reports again only after its time for an answer.
	w.deaf = !w.expected.IsZero() && now.After(w.expected)
	w.expected = time.Time{}
	w.heard, w.clock = sentAt(w, r, now), r.GetClock()
	w.sequence = r.GetSequence()
	w.pool, w.labels = r.GetPool(), r.GetLabels()
	w.rack = r.GetRack()
	w.capacity = placer.Vector{Processors: r.GetProcessors(), Memory: r.GetMemory(), Accelerators: r.GetAccelerators()}
	w.leaving = r.GetLeaving()
	w.address = r.GetAddress()
	w.left = w.left && w.leaving // a worker that is ready has not left: the goodbye was an earlier life's
}

// sentAt returns the latest time at which a report that arrives now can have been sent. A report that
// was held up by a cut may arrive seconds later; then the worker's own clock tells that less time has
// passed since its last report.
func sentAt(w *worker, r *messages.FleetReport, now time.Time) time.Time {
	passed := time.Duration(r.GetClock()-w.clock) * time.Millisecond
	if w.clock == 0 || r.GetClock() == 0 || passed < 0 {
		return now
	}
	if latest := w.heard.Add(passed + passed*driftPercent/100 + clockStep); latest.Before(now) {
		return latest
	}
	return now
}

// clockStep is the precision of a worker's clock in its reports.
const clockStep = time.Millisecond

// hearGoodbye takes note that a worker is about to exit. Nothing starts on it any more and its lease
// is not extended; what runs on it counts until the lease has run out, as a worker whose goodbye is
// not answered goes on for a while, and a late goodbye of an earlier life says nothing of this one.
func (c *Coordinator) hearGoodbye(book *tracker.Tracker, r *messages.FleetReport, w *worker) {
	if w == nil || r.GetBorn() != 0 && r.GetBorn() != w.born {
		return
	}
	w.left = true
	c.opts.Log.Info("worker says goodbye", zap.String("worker", w.id), zap.Int("runs", len(book.RunsOn(w.id))))
}

// freshEnds returns the change that takes note of ends that are not committed yet, nil for none.
func (c *Coordinator) freshEnds(book *tracker.Tracker, w *worker, r *messages.FleetReport) *messages.QueueChange {
	life, known := book.Life(w.id)
	if !known || life.Born != w.born {
		life = tracker.Life{Born: w.born}
	}
	ends := &messages.WorkerEnds{Worker: w.id, Born: w.born, Sequence: life.Sequence}
	runs := book.RunsOn(w.id)
	for _, e := range r.GetEnds() {
		if e.GetSequence() <= life.Sequence {
			continue
		}
		ends.Sequence = max(ends.Sequence, e.GetSequence())
		key := tracker.EndKeyOf(e.GetEnd())
		if run := runs[key]; run != nil && run.GetBorn() == w.born {
			ends.Ends = append(ends.Ends, e.GetEnd())
			c.observeEnd(book, w, key, e.GetEnd())
		}
	}
	earlier := false
	for _, run := range runs {
		earlier = earlier || run.GetBorn() < w.born
	}
	if len(r.GetEnds()) < mostEnds {
		ends.Ends = append(ends.Ends, c.neverStarted(book, w, ends.Ends)...)
	}
	if ends.Sequence == life.Sequence && !earlier && len(ends.Ends) == 0 {
		return nil
	}
	return &messages.QueueChange{Time: c.opts.Wall().UnixMilli(), Ends: []*messages.WorkerEnds{ends}}
}

// mostEnds is the least number of ends that a worker may split over several reports. From it on, a
// run that a report does not list may have ended all the same.
const mostEnds = 500

// neverStarted returns the ends of runs whose orders did not reach the worker, and of runs that must
// not start any more and did not start. A worker sends a report only after the answer to the one
// before has arrived or is void, so a run that a later report does not list has not started, and
// without a further order it never will. A worker lists no end for a run that it was told to stop
// before it came.
func (c *Coordinator) neverStarted(book *tracker.Tracker, w *worker, listed []*messages.End) []*messages.End {
	ended := make(map[tracker.RunKey]bool, len(listed))
	for _, e := range listed {
		ended[tracker.EndKeyOf(e)] = true
	}
	var ends []*messages.End
	for key, run := range book.RunsOn(w.id) {
		switch {
		case run.GetBorn() != w.born, w.listed[key], ended[key], w.ordered[key] >= w.sequence:
			continue
		case !c.mustStop(book.Job(key.Job), key) && w.ordered[key] == 0:
			continue
		}
		w.deaf = w.deaf || w.ordered[key] > 0
		c.stopping[key] = true // until the end is committed, the start must not be ordered again
		ends = append(ends, &messages.End{
			Job: key.Job, Occurrence: key.Occurrence, Step: key.Step, Task: key.Task, Number: key.Number, How: tracker.EndRefused,
		})
	}
	slices.SortFunc(ends, func(a, b *messages.End) int {
		return tracker.CompareKeys(tracker.EndKeyOf(a), tracker.EndKeyOf(b))
	})
	return ends
}

// ordersFor returns what a worker must do, by the committed account.
func (c *Coordinator) ordersFor(book *tracker.Tracker, r *messages.FleetReport) *messages.FleetOrders {
	w := c.workers[r.GetWorker()]
	o := &messages.FleetOrders{Term: c.term, Address: c.opts.Address, Again: c.opts.Timing.reportEvery(len(c.workers)).Milliseconds()}
	if w == nil || w.born != r.GetBorn() || w.sequence != r.GetSequence() || w.left || w.lapsing {
		// The worker does not wait for this answer any more, or must not get orders.
		return o
	}
	if life, ok := book.Life(w.id); ok && life.Born == w.born {
		o.Acknowledged = life.Sequence
	}
	o.Lease = c.opts.Timing.Lease.Milliseconds()
	w.leaseEnd = c.opts.Timing.over(w.heard, c.opts.Timing.Lease)
	runs := book.RunsOn(w.id)
	for key, run := range runs {
		if run.GetBorn() != w.born {
			continue
		}
		j := book.Job(key.Job)
		switch {
		case c.mustStop(j, key):
			o.Stops = append(o.Stops, run)
		case !w.listed[key]:
			o.Starts = append(o.Starts, &messages.StartOrder{Run: run, Body: j.Work.GetBody()})
			w.ordered[key] = r.GetSequence()
		}
	}
	for key := range w.listed {
		if run := runs[key]; run == nil || run.GetBorn() != w.born {
			// It was committed as ended, or never committed.
			o.Stops = append(o.Stops, &messages.Run{Job: key.Job, Occurrence: key.Occurrence, Step: key.Step, Task: key.Task, Number: key.Number})
		}
	}
	slices.SortFunc(o.Stops, func(a, b *messages.Run) int { return tracker.CompareKeys(tracker.KeyOf(a), tracker.KeyOf(b)) })
	slices.SortFunc(o.Starts, func(a, b *messages.StartOrder) int {
		return tracker.CompareKeys(tracker.KeyOf(a.GetRun()), tracker.KeyOf(b.GetRun()))
	})
	return o
}

// mustStop reports whether a run that has not ended is of no use any more.
func (c *Coordinator) mustStop(j *tracker.Job, key tracker.RunKey) bool {
	switch j.Phase {
	case tracker.Cancelled, tracker.Failed:
		return true
	case tracker.Pending, tracker.Running, tracker.Completed:
	}
	if c.stopping[key] {
		return true
	}
	s := j.Step(key.Occurrence, key.Step)
	if !s.Spec.GetGang() || s.Done {
		return false
	}
	for i := range s.Tasks {
		// A gang in which one member has ended makes no progress.
		if s.Tasks[i].Active == 0 {
			return true
		}
	}
	return false
}
