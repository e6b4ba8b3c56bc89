package coordinator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestHealth checks what puts a worker aside, and what brings it back.
func TestHealth(t *testing.T) {
	const long, short = time.Second, 10 * time.Millisecond
	type failure struct {
		job     string
		elapsed time.Duration
	}
	for _, c := range []struct {
		name     string
		failures []failure
		aside    bool
	}{
		{"one failure in the work", []failure{{"a", long}}, false},
		{"one job fails with all its tasks", []failure{{"a", long}, {"a", long}, {"a", long}}, false},
		{"two jobs fail in a row", []failure{{"a", long}, {"b", long}}, true},
		{"a run fails at once", []failure{{"a", short}}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_000_000, 0)
			var h health
			for _, f := range c.failures {
				h.failed(now, f.job, f.elapsed)
			}
			is.Equal(h.isAside(now), c.aside)
			is.True(h.isSuspect(now))
			now = now.Add(firstAside)
			is.True(!h.isAside(now))
			is.Equal(h.isProbed(now), c.aside)
			h.failed(now, "c", short)
			is.True(h.isAside(now))
			h.succeeded()
			is.True(!h.isAside(now) && !h.isProbed(now) && !h.isSuspect(now))
		})
	}
}

// TestManyFailingWorkersStayInUse is the pattern of jobs that can never be done: they fail on worker
// after worker, and must not put the fleet aside.
func TestManyFailingWorkersStayInUse(t *testing.T) {
	is := is.New(t)
	b := newBench()
	usable := func() (n int) {
		for _, v := range b.input(b.book).Workers {
			if v.Usable {
				n++
			}
		}
		return n
	}
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		b.report(t, 1, func(r *messages.FleetReport) { r.Worker = id })
	}
	is.Equal(usable(), 8)
	b.workers["a"].health.failed(b.now, "x", 0)
	b.workers["b"].health.failed(b.now, "x", 0)
	is.Equal(usable(), 6)
	b.workers["c"].health.failed(b.now, "x", 0)
	is.Equal(usable(), 8)
}
