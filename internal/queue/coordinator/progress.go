package coordinator

import (
	"time"

	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// runProgress is the progress of a run as reported to this leader.
type runProgress struct {
	worker       string
	firstListed  time.Time // when the run was first listed
	lastListed   time.Time // when the last report that lists it was sent, at the latest
	missed       int       // reports in a row that do not list the run
	firstPercent int32     // when the run was first listed, 0 for one that had just begun
	percent      int32
	progressedAt time.Time // when the percentage last changed
	saved        string
	savedAt      time.Time
}

// updateProgress records the runs listed in a report and their progress.
func (c *Coordinator) updateProgress(w *worker, r *messages.FleetReport) {
	now := c.opts.Now()
	w.listed = make(map[tracker.RunKey]bool, len(r.GetRunning()))
	for _, l := range r.GetRunning() {
		key := tracker.KeyOf(l.GetRun())
		w.listed[key] = true
		c.observeOrder(w, key)
		t := c.progress[key]
		if t == nil {
			_, ordered := w.startOrders[key]
			t = &runProgress{worker: w.id, firstListed: now, progressedAt: now, savedAt: now}
			if !ordered || l.GetRun().GetSaved() != "" {
				t.firstPercent, t.percent = l.GetPercent(), l.GetPercent() // it has not begun just now
			}
			c.progress[key] = t
			if ordered {
				w.health.provenAt = now
			}
		}
		t.lastListed, t.missed = w.lastContact, 0
		if l.GetPercent() != t.percent {
			t.percent, t.progressedAt = l.GetPercent(), now
		}
		if s := l.GetRun().GetSaved(); s != t.saved {
			t.saved, t.savedAt = s, now
		}
	}
}

// countMissed counts the reports that do not list runs which were listed before.
func (c *Coordinator) countMissed(state *tracker.Tracker, w *worker) {
	for key := range state.RunsOn(w.id) {
		if t := c.progress[key]; t != nil && !w.listed[key] {
			t.missed++
		}
	}
}

// minMissed is the number of reports in a row that do not list a run, from which on it is believed to be gone. One alone may
// be from another writer.
const minMissed = 2

// mayBeAtWork reports whether a run was listed and is not known to be gone.
func (t *runProgress) mayBeAtWork() bool { return t != nil && t.missed < minMissed }

// isComplete reports whether a run has been listed with full progress. A lasting task is at work from then on.
func (t *runProgress) isComplete() bool { return t != nil && t.percent >= 100 }

// elapsed returns the time since a run was first listed.
func (t *runProgress) elapsed(now time.Time) time.Duration {
	if t == nil {
		return 0
	}
	return now.Sub(t.firstListed)
}

// began returns when a run that has ended was first listed. A run that was never listed began and ended between two
// reports if this leader ordered it, and at an unknown earlier time if an earlier leader did.
func (t *runProgress) began(now time.Time, ordered bool) time.Time {
	switch {
	case t != nil:
		return t.firstListed
	case ordered:
		return now
	}
	return time.Time{}
}

// minProgressPercent is the progress from which a run's remaining time is extrapolated.
const minProgressPercent = 8

// remaining estimates the time until a run completes.
func (t *runProgress) remaining(now time.Time, estimate time.Duration) time.Duration {
	remaining, _ := t.extrapolate(now, estimate)
	return remaining
}

// extrapolate estimates the time until a run completes. measured is true if the estimate follows from the rate at which
// the run has progressed since it was first listed: an inherited run, or one that resumed from a checkpoint, had
// progressed before.
func (t *runProgress) extrapolate(now time.Time, estimate time.Duration) (remaining time.Duration, measured bool) {
	if t == nil {
		return estimate, false
	}
	elapsed := t.elapsed(now)
	if progress := t.percent - t.firstPercent; progress >= minProgressPercent {
		total := t.progressedAt.Sub(t.firstListed) * time.Duration(100-t.firstPercent) / time.Duration(progress)
		return max(total-elapsed, 0), true
	}
	total := estimate * time.Duration(100-t.firstPercent) / 100
	return max(total-elapsed, total/10), false
}

// unsaved returns the work time that would be lost if the run were stopped.
func (t *runProgress) unsaved(now time.Time, checkpoints bool) time.Duration {
	if t == nil || checkpoints {
		// Stopping the run writes a checkpoint.
		return 0
	}
	return t.elapsed(now)
}

// recordEnd updates the metrics, the duration estimates and the worker's health for an end that is about to
// be committed.
func (c *Coordinator) recordEnd(state *tracker.Tracker, w *worker, key tracker.RunKey, e *messages.End) {
	now := c.opts.Now()
	t := c.progress[key]
	j := state.Job(key.Job)
	s := j.Step(key.Occurrence, key.Step)
	c.opts.Log.Info("run ended", zap.String("request", key.Job), zap.Int32("occurrence", key.Occurrence), zap.Int32("step", key.Step), zap.Int32("task", key.Task),
		zap.Uint32("run", key.Number), zap.String("worker", w.id), zap.String("how", e.GetHow()),
		zap.Duration("elapsed", t.elapsed(now)), zap.Uint64("report", w.sequence))
	count(c.metrics.ends, e.GetHow())
	_, ordered := w.startOrders[key]
	if how := e.GetHow(); s.Spec.GetLasting() && (how == tracker.EndFailed || how == tracker.EndDone) {
		c.delayRestart(key.TaskKey, now.Sub(t.began(now, ordered)))
	}
	switch e.GetHow() {
	case tracker.EndDone:
		w.health.recordSuccess(t.began(now, ordered))
		if t != nil && t.saved == "" {
			declared := time.Duration(s.Spec.GetEstimate()) * time.Millisecond
			c.estimator.Observe(j.Work.GetQueue(), "", declared, t.elapsed(now))
		}
	case tracker.EndFailed:
		elapsed := now.Sub(t.began(now, ordered))
		// Most faulty jobs fail during their work, so an immediate failure counts against the worker.
		if !c.failedWorkers.record(now, key.Job, w.id, elapsed) || c.failsEverywhere(j) {
			c.opts.Log.Info("failure counts against the job", zap.String("request", key.Job), zap.String("worker", w.id),
				zap.Duration("elapsed", elapsed), zap.Int("workers", len(c.failedWorkers[key.Job].workers)))
			return
		}
		w.health.recordFailure(now, key.Job, elapsed)
		if w.health.isQuarantined(now) {
			c.opts.Log.Info("worker quarantined", zap.String("worker", w.id), zap.String("request", key.Job), zap.Duration("elapsed", t.elapsed(now)),
				zap.Duration("for", w.health.quarantineTime), zap.Uint64("report", w.sequence))
		}
	}
}
