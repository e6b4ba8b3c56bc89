package planner

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

// Placement is the result of a request.
type Placement struct {
	Grant     *Grant    // nil when there is no room now
	Victims   []GrantID // owners that must go before the grant is ready
	Displaced []GrantID // waiting claims that lost their slots
}

// Place looks for room: within the guarantee first, then on borrowed or surplus cells.
func (f *Fleet) Place(id GrantID, q Request) Placement {
	for _, a := range approaches(q) {
		for _, pools := range f.poolChoices(q) {
			t := &placing{fleet: f, request: q, pools: pools, evict: a.evict, grant: &Grant{
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
}

// approaches lists the ways to find room in turn. Room that nobody uses comes before room that
// must be taken back, so that work is evicted only when there is no other way.
func approaches(q Request) []approach {
	if !q.Reclaimable {
		return []approach{{Guaranteed, false}, {Surplus, false}, {Guaranteed, true}}
	}
	list := []approach{{Guaranteed, false}, {Borrowed, false}, {Guaranteed, true}}
	if q.Evict {
		list = append(list, approach{Borrowed, true})
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

// takeBackfill puts the piece on idle slots of a soft claim that starts after the piece ends.
func (t *placing) takeBackfill(pc piece) bool {
	f := t.fleet
	for _, id := range f.softClaims() {
		g := f.grants[id]
		if t.request.End.After(g.start) {
			continue
		}
		for _, part := range g.Parts {
			p := f.workers[part.Worker].pool
			if !slices.Contains(t.pools, p) {
				continue
			}
			if first, ok := idleRun(p, part, pc, f.shape); ok && !t.avoided(p, first, pc) {
				t.own(p, first, pc)
				return true
			}
		}
	}
	return false
}

// idleRun finds an aligned run of slots without an owner in a part of a claim.
func idleRun(p *pool, part Part, pc piece, shape Shape) (int, bool) {
	if len(pc.runs) > 1 {
		return 0, false
	}
	size := 1 << pc.level
	for first := part.First; first+size <= part.First+part.Slots; first += size {
		index := first / shape.Slots
		if first%size != 0 || !p.usable[index] {
			continue
		}
		if !slices.ContainsFunc(p.slots[first:first+size], func(s slot) bool { return s.owner != 0 }) {
			return first, true
		}
	}
	return 0, false
}

// takeEvicting puts the piece on a cell of the open set, whose borrowed work is taken back.
func (t *placing) takeEvicting(pc piece) bool {
	best := cellChoice{}
	for _, p := range t.pools {
		eachCell(&p.open, pc.level, func(first int) bool {
			if !t.holdsUrgent(p, first, pc) {
				t.weigh(&best, p, first, pc)
			}
			return best.seen < maxCandidates
		})
	}
	if best.pool == nil {
		return false
	}
	t.mark(best.pool, best.first, pc)
	return true
}

// holdsUrgent reports whether the piece would take room back from urgent work. Two urgent jobs
// would otherwise take the same room from each other for ever.
func (t *placing) holdsUrgent(p *pool, first int, pc piece) bool {
	found := false
	t.eachRun(first, pc, func(start, n int) {
		for _, s := range p.slots[start : start+n] {
			for _, id := range []GrantID{s.owner, s.claim} {
				g := t.fleet.grants[id]
				found = found || g != nil && (g.urgent || id == t.grant.ID)
			}
		}
	})
	return found
}

// cellChoice keeps the cheapest cell seen.
type cellChoice struct {
	pool  *pool
	first int
	root  int // root to bind first, -1 for none
	base  int // first slot of the cell to bind it to
	cost  float64
	seen  int
}

// weigh compares one cell with the best one so far by the work that would be lost.
func (t *placing) weigh(best *cellChoice, p *pool, first int, pc piece) {
	best.seen++
	if t.avoided(p, first, pc) || !t.evict && !t.vacant(p, first, pc) {
		return
	}
	cost := t.reclaimCost(p, first, pc)
	if best.pool == nil || cost < best.cost {
		best.pool, best.first, best.cost = p, first, cost
	}
}

// vacant reports whether nothing runs or waits on the slots that the piece needs.
func (t *placing) vacant(p *pool, first int, pc piece) bool {
	vacant := true
	t.eachRun(first, pc, func(start, n int) {
		for _, s := range p.slots[start : start+n] {
			vacant = vacant && s.owner == 0 && s.claim == 0
		}
	})
	return vacant
}

// takeGuaranteed puts the piece into a cell of the organisation's guarantee, an already bound
// one before a new one, the cheapest to clear first.
func (t *placing) takeGuaranteed(pc piece) bool {
	best := cellChoice{}
	for _, i := range t.fleet.byOrg[t.request.Org] {
		r := t.fleet.roots[i]
		if r.pool != nil && t.mayUse(r, pc) && slices.Contains(t.pools, r.pool) {
			t.weighInside(&best, r, pc)
		}
	}
	if best.pool != nil && best.cost == 0 {
		t.mark(best.pool, best.first, pc)
		return true
	}
	fresh := t.weighUnbound(pc)
	if fresh.pool != nil && (best.pool == nil || fresh.cost < best.cost) {
		return t.bindAndMark(fresh, pc)
	}
	if best.pool == nil {
		return false
	}
	t.mark(best.pool, best.first, pc)
	return true
}

func (t *placing) mayUse(r *root, pc piece) bool {
	return r.promise.Org == t.request.Org && r.promise.Service == t.request.Service &&
		int(r.promise.Level) >= pc.level
}

// weighInside weighs the cells inside a bound root that hold no guaranteed work.
func (t *placing) weighInside(best *cellChoice, r *root, pc piece) {
	size := 1 << pc.level
	for first := r.first; first < r.first+1<<r.promise.Level; first += size {
		if t.clearable(r.pool, first, size) {
			t.weigh(best, r.pool, first, pc)
		}
	}
}

func (t *placing) clearable(p *pool, first, size int) bool {
	f := t.fleet
	for i := first; i < first+size; i++ {
		index := i / f.shape.Slots
		usable := p.usable[index] && i%f.shape.Slots < p.width[index]
		if !usable || !f.reclaimable(p.slots[i].owner) || !f.reclaimable(p.slots[i].claim) {
			return false
		}
	}
	return true
}

// weighUnbound weighs the cells to which the smallest fitting unbound root could be bound.
func (t *placing) weighUnbound(pc piece) cellChoice {
	best := cellChoice{}
	tried := map[Guarantee]bool{}
	for level := pc.level; level <= int(t.fleet.shape.MaxLevel()) && best.pool == nil; level++ {
		for _, i := range t.fleet.byOrg[t.request.Org] {
			r := t.fleet.roots[i]
			if r.pool != nil || int(r.promise.Level) != level || !t.mayUse(r, pc) || tried[r.promise] {
				continue
			}
			tried[r.promise] = true
			t.weighBindings(&best, r, pc, i)
		}
	}
	return best
}

func (t *placing) weighBindings(best *cellChoice, r *root, pc piece, index int) {
	for _, p := range t.pools {
		if !p.carries(r.promise) {
			continue
		}
		seen := 0
		eachCell(&p.open, int(r.promise.Level), func(base int) bool {
			t.weighInCell(best, r, p, base, pc, index)
			seen++
			return seen < maxCandidates
		})
	}
}

// weighInCell weighs the places of the piece inside one cell to which a root could be bound.
func (t *placing) weighInCell(best *cellChoice, r *root, p *pool, base int, pc piece, index int) {
	size := 1 << pc.level
	inside := *best
	for first := base; first < base+1<<r.promise.Level; first += size {
		t.weigh(&inside, p, first, pc)
	}
	if inside.pool != best.pool || inside.first != best.first {
		inside.root, inside.base = index, base
	}
	*best = inside
}

// bindAndMark binds the chosen root. When the cheapest cell would break the packing of the
// other guarantees, the cell of best fit, which never does, is bound in its stead.
func (t *placing) bindAndMark(c cellChoice, pc piece) bool {
	f := t.fleet
	safe := f.Feasible()
	f.bind(c.root, c.pool, c.base)
	if safe && !f.Feasible() {
		f.unbind(f.roots[c.root])
		first, ok := c.pool.open.bestFit(int(f.roots[c.root].promise.Level))
		if !ok || t.avoided(c.pool, first, pc) || !t.evict && !t.vacant(c.pool, first, pc) {
			return false
		}
		f.bind(c.root, c.pool, first)
		c.first = first
		if !f.Feasible() {
			f.unbind(f.roots[c.root])
			return false
		}
	}
	t.mark(c.pool, c.first, pc)
	return true
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

// Claim reserves the cell that is expected to become free first for a gang that can't be
// placed now. Nothing is taken back; only work that ends before the start is let in.
func (f *Fleet) Claim(id GrantID, q Request, endOf func(GrantID) time.Time, now time.Time) *Grant {
	pc, ok := f.pieceFor(q.Tasks, q)
	if !ok {
		return nil
	}
	t := &placing{fleet: f, request: q, grant: &Grant{ID: id, Org: q.Org, Mode: Borrowed, reclaimable: true, soft: true}}
	best, start := f.earliestCell(t, pc, endOf, now)
	if best.pool == nil {
		return nil
	}
	t.grant.start = start
	f.soft = append(f.soft, id)
	t.mark(best.pool, best.first, pc)
	f.settle(t.grant)
	return t.grant
}

// earliestCell finds the aligned cell whose owners are all expected to end first.
func (f *Fleet) earliestCell(t *placing, pc piece, endOf func(GrantID) time.Time, now time.Time) (cellChoice, time.Time) {
	best, bestStart := cellChoice{}, time.Time{}
	for _, choice := range f.poolChoices(t.request) {
		p := choice[0]
		size := 1 << pc.level
		for first := 0; first+size <= len(p.slots); first += size {
			start, ok := f.cellEnd(p, first, size, endOf, now)
			if ok && !t.avoided(p, first, pc) && (best.pool == nil || start.Before(bestStart)) {
				best.pool, best.first, bestStart = p, first, start
			}
		}
	}
	return best, bestStart
}

// cellEnd returns when the last owner in a cell is expected to end. ok is false when a slot
// can't be used or is claimed already.
func (f *Fleet) cellEnd(p *pool, first, size int, endOf func(GrantID) time.Time, now time.Time) (time.Time, bool) {
	end := now
	last := GrantID(0)
	for i := first; i < first+size; i++ {
		index := i / f.shape.Slots
		if !p.usable[index] || i%f.shape.Slots >= p.width[index] || p.slots[i].claim != 0 {
			return end, false
		}
		if owner := p.slots[i].owner; owner != 0 && owner != last {
			last = owner
			if e := endOf(owner); e.After(end) {
				end = e
			}
		}
	}
	return end, true
}

// softClaims returns the waiting claims that evict nothing, in order.
func (f *Fleet) softClaims() []GrantID {
	f.soft = slices.DeleteFunc(f.soft, func(id GrantID) bool {
		g := f.grants[id]
		return g == nil || !g.soft || g.Ready
	})
	return f.soft
}
