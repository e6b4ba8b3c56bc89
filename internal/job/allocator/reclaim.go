package allocator

import "slices"

// takeEvicting puts the piece on a cell of the open set, whose borrowed work is taken back.
func (t *placing) takeEvicting(pc piece) bool {
	best := cellChoice{}
	for _, p := range t.pools {
		eachCell(&p.open, pc.level, func(first int) bool {
			if !t.holdsUrgent(p, first, pc) {
				t.weigh(&best, p, first, pc)
			}
			return best.seen < maxCandidates
		})
	}
	if best.pool == nil {
		return false
	}
	t.mark(best.pool, best.first, pc)
	return true
}

// holdsUrgent reports whether the piece would take room back from urgent work. Two urgent jobs
// would otherwise take the same room from each other for ever.
func (t *placing) holdsUrgent(p *pool, first int, pc piece) bool {
	found := false
	t.eachRun(first, pc, func(start, n int) {
		for _, s := range p.slots[start : start+n] {
			for _, id := range []GrantID{s.owner, s.claim} {
				g := t.fleet.grants[id]
				found = found || g != nil && (g.urgent || id == t.grant.ID)
			}
		}
	})
	return found
}

// cellChoice keeps the cheapest cell seen.
type cellChoice struct {
	pool  *pool
	first int
	root  int // root to bind first, -1 for none
	base  int // first slot of the cell to bind it to
	cost  float64
	seen  int
}

// weigh compares one cell with the best one so far by the work that would be lost.
func (t *placing) weigh(best *cellChoice, p *pool, first int, pc piece) {
	best.seen++
	if t.avoided(p, first, pc) || !t.evict && !t.vacant(p, first, pc) {
		return
	}
	cost := t.reclaimCost(p, first, pc)
	if best.pool == nil || cost < best.cost {
		best.pool, best.first, best.cost = p, first, cost
	}
}

// vacant reports whether nothing runs or waits on the slots that the piece needs.
func (t *placing) vacant(p *pool, first int, pc piece) bool {
	vacant := true
	t.eachRun(first, pc, func(start, n int) {
		for _, s := range p.slots[start : start+n] {
			vacant = vacant && s.owner == 0 && s.claim == 0
		}
	})
	return vacant
}

// takeGuaranteed puts the piece into a cell of the organisation's guarantee, an already bound
// one before a new one, the cheapest to clear first.
func (t *placing) takeGuaranteed(pc piece) bool {
	best := cellChoice{}
	for _, i := range t.fleet.byOrg[t.request.Org] {
		r := t.fleet.roots[i]
		if r.pool != nil && t.mayUse(r, pc) && slices.Contains(t.pools, r.pool) {
			t.weighInside(&best, r, pc)
		}
	}
	if best.pool != nil && best.cost == 0 {
		t.mark(best.pool, best.first, pc)
		return true
	}
	fresh := cellChoice{}
	if t.split {
		fresh = t.weighUnbound(pc)
	}
	if fresh.pool != nil && (best.pool == nil || fresh.cost < best.cost) {
		return t.bindAndMark(fresh, pc)
	}
	if best.pool == nil {
		return false
	}
	t.mark(best.pool, best.first, pc)
	return true
}

func (t *placing) mayUse(r *root, pc piece) bool {
	return r.promise.Org == t.request.Org && r.promise.Service == t.request.Service &&
		int(r.promise.Level) >= pc.level
}

// weighInside weighs the cells inside a bound root that hold no guaranteed work.
func (t *placing) weighInside(best *cellChoice, r *root, pc piece) {
	size := 1 << pc.level
	for first := r.first; first < r.first+1<<r.promise.Level; first += size {
		if t.clearable(r.pool, first, size) {
			t.weigh(best, r.pool, first, pc)
		}
	}
}

func (t *placing) clearable(p *pool, first, size int) bool {
	f := t.fleet
	for i := first; i < first+size; i++ {
		index := i / f.shape.Slots
		usable := p.usable[index] && i%f.shape.Slots < p.width[index]
		if !usable || !f.reclaimable(p.slots[i].owner) || !f.reclaimable(p.slots[i].claim) {
			return false
		}
	}
	return true
}

// weighUnbound weighs the cells to which the smallest fitting unbound root could be bound.
func (t *placing) weighUnbound(pc piece) cellChoice {
	best := cellChoice{}
	tried := map[Guarantee]bool{}
	for level := pc.level; level <= int(t.fleet.shape.MaxLevel()) && best.pool == nil; level++ {
		for _, i := range t.fleet.byOrg[t.request.Org] {
			r := t.fleet.roots[i]
			if r.pool != nil || int(r.promise.Level) != level || !t.mayUse(r, pc) || tried[r.promise] {
				continue
			}
			tried[r.promise] = true
			t.weighBindings(&best, r, pc, i)
		}
	}
	return best
}

func (t *placing) weighBindings(best *cellChoice, r *root, pc piece, index int) {
	for _, p := range t.pools {
		if !p.carries(r.promise) {
			continue
		}
		seen := 0
		eachCell(&p.open, int(r.promise.Level), func(base int) bool {
			t.weighInCell(best, r, p, base, pc, index)
			seen++
			return seen < maxCandidates
		})
	}
}

// weighInCell weighs the places of the piece inside one cell to which a root could be bound.
func (t *placing) weighInCell(best *cellChoice, r *root, p *pool, base int, pc piece, index int) {
	size := 1 << pc.level
	inside := *best
	for first := base; first < base+1<<r.promise.Level; first += size {
		t.weigh(&inside, p, first, pc)
	}
	if inside.pool != best.pool || inside.first != best.first {
		inside.root, inside.base = index, base
	}
	*best = inside
}

// bindAndMark binds the chosen root. When the cheapest cell would break the packing of the
// other guarantees, the cell of best fit, which never does, is bound in its stead.
func (t *placing) bindAndMark(c cellChoice, pc piece) bool {
	f := t.fleet
	safe := f.Feasible()
	f.bind(c.root, c.pool, c.base)
	if safe && !f.Feasible() {
		f.unbind(f.roots[c.root])
		first, ok := c.pool.open.bestFit(int(f.roots[c.root].promise.Level))
		if !ok || t.avoided(c.pool, first, pc) || !t.evict && !t.vacant(c.pool, first, pc) {
			return false
		}
		f.bind(c.root, c.pool, first)
		c.first = first
		if !f.Feasible() {
			f.unbind(f.roots[c.root])
			return false
		}
	}
	t.mark(c.pool, c.first, pc)
	return true
}
