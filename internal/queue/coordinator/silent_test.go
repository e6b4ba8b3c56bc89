package coordinator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestTrialOnSilentWorker guards against a job that stands still beside idle workers because a trial of it was starting on a
// worker that went silent: whether that run is over is not known until the lease ends.
func TestTrialOnSilentWorker(t *testing.T) {
	for _, lasting := range []bool{false, true} {
		is := is.New(t)
		f := newPoweredFleet(t, 8)
		for range 4 {
			f.step(t)
		}
		f.submitJobs(1, &messages.Step{Count: 3, Processors: 1000, Estimate: 60_000, Lasting: lasting})
		for task := range int32(3) {
			for number := uint32(1); number <= 2; number++ {
				f.state.Apply(&messages.QueueChange{Starts: []*messages.Run{{Job: "j00", Task: task, Number: number, Worker: "x", Born: 1}}})
				f.state.Apply(&messages.QueueChange{Ends: []*messages.WorkerEnds{{
					Worker: "x", Born: 1, Over: true, Crashes: []*messages.Crash{{Job: "j00", Task: task, Number: number}},
				}}})
			}
		}
		for len(f.runningJobs()) == 0 {
			f.step(t)
		}
		for _, w := range f.workers {
			if len(w.running) > 0 {
				w.up, w.running = false, nil
			}
		}
		since := f.now
		for len(f.runningJobs()) == 0 && f.now.Sub(since) < 10*time.Second {
			f.step(t)
		}
		is.True(f.now.Sub(since) < maxIdleTime)
	}
}
