package coordinator

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/placer"
)

const (
	// minLoggedWait is how long a job has nothing running beside idle workers until that is logged.
	minLoggedWait = time.Second
	// maxWaitLines bounds the lines about waiting jobs in a waitLinePeriod.
	maxWaitLines   = 20
	waitLinePeriod = time.Second
)

// jobWait is the time for which a job has had nothing running, though the turn of a task has come and its pool is mostly
// idle.
type jobWait struct {
	since    time.Time
	obstacle placer.Obstacle // last logged, "" for none
}

// waitLog bounds the lines about waiting jobs.
type waitLog struct {
	start time.Time // of the current period
	lines int
}

// allows reports whether one more line may be logged.
func (l *waitLog) allows(now time.Time) bool {
	if now.Sub(l.start) >= waitLinePeriod {
		l.start, l.lines = now, 0
	}
	l.lines++
	return l.lines <= maxWaitLines
}

// recordBlocked updates since when steps wait beside idle workers.
func (c *Coordinator) recordBlocked(plan placer.Plan) {
	now := c.opts.Now()
	waiting := make(map[placer.StepKey]time.Time, len(c.idleSince))
	for _, b := range plan.Blocked {
		if !b.Idle {
			continue
		}
		waiting[b.Key] = now
		if since, ok := c.idleSince[b.Key]; ok {
			waiting[b.Key] = since
		}
	}
	c.idleSince = waiting
	c.logBlocked(plan)
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
		if waited := now.Sub(w.since); waited >= minLoggedWait && w.obstacle != b.Obstacle && c.waitLog.allows(now) {
			w.obstacle = b.Obstacle
			c.opts.Log.Info("job waits beside idle workers", zap.String("request", b.Key.Job), zap.Int32("occurrence", b.Key.Occurrence),
				zap.Int32("step", b.Key.Step), zap.String("obstacle", string(b.Obstacle)), zap.Duration("waited", waited))
		}
	}
	maps.DeleteFunc(c.waits, func(job string, w *jobWait) bool {
		if blocked[job] {
			return false
		}
		if w.obstacle != "" && c.waitLog.allows(now) {
			c.opts.Log.Info("job no longer waits beside idle workers", zap.String("request", job), zap.Duration("waited", now.Sub(w.since)))
		}
		return true
	})
}
