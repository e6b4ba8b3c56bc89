package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestLostOrderIsNotRepeatedBeyondCapacity guards against a start that a new leader orders again though the worker has
// reported since that its capacity has shrunk, and against one that does not fit beside a run that is being stopped.
func TestLostOrderIsNotRepeatedBeyondCapacity(t *testing.T) {
	t.Run("order of a new leader was lost", func(t *testing.T) {
		is := is.New(t)
		f := newFixture()
		is.Equal(f.submit(t, "/q/a", "k1"), StatusOK)
		f.report(t, 1, nil)
		f.Pass(context.Background())
		f.leaderTerm++
		is.Equal(len(f.report(t, 2, nil).GetStarts()), 1) // the response is lost
		starts := 0
		var last time.Duration
		begin := f.now
		for s := range uint64(20) {
			f.now = f.now.Add(250 * time.Millisecond)
			n := len(f.report(t, 3+s, func(r *messages.FleetReport) { r.Processors = 0 }).GetStarts())
			if starts += n; n > 0 {
				last = f.now.Sub(begin)
			}
		}
		if starts > 0 {
			t.Errorf("%d orders for a start on a worker without capacity, the last %v after its first report of that", starts, last)
		}
	})
	t.Run("a run is being stopped", func(t *testing.T) {
		is := is.New(t)
		f := newFixture()
		is.Equal(f.submit(t, "/q/a", "k1"), StatusOK)
		f.report(t, 1, nil)
		f.Pass(context.Background())
		o := f.report(t, 2, func(r *messages.FleetReport) {
			r.Processors = 1000
			listing([]*messages.Run{{Job: "unknown", Number: 1}})(r)
		})
		is.Equal(len(o.GetStops()), 1)
		is.Equal(len(o.GetStarts()), 0) // the stopped run still uses its share of the capacity
	})
}
