// Package allocator decides where jobs run. It models the fleet as a buddy hierarchy of slots and keeps
// the cells guaranteed to organisations and the active grants. It is deterministic and does no I/O. Its
// scope is placement, packing and reclaim.
package allocator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// levelsAboveRack is the number of cell levels above a rack: a cell spans up to 2^levelsAboveRack racks.
const levelsAboveRack = 4

// Geometry is the geometry of the cell hierarchy. Both widths are powers of two.
type Geometry struct {
	Slots   int // slots per worker
	Workers int // workers per rack
}

// Level is the size class of a cell, which covers 2^Level slots.
type Level int

// WorkerLevel returns the level of a cell that covers one worker.
func (s Geometry) WorkerLevel() Level { return Level(levelFor(s.Slots)) }

// RackLevel returns the level of a cell that covers one rack.
func (s Geometry) RackLevel() Level { return Level(levelFor(s.Slots * s.Workers)) }

func (s Geometry) rackSlots() int { return s.Slots * s.Workers }

func (s Geometry) levels() int { return int(s.RackLevel()) + levelsAboveRack + 1 }

// MaxLevel returns the level of the largest cell.
func (s Geometry) MaxLevel() Level { return Level(s.levels() - 1) }

// Worker describes one worker of the fleet.
type Worker struct {
	Name    string
	Place   string
	Rack    string
	Service string
	Slots   int
}

// Mode is the entitlement under which a grant holds its slots.
type Mode int

// The modes of a grant.
const (
	// Guaranteed grants use cells bound to the organisation's own guarantee.
	Guaranteed Mode = iota
	// Borrowed grants can be reclaimed at any time.
	Borrowed
	// Surplus grants can't be reclaimed. They are placed only where all guarantees can still be packed.
	Surplus
)

// String returns the name of the mode as shown to operators.
func (m Mode) String() string {
	return [...]string{"guaranteed", "borrowed", "surplus"}[m]
}

// GrantID identifies a grant. Zero means no grant.
type GrantID uint32

type slot struct {
	owner          GrantID // grant that runs on the slot
	claim          GrantID // grant that becomes the owner after the current one is released
	guaranteedCell int32   // index of the guaranteed cell bound here plus one, 0 for none
}

type poolKey struct{ place, service string }

func (k poolKey) compare(o poolKey) int {
	if n := strings.Compare(k.place, o.place); n != 0 {
		return n
	}
	return strings.Compare(k.service, o.service)
}

// pool holds all workers of one service in one place.
type pool struct {
	key     poolKey
	racks   map[string][]int // rack indexes in the pool by rack name
	workers []string         // worker name by worker index, "" for an unused index
	usable  []bool           // by worker index
	width   []int            // number of slots by worker index
	slots   []slot
	free    cellSet // usable slots without an owner or a claim
	open    cellSet // slots that a guaranteed cell can be bound to: usable, unbound, and free or borrowed
}

// workerRef locates a worker.
type workerRef struct {
	pool  *pool
	index int // worker index in the pool
}

// Fleet is the set of workers with the guaranteed cells bound to them and the grants that run on them.
type Fleet struct {
	geometry        Geometry
	pools           []*pool
	workers         map[string]workerRef
	guaranteedCells []*guaranteedCell
	demands         []demand         // unbound guaranteed cells by kind, in packing order
	cellsByOrg      map[string][]int // indexes into guaranteedCells by organisation
	grants          map[GrantID]*Grant
	reservations    []GrantID // oldest first; ended ones are removed lazily
	reclaimCost     func(GrantID) float64
	compact         bool
}

// New returns an empty fleet. cost returns the work, in slot-seconds, that is lost when a borrowed grant
// is reclaimed.
func New(geometry Geometry, cost func(GrantID) float64) *Fleet {
	return &Fleet{
		geometry:    geometry,
		workers:     map[string]workerRef{},
		grants:      map[GrantID]*Grant{},
		reclaimCost: cost,
	}
}

// SetCompact sets whether partly used workers are filled before free ones are split.
func (f *Fleet) SetCompact(compact bool) { f.compact = compact }

// Geometry returns the geometry of the cell hierarchy.
func (f *Fleet) Geometry() Geometry { return f.geometry }

// Add adds a worker, or makes an existing one usable again. A worker that moved to another rack, place or
// service must be removed first.
func (f *Fleet) Add(w Worker) error {
	if w.Slots < 1 || w.Slots > f.geometry.Slots {
		return fmt.Errorf("worker %s: %d slots, want 1 to %d", w.Name, w.Slots, f.geometry.Slots)
	}
	if p, ok := f.workers[w.Name]; ok {
		p.pool.width[p.index] = w.Slots
		f.SetUsable(w.Name, true)
		return nil
	}
	p := f.poolFor(poolKey{w.Place, w.Service})
	index := p.allocateWorkerIndex(f.geometry, w.Rack)
	p.workers[index] = w.Name
	p.width[index] = w.Slots
	f.workers[w.Name] = workerRef{p, index}
	f.SetUsable(w.Name, true)
	return nil
}

// Contains reports whether the worker is part of the fleet.
func (f *Fleet) Contains(name string) bool {
	_, ok := f.workers[name]
	return ok
}

// SetUsable sets whether new work may be placed on a worker. Guaranteed cells bound to a worker that becomes
// unusable are unbound, so that they can be bound elsewhere.
func (f *Fleet) SetUsable(name string, usable bool) {
	ref, ok := f.workers[name]
	if !ok {
		return
	}
	ref.pool.usable[ref.index] = usable
	first := ref.index * f.geometry.Slots
	if !usable {
		f.unbindOverlapping(ref.pool, first, f.geometry.Slots)
	}
	ref.pool.updateSets(f, first, f.geometry.Slots)
}

// Usable reports whether new work may be placed on the worker.
func (f *Fleet) Usable(name string) bool {
	ref, ok := f.workers[name]
	return ok && ref.pool.usable[ref.index]
}

// Remove removes a worker from the fleet. It returns false and changes nothing while a grant or claim holds
// slots of the worker.
func (f *Fleet) Remove(name string) bool {
	ref, ok := f.workers[name]
	if !ok {
		return true
	}
	first := ref.index * f.geometry.Slots
	for _, s := range ref.pool.slots[first : first+f.geometry.Slots] {
		if s.owner != 0 || s.claim != 0 {
			return false
		}
	}
	f.SetUsable(name, false)
	ref.pool.workers[ref.index] = ""
	delete(f.workers, name)
	return true
}

// FreeSlots returns the number of usable slots without an owner or a claim.
func (f *Fleet) FreeSlots() int {
	n := 0
	for _, p := range f.pools {
		n += p.free.counts[0]
	}
	return n
}

// UsableSlots returns the number of slots of usable workers.
func (f *Fleet) UsableSlots() int {
	n := 0
	for _, p := range f.pools {
		for i, usable := range p.usable {
			if usable {
				n += p.width[i]
			}
		}
	}
	return n
}

// FreeCells returns the number of disjoint free cells of the level, with larger free cells split.
func (f *Fleet) FreeCells(level Level) int {
	n := 0
	for _, p := range f.pools {
		n += p.free.counts[level]
	}
	return n
}

func (f *Fleet) poolFor(key poolKey) *pool {
	i, ok := slices.BinarySearchFunc(f.pools, key, func(p *pool, k poolKey) int {
		return p.key.compare(k)
	})
	if ok {
		return f.pools[i]
	}
	p := &pool{
		key:   key,
		racks: map[string][]int{},
		free:  newCellSet(f.geometry.levels()),
		open:  newCellSet(f.geometry.levels()),
	}
	f.pools = slices.Insert(f.pools, i, p)
	return p
}

// allocateWorkerIndex returns an unused worker index in the named rack. It adds a rack to the pool when there
// is none, so a rack with more workers than the geometry allows takes up several rack indexes.
func (p *pool) allocateWorkerIndex(geometry Geometry, name string) int {
	for _, rack := range p.racks[name] {
		for i := range geometry.Workers {
			if index := rack*geometry.Workers + i; p.workers[index] == "" {
				return index
			}
		}
	}
	rack := len(p.workers) / geometry.Workers
	p.racks[name] = append(p.racks[name], rack)
	p.workers = append(p.workers, make([]string, geometry.Workers)...)
	p.usable = append(p.usable, make([]bool, geometry.Workers)...)
	p.width = append(p.width, make([]int, geometry.Workers)...)
	p.slots = append(p.slots, make([]slot, geometry.rackSlots())...)
	p.free.grow(alignedSlots(geometry, len(p.slots)))
	p.open.grow(alignedSlots(geometry, len(p.slots)))
	return rack * geometry.Workers
}

// alignedSlots rounds n up to a multiple of the largest cell size, so that each cell has its buddy.
func alignedSlots(geometry Geometry, n int) int {
	size := 1 << geometry.MaxLevel()
	return (n + size - 1) / size * size
}

// updateSets recomputes the membership of n slots, beginning with first, in the free and open sets.
func (p *pool) updateSets(f *Fleet, first, n int) {
	for i := first; i < first+n; i++ {
		s := p.slots[i]
		index := i / f.geometry.Slots
		usable := p.usable[index] && i%f.geometry.Slots < p.width[index]
		p.free.set(i, usable && s.owner == 0 && s.claim == 0)
		p.open.set(i, usable && s.guaranteedCell == 0 && f.reclaimable(s.owner) && f.reclaimable(s.claim))
	}
}

func (f *Fleet) reclaimable(id GrantID) bool {
	return id == 0 || f.grants[id].Mode == Borrowed
}

// Workers returns the names of all workers, sorted.
func (f *Fleet) Workers() []string {
	return slices.Sorted(maps.Keys(f.workers))
}

// GrantsOn returns the grants and claims that hold slots of a worker, in order.
func (f *Fleet) GrantsOn(name string) []GrantID {
	ref, ok := f.workers[name]
	if !ok {
		return nil
	}
	seen := map[GrantID]bool{}
	first := ref.index * f.geometry.Slots
	for _, s := range ref.pool.slots[first : first+f.geometry.Slots] {
		seen[s.owner] = true
		seen[s.claim] = true
	}
	delete(seen, 0)
	return slices.Sorted(maps.Keys(seen))
}

// GrantCount returns the number of grants and claims.
func (f *Fleet) GrantCount() int { return len(f.grants) }

// SlotInfo is the state of one slot, for invariant checks in other packages.
type SlotInfo struct {
	Worker  string
	Place   string
	Service string
	Usable  bool
	Owner   GrantID
	Claim   GrantID
	BoundTo string // organisation whose guaranteed cell is bound here, "" for none
}

// EachSlot calls visit for each slot, in order of pools. pool is the index of the pool and slot the index
// within it.
func (f *Fleet) EachSlot(visit func(pool, slot int, c SlotInfo)) {
	for n, p := range f.pools {
		for i, s := range p.slots {
			index := i / f.geometry.Slots
			c := SlotInfo{
				Worker: p.workers[index], Place: p.key.place, Service: p.key.service, Owner: s.owner, Claim: s.claim,
				Usable: p.usable[index] && i%f.geometry.Slots < p.width[index],
			}
			if s.guaranteedCell != 0 {
				c.BoundTo = f.guaranteedCells[s.guaranteedCell-1].guarantee.Org
			}
			visit(n, i, c)
		}
	}
}

// UnboundGuarantees returns the guarantees of the unbound cells, one per cell, each with Count 1.
func (f *Fleet) UnboundGuarantees() []Guarantee {
	var list []Guarantee
	for _, gc := range f.guaranteedCells {
		if gc.pool == nil {
			list = append(list, gc.guarantee)
		}
	}
	return list
}
