package scheduler_test

import (
	"reflect"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
)

// replicaPair applies the same events to two states, one of them restored from a snapshot. Both must return the
// same orders, or replicas would diverge.
type replicaPair struct {
	state        *scheduler.State
	restored     *scheduler.State // nil before the first snapshot
	onDifference func(e scheduler.Event, a, b []scheduler.Order)
}

// Step implements policy.
func (t *replicaPair) Step(now time.Time, e scheduler.Event) []scheduler.Order {
	orders := t.state.Step(now, e)
	if t.restored != nil {
		other := t.restored.Step(now, e)
		if !reflect.DeepEqual(orders, other) {
			t.onDifference(e, orders, other)
		}
	}
	return orders
}

// Next implements policy.
func (t *replicaPair) Next() (time.Time, bool) { return t.state.Next() }

// Outstanding implements policy.
func (t *replicaPair) Outstanding() []scheduler.Order { return t.state.Outstanding() }
