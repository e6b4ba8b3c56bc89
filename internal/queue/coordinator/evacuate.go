package coordinator

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
)

// exitMargin is how long before a worker's exit a run must end for its end to be reported in time: a report may be under
// way when it ends, and the worker sends no further one until that has been answered.
const exitMargin = 250 * time.Millisecond

// extrapolationErrorPercent is the error of a remaining time that is extrapolated from the progress of a run.
const extrapolationErrorPercent = 25

// hopelessPercent is the share of a run's estimated remaining time that must exceed the time left on a leaving
// worker for the run to be stopped at once. It allows for the error of the estimate.
const hopelessPercent = 80

// evacuate stops the runs on leaving workers that will not end before the worker exits. They can then start
// elsewhere as soon as their ends are reported, and not only after the lease of a worker that is gone. Runs that
// write checkpoints, and those of lasting tasks, work on until there is just time to stop them; other ones would work
// for nothing. From that time on, only runs whose ends are sure to be reported work on: the worker does not report an
// end in its last moments, and finished work would be repeated.
func (c *Coordinator) evacuate(state *tracker.Tracker) {
	now := c.opts.Now()
	reportTime := c.pacer.Interval() + exitMargin
	stopTime := c.opts.Timing.MaxStopTime + c.pacer.Interval() + reportTime
	for _, id := range slices.Sorted(maps.Keys(c.workers)) {
		w := c.workers[id]
		if !w.leaving || w.left {
			continue
		}
		left := w.exitAt.Sub(now)
		for _, key := range slices.SortedFunc(maps.Keys(w.listed), tracker.CompareKeys) {
			run, j := state.RunsOn(id)[key], state.Job(key.Job)
			if run == nil || run.GetBorn() != w.born || c.mustStop(j, key) {
				continue
			}
			s := j.Step(key.Occurrence, key.Step)
			remaining, measured := c.progress[key].extrapolate(now, c.estimate(j, s))
			lasting := s.Spec.GetLasting()
			hopeless := !s.Spec.GetCheckpoints() && !lasting && remaining*hopelessPercent/100 > left
			inTime := measured && !lasting && remaining+remaining*extrapolationErrorPercent/100+reportTime <= left
			if inTime || !hopeless && left > stopTime {
				continue
			}
			c.stopping[key] = true
			c.wakeWorker(id)
			c.metrics.evacuated.Inc(1)
			c.opts.Log.Info("run is moved from a leaving worker", zap.String("request", key.Job), zap.Int32("occurrence", key.Occurrence),
				zap.Int32("step", key.Step), zap.Int32("task", key.Task), zap.Uint32("run", key.Number), zap.String("worker", id),
				zap.Duration("left", left), zap.Duration("remaining", remaining), zap.Uint64("report", w.sequence))
		}
	}
}
