package placer

import (
	"cmp"
	"maps"
)

// placeTasks starts as many tasks of a unit that is no gang as fit.
func (p *pass) placeTasks(u *unit) { p.placeCounted(u, p.runsPerWorker(u)) }

// placeCounted is placeTasks with the number of the step's runs on each worker, those that start in this pass included.
func (p *pass) placeCounted(u *unit, counts map[string]int) {
	for i, task := range u.tasks {
		if len(p.plan.Starts) >= maxStarts {
			return
		}
		c := p.selectWorker(u, counts)
		switch {
		case c != nil:
			if u.neighbours != nil && u.neighbours.apart {
				p.plan.Apart++
			}
			counts[c.ID]++
			p.start(u, task, c)
		case p.waitsForReserved(u, counts) && p.placeRelaxedTasks(u, u.tasks[i:], counts):
			return
		case p.startRelaxedTasks(u, u.tasks[i:], counts):
			return
		case u.urgent && p.evictForTask(u, counts): // capacity is reserved for the task
		default:
			p.placeRelaxedTasks(u, u.tasks[i:], counts)
			return
		}
	}
}

// waitsForReserved reports whether an urgent task would wait for a worker that is reserved for an earlier gang.
func (p *pass) waitsForReserved(u *unit, counts map[string]int) bool {
	if !u.urgent || p.reservations == 0 {
		return false
	}
	single, candidates := p.singleTask(u, counts)
	allocations, ok := single.pack(candidates, func(c *candidate) Vector { return c.projected })
	return ok && single.usesReserved(allocations)
}

// placeRelaxedTasks places tasks of a unit without preferences for which it has waited long enough. It reports false if
// there are none.
func (p *pass) placeRelaxedTasks(u *unit, tasks []int32, counts map[string]int) bool {
	rest := *u
	rest.tasks = tasks
	v := p.relax(&rest, func(v *unit) bool { return p.selectWorker(v, counts) != nil || p.canEvictForTask(v, counts) })
	if v != nil {
		p.placeCounted(v, counts)
	}
	return v != nil
}

// startRelaxedTasks starts tasks of a unit that no longer waits for stops. It reports false if it starts none.
func (p *pass) startRelaxedTasks(u *unit, tasks []int32, counts map[string]int) bool {
	v := p.relaxOverdue(u, func(v *unit) bool { return p.selectWorker(v, counts) != nil })
	if v == nil {
		return false
	}
	v.tasks = tasks
	p.placeCounted(v, counts)
	return true
}

// canEvictForTask reports whether evictions can make room for one task of an urgent unit.
func (p *pass) canEvictForTask(u *unit, counts map[string]int) bool {
	single, candidates := p.singleTask(u, counts)
	return u.urgent && p.planEviction(single, [][]*candidate{candidates}) != nil
}

// singleTask returns a unit of one of the tasks, and the workers that it may use.
func (p *pass) singleTask(u *unit, counts map[string]int) (*unit, []*candidate) {
	single := *u
	single.tasks = u.tasks[:1]
	var candidates []*candidate
	for _, c := range p.pools[u.pool] {
		if u.canStartOn(c, counts) {
			candidates = append(candidates, c)
		}
	}
	return &single, candidates
}

// countStart counts a start or a reservation of a task of a step that limits them for each worker.
func (p *pass) countStart(u *unit, c *candidate) {
	if u.step.Spec.GetSpread() == 0 {
		return
	}
	if p.startsOf[u.step] == nil {
		p.startsOf[u.step] = map[string]int{}
	}
	p.startsOf[u.step][c.ID]++
}

// runsPerWorker counts the runs of the unit's step on each worker, and the starts and reservations of other units of the step in
// this pass. It counts only if the step limits them.
func (p *pass) runsPerWorker(u *unit) map[string]int {
	if u.step.Spec.GetSpread() == 0 {
		return map[string]int{}
	}
	counts := maps.Clone(p.startsOf[u.step])
	if counts == nil {
		counts = map[string]int{}
	}
	for _, c := range p.pools[u.pool] {
		for _, a := range c.Runs {
			if a.Step == u.step {
				counts[c.ID]++
			}
		}
	}
	return counts
}

func (u *unit) canStartOn(c *candidate, counts map[string]int) bool {
	spread := int(u.step.Spec.GetSpread())
	return u.mayUse(c) && (u.incautious || !c.Probed || !c.assigned) && (spread == 0 || counts[c.ID] < spread)
}

// selectWorker returns the worker with the least free capacity on which a task fits, preferring the rack of
// its data, then workers that are not cold, and then those without interference.
func (p *pass) selectWorker(u *unit, counts map[string]int) *candidate {
	rack := u.step.Spec.GetRack()
	// slowdowns is the order by interference.
	compare := func(a, b *candidate, slowdowns int) int {
		return cmp.Or(
			compareBool(a.Suspect, b.Suspect), compareBool(a.closed, b.closed),
			compareBool(rack != "" && a.Rack != rack, rack != "" && b.Rack != rack),
			compareBool(a.Cold, b.Cold),
			slowdowns,
			cmp.Compare(a.free.Accelerators, b.free.Accelerators),
			cmp.Compare(a.free.Weight(), b.free.Weight()),
		)
	}
	var best, regardless *candidate
	for _, c := range p.pools[u.pool] {
		if !u.canStartOn(c, counts) || c.available(u).Fits(u.need, 1) == 0 {
			continue
		}
		if best == nil || compare(c, best, u.compareSlowdowns(c, best)) < 0 {
			best = c
		}
		if u.neighbours != nil && (regardless == nil || compare(c, regardless, 0) < 0) {
			regardless = c
		}
	}
	u.recordChoice(best, regardless)
	return best
}

// evictForTask reserves capacity for one urgent task, evicting runs if necessary. It reports false if that is
// not possible.
func (p *pass) evictForTask(u *unit, counts map[string]int) bool {
	single, candidates := p.singleTask(u, counts)
	domains := [][]*candidate{candidates}
	obstacle := StopsPending
	allocations, ok := single.pack(candidates, func(c *candidate) Vector { return c.projected })
	if ok {
		p.reserveCapacity(single, allocations)
	} else if allocations = p.reserveEnds(single, domains); allocations != nil {
		obstacle = EndsPending
	} else if allocations = p.evict(single, domains); allocations == nil {
		return false
	}
	p.block(u.key(), obstacle)
	counts[allocations[0].candidate.ID]++
	p.countStart(u, allocations[0].candidate)
	return true
}
