package coordinator

import (
	"time"

	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
)

// A lasting task is started again however its runs end. Runs that end as soon as they start delay the next start, the
// second one and each further one twice as long.
const (
	shortRunTime    = time.Second
	minRestartDelay = 250 * time.Millisecond
	maxRestartDelay = 4 * time.Second
)

// restart is the next start of a lasting task whose last runs were short.
type restart struct {
	runs  int // short runs in a row
	delay time.Duration
	at    time.Time
}

// delayRestart records that a run of a lasting task has ended by itself.
func (c *Coordinator) delayRestart(key tracker.TaskKey, elapsed time.Duration) {
	if elapsed >= shortRunTime {
		delete(c.restarts, key)
		return
	}
	r := c.restarts[key]
	if r.runs++; r.runs > 1 {
		r.delay = min(max(2*r.delay, minRestartDelay), maxRestartDelay)
		c.opts.Log.Info("restart is delayed", zap.String("request", key.Job), zap.Int32("occurrence", key.Occurrence), zap.Int32("step", key.Step),
			zap.Int32("task", key.Task), zap.Int("runs", r.runs), zap.Duration("delay", r.delay))
	}
	r.at = c.opts.Now().Add(r.delay)
	c.restarts[key] = r
}

// isResting reports whether the next start of a lasting task is delayed.
func (c *Coordinator) isResting(key tracker.TaskKey) bool {
	return c.opts.Now().Before(c.restarts[key].at)
}
