package coordinator

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// ordersFor returns the orders for a worker that follow from the replicated state.
func (c *Coordinator) ordersFor(state *tracker.Tracker, r *messages.FleetReport) *messages.FleetOrders {
	w := c.workers[r.GetWorker()]
	o := &messages.FleetOrders{Term: c.term, Address: c.opts.Address, Again: c.pacer.Interval().Milliseconds()}
	if w == nil || w.born != r.GetBorn() || w.sequence != r.GetSequence() || w.left || w.expiring {
		// The worker no longer waits for this response, or must not get orders.
		return o
	}
	if incarnation, ok := state.Incarnation(w.id); ok && incarnation.Started == w.born {
		o.Acknowledged = incarnation.Sequence
		w.acknowledged = incarnation.Sequence
	}
	runs := state.RunsOn(w.id)
	lease := c.leaseFor(state, runs)
	o.Lease = lease.Milliseconds()
	if expiry := c.opts.Timing.leaseExpiry(w.lastContact, lease); expiry.After(w.leaseEnd) {
		w.leaseEnd = expiry // a worker never shortens a lease
	}
	for key, run := range runs {
		if run.GetBorn() != w.born {
			continue
		}
		j := state.Job(key.Job)
		switch {
		case c.mustStop(j, key):
			o.Stops = append(o.Stops, run)
		case !w.listed[key] && !c.isWithheld(state, w, key):
			o.Starts = append(o.Starts, &messages.StartOrder{Run: run, Body: j.Work.GetBody()})
		}
	}
	o.Stops = append(o.Stops, w.unexpectedRuns(runs)...)
	slices.SortFunc(o.Stops, func(a, b *messages.Run) int { return tracker.CompareKeys(tracker.KeyOf(a), tracker.KeyOf(b)) })
	o.Starts, w.unsent = firstOrders(o.GetStarts())
	for _, s := range o.GetStarts() {
		w.startOrders[tracker.KeyOf(s.GetRun())] = r.GetSequence()
	}
	return o
}

// leaseFor returns the lease for a worker with these runs.
func (c *Coordinator) leaseFor(state *tracker.Tracker, runs map[tracker.RunKey]*messages.Run) time.Duration {
	t := c.opts.Timing
	if t.LastingLease == 0 || t.LastingLease >= t.Lease {
		return t.Lease
	}
	for key := range runs {
		if state.Job(key.Job).Step(key.Occurrence, key.Step).Spec.GetLasting() {
			return t.LastingLease
		}
	}
	return t.Lease
}

// maxOrderBytes limits the texts of the starts in one response. A worker takes 4 MiB, and a character takes up to six bytes
// of it.
const maxOrderBytes = 600 << 10

// firstOrders returns the starts for one response, the oldest first, and whether some are left for the next one.
func firstOrders(starts []*messages.StartOrder) (first []*messages.StartOrder, more bool) {
	slices.SortFunc(starts, func(a, b *messages.StartOrder) int {
		return cmp.Or(
			cmp.Compare(a.GetRun().GetStarted(), b.GetRun().GetStarted()),
			tracker.CompareKeys(tracker.KeyOf(a.GetRun()), tracker.KeyOf(b.GetRun())),
		)
	})
	size := 0
	for i, s := range starts {
		if size += len(s.GetBody()) + proto.Size(s.GetRun()); size > maxOrderBytes && i > 0 {
			return starts[:i], true
		}
	}
	return starts, false
}

// unexpectedRuns returns the listed runs that are committed as ended, or were not committed at all.
func (w *worker) unexpectedRuns(runs map[tracker.RunKey]*messages.Run) []*messages.Run {
	var list []*messages.Run
	for key := range w.listed {
		if run := runs[key]; run == nil || run.GetBorn() != w.born {
			list = append(list, &messages.Run{Job: key.Job, Occurrence: key.Occurrence, Step: key.Step, Task: key.Task, Number: key.Number})
		}
	}
	return list
}

// mustStop reports whether a run that has not ended must be stopped.
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
	switch {
	case s.Tasks[key.Task].Done:
		return true // an earlier run has completed the task
	case !s.Spec.GetGang() || s.Done:
		return false
	}
	for i := range s.Tasks {
		// A gang cannot make progress after one of its members has ended.
		if s.Tasks[i].Active == 0 {
			return true
		}
	}
	return false
}
