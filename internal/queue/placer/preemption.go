package placer

import "time"

// Preemption holds the times that a stop for urgent work takes from the work that is stopped.
type Preemption struct {
	Restore time.Duration // time in which a run that resumes from a checkpoint makes no progress; 0 turns preemption costs off
	Stop    time.Duration // longest time from a stop order to the end of the run
}

// Enabled reports whether stops are weighed by more than the unsaved work.
func (p Preemption) Enabled() bool { return p.Restore > 0 }

// lostTime returns the run time that a stop of the run would waste.
func (p Preemption) lostTime(a *ActiveRun) time.Duration {
	switch {
	case !p.Enabled():
		return a.Unsaved
	case a.Step.Spec.GetCheckpoints():
		// The stop writes a checkpoint, but the time in which the gang formed or the run resumed is spent again.
		return a.Unsaved + p.Restore + min(a.Held, p.Restore)
	}
	// A leader that has just been elected has seen the run for less time than it has lasted.
	return max(a.Unsaved, a.Held)
}

// PrefersEnds is the preference of an urgent unit that waits for runs to end by themselves instead of stopping some.
const PrefersEnds = "runs that end soon"

const (
	// endWaitFactor is the longest wait for runs to end by themselves, as a multiple of the time that a stop takes.
	endWaitFactor = 2
	// maxEndWait limits that wait where stops are slow: urgent gangs run for 2 s.
	maxEndWait = time.Second
)

// reserveEnds reserves capacity for an urgent unit that fits without a stop once runs have ended that are expected to end no
// later than a stop would take, and returns it. It returns nil if there is none, if the unit has waited long enough, as the
// estimate of a stuck run stays short for ever, or if a stop after such a wait could make it late.
func (p *pass) reserveEnds(u *unit, domains [][]*candidate) []allocation {
	if !p.mayAwaitEnds(u) {
		return nil
	}
	allocations := p.bestFit(u, domains, p.projectedAfterStop)
	if allocations == nil {
		return nil
	}
	p.reserveCapacity(u, allocations)
	p.awaitEnds(u)
	return allocations
}

// mayAwaitEnds reports whether the unit may wait for runs to end by themselves instead of stopping some.
func (p *pass) mayAwaitEnds(u *unit) bool {
	stop := p.input.Preemption.Stop
	limit := min(endWaitFactor*stop, maxEndWait)
	if !p.input.Preemption.Enabled() || p.input.Waited(u.key()).Deferred >= limit {
		return false
	}
	return u.objective <= 0 || u.age+u.estimate+limit+stop <= u.objective
}

// awaitEnds records that the unit waits for runs to end by themselves.
func (p *pass) awaitEnds(u *unit) {
	p.plan.Deferred = append(p.plan.Deferred, Deferral{Key: u.key(), Preferred: PrefersEnds})
	p.block(u.key(), EndsPending)
}

// projectedAfterStop returns the projected capacity after the time that a stop takes.
func (p *pass) projectedAfterStop(c *candidate) Vector {
	p.visit(1 + len(c.Runs))
	return c.projectedAfter(p.input.Preemption.Stop)
}

// projectedAfter returns the projected capacity once the runs have ended that are expected to within the limit.
func (c *candidate) projectedAfter(limit time.Duration) Vector {
	v := c.projected
	for _, a := range c.Runs {
		if !a.Stopping && a.Remaining <= limit {
			v = v.Add(a.Need)
		}
	}
	return v
}
