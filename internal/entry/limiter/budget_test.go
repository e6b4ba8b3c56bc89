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
	large, small := strings.Repeat("x", 60<<10), strings.Repeat("x", smallBytes)
	body, release, err := b.Read(strings.NewReader(large))
	is.NoErr(err)
	is.Equal(string(body), large)
	rest := strings.NewReader(large)
	_, refused, err := b.Read(rest)
	is.True(errors.Is(err, ErrBusy))
	is.Equal(rest.Len(), 0)
	refused()
	body, releaseSmall, err := b.Read(iotest.HalfReader(strings.NewReader(small[1:])))
	is.NoErr(err)
	is.Equal(string(body), small[1:])
	releaseSmall()
	release()
	_, release, err = b.Read(strings.NewReader(large))
	is.NoErr(err)
	release()
	_, release, err = b.Read(io.MultiReader(bytes.NewReader(make([]byte, 20<<10)), iotest.ErrReader(io.ErrUnexpectedEOF)))
	is.Equal(err, io.ErrUnexpectedEOF)
	release()
	is.Equal(b.used.Load(), int64(0))
}
