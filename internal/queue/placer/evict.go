package placer

import (
	"cmp"
	"slices"
	"time"
)

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
	if p.isInVain(u) {
		return false
	}
	var best *eviction
	for _, d := range mostRoom(u, domains) {
		e := p.tryEvict(u, d)
		if e != nil && (best == nil || e.cost < best.cost) {
			best = e
		}
	}
	if best == nil {
		p.inVain = append(p.inVain, u)
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

// maxDomains bounds the sets of workers that are searched for room to make, so that the cost of a pass
// does not grow with the square of the fleet.
const maxDomains = 12

// mostRoom returns the domains in which the most members have room already.
func mostRoom(u *unit, domains [][]*spot) [][]*spot {
	if len(domains) <= maxDomains {
		return domains
	}
	type ranked struct {
		domain []*spot
		fits   int
	}
	var list []ranked
	for _, d := range domains {
		r := ranked{domain: d}
		for _, s := range d {
			if u.suits(s.Worker) {
				r.fits += s.soon.Fits(u.need, u.perWorker(len(u.tasks)))
			}
		}
		list = append(list, r)
	}
	slices.SortStableFunc(list, func(a, b ranked) int { return cmp.Compare(b.fits, a.fits) })
	best := make([][]*spot, 0, maxDomains)
	for _, r := range list[:maxDomains] {
		best = append(best, r.domain)
	}
	return best
}

// isInVain reports whether an earlier unit of the pass that asked for no more found no way to make
// room. What can be stopped only grows less during a pass.
func (p *pass) isInVain(u *unit) bool {
	return slices.ContainsFunc(p.inVain, func(f *unit) bool {
		return f.pool == u.pool && f.job.Work.GetPriority() <= u.job.Work.GetPriority() && len(f.tasks) <= len(u.tasks) &&
			u.need.covers(f.need) && f.step.Spec.GetLabel() == "" &&
			(u.step.Spec.GetCompact() || !f.step.Spec.GetCompact()) && f.step.Spec.GetSpread() == 0
	})
}

// stop takes note of a run that is stopped; its room counts as coming soon.
func (p *pass) stop(a *Active) {
	if a.Stopping {
		return
	}
	a.Stopping = true
	p.plan.Stops = append(p.plan.Stops, a)
	s := p.at[a]
	s.soon = s.soon.Add(a.Need)
}

// eviction is a set of runs whose stop makes room in one domain.
type eviction struct {
	domain []*spot
	cost   int64
	order  []*Active
	chosen map[*Active]bool
	room   map[*spot]Vector
	offers map[*spot]*offer // what each worker would cost, until a run on it is chosen
}

// offer is the least loss for which one more member is seated on a worker.
type offer struct {
	runs   []*Active
	cost   int64
	seated bool // there is such a way
}

// tryEvict chooses runs to stop in one domain, the least cost for each member seated first.
func (p *pass) tryEvict(u *unit, domain []*spot) *eviction {
	e := &eviction{domain: domain, chosen: map[*Active]bool{}, room: map[*spot]Vector{}, offers: map[*spot]*offer{}}
	seated := 0
	limit := u.perWorker(len(u.tasks))
	for _, s := range domain {
		if u.suits(s.Worker) {
			e.room[s] = s.soon
			seated += s.soon.Fits(u.need, limit)
		}
	}
	for seated < len(u.tasks) {
		best := p.cheapest(u, e, limit)
		if best == nil {
			return nil
		}
		e.cost += best.cost
		for _, a := range best.runs {
			seated += p.add(u, e, a, limit)
		}
	}
	return e
}

// add adds a run, and the gang that ends with it, to an eviction. It returns how many members more
// are seated.
func (p *pass) add(u *unit, e *eviction, a *Active, limit int) int {
	seated := 0
	for _, member := range p.gangOf(a) {
		if e.chosen[member] || member.Stopping {
			continue
		}
		e.chosen[member] = true
		e.order = append(e.order, member)
		s := p.at[member]
		room, ok := e.room[s]
		if !ok {
			continue
		}
		delete(e.offers, s)
		e.room[s] = room.Add(member.Need)
		seated += e.room[s].Fits(u.need, limit) - room.Fits(u.need, limit)
	}
	return seated
}

// cheapest returns the offer of the worker on which one more member is seated for the least loss, nil
// when there is none.
func (p *pass) cheapest(u *unit, e *eviction, limit int) *offer {
	var best *offer
	for _, s := range e.domain {
		if _, ok := e.room[s]; !ok {
			continue
		}
		o := e.offers[s]
		if o == nil {
			o = p.offerOf(u, e, s, limit)
			e.offers[s] = o
		}
		if o.seated && (best == nil || o.cost < best.cost) {
			best = o
		}
	}
	return best
}

func (p *pass) offerOf(u *unit, e *eviction, s *spot, limit int) *offer {
	o := &offer{}
	r := e.room[s]
	have := r.Fits(u.need, limit)
	if have >= limit {
		return o
	}
	for _, v := range p.victims(u, e, s) {
		o.runs = append(o.runs, v.run)
		o.cost += v.cost
		r = r.Add(v.run.Need)
		if r.Fits(u.need, limit) > have {
			o.seated = true
			return o
		}
	}
	return o
}

// victims lists the runs on a worker that a unit may stop, the cheapest first. Tasks that last serve
// users of their own and are left alone.
func (p *pass) victims(u *unit, e *eviction, s *spot) []victim {
	var list []victim
	for _, a := range s.Runs {
		if a.Stopping || a.Step.Spec.GetLasting() || e.chosen[a] || a.Job.Work.GetPriority() <= u.job.Work.GetPriority() || a.Remaining < nearEnd {
			continue
		}
		list = append(list, victim{a, p.costOf(a)})
	}
	sortByCost(list)
	return list
}

// gangOf returns the runs that end when one run of a gang is stopped, the run itself included.
func (p *pass) gangOf(a *Active) []*Active {
	if !a.Step.Spec.GetGang() {
		return []*Active{a}
	}
	return p.gangs[a.Step]
}

// costOf returns what a stop of a run loses.
func (p *pass) costOf(a *Active) int64 {
	cost, known := p.costs[a]
	if !known {
		for _, member := range p.gangOf(a) {
			cost += member.Need.Weight() * member.Unsaved.Milliseconds() / 1000
		}
		p.costs[a] = cost
	}
	return cost
}

func sortByCost(victims []victim) {
	slices.SortStableFunc(victims, func(a, b victim) int { return cmp.Compare(a.cost, b.cost) })
}
