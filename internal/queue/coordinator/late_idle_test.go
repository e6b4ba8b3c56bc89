package coordinator

import (
	"testing"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestLateReportsMakeNoPoolBusy guards against a job that waits for its preferences as in a busy pool, because workers whose
// reports come late, as on a busy machine, are not counted as free.
func TestLateReportsMakeNoPoolBusy(t *testing.T) {
	const busy, late, workers = 9, 8, 24
	f := newPoweredFleet(t, workers)
	for _, w := range f.workers[busy:] {
		w.up = false
	}
	for range 4 {
		f.step(t)
	}
	f.submitJobs(1, &messages.Step{Count: busy, Processors: 8000, Estimate: 60_000})
	for range 44 {
		f.step(t)
	}
	for _, w := range f.workers[busy:] {
		w.up, w.born = true, f.now
	}
	f.step(t)
	f.state.Apply(&messages.QueueChange{Submits: []*messages.Work{{
		Id: "a", Queue: "q", Pool: "p", Priority: 1, Attempts: 3, Steps: []*messages.Step{{Count: 1, Processors: 1000, Estimate: 60_000}},
	}}})
	begin := f.now
	f.crashAll(1, 2)
	for n := 0; !f.runningJobs()["a"] && f.now.Sub(begin) < 30*time.Second; n++ {
		for i, w := range f.workers[busy : busy+late] {
			w.up = (n+i)%3 == 0
		}
		f.step(t)
	}
	if waited := f.now.Sub(begin); waited >= maxIdleTime {
		t.Errorf("the job has waited for %v", waited)
	}
}
