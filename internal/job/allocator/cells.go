package allocator

import "math/bits"

// wordBits is the number of cells per bitmap word.
const wordBits = 64

// cellSet is a set of slots organised as a buddy hierarchy. A cell of level l covers 2^l aligned slots. It is
// full when all of its slots are in the set.
type cellSet struct {
	full   [][]uint64 // bitmap of the full cells by level
	counts []int      // number of full cells by level
}

func newCellSet(levels int) cellSet {
	return cellSet{full: make([][]uint64, levels), counts: make([]int, levels)}
}

// grow extends the bitmaps to n slots. New slots are not in the set.
func (c *cellSet) grow(n int) {
	for l := range c.full {
		words := ((n >> l) + wordBits - 1) / wordBits
		for len(c.full[l]) < words {
			c.full[l] = append(c.full[l], 0)
		}
	}
}

func (c *cellSet) has(level, i int) bool {
	return c.full[level][i/wordBits]>>(i%wordBits)&1 == 1
}

// set adds one slot to the set or removes it, and updates the cells that contain it.
func (c *cellSet) set(slot int, on bool) {
	for l := range c.full {
		i := slot >> l
		want := on
		if l > 0 {
			want = c.has(l-1, 2*i) && c.has(l-1, 2*i+1)
		}
		if c.has(l, i) == want {
			return
		}
		c.full[l][i/wordBits] ^= 1 << (i % wordBits)
		if want {
			c.counts[l]++
		} else {
			c.counts[l]--
		}
	}
}

// countMaximal returns the number of full cells of a level whose parent is not full.
func (c *cellSet) countMaximal(level int) int {
	if level+1 == len(c.counts) {
		return c.counts[level]
	}
	return c.counts[level] - 2*c.counts[level+1]
}

// eachMaximal calls visit with the index of each maximal cell of a level, lowest first, until
// visit returns false.
func (c *cellSet) eachMaximal(level int, visit func(i int) bool) {
	if c.countMaximal(level) == 0 {
		return
	}
	top := level+1 == len(c.full)
	for w, word := range c.full[level] {
		if !top {
			pairs := word & (word >> 1) & 0x5555555555555555
			word &^= pairs | pairs<<1
		}
		for word != 0 {
			if !visit(w*wordBits + bits.TrailingZeros64(word)) {
				return
			}
			word &= word - 1
		}
	}
}

// bestFit returns the first slot of a full cell of the given level. It takes the cell from the smallest maximal
// cell that contains one, so that larger cells stay intact. ok is false when there is none.
func (c *cellSet) bestFit(level int) (slot int, ok bool) {
	for l := level; l < len(c.full); l++ {
		c.eachMaximal(l, func(i int) bool {
			slot, ok = i<<l, true
			return false
		})
		if ok {
			return slot, true
		}
	}
	return 0, false
}

// levelFor returns the level of the smallest cell with at least n slots.
func levelFor(n int) int {
	if n <= 1 {
		return 0
	}
	return bits.Len(uint(n - 1))
}
