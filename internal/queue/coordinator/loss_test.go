package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestLossIsRecordedOnce guards against holds and doubts that begin anew as a worker, whose lease has expired before, is
// replaced by its successor.
func TestLossIsRecordedOnce(t *testing.T) {
	for _, c := range []struct {
		name       string
		survives   bool // the run, before the worker is lost
		successor  string
		unexpected int // losses without a start
	}{
		{"after work, another name", true, "x1", 1},
		{"after work, the same name", true, "w1", 1},
		{"under a start, another name", false, "x1", 0},
		{"under a start, the same name", false, "w1", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newCrashFixture(t, "a")
			lines := f.observe()
			born := f.now.Add(-time.Minute)
			runs := f.begin(t, "w1", born)
			is.Equal(len(runs), 1)
			if c.survives {
				for range 8 {
					f.now = f.now.Add(250 * time.Millisecond)
					f.reportFrom(t, "w1", born, listing(runs))
				}
			}
			f.now = f.now.Add(7 * time.Second) // longer than the lease
			f.Pass(context.Background())
			is.Equal(f.state.Job("a").Active(), 0)
			f.now = f.now.Add(2 * time.Second)
			f.reportFrom(t, c.successor, f.now, func(r *messages.FleetReport) { r.Processors = 0 })
			f.Pass(context.Background())
			is.Equal(lines.FilterMessage("worker lost while no run started").Len(), c.unexpected)
		})
	}
}
