// Package allocator decides where jobs may run. It holds the fleet as buddy cells of slots,
// the shapes guaranteed to organisations, and the grants in force. It is deterministic and
// does no input or output; only placement, packing and reclaim may live here.
package allocator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// rackLevels is how many levels of cells stand above a rack: cells span up to 2^rackLevels racks.
const rackLevels = 4

// Shape is the width of the cell hierarchy, in powers of two.
type Shape struct {
	Slots   int // slots of a worker
	Workers int // workers of a rack
}

// Level is the size of a cell: it covers 2^Level slots.
type Level int

// WorkerLevel returns the level of a cell that is one whole worker.
func (s Shape) WorkerLevel() Level { return Level(levelFor(s.Slots)) }

// RackLevel returns the level of a cell that is one whole rack.
func (s Shape) RackLevel() Level { return Level(levelFor(s.Slots * s.Workers)) }

func (s Shape) rackSlots() int { return s.Slots * s.Workers }

func (s Shape) levels() int { return int(s.RackLevel()) + rackLevels + 1 }

// MaxLevel returns the level of the largest cell.
func (s Shape) MaxLevel() Level { return Level(s.levels() - 1) }

// Worker describes one worker of the fleet.
type Worker struct {
	Name    string
	Place   string
	Rack    string
	Service string
	Slots   int
}

// Mode says under which right a grant holds its slots.
type Mode int

// The modes of a grant.
const (
	// Guaranteed grants lie in cells bound to the organisation's own guarantee.
	Guaranteed Mode = iota
	// Borrowed grants can be taken back at any time.
	Borrowed
	// Surplus grants can't be taken back and lie outside of the packing of all guarantees.
	Surplus
)

// String returns the name of the mode as operators see it.
func (m Mode) String() string {
	return [...]string{"guaranteed", "borrowed", "surplus"}[m]
}

// GrantID names a grant. Zero is no grant.
type GrantID uint32

type slot struct {
	owner GrantID // grant that runs here
	claim GrantID // grant that takes over when the owner has gone
	root  int32   // guarantee cell bound here, plus one
}

type poolKey struct{ place, service string }

func (k poolKey) compare(o poolKey) int {
	if n := strings.Compare(k.place, o.place); n != 0 {
		return n
	}
	return strings.Compare(k.service, o.service)
}

// pool is all workers of one service in one place.
type pool struct {
	key     poolKey
	racks   map[string][]int // rack name to its rack indexes in the pool
	workers []string         // worker name by worker index, "" where absent
	usable  []bool           // by worker index
	width   []int            // slots by worker index
	slots   []slot
	free    cellSet // usable, no owner, no claim
	open    cellSet // usable for guarantees: unbound, and free or borrowed
}

type position struct {
	pool  *pool
	index int // worker index in the pool
}

// Fleet is the set of workers, the guarantees bound to them and the grants that run on them.
type Fleet struct {
	shape   Shape
	pools   []*pool
	workers map[string]position
	roots   []*root
	needs   []need           // unbound roots by kind, in the order of packing
	byOrg   map[string][]int // organisation to the indexes of its roots
	grants  map[GrantID]*Grant
	soft    []GrantID // claims that evict nothing, in order; ended ones are dropped lazily
	cost    func(GrantID) float64
	compact bool
}

// New returns an empty fleet. cost gives the work, in slot-seconds, that is lost when a
// borrowed grant is taken back.
func New(shape Shape, cost func(GrantID) float64) *Fleet {
	return &Fleet{
		shape:   shape,
		workers: map[string]position{},
		grants:  map[GrantID]*Grant{},
		cost:    cost,
	}
}

// SetCompact says whether partly used workers are filled before free ones are split.
func (f *Fleet) SetCompact(compact bool) { f.compact = compact }

// Shape returns the width of the cell hierarchy.
func (f *Fleet) Shape() Shape { return f.shape }

// Add enters a worker or makes a known one usable again. A worker that moved to another rack,
// place or service must be removed first.
func (f *Fleet) Add(w Worker) error {
	if w.Slots < 1 || w.Slots > f.shape.Slots {
		return fmt.Errorf("worker %s: %d slots, want 1 to %d", w.Name, w.Slots, f.shape.Slots)
	}
	if p, ok := f.workers[w.Name]; ok {
		p.pool.width[p.index] = w.Slots
		f.SetUsable(w.Name, true)
		return nil
	}
	p := f.poolOf(poolKey{w.Place, w.Service})
	index := p.seat(f.shape, w.Rack)
	p.workers[index] = w.Name
	p.width[index] = w.Slots
	f.workers[w.Name] = position{p, index}
	f.SetUsable(w.Name, true)
	return nil
}

// Knows reports whether the worker has a seat in the fleet.
func (f *Fleet) Knows(name string) bool {
	_, ok := f.workers[name]
	return ok
}

// SetUsable says whether new work may be put on a worker. Guarantee cells bound to a worker
// that is no longer usable are unbound, so that they can be bound elsewhere.
func (f *Fleet) SetUsable(name string, usable bool) {
	at, ok := f.workers[name]
	if !ok {
		return
	}
	at.pool.usable[at.index] = usable
	first := at.index * f.shape.Slots
	if !usable {
		f.unbindOver(at.pool, first, f.shape.Slots)
	}
	at.pool.refresh(f, first, f.shape.Slots)
}

// Usable reports whether new work may be put on the worker.
func (f *Fleet) Usable(name string) bool {
	at, ok := f.workers[name]
	return ok && at.pool.usable[at.index]
}

// Remove takes an unusable worker without grants out of the fleet. It reports false when the
// worker still holds a grant.
func (f *Fleet) Remove(name string) bool {
	at, ok := f.workers[name]
	if !ok {
		return true
	}
	first := at.index * f.shape.Slots
	for _, s := range at.pool.slots[first : first+f.shape.Slots] {
		if s.owner != 0 || s.claim != 0 {
			return false
		}
	}
	f.SetUsable(name, false)
	at.pool.workers[at.index] = ""
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

// FreeCells returns how many separate free cells of at least the level exist.
func (f *Fleet) FreeCells(level Level) int {
	n := 0
	for _, p := range f.pools {
		n += p.free.counts[level]
	}
	return n
}

func (f *Fleet) poolOf(key poolKey) *pool {
	i, ok := slices.BinarySearchFunc(f.pools, key, func(p *pool, k poolKey) int {
		return p.key.compare(k)
	})
	if ok {
		return f.pools[i]
	}
	p := &pool{
		key:   key,
		racks: map[string][]int{},
		free:  newCellSet(f.shape.levels()),
		open:  newCellSet(f.shape.levels()),
	}
	f.pools = slices.Insert(f.pools, i, p)
	return p
}

// seat returns a free worker index in the rack, and adds a rack to the pool when it has none.
// A rack with more workers than the shape's width continues in a further one.
func (p *pool) seat(shape Shape, name string) int {
	for _, rack := range p.racks[name] {
		for i := range shape.Workers {
			if index := rack*shape.Workers + i; p.workers[index] == "" {
				return index
			}
		}
	}
	rack := len(p.workers) / shape.Workers
	p.racks[name] = append(p.racks[name], rack)
	p.workers = append(p.workers, make([]string, shape.Workers)...)
	p.usable = append(p.usable, make([]bool, shape.Workers)...)
	p.width = append(p.width, make([]int, shape.Workers)...)
	p.slots = append(p.slots, make([]slot, shape.rackSlots())...)
	p.free.grow(alignedSlots(shape, len(p.slots)))
	p.open.grow(alignedSlots(shape, len(p.slots)))
	return rack * shape.Workers
}

// alignedSlots rounds n up to whole cells of the largest level, so that each cell has its pair.
func alignedSlots(shape Shape, n int) int {
	size := 1 << shape.MaxLevel()
	return (n + size - 1) / size * size
}

// refresh recomputes the membership of n slots from first in the sets of the pool.
func (p *pool) refresh(f *Fleet, first, n int) {
	for i := first; i < first+n; i++ {
		s := p.slots[i]
		index := i / f.shape.Slots
		usable := p.usable[index] && i%f.shape.Slots < p.width[index]
		p.free.set(i, usable && s.owner == 0 && s.claim == 0)
		p.open.set(i, usable && s.root == 0 && f.reclaimable(s.owner) && f.reclaimable(s.claim))
	}
}

func (f *Fleet) reclaimable(id GrantID) bool {
	return id == 0 || f.grants[id].Mode == Borrowed
}

// Workers returns the names of all workers with a seat, sorted.
func (f *Fleet) Workers() []string {
	return slices.Sorted(maps.Keys(f.workers))
}

// GrantsOn returns the grants and claims that touch a worker, in order.
func (f *Fleet) GrantsOn(name string) []GrantID {
	at, ok := f.workers[name]
	if !ok {
		return nil
	}
	seen := map[GrantID]bool{}
	first := at.index * f.shape.Slots
	for _, s := range at.pool.slots[first : first+f.shape.Slots] {
		seen[s.owner] = true
		seen[s.claim] = true
	}
	delete(seen, 0)
	return slices.Sorted(maps.Keys(seen))
}

// GrantCount returns the number of grants and claims.
func (f *Fleet) GrantCount() int { return len(f.grants) }

// Cell is what an outside check of the packing needs to know of one slot.
type Cell struct {
	Worker  string
	Place   string
	Service string
	Usable  bool
	Owner   GrantID
	Claim   GrantID
	Bound   string // organisation whose guarantee is bound here, "" for none
}

// EachCell calls visit for each slot, pool by pool in order. pool counts the pools and slot the
// slots of one pool.
func (f *Fleet) EachCell(visit func(pool, slot int, c Cell)) {
	for n, p := range f.pools {
		for i, s := range p.slots {
			index := i / f.shape.Slots
			c := Cell{
				Worker: p.workers[index], Place: p.key.place, Service: p.key.service, Owner: s.owner, Claim: s.claim,
				Usable: p.usable[index] && i%f.shape.Slots < p.width[index],
			}
			if s.root != 0 {
				c.Bound = f.roots[s.root-1].promise.Org
			}
			visit(n, i, c)
		}
	}
}

// Unbound returns the guaranteed cells that are not bound, each with Count 1.
func (f *Fleet) Unbound() []Guarantee {
	var list []Guarantee
	for _, r := range f.roots {
		if r.pool == nil {
			list = append(list, r.promise)
		}
	}
	return list
}
