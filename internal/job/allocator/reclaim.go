package allocator

import "slices"

// placeByEviction places the subgang in an open cell and evicts the borrowed work in it.
func (t *placementAttempt) placeByEviction(sg subgang) bool {
	best := candidate{}
	for _, p := range t.pools {
		eachCellByBestFit(&p.open, sg.level, func(first int) bool {
			if !t.evictsUrgent(p, first, sg) {
				t.compare(&best, p, first, sg)
			}
			return best.seen < maxCandidates
		})
	}
	if best.pool == nil {
		return false
	}
	t.claimSlots(best.pool, best.first, sg)
	return true
}

// evictsUrgent reports whether the subgang would evict urgent work, or use slots already claimed by its own
// grant. Without the check, two urgent jobs could evict each other from the same slots forever.
func (t *placementAttempt) evictsUrgent(p *pool, first int, sg subgang) bool {
	found := false
	t.eachRun(first, sg, func(start, n int) {
		for _, s := range p.slots[start : start+n] {
			for _, id := range []GrantID{s.owner, s.claim} {
				g := t.fleet.grants[id]
				found = found || g != nil && (g.urgent || id == t.grant.ID)
			}
		}
	})
	return found
}

// candidate is the cheapest cell found so far.
type candidate struct {
	pool           *pool
	first          int
	guaranteedCell int // index of the unbound guaranteed cell to bind
	bindFirst      int // first slot of the physical cell to bind it to
	cost           float64
	seen           int // cells compared
}

// compare replaces best with the given cell if less work would be lost there.
func (t *placementAttempt) compare(best *candidate, p *pool, first int, sg subgang) {
	best.seen++
	if t.overlapsAvoided(p, first, sg) || !t.evict && !t.vacant(p, first, sg) {
		return
	}
	cost := t.reclaimCost(p, first, sg)
	if best.pool == nil || cost < best.cost {
		best.pool, best.first, best.cost = p, first, cost
	}
}

// vacant reports whether the slots that the subgang needs have no owner and no claim.
func (t *placementAttempt) vacant(p *pool, first int, sg subgang) bool {
	vacant := true
	t.eachRun(first, sg, func(start, n int) {
		for _, s := range p.slots[start : start+n] {
			vacant = vacant && s.owner == 0 && s.claim == 0
		}
	})
	return vacant
}

// placeInGuarantee places the subgang in a cell of the organisation's guarantee. It chooses the one with the
// lowest reclaim cost and, at equal cost, prefers a bound cell over binding another one.
func (t *placementAttempt) placeInGuarantee(sg subgang) bool {
	best := candidate{}
	for _, i := range t.fleet.cellsByOrg[t.request.Org] {
		gc := t.fleet.guaranteedCells[i]
		if gc.pool != nil && t.canUse(gc, sg) && slices.Contains(t.pools, gc.pool) {
			t.compareBound(&best, gc, sg)
		}
	}
	if best.pool != nil && best.cost == 0 {
		t.claimSlots(best.pool, best.first, sg)
		return true
	}
	unbound := candidate{}
	if t.split {
		unbound = t.cheapestUnbound(sg)
	}
	if unbound.pool != nil && (best.pool == nil || unbound.cost < best.cost) {
		return t.bindAndClaim(unbound, sg)
	}
	if best.pool == nil {
		return false
	}
	t.claimSlots(best.pool, best.first, sg)
	return true
}

func (t *placementAttempt) canUse(gc *guaranteedCell, sg subgang) bool {
	return gc.guarantee.Org == t.request.Org && gc.guarantee.Service == t.request.Service &&
		int(gc.guarantee.Level) >= sg.level
}

// compareBound compares the cells inside a bound guaranteed cell that hold only free or borrowed slots.
func (t *placementAttempt) compareBound(best *candidate, gc *guaranteedCell, sg subgang) {
	size := 1 << sg.level
	for first := gc.first; first < gc.first+1<<gc.guarantee.Level; first += size {
		if t.reclaimableRange(gc.pool, first, size) {
			t.compare(best, gc.pool, first, sg)
		}
	}
}

func (t *placementAttempt) reclaimableRange(p *pool, first, size int) bool {
	f := t.fleet
	for i := first; i < first+size; i++ {
		index := i / f.geometry.Slots
		usable := p.usable[index] && i%f.geometry.Slots < p.width[index]
		if !usable || !f.reclaimable(p.slots[i].owner) || !f.reclaimable(p.slots[i].claim) {
			return false
		}
	}
	return true
}

// cheapestUnbound returns the cheapest cell for the smallest unbound guaranteed cell that fits the subgang.
func (t *placementAttempt) cheapestUnbound(sg subgang) candidate {
	best := candidate{}
	tried := map[Guarantee]bool{}
	for level := sg.level; level <= int(t.fleet.geometry.MaxLevel()) && best.pool == nil; level++ {
		for _, i := range t.fleet.cellsByOrg[t.request.Org] {
			gc := t.fleet.guaranteedCells[i]
			if gc.pool != nil || int(gc.guarantee.Level) != level || !t.canUse(gc, sg) || tried[gc.guarantee] {
				continue
			}
			tried[gc.guarantee] = true
			t.compareBindings(&best, gc, sg, i)
		}
	}
	return best
}

func (t *placementAttempt) compareBindings(best *candidate, gc *guaranteedCell, sg subgang, index int) {
	for _, p := range t.pools {
		if !p.canHost(gc.guarantee) {
			continue
		}
		seen := 0
		eachCellByBestFit(&p.open, int(gc.guarantee.Level), func(base int) bool {
			t.compareWithin(best, gc, p, base, sg, index)
			seen++
			return seen < maxCandidates
		})
	}
}

// compareWithin compares the positions of the subgang inside one cell that a guaranteed cell could be bound to.
func (t *placementAttempt) compareWithin(best *candidate, gc *guaranteedCell, p *pool, base int, sg subgang, index int) {
	size := 1 << sg.level
	inside := *best
	for first := base; first < base+1<<gc.guarantee.Level; first += size {
		t.compare(&inside, p, first, sg)
	}
	if inside.pool != best.pool || inside.first != best.first {
		inside.guaranteedCell, inside.bindFirst = index, base
	}
	*best = inside
}

// bindAndClaim binds the chosen guaranteed cell and claims the slots of the subgang. If binding the cheapest
// cell would make the other guarantees infeasible, it binds the best-fit cell instead, which never does.
func (t *placementAttempt) bindAndClaim(c candidate, sg subgang) bool {
	f := t.fleet
	feasible := f.Feasible()
	f.bind(c.guaranteedCell, c.pool, c.bindFirst)
	if feasible && !f.Feasible() {
		f.unbind(f.guaranteedCells[c.guaranteedCell])
		first, ok := c.pool.open.bestFit(int(f.guaranteedCells[c.guaranteedCell].guarantee.Level))
		if !ok || t.overlapsAvoided(c.pool, first, sg) || !t.evict && !t.vacant(c.pool, first, sg) {
			return false
		}
		f.bind(c.guaranteedCell, c.pool, first)
		c.first = first
		if !f.Feasible() {
			f.unbind(f.guaranteedCells[c.guaranteedCell])
			return false
		}
	}
	t.claimSlots(c.pool, c.first, sg)
	return true
}
