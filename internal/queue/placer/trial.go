package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
)

// workersPerTrial bounds the trials of a busy pool: one for this many usable workers. idlePerTrial is the same for
// workers without runs, on which a trial endangers no work.
const (
	workersPerTrial = 16
	idlePerTrial    = 2
	maxTrials       = 32 // that start in one pass in a pool
)

const (
	// decidingCrashes is the number of crashes from which a further one may decide that a job is given up. A task with so
	// many is tried alone, so that an innocent one is not given up for what starts beside it.
	decidingCrashes = 3
	// maxDecidingWait is how long units wait for that in a pool that is mostly idle.
	maxDecidingWait = 2250 * time.Millisecond
	// maxApartWait is how long last trials wait for a worker on which nothing is starting, as on busy workers there may never be
	// one. It covers the longest hold before such a trial, 18 s, which counts as a wait, and maxDecidingWait.
	maxApartWait = 20250 * time.Millisecond
)

// isDeciding reports whether the job may be given up after the trial of the unit, which therefore starts alone.
func (u *unit) isDeciding() bool {
	return u.crashes >= decidingCrashes && !u.overLimit || u.startsApart
}

// isLastTrial reports whether the unit is not tried again after one more crash. A lasting task always is. A last trial beside
// other starts decides nothing, so it starts alone, also if units no longer wait for other trials.
func (u *unit) isLastTrial() bool {
	return u.crashes >= tracker.LastTrialCrashes && !u.step.Spec.GetLasting()
}

// planLastTrials decides which last trials start alone. With more of them in a pool than workers their jobs would have nothing
// running for too long.
func (p *pass) planLastTrials(units []*unit) {
	count := map[string]int{}
	for _, u := range units {
		if u.isLastTrial() {
			count[u.pool]++
		}
	}
	for _, c := range p.lastTrials {
		count[c.Pool]++
	}
	for _, u := range units {
		u.startsApart = u.isLastTrial() && count[u.pool] <= len(p.pools[u.pool]) && p.input.Waited(u.key()).Idle < maxApartWait
	}
	for _, c := range p.lastTrials {
		c.lastTrial = count[c.Pool] <= len(p.pools[c.Pool])
	}
}

// hasTrial reports whether a suspect task is starting on the worker. Nothing else may start there meanwhile, so that a
// crash of the worker has one explanation and costs little.
func (w *Worker) hasTrial() bool { return slices.ContainsFunc(w.Runs, (*ActiveRun).isTrial) }

// hasStarts reports whether any run is starting on the worker.
func (w *Worker) hasStarts() bool {
	return slices.ContainsFunc(w.Runs, func(a *ActiveRun) bool { return a.Starting })
}

// planTrials sets how many trials may start in each pool.
func (p *pass) planTrials() {
	usable, idle, running := map[string]int{}, map[string]int{}, map[string]int{}
	for _, w := range p.input.Workers {
		for _, a := range w.Runs {
			if a.isTrial() {
				p.tried[a.Job] = true
			}
		}
		if !w.accepts() || w.Quarantined {
			continue // a trial that has crashed its worker is over
		}
		usable[w.Pool]++
		if !w.Young {
			p.old[w.Pool]++
		}
		if len(w.Runs) == 0 {
			idle[w.Pool]++
		}
		if w.hasTrial() {
			running[w.Pool]++
		}
	}
	for pool, n := range usable {
		p.trials[pool] = min(max(n/workersPerTrial, idle[pool]/idlePerTrial, 1)-running[pool], maxTrials)
	}
}

// separateTrials splits the suspect tasks off a unit, as units of their own. A gang starts as a whole. While a task is
// likely to be given up, which fails its job, no other task of the step starts, unless nothing of the job runs for long.
func (p *pass) separateTrials(u *unit) []*unit {
	if u.step.Spec.GetGang() {
		for _, task := range u.tasks {
			if u.suspect(&u.step.Tasks[task]); p.isHeld(u, task) {
				p.block(u.key(), Held)
				return nil
			}
		}
		u.needsOldWorker = u.needsOldWorker && p.old[u.pool] > 0
		return []*unit{u}
	}
	var units []*unit
	var rest []int32
	for _, task := range u.tasks {
		if !u.step.Tasks[task].IsSuspect() {
			rest = append(rest, task)
			continue
		}
		if p.isHeld(u, task) {
			p.block(trialKeyOf(u.job, u.step, task), Held)
			continue
		}
		trial := *u
		trial.tasks = []int32{task}
		trial.suspect(&u.step.Tasks[task])
		trial.needsOldWorker = trial.needsOldWorker && p.old[u.pool] > 0
		units = append(units, &trial)
	}
	switch u.tasks = rest; {
	case len(rest) == 0:
	case p.isDoomed(u) && !p.isOverdue(u):
		p.block(u.key(), LikelyGivenUp)
	default:
		units = append(units, u)
	}
	return units
}

// suspect adds the crashes of one of the unit's tasks to the unit.
func (u *unit) suspect(t *tracker.Task) {
	u.crashes = max(u.crashes, len(t.Crashes))
	u.blamed = u.blamed || t.AloneCrashes() > 0
	u.needsOldWorker = u.crashes > 1 && !u.step.Spec.GetLasting()
}

// startsAlone reports whether a gang waits for workers on which nothing else is starting. Single tasks do so always.
func (u *unit) startsAlone() bool {
	return u.crashes > 1 && u.step.Spec.GetGang() && (!u.incautious || u.isDeciding())
}

// isOneAtATime reports whether no other trial of its job may be under way. A task that no crash speaks against alone is
// likely to be innocent.
func (u *unit) isOneAtATime() bool { return u.crashes > 1 || u.blamed }

func (p *pass) isHeld(u *unit, task int32) bool {
	t := &u.step.Tasks[task]
	key := tracker.TaskKey{Job: u.job.Work.GetId(), Occurrence: u.step.Occurrence, Step: u.step.Index, Task: task}
	return t.IsSuspect() && p.input.Held(key, t)
}

// isDoomed reports whether a task of the unit's step is likely to be given up. A task that has survived its trial is no
// suspect any more. A lasting task must not wait for another one.
func (p *pass) isDoomed(u *unit) bool {
	return !u.step.Spec.GetLasting() && slices.ContainsFunc(u.step.Tasks, func(t tracker.Task) bool {
		return !t.Done && isLikelyGivenUp(&t)
	})
}

// isLikelyGivenUp reports whether one more crash would show that a task crashes its workers.
func isLikelyGivenUp(t *tracker.Task) bool { return len(t.Crashes) > 1 && t.AloneCrashes() > 0 }

// isOverdue reports whether a unit no longer waits for trials of other tasks: the turn of its job has come for some
// time and nothing of it is known to run, though most of the pool is idle.
func (p *pass) isOverdue(u *unit) bool {
	stands := !p.running[u.job] || u.step.Spec.GetLasting()
	return stands && p.hasWaited(u)
}

// placeTrial starts a suspect task or gang. Nothing else starts on its workers until they are seen alive after it.
func (p *pass) placeTrial(u *unit) {
	overdue := p.isOverdue(u)
	switch {
	case overdue:
	case p.trials[u.pool] <= 0:
		p.block(u.key(), TrialLimit)
		return
	case u.isOneAtATime() && p.tried[u.job]:
		p.block(u.key(), TrialOfJob)
		return
	}
	before := len(p.plan.Starts)
	if u.step.Spec.GetGang() {
		p.placeGang(u)
	} else if c := p.selectTrialWorker(u); c == nil {
		p.placeWaitingTrial(u)
	} else {
		if overdue && !u.isDeciding() || !c.assigned && !c.starting {
			p.start(u, u.tasks[0], c)
			c.sealed, c.lastTrial = u.isDeciding(), u.startsApart
		} else {
			p.block(u.key(), StartsPending)
		}
		p.close(c) // also while the trial waits for starts on the worker to succeed
		p.trials[u.pool]--
	}
	if len(p.plan.Starts) == before {
		return
	}
	p.tried[u.job] = true
	if !u.step.Spec.GetGang() {
		return
	}
	p.trials[u.pool]--
	for _, c := range p.pools[u.pool] {
		if slices.ContainsFunc(p.plan.Starts[before:], c.hosts) {
			p.close(c)
			c.sealed, c.lastTrial = u.isDeciding(), u.startsApart
		}
	}
}

// placeWaitingTrial reserves room for a suspect task that fits on no worker now, or places it without preferences.
func (p *pass) placeWaitingTrial(u *unit) {
	counts := p.runsPerWorker(u)
	switch {
	case p.waitsForReserved(u, counts) && p.placeRelaxedTrial(u), p.startRelaxedTrial(u):
		return
	case u.urgent && p.evictForTask(u, counts):
		p.block(u.key(), StopsPending)
		return
	}
	p.placeRelaxedTrial(u)
}

// placeRelaxedTrial places a suspect task without preferences for which it has waited long enough. It reports false if
// there are none.
func (p *pass) placeRelaxedTrial(u *unit) bool {
	v := p.relax(u, func(v *unit) bool { return p.selectTrialWorker(v) != nil })
	if v != nil {
		p.placeTrial(v)
	}
	return v != nil
}

// startRelaxedTrial places a suspect task that no longer waits for stops. It reports false if there is no such task.
func (p *pass) startRelaxedTrial(u *unit) bool {
	v := p.relaxOverdue(u, func(v *unit) bool { return p.selectTrialWorker(v) != nil })
	if v != nil {
		p.placeTrial(v)
	}
	return v != nil
}

// selectTrialWorker returns the worker on which a crash would cost the least work, nil if the task fits on none.
// Workers on which other runs are starting, or that have started lately themselves, are left for last: their crash says
// little about the task.
func (p *pass) selectTrialWorker(u *unit) *candidate {
	counts := p.runsPerWorker(u)
	atOnce := u.isDeciding() && p.isOverdue(u) // it does not wait for starts on the worker
	var best *candidate
	var bestLoss int64
	p.visit(len(p.pools[u.pool]))
	for _, c := range p.pools[u.pool] {
		if !u.canStartOn(c, counts) || c.available(u).Fits(u.need, 1) == 0 || atOnce && (c.assigned || c.starting) {
			continue
		}
		loss := p.lossOf(c)
		if best == nil || cmp.Or(
			compareBool(c.Suspect, best.Suspect), compareBool(c.closed, best.closed), compareBool(c.Young, best.Young),
			compareBool(c.assigned || c.starting, best.assigned || best.starting), cmp.Compare(loss, bestLoss),
			cmp.Compare(len(c.Runs), len(best.Runs)), cmp.Compare(c.free.Weight(), best.free.Weight()),
		) < 0 {
			best, bestLoss = c, loss
		}
	}
	return best
}

// lossOf returns the cost of the work that a crash of the worker would lose.
func (p *pass) lossOf(c *candidate) int64 {
	if c.loss < 0 {
		c.loss = 0
		for _, a := range c.Runs {
			c.loss += p.costOf(a)
		}
	}
	return c.loss
}
