package allocator

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// newSmallFleet returns a fleet of two racks with two workers of four slots each, and guarantees for the
// organisations a and b.
func newSmallFleet(t interface{ Fatal(...any) }) *Fleet {
	f := New(Geometry{Slots: 4, Workers: 2}, func(GrantID) float64 { return 1 })
	for r := range 2 {
		for w := range 2 {
			name := fmt.Sprintf("w%d%d", r, w)
			if err := f.Add(Worker{Name: name, Place: "p", Rack: fmt.Sprint(r), Service: "s", Slots: 4}); err != nil {
				t.Fatal(err)
			}
		}
	}
	f.SetGuarantees([]Guarantee{
		{Org: "a", Service: "s", Level: 3, Count: 1},
		{Org: "b", Service: "s", Level: 1, Count: 2},
	})
	return f
}

func drawRequest(t *rapid.T) Request {
	return Request{
		Org: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "org"), Service: "s",
		Tasks: rapid.IntRange(1, 12).Draw(t, "tasks"), Slots: rapid.IntRange(1, 4).Draw(t, "slots"),
		Adjacency:   Adjacency(rapid.IntRange(0, 3).Draw(t, "adjacency")),
		Reclaimable: rapid.Bool().Draw(t, "reclaimable"), Evict: rapid.Bool().Draw(t, "evict"),
	}
}

// TestFailedPlaceChangesNothing guards against an incomplete rollback: a request that can't be placed must
// leave the state unchanged, including pending claims that the attempt had overwritten.
func TestFailedPlaceChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSmallFleet(t)
		f.SetCompact(rapid.Bool().Draw(t, "compact"))
		for id := GrantID(1); id < 30; id++ {
			before := f.Save()
			placed := f.Place(id, drawRequest(t))
			if placed.Grant == nil {
				if after := f.Save(); !reflect.DeepEqual(before, after) {
					t.Fatalf("before %+v\nafter %+v", before, after)
				}
			}
			if !f.Feasible() {
				t.Fatalf("guarantees became infeasible: %v", f.AtRisk())
			}
			if rapid.IntRange(0, 3).Draw(t, "release") == 0 {
				f.Release(GrantID(rapid.IntRange(1, int(id)).Draw(t, "which")))
			}
		}
	})
}

// TestRestoreIsExact checks that a fleet restored from a snapshot makes the same placements as the original.
func TestRestoreIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSmallFleet(t)
		for id := GrantID(1); id < 12; id++ {
			f.Place(id, drawRequest(t))
		}
		g, err := Restore(f.Save(), f.reclaimCost)
		if err != nil {
			t.Fatal(err)
		}
		for id := GrantID(20); id < 40; id++ {
			q := drawRequest(t)
			a, b := f.Place(id, q), g.Place(id, q)
			if !reflect.DeepEqual(a, b) {
				t.Fatalf("original fleet placed %+v, restored fleet placed %+v", a, b)
			}
		}
	})
}

func TestEvictsOnlyWithoutFreeCapacity(t *testing.T) {
	is := is.New(t)
	f := newSmallFleet(t)
	borrowed := f.Place(1, Request{Org: "c", Service: "s", Tasks: 1, Slots: 1, Reclaimable: true})
	is.Equal(borrowed.Grant.Mode, Borrowed)
	guaranteed := f.Place(2, Request{Org: "a", Service: "s", Tasks: 2, Slots: 4, Adjacency: SameRack})
	is.Equal(guaranteed.Grant.Mode, Guaranteed)
	is.Equal(len(guaranteed.Victims), 0) // the other rack is free
	again := f.Place(3, Request{Org: "b", Service: "s", Tasks: 1, Slots: 2})
	is.Equal(again.Grant.Mode, Guaranteed)
	is.Equal(len(again.Victims), 0)
}

// TestRejectionMatchesExhaustiveSearch compares the placement of each reclaimable request of an organisation
// without guarantees with an exhaustive search over all slots: it must fail only if the gang doesn't fit.
func TestRejectionMatchesExhaustiveSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSmallFleet(t)
		f.SetCompact(rapid.Bool().Draw(t, "compact"))
		for id := GrantID(1); id < 40; id++ {
			q := drawRequest(t)
			q.Evict = false
			before := freeSlots(f)
			placed := f.Place(id, q).Grant != nil
			if q.Org == "c" && q.Reclaimable {
				if fits := fitsSomewhere(before, q, f.Geometry()); fits != placed {
					t.Fatalf("%+v: placed %t, exhaustive search found a fit %t, free slots %v", q, placed, fits, before)
				}
			}
			if rapid.IntRange(0, 2).Draw(t, "release") == 0 {
				f.Release(GrantID(rapid.IntRange(1, int(id)).Draw(t, "which")))
			}
		}
	})
}

func freeSlots(f *Fleet) []bool {
	var free []bool
	f.EachSlot(func(_, _ int, c SlotInfo) {
		free = append(free, c.Usable && c.Owner == 0 && c.Claim == 0)
	})
	return free
}

// fitsSomewhere reports whether the gang fits on the free slots of one place. A gang restricted to a worker or
// rack needs one aligned cell of free slots; other gangs need an aligned run per task, which a greedy search
// finds.
func fitsSomewhere(free []bool, q Request, geometry Geometry) bool {
	perWorker := geometry.Slots / q.Slots
	size := 1 << levelFor(q.Slots)
	if q.Adjacency >= SameRack {
		size = 1 << levelFor(q.Tasks*q.Slots)
		if q.Tasks > perWorker {
			workers := (q.Tasks + perWorker - 1) / perWorker
			size = geometry.Slots << levelFor(workers)
		}
		limit := geometry.rackSlots()
		if q.Adjacency == SameWorker {
			limit = geometry.Slots
		}
		return size <= limit && alignedRuns(free, size) > 0
	}
	return alignedRuns(free, size) >= q.Tasks
}

func alignedRuns(free []bool, size int) int {
	n := 0
	for first := 0; first+size <= len(free); first += size {
		if allOf(free[first : first+size]) {
			n++
		}
	}
	return n
}
