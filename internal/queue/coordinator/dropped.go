package coordinator

import (
	"fmt"

	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// Reasons for which a report is ignored.
const (
	ignoredUnknownPool = "unknown pool"
	ignoredStale       = "stale" // a later report or a later incarnation of the worker is known
	ignoredNotCredible = "not credible"
	ignoredReplaced    = "replaced" // a later worker has its address
)

// maxLoggedEnds is how many ends of an ignored report are named in the log.
const maxLoggedEnds = 8

// ignore returns the change that records the ends in a report that is late and otherwise ignored, nil if there are none.
func (c *Coordinator) ignore(state *tracker.Tracker, r *messages.FleetReport, reason string) *messages.QueueChange {
	ends := lateEnds(state, r)
	c.logIgnored(state, r, reason, ends)
	if len(ends.GetEnds()) == 0 {
		return nil
	}
	return &messages.QueueChange{Time: c.opts.Wall().UnixMilli(), Ends: []*messages.WorkerEnds{ends}}
}

// lateEnds returns the ends in a late report that the state lacks. They are true whatever has become of the worker since: a
// run that the state holds has ended, and a task that waits or runs again is complete if an earlier run of it was. No end is
// acknowledged by that, as the worker lists it again if it is still there.
func lateEnds(state *tracker.Tracker, r *messages.FleetReport) *messages.WorkerEnds {
	if !isCredible(state, nil, r) {
		return nil
	}
	committed := committedSequence(state, r)
	ends := &messages.WorkerEnds{Worker: r.GetWorker(), Born: r.GetBorn(), Sequence: committed}
	if incarnation, known := state.Incarnation(r.GetWorker()); known && incarnation.Started > r.GetBorn() {
		// Ends of an earlier incarnation than the committed one have no effect.
		ends.Born, ends.Sequence = incarnation.Started, incarnation.Sequence
	}
	for _, e := range r.GetEnds() {
		how := e.GetEnd().GetHow()
		if e.GetSequence() <= committed || how == tracker.EndRecovered {
			continue
		}
		key := tracker.EndKeyOf(e.GetEnd())
		run := state.RunsOn(r.GetWorker())[key]
		active := run != nil && run.GetBorn() == r.GetBorn()
		if active && ends.GetBorn() == r.GetBorn() {
			ends.Ends = append(ends.Ends, e.GetEnd())
		}
		// The loss of the worker may be committed before this change.
		if how == tracker.EndDone && (active || state.IsRecoverable(key)) {
			ends.Ends = append(ends.Ends, recoveredEndOf(key))
		}
	}
	return ends
}

// logIgnored counts a report that is ignored and logs the ends in it that are not committed. recorded are those that are
// committed nevertheless.
func (c *Coordinator) logIgnored(state *tracker.Tracker, r *messages.FleetReport, reason string, recorded *messages.WorkerEnds) {
	count(c.metrics.ignored, reason)
	committed := committedSequence(state, r)
	var names []string
	ends, open := 0, 0
	for _, e := range r.GetEnds() {
		if e.GetSequence() <= committed {
			continue
		}
		ends++
		key := tracker.EndKeyOf(e.GetEnd())
		run := state.RunsOn(r.GetWorker())[key]
		if run != nil && run.GetBorn() == r.GetBorn() || e.GetEnd().GetHow() == tracker.EndDone && state.IsRecoverable(key) {
			open++
		}
		if len(names) < maxLoggedEnds {
			names = append(names, fmt.Sprintf("%s.%d.%d.%d/%d %s", key.Job, key.Occurrence, key.Step, key.Task, key.Number, e.GetEnd().GetHow()))
		}
	}
	if ends == 0 {
		return
	}
	if counter := c.metrics.ignoredEnds[reason]; counter != nil {
		counter.Inc(int64(ends))
	}
	c.opts.Log.Warn("report with ends ignored", zap.String("reason", reason), zap.String("worker", r.GetWorker()), zap.Int64("born", r.GetBorn()),
		zap.Uint64("report", r.GetSequence()), zap.String("address", r.GetAddress()), zap.Int("ends", ends), zap.Int("open", open),
		zap.Int("recorded", recordedRuns(recorded)), zap.Strings("first", names))
}

// recordedRuns returns the number of runs whose ends are recorded.
func recordedRuns(ends *messages.WorkerEnds) int {
	runs := map[tracker.RunKey]bool{}
	for _, e := range ends.GetEnds() {
		runs[tracker.EndKeyOf(e)] = true
	}
	return len(runs)
}

// committedSequence returns the number of the last end that is committed of the incarnation that sent a report.
func committedSequence(state *tracker.Tracker, r *messages.FleetReport) uint64 {
	if incarnation, known := state.Incarnation(r.GetWorker()); known && incarnation.Started == r.GetBorn() {
		return incarnation.Sequence
	}
	return 0
}

// logWithoutEffect logs the starts and ends of a committed change of a pass that the state does not show.
func (c *Coordinator) logWithoutEffect(state *tracker.Tracker, change *messages.QueueChange) {
	for _, e := range change.GetEnds() {
		left := 0
		for key, run := range state.RunsOn(e.GetWorker()) {
			if isEnded(e, key, run) {
				left++
			}
		}
		if left > 0 {
			c.opts.Log.Warn("committed ends had no effect", zap.String("worker", e.GetWorker()), zap.Int64("born", e.GetBorn()),
				zap.Bool("over", e.GetOver()), zap.Int("runs", left))
		}
	}
	for _, r := range change.GetStarts() {
		key := tracker.KeyOf(r)
		if run := state.RunsOn(r.GetWorker())[key]; run != nil {
			continue
		}
		j := state.Job(key.Job)
		if j == nil || j.Ended() {
			continue // a cancellation may come between
		}
		if s := j.Step(key.Occurrence, key.Step); s == nil || s.Tasks[key.Task].Number >= key.Number {
			continue // it has ended since, or its task was started otherwise
		}
		c.opts.Log.Warn("committed start had no effect", zap.String("request", key.Job), zap.Int32("occurrence", key.Occurrence), zap.Int32("step", key.Step),
			zap.Int32("task", key.Task), zap.Uint32("run", key.Number), zap.String("worker", r.GetWorker()))
	}
}

// isEnded reports whether a change ends a run that was active before it.
func isEnded(e *messages.WorkerEnds, key tracker.RunKey, run *messages.Run) bool {
	if e.GetOver() {
		return run.GetBorn() <= e.GetBorn()
	}
	for _, end := range e.GetEnds() {
		if tracker.EndKeyOf(end) == key {
			return true
		}
	}
	return false
}
