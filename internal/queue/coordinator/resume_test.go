package coordinator

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestLongQueueHoldsUpNoJob guards against a job that never starts on idle workers behind a queue so long that no pass reaches it,
// as each pass begins with the jobs that come first and fit nowhere.
func TestLongQueueHoldsUpNoJob(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	lines := f.observe()
	for i := range 1000 {
		_, err := f.Report(context.Background(), &messages.FleetReport{
			Worker: fmt.Sprintf("w%d", i), Born: 5, Sequence: 1, Pool: "p", Processors: 14_000, Memory: 128_000,
		})
		is.NoErr(err)
	}
	change := &messages.QueueChange{}
	for i := range 9000 { // none asks for less than another one, so each is searched for
		step := &messages.Step{Count: 1, Processors: int64(1000 + i), Memory: int64(200_000 - i), Estimate: 1000}
		change.Submits = append(change.Submits, &messages.Work{Id: fmt.Sprintf("large%d", i), Queue: "q", Priority: 1, Steps: []*messages.Step{step}})
	}
	small := &messages.Work{Id: "small", Queue: "q", Priority: 1, Steps: []*messages.Step{{Count: 1, Processors: 1000, Memory: 1000, Estimate: 1000}}}
	change.Submits = append(change.Submits, small)
	f.state.Apply(change)
	is.Equal(len(f.decide(f.state).GetStarts()), 0)
	is.Equal(len(f.decide(f.state).GetStarts()), 1)
	is.Equal(lines.FilterMessage("passes leave units out, as the search takes too long").Len(), 1)
}
