package detector

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestBadWorkerIsPutAsideAndProbed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	d := New()
	is.Equal(d.Failed(now, "w", "a"), Keep)
	is.Equal(d.Failed(now, "w", "a"), Keep) // the same job again says nothing new
	is.Equal(d.Failed(now, "w", "b"), Keep)
	is.Equal(d.Failed(now, "w", "c"), PutAside)
	is.Equal(len(d.Due(now.Add(firstProbe-1))), 0)
	is.Equal(d.Due(now.Add(firstProbe)), []string{"w"})
	is.Equal(d.Failed(now, "w", "d"), PutAside) // one failure is enough on probation
	next, ok := d.NextProbe()
	is.True(ok)
	is.Equal(next, now.Add(2*firstProbe))
	d.Due(next)
	d.Succeeded("w")
	is.Equal(d.Failed(now, "w", "e"), Keep) // its record is clean
}

// TestPoisonJobBlamesNobody lets one job fail everywhere. No worker may be put aside for it.
func TestPoisonJobBlamesNobody(t *testing.T) {
	is := is.New(t)
	d := New()
	for i := range 50 {
		for _, poison := range []string{"a", "b", "c", "d"} {
			d.Failed(time.Unix(0, 0), "other", poison)
			is.Equal(d.Failed(time.Unix(0, 0), fmt.Sprint("w", i), poison), Keep)
		}
	}
}
