package allocator

import (
	"slices"
	"time"
)

// Part is the share of a grant on one worker.
type Part struct {
	Worker string
	First  int // first slot in the pool
	Slots  int
	Tasks  int
}

// Grant is room given to a gang. It is ready once no other work runs on its slots.
type Grant struct {
	ID    GrantID
	Org   string
	Mode  Mode
	Parts []Part
	Ready bool

	reclaimable bool
	urgent      bool      // other urgent work does not take it back
	soft        bool      // waits for owners to end by themselves
	start       time.Time // when a soft claim is expected to be ready
}

// SlotCount returns the number of slots of the grant.
func (g *Grant) SlotCount() int {
	n := 0
	for _, p := range g.Parts {
		n += p.Slots
	}
	return n
}

// settle makes a grant the owner of its slots once nothing else runs on them.
func (f *Fleet) settle(g *Grant) bool {
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
		p.refresh(f, part.First, part.Slots)
	}
	g.Ready = true
	g.soft = false
	return true
}

// Release ends a grant or a claim. It returns the grants that became ready by it, in order.
func (f *Fleet) Release(id GrantID) []GrantID {
	g := f.grants[id]
	if g == nil {
		return nil
	}
	var waiting []GrantID
	for _, part := range g.Parts {
		p := f.workers[part.Worker].pool
		for i := part.First; i < part.First+part.Slots; i++ {
			waiting = f.vacate(p, i, g, waiting)
		}
	}
	delete(f.grants, id)
	for _, part := range g.Parts {
		f.workers[part.Worker].pool.refresh(f, part.First, part.Slots)
	}
	return f.settleAll(waiting)
}

func (f *Fleet) vacate(p *pool, i int, g *Grant, waiting []GrantID) []GrantID {
	s := &p.slots[i]
	if s.owner == g.ID {
		s.owner = 0
	}
	if s.claim == g.ID {
		s.claim = 0
	}
	if g.Mode == Guaranteed {
		f.leaveRoot(p, i)
	}
	if s.claim != 0 && !slices.Contains(waiting, s.claim) {
		waiting = append(waiting, s.claim)
	}
	return waiting
}

func (f *Fleet) settleAll(waiting []GrantID) []GrantID {
	slices.Sort(waiting)
	var ready []GrantID
	for _, id := range waiting {
		if f.settle(f.grants[id]) {
			ready = append(ready, id)
		}
	}
	return ready
}

// Grant returns a grant in force, or nil.
func (f *Fleet) Grant(id GrantID) *Grant { return f.grants[id] }
