package tracker

import (
	"testing"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestEvacuationsAreReplicated guards against evacuations that a repeated order changes, or that a snapshot forgets.
func TestEvacuationsAreReplicated(t *testing.T) {
	is := is.New(t)
	state := New()
	apply := func(time int64, place, by string, over bool) {
		state.Apply(&messages.QueueChange{Time: time, Evacuations: []*messages.EvacuationOrder{{Place: place, By: by, Over: over}}})
	}
	apply(1, "north", "first", false)
	apply(2, "north", "second", false)
	apply(3, "south", "first", true) // not in force
	apply(4, "east", "second", false)
	data, err := state.Save()
	is.NoErr(err)
	restored, err := Restore(data)
	is.NoErr(err)
	for _, s := range []*Tracker{state, restored} {
		list := s.Evacuations()
		is.Equal(len(list), 2)
		is.Equal([]string{list[0].GetPlace(), list[1].GetPlace()}, []string{"east", "north"})
		is.Equal(list[1].GetSince(), int64(1))
		is.Equal(list[1].GetBy(), "first")
		is.True(s.IsEvacuated("north") && !s.IsEvacuated("south"))
	}
	apply(5, "north", "second", true)
	is.True(!state.IsEvacuated("north"))
}
