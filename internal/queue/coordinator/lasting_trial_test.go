package coordinator

import (
	"fmt"
	"testing"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// crashAll records crashes that no task alone explains under all tasks of the job "a", each on a worker that is gone.
func (f *poweredFleet) crashAll(tasks int32, crashes int) {
	for n := range crashes {
		for task := range tasks {
			id := fmt.Sprintf("lost%d-%d", n, task)
			number := uint32(n) + 1
			f.state.Apply(&messages.QueueChange{Starts: []*messages.Run{{Job: "a", Task: task, Number: number, Worker: id, Born: 1}}})
			f.state.Apply(&messages.QueueChange{Ends: []*messages.WorkerEnds{{
				Worker: id, Born: 1, Over: true, Crashes: []*messages.Crash{{Job: "a", Task: task, Number: number}},
			}}})
		}
	}
}

// TestLastingTasksDoNotTakeTurns guards against a lasting task that stands still until the trials of all others of its step are
// over: each start of one began the wait of the others anew.
func TestLastingTasksDoNotTakeTurns(t *testing.T) {
	for _, tasks := range []int32{12, 24} {
		for _, crashes := range []int{1, 2, 3, 4} {
			t.Run(fmt.Sprintf("%d tasks, %d crashes", tasks, crashes), func(t *testing.T) {
				f := newPoweredFleet(t, 24)
				for range 40 {
					f.step(t)
				}
				f.submitLasting(tasks)
				f.crashAll(tasks, crashes)
				f.checkAllAtWork(t, int(tasks))
			})
		}
	}
}
