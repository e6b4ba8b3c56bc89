package placer

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestReservationsLeaveRoomForSingleTasks guards against a pool that stands idle for gangs which wait, while the tasks of the least
// urgent queue, which would not end in time, have nowhere to start (htmt-bluebell, SHORT).
func TestReservationsLeaveRoomForSingleTasks(t *testing.T) {
	for _, racks := range []int{6, 12, 24} {
		t.Run(fmt.Sprint(racks), func(t *testing.T) {
			is := is.New(t)
			tr, workers := tracker.New(), fleet(4*racks)
			for _, w := range workers {
				submit(tr, w.ID, 1, &messages.Step{Count: 1, Processors: 1000, Memory: 1000, Accelerators: 1})
				occupy(tr, w.ID, w)
			}
			for i := range racks {
				submit(tr, fmt.Sprint("gang", i), 1, &messages.Step{Count: 4, Gang: true, Compact: true, Processors: 1000, Memory: 1000, Accelerators: 8})
			}
			submit(tr, "wide", 2, &messages.Step{Count: 1000, Processors: 1000, Memory: 1000, Accelerators: 1, Estimate: 9000})
			starts := map[string]int{}
			for _, r := range NewPlan(input(workers, tr)).Starts {
				is.Equal(r.GetJob(), "wide")
				starts[r.GetWorker()]++
			}
			is.True(4*len(starts) >= 3*len(workers)) // most of the pool is at work
			is.True(len(starts) <= len(workers)-4)   // the first gang still gets its rack
			for _, n := range starts {
				is.Equal(n, 7)
			}
		})
	}
}
