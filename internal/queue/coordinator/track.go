package coordinator

import (
	"time"

	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// track is what the leader has seen of one run.
type track struct {
	worker  string
	first   time.Time // when the run was first listed
	percent int32
	moved   time.Time // when its percentage last grew
	saved   string
	savedAt time.Time
}

// followRuns takes note of the runs that a worker lists.
func (c *Coordinator) followRuns(w *worker, r *messages.FleetReport) {
	now := c.opts.Now()
	w.listed = make(map[tracker.RunKey]bool, len(r.GetRunning()))
	for _, l := range r.GetRunning() {
		key := tracker.KeyOf(l.GetRun())
		w.listed[key] = true
		t := c.tracks[key]
		if t == nil {
			t = &track{worker: w.id, first: now, moved: now, savedAt: now}
			c.tracks[key] = t
		}
		if l.GetPercent() != t.percent {
			t.percent, t.moved = l.GetPercent(), now
		}
		if s := l.GetRun().GetSaved(); s != t.saved {
			t.saved, t.savedAt = s, now
		}
	}
}

// elapsed returns how long a run has been listed.
func (t *track) elapsed(now time.Time) time.Duration {
	if t == nil {
		return 0
	}
	return now.Sub(t.first)
}

// leastPercent is the progress from which a run's speed is known well enough.
const leastPercent = 8

// remaining estimates the time until a run ends by itself.
func (t *track) remaining(now time.Time, estimate time.Duration) time.Duration {
	if t == nil {
		return estimate
	}
	elapsed := t.elapsed(now)
	if t.percent >= leastPercent {
		moving := t.moved.Sub(t.first)
		whole := moving * 100 / time.Duration(t.percent)
		return max(whole-elapsed, 0)
	}
	return max(estimate-elapsed, estimate/10)
}

// unsaved returns the work that a stop of the run would lose.
func (t *track) unsaved(now time.Time, checkpoints bool) time.Duration {
	if t == nil || checkpoints {
		// A stop writes a checkpoint.
		return 0
	}
	return t.elapsed(now)
}

// observeEnd learns from one end that is about to be committed.
func (c *Coordinator) observeEnd(book *tracker.Tracker, w *worker, key tracker.RunKey, e *messages.End) {
	now := c.opts.Now()
	t := c.tracks[key]
	j := book.Job(key.Job)
	s := j.Step(key.Occurrence, key.Step)
	c.opts.Log.Info("run ended", zap.String("request", key.Job), zap.Int32("occurrence", key.Occurrence), zap.Int32("step", key.Step), zap.Int32("task", key.Task),
		zap.Uint32("run", key.Number), zap.String("worker", w.id), zap.String("how", e.GetHow()),
		zap.Duration("elapsed", t.elapsed(now)), zap.Uint64("report", w.sequence))
	count(c.metrics.ends, e.GetHow())
	switch e.GetHow() {
	case tracker.EndDone:
		w.health.succeeded()
		if t != nil && t.saved == "" {
			declared := time.Duration(s.Spec.GetEstimate()) * time.Millisecond
			c.estimates.Observe(j.Work.GetQueue(), "", declared, t.elapsed(now))
		}
	case tracker.EndFailed:
		// A job that is at fault itself fails in its work, not at once.
		if elapsed := t.elapsed(now); c.suspects.blame(key.Job, w.id) || elapsed < atOnce {
			w.health.failed(now, key.Job, elapsed)
			if w.health.isAside(now) {
				c.opts.Log.Info("worker put aside", zap.String("worker", w.id), zap.String("request", key.Job), zap.Duration("elapsed", elapsed),
					zap.Duration("for", w.health.aside), zap.Uint64("report", w.sequence))
			}
		}
	}
}
