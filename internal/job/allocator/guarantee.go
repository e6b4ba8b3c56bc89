package allocator

import (
	"cmp"
	"fmt"
	"slices"
)

// Guarantee entitles an organisation to Count cells of one level.
type Guarantee struct {
	Org     string
	Service string
	Place   string // "" for any place
	Level   Level
	Count   int
}

// String returns the guarantee as shown to operators.
func (g Guarantee) String() string {
	place := g.Place
	if place == "" {
		place = "any place"
	}
	return fmt.Sprintf("%s: %d cells of %d slots of %s in %s", g.Org, g.Count, 1<<g.Level, g.Service, place)
}

// guaranteedCell is one cell of a guarantee. It is bound to a physical cell from its first grant until its last
// grant is released, so that the unused part of the cell is not fragmented.
type guaranteedCell struct {
	guarantee Guarantee // with Count 1
	pool      *pool     // nil while unbound
	first     int
	used      int // slots that guaranteed grants own or claim
}

// SetGuarantees replaces the guarantees of all organisations. Cells that are still guaranteed stay bound; grants
// in cells that no longer are become borrowed or surplus.
func (f *Fleet) SetGuarantees(guarantees []Guarantee) {
	old := f.guaranteedCells
	f.clearBindings(old)
	f.guaranteedCells = nil
	for _, g := range guarantees {
		for range g.Count {
			single := g
			single.Count = 1
			f.guaranteedCells = append(f.guaranteedCells, takeMatching(old, single))
		}
	}
	f.rebuildIndexes()
	for i, gc := range f.guaranteedCells {
		if gc.pool != nil {
			f.setBinding(gc, int32(i)+1)
		}
	}
	// Demoting a grant that loses one of its cells also releases its slots in the others, so the remaining
	// cells must be bound first.
	for _, gc := range old {
		if gc != nil && gc.pool != nil {
			f.demote(gc)
		}
	}
}

// takeMatching removes from old a cell with the same guarantee, preferably a bound one, and returns it. It
// returns a new unbound cell when there is none.
func takeMatching(old []*guaranteedCell, guarantee Guarantee) *guaranteedCell {
	found := -1
	for i, gc := range old {
		if gc == nil || gc.guarantee != guarantee {
			continue
		}
		if found < 0 || gc.pool != nil {
			found = i
		}
		if gc.pool != nil {
			break
		}
	}
	if found < 0 {
		return &guaranteedCell{guarantee: guarantee}
	}
	gc := old[found]
	old[found] = nil
	return gc
}

func (f *Fleet) clearBindings(cells []*guaranteedCell) {
	for _, gc := range cells {
		if gc.pool != nil {
			f.setBinding(gc, 0)
		}
	}
}

// setBinding sets the binding of all slots of a bound cell: its index plus one, or 0 for none.
func (f *Fleet) setBinding(gc *guaranteedCell, binding int32) {
	n := 1 << gc.guarantee.Level
	for i := gc.first; i < gc.first+n; i++ {
		gc.pool.slots[i].guaranteedCell = binding
	}
	gc.pool.updateSets(f, gc.first, n)
}

// demote turns the guaranteed grants in a cell into borrowed or surplus ones.
func (f *Fleet) demote(gc *guaranteedCell) {
	n := 1 << gc.guarantee.Level
	for i := gc.first; i < gc.first+n; i++ {
		for _, id := range []GrantID{gc.pool.slots[i].owner, gc.pool.slots[i].claim} {
			if g := f.grants[id]; g != nil && g.Mode == Guaranteed {
				f.demoteGrant(g)
			}
		}
	}
	gc.pool.updateSets(f, gc.first, n)
}

func (f *Fleet) demoteGrant(g *Grant) {
	g.Mode = Surplus
	if g.reclaimable {
		g.Mode = Borrowed
	}
	for _, part := range g.Parts {
		p := f.workers[part.Worker].pool
		for i := part.First; i < part.First+part.Slots; i++ {
			f.releaseGuaranteedSlot(p, i)
		}
		p.updateSets(f, part.First, part.Slots)
	}
}

// releaseGuaranteedSlot subtracts one slot of a grant from the use of the guaranteed cell bound there, and
// unbinds the cell when none is left in use.
func (f *Fleet) releaseGuaranteedSlot(p *pool, i int) {
	binding := p.slots[i].guaranteedCell
	if binding == 0 {
		return
	}
	gc := f.guaranteedCells[binding-1]
	gc.used--
	if gc.used == 0 {
		f.unbind(gc)
	}
}

func (f *Fleet) unbind(gc *guaranteedCell) {
	f.setBinding(gc, 0)
	f.adjustDemand(gc.guarantee, 1)
	gc.pool = nil
	gc.first, gc.used = 0, 0
}

// unbindOverlapping unbinds the guaranteed cells that overlap n slots, beginning with first, and demotes the
// grants in them.
func (f *Fleet) unbindOverlapping(p *pool, first, n int) {
	for i := first; i < first+n; i++ {
		binding := p.slots[i].guaranteedCell
		if binding == 0 {
			continue
		}
		gc := f.guaranteedCells[binding-1]
		boundPool, start := gc.pool, gc.first
		f.unbind(gc)
		f.demote(&guaranteedCell{guarantee: gc.guarantee, pool: boundPool, first: start})
	}
}

// bind binds an unbound guaranteed cell to the physical cell that starts at first.
func (f *Fleet) bind(index int, p *pool, first int) {
	gc := f.guaranteedCells[index]
	gc.pool, gc.first, gc.used = p, first, 0
	f.adjustDemand(gc.guarantee, -1)
	f.setBinding(gc, int32(index)+1)
}

// AtRisk returns the guarantees that can't be met if all of them are claimed at once, each with the number
// of cells that don't fit. It is empty while all guarantees can be met.
func (f *Fleet) AtRisk() []Guarantee {
	if f.Feasible() {
		return nil
	}
	counts := f.openCounts()
	var missing []Guarantee
	for _, gc := range f.unboundCells() {
		if f.deductCells(counts, demandOf(gc.guarantee, 1)) > 0 {
			missing = append(missing, gc.guarantee)
		}
	}
	return mergeCounts(missing)
}

// Feasible reports whether all guarantees can be met if all of them are claimed at once. Its cost depends on
// the number of kinds of guaranteed cells and the number of pools, not on the number of workers.
func (f *Fleet) Feasible() bool {
	counts := f.openCounts()
	for _, n := range f.demands {
		if f.deductCells(counts, n) > 0 {
			return false
		}
	}
	return true
}

// openCounts returns the number of maximal open cells by pool and level.
func (f *Fleet) openCounts() [][]int {
	counts := make([][]int, len(f.pools))
	for i, p := range f.pools {
		counts[i] = make([]int, f.geometry.levels())
		for l := range counts[i] {
			counts[i][l] = p.open.countMaximal(l)
		}
	}
	return counts
}

// demand is the number of unbound guaranteed cells of one kind, over all organisations.
type demand struct {
	guarantee Guarantee // with Org and Count cleared
	count     int
}

func demandOf(g Guarantee, n int) demand {
	g.Org, g.Count = "", 0
	return demand{guarantee: g, count: n}
}

// comparePackingOrder defines the order in which greedy packing is exact: cells restricted to a place first,
// and larger cells before smaller ones.
func comparePackingOrder(a, b Guarantee) int {
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

// rebuildIndexes recomputes demands and cellsByOrg from guaranteedCells.
func (f *Fleet) rebuildIndexes() {
	f.demands = nil
	f.cellsByOrg = map[string][]int{}
	for i, gc := range f.guaranteedCells {
		f.cellsByOrg[gc.guarantee.Org] = append(f.cellsByOrg[gc.guarantee.Org], i)
		if gc.pool == nil {
			f.adjustDemand(gc.guarantee, 1)
		}
	}
}

func (f *Fleet) adjustDemand(g Guarantee, by int) {
	n := demandOf(g, by)
	i, ok := slices.BinarySearchFunc(f.demands, n.guarantee, func(m demand, g Guarantee) int {
		return comparePackingOrder(m.guarantee, g)
	})
	if !ok {
		f.demands = slices.Insert(f.demands, i, n)
		return
	}
	f.demands[i].count += by
}

// unboundCells returns the unbound guaranteed cells in packing order (see comparePackingOrder).
func (f *Fleet) unboundCells() []*guaranteedCell {
	var unbound []*guaranteedCell
	for _, gc := range f.guaranteedCells {
		if gc.pool == nil {
			unbound = append(unbound, gc)
		}
	}
	slices.SortStableFunc(unbound, func(a, b *guaranteedCell) int { return comparePackingOrder(a.guarantee, b.guarantee) })
	return unbound
}

// deductCells subtracts the cells of a demand from the counts of maximal cells, by best fit over all pools that
// can host them. It returns the number of cells that don't fit.
func (f *Fleet) deductCells(counts [][]int, n demand) int {
	remaining := n.count
	for l := int(n.guarantee.Level); l < f.geometry.levels() && remaining > 0; l++ {
		for i, p := range f.pools {
			if p.canHost(n.guarantee) {
				remaining = splitCells(counts[i], int(n.guarantee.Level), l, remaining)
			}
		}
	}
	return remaining
}

// splitCells allocates cells of a level from cells of level l, which is at least as high, and adds the rest of
// the last one to the counts of the levels below. It returns the number of cells still to allocate.
func splitCells(counts []int, level, l, remaining int) int {
	perCell := 1 << (l - level)
	whole := min(remaining/perCell, counts[l])
	counts[l] -= whole
	remaining -= whole * perCell
	if remaining == 0 || remaining >= perCell || counts[l] == 0 {
		return remaining
	}
	counts[l]--
	remainder := perCell - remaining
	for k := level; k < l; k++ {
		counts[k] += remainder >> (k - level) & 1
	}
	return 0
}

func (p *pool) canHost(g Guarantee) bool {
	return p.key.service == g.Service && (g.Place == "" || g.Place == p.key.place)
}

func mergeCounts(guarantees []Guarantee) []Guarantee {
	var merged []Guarantee
	for _, g := range guarantees {
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

// GuaranteeUsage is the use of an organisation's guarantee, in slots. Operators see the field names in the listing of
// guarantees.
type GuaranteeUsage struct {
	Promised   int // slots of all guaranteed cells
	Held       int // slots held by guaranteed grants
	Borrowed   int // slots held beyond the guarantee that can be reclaimed
	Surplus    int // slots held beyond the guarantee that can't be reclaimed
	Reclaiming int // slots of claims that are not ready yet
}

// GuaranteeUsage returns the use of an organisation's guarantee.
func (f *Fleet) GuaranteeUsage(org string) GuaranteeUsage {
	var h GuaranteeUsage
	for _, gc := range f.guaranteedCells {
		if gc.guarantee.Org == org {
			h.Promised += 1 << gc.guarantee.Level
		}
	}
	for _, g := range f.grants {
		if g.Org == org {
			h.add(g)
		}
	}
	return h
}

func (h *GuaranteeUsage) add(g *Grant) {
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
