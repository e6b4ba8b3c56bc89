package placer

import (
	"cmp"
	"slices"
)

// maxVisits limits the work of a pass: how many workers, and runs on them, it looks at while it searches for room. Without a
// limit the leader would decide nothing else for as long as a large queue takes: 0.5 s with 350 workers and 2 s with 6600 are
// the most that it may. It is counted and not timed, so that a plan depends on the input alone.
const maxVisits = 8_000_000

// The work of what is done with a worker or a run, as a multiple of the work to look at a worker.
const (
	visitsPerRun       = 4 // to consider a run for an eviction
	visitsPerRelease   = 8 // to consider the end of a run for a reservation
	visitsPerNeighbour = 3 // to look up how a run interferes
	visitsPerSort      = 3 // to put a worker in order
)

// visit counts the work of a search.
func (p *pass) visit(n int) { p.visits += n }

// isSpent reports whether the pass has done as much work as it may for the units that it places now.
func (p *pass) isSpent() bool { return p.visits >= p.limit }

// placeAll places units in their order. Once the work is limited, it leaves out those that remain, and the next pass goes on
// with them after half of its work, so that units which come first and fit nowhere, or wait for stops, cannot hold up the others
// for ever.
func (p *pass) placeAll(units []*unit) {
	resume := slices.IndexFunc(units, func(u *unit) bool { return u.key() == p.input.Resume })
	for i, u := range units {
		p.limit = p.maxVisits
		if i < resume {
			p.limit /= 2
		}
		switch {
		case len(p.plan.Starts) >= maxStarts:
			p.block(u.key(), PlanFull)
		case p.isSpent():
			p.block(u.key(), SearchLimit)
			if i >= resume && p.plan.Resume == (StepKey{}) {
				p.plan.Resume = u.key()
			}
		default:
			p.place(u)
		}
	}
}

// searchState is what a pass keeps of its searches for room.
type searchState struct {
	maxVisits  int
	exhaustive bool // nothing is kept of searches, for tests

	visits          int
	limit           int          // of visits, for the units that are placed now
	raised          []*candidate // workers whose projected capacity has grown, in the order in which it did
	protectedStops  int          // stops that may keep runs on other workers from being stopped, too
	maxRuns         int          // most runs on a worker
	maxAccelerators int64        // most accelerators of a worker
	scratch         []*candidate
	noRoom          failures // for single tasks: room that is free
	noProjected     failures // room that is free once the pending stops are complete
	noEnds          failures // room that is free once other runs have ended, too
	noGangRoom      failures // for gangs: the same
	noGangProjected failures
	options         taskOptions
	sortedRacks     map[string][][]*candidate // by pool
}

// search is a unit for which room is searched.
type search struct {
	unit   *unit
	racks  bool // in single racks, not in the whole pool
	raised int  // length of pass.raised when it failed last
}

func (p *pass) newSearch(u *unit, domains [][]*candidate) search {
	return search{unit: u, racks: u.prefersRack() && !p.isWholePool(u, domains), raised: len(p.raised)}
}

// maxFailures limits the failed searches that are kept, as each later search is compared with them.
const maxFailures = 64

// failures are searches that found no room. A later search for no less room on no more workers fails as well, but on the workers
// in pass.raised.
type failures struct {
	list []search
}

// findFailure returns the failed search that shows that another one fails, nil if there is none.
func (p *pass) findFailure(f *failures, s search) *search {
	if s.isVolatile() || p.exhaustive {
		return nil
	}
	i := slices.IndexFunc(f.list, func(failed search) bool { return failed.asksNoMoreThan(s) })
	if i < 0 {
		return nil
	}
	return &f.list[i]
}

// add records a failed search.
func (f *failures) add(s search) {
	if s.isVolatile() {
		return
	}
	f.list = slices.DeleteFunc(f.list, func(failed search) bool { return s.asksNoMoreThan(failed) })
	if len(f.list) < maxFailures {
		f.list = append(f.list, s)
	}
}

// isVolatile reports whether the workers that the unit may use can become more within a pass: a trial may take the place of one
// that decides over its job.
func (s search) isVolatile() bool { return s.unit.incautious }

// asksNoMoreThan reports whether s finds room wherever t does. The runs of a step on a worker, which a spread limit counts, only
// become more in a pass. Both units are gangs, or neither is.
func (s search) asksNoMoreThan(t search) bool {
	u, v := s.unit, t.unit
	label, spread := u.step.Spec.GetLabel(), u.step.Spec.GetSpread()
	return (spread == 0 || u.step == v.step) && u.pool == v.pool && len(u.tasks) <= len(v.tasks) && v.need.covers(u.need) && !u.excludesMoreThan(v) && (t.racks || !s.racks) &&
		(label == "" || label == v.step.Spec.GetLabel()) && (u.estimate <= v.estimate || u.anyReserved) && (u.anyReserved || !v.anyReserved)
}

// raise records that the projected capacity of a worker has grown.
func (p *pass) raise(c *candidate) {
	c.stops++
	p.raised = append(p.raised, c)
	c.raised = len(p.raised)
}

// searchTask returns the worker that the choice prefers among those on which a single task of the unit may start. The choice must
// be nil if none has room.
func (p *pass) searchTask(u *unit, counts map[string]int, f *failures, choose func([]*candidate) *candidate) *candidate {
	s := search{unit: u.single(), raised: len(p.raised)}
	workers := p.pools[u.pool]
	failed := p.findFailure(f, s)
	if failed != nil {
		if failed.raised == len(p.raised) {
			return choose(nil)
		}
		workers = p.raisedSince(failed.raised, workers)
	}
	p.visit(len(workers))
	p.scratch = p.scratch[:0]
	for _, c := range workers {
		if u.canStartOn(c, counts) {
			p.scratch = append(p.scratch, c)
		}
	}
	best := choose(p.scratch)
	switch {
	case best != nil:
	case failed == nil:
		f.add(s)
	case failed.asksNoMoreThan(s) && s.asksNoMoreThan(*failed):
		failed.raised = len(p.raised)
	}
	return best
}

// raisedSince returns the workers of a pool whose projected capacity has grown since then, in the order of the pool.
func (p *pass) raisedSince(start int, workers []*candidate) []*candidate {
	var list []*candidate
	if len(p.raised)-start > len(workers)/raisesPerScan {
		p.visit(len(workers) / raisesPerScan)
		for _, c := range workers {
			if c.raised > start {
				list = append(list, c)
			}
		}
		return list
	}
	for _, c := range p.raised[start:] {
		if c.Pool == workers[0].Pool && c.accepts() {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b *candidate) int { return cmp.Compare(a.index, b.index) })
	return slices.Compact(list)
}

// candidatesOf returns the workers on which a task of the unit may start, regardless of free capacity.
func (p *pass) candidatesOf(u *unit, counts map[string]int) []*candidate {
	var list []*candidate
	for _, c := range p.pools[u.pool] {
		if u.canStartOn(c, counts) {
			list = append(list, c)
		}
	}
	return list
}

// raisesPerScan is how many workers are scanned in the time in which one that was raised is put into its place.
const raisesPerScan = 8

// searchGang returns the allocations of all members of a unit that fit best, nil if they do not fit.
func (p *pass) searchGang(u *unit, domains [][]*candidate, f *failures, free func(*candidate) Vector) []allocation {
	s := p.newSearch(u, domains)
	if failed := p.findFailure(f, s); failed != nil && failed.raised == len(p.raised) {
		return nil
	}
	allocations := p.bestFit(u, domains, free)
	if allocations == nil {
		f.add(s)
	}
	return allocations
}
