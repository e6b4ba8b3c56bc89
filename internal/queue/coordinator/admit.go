package coordinator

import (
	"fmt"
	"slices"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/placer"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

const (
	// fleetDiscoveryTime is how long after its election a leader takes the workers that have reported to be
	// the whole fleet. It covers two report intervals of the largest fleet and a worker's search for the
	// leader.
	fleetDiscoveryTime = 8 * time.Second
	// noCapacityRetryAfter is the retry delay for a job that exceeds the capacity of the fleet. A retry can
	// succeed only after more workers have joined.
	noCapacityRetryAfter = 30 * time.Second
)

// capacityShortfall returns why the fleet could not run a job even if it were idle. It returns "" if the
// fleet could, or if not enough of the fleet is known yet.
func (c *Coordinator) capacityShortfall(w *messages.Work) string {
	if c.opts.Now().Sub(c.termStart) < fleetDiscoveryTime {
		return ""
	}
	for i, s := range w.GetSteps() {
		required := 1
		if s.GetGang() {
			required = int(s.GetCount())
		}
		if slots, known := c.slots(w.GetPool(), s, required); known && slots < required {
			return fmt.Sprintf("step %d needs room for %d tasks at one time, all workers together have it for %d", i, required, slots)
		}
	}
	return ""
}

// countSlots returns how many tasks of a step fit on the workers of a pool when these are idle, up to a
// limit. known is false if no worker of the pool is known.
func (c *Coordinator) slots(pool string, s *messages.Step, limit int) (total int, known bool) {
	need := placer.Need(s)
	perWorker := limit
	if spread := int(s.GetSpread()); spread > 0 {
		perWorker = min(perWorker, spread)
	}
	for _, w := range c.workers {
		if w.pool != pool || w.left || w.leaving {
			continue
		}
		known = true
		if label := s.GetLabel(); label != "" && !slices.Contains(w.labels, label) {
			continue
		}
		if total += w.capacity.Fits(need, perWorker); total >= limit {
			break
		}
	}
	return total, known
}
