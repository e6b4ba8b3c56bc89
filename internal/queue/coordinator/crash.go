package coordinator

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

const (
	// survivalTime is how long a run must be listed until it cannot have crashed its worker by starting.
	survivalTime = 500 * time.Millisecond
	// maxStartGap bounds the time between the starts of runs that may all have been starting when their worker was
	// lost. It covers the time without contact after which nothing is started on a worker.
	maxStartGap = 3 * time.Second
	// minWorkerAge is the age from which the crash of a worker speaks against a run that it had just started. A worker
	// that crashes sooner may do so again and again, whatever it runs.
	minWorkerAge = 10 * time.Second
)

// hasSurvived reports whether the worker has been seen alive some time after it started a run. A run that an earlier
// leader ordered had started before it was first listed to this one.
func (t *runProgress) hasSurvived() bool {
	return t != nil && (t.inherited || t.lastListed.Sub(t.firstListed) >= survivalTime)
}

// crashes returns the runs of a lost incarnation that may have crashed their worker: those that had just started. w is
// the worker as this leader knew it, or nil. crashed is false if the worker may be alive but out of reach. A crash speaks
// against a run alone if this leader ordered its start; how long a run of an earlier leader was at work is not known.
func (c *Coordinator) crashes(state *tracker.Tracker, id string, born int64, w *worker, crashed bool) []*messages.Crash {
	if w != nil && w.hasAnnouncedExit() {
		return nil
	}
	runs := state.RunsOn(id)
	youngest := int64(0)
	for _, r := range runs {
		if r.GetBorn() == born {
			youngest = max(youngest, r.GetStarted())
		}
	}
	var starting []tracker.RunKey
	for key, r := range runs {
		if r.GetBorn() == born && c.mayBeStarting(key, r, w, youngest) {
			starting = append(starting, key)
		}
	}
	slices.SortFunc(starting, tracker.CompareKeys)
	var list []*messages.Crash
	for _, key := range starting {
		age := time.Duration(runs[key].GetStarted()-born) * time.Millisecond
		alone := crashed && c.committedStarts[key] && age >= minWorkerAge && isOneUnit(state, starting)
		list = append(list, &messages.Crash{
			Job: key.Job, Occurrence: key.Occurrence, Step: key.Step, Task: key.Task, Number: key.Number, Alone: alone,
		})
		c.metrics.crashes.Inc(1)
		c.opts.Log.Info("worker lost as a run started", zap.String("request", key.Job), zap.Int32("occurrence", key.Occurrence),
			zap.Int32("step", key.Step), zap.Int32("task", key.Task), zap.Uint32("run", key.Number), zap.String("worker", id),
			zap.Bool("crashed", crashed), zap.Duration("age", age), zap.Int("starting", len(starting)), zap.Bool("alone", alone))
	}
	return list
}

// isOneUnit reports whether runs are just one, or members of one gang, which can only start together.
func isOneUnit(state *tracker.Tracker, keys []tracker.RunKey) bool {
	gang := state.Job(keys[0].Job).Step(keys[0].Occurrence, keys[0].Step).Spec.GetGang()
	for _, key := range keys[1:] {
		if !gang || key.Job != keys[0].Job || key.Occurrence != keys[0].Occurrence || key.Step != keys[0].Step {
			return false
		}
	}
	return true
}

// mayBeStarting reports whether a run on a lost worker may have been starting when the worker was last alive.
// youngest is the time of the last start on the worker. A worker gets starts only while it is in contact, so it has
// survived the starts that are much older.
func (c *Coordinator) mayBeStarting(key tracker.RunKey, r *messages.Run, w *worker, youngest int64) bool {
	if t := c.progress[key]; t != nil {
		return !t.hasSurvived()
	}
	if c.committedStarts[key] {
		return w == nil || w.startOrders[key] > 0 // only this leader can have ordered it
	}
	return time.Duration(youngest-r.GetStarted())*time.Millisecond < maxStartGap
}

// giveUps returns the jobs with a task that crashes the workers that start it.
func (c *Coordinator) giveUps(state *tracker.Tracker) []string {
	var list []string
	state.EachSuspect(func(key tracker.TaskKey, j *tracker.Job, t *tracker.Task) {
		if !t.CrashesWorkers() {
			return
		}
		var workers []string
		var times []time.Time
		for _, e := range t.Crashes {
			workers, times = append(workers, e.Worker), append(times, time.UnixMilli(e.Time))
		}
		c.metrics.givenUp.Inc(1)
		c.opts.Log.Warn("job given up: a task crashes its workers", zap.String("request", key.Job), zap.Int32("occurrence", key.Occurrence),
			zap.Int32("step", key.Step), zap.Int32("task", key.Task), zap.Strings("workers", workers), zap.Times("crashes", times),
			zap.Int("alone", t.AloneCrashes()))
		list = append(list, j.Work.GetId())
	})
	slices.Sort(list)
	return slices.Compact(list)
}
