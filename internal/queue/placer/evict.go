package placer

import (
	"cmp"
	"slices"
	"time"
)

// victim is a run of lower priority that may be evicted.
type victim struct {
	run  *ActiveRun
	cost int64 // lost work in thousandths of processors times seconds
}

// minRemaining is the shortest remaining time at which a run may be evicted; a run closer to its end is left
// to complete.
const minRemaining = 500 * time.Millisecond

// evict stops the cheapest set of lower-priority runs that frees enough capacity for a whole unit, and
// reserves that capacity. It returns the reserved allocations, or nil if there is no such set.
func (p *pass) evict(u *unit, domains [][]*candidate) []allocation {
	best := p.planEviction(u, domains)
	if best == nil {
		return nil
	}
	for _, a := range best.runs {
		p.stop(a, u.key())
	}
	allocations, ok := u.pack(best.domain, func(c *candidate) Vector { return c.projected })
	if !ok {
		return nil
	}
	p.reserveCapacity(u, allocations)
	return allocations
}

// isWholePool reports whether domains are the whole pool of a unit as one domain.
func (p *pass) isWholePool(u *unit, domains [][]*candidate) bool {
	return len(domains) == 1 && len(domains[0]) == len(p.pools[u.pool])
}

// planEviction returns the cheapest eviction for a whole unit, nil if there is none.
func (p *pass) planEviction(u *unit, domains [][]*candidate) *eviction {
	s := p.newSearch(u, domains)
	if p.isInfeasible(s) {
		return nil
	}
	var best *eviction
	for _, d := range rankDomains(u, domains) {
		e := p.planDomain(u, d)
		if e != nil && (best == nil || e.cost < best.cost) {
			best = e
		}
	}
	if best == nil {
		p.addInfeasible(s)
	}
	return best
}

// maxDomains limits the domains searched per eviction, so that the cost of a pass does not grow with the
// square of the number of workers.
const maxDomains = 12

// rankDomains returns the maxDomains domains in which the most members fit without eviction.
func rankDomains(u *unit, domains [][]*candidate) [][]*candidate {
	if len(domains) <= maxDomains {
		return domains
	}
	type ranked struct {
		domain []*candidate
		fits   int
	}
	var list []ranked
	for _, d := range domains {
		r := ranked{domain: d}
		for _, c := range d {
			if u.mayUse(c) {
				r.fits += c.projected.Fits(u.need, u.maxPerWorker(len(u.tasks)))
			}
		}
		list = append(list, r)
	}
	slices.SortStableFunc(list, func(a, b ranked) int { return cmp.Compare(b.fits, a.fits) })
	best := make([][]*candidate, 0, maxDomains)
	for _, r := range list[:maxDomains] {
		best = append(best, r.domain)
	}
	return best
}

// addInfeasible records a unit that no eviction could fit.
func (p *pass) addInfeasible(s search) {
	if len(p.infeasible) < maxFailures {
		p.infeasible = append(p.infeasible, s)
	}
}

// isInfeasible reports whether eviction already failed in this pass for a unit that needs no more than this
// one and may use all workers that this one may use. The set of runs that can be evicted only shrinks during a
// pass.
func (p *pass) isInfeasible(s search) bool {
	u := s.unit
	return slices.ContainsFunc(p.infeasible, func(failed search) bool {
		earlier := failed.unit
		return !earlier.excludesMoreThan(u) && (earlier.reclaims() || !u.reclaims()) && earlier.pool == u.pool &&
			earlier.job.Work.GetPriority() <= u.job.Work.GetPriority() && len(earlier.tasks) <= len(u.tasks) &&
			u.need.covers(earlier.need) && earlier.step.Spec.GetLabel() == "" &&
			(s.racks || !failed.racks) && earlier.step.Spec.GetSpread() == 0
	})
}

// excludesMoreThan reports whether mayUse excludes workers for u that it allows for v, because of their health or age, or of
// trials.
func (u *unit) excludesMoreThan(v *unit) bool {
	return u.needsOldWorker && !v.needsOldWorker || u.startsAlone() && !v.startsAlone() || u.provenSince.After(v.provenSince) ||
		u.lastAttempt && !v.lastAttempt || !u.incautious && v.incautious || u.step.Spec.GetGang() && !v.step.Spec.GetGang() ||
		!u.overLimit && v.overLimit || u.isDeciding() && !v.isDeciding()
}

// stop adds a run to the plan's stops, in favour of a step, and counts its resources as projected capacity.
func (p *pass) stop(a *ActiveRun, beneficiary StepKey) {
	if a.Stopping {
		return
	}
	p.removeProtected(a)
	a.Stopping = true
	p.plan.Stops = append(p.plan.Stops, a)
	p.plan.StoppedFor = append(p.plan.StoppedFor, beneficiary)
	c := p.workerOf[a]
	c.projected = c.projected.Add(a.Need)
	p.raise(c)
}

// eviction is a set of runs whose stop frees enough capacity in one domain.
type eviction struct {
	domain   []*candidate
	cost     int64
	runs     []*ActiveRun
	selected map[*ActiveRun]bool
}

// evictionState is a worker in the eviction that is planned.
type evictionState struct {
	eviction *eviction       // nil if the worker is in none
	free     Vector          // once the selected runs have ended
	option   *evictionOption // cached until a run on the worker is selected, nil if unknown
}

// forgetOptions drops what is cached about the workers.
func (e *eviction) forgetOptions() {
	for _, c := range e.domain {
		c.state.option = nil
	}
}

// evictionOption is the cheapest set of runs on a worker whose stop makes at least one more member fit.
type evictionOption struct {
	runs     []*ActiveRun
	cost     int64
	feasible bool // there is such a set
}

// planDomain selects runs to stop in one domain: greedily, the cheapest option for one more member each
// time.
func (p *pass) planDomain(u *unit, domain []*candidate) *eviction {
	e := &eviction{domain: domain, selected: map[*ActiveRun]bool{}}
	p.visit(len(domain))
	fits := 0
	limit := u.maxPerWorker(len(u.tasks))
	for _, c := range domain {
		if u.mayUse(c) {
			c.state = evictionState{eviction: e, free: c.projected}
			fits += c.projected.Fits(u.need, limit)
		}
	}
	for fits < len(u.tasks) {
		cheapest := p.cheapestOption(u, e, limit)
		if cheapest == nil {
			return nil
		}
		e.cost += cheapest.cost
		for _, a := range cheapest.runs {
			fits += p.selectGang(u, e, a, limit)
		}
	}
	return e
}

// selectGang adds a run and the rest of its gang to an eviction. It returns the number of additional members
// of the unit that fit.
func (p *pass) selectGang(u *unit, e *eviction, a *ActiveRun, limit int) int {
	fits := 0
	for _, member := range p.gangOf(a) {
		if e.selected[member] || member.Stopping {
			continue
		}
		e.selected[member] = true
		if member.Step.Spec.GetLasting() || isUrgent(member.Job) {
			e.forgetOptions() // which may hold other tasks of the step or the organisation
		}
		e.runs = append(e.runs, member)
		c := p.workerOf[member]
		if c.state.eviction != e {
			continue
		}
		free := c.state.free
		c.state.option, c.state.free = nil, free.Add(member.Need)
		fits += c.state.free.Fits(u.need, limit) - free.Fits(u.need, limit)
	}
	return fits
}

// cheapestOption returns the feasible option with the lowest cost over all workers of the domain, or nil.
func (p *pass) cheapestOption(u *unit, e *eviction, limit int) *evictionOption {
	var best *evictionOption
	p.visit(len(e.domain))
	for _, c := range e.domain {
		if c.state.eviction != e {
			continue
		}
		o := c.state.option
		if o == nil {
			o = p.newOption(u, e, c, c.state.free, limit)
			c.state.option = o
		}
		if o.feasible && (best == nil || o.cost < best.cost) {
			best = o
		}
	}
	return best
}

func (p *pass) newOption(u *unit, e *eviction, c *candidate, free Vector, limit int) *evictionOption {
	o := &evictionOption{}
	p.visit(1 + visitsPerRun*len(c.Runs))
	fits := free.Fits(u.need, limit)
	if fits >= limit {
		return o
	}
	for _, v := range p.victims(u, e, c) {
		if !p.mayTake(v.run, e, o.runs) {
			continue
		}
		o.runs = append(o.runs, v.run)
		o.cost += v.cost
		free = free.Add(v.run.Need)
		if free.Fits(u.need, limit) > fits {
			o.feasible = true
			return o
		}
	}
	return o
}

// victims lists the runs on a worker that may be evicted for a unit, cheapest first.
func (p *pass) victims(u *unit, e *eviction, c *candidate) []victim {
	var list []victim
	for _, a := range c.Runs {
		if a.Stopping || e.selected[a] {
			continue
		}
		switch {
		case !a.Step.Spec.GetLasting() && a.Job.Work.GetPriority() > u.job.Work.GetPriority():
			if a.Remaining >= minRemaining {
				list = append(list, victim{a, p.costOf(a)})
			}
		case p.isReclaimable(u, a):
			list = append(list, victim{a, p.costOf(a) + reclaimPenalty})
		}
	}
	sortVictims(list)
	return list
}

// gangOf returns the runs that end when a run is stopped: all members of its gang, or just the run.
func (p *pass) gangOf(a *ActiveRun) []*ActiveRun {
	if !a.Step.Spec.GetGang() {
		return []*ActiveRun{a}
	}
	return p.gangs[a.Step]
}

// costOf returns the cost of the work lost by stopping a run and its gang.
func (p *pass) costOf(a *ActiveRun) int64 {
	cost, known := p.costs[a]
	if !known {
		for _, member := range p.gangOf(a) {
			cost += member.Need.Weight() * p.input.Preemption.lostTime(member).Milliseconds() / 1000
		}
		p.costs[a] = cost
	}
	return cost
}

func sortVictims(victims []victim) {
	slices.SortStableFunc(victims, func(a, b victim) int { return cmp.Compare(a.cost, b.cost) })
}
