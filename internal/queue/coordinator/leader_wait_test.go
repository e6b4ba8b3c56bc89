package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestJobsStartAfterChangeOfLeader guards against jobs whose tasks have several crashes and that stand still beside idle workers
// after a change of leader, for a lasting job as for others, whatever the last loss was.
func TestJobsStartAfterChangeOfLeader(t *testing.T) {
	for _, c := range []struct {
		name    string
		step    *messages.Step
		jobs    int
		workers int
		young   bool
	}{
		{"tasks", &messages.Step{Count: 3, Processors: 1000, Estimate: 60_000}, 24, 24, false},
		{"young workers", &messages.Step{Count: 3, Processors: 1000, Estimate: 60_000}, 24, 24, true},
		{"many jobs", &messages.Step{Count: 1, Processors: 250, Estimate: 60_000}, 90, 24, true},
		{"gangs", &messages.Step{Count: 3, Processors: 1000, Estimate: 60_000, Gang: true}, 16, 24, true},
		{"lasting tasks", &messages.Step{Count: 3, Processors: 1000, Estimate: 60_000, Lasting: true}, 24, 24, true},
		{"few workers", &messages.Step{Count: 2, Processors: 1000, Estimate: 60_000}, 3, 3, true},
		{"two workers", &messages.Step{Count: 2, Processors: 1000, Estimate: 60_000}, 2, 2, true},
	} {
		for crashes := 1; crashes <= 4; crashes++ {
			t.Run(fmt.Sprintf("%s, %d crashes", c.name, crashes), func(t *testing.T) {
				f := newPoweredFleet(t, c.workers)
				for range 40 {
					f.step(t)
				}
				f.submitJobs(c.jobs, c.step)
				for j := range c.jobs {
					for n := range crashes {
						for task := range c.step.GetCount() {
							id, number := fmt.Sprintf("lost%d-%d-%d", j, n, task), uint32(n)+1
							key := fmt.Sprintf("j%02d", j)
							f.state.Apply(&messages.QueueChange{Starts: []*messages.Run{{Job: key, Task: task, Number: number, Worker: id, Born: 1}}})
							f.state.Apply(&messages.QueueChange{Ends: []*messages.WorkerEnds{{
								Worker: id, Born: 1, Over: true, Crashes: []*messages.Crash{{Job: key, Task: task, Number: number}},
							}}})
						}
					}
				}
				if c.young {
					for _, w := range f.workers {
						f.restart(w)
					}
				}
				f.leaderTerm++
				f.checkNoneWaits(t, 12*time.Second)
			})
		}
	}
}
