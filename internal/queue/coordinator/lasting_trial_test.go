package coordinator

import (
	"fmt"
	"testing"
	"time"

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

// TestFlappingWorkersFailNoLastingJob guards against a lasting job that is given up because the only workers that it can use
// go down and up by turns as it starts, while all others are sound. It must be at work again soon after they stay up.
func TestFlappingWorkersFailNoLastingJob(t *testing.T) {
	for _, flaps := range []int{2, 5, 12, 40} {
		t.Run(fmt.Sprint(flaps), func(t *testing.T) {
			f := newPoweredFleet(t, 20)
			flapping := f.workers[:2]
			for _, w := range flapping {
				w.labels = []string{"rare"}
			}
			f.state.Apply(&messages.QueueChange{Submits: []*messages.Work{{
				Id: "a", Queue: "q", Pool: "p", Priority: 1, Attempts: 3,
				Steps: []*messages.Step{{Count: 1, Processors: 5000, Lasting: true, Estimate: 1000, Label: "rare"}},
			}}})
			for range 40 {
				f.step(t)
			}
			for range flaps {
				for n := 0; len(flapping[0].running)+len(flapping[1].running) == 0 && n < 60; n++ {
					f.step(t)
				}
				for _, w := range flapping {
					f.restart(w)
				}
			}
			if j := f.state.Job("a"); j == nil || j.Ended() {
				t.Fatal("the job has ended")
			}
			f.checkAllAtWork(t, 1)
		})
	}
}

// TestDeadlyLastingTaskRests guards against a lasting task that crashes its worker at each start, for good, and takes one
// worker after the other without a pause.
func TestDeadlyLastingTaskRests(t *testing.T) {
	f := newPoweredFleet(t, 8)
	for range 60 {
		f.step(t) // until a crash of these workers speaks against a task alone
	}
	f.submitLasting(1)
	begin, crashes := f.now, 0
	for f.now.Sub(begin) < time.Minute {
		for _, w := range f.workers {
			if len(w.running) > 0 {
				crashes++
				f.restart(w)
			}
		}
		f.step(t)
	}
	if f.state.Job("a").Ended() || crashes < 5 || crashes > 20 {
		t.Errorf("after %d crashes in a minute the job is %s", crashes, f.state.Job("a").Phase)
	}
}
