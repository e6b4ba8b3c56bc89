package coordinator

import (
	"fmt"
	"slices"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/placer"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

const (
	// fleetKnownAfter is how long a leader leads until the workers that it has heard are the fleet: two
	// rounds of reports of the largest one, and a worker's search for the leader.
	fleetKnownAfter = 8 * time.Second
	// fleetRetry is when a caller may come again whose job fits nowhere: other workers must join first.
	fleetRetry = 30 * time.Second
)

// unplaceable tells why the fleet could not run a job even if it were empty, "" when it could or when
// it is not known well enough.
func (c *Coordinator) unplaceable(w *messages.Work) string {
	if c.opts.Now().Sub(c.began) < fleetKnownAfter {
		return ""
	}
	for i, s := range w.GetSteps() {
		wanted := 1
		if s.GetGang() {
			wanted = int(s.GetCount())
		}
		if seats, known := c.seats(w.GetPool(), s, wanted); known && seats < wanted {
			return fmt.Sprintf("step %d needs room for %d tasks at one time, all workers together have it for %d", i, wanted, seats)
		}
	}
	return ""
}

// seats counts the tasks of a step that the workers of a pool have room for when they are empty, up to
// a limit. known is false when no worker of the pool is known.
func (c *Coordinator) seats(pool string, s *messages.Step, limit int) (seats int, known bool) {
	need := placer.Need(s)
	onOne := limit
	if spread := int(s.GetSpread()); spread > 0 {
		onOne = min(onOne, spread)
	}
	for _, w := range c.workers {
		if w.pool != pool || w.left || w.leaving {
			continue
		}
		known = true
		if label := s.GetLabel(); label != "" && !slices.Contains(w.labels, label) {
			continue
		}
		if seats += w.capacity.Fits(need, onOne); seats >= limit {
			break
		}
	}
	return seats, known
}
