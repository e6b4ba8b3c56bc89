package allocator

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// smallFleet has two racks of two workers with four slots, and cells promised to a and b.
func smallFleet(t interface{ Fatal(...any) }) *Fleet {
	f := New(Shape{Slots: 4, Workers: 2}, func(GrantID) float64 { return 1 })
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

// TestFailedPlaceChangesNothing makes sure that an attempt which finds no room leaves no trace:
// waiting claims that it had written over must stand again.
func TestFailedPlaceChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := smallFleet(t)
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
				t.Fatalf("guarantees don't fit any more: %v", f.AtRisk())
			}
			if rapid.IntRange(0, 3).Draw(t, "release") == 0 {
				f.Release(GrantID(rapid.IntRange(1, int(id)).Draw(t, "which")))
			}
		}
	})
}

// TestRestoreIsExact makes sure that a fleet goes on from its snapshot as it would have.
func TestRestoreIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := smallFleet(t)
		for id := GrantID(1); id < 12; id++ {
			f.Place(id, drawRequest(t))
		}
		g, err := Restore(f.Save(), f.cost)
		if err != nil {
			t.Fatal(err)
		}
		for id := GrantID(20); id < 40; id++ {
			q := drawRequest(t)
			a, b := f.Place(id, q), g.Place(id, q)
			if !reflect.DeepEqual(a, b) {
				t.Fatalf("the original places %+v, the restored fleet %+v", a, b)
			}
		}
	})
}

func TestEvictsOnlyWithoutOtherRoom(t *testing.T) {
	is := is.New(t)
	f := smallFleet(t)
	borrowed := f.Place(1, Request{Org: "c", Service: "s", Tasks: 1, Slots: 1, Reclaimable: true})
	is.Equal(borrowed.Grant.Mode, Borrowed)
	own := f.Place(2, Request{Org: "a", Service: "s", Tasks: 2, Slots: 4, Adjacency: SameRack})
	is.Equal(own.Grant.Mode, Guaranteed)
	is.Equal(len(own.Victims), 0) // the other rack is free
	again := f.Place(3, Request{Org: "b", Service: "s", Tasks: 1, Slots: 2})
	is.Equal(again.Grant.Mode, Guaranteed)
	is.Equal(len(again.Victims), 0)
}

// TestRefusalIsRight compares each refusal of an organisation without guarantees with a plain
// search over all slots: there must truly be no room.
func TestRefusalIsRight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := smallFleet(t)
		f.SetCompact(rapid.Bool().Draw(t, "compact"))
		for id := GrantID(1); id < 40; id++ {
			q := drawRequest(t)
			q.Evict = false
			before := freeSlots(f)
			placed := f.Place(id, q).Grant != nil
			if q.Org == "c" && q.Reclaimable {
				if fits := fitsSomewhere(before, q, f.Shape()); fits != placed {
					t.Fatalf("%+v was placed: %t, a search says %t over %v", q, placed, fits, before)
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
	f.EachCell(func(_, _ int, c Cell) {
		free = append(free, c.Usable && c.Owner == 0 && c.Claim == 0)
	})
	return free
}

// fitsSomewhere searches one place. A gang in one worker or rack needs one aligned cell whose slots
// are all free; a looser one needs an aligned run for each task, which greedy search finds.
func fitsSomewhere(free []bool, q Request, shape Shape) bool {
	perWorker := shape.Slots / q.Slots
	size := 1 << levelFor(q.Slots)
	if q.Adjacency >= SameRack {
		size = 1 << levelFor(q.Tasks*q.Slots)
		if q.Tasks > perWorker {
			workers := (q.Tasks + perWorker - 1) / perWorker
			size = shape.Slots << levelFor(workers)
		}
		limit := shape.rackSlots()
		if q.Adjacency == SameWorker {
			limit = shape.Slots
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
