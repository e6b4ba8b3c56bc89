package scheduler_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/job/allocator"
	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
)

// checker checks the promises after each step. Each promise is one function, so that a failure
// names it.
type checker struct {
	d       *driver
	s       *scheduler.State
	once    map[string]bool // non-idempotent jobs
	version uint64
	// disturbed is set once workers were lost, left or failed, or the manifest changed: then
	// work that can't be taken back may stand where a guarantee would need it.
	disturbed bool
	held      map[attemptKey]map[string]bool // workers that said they hold, by attempt
}

type attemptKey struct {
	job     string
	attempt uint32
}

// startsOnlyWhatAllHold makes sure that no member of a gang is told to start before each of them
// has said that it holds.
func (c *checker) startsOnlyWhatAllHold(e scheduler.Event, orders []scheduler.Order) error {
	if report, ok := e.(scheduler.Report); ok {
		for _, a := range report.Acks {
			key := attemptKey{a.Job, a.Attempt}
			if a.Kind == scheduler.AckHeld && c.held[key] == nil {
				c.held[key] = map[string]bool{}
			}
			if a.Kind == scheduler.AckHeld {
				c.held[key][a.Worker] = true
			}
		}
	}
	for _, o := range orders {
		start, ok := o.(scheduler.Start)
		if ok && !start.Single && len(c.held[attemptKey{start.Job, start.Attempt}]) < start.Members {
			return fmt.Errorf("gangs whole: %s attempt %d starts, held by %d of %d members", start.Job, start.Attempt,
				len(c.held[attemptKey{start.Job, start.Attempt}]), start.Members)
		}
	}
	return nil
}

func (c *checker) check() error {
	checks := []struct {
		name  string
		check func() error
	}{
		{"indexes", c.s.CheckIndexes},
		{"guarantees reclaimable", c.guaranteesReclaimable},
		{"slots not shared", c.slotsNotShared},
		{"gangs whole", c.gangsWhole},
		{"at most once", c.atMostOnce},
		{"notrun is true", c.notRunIsTrue},
		{"answers are final", c.answersAreFinal},
		{"version never goes down", c.versionNeverDown},
		{"seen by the driver", c.seenByDriver},
	}
	for _, k := range checks {
		if err := k.check(); err != nil {
			return fmt.Errorf("%s: %w", k.name, err)
		}
	}
	return nil
}

func (c *checker) seenByDriver() error {
	if len(c.d.faults) > 0 {
		return fmt.Errorf("%s", c.d.faults[0])
	}
	return nil
}

// guaranteesReclaimable packs all unbound guarantees by exhaustive search over the real slots,
// with nothing but borrowed work taken back, and compares the result with the allocator's word.
// Everything must fit until the fleet or the guarantees are disturbed.
func (c *checker) guaranteesReclaimable() error {
	f := c.s.Fleet()
	fits := packAll(openSlots(f), f.Unbound())
	if fits != f.Feasible() {
		return fmt.Errorf("exhaustive search says fits=%t, the allocator says %t", fits, f.Feasible())
	}
	if !fits && !c.disturbed {
		return fmt.Errorf("with every worker usable these don't fit: %v", f.AtRisk())
	}
	return c.boundCellsOwned()
}

// boundCellsOwned makes sure that a bound cell holds only its organisation's own guaranteed work
// and work that can be taken back.
func (c *checker) boundCellsOwned() error {
	f := c.s.Fleet()
	var err error
	f.EachCell(func(_, slot int, cell allocator.Cell) {
		g := f.Grant(cell.Owner)
		if cell.Bound == "" || g == nil || g.Mode == allocator.Borrowed {
			return
		}
		// A gang that lost one of its cells with a worker keeps what it has in the others; that is
		// its own organisation's work in its own organisation's cell.
		own := g.Org == cell.Bound && (g.Mode == allocator.Guaranteed || c.disturbed)
		if !own {
			err = fmt.Errorf("slot %d of %s is bound to %s and holds %s work of %s", slot, cell.Worker, cell.Bound, g.Mode, g.Org)
		}
	})
	return err
}

type openPool struct {
	place, service string
	open           []bool
}

// openSlots lists the slots that guarantees could have if borrowed work were taken back.
func openSlots(f *allocator.Fleet) []openPool {
	var pools []openPool
	f.EachCell(func(pool, _ int, c allocator.Cell) {
		if pool == len(pools) {
			pools = append(pools, openPool{place: c.Place, service: c.Service})
		}
		owner, claim := f.Grant(c.Owner), f.Grant(c.Claim)
		open := c.Usable && c.Bound == "" && borrowed(owner) && borrowed(claim)
		pools[pool].open = append(pools[pool].open, open)
	})
	return pools
}

func borrowed(g *allocator.Grant) bool { return g == nil || g.Mode == allocator.Borrowed }

// packAll tries every cell for every guarantee, largest first.
func packAll(pools []openPool, need []allocator.Guarantee) bool {
	if len(need) == 0 {
		return true
	}
	need = slices.Clone(need)
	slices.SortStableFunc(need, func(a, b allocator.Guarantee) int { return int(b.Level) - int(a.Level) })
	return packNext(pools, need)
}

func packNext(pools []openPool, need []allocator.Guarantee) bool {
	if len(need) == 0 {
		return true
	}
	g, size := need[0], 1<<need[0].Level
	tried := map[string]bool{}
	for _, p := range pools {
		if p.service != g.Service || g.Place != "" && g.Place != p.place {
			continue
		}
		for first := 0; first+size <= len(p.open); first += size {
			if slices.Contains(p.open[first:first+size], false) {
				continue
			}
			// Cells of one place that leave the same free counts behind are the same choice.
			key := p.place + fmt.Sprint(aroundCell(p.open, first, size))
			if tried[key] {
				continue
			}
			tried[key] = true
			fill(p.open, first, size, false)
			ok := packNext(pools, need[1:])
			fill(p.open, first, size, true)
			if ok {
				return true
			}
		}
	}
	return false
}

// aroundCell returns the size of the largest open aligned cell around a cell.
func aroundCell(open []bool, first, size int) int {
	for {
		next := 2 * size
		start := first / next * next
		if start+next > len(open) || slices.Contains(open[start:start+next], false) {
			return size
		}
		first, size = start, next
	}
}

func fill(open []bool, first, size int, value bool) {
	for i := first; i < first+size; i++ {
		open[i] = value
	}
}

// slotsNotShared compares what truly runs on each worker with its slots.
func (c *checker) slotsNotShared() error {
	for name, w := range c.d.workers {
		if used := w.machine.Used(); used > w.info.Slots {
			return fmt.Errorf("worker %s runs %d slots of %d", name, used, w.info.Slots)
		}
	}
	return nil
}

// gangsWhole makes sure that no gang runs in part for longer than a lease runs and messages
// take.
func (c *checker) gangsWhole() error {
	bound := c.d.timing.LostAfter() + 3*time.Second
	for key := range c.d.open {
		parts := c.d.runs[key.job]
		first := parts[c.d.open[key]]
		running, began, ended := 0, 0, time.Time{}
		for _, r := range parts {
			if r.attempt != key.attempt {
				continue
			}
			began++
			if r.to.IsZero() {
				running++
			} else if ended.IsZero() || r.to.Before(ended) {
				ended = r.to
			}
		}
		if running == first.members {
			continue
		}
		since := first.from
		if began == first.members {
			since = ended
		}
		if c.d.now.Sub(since) > bound && !c.endsApart(key, ended) {
			return fmt.Errorf("%s attempt %d runs on %d of %d members since %s", key.job, key.attempt, running, first.members, c.d.now.Sub(since))
		}
	}
	return nil
}

// endsApart allows members of one gang to reach their own ends at different times.
func (c *checker) endsApart(key partKey, ended time.Time) bool {
	w := c.d.workers[key.worker]
	next, ok := w.machine.Next()
	return ok && !ended.IsZero() && next.Sub(ended) < time.Second
}

func (c *checker) atMostOnce() error {
	for job := range c.once {
		attempts := map[uint32]bool{}
		for _, r := range c.d.runs[job] {
			attempts[r.attempt] = true
		}
		if len(attempts) > 1 {
			return fmt.Errorf("job %s is not idempotent and ran %d times", job, len(attempts))
		}
	}
	return nil
}

func (c *checker) notRunIsTrue() error {
	for job, v := range c.d.answers {
		if v.Answer.Outcome == scheduler.NotRun && len(c.d.runs[job]) > 0 {
			return fmt.Errorf("job %s was answered notrun (%s) and ran on %s", job, v.Answer.Reason, c.d.runs[job][0].worker)
		}
	}
	return nil
}

func (c *checker) answersAreFinal() error {
	for job, v := range c.d.answers {
		now, ok := c.s.JobByID(job)
		if ok && (now.Answer == nil || now.Answer.Outcome != v.Answer.Outcome) {
			return fmt.Errorf("job %s was answered %s and now stands at %v", job, v.Answer.Outcome, now.Answer)
		}
	}
	return nil
}

func (c *checker) versionNeverDown() error {
	if v := c.s.Version(); v < c.version {
		return fmt.Errorf("version went from %d to %d", c.version, v)
	}
	c.version = c.s.Version()
	return nil
}
