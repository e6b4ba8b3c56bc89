package placer

import (
	"cmp"
)

// placeTasks starts the tasks of a unit that need not run together, as many as have room.
func (p *pass) placeTasks(u *unit) {
	onWorker := p.spreadOf(u)
	for _, task := range u.tasks {
		s := p.spotFor(u, onWorker)
		if s == nil {
			if u.urgent && p.evictForTask(u, onWorker) {
				continue
			}
			return
		}
		onWorker[s.ID]++
		p.start(u, task, s)
	}
}

// spreadOf counts the runs of a unit's step on each worker, when their number is bounded.
func (p *pass) spreadOf(u *unit) map[string]int {
	count := map[string]int{}
	if u.step.Spec.GetSpread() == 0 {
		return count
	}
	for _, s := range p.pools[u.pool] {
		for _, a := range s.Runs {
			if a.Step == u.step {
				count[s.ID]++
			}
		}
	}
	return count
}

func (u *unit) mayTake(s *spot, onWorker map[string]int) bool {
	spread := int(u.step.Spec.GetSpread())
	return u.suits(s.Worker) && (!s.Probed || !s.taken) && (spread == 0 || onWorker[s.ID] < spread)
}

// spotFor returns the worker that a task leaves the least room on, near its data if possible.
func (p *pass) spotFor(u *unit, onWorker map[string]int) *spot {
	rack := u.step.Spec.GetRack()
	var best *spot
	for _, s := range p.pools[u.pool] {
		if !u.mayTake(s, onWorker) || s.usable(u).Fits(u.need, 1) == 0 {
			continue
		}
		if best == nil || cmp.Or(
			compareBool(s.Suspect, best.Suspect),
			compareBool(rack != "" && s.Rack != rack, rack != "" && best.Rack != rack),
			cmp.Compare(s.free.Accelerators, best.free.Accelerators),
			cmp.Compare(s.free.Weight(), best.free.Weight()),
		) < 0 {
			best = s
		}
	}
	return best
}

// evictForTask makes room for one urgent task. It reports false when that is not possible.
func (p *pass) evictForTask(u *unit, onWorker map[string]int) bool {
	one := *u
	one.tasks = u.tasks[:1]
	var spots []*spot
	for _, s := range p.pools[u.pool] {
		if u.mayTake(s, onWorker) {
			spots = append(spots, s)
		}
	}
	if seats, ok := one.fill(spots, func(s *spot) Vector { return s.soon }); ok {
		reserve(&one, seats)
		onWorker[seats[0].spot.ID]++
		return true
	}
	if !p.evict(&one, [][]*spot{spots}) {
		return false
	}
	return true
}
