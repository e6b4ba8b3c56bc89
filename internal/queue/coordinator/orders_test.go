package coordinator

import (
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestOrdersOfOneResponseAreLimited guards against a response that is too large for a worker: none of its starts would ever
// be carried out, and all would be revoked and decided again. The rest follows with the next reports, and nothing is revoked.
func TestOrdersOfOneResponseAreLimited(t *testing.T) {
	const (
		tasks, body      = 1200, 4000
		maxResponseBytes = 4 << 20 // that a worker takes
	)
	is := is.New(t)
	f := newFixture()
	f.state.Apply(&messages.QueueChange{Submits: []*messages.Work{{
		Id: "a", Queue: "q", Pool: "p", Attempts: 2, Body: strings.Repeat("b", body), Steps: []*messages.Step{{Count: tasks, Processors: 1, Estimate: 60_000}},
	}}})
	f.report(t, 1, nil)
	f.Pass(context.Background())
	is.Equal(f.state.Job("a").Active(), tasks)
	var running []*messages.Running
	responses := 0
	for sequence := uint64(2); len(running) < tasks; sequence++ {
		orders := f.report(t, sequence, func(r *messages.FleetReport) { r.Running = running })
		is.True(len(orders.GetStarts()) > 0)
		is.True(len(orders.GetStarts())*body <= maxResponseBytes)
		for _, s := range orders.GetStarts() {
			running = append(running, &messages.Running{Run: s.GetRun()})
		}
		if responses++; len(running) < tasks {
			is.Equal(orders.GetAgain(), nextPollDelay.Milliseconds())
		}
		f.now = f.now.Add(testInterval)
		f.Pass(context.Background())
	}
	is.True(responses <= 10)
	is.Equal(len(f.report(t, 100, func(r *messages.FleetReport) { r.Running = running }).GetStarts()), 0)
	for i := range tasks {
		is.Equal(f.state.Job("a").Step(0, 0).Tasks[i].Number, uint32(1))
	}
	is.True(f.state.IsActive(tracker.RunKey{TaskKey: tracker.TaskKey{Job: "a"}, Number: 1}))
}
