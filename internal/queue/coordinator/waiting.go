package coordinator

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/placer"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
)

const (
	// minLoggedWait is how long a job has nothing running beside idle workers until that is logged.
	minLoggedWait = time.Second
	// maxWaitLines bounds the lines about waiting jobs in a linePeriod.
	maxWaitLines = 20
	linePeriod   = time.Second
	// maxInterruption is how long a step may not wait beside idle workers until its wait there begins anew.
	maxInterruption = 3 * time.Second
)

// jobWait is the time for which a job has had nothing running, though the turn of a task has come and its pool is mostly
// idle.
type jobWait struct {
	since    time.Time
	obstacle placer.Obstacle // last logged, "" for none
}

// lineLimit bounds the lines of one kind in a linePeriod.
type lineLimit struct {
	start time.Time // of the current period
	lines int
}

// allows reports whether one more line may be logged if at most limit may be.
func (l *lineLimit) allows(now time.Time, limit int) bool {
	if now.Sub(l.start) >= linePeriod {
		l.start, l.lines = now, 0
	}
	l.lines++
	return l.lines <= limit
}

// idleWait is the time for which a step has waited beside idle workers since one of its runs was last seen at work. Passes in
// between in which half of the pool is in use, and starts that are lost with their workers, interrupt the wait but do not end it:
// while workers crash again and again, both recur before the wait is over. That holds for steps with tasks that have crashed; the
// waits of others end, so that they do not disregard reservations all the time. A run that is stopped for urgent work ends it, too.
type idleWait struct {
	total       time.Duration // up to the last pass
	interrupted time.Duration // for which the step has not waited beside idle workers, up to the last pass
	at          time.Time     // last pass
	waits       bool          // the step waited beside idle workers in that pass
}

// update returns the wait after a pass. waits is whether the step waits beside idle workers in it.
func (w idleWait) update(now time.Time, waits bool) idleWait {
	if elapsed := now.Sub(w.at); w.waits {
		w.total, w.interrupted = w.total+elapsed, 0
	} else {
		w.interrupted += elapsed
	}
	w.at, w.waits = now, waits
	return w
}

// length returns the length of the wait.
func (w idleWait) length(now time.Time) time.Duration {
	if !w.waits {
		return w.total
	}
	return w.total + now.Sub(w.at)
}

// recordBlocked updates how long steps have waited beside idle workers.
func (c *Coordinator) recordBlocked(state *tracker.Tracker, plan placer.Plan) {
	now := c.opts.Now()
	waiting := make(map[placer.StepKey]bool, len(plan.Blocked))
	for _, b := range plan.Blocked {
		if !b.Idle {
			continue
		}
		waiting[b.Key] = true
		if _, ok := c.idleWaits[b.Key]; !ok {
			c.idleWaits[b.Key] = idleWait{at: now}
		}
	}
	for key, w := range c.idleWaits {
		w = w.update(now, waiting[key])
		if c.idleWaits[key] = w; !w.waits && (w.interrupted >= maxInterruption || !hasSuspects(state, key) || c.hasRunAtWork(state, key)) {
			delete(c.idleWaits, key)
		}
	}
	c.logBlocked(plan)
}

// endIdleWait ends the wait of a step of which a run is stopped for urgent work. Without that a step that has waited long would
// regard no reservations from then on: it would start again at once on the workers that it was stopped for, and be stopped again.
func (c *Coordinator) endIdleWait(key tracker.RunKey) {
	step := placer.StepKey{Job: key.Job, Occurrence: key.Occurrence, Step: key.Step}
	delete(c.idleWaits, step)
	step.Trial = key.Task + 1
	delete(c.idleWaits, step)
}

// hasSuspects reports whether a task of a step has lost a worker as it started.
func hasSuspects(state *tracker.Tracker, key placer.StepKey) bool {
	j := state.Job(key.Job)
	if j == nil {
		return false
	}
	return slices.ContainsFunc(j.Step(key.Occurrence, key.Step).Tasks, func(t tracker.Task) bool { return t.IsSuspect() })
}

// hasRunAtWork reports whether a step is done, or a run of it has been seen at work for some time. For the key of a lasting task
// only the runs of that task count.
func (c *Coordinator) hasRunAtWork(state *tracker.Tracker, key placer.StepKey) bool {
	j := state.Job(key.Job)
	if j == nil || j.Ended() || j.Step(key.Occurrence, key.Step).Done {
		return true
	}
	for i, t := range j.Step(key.Occurrence, key.Step).Tasks {
		task := tracker.TaskKey{Job: key.Job, Occurrence: key.Occurrence, Step: key.Step, Task: int32(i)}
		counts := t.Active > 0 && (key.Trial == 0 || key.Trial == task.Task+1)
		if counts && c.progress[tracker.RunKey{TaskKey: task, Number: t.Number}].hasSurvived() {
			return true
		}
	}
	return false
}

// logBlocked logs which jobs have nothing running beside idle workers, and why.
func (c *Coordinator) logBlocked(plan placer.Plan) {
	now := c.opts.Now()
	blocked := map[string]bool{}
	for _, b := range plan.Blocked {
		// The idle workers may all be evacuated, and then nothing is left by which the pool could be judged idle.
		if !b.Idle && b.Obstacle != placer.Evacuated || !b.Stands || blocked[b.Key.Job] {
			continue
		}
		blocked[b.Key.Job] = true
		w := c.waits[b.Key.Job]
		if w == nil {
			c.waits[b.Key.Job] = &jobWait{since: now}
			continue
		}
		if waited := now.Sub(w.since); waited >= minLoggedWait && w.obstacle != b.Obstacle && c.waitLog.allows(now, maxWaitLines) {
			w.obstacle = b.Obstacle
			c.opts.Log.Info("job waits beside idle workers", zap.String("request", b.Key.Job), zap.Int32("occurrence", b.Key.Occurrence),
				zap.Int32("step", b.Key.Step), zap.String("obstacle", string(b.Obstacle)), zap.Duration("waited", waited))
		}
	}
	maps.DeleteFunc(c.waits, func(job string, w *jobWait) bool {
		if blocked[job] {
			return false
		}
		if w.obstacle != "" && c.waitLog.allows(now, maxWaitLines) {
			c.opts.Log.Info("job no longer waits beside idle workers", zap.String("request", job), zap.Duration("waited", now.Sub(w.since)))
		}
		return true
	})
}
