package allocator

import (
	"slices"
	"time"
)

// Part is the part of a grant on one worker.
type Part struct {
	Worker string
	First  int // index of the first slot in the pool
	Slots  int
	Tasks  int
}

// Grant is a set of slots assigned to a gang. It is ready once no other work runs on its slots.
type Grant struct {
	ID    GrantID
	Org   string
	Mode  Mode
	Parts []Part
	Ready bool

	reclaimable bool
	urgent      bool      // not evicted by other urgent work
	reservation bool      // waits for the owners of its slots to end and evicts nothing
	start       time.Time // when a reservation is expected to be ready
}

// SlotCount returns the number of slots of the grant.
func (g *Grant) SlotCount() int {
	n := 0
	for _, p := range g.Parts {
		n += p.Slots
	}
	return n
}

// activate makes a grant the owner of its slots if no other grant owns one of them. It reports whether the
// grant became ready.
func (f *Fleet) activate(g *Grant) bool {
	if g.Ready {
		return false
	}
	for _, part := range g.Parts {
		p := f.workers[part.Worker].pool
		for _, s := range p.slots[part.First : part.First+part.Slots] {
			if s.owner != 0 && s.owner != g.ID {
				return false
			}
		}
	}
	for _, part := range g.Parts {
		p := f.workers[part.Worker].pool
		for i := part.First; i < part.First+part.Slots; i++ {
			p.slots[i].owner = g.ID
			if p.slots[i].claim == g.ID {
				p.slots[i].claim = 0
			}
		}
		p.updateSets(f, part.First, part.Slots)
	}
	g.Ready = true
	g.reservation = false
	return true
}

// Release releases the slots of a grant. It returns the grants that became ready as a result, in order.
func (f *Fleet) Release(id GrantID) []GrantID {
	g := f.grants[id]
	if g == nil {
		return nil
	}
	var waiting []GrantID
	for _, part := range g.Parts {
		p := f.workers[part.Worker].pool
		for i := part.First; i < part.First+part.Slots; i++ {
			waiting = f.releaseSlot(p, i, g, waiting)
		}
	}
	delete(f.grants, id)
	for _, part := range g.Parts {
		f.workers[part.Worker].pool.updateSets(f, part.First, part.Slots)
	}
	return f.activateAll(waiting)
}

// releaseSlot releases one slot of a grant. It returns waiting with the pending claim on the slot added.
func (f *Fleet) releaseSlot(p *pool, i int, g *Grant, waiting []GrantID) []GrantID {
	s := &p.slots[i]
	if s.owner == g.ID {
		s.owner = 0
	}
	if s.claim == g.ID {
		s.claim = 0
	}
	if g.Mode == Guaranteed {
		f.releaseGuaranteedSlot(p, i)
	}
	if s.claim != 0 && !slices.Contains(waiting, s.claim) {
		waiting = append(waiting, s.claim)
	}
	return waiting
}

func (f *Fleet) activateAll(waiting []GrantID) []GrantID {
	slices.Sort(waiting)
	var ready []GrantID
	for _, id := range waiting {
		if f.activate(f.grants[id]) {
			ready = append(ready, id)
		}
	}
	return ready
}

// Grant returns the grant with the given ID, or nil.
func (f *Fleet) Grant(id GrantID) *Grant { return f.grants[id] }
