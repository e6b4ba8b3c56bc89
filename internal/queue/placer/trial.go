package placer

import (
	"cmp"
	"slices"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
)

// workersPerTrial bounds the trials of a busy pool: one for this many usable workers. idlePerTrial is the same for
// workers without runs, on which a trial endangers no work.
const (
	workersPerTrial = 16
	idlePerTrial    = 2
)

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
		if !w.Usable {
			continue // a trial that has crashed its worker is over
		}
		usable[w.Pool]++
		if len(w.Runs) == 0 {
			idle[w.Pool]++
		}
		if w.hasTrial() {
			running[w.Pool]++
		}
	}
	for pool, n := range usable {
		p.trials[pool] = max(n/workersPerTrial, idle[pool]/idlePerTrial, 1) - running[pool]
	}
}

// separateTrials splits the suspect tasks off a unit, as units of their own. A gang starts as a whole. While a task is
// likely to be given up, which fails its job, no other task of the step starts.
func (p *pass) separateTrials(u *unit) []*unit {
	if u.step.Spec.GetGang() {
		for _, task := range u.tasks {
			u.crashes = max(u.crashes, len(u.step.Tasks[task].Crashes))
		}
		return []*unit{u}
	}
	var units []*unit
	var rest []int32
	for _, task := range u.tasks {
		t := &u.step.Tasks[task]
		if !t.IsSuspect() {
			rest = append(rest, task)
			continue
		}
		trial := *u
		trial.tasks, trial.crashes = []int32{task}, len(t.Crashes)
		units = append(units, &trial)
	}
	if u.tasks = rest; len(rest) > 0 && !p.isDoomed(u) {
		units = append(units, u)
	}
	return units
}

// isDoomed reports whether a task of the unit's step is likely to be given up. A task that has survived its trial is not.
func (p *pass) isDoomed(u *unit) bool {
	return slices.ContainsFunc(u.step.Tasks, func(t tracker.Task) bool {
		return !t.Done && isLikelyGivenUp(&t) && (t.Active == 0 || p.tried[u.job])
	})
}

// isLikelyGivenUp reports whether one more crash would show that a task crashes its workers.
func isLikelyGivenUp(t *tracker.Task) bool { return len(t.Crashes) > 1 && t.AloneCrashes() > 0 }

// placeTrial starts a suspect task or gang. Nothing else starts on its workers until they are seen alive after it.
func (p *pass) placeTrial(u *unit) {
	if p.trials[u.pool] <= 0 || p.tried[u.job] {
		return
	}
	before := len(p.plan.Starts)
	if u.step.Spec.GetGang() {
		p.placeGang(u)
	} else if c := p.selectTrialWorker(u); c == nil {
		if u.urgent {
			p.evictForTask(u, p.runsPerWorker(u))
		}
	} else {
		if !c.assigned && !c.hasStarts() {
			p.start(u, u.tasks[0], c)
		}
		c.close() // also while the trial waits for starts on the worker to succeed
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
			c.close()
		}
	}
}

// selectTrialWorker returns the worker on which a crash would cost the least work, nil if the task fits on none.
// Workers on which other runs are starting, or that have started lately themselves, are left for last: their crash says
// little about the task.
func (p *pass) selectTrialWorker(u *unit) *candidate {
	counts := p.runsPerWorker(u)
	var best *candidate
	var bestLoss int64
	for _, c := range p.pools[u.pool] {
		if !u.canStartOn(c, counts) || c.available(u).Fits(u.need, 1) == 0 {
			continue
		}
		loss := p.lossOf(c)
		if best == nil || cmp.Or(
			compareBool(c.Suspect, best.Suspect), compareBool(c.Young, best.Young),
			compareBool(c.assigned || c.hasStarts(), best.assigned || best.hasStarts()), cmp.Compare(loss, bestLoss),
			cmp.Compare(len(c.Runs), len(best.Runs)), cmp.Compare(c.free.Weight(), best.free.Weight()),
		) < 0 {
			best, bestLoss = c, loss
		}
	}
	return best
}

// needsOldWorker reports whether the unit waits for workers that have not started lately. Two crashes may be by chance;
// a third one must say something about the task.
func (u *unit) needsOldWorker() bool { return u.crashes > 1 }

// lossOf returns the cost of the work that a crash of the worker would lose.
func (p *pass) lossOf(c *candidate) int64 {
	loss := int64(0)
	for _, a := range c.Runs {
		loss += p.costOf(a)
	}
	return loss
}
