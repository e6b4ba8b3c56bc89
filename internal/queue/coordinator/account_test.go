package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestEndedJobsAreAccountedFor guards against late jobs whose time is not in the log: waiting, with the obstacle, or at work.
func TestEndedJobsAreAccountedFor(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	lines := f.observe()
	f.state.Apply(&messages.QueueChange{Submits: []*messages.Work{
		{Id: "a", Queue: "q", Pool: "p", Priority: 1, Attempts: 3, Steps: []*messages.Step{{Count: 1, Processors: 2000}}},
		{Id: "b", Queue: "q", Pool: "p", Priority: 2, Attempts: 3, Steps: []*messages.Step{{Count: 2, Processors: 9000}}},
	}})
	running := []*messages.Running{{Run: &messages.Run{Job: "a", Number: 1, Worker: "w", Born: 5}}}
	for n := range 40 {
		f.now = f.now.Add(100 * time.Millisecond)
		f.report(t, uint64(n+1), func(r *messages.FleetReport) {
			if n > 0 {
				r.Running = running
			}
		})
		f.Pass(context.Background())
	}
	f.state.Apply(&messages.QueueChange{Cancels: []string{"a", "b"}})
	f.Pass(context.Background())
	f.Pass(context.Background())
	ended := map[string]map[string]any{}
	for _, l := range lines.FilterMessage("job ended").All() {
		ended[l.ContextMap()["request"].(string)] = l.ContextMap()
	}
	is.Equal(len(ended), 2)
	is.True(ended["a"]["running"].(time.Duration) > 3*time.Second)
	is.True(ended["b"]["waiting"].(map[string]any)["no capacity"].(time.Duration) > 6*time.Second) // of two tasks
	is.Equal(ended["b"]["running"], time.Duration(0))
	is.True(lines.FilterMessage("pool in use").Len() > 0)
}
