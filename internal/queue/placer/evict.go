package placer

import "time"

// victim is a run of lower priority that may be stopped.
type victim struct {
	run  *Active
	cost int64 // thousandths of processors times seconds that would be lost
}

// nearEnd is how soon a run must end by itself to be left alone.
const nearEnd = 500 * time.Millisecond

// evict stops the cheapest runs of lower priority that make room for a whole unit, and reserves
// the room. It reports false when no set of runs makes enough room.
func (p *pass) evict(u *unit, domains [][]*spot) bool {
	var best *eviction
	for _, d := range domains {
		e := p.tryEvict(u, d)
		if e != nil && (best == nil || e.cost < best.cost) {
			best = e
		}
	}
	if best == nil {
		return false
	}
	for _, a := range best.order {
		p.stop(a)
	}
	seats, ok := u.fill(best.domain, func(s *spot) Vector { return s.soon })
	if ok {
		reserve(u, seats)
	}
	return ok
}

// stop takes note of a run that is stopped; its room counts as coming soon.
func (p *pass) stop(a *Active) {
	if a.Stopping {
		return
	}
	a.Stopping = true
	p.plan.Stops = append(p.plan.Stops, a)
	for _, s := range p.workers {
		for _, b := range s.Runs {
			if b == a {
				s.soon = s.soon.Add(a.Need)
				return
			}
		}
	}
}

// eviction is a set of runs whose stop makes room in one domain.
type eviction struct {
	domain []*spot
	cost   int64
	order  []*Active
	chosen map[*Active]bool
}

// tryEvict chooses runs to stop in one domain, the least cost for each member seated first.
func (p *pass) tryEvict(u *unit, domain []*spot) *eviction {
	e := &eviction{domain: domain, chosen: map[*Active]bool{}}
	room := map[*spot]Vector{}
	seated := 0
	limit := u.perWorker(len(u.tasks))
	for _, s := range domain {
		if u.suits(s.Worker) {
			room[s] = s.soon
			seated += s.soon.Fits(u.need, limit)
		}
	}
	for seated < len(u.tasks) {
		s, victims, cost := p.cheapest(u, e, domain, room, limit)
		if s == nil {
			return nil
		}
		e.cost += cost
		for _, a := range victims {
			for _, member := range p.gangOf(a) {
				if e.chosen[member] || member.Stopping {
					continue
				}
				e.chosen[member] = true
				e.order = append(e.order, member)
				if at := spotOf(domain, member); at != nil && u.suits(at.Worker) {
					before := room[at].Fits(u.need, limit)
					room[at] = room[at].Add(member.Need)
					seated += room[at].Fits(u.need, limit) - before
				}
			}
		}
	}
	return e
}

func spotOf(domain []*spot, a *Active) *spot {
	for _, s := range domain {
		for _, b := range s.Runs {
			if a == b {
				return s
			}
		}
	}
	return nil
}

// cheapest returns the worker on which one more member is seated for the least loss, and the runs
// to stop there.
func (p *pass) cheapest(u *unit, e *eviction, domain []*spot, room map[*spot]Vector, limit int) (*spot, []*Active, int64) {
	var best *spot
	var bestRuns []*Active
	bestCost := int64(0)
	for _, s := range domain {
		r, ok := room[s]
		if !ok {
			continue
		}
		have := r.Fits(u.need, limit)
		if have >= limit {
			continue
		}
		var runs []*Active
		cost := int64(0)
		for _, v := range p.victims(u, e, s) {
			runs = append(runs, v.run)
			cost += v.cost
			r = r.Add(v.run.Need)
			if r.Fits(u.need, limit) > have {
				break
			}
		}
		if gained := r.Fits(u.need, limit) - have; gained > 0 && (best == nil || cost < bestCost) {
			best, bestRuns, bestCost = s, runs, cost
		}
	}
	return best, bestRuns, bestCost
}

// victims lists the runs on a worker that a unit may stop, the cheapest first. Tasks that last serve
// users of their own and are left alone.
func (p *pass) victims(u *unit, e *eviction, s *spot) []victim {
	var list []victim
	for _, a := range s.Runs {
		if a.Stopping || a.Step.Spec.GetLasting() || e.chosen[a] || a.Job.Work.GetPriority() <= u.job.Work.GetPriority() || a.Remaining < nearEnd {
			continue
		}
		cost := int64(0)
		for _, member := range p.gangOf(a) {
			cost += member.Need.Weight() * member.Unsaved.Milliseconds() / 1000
		}
		list = append(list, victim{a, cost})
	}
	sortByCost(list)
	return list
}
