package allocator

import (
	"slices"
	"time"
)

// Reserve reserves the cell that is expected to become free first for a gang that can't be placed now. It evicts
// nothing. Until the expected start, only work that ends before it may be backfilled into the cell.
func (f *Fleet) Reserve(id GrantID, q Request, endOf func(GrantID) time.Time, now time.Time) *Grant {
	sg, ok := f.subgangFor(q.Tasks, q)
	if !ok {
		return nil
	}
	t := &placementAttempt{fleet: f, request: q, grant: &Grant{ID: id, Org: q.Org, Mode: Borrowed, reclaimable: true, reservation: true}}
	best, start := f.earliestCell(t, sg, endOf, now)
	if best.pool == nil {
		return nil
	}
	t.grant.start = start
	f.reservations = append(f.reservations, id)
	t.claimSlots(best.pool, best.first, sg)
	f.activate(t.grant)
	return t.grant
}

// earliestCell finds the aligned cell whose owners are all expected to end first.
func (f *Fleet) earliestCell(t *placementAttempt, sg subgang, endOf func(GrantID) time.Time, now time.Time) (candidate, time.Time) {
	best, bestStart := candidate{}, time.Time{}
	for _, group := range f.poolGroups(t.request) {
		p := group[0]
		size := 1 << sg.level
		for first := 0; first+size <= len(p.slots); first += size {
			start, ok := f.cellEnd(p, first, size, endOf, now)
			if ok && !t.overlapsAvoided(p, first, sg) && (best.pool == nil || start.Before(bestStart)) {
				best.pool, best.first, bestStart = p, first, start
			}
		}
	}
	return best, bestStart
}

// cellEnd returns when the last owner in a cell is expected to end. It returns false when a slot is unusable or
// already claimed.
func (f *Fleet) cellEnd(p *pool, first, size int, endOf func(GrantID) time.Time, now time.Time) (time.Time, bool) {
	end := now
	last := GrantID(0)
	for i := first; i < first+size; i++ {
		index := i / f.geometry.Slots
		if !p.usable[index] || i%f.geometry.Slots >= p.width[index] || p.slots[i].claim != 0 {
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

// pendingReservations returns the reservations that are not ready yet, oldest first.
func (f *Fleet) pendingReservations() []GrantID {
	f.reservations = slices.DeleteFunc(f.reservations, func(id GrantID) bool {
		g := f.grants[id]
		return g == nil || !g.reservation || g.Ready
	})
	return f.reservations
}

// placeAsBackfill places the subgang on idle slots of a reservation that starts after the subgang ends.
func (t *placementAttempt) placeAsBackfill(sg subgang) bool {
	f := t.fleet
	for _, id := range f.pendingReservations() {
		g := f.grants[id]
		if t.request.End.After(g.start) {
			continue
		}
		for _, part := range g.Parts {
			p := f.workers[part.Worker].pool
			if !slices.Contains(t.pools, p) {
				continue
			}
			if first, ok := findIdleRun(p, part, sg, f.geometry); ok && !t.overlapsAvoided(p, first, sg) {
				t.ownSlots(p, first, sg)
				return true
			}
		}
	}
	return false
}

// findIdleRun returns the first slot of an aligned run of slots without an owner in a part of a reservation.
func findIdleRun(p *pool, part Part, sg subgang, geometry Geometry) (int, bool) {
	if len(sg.runs) > 1 {
		return 0, false
	}
	size := 1 << sg.level
	for first := part.First; first+size <= part.First+part.Slots; first += size {
		index := first / geometry.Slots
		if first%size != 0 || !p.usable[index] {
			continue
		}
		if !slices.ContainsFunc(p.slots[first:first+size], func(s slot) bool { return s.owner != 0 }) {
			return first, true
		}
	}
	return 0, false
}
