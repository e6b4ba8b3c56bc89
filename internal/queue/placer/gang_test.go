package placer

import (
	"testing"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestGangWaitsForItsMembers guards against a gang that starts again while a member of its previous run is active: the
// tracker would count the failure of that member once more.
func TestGangWaitsForItsMembers(t *testing.T) {
	is := is.New(t)
	tr, workers := tracker.New(), fleet(4)
	submit(tr, "a", 1, &messages.Step{Count: 2, Accelerators: 8, Gang: true})
	occupy(tr, "a", workers[0], workers[1])
	fails := func(task int32, worker string) {
		tr.Apply(&messages.QueueChange{Ends: []*messages.WorkerEnds{{
			Worker: worker, Born: 1, Sequence: 1, Ends: []*messages.End{{Job: "a", Task: task, Number: 1, How: tracker.EndFailed}},
		}}})
	}
	fails(0, workers[0].ID)
	plan := NewPlan(input(workers[2:], tr))
	is.Equal(len(plan.Starts), 0)
	is.Equal(plan.Blocked[0].Obstacle, MembersActive)
	fails(1, workers[1].ID)
	is.Equal(len(NewPlan(input(workers[2:], tr)).Starts), 2)
	is.Equal(tr.Job("a").Step(0, 0).Failures(0), uint32(1))
}
