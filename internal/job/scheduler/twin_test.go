package scheduler_test

import (
	"reflect"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
)

// twin runs two states over the same events, as keepers do of which one was restored from a
// snapshot. Both must order the same, or the keepers would drift apart.
type twin struct {
	state    *scheduler.State
	restored *scheduler.State // nil before the first snapshot
	differ   func(e scheduler.Event, a, b []scheduler.Order)
}

// Step implements policy.
func (t *twin) Step(now time.Time, e scheduler.Event) []scheduler.Order {
	orders := t.state.Step(now, e)
	if t.restored != nil {
		other := t.restored.Step(now, e)
		if !reflect.DeepEqual(orders, other) {
			t.differ(e, orders, other)
		}
	}
	return orders
}

// Next implements policy.
func (t *twin) Next() (time.Time, bool) { return t.state.Next() }

// Outstanding implements policy.
func (t *twin) Outstanding() []scheduler.Order { return t.state.Outstanding() }
