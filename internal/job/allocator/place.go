package allocator

import (
	"slices"
	"time"
)

// Adjacency says how close together the tasks of a gang must run.
type Adjacency int

// The degrees of adjacency, from loosest to tightest.
const (
	Anywhere Adjacency = iota
	SamePlace
	SameRack
	SameWorker
)

// maxCandidates bounds how many cells are compared for one piece of a request.
const maxCandidates = 32

// Request asks for room for a gang.
type Request struct {
	Org         string
	Service     string
	Place       string // "" for any place
	Prefer      string // place to try first, "" for none
	Tasks       int
	Slots       int // slots of each task
	Adjacency   Adjacency
	Reclaimable bool     // the work can be checkpointed or stopped and run again
	Evict       bool     // may take back borrowed work of others beyond the guarantee
	Avoid       []string // workers not to use
	End         time.Time
}

// Placement is the result of a request.
type Placement struct {
	Grant     *Grant    // nil when there is no room now
	Victims   []GrantID // owners that must go before the grant is ready
	Displaced []GrantID // waiting claims that lost their slots
}

// Place looks for room: within the guarantee first, then on borrowed or surplus cells.
func (f *Fleet) Place(id GrantID, q Request) Placement {
	for _, a := range f.approaches(q) {
		for _, pools := range f.poolChoices(q) {
			t := &placing{fleet: f, request: q, pools: pools, evict: a.evict, split: a.split, grant: &Grant{
				ID: id, Org: q.Org, Mode: a.mode, reclaimable: q.Reclaimable, urgent: q.Evict,
			}}
			if t.run() {
				return t.commit()
			}
			t.rollback()
		}
	}
	return Placement{}
}

// approach is one way to find room.
type approach struct {
	mode  Mode
	evict bool // borrowed work may be taken back for it
	split bool // a free worker may be split, or a new guaranteed cell bound, for it
}

// approaches lists the ways to find room in turn. Room that nobody uses comes before room that
// must be taken back, so that work is evicted only when there is no other way. A compact fleet
// fills partly used workers before it splits a free one, which leaves larger cells whole and lets
// more work run on borrowed room, to be evicted later.
func (f *Fleet) approaches(q Request) []approach {
	beyond := Borrowed
	if !q.Reclaimable {
		beyond = Surplus
	}
	var list []approach
	if f.compact {
		list = append(list, approach{Guaranteed, false, false})
		if q.Reclaimable {
			list = append(list, approach{Borrowed, false, false})
		}
	}
	list = append(list, approach{Guaranteed, false, true}, approach{beyond, false, true}, approach{Guaranteed, true, true})
	if q.Evict && q.Reclaimable {
		list = append(list, approach{Borrowed, true, true})
	}
	return list
}

// poolChoices returns the groups of pools to try in turn: one place at a time, and for gangs
// that may spread, all places together at the end.
func (f *Fleet) poolChoices(q Request) [][]*pool {
	var eligible []*pool
	for _, p := range f.pools {
		if p.key.service == q.Service && (q.Place == "" || q.Place == p.key.place) {
			eligible = append(eligible, p)
		}
	}
	slices.SortStableFunc(eligible, func(a, b *pool) int {
		return rankPlace(a, q.Prefer) - rankPlace(b, q.Prefer)
	})
	var choices [][]*pool
	for _, p := range eligible {
		choices = append(choices, []*pool{p})
	}
	if q.Adjacency == Anywhere && q.Tasks > 1 && len(eligible) > 1 {
		choices = append(choices, eligible)
	}
	return choices
}

func rankPlace(p *pool, prefer string) int {
	if p.key.place == prefer {
		return 0
	}
	return 1
}

// placing is one attempt to place a request under one mode in some pools.
type placing struct {
	fleet     *Fleet
	request   Request
	pools     []*pool
	evict     bool
	split     bool
	grant     *Grant
	victims   []GrantID
	displaced []GrantID
	taken     []takenClaim
}

// takenClaim is a slot whose waiting claim the attempt has written over.
type takenClaim struct {
	pool  *pool
	index int
	claim GrantID
}

func (t *placing) commit() Placement {
	for _, id := range t.displaced {
		t.fleet.Release(id)
	}
	t.fleet.settle(t.grant)
	return Placement{Grant: t.grant, Victims: t.victims, Displaced: t.displaced}
}

// rollback leaves everything as it was before the attempt.
func (t *placing) rollback() {
	t.fleet.Release(t.grant.ID)
	for _, c := range t.taken {
		c.pool.slots[c.index].claim = c.claim
		c.pool.refresh(t.fleet, c.index, 1)
	}
}

// piece is a part of the gang that needs one cell.
type piece struct {
	tasks int
	level int
	runs  []int // slots taken on each worker of the cell in turn
}

func (t *placing) run() bool {
	left := t.request.Tasks
	whole := t.request.Adjacency >= SameRack
	size := left
	for left > 0 {
		size = min(size, left)
		pc, ok := t.fleet.pieceFor(size, t.request)
		if ok && t.takePiece(pc) {
			left -= size
			continue
		}
		if whole || size == 1 {
			return false
		}
		size = t.fleet.smallerPiece(size, t.request.Slots)
	}
	return t.grant.Mode != Surplus || t.fleet.Feasible()
}

// smallerPiece returns the next smaller number of tasks to try in one cell.
func (f *Fleet) smallerPiece(size, slots int) int {
	perWorker := f.shape.Slots / slots
	if size > perWorker {
		return perWorker
	}
	return (size + 1) / 2
}

// pieceFor lays out n tasks in one cell. ok is false when no cell can hold them.
func (f *Fleet) pieceFor(n int, q Request) (piece, bool) {
	perWorker := f.shape.Slots / q.Slots
	if perWorker == 0 {
		return piece{}, false
	}
	if n <= perWorker {
		level := levelFor(n * q.Slots)
		return piece{tasks: n, level: level, runs: []int{n * q.Slots}}, true
	}
	workers := (n + perWorker - 1) / perWorker
	level := int(f.shape.WorkerLevel()) + levelFor(workers)
	limit := f.shape.MaxLevel()
	if q.Adjacency == SameRack {
		limit = f.shape.RackLevel()
	}
	if q.Adjacency == SameWorker || level > int(limit) {
		return piece{}, false
	}
	pc := piece{tasks: n, level: level}
	for n > 0 {
		k := min(n, perWorker)
		pc.runs = append(pc.runs, k*q.Slots)
		n -= k
	}
	return pc, true
}

func (t *placing) takePiece(pc piece) bool {
	switch t.grant.Mode {
	case Guaranteed:
		return t.takeGuaranteed(pc)
	case Borrowed:
		return t.takeFree(pc) || t.takeBackfill(pc) || t.evict && t.takeEvicting(pc)
	case Surplus:
		return t.takeFree(pc)
	}
	return false
}

// takeFree puts the piece into the free cell of best fit.
func (t *placing) takeFree(pc piece) bool {
	for _, p := range t.pools {
		found := false
		eachCell(&p.free, pc.level, func(first int) bool {
			if !t.split && t.splitsWorker(p, first) {
				return false
			}
			if t.avoided(p, first, pc) || t.pinsGuarantee(p, first, pc) {
				return true
			}
			t.mark(p, first, pc)
			found = true
			return false
		})
		if found {
			return true
		}
	}
	return false
}

// pinsGuarantee reports whether surplus work would land in a cell that is bound to a guarantee.
func (t *placing) pinsGuarantee(p *pool, first int, pc piece) bool {
	if t.grant.Mode != Surplus {
		return false
	}
	return slices.ContainsFunc(p.slots[first:first+1<<pc.level], func(s slot) bool {
		return s.root != 0
	})
}

// eachCell visits the cells of a level in a set, those inside the smallest maximal cells first.
func eachCell(set *cellSet, level int, visit func(first int) bool) {
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

// avoided reports whether the piece would touch a worker that the request avoids.
func (t *placing) avoided(p *pool, first int, pc piece) bool {
	if len(t.request.Avoid) == 0 {
		return false
	}
	worker := first / t.fleet.shape.Slots
	for i := range pc.runs {
		if slices.Contains(t.request.Avoid, p.workers[worker+i]) {
			return true
		}
	}
	return false
}

// reclaimCost sums the work lost by the owners of the slots that the piece needs.
func (t *placing) reclaimCost(p *pool, first int, pc piece) float64 {
	total := 0.0
	var seen []GrantID
	t.eachRun(first, pc, func(start, n int) {
		for i := start; i < start+n; i++ {
			id := p.slots[i].owner
			if id != 0 && !slices.Contains(seen, id) {
				seen = append(seen, id)
				total += t.fleet.cost(id)
			}
		}
	})
	return total
}

// eachRun calls visit with the slots that the piece takes on each worker.
func (t *placing) eachRun(first int, pc piece, visit func(start, n int)) {
	for i, n := range pc.runs {
		visit(first+i*t.fleet.shape.Slots, n)
	}
}

// mark claims the slots of the piece. Borrowed owners become victims and waiting claims are
// dropped.
func (t *placing) mark(p *pool, first int, pc piece) {
	t.eachRun(first, pc, func(start, n int) {
		for i := start; i < start+n; i++ {
			t.claimSlot(p, i)
		}
		t.addPart(p, start, n)
		p.refresh(t.fleet, start, n)
	})
}

func (t *placing) claimSlot(p *pool, i int) {
	s := &p.slots[i]
	if s.claim != 0 {
		t.taken = append(t.taken, takenClaim{p, i, s.claim})
		if !slices.Contains(t.displaced, s.claim) {
			t.displaced = append(t.displaced, s.claim)
		}
	}
	if s.owner != 0 && !slices.Contains(t.victims, s.owner) {
		t.victims = append(t.victims, s.owner)
	}
	s.claim = t.grant.ID
	if t.grant.Mode == Guaranteed {
		t.fleet.roots[s.root-1].used++
	}
	t.fleet.grants[t.grant.ID] = t.grant
}

// own makes the piece the owner at once, under a soft claim that stays.
func (t *placing) own(p *pool, first int, pc piece) {
	t.fleet.grants[t.grant.ID] = t.grant
	t.eachRun(first, pc, func(start, n int) {
		for i := start; i < start+n; i++ {
			p.slots[i].owner = t.grant.ID
		}
		t.addPart(p, start, n)
		p.refresh(t.fleet, start, n)
	})
}

func (t *placing) addPart(p *pool, start, n int) {
	worker := p.workers[start/t.fleet.shape.Slots]
	tasks := n / t.request.Slots
	t.grant.Parts = append(t.grant.Parts, Part{Worker: worker, First: start, Slots: n, Tasks: tasks})
}

// splitsWorker reports whether the slot lies on a worker that is wholly free.
func (t *placing) splitsWorker(p *pool, first int) bool {
	level := int(t.fleet.shape.WorkerLevel())
	return p.free.has(level, first>>level)
}
