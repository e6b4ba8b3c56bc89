package coordinator

import (
	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// recoveredEnd returns the end that completes the task of a run which ended as done, though another end of the run is
// committed, or may be before this one, as when the run ended behind a partition that outlasted its lease. It returns nil
// if there is no such end.
func (c *Coordinator) recoveredEnd(state *tracker.Tracker, w *worker, e *messages.End) *messages.End {
	key := tracker.EndKeyOf(e)
	if e.GetHow() != tracker.EndDone {
		return nil
	}
	if run := state.RunsOn(w.id)[key]; run != nil && run.GetBorn() == w.born {
		if !w.expiring && !c.stopping[key] {
			return nil
		}
	} else if !state.IsRecoverable(key) {
		return nil
	}
	c.opts.Log.Info("end of a lost run completes its task", zap.String("request", key.Job), zap.Int32("occurrence", key.Occurrence), zap.Int32("step", key.Step),
		zap.Int32("task", key.Task), zap.Uint32("run", key.Number), zap.String("worker", w.id), zap.Bool("expiring", w.expiring),
		zap.Uint64("report", w.sequence))
	count(c.metrics.ends, tracker.EndRecovered)
	return recoveredEndOf(key)
}

// recoveredEndOf returns the end that completes the task of a run whose end is committed in another way.
func recoveredEndOf(key tracker.RunKey) *messages.End {
	return &messages.End{
		Job: key.Job, Occurrence: key.Occurrence, Step: key.Step, Task: key.Task, Number: key.Number, How: tracker.EndRecovered,
	}
}
