package limiter

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// TestBudget checks that large bodies are refused beyond the budget and read to their ends, that small ones never are, and that
// released memory can be used again.
func TestBudget(t *testing.T) {
	is := is.New(t)
	b := NewBudget(90 << 10)
	large, small := strings.Repeat("x", 60<<10), strings.Repeat("x", uncountedBytes-1)
	read := func(r io.Reader) (*Hold, []byte, error) {
		h := b.Hold()
		body, err := h.Read(r)
		return h, body, err
	}
	first, body, err := read(strings.NewReader(large))
	is.NoErr(err)
	is.Equal(string(body), large)
	rest := strings.NewReader(large)
	second, _, err := read(rest)
	is.True(errors.Is(err, ErrBusy))
	is.Equal(rest.Len(), 0)
	second.Release()
	third, body, err := read(iotest.HalfReader(strings.NewReader(small)))
	is.NoErr(err)
	is.Equal(string(body), small)
	is.Equal(third.Add(50<<10), ErrBusy)
	third.Release()
	is.NoErr(first.Add(20 << 10))
	is.Equal(first.Add(50<<10), ErrTooLarge)
	first.Release()
	fourth, _, err := read(strings.NewReader(large))
	is.NoErr(err)
	fourth.Release()
	fifth, _, err := read(io.MultiReader(bytes.NewReader(make([]byte, 20<<10)), iotest.ErrReader(io.ErrUnexpectedEOF)))
	is.Equal(err, io.ErrUnexpectedEOF)
	fifth.Release()
	is.Equal(b.used.Load(), int64(0))
}
