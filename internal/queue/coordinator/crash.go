package coordinator

import (
	"maps"
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

// An unexplained loss is that of a worker that was starting nothing and had not announced its exit. It shows that workers
// are being lost for a reason that has nothing to do with what they start.
const (
	// unexplainedPeriod is the time after an unexplained loss in which no crash speaks against a task alone.
	unexplainedPeriod = 10 * time.Second
	// verdictDelay is the time from a task's last crash until its job is given up. Unexplained losses at the same moment
	// become known meanwhile.
	verdictDelay = 2 * time.Second
	// A task with several crashes is tried again once no worker was lost for quietPeriod, but for crashes that one task
	// alone explains and further losses of a few workers.
	quietPeriod = 1500 * time.Millisecond
	// minHoldTime is how long it waits for that after its second crash, and holdTimeFactor times as long after each further
	// one, up to maxHoldTime, so that losses that go on do not hold it for ever.
	minHoldTime    = 2 * time.Second
	holdTimeFactor = 3
	maxHoldTime    = 30 * time.Second
	// While one in widespreadDivisor of the workers, and more than one, has been lost without an explanation within
	// widespreadPeriod, no crash is the one after which a task must not be tried again.
	widespreadPeriod  = 5 * time.Second
	widespreadDivisor = 4
	minWidespread     = 2
)

// hasSurvived reports whether the worker has been seen alive some time after it started a run.
func (t *runProgress) hasSurvived() bool {
	return t != nil && t.lastListed.Sub(t.firstListed) >= survivalTime
}

// age returns a lower bound on the time from the start of the worker to its last contact. It takes the time from the
// worker's own clock, which starts with it, or from this leader's, as wall clocks may be wrong.
func (w *worker) age() time.Duration {
	return max(time.Duration(w.clock)*time.Millisecond, w.lastContact.Sub(w.firstContact))
}

// markLost notes that the loss of the worker has been recorded. It reports false if it was before. A worker that is not known
// has no such note.
func (w *worker) markLost() bool {
	if w == nil {
		return true
	}
	before := w.lost
	w.lost = true
	return !before
}

// recordLoss records the loss of a worker that was starting nothing.
func (c *Coordinator) recordLoss(id string, w *worker) {
	if w != nil && w.hasAnnouncedExit() || !w.markLost() {
		return
	}
	now := c.opts.Now()
	c.unexplainedAt = now
	c.extendHolds(id, w)
	maps.DeleteFunc(c.losses, func(_ string, at time.Time) bool { return now.Sub(at) >= widespreadPeriod })
	if c.losses[machineOf(id, w)] = now; c.isWidespread(c.losses) {
		c.widespreadAt = now
	}
	c.opts.Log.Info("worker lost while no run started", zap.String("worker", id))
}

// extendHolds lets held tasks wait on after a loss that no task alone explains. A single worker that is lost again and again
// does not hold them: its losses say nothing about the others, on which they are tried.
func (c *Coordinator) extendHolds(id string, w *worker) {
	now, machine := c.opts.Now(), machineOf(id, w)
	maps.DeleteFunc(c.allLosses, func(_ string, at time.Time) bool { return now.Sub(at) >= widespreadPeriod })
	_, again := c.allLosses[machine]
	if c.allLosses[machine] = now; !again || c.isWidespread(c.allLosses) {
		c.lossAt = now
	}
}

// machineOf names the place of a worker, which may start again under another id: its address, or else its id.
func machineOf(id string, w *worker) string {
	if w == nil || w.address == "" {
		return id
	}
	return w.address
}

// isWidespread reports whether a large part of the workers has been lost.
func (c *Coordinator) isWidespread(losses map[string]time.Time) bool {
	return len(losses) >= minWidespread && len(losses)*widespreadDivisor >= len(c.workers)
}

// crashes returns the runs of a lost incarnation that may have crashed their worker: those that had just started. w is
// the worker as this leader knew it, or nil. crashed is false if the worker may be alive but out of reach. A crash speaks
// against a run alone if this leader ordered its start, as it is not known how long a run of an earlier leader was at
// work, and if there was no unexplained loss lately.
func (c *Coordinator) crashes(state *tracker.Tracker, id string, born int64, w *worker, crashed bool) []*messages.Crash {
	if w != nil && w.hasAnnouncedExit() {
		return nil
	}
	starting := c.startingRuns(state.RunsOn(id), born, w)
	if len(starting) == 0 {
		c.recordLoss(id, w)
		return nil
	}
	w.markLost()
	age := time.Duration(0)
	if w != nil {
		age = w.age()
	}
	calm := c.unexplainedAt.IsZero() || c.opts.Now().Sub(c.unexplainedAt) >= unexplainedPeriod
	one := crashed && calm && age >= minWorkerAge && isOneUnit(state, starting)
	if !c.isExplained(state, starting, one) {
		c.extendHolds(id, w)
	}
	var list []*messages.Crash
	for _, key := range starting {
		alone := one && c.committedStarts[key]
		counted := alone || c.counts(state, key, starting)
		c.delayDeadly(state, key.TaskKey, alone)
		if counted {
			list = append(list, &messages.Crash{
				Job: key.Job, Occurrence: key.Occurrence, Step: key.Step, Task: key.Task, Number: key.Number, Alone: alone,
			})
		}
		c.metrics.crashes.Inc(1)
		c.opts.Log.Info("worker lost as a run started", zap.String("request", key.Job), zap.Int32("occurrence", key.Occurrence),
			zap.Int32("step", key.Step), zap.Int32("task", key.Task), zap.Uint32("run", key.Number), zap.String("worker", id),
			zap.Bool("crashed", crashed), zap.Bool("calm", calm), zap.Duration("age", age), zap.Int("starting", len(starting)), zap.Bool("alone", alone),
			zap.Bool("counted", counted))
	}
	return list
}

// delayDeadly delays the next start of a lasting task if it alone explains this crash or an earlier one. A deadly lasting task
// crashes a worker at each start, and is never given up.
func (c *Coordinator) delayDeadly(state *tracker.Tracker, key tracker.TaskKey, alone bool) {
	s := state.Job(key.Job).Step(key.Occurrence, key.Step)
	if s.Spec.GetLasting() && (alone || s.Tasks[key.Task].AloneCrashes() > 0) {
		c.delayRestart(key, 0)
	}
}

// wasWidespread reports whether a large part of the workers was being lost without an explanation around the given time.
func (c *Coordinator) wasWidespread(at time.Time) bool {
	return !c.widespreadAt.IsZero() && at.Sub(c.widespreadAt) < widespreadPeriod ||
		!c.restartedAt.IsZero() && at.Sub(c.restartedAt) < widespreadPeriod
}

// observeRestarts notes whether a large part of the workers has started around the start of the term, beside those that tasks may
// have crashed. A new leader does not know the losses that earlier leaders have seen, and misses those of workers that had not
// reported to it.
func (c *Coordinator) observeRestarts(state *tracker.Tracker) {
	sinceTerm := c.opts.Now().Sub(c.termStart)
	if sinceTerm >= widespreadPeriod {
		return
	}
	restarts, last := 0, time.Time{}
	for _, w := range c.workers {
		start := w.lastContact.Add(-w.age())
		if w.clock == 0 || c.termStart.Sub(start) >= widespreadPeriod {
			continue // it has no clock, or has been up since long before
		}
		restarts++
		if start.After(last) {
			last = start
		}
	}
	restarts -= crashedWorkers(state, c.opts.Wall().Add(-sinceTerm-widespreadPeriod))
	if restarts < minWidespread || restarts*widespreadDivisor < len(c.workers) {
		return
	}
	if c.restartedAt.IsZero() {
		c.opts.Log.Info("many workers have started around the change of the leader", zap.Int("starts", restarts), zap.Int("workers", len(c.workers)))
	}
	c.restartedAt = last
}

// crashedWorkers returns the number of workers that have been lost as they started runs, since the given time.
func crashedWorkers(state *tracker.Tracker, since time.Time) int {
	workers := map[string]bool{}
	state.EachSuspect(func(_ tracker.TaskKey, _ *tracker.Job, t *tracker.Task) {
		for _, crash := range t.Crashes {
			if crash.Time >= since.UnixMilli() {
				workers[crash.Worker] = true
			}
		}
	})
	return len(workers)
}

// counts reports whether a crash that others may explain is evidence against a task. While a large part of the workers is
// being lost, or where a suspect task of another job was starting too, an innocent task may crash any number of times, so no
// such crash is the last one that is needed; the task waits as after a further crash.
func (c *Coordinator) counts(state *tracker.Tracker, key tracker.RunKey, starting []tracker.RunKey) bool {
	s := state.Job(key.Job).Step(key.Occurrence, key.Step)
	t := &s.Tasks[key.Task]
	shared := slices.ContainsFunc(starting, func(other tracker.RunKey) bool {
		return other.Job != key.Job && state.Job(other.Job).Step(other.Occurrence, other.Step).Tasks[other.Task].IsSuspect()
	})
	if !t.IsOnLastTrial() || !shared && !c.wasWidespread(c.opts.Now()) {
		return true
	}
	c.verdicts[key.TaskKey] = verdict{crashes: len(t.Crashes), since: c.opts.Now(), lasting: s.Spec.GetLasting()}
	return false
}

// startingRuns returns the runs of a lost incarnation that may have been starting when the worker was last alive.
func (c *Coordinator) startingRuns(runs map[tracker.RunKey]*messages.Run, born int64, w *worker) []tracker.RunKey {
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
	return starting
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

// isExplained reports whether the loss of a worker on which runs were starting needs no further explanation: it speaks against
// a single unit, or one of the tasks alone explains an earlier crash, and so probably this one. Other tasks need not wait for
// the end of such losses.
func (c *Coordinator) isExplained(state *tracker.Tracker, starting []tracker.RunKey, one bool) bool {
	for _, key := range starting {
		if state.Job(key.Job).Step(key.Occurrence, key.Step).Tasks[key.Task].AloneCrashes() > 0 {
			return true
		}
		one = one && c.committedStarts[key]
	}
	return one
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

// verdict is the state of a task with several crashes.
type verdict struct {
	crashes int
	since   time.Time // when this leader first saw so many
	// inherited: an earlier leader saw the last crash, and may have seen unexplained losses that this one does not know.
	inherited bool
	// lasting: the task runs until its job is cancelled, however its runs end. It is never given up.
	lasting bool
}

// updateVerdicts notes which tasks have several crashes, and since when.
func (c *Coordinator) updateVerdicts(state *tracker.Tracker) {
	state.EachSuspect(func(key tracker.TaskKey, j *tracker.Job, t *tracker.Task) {
		if n := len(t.Crashes); n > 1 && c.verdicts[key].crashes != n {
			lasting := j.Step(key.Occurrence, key.Step).Spec.GetLasting()
			c.verdicts[key] = verdict{crashes: n, since: c.opts.Now(), inherited: !c.hasVerdicts, lasting: lasting}
		}
	})
	c.hasVerdicts = true
}

// giveUps returns the jobs with a task that crashes the workers that start it, unless the task lasts. A task is tried again if there was an
// unexplained loss after its last crash, or may have been, unless it has used up all trials.
func (c *Coordinator) giveUps(state *tracker.Tracker) []string {
	c.updateVerdicts(state)
	var list []string
	state.EachSuspect(func(key tracker.TaskKey, j *tracker.Job, t *tracker.Task) {
		v := c.verdicts[key]
		if v.lasting || !t.CrashesWorkers() || c.opts.Now().Sub(v.since) < verdictDelay || c.isTriedAgain(v, t) {
			return
		}
		c.logGiveUp(key, t)
		list = append(list, j.Work.GetId())
	})
	slices.Sort(list)
	return slices.Compact(list)
}

// isTriedAgain reports whether a task that seems to crash its workers is not given up, because there were, or may have been,
// unexplained losses after the last crash, or, if it has used up its trials, because of widespread ones around it.
func (c *Coordinator) isTriedAgain(v verdict, t *tracker.Task) bool {
	if t.IsExhausted() {
		return !t.IsLikelyCause() && c.wasWidespread(v.since)
	}
	return v.inherited || c.unexplainedAt.After(v.since)
}

// isHeld reports whether a suspect task must not start: it is about to be given up, or workers are being lost, as while an
// operator restarts one after the other, and a trial would say nothing. A task with one crash does not wait. While a large part
// of the workers is being lost, a longer wait makes a crash no better evidence, so a third crash makes it no longer. Only last
// trials, which settle whether the job is given up, wait longer. A lasting task is never given up.
func (c *Coordinator) isHeld(key tracker.TaskKey, t *tracker.Task) bool {
	now, v := c.opts.Now(), c.verdicts[key]
	switch {
	case len(t.Crashes) < 2:
		return false
	case !v.lasting && t.CrashesWorkers() && (now.Sub(v.since) < verdictDelay || !c.isTriedAgain(v, t)):
		return true
	}
	limit := holdTime(len(t.Crashes))
	if v.lasting || len(t.Crashes) < tracker.LastTrialCrashes && c.wasWidespread(now) {
		limit = minHoldTime
	}
	return now.Sub(c.lossAt) < quietPeriod && now.Sub(v.since) < limit
}

// holdTime returns how long a task with several crashes waits at most until workers are no longer being lost.
func holdTime(crashes int) time.Duration {
	limit := minHoldTime
	for range crashes - 2 {
		limit = min(limit*holdTimeFactor, maxHoldTime)
	}
	return limit
}

func (c *Coordinator) logGiveUp(key tracker.TaskKey, t *tracker.Task) {
	var workers []string
	var times []time.Time
	for _, e := range t.Crashes {
		workers, times = append(workers, e.Worker), append(times, time.UnixMilli(e.Time))
	}
	c.metrics.givenUp.Inc(1)
	c.opts.Log.Warn("job given up: a task crashes its workers", zap.String("request", key.Job), zap.Int32("occurrence", key.Occurrence),
		zap.Int32("step", key.Step), zap.Int32("task", key.Task), zap.Strings("workers", workers), zap.Times("crashes", times),
		zap.Int("alone", t.AloneCrashes()))
}

// survivals returns the active runs of suspect tasks that have not crashed their workers.
func (c *Coordinator) survivals(state *tracker.Tracker) []*messages.Crash {
	var list []*messages.Crash
	state.EachSuspect(func(key tracker.TaskKey, _ *tracker.Job, t *tracker.Task) {
		if t.Active > 0 && c.progress[tracker.RunKey{TaskKey: key, Number: t.Number}].hasSurvived() {
			delete(c.restarts, key)
			list = append(list, &messages.Crash{Job: key.Job, Occurrence: key.Occurrence, Step: key.Step, Task: key.Task, Number: t.Number})
		}
	})
	slices.SortFunc(list, func(a, b *messages.Crash) int {
		return tracker.CompareKeys(tracker.CrashKeyOf(a), tracker.CrashKeyOf(b))
	})
	return list
}
