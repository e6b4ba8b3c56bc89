package coordinator

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/placer"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
)

// deferral is the wait of a step for the workers that it prefers.
type deferral struct {
	since time.Time
	over  bool // it has been long enough
}

// waitOf returns how long a step has waited.
func (c *Coordinator) waitOf(key placer.StepKey) placer.Wait {
	now := c.opts.Now()
	var w placer.Wait
	if d := c.deferrals[key]; d != nil {
		w.Deferred = now.Sub(d.since)
	}
	if i, ok := c.idleWaits[key]; ok {
		w.Idle = i.length(now)
	}
	return w
}

// recordDeferrals updates the waits after a pass.
func (c *Coordinator) recordDeferrals(plan placer.Plan) {
	now := c.opts.Now()
	for _, d := range plan.Deferred {
		if c.deferrals[d.Key] == nil {
			c.deferrals[d.Key] = &deferral{since: now}
			if d.Preferred == placer.PrefersEnds {
				c.metrics.awaited.Inc(1)
			}
			c.logDeferral("step waits for workers that it prefers", d, 0)
		}
	}
	for _, d := range plan.Relaxed {
		if w := c.deferrals[d.Key]; w != nil && !w.over {
			w.over = true
			c.logDeferral("step no longer waits for workers that it prefers", d, now.Sub(w.since))
		}
	}
	for _, r := range plan.Starts {
		key := placer.StepKey{Job: r.GetJob(), Occurrence: r.GetOccurrence(), Step: r.GetStep()}
		delete(c.deferrals, key)
		key.Trial = r.GetTask() + 1
		delete(c.deferrals, key)
	}
}

func (c *Coordinator) logDeferral(message string, d placer.Deferral, waited time.Duration) {
	c.opts.Log.Info(message, zap.String("request", d.Key.Job), zap.Int32("occurrence", d.Key.Occurrence), zap.Int32("step", d.Key.Step),
		zap.String("prefers", d.Preferred), zap.Bool("idle", d.Idle), zap.Duration("waited", waited))
}

// pruneDeferrals removes the waits of steps that have ended.
func (c *Coordinator) pruneDeferrals(state *tracker.Tracker) {
	maps.DeleteFunc(c.deferrals, func(key placer.StepKey, _ *deferral) bool {
		j := state.Job(key.Job)
		return j == nil || j.Ended() || j.Step(key.Occurrence, key.Step).Done
	})
}
