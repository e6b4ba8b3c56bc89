package allocator

import (
	"cmp"
	"fmt"
	"slices"
)

// Guarantee promises an organisation Count cells of one level.
type Guarantee struct {
	Org     string
	Service string
	Place   string // "" for any place
	Level   Level
	Count   int
}

// String renders the guarantee for operators.
func (g Guarantee) String() string {
	place := g.Place
	if place == "" {
		place = "any place"
	}
	return fmt.Sprintf("%s: %d cells of %d slots of %s in %s", g.Org, g.Count, 1<<g.Level, g.Service, place)
}

// root is one guaranteed cell. It is bound to a physical cell from the first grant under it
// until the last one has gone, so that what remains of the cell stays in one piece.
type root struct {
	promise Guarantee // with Count 1
	pool    *pool     // nil while unbound
	first   int
	used    int // slots that grants hold or claim
}

// SetGuarantees replaces the guarantees of all organisations. Cells that stay promised stay
// bound; grants in cells that are no longer promised become borrowed or surplus.
func (f *Fleet) SetGuarantees(promises []Guarantee) {
	old := f.roots
	f.clearRoots(old)
	f.roots = nil
	for _, g := range promises {
		for range g.Count {
			one := g
			one.Count = 1
			f.roots = append(f.roots, takeMatching(old, one))
		}
	}
	f.indexRoots()
	for i, r := range f.roots {
		if r.pool != nil {
			f.markRoot(r, int32(i)+1)
		}
	}
	// A grant that loses one of its cells leaves the others too, so those must be marked first.
	for _, r := range old {
		if r != nil && r.pool != nil {
			f.demote(r)
		}
	}
}

// takeMatching moves a root with the same promise out of old, a bound one before others.
func takeMatching(old []*root, promise Guarantee) *root {
	found := -1
	for i, r := range old {
		if r == nil || r.promise != promise {
			continue
		}
		if found < 0 || r.pool != nil {
			found = i
		}
		if r.pool != nil {
			break
		}
	}
	if found < 0 {
		return &root{promise: promise}
	}
	r := old[found]
	old[found] = nil
	return r
}

func (f *Fleet) clearRoots(roots []*root) {
	for _, r := range roots {
		if r.pool != nil {
			f.markRoot(r, 0)
		}
	}
}

func (f *Fleet) markRoot(r *root, mark int32) {
	n := 1 << r.promise.Level
	for i := r.first; i < r.first+n; i++ {
		r.pool.slots[i].root = mark
	}
	r.pool.refresh(f, r.first, n)
}

// demote turns the guaranteed grants in a cell into borrowed or surplus ones.
func (f *Fleet) demote(r *root) {
	n := 1 << r.promise.Level
	for i := r.first; i < r.first+n; i++ {
		for _, id := range []GrantID{r.pool.slots[i].owner, r.pool.slots[i].claim} {
			if g := f.grants[id]; g != nil && g.Mode == Guaranteed {
				f.demoteGrant(g)
			}
		}
	}
	r.pool.refresh(f, r.first, n)
}

func (f *Fleet) demoteGrant(g *Grant) {
	g.Mode = Surplus
	if g.reclaimable {
		g.Mode = Borrowed
	}
	for _, part := range g.Parts {
		p := f.workers[part.Worker].pool
		for i := part.First; i < part.First+part.Slots; i++ {
			f.leaveRoot(p, i)
		}
		p.refresh(f, part.First, part.Slots)
	}
}

// leaveRoot takes one slot of a grant off the account of the guaranteed cell around it.
func (f *Fleet) leaveRoot(p *pool, i int) {
	mark := p.slots[i].root
	if mark == 0 {
		return
	}
	r := f.roots[mark-1]
	r.used--
	if r.used == 0 {
		f.unbind(r)
	}
}

func (f *Fleet) unbind(r *root) {
	f.markRoot(r, 0)
	f.adjustNeed(r.promise, 1)
	r.pool = nil
	r.first, r.used = 0, 0
}

// unbindOver unbinds the guaranteed cells that overlap n slots from first.
func (f *Fleet) unbindOver(p *pool, first, n int) {
	for i := first; i < first+n; i++ {
		mark := p.slots[i].root
		if mark == 0 {
			continue
		}
		r := f.roots[mark-1]
		at, start := r.pool, r.first
		f.unbind(r)
		f.demote(&root{promise: r.promise, pool: at, first: start})
	}
}

// bind ties an unbound root to the cell that starts at first.
func (f *Fleet) bind(index int, p *pool, first int) {
	r := f.roots[index]
	r.pool, r.first, r.used = p, first, 0
	f.adjustNeed(r.promise, -1)
	f.markRoot(r, int32(index)+1)
}

// AtRisk returns the guarantees that could not all be given back at once, each with the
// number of its cells that don't fit. It is empty while every promise holds.
func (f *Fleet) AtRisk() []Guarantee {
	if f.Feasible() {
		return nil
	}
	counts := f.openCounts()
	var missing []Guarantee
	for _, r := range f.unboundRoots() {
		if f.takeCells(counts, needOf(r.promise, 1)) > 0 {
			missing = append(missing, r.promise)
		}
	}
	return mergeCounts(missing)
}

// Feasible reports whether all guarantees could be given back at the same moment. Its cost
// depends on the kinds of promised cells and the number of pools, not on the workers.
func (f *Fleet) Feasible() bool {
	counts := f.openCounts()
	for _, n := range f.needs {
		if f.takeCells(counts, n) > 0 {
			return false
		}
	}
	return true
}

// openCounts returns the numbers of maximal open cells by pool and level.
func (f *Fleet) openCounts() [][]int {
	counts := make([][]int, len(f.pools))
	for i, p := range f.pools {
		counts[i] = make([]int, f.shape.levels())
		for l := range counts[i] {
			counts[i][l] = p.open.maximal(l)
		}
	}
	return counts
}

// need is how many unbound cells of one kind are promised, to all organisations together.
type need struct {
	promise Guarantee // without an organisation, with Count 0
	count   int
}

func needOf(g Guarantee, n int) need {
	g.Org, g.Count = "", 0
	return need{promise: g, count: n}
}

// compareNeeds gives the order in which greedy packing is exact: cells tied to a place first,
// and larger cells before smaller ones.
func compareNeeds(a, b Guarantee) int {
	if (a.Place == "") != (b.Place == "") {
		if a.Place == "" {
			return 1
		}
		return -1
	}
	if n := cmp.Compare(b.Level, a.Level); n != 0 {
		return n
	}
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Place, b.Place))
}

// indexRoots rebuilds what is derived from the roots.
func (f *Fleet) indexRoots() {
	f.needs = nil
	f.byOrg = map[string][]int{}
	for i, r := range f.roots {
		f.byOrg[r.promise.Org] = append(f.byOrg[r.promise.Org], i)
		if r.pool == nil {
			f.adjustNeed(r.promise, 1)
		}
	}
}

func (f *Fleet) adjustNeed(g Guarantee, by int) {
	n := needOf(g, by)
	i, ok := slices.BinarySearchFunc(f.needs, n.promise, func(m need, g Guarantee) int {
		return compareNeeds(m.promise, g)
	})
	if !ok {
		f.needs = slices.Insert(f.needs, i, n)
		return
	}
	f.needs[i].count += by
}

// unboundRoots lists the unbound roots in the order in which greedy packing is exact: those
// tied to a place first, and larger cells before smaller ones.
func (f *Fleet) unboundRoots() []*root {
	var unbound []*root
	for _, r := range f.roots {
		if r.pool == nil {
			unbound = append(unbound, r)
		}
	}
	slices.SortStableFunc(unbound, func(a, b *root) int { return compareNeeds(a.promise, b.promise) })
	return unbound
}

// takeCells takes cells out of the counts of maximal cells, by best fit over all pools that may
// carry the promise. It returns how many are missing.
func (f *Fleet) takeCells(counts [][]int, n need) int {
	left := n.count
	for l := int(n.promise.Level); l < f.shape.levels() && left > 0; l++ {
		for i, p := range f.pools {
			if p.carries(n.promise) {
				left = splitCells(counts[i], int(n.promise.Level), l, left)
			}
		}
	}
	return left
}

// splitCells serves cells of a level out of the larger or equal cells of level l, and puts what
// remains of the last one back as smaller cells. It returns how many are missing.
func splitCells(counts []int, level, l, left int) int {
	share := 1 << (l - level)
	whole := min(left/share, counts[l])
	counts[l] -= whole
	left -= whole * share
	if left == 0 || left >= share || counts[l] == 0 {
		return left
	}
	counts[l]--
	rest := share - left
	for k := level; k < l; k++ {
		counts[k] += rest >> (k - level) & 1
	}
	return 0
}

func (p *pool) carries(g Guarantee) bool {
	return p.key.service == g.Service && (g.Place == "" || g.Place == p.key.place)
}

func mergeCounts(promises []Guarantee) []Guarantee {
	var merged []Guarantee
	for _, g := range promises {
		i := slices.IndexFunc(merged, func(m Guarantee) bool {
			m.Count = g.Count
			return m == g
		})
		if i < 0 {
			merged = append(merged, g)
			continue
		}
		merged[i].Count += g.Count
	}
	return merged
}

// Holding says how much of an organisation's guarantee is in use, in slots.
type Holding struct {
	Promised   int // slots of all guaranteed cells
	Held       int // slots of those that guaranteed grants hold
	Borrowed   int // slots held beyond the guarantee that can be taken back
	Surplus    int // slots held beyond the guarantee that can't be taken back
	Reclaiming int // slots claimed and still held by others
}

// Holding returns the use of one organisation's guarantee.
func (f *Fleet) Holding(org string) Holding {
	var h Holding
	for _, r := range f.roots {
		if r.promise.Org == org {
			h.Promised += 1 << r.promise.Level
		}
	}
	for _, g := range f.grants {
		if g.Org == org {
			h.add(g)
		}
	}
	return h
}

func (h *Holding) add(g *Grant) {
	n := g.SlotCount()
	switch {
	case !g.Ready:
		h.Reclaiming += n
	case g.Mode == Guaranteed:
		h.Held += n
	case g.Mode == Borrowed:
		h.Borrowed += n
	default:
		h.Surplus += n
	}
}
