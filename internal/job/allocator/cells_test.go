package allocator

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestCellSetAgainstScan compares the buddy bitmaps with a scan over a slice of booleans.
func TestCellSetAgainstScan(t *testing.T) {
	const levels, slots = 4, 64
	rapid.Check(t, func(t *rapid.T) {
		set := newCellSet(levels)
		set.grow(slots)
		plain := make([]bool, slots)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			i := rapid.IntRange(0, slots-1).Draw(t, "slot")
			on := rapid.Bool().Draw(t, "on")
			set.set(i, on)
			plain[i] = on
		}
		for l := range levels {
			count := 0
			for i := range slots >> l {
				want := allOf(plain[i<<l : (i+1)<<l])
				if want {
					count++
				}
				if set.has(l, i) != want {
					t.Fatalf("cell %d of level %d is %t, want %t", i, l, !want, want)
				}
			}
			if set.counts[l] != count {
				t.Fatalf("level %d has %d full cells, want %d", l, set.counts[l], count)
			}
		}
	})
}

func allOf(list []bool) bool {
	for _, b := range list {
		if !b {
			return false
		}
	}
	return true
}

func TestBestFitKeepsLargeCellsWhole(t *testing.T) {
	is := is.New(t)
	set := newCellSet(4)
	set.grow(64)
	for i := range 16 {
		set.set(i, true)
	}
	set.set(3, false) // leaves full cells of 2, 1, 4 and 8 slots
	slot, ok := set.bestFit(0)
	is.True(ok)
	is.Equal(slot, 2) // the single slot rather than a part of a larger cell
	slot, ok = set.bestFit(2)
	is.True(ok)
	is.Equal(slot, 4)
	_, ok = set.bestFit(4 - 1)
	is.True(ok)
}
