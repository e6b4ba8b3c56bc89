package allocator

import (
	"slices"
	"time"
)

// Adjacency is how close together the tasks of a gang must run.
type Adjacency int

// The degrees of adjacency, from loosest to tightest.
const (
	Anywhere Adjacency = iota
	SamePlace
	SameRack
	SameWorker
)

// maxCandidates limits the number of cells compared for one subgang.
const maxCandidates = 32

// Request is a request for the slots of a gang.
type Request struct {
	Org         string
	Service     string
	Place       string // "" for any place
	Prefer      string // place to try first, "" for none
	Tasks       int
	Slots       int // slots per task
	Adjacency   Adjacency
	Reclaimable bool     // the work can be checkpointed, or stopped and run again
	Evict       bool     // may reclaim borrowed slots of others beyond the guarantee
	Avoid       []string // workers not to use
	End         time.Time
}

// Placement is the result of a request.
type Placement struct {
	Grant     *Grant    // nil when the request can't be placed now
	Victims   []GrantID // owners that must be evicted before the grant is ready
	Displaced []GrantID // pending claims that lost their slots
}

// Place places a gang on the fleet: within the guarantee if possible, otherwise on borrowed or surplus slots.
func (f *Fleet) Place(id GrantID, q Request) Placement {
	for _, a := range f.strategies(q) {
		for _, pools := range f.poolGroups(q) {
			t := &placementAttempt{fleet: f, request: q, pools: pools, evict: a.evict, split: a.split, grant: &Grant{
				ID: id, Org: q.Org, Mode: a.mode, reclaimable: q.Reclaimable, urgent: q.Evict,
			}}
			if t.placeGang() {
				return t.commit()
			}
			t.rollback()
		}
	}
	return Placement{}
}

// strategy is one way to place a request.
type strategy struct {
	mode  Mode
	evict bool // borrowed work may be evicted
	split bool // a free worker may be split, or a new guaranteed cell bound
}

// strategies returns the strategies to try, in order. Free slots come before slots that must be reclaimed, so
// work is evicted only as a last resort. A compact fleet fills partly used workers before it splits a free
// one. That keeps larger cells intact, but more work runs on borrowed slots and may be evicted later.
func (f *Fleet) strategies(q Request) []strategy {
	excess := Borrowed
	if !q.Reclaimable {
		excess = Surplus
	}
	var list []strategy
	if f.compact {
		list = append(list, strategy{Guaranteed, false, false})
		if q.Reclaimable {
			list = append(list, strategy{Borrowed, false, false})
		}
	}
	list = append(list, strategy{Guaranteed, false, true}, strategy{excess, false, true}, strategy{Guaranteed, true, true})
	if q.Evict && q.Reclaimable {
		list = append(list, strategy{Borrowed, true, true})
	}
	return list
}

// poolGroups returns the groups of pools to try, in order: each place by itself and, for gangs that may span
// places, all places together at the end.
func (f *Fleet) poolGroups(q Request) [][]*pool {
	var eligible []*pool
	for _, p := range f.pools {
		if p.key.service == q.Service && (q.Place == "" || q.Place == p.key.place) {
			eligible = append(eligible, p)
		}
	}
	slices.SortStableFunc(eligible, func(a, b *pool) int {
		return placeRank(a, q.Prefer) - placeRank(b, q.Prefer)
	})
	var groups [][]*pool
	for _, p := range eligible {
		groups = append(groups, []*pool{p})
	}
	if q.Adjacency == Anywhere && q.Tasks > 1 && len(eligible) > 1 {
		groups = append(groups, eligible)
	}
	return groups
}

func placeRank(p *pool, prefer string) int {
	if p.key.place == prefer {
		return 0
	}
	return 1
}

// placementAttempt is one attempt to place a request with one strategy in a group of pools.
type placementAttempt struct {
	fleet       *Fleet
	request     Request
	pools       []*pool
	evict       bool
	split       bool
	grant       *Grant
	victims     []GrantID
	displaced   []GrantID
	overwritten []overwrittenClaim
}

// overwrittenClaim is a slot whose pending claim the attempt has replaced, kept for the rollback.
type overwrittenClaim struct {
	pool  *pool
	index int
	claim GrantID
}

func (t *placementAttempt) commit() Placement {
	for _, id := range t.displaced {
		t.fleet.Release(id)
	}
	t.fleet.activate(t.grant)
	return Placement{Grant: t.grant, Victims: t.victims, Displaced: t.displaced}
}

// rollback restores the state before the attempt.
func (t *placementAttempt) rollback() {
	t.fleet.Release(t.grant.ID)
	for _, c := range t.overwritten {
		c.pool.slots[c.index].claim = c.claim
		c.pool.updateSets(t.fleet, c.index, 1)
	}
}

// subgang is the part of a gang that is placed in one cell.
type subgang struct {
	level int
	runs  []int // slots used on each worker of the cell, in order
}

func (t *placementAttempt) placeGang() bool {
	remaining := t.request.Tasks
	singleCell := t.request.Adjacency >= SameRack
	size := remaining
	for remaining > 0 {
		size = min(size, remaining)
		sg, ok := t.fleet.subgangFor(size, t.request)
		if ok && t.placeSubgang(sg) {
			remaining -= size
			continue
		}
		if singleCell || size == 1 {
			return false
		}
		size = t.fleet.smallerSubgang(size, t.request.Slots)
	}
	return t.grant.Mode != Surplus || t.fleet.Feasible()
}

// smallerSubgang returns the next smaller number of tasks to try in one cell.
func (f *Fleet) smallerSubgang(size, slots int) int {
	perWorker := f.geometry.Slots / slots
	if size > perWorker {
		return perWorker
	}
	return (size + 1) / 2
}

// subgangFor lays out n tasks in one cell. It returns false when no cell can hold them.
func (f *Fleet) subgangFor(n int, q Request) (subgang, bool) {
	perWorker := f.geometry.Slots / q.Slots
	if perWorker == 0 {
		return subgang{}, false
	}
	if n <= perWorker {
		level := levelFor(n * q.Slots)
		return subgang{level: level, runs: []int{n * q.Slots}}, true
	}
	workers := (n + perWorker - 1) / perWorker
	level := int(f.geometry.WorkerLevel()) + levelFor(workers)
	limit := f.geometry.MaxLevel()
	if q.Adjacency == SameRack {
		limit = f.geometry.RackLevel()
	}
	if q.Adjacency == SameWorker || level > int(limit) {
		return subgang{}, false
	}
	sg := subgang{level: level}
	for n > 0 {
		k := min(n, perWorker)
		sg.runs = append(sg.runs, k*q.Slots)
		n -= k
	}
	return sg, true
}

func (t *placementAttempt) placeSubgang(sg subgang) bool {
	switch t.grant.Mode {
	case Guaranteed:
		return t.placeInGuarantee(sg)
	case Borrowed:
		return t.placeOnFree(sg) || t.placeAsBackfill(sg) || t.evict && t.placeByEviction(sg)
	case Surplus:
		return t.placeOnFree(sg)
	}
	return false
}

// placeOnFree places the subgang in the best-fit free cell.
func (t *placementAttempt) placeOnFree(sg subgang) bool {
	for _, p := range t.pools {
		found := false
		eachCellByBestFit(&p.free, sg.level, func(first int) bool {
			if !t.split && t.onFreeWorker(p, first) {
				return false
			}
			if t.overlapsAvoided(p, first, sg) || t.overlapsGuarantee(p, first, sg) {
				return true
			}
			t.claimSlots(p, first, sg)
			found = true
			return false
		})
		if found {
			return true
		}
	}
	return false
}

// overlapsGuarantee reports whether surplus work would be placed in a cell bound to a guarantee.
func (t *placementAttempt) overlapsGuarantee(p *pool, first int, sg subgang) bool {
	if t.grant.Mode != Surplus {
		return false
	}
	return slices.ContainsFunc(p.slots[first:first+1<<sg.level], func(s slot) bool {
		return s.guaranteedCell != 0
	})
}

// eachCellByBestFit calls visit with the first slot of each cell of a level in the set, until visit returns
// false. Cells inside smaller maximal cells come first.
func eachCellByBestFit(set *cellSet, level int, visit func(first int) bool) {
	more := true
	for l := level; l < len(set.full) && more; l++ {
		set.eachMaximal(l, func(i int) bool {
			for first := i << l; first < (i+1)<<l && more; first += 1 << level {
				more = visit(first)
			}
			return more
		})
	}
}

// overlapsAvoided reports whether the subgang would use a worker listed in Request.Avoid.
func (t *placementAttempt) overlapsAvoided(p *pool, first int, sg subgang) bool {
	if len(t.request.Avoid) == 0 {
		return false
	}
	worker := first / t.fleet.geometry.Slots
	for i := range sg.runs {
		if slices.Contains(t.request.Avoid, p.workers[worker+i]) {
			return true
		}
	}
	return false
}

// reclaimCost returns the work lost if the owners of the slots that the subgang needs are evicted.
func (t *placementAttempt) reclaimCost(p *pool, first int, sg subgang) float64 {
	total := 0.0
	var seen []GrantID
	t.eachRun(first, sg, func(start, n int) {
		for i := start; i < start+n; i++ {
			id := p.slots[i].owner
			if id != 0 && !slices.Contains(seen, id) {
				seen = append(seen, id)
				total += t.fleet.reclaimCost(id)
			}
		}
	})
	return total
}

// eachRun calls visit with the run of slots that the subgang needs on each worker.
func (t *placementAttempt) eachRun(first int, sg subgang, visit func(start, n int)) {
	for i, n := range sg.runs {
		visit(first+i*t.fleet.geometry.Slots, n)
	}
}

// claimSlots claims the slots of the subgang. Owners of the slots become victims, and pending claims on them are
// displaced.
func (t *placementAttempt) claimSlots(p *pool, first int, sg subgang) {
	t.eachRun(first, sg, func(start, n int) {
		for i := start; i < start+n; i++ {
			t.claimSlot(p, i)
		}
		t.addPart(p, start, n)
		p.updateSets(t.fleet, start, n)
	})
}

func (t *placementAttempt) claimSlot(p *pool, i int) {
	s := &p.slots[i]
	if s.claim != 0 {
		t.overwritten = append(t.overwritten, overwrittenClaim{p, i, s.claim})
		if !slices.Contains(t.displaced, s.claim) {
			t.displaced = append(t.displaced, s.claim)
		}
	}
	if s.owner != 0 && !slices.Contains(t.victims, s.owner) {
		t.victims = append(t.victims, s.owner)
	}
	s.claim = t.grant.ID
	if t.grant.Mode == Guaranteed {
		t.fleet.guaranteedCells[s.guaranteedCell-1].used++
	}
	t.fleet.grants[t.grant.ID] = t.grant
}

// ownSlots makes the grant the owner of the slots of the subgang at once. The reservation on them stays.
func (t *placementAttempt) ownSlots(p *pool, first int, sg subgang) {
	t.fleet.grants[t.grant.ID] = t.grant
	t.eachRun(first, sg, func(start, n int) {
		for i := start; i < start+n; i++ {
			p.slots[i].owner = t.grant.ID
		}
		t.addPart(p, start, n)
		p.updateSets(t.fleet, start, n)
	})
}

func (t *placementAttempt) addPart(p *pool, start, n int) {
	worker := p.workers[start/t.fleet.geometry.Slots]
	tasks := n / t.request.Slots
	t.grant.Parts = append(t.grant.Parts, Part{Worker: worker, First: start, Slots: n, Tasks: tasks})
}

// onFreeWorker reports whether the slot belongs to a completely free worker.
func (t *placementAttempt) onFreeWorker(p *pool, first int) bool {
	level := int(t.fleet.geometry.WorkerLevel())
	return p.free.has(level, first>>level)
}
