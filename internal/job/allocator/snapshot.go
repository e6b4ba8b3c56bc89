package allocator

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Snapshot is the serialisable state of a fleet. The JSON keys are part of the stored format.
type Snapshot struct {
	Geometry        Geometry                 `json:"shape"`
	Pools           []PoolSnapshot           `json:"pools"`
	GuaranteedCells []GuaranteedCellSnapshot `json:"roots"`
	Grants          []GrantSnapshot          `json:"grants"`
}

// PoolSnapshot is the serialisable state of a pool.
type PoolSnapshot struct {
	Place   string   `json:"place"`
	Service string   `json:"service"`
	Racks   []string `json:"racks"` // rack name by rack index
	Workers []string `json:"workers"`
	Usable  []bool   `json:"usable"`
	Width   []int    `json:"width"`
}

// GuaranteedCellSnapshot is the serialisable state of a guaranteed cell. Pool is -1 while it is unbound.
type GuaranteedCellSnapshot struct {
	Guarantee Guarantee `json:"promise"`
	Pool      int       `json:"pool"`
	First     int       `json:"first"`
	Used      int       `json:"used"`
}

// GrantSnapshot is the serialisable state of a grant. The fields of Grant are stored under their Go names.
type GrantSnapshot struct {
	Grant
	Reclaimable bool      `json:"reclaimable,omitempty"`
	Urgent      bool      `json:"urgent,omitempty"`
	Reservation bool      `json:"soft,omitempty"`
	Start       time.Time `json:"start,omitzero"`
}

// Save returns a snapshot of the fleet.
func (f *Fleet) Save() Snapshot {
	s := Snapshot{Geometry: f.geometry}
	for _, p := range f.pools {
		s.Pools = append(s.Pools, p.save(f.geometry))
	}
	for _, gc := range f.guaranteedCells {
		s.GuaranteedCells = append(s.GuaranteedCells, GuaranteedCellSnapshot{
			Guarantee: gc.guarantee, Pool: slices.Index(f.pools, gc.pool), First: gc.first, Used: gc.used,
		})
	}
	for _, id := range slices.Sorted(maps.Keys(f.grants)) {
		g := f.grants[id]
		s.Grants = append(s.Grants, GrantSnapshot{Grant: *g, Reclaimable: g.reclaimable, Urgent: g.urgent, Reservation: g.reservation, Start: g.start})
	}
	return s
}

func (p *pool) save(geometry Geometry) PoolSnapshot {
	s := PoolSnapshot{
		Place: p.key.place, Service: p.key.service,
		Racks:   make([]string, len(p.workers)/geometry.Workers),
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
	f := New(s.Geometry, cost)
	for _, ps := range s.Pools {
		f.pools = append(f.pools, f.restorePool(ps))
	}
	for _, rs := range s.GuaranteedCells {
		gc := &guaranteedCell{guarantee: rs.Guarantee, first: rs.First, used: rs.Used}
		if rs.Pool >= len(f.pools) {
			return nil, fmt.Errorf("restore fleet: guarantee of %s refers to pool %d of %d pools", rs.Guarantee.Org, rs.Pool, len(f.pools))
		}
		if rs.Pool >= 0 {
			gc.pool = f.pools[rs.Pool]
		}
		f.guaranteedCells = append(f.guaranteedCells, gc)
	}
	f.rebuildIndexes()
	for _, gs := range s.Grants {
		if err := f.restoreGrant(gs); err != nil {
			return nil, err
		}
	}
	for i, gc := range f.guaranteedCells {
		if gc.pool != nil {
			f.setBinding(gc, int32(i)+1)
		}
	}
	for _, p := range f.pools {
		p.updateSets(f, 0, len(p.slots))
	}
	return f, nil
}

func (f *Fleet) restorePool(s PoolSnapshot) *pool {
	p := &pool{
		key: poolKey{s.Place, s.Service}, racks: map[string][]int{},
		workers: s.Workers, usable: s.Usable, width: s.Width,
		slots: make([]slot, len(s.Workers)*f.geometry.Slots),
		free:  newCellSet(f.geometry.levels()),
		open:  newCellSet(f.geometry.levels()),
	}
	for i, name := range s.Racks {
		p.racks[name] = append(p.racks[name], i)
	}
	for i, name := range s.Workers {
		if name != "" {
			f.workers[name] = workerRef{p, i}
		}
	}
	p.free.grow(alignedSlots(f.geometry, len(p.slots)))
	p.open.grow(alignedSlots(f.geometry, len(p.slots)))
	return p
}

func (f *Fleet) restoreGrant(s GrantSnapshot) error {
	g := s.Grant
	g.reclaimable, g.urgent, g.reservation, g.start = s.Reclaimable, s.Urgent, s.Reservation, s.Start
	f.grants[g.ID] = &g
	if g.reservation {
		f.reservations = append(f.reservations, g.ID)
	}
	for _, part := range g.Parts {
		ref, ok := f.workers[part.Worker]
		if !ok || part.First < 0 || part.First+part.Slots > len(ref.pool.slots) {
			return fmt.Errorf("restore fleet: grant %d refers to an unknown worker or invalid slots of worker %q", g.ID, part.Worker)
		}
		for i := part.First; i < part.First+part.Slots; i++ {
			if g.Ready {
				ref.pool.slots[i].owner = g.ID
			} else {
				ref.pool.slots[i].claim = g.ID
			}
		}
	}
	return nil
}
