package tracker

import (
	"maps"
	"slices"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// Evacuations returns the data centres that are evacuated, ordered by place. The caller must not modify them.
func (t *Tracker) Evacuations() []*messages.Evacuation {
	list := make([]*messages.Evacuation, 0, len(t.evacuations))
	for _, place := range slices.Sorted(maps.Keys(t.evacuations)) {
		list = append(list, t.evacuations[place])
	}
	return list
}

// IsEvacuated reports whether nothing may be started on the workers of a data centre.
func (t *Tracker) IsEvacuated(place string) bool { return t.evacuations[place] != nil }

// evacuate starts or ends an evacuation. One that is in force keeps its time and its operator.
func (t *Tracker) evacuate(o *messages.EvacuationOrder, time int64) {
	switch {
	case o.GetOver():
		delete(t.evacuations, o.GetPlace())
	case t.evacuations[o.GetPlace()] == nil:
		t.evacuations[o.GetPlace()] = &messages.Evacuation{Place: o.GetPlace(), Since: time, By: o.GetBy()}
	}
}
