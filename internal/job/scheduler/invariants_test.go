package scheduler_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/job/allocator"
	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
)

// checker checks the invariants of the scheduler after each step, one per method.
type checker struct {
	driver        *driver
	state         *scheduler.State
	nonIdempotent map[string]bool // by job ID
	version       uint64
	// disturbed is set once a worker was lost, left or failed, or the manifest changed. From then on, jobs that
	// can't be reclaimed may occupy slots that a guarantee would need.
	disturbed bool
	// evacuatedOwners holds the grants on workers of evacuated places after the last step.
	evacuatedOwners map[allocator.GrantID]bool
	holders         map[attemptKey]map[string]bool // workers that acknowledged a hold, by attempt
}

type attemptKey struct {
	job     string
	attempt uint32
}

// gangStartsAfterAllHolds checks that no member of a gang is ordered to start before all members have
// acknowledged their hold.
func (c *checker) gangStartsAfterAllHolds(e scheduler.Event, orders []scheduler.Order) error {
	if report, ok := e.(scheduler.Report); ok {
		for _, a := range report.Acks {
			key := attemptKey{a.Job, a.Attempt}
			if a.Kind == scheduler.AckHeld && c.holders[key] == nil {
				c.holders[key] = map[string]bool{}
			}
			if a.Kind == scheduler.AckHeld {
				c.holders[key][a.Worker] = true
			}
		}
	}
	for _, o := range orders {
		start, ok := o.(scheduler.Start)
		if ok && !start.Single && len(c.holders[attemptKey{start.Job, start.Attempt}]) < start.Members {
			return fmt.Errorf("partial gang: %s attempt %d starts, held by %d of %d members", start.Job, start.Attempt,
				len(c.holders[attemptKey{start.Job, start.Attempt}]), start.Members)
		}
	}
	return nil
}

func (c *checker) check() error {
	checks := []struct {
		name  string
		check func() error
	}{
		{"indexes", c.state.CheckIndexes},
		{"guarantees fit", c.guaranteesFit},
		{"nothing granted in evacuated places", c.nothingGrantedInEvacuated},
		{"no slot overcommit", c.noSlotOvercommit},
		{"no partial gangs", c.noPartialGangs},
		{"at most once", c.atMostOnce},
		{"notrun never ran", c.notRunNeverRan},
		{"answers are final", c.answersAreFinal},
		{"version is monotonic", c.versionMonotonic},
		{"driver violations", c.driverViolations},
	}
	for _, k := range checks {
		if err := k.check(); err != nil {
			return fmt.Errorf("%s: %w", k.name, err)
		}
	}
	return nil
}

func (c *checker) driverViolations() error {
	if len(c.driver.violations) > 0 {
		return fmt.Errorf("%s", c.driver.violations[0])
	}
	return nil
}

// guaranteesFit searches exhaustively for a packing of all unbound guarantees into the slots that are free or
// borrowed, and compares the result with that of the allocator. All guarantees must fit until the fleet or the
// manifest is disturbed.
func (c *checker) guaranteesFit() error {
	f := c.state.Fleet()
	fits := canPack(freeSlots(f), f.UnboundGuarantees())
	if fits != f.Feasible() {
		return fmt.Errorf("exhaustive search returns fits=%t, the allocator %t", fits, f.Feasible())
	}
	if !fits && !c.disturbed {
		return fmt.Errorf("guarantees do not fit although every worker is usable: %v", f.AtRisk())
	}
	return c.boundCellsExclusive()
}

// nothingOrderedInEvacuated checks that no decision is to hold or to start anything in an evacuated place. Orders that are sent
// again, as they were not confirmed, are no new decisions.
func (c *checker) nothingOrderedInEvacuated(orders []scheduler.Order) error {
	for _, o := range orders {
		var part scheduler.Part
		switch o := o.(type) {
		case scheduler.Hold:
			part = o.Part
		case scheduler.Start:
			part = o.Part
		default:
			continue
		}
		if since, ok := c.driver.evacuated[c.driver.workers[part.Worker].info.Place]; ok {
			return fmt.Errorf("%T of %s for %s %v after the evacuation of its place", o, part.Job, part.Worker, c.driver.now.Sub(since))
		}
	}
	return nil
}

// nothingGrantedInEvacuated checks that workers of evacuated places are not usable, that no guarantee is bound and no claim
// made there, and that nothing is granted there that was not running before.
func (c *checker) nothingGrantedInEvacuated() error {
	owners := map[allocator.GrantID]bool{}
	var err error
	c.state.Fleet().EachSlot(func(_, slot int, cell allocator.SlotInfo) {
		since, evacuated := c.driver.evacuated[cell.Place]
		if !evacuated || cell.Worker == "" {
			return
		}
		if cell.Usable || cell.Claim != 0 || cell.BoundTo != "" {
			err = fmt.Errorf("slot %d of %s in an evacuated place: usable %t, claim %d, bound to %q", slot, cell.Worker, cell.Usable, cell.Claim, cell.BoundTo)
		}
		if cell.Owner != 0 {
			owners[cell.Owner] = true
			if known := c.evacuatedOwners[cell.Owner]; !known && c.driver.now.After(since) {
				err = fmt.Errorf("slot %d of %s was granted %v after the evacuation of its place", slot, cell.Worker, c.driver.now.Sub(since))
			}
		}
	})
	c.evacuatedOwners = owners
	for _, v := range c.state.Jobs("", false) {
		for _, name := range v.Workers {
			if _, evacuated := c.driver.evacuated[c.driver.workers[name].info.Place]; evacuated && v.Phase == scheduler.Holding {
				err = fmt.Errorf("job %s holds slots of %s, whose place is evacuated", v.ID, name)
			}
		}
	}
	return err
}

// boundCellsExclusive checks that a bound cell holds only guaranteed jobs of its own organisation and borrowed
// jobs.
func (c *checker) boundCellsExclusive() error {
	f := c.state.Fleet()
	var err error
	f.EachSlot(func(_, slot int, cell allocator.SlotInfo) {
		g := f.Grant(cell.Owner)
		if cell.BoundTo == "" || g == nil || g.Mode == allocator.Borrowed {
			return
		}
		// A gang that lost one of its cells with a worker keeps its slots in the others. It then runs in cells
		// of its own organisation without being guaranteed.
		own := g.Org == cell.BoundTo && (g.Mode == allocator.Guaranteed || c.disturbed)
		if !own {
			err = fmt.Errorf("slot %d of %s is bound to %s and holds a %s job of %s", slot, cell.Worker, cell.BoundTo, g.Mode, g.Org)
		}
	})
	return err
}

type freePool struct {
	place, service string
	free           []bool
}

// freeSlots returns the slots that would be free for guarantees if all borrowed jobs were reclaimed.
func freeSlots(f *allocator.Fleet) []freePool {
	var pools []freePool
	f.EachSlot(func(pool, _ int, c allocator.SlotInfo) {
		if pool == len(pools) {
			pools = append(pools, freePool{place: c.Place, service: c.Service})
		}
		owner, claim := f.Grant(c.Owner), f.Grant(c.Claim)
		free := c.Usable && c.BoundTo == "" && borrowed(owner) && borrowed(claim)
		pools[pool].free = append(pools[pool].free, free)
	})
	return pools
}

func borrowed(g *allocator.Grant) bool { return g == nil || g.Mode == allocator.Borrowed }

// canPack reports whether all guarantees fit. It tries every cell for every guarantee, largest first.
func canPack(pools []freePool, need []allocator.Guarantee) bool {
	if len(need) == 0 {
		return true
	}
	need = slices.Clone(need)
	slices.SortStableFunc(need, func(a, b allocator.Guarantee) int { return int(b.Level) - int(a.Level) })
	return packRemaining(pools, need)
}

func packRemaining(pools []freePool, need []allocator.Guarantee) bool {
	if len(need) == 0 {
		return true
	}
	g, size := need[0], 1<<need[0].Level
	tried := map[string]bool{}
	for _, p := range pools {
		if p.service != g.Service || g.Place != "" && g.Place != p.place {
			continue
		}
		for first := 0; first+size <= len(p.free); first += size {
			if slices.Contains(p.free[first:first+size], false) {
				continue
			}
			// Cells of one place that split a free cell of the same size are equivalent.
			key := p.place + fmt.Sprint(freeCellSize(p.free, first, size))
			if tried[key] {
				continue
			}
			tried[key] = true
			setFree(p.free, first, size, false)
			ok := packRemaining(pools, need[1:])
			setFree(p.free, first, size, true)
			if ok {
				return true
			}
		}
	}
	return false
}

// freeCellSize returns the size of the largest free aligned cell that contains a cell.
func freeCellSize(free []bool, first, size int) int {
	for {
		next := 2 * size
		start := first / next * next
		if start+next > len(free) || slices.Contains(free[start:start+next], false) {
			return size
		}
		first, size = start, next
	}
}

func setFree(free []bool, first, size int, value bool) {
	for i := first; i < first+size; i++ {
		free[i] = value
	}
}

// noSlotOvercommit checks that no worker uses more slots than it has.
func (c *checker) noSlotOvercommit() error {
	for name, w := range c.driver.workers {
		if used := w.machine.Used(); used > w.info.Slots {
			return fmt.Errorf("worker %s uses %d of %d slots", name, used, w.info.Slots)
		}
	}
	return nil
}

// noPartialGangs checks that no gang runs on only some of its members for longer than lease expiry and message
// delays explain.
func (c *checker) noPartialGangs() error {
	bound := c.driver.timing.LostAfter() + 3*time.Second
	for key := range c.driver.running {
		parts := c.driver.runs[key.job]
		first := parts[c.driver.running[key]]
		running, began, ended := 0, 0, time.Time{}
		for _, r := range parts {
			if r.attempt != key.attempt {
				continue
			}
			began++
			if r.end.IsZero() {
				running++
			} else if ended.IsZero() || r.end.Before(ended) {
				ended = r.end
			}
		}
		if running == first.members {
			continue
		}
		since := first.start
		if began == first.members {
			since = ended
		}
		if c.driver.now.Sub(since) > bound && !c.endsSoon(key, ended) {
			return fmt.Errorf("%s attempt %d has been running on %d of %d members for %s", key.job, key.attempt, running, first.members, c.driver.now.Sub(since))
		}
	}
	return nil
}

// endsSoon reports whether a part is about to end by itself, shortly after the first member of its gang.
func (c *checker) endsSoon(key runKey, ended time.Time) bool {
	w := c.driver.workers[key.worker]
	next, ok := w.machine.Next()
	return ok && !ended.IsZero() && next.Sub(ended) < time.Second
}

func (c *checker) atMostOnce() error {
	for job := range c.nonIdempotent {
		attempts := map[uint32]bool{}
		for _, r := range c.driver.runs[job] {
			attempts[r.attempt] = true
		}
		if len(attempts) > 1 {
			return fmt.Errorf("job %s is not idempotent and ran %d times", job, len(attempts))
		}
	}
	return nil
}

func (c *checker) notRunNeverRan() error {
	for job, v := range c.driver.answers {
		if v.Answer.Outcome == scheduler.NotRun && len(c.driver.runs[job]) > 0 {
			return fmt.Errorf("job %s was answered notrun (%s) and ran on %s", job, v.Answer.Reason, c.driver.runs[job][0].worker)
		}
	}
	return nil
}

func (c *checker) answersAreFinal() error {
	for job, v := range c.driver.answers {
		now, ok := c.state.JobByID(job)
		if ok && (now.Answer == nil || now.Answer.Outcome != v.Answer.Outcome) {
			return fmt.Errorf("job %s was answered %s and now has the answer %v", job, v.Answer.Outcome, now.Answer)
		}
	}
	return nil
}

func (c *checker) versionMonotonic() error {
	if v := c.state.Version(); v < c.version {
		return fmt.Errorf("version went from %d to %d", c.version, v)
	}
	c.version = c.state.Version()
	return nil
}
