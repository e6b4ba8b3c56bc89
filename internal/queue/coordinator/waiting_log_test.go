package coordinator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestWaitingJobsAreLogged guards against jobs that stand still beside idle workers without a line that says why, and
// against such lines without a bound.
func TestWaitingJobsAreLogged(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	lines := f.observe()
	for i := range 100 {
		f.state.Apply(&messages.QueueChange{Submits: []*messages.Work{{
			Id: fmt.Sprint(i), Queue: "q", Pool: "p", Priority: 1, Attempts: 3, Steps: []*messages.Step{{Count: 1, Processors: 9000}},
		}}})
	}
	for n := range 60 {
		f.now = f.now.Add(50 * time.Millisecond)
		f.report(t, uint64(n+1), nil)
		f.Pass(context.Background())
	}
	waiting := lines.FilterMessage("job waits beside idle workers").All()
	is.True(len(waiting) >= maxWaitLines)
	is.True(len(waiting) <= 3*maxWaitLines) // in 3 s
	is.Equal(waiting[0].ContextMap()["obstacle"], "no capacity")
	for i := range 100 {
		f.state.Apply(&messages.QueueChange{Cancels: []string{fmt.Sprint(i)}})
	}
	f.now = f.now.Add(time.Second)
	f.report(t, 61, nil)
	f.Pass(context.Background())
	is.Equal(lines.FilterMessage("job no longer waits beside idle workers").Len(), maxWaitLines)
}
