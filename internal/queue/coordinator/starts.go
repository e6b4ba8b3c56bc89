package coordinator

import (
	"slices"

	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/placer"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// splitEndsThreshold is the number of ends from which a worker may split them over several reports. A run
// that such a report does not list may have ended.
const splitEndsThreshold = 500

// unstartedRuns returns the ends of runs whose orders did not reach the worker, and of runs that have not
// started and must not start any more. A worker sends a report only after the response to the previous one
// has arrived or is void, so a run that a later report does not list has not started and does not start
// without a further order. For runs that an earlier leader may have ordered, this holds for current reports
// only. A worker reports no end for a run that was stopped before its start order arrived.
func (c *Coordinator) unstartedRuns(state *tracker.Tracker, w *worker, listed []*messages.End) []*messages.End {
	ended := make(map[tracker.RunKey]bool, len(listed))
	for _, e := range listed {
		ended[tracker.EndKeyOf(e)] = true
	}
	var ends []*messages.End
	for key, run := range state.RunsOn(w.id) {
		switch {
		case run.GetBorn() != w.born, w.listed[key], ended[key], w.startOrders[key] >= w.sequence, c.progress[key].mayBeAtWork():
			continue
		case !c.mustStop(state.Job(key.Job), key) && w.startOrders[key] == 0 && !w.oversized[key] && !state.IsEvacuated(w.place):
			continue
		case !c.committedStarts[key] && !c.isCurrent(w):
			continue
		}
		c.opts.Log.Info("start revoked", zap.String("request", key.Job), zap.Int32("occurrence", key.Occurrence), zap.Int32("step", key.Step),
			zap.Int32("task", key.Task), zap.Uint32("run", key.Number), zap.String("worker", w.id), zap.Uint64("ordered", w.startOrders[key]),
			zap.Uint64("report", w.sequence), zap.Bool("own", c.committedStarts[key]))
		w.unreachable = w.unreachable || w.startOrders[key] > 0
		c.stopping[key] = true // the start must not be ordered again before the end is committed
		ends = append(ends, &messages.End{
			Job: key.Job, Occurrence: key.Occurrence, Step: key.Step, Task: key.Task, Number: key.Number, How: tracker.EndRefused,
		})
	}
	slices.SortFunc(ends, func(a, b *messages.End) int {
		return tracker.CompareKeys(tracker.EndKeyOf(a), tracker.EndKeyOf(b))
	})
	return ends
}

// oversizedStarts returns the starts that the worker has not carried out and that do not fit: it has reported less
// capacity since they were decided.
func (c *Coordinator) oversizedStarts(state *tracker.Tracker, w *worker) map[tracker.RunKey]bool {
	free := w.capacity
	var unsent []tracker.RunKey
	for key, run := range state.RunsOn(w.id) {
		switch {
		case run.GetBorn() != w.born:
		case w.listed[key] || w.startOrders[key] >= w.sequence:
			free = free.Sub(needOf(state, key))
		default:
			unsent = append(unsent, key)
		}
	}
	for _, run := range w.unexpectedRuns(state.RunsOn(w.id)) { // they use their share until they have stopped
		if j := state.Job(run.GetJob()); j != nil && j.Step(run.GetOccurrence(), run.GetStep()) != nil {
			free = free.Sub(needOf(state, tracker.KeyOf(run)))
			continue
		}
		free = placer.Vector{Processors: -1} // how much it uses is not known
	}
	slices.SortFunc(unsent, tracker.CompareKeys)
	oversized := map[tracker.RunKey]bool{}
	for _, key := range unsent {
		need := needOf(state, key)
		if free.Fits(need, 1) > 0 {
			free = free.Sub(need)
			continue
		}
		oversized[key] = true
		c.opts.Log.Info("start withheld: the worker has less capacity now", zap.String("request", key.Job), zap.Int32("occurrence", key.Occurrence),
			zap.Int32("step", key.Step), zap.Int32("task", key.Task), zap.Uint32("run", key.Number), zap.String("worker", w.id), zap.Uint64("report", w.sequence))
	}
	return oversized
}

func needOf(state *tracker.Tracker, key tracker.RunKey) placer.Vector {
	return placer.Need(state.Job(key.Job).Step(key.Occurrence, key.Step).Spec)
}

// observeOrder records that a report names a run whose start only this leader can have ordered.
func (c *Coordinator) observeOrder(w *worker, key tracker.RunKey) {
	w.answered = w.answered || c.committedStarts[key] && w.startOrders[key] > 0
}

// isCurrent reports whether the worker's reports are known to follow the last response of an earlier leader. Reports
// from before it may arrive late, and do not list the runs that it started. After the longest lease such a run has
// ended, unless it was listed to this leader, whose responses have kept it alive.
func (c *Coordinator) isCurrent(w *worker) bool {
	return w.answered || c.opts.Now().After(c.opts.Timing.leaseExpiry(c.termStart, c.opts.Timing.MaxLease))
}
