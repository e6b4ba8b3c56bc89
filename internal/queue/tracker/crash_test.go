package tracker_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestDoneGangIsNotGivenUp guards against a job that fails for crashes under a member of a gang that is done.
func TestDoneGangIsNotGivenUp(t *testing.T) {
	is := is.New(t)
	tr := tracker.New()
	tr.Apply(&messages.QueueChange{Submits: []*messages.Work{{Id: "a", Attempts: 2, Steps: []*messages.Step{
		{Count: 2, Processors: 1, Gang: true}, {Count: 1, Processors: 1, After: []int32{0}},
	}}}})
	for n := uint32(1); n <= 3; n++ {
		tr.Apply(&messages.QueueChange{Starts: []*messages.Run{
			{Job: "a", Task: 0, Number: n, Worker: "x", Born: 1}, {Job: "a", Task: 1, Number: n, Worker: "y", Born: int64(n)},
		}})
		how := tracker.EndGangEnded
		if n == 3 {
			how = tracker.EndDone
		}
		tr.Apply(&messages.QueueChange{Ends: []*messages.WorkerEnds{{Worker: "x", Born: 1, Sequence: uint64(n), Ends: []*messages.End{{Job: "a", Number: n, How: how}}}}})
		tr.Apply(&messages.QueueChange{Ends: []*messages.WorkerEnds{{
			Worker: "y", Born: int64(n), Over: true, Crashes: []*messages.Crash{{Job: "a", Task: 1, Number: n, Alone: true}},
		}}})
	}
	is.True(tr.Job("a").Step(0, 0).Done)
	tr.EachSuspect(func(key tracker.TaskKey, _ *tracker.Job, task *tracker.Task) {
		if task.CrashesWorkers() {
			t.Errorf("task %v crashes its workers, and its step is done", key)
		}
	})
}
