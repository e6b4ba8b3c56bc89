package allocator

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Snapshot is the whole of a fleet in plain values.
type Snapshot struct {
	Shape  Shape          `json:"shape"`
	Pools  []PoolSnapshot `json:"pools"`
	Roots  []RootSnapshot `json:"roots"`
	Grants []GrantState   `json:"grants"`
}

// PoolSnapshot is the seating of one pool.
type PoolSnapshot struct {
	Place   string   `json:"place"`
	Service string   `json:"service"`
	Racks   []string `json:"racks"` // rack name by rack index
	Workers []string `json:"workers"`
	Usable  []bool   `json:"usable"`
	Width   []int    `json:"width"`
}

// RootSnapshot is one guaranteed cell. Pool is -1 while it is unbound.
type RootSnapshot struct {
	Promise Guarantee `json:"promise"`
	Pool    int       `json:"pool"`
	First   int       `json:"first"`
	Used    int       `json:"used"`
}

// GrantState is one grant.
type GrantState struct {
	Grant
	Reclaimable bool      `json:"reclaimable,omitempty"`
	Urgent      bool      `json:"urgent,omitempty"`
	Soft        bool      `json:"soft,omitempty"`
	Start       time.Time `json:"start,omitzero"`
}

// Save returns the fleet in plain values.
func (f *Fleet) Save() Snapshot {
	s := Snapshot{Shape: f.shape}
	for _, p := range f.pools {
		s.Pools = append(s.Pools, p.save(f.shape))
	}
	for _, r := range f.roots {
		s.Roots = append(s.Roots, RootSnapshot{
			Promise: r.promise, Pool: slices.Index(f.pools, r.pool), First: r.first, Used: r.used,
		})
	}
	for _, id := range slices.Sorted(maps.Keys(f.grants)) {
		g := f.grants[id]
		s.Grants = append(s.Grants, GrantState{Grant: *g, Reclaimable: g.reclaimable, Urgent: g.urgent, Soft: g.soft, Start: g.start})
	}
	return s
}

func (p *pool) save(shape Shape) PoolSnapshot {
	s := PoolSnapshot{
		Place: p.key.place, Service: p.key.service,
		Racks:   make([]string, len(p.workers)/shape.Workers),
		Workers: slices.Clone(p.workers), Usable: slices.Clone(p.usable), Width: slices.Clone(p.width),
	}
	for name, indexes := range p.racks {
		for _, i := range indexes {
			s.Racks[i] = name
		}
	}
	return s
}

// Restore builds a fleet from a snapshot.
func Restore(s Snapshot, cost func(GrantID) float64) (*Fleet, error) {
	f := New(s.Shape, cost)
	for _, ps := range s.Pools {
		f.pools = append(f.pools, f.restorePool(ps))
	}
	for _, rs := range s.Roots {
		r := &root{promise: rs.Promise, first: rs.First, used: rs.Used}
		if rs.Pool >= len(f.pools) {
			return nil, fmt.Errorf("restore fleet: guarantee of %s lies in pool %d of %d", rs.Promise.Org, rs.Pool, len(f.pools))
		}
		if rs.Pool >= 0 {
			r.pool = f.pools[rs.Pool]
		}
		f.roots = append(f.roots, r)
	}
	f.indexRoots()
	for _, gs := range s.Grants {
		if err := f.restoreGrant(gs); err != nil {
			return nil, err
		}
	}
	for i, r := range f.roots {
		if r.pool != nil {
			f.markRoot(r, int32(i)+1)
		}
	}
	for _, p := range f.pools {
		p.refresh(f, 0, len(p.slots))
	}
	return f, nil
}

func (f *Fleet) restorePool(s PoolSnapshot) *pool {
	p := &pool{
		key: poolKey{s.Place, s.Service}, racks: map[string][]int{},
		workers: s.Workers, usable: s.Usable, width: s.Width,
		slots: make([]slot, len(s.Workers)*f.shape.Slots),
		free:  newCellSet(f.shape.levels()),
		open:  newCellSet(f.shape.levels()),
	}
	for i, name := range s.Racks {
		p.racks[name] = append(p.racks[name], i)
	}
	for i, name := range s.Workers {
		if name != "" {
			f.workers[name] = position{p, i}
		}
	}
	p.free.grow(alignedSlots(f.shape, len(p.slots)))
	p.open.grow(alignedSlots(f.shape, len(p.slots)))
	return p
}

func (f *Fleet) restoreGrant(s GrantState) error {
	g := s.Grant
	g.reclaimable, g.urgent, g.soft, g.start = s.Reclaimable, s.Urgent, s.Soft, s.Start
	f.grants[g.ID] = &g
	if g.soft {
		f.soft = append(f.soft, g.ID)
	}
	for _, part := range g.Parts {
		at, ok := f.workers[part.Worker]
		if !ok || part.First < 0 || part.First+part.Slots > len(at.pool.slots) {
			return fmt.Errorf("restore fleet: grant %d lies on unknown worker %q", g.ID, part.Worker)
		}
		for i := part.First; i < part.First+part.Slots; i++ {
			if g.Ready {
				at.pool.slots[i].owner = g.ID
			} else {
				at.pool.slots[i].claim = g.ID
			}
		}
	}
	return nil
}
