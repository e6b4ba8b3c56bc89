package placer

// taskOptions holds the cheapest eviction for a single task on each worker, for units that differ in nothing that it depends on.
type taskOptions struct {
	key            taskOptionsKey
	protectedStops int
	list           []taskOption // by index of the worker
}

// taskOptionsKey is what the eviction for a task depends on, the state of the workers aside.
type taskOptionsKey struct {
	need         Vector
	priority     int32
	reclaims     bool
	organisation string // "" if the unit does not reclaim
}

// taskOption is valid until the capacity of the worker or the set of runs that may be stopped there changes.
type taskOption struct {
	*evictionOption
	projected Vector
	stops     int
}

func (o *taskOption) isValid(c *candidate) bool {
	return o.evictionOption != nil && o.projected == c.projected && o.stops == c.stops
}

// prepare drops what is not valid for the unit.
func (t *taskOptions) prepare(p *pass, u *unit) {
	key := taskOptionsKey{need: u.need, priority: u.job.Work.GetPriority(), reclaims: u.reclaims()}
	if key.reclaims {
		key.organisation = u.job.Work.GetOrganisation()
	}
	if t.list != nil && t.key == key && t.protectedStops == p.protectedStops {
		return
	}
	if t.list == nil {
		t.list = make([]taskOption, p.workers)
	}
	clear(t.list)
	t.key, t.protectedStops = key, p.protectedStops
}

// planTaskEviction returns the cheapest eviction for a single task that fits nowhere without one, nil if there is none.
func (p *pass) planTaskEviction(u *unit, counts map[string]int) *eviction {
	if p.exhaustive {
		return p.planEviction(u, [][]*candidate{p.candidatesOf(u, counts)})
	}
	s := search{unit: u}
	if p.isInfeasible(s) {
		return nil
	}
	p.options.prepare(p, u)
	p.visit(len(p.pools[u.pool]))
	e := &eviction{selected: map[*ActiveRun]bool{}}
	var best *evictionOption
	for _, c := range p.pools[u.pool] {
		o := &p.options.list[c.index]
		valid := o.isValid(c)
		if valid && (!o.feasible || best != nil && o.cost >= best.cost) || !u.canStartOn(c, counts) {
			continue
		}
		if !valid {
			*o = taskOption{p.newOption(u, e, c, c.projected, 1), c.projected, c.stops}
		}
		if o.feasible && (best == nil || o.cost < best.cost) {
			best = o.evictionOption
		}
	}
	if best == nil {
		p.addInfeasible(s)
		return nil
	}
	e.cost = best.cost
	for _, a := range best.runs {
		p.selectGang(u, e, a, 1)
	}
	return e
}

// evictTask stops the cheapest set of runs that makes room for a single task. It returns the worker, nil if there is no such set.
func (p *pass) evictTask(u *unit, counts map[string]int) *candidate {
	e := p.planTaskEviction(u, counts)
	if e == nil {
		return nil
	}
	for _, a := range e.runs {
		p.stop(a, u.key())
	}
	return p.packTask(u, counts, &p.noProjected, projectedOf)
}
