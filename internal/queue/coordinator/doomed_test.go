package coordinator

import (
	"testing"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestSilentTrialOfBlamedTask guards against a job that stands still beside idle workers because the trial of one task, for
// which its job may be given up, was starting on a worker that went silent: no crash speaks against the other tasks.
func TestSilentTrialOfBlamedTask(t *testing.T) {
	f := newPoweredFleet(t, 8)
	for range 4 {
		f.step(t)
	}
	f.submitJobs(1, &messages.Step{Count: 3, Processors: 1000, Estimate: 60_000})
	for number := uint32(1); number <= 2; number++ {
		f.state.Apply(&messages.QueueChange{Starts: []*messages.Run{{Job: "j00", Number: number, Worker: "x", Born: 1}}})
		f.state.Apply(&messages.QueueChange{Ends: []*messages.WorkerEnds{{
			Worker: "x", Born: 1, Over: true, Crashes: []*messages.Crash{{Job: "j00", Number: number, Alone: true}},
		}}})
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
	if idle := f.now.Sub(since); idle >= maxIdleTime {
		t.Errorf("nothing of the job has run for %v", idle)
	}
}
