package placer

import (
	"cmp"
	"maps"
)

// placeTasks starts as many tasks of a unit that is no gang as fit.
func (p *pass) placeTasks(u *unit) { p.placeCounted(u, p.runsPerWorker(u)) }

// placeCounted is placeTasks with the number of the step's runs on each worker, those that start in this pass included.
func (p *pass) placeCounted(u *unit, counts map[string]int) {
	var last *candidate // on which the previous task has started
	for i, task := range u.tasks {
		if len(p.plan.Starts) >= maxStarts {
			return
		}
		if p.isSpent() {
			p.block(u.key(), SearchLimit)
			return
		}
		c := p.selectNextWorker(u, counts, last)
		last = c
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
	if !u.urgent || len(p.reservedWorkers) == 0 {
		return false
	}
	c := p.packTask(u, counts, &p.noProjected, projectedOf)
	return c != nil && u.isExcludedFrom(c)
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
	if !u.urgent || p.isInfeasible(search{unit: u.single()}) {
		return false
	}
	return p.packTask(u, counts, &p.noProjected, projectedOf) != nil || p.planTaskEviction(u.single(), counts) != nil
}

// single returns a unit of one of the tasks.
func (u *unit) single() *unit {
	v := *u
	v.tasks = u.tasks[:1]
	return &v
}

func projectedOf(c *candidate) Vector { return c.projected }

// packTask returns the worker on which one task of the unit is packed, nil if it fits on none.
func (p *pass) packTask(u *unit, counts map[string]int, f *failures, free func(*candidate) Vector) *candidate {
	return p.searchTask(u, counts, f, func(candidates []*candidate) *candidate {
		allocations, ok := u.single().pack(candidates, free)
		if !ok {
			return nil
		}
		return allocations[0].candidate
	})
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
	p.visit(2 * len(p.pools[u.pool]))
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
	return p.searchTask(u, counts, &p.noRoom, func(candidates []*candidate) *candidate {
		var best, regardless *candidate
		for _, c := range candidates {
			if c.available(u).Fits(u.need, 1) == 0 {
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
	})
}

// selectNextWorker is selectWorker after a task of the unit has started on a worker. The worker had the least free capacity, and
// has still less, so it is selected again if the next task fits there.
func (p *pass) selectNextWorker(u *unit, counts map[string]int, last *candidate) *candidate {
	if last != nil && u.neighbours == nil && !p.exhaustive && u.canStartOn(last, counts) && last.available(u).Fits(u.need, 1) > 0 {
		p.visit(1)
		return last
	}
	return p.selectWorker(u, counts)
}

// evictForTask reserves capacity for one urgent task, evicting runs if necessary. It reports false if that is
// not possible.
func (p *pass) evictForTask(u *unit, counts map[string]int) bool {
	single := u.single()
	obstacle := StopsPending
	c := p.packTask(single, counts, &p.noProjected, projectedOf)
	if c == nil && p.mayAwaitEnds(single) {
		if c = p.packTask(single, counts, &p.noEnds, p.projectedAfterStop); c != nil {
			p.awaitEnds(single)
			obstacle = EndsPending
		}
	}
	if c == nil {
		c = p.evictTask(single, counts)
	}
	if c == nil {
		return false
	}
	p.reserveCapacity(single, []allocation{{c, 1}})
	p.block(u.key(), obstacle)
	counts[c.ID]++
	p.countStart(u, c)
	return true
}
