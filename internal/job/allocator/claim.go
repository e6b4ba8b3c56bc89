package allocator

import (
	"slices"
	"time"
)

// Claim reserves the cell that is expected to become free first for a gang that can't be
// placed now. Nothing is taken back; only work that ends before the start is let in.
func (f *Fleet) Claim(id GrantID, q Request, endOf func(GrantID) time.Time, now time.Time) *Grant {
	pc, ok := f.pieceFor(q.Tasks, q)
	if !ok {
		return nil
	}
	t := &placing{fleet: f, request: q, grant: &Grant{ID: id, Org: q.Org, Mode: Borrowed, reclaimable: true, soft: true}}
	best, start := f.earliestCell(t, pc, endOf, now)
	if best.pool == nil {
		return nil
	}
	t.grant.start = start
	f.soft = append(f.soft, id)
	t.mark(best.pool, best.first, pc)
	f.settle(t.grant)
	return t.grant
}

// earliestCell finds the aligned cell whose owners are all expected to end first.
func (f *Fleet) earliestCell(t *placing, pc piece, endOf func(GrantID) time.Time, now time.Time) (cellChoice, time.Time) {
	best, bestStart := cellChoice{}, time.Time{}
	for _, choice := range f.poolChoices(t.request) {
		p := choice[0]
		size := 1 << pc.level
		for first := 0; first+size <= len(p.slots); first += size {
			start, ok := f.cellEnd(p, first, size, endOf, now)
			if ok && !t.avoided(p, first, pc) && (best.pool == nil || start.Before(bestStart)) {
				best.pool, best.first, bestStart = p, first, start
			}
		}
	}
	return best, bestStart
}

// cellEnd returns when the last owner in a cell is expected to end. ok is false when a slot
// can't be used or is claimed already.
func (f *Fleet) cellEnd(p *pool, first, size int, endOf func(GrantID) time.Time, now time.Time) (time.Time, bool) {
	end := now
	last := GrantID(0)
	for i := first; i < first+size; i++ {
		index := i / f.shape.Slots
		if !p.usable[index] || i%f.shape.Slots >= p.width[index] || p.slots[i].claim != 0 {
			return end, false
		}
		if owner := p.slots[i].owner; owner != 0 && owner != last {
			last = owner
			if e := endOf(owner); e.After(end) {
				end = e
			}
		}
	}
	return end, true
}

// softClaims returns the waiting claims that evict nothing, in order.
func (f *Fleet) softClaims() []GrantID {
	f.soft = slices.DeleteFunc(f.soft, func(id GrantID) bool {
		g := f.grants[id]
		return g == nil || !g.soft || g.Ready
	})
	return f.soft
}

// takeBackfill puts the piece on idle slots of a soft claim that starts after the piece ends.
func (t *placing) takeBackfill(pc piece) bool {
	f := t.fleet
	for _, id := range f.softClaims() {
		g := f.grants[id]
		if t.request.End.After(g.start) {
			continue
		}
		for _, part := range g.Parts {
			p := f.workers[part.Worker].pool
			if !slices.Contains(t.pools, p) {
				continue
			}
			if first, ok := idleRun(p, part, pc, f.shape); ok && !t.avoided(p, first, pc) {
				t.own(p, first, pc)
				return true
			}
		}
	}
	return false
}

// idleRun finds an aligned run of slots without an owner in a part of a claim.
func idleRun(p *pool, part Part, pc piece, shape Shape) (int, bool) {
	if len(pc.runs) > 1 {
		return 0, false
	}
	size := 1 << pc.level
	for first := part.First; first+size <= part.First+part.Slots; first += size {
		index := first / shape.Slots
		if first%size != 0 || !p.usable[index] {
			continue
		}
		if !slices.ContainsFunc(p.slots[first:first+size], func(s slot) bool { return s.owner != 0 }) {
			return first, true
		}
	}
	return 0, false
}
