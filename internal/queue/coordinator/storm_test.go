package coordinator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// restart ends a worker and starts it again at once.
func (f *poweredFleet) restart(w *standIn) { w.running, w.born = nil, f.now }

// storm lets a share of the workers restart every so often, last at its end.
func (f *poweredFleet) storm(t *testing.T, random *rand.Rand, share float64, period, length time.Duration) {
	t.Helper()
	begin, next := f.now, time.Duration(0)
	for {
		if f.now.Sub(begin) >= next {
			next += period
			for _, w := range f.workers {
				if random.Float64() < share {
					f.restart(w)
				}
			}
		}
		if f.now.Sub(begin) >= length {
			return
		}
		f.step(t)
	}
}

// submitJobs submits jobs of one step each.
func (f *poweredFleet) submitJobs(n int, s *messages.Step) {
	for i := range n {
		f.state.Apply(&messages.QueueChange{Submits: []*messages.Work{{
			Id: fmt.Sprintf("j%02d", i), Queue: "q", Pool: "p", Priority: int32(i % 3), Attempts: 3, Steps: []*messages.Step{s},
		}}})
	}
}

// checkNoneWaits runs the fleet for some time and checks that no job has nothing running for maxIdleTime.
func (f *poweredFleet) checkNoneWaits(t *testing.T, length time.Duration) {
	t.Helper()
	begin := f.now
	since := map[*tracker.Job]time.Time{}
	for f.now.Sub(begin) < length {
		f.step(t)
		running := f.runningJobs()
		for _, j := range f.state.Open() {
			if running[j.Work.GetId()] || j.Ended() {
				delete(since, j)
				continue
			}
			if since[j].IsZero() {
				since[j] = f.now
				if f.now.Sub(begin) == stepInterval {
					since[j] = begin
				}
			}
			if waited := f.now.Sub(since[j]); waited == maxIdleTime {
				t.Errorf("job %s has had nothing running for %v, the tasks have up to %d crashes", j.Work.GetId(), waited, mostCrashes(j))
			}
		}
	}
	for _, j := range f.state.Open() {
		if j.Phase == tracker.Failed {
			t.Errorf("job %s has failed", j.Work.GetId())
		}
	}
}

// runningJobs returns the jobs of which something runs on a worker.
func (f *poweredFleet) runningJobs() map[string]bool {
	running := map[string]bool{}
	for _, w := range f.workers {
		for _, run := range w.running {
			running[run.GetJob()] = true
		}
	}
	return running
}

func mostCrashes(j *tracker.Job) int {
	most := 0
	for _, s := range j.Steps() {
		for _, task := range s.Tasks {
			most = max(most, len(task.Crashes))
		}
	}
	return most
}

// TestJobsStartAfterCrashes guards against accepted jobs that stand still beside free workers: their tasks were starting
// when workers crashed, and wait for their trials after the last crash.
func TestJobsStartAfterCrashes(t *testing.T) {
	for _, c := range []struct {
		name           string
		step           *messages.Step
		jobs           int
		share          float64
		period, length time.Duration
	}{
		{"one crash of all workers", &messages.Step{Count: 5, Processors: 1000, Estimate: 60_000}, 16, 1, time.Minute, 0},
		{"half of the workers each 0.8 s", &messages.Step{Count: 3, Processors: 1000, Estimate: 60_000}, 24, 0.5, 800 * time.Millisecond, 12000 * time.Millisecond},
		{"gangs", &messages.Step{Count: 3, Processors: 1000, Estimate: 60_000, Gang: true}, 24, 0.5, 800 * time.Millisecond, 12000 * time.Millisecond},
		{"large tasks", &messages.Step{Count: 2, Processors: 8000, Estimate: 60_000}, 5, 0.5, 800 * time.Millisecond, 12000 * time.Millisecond},
		{"0.4 of the workers each 1.5 s", &messages.Step{Count: 4, Processors: 1000, Estimate: 60_000}, 20, 0.4, 1500 * time.Millisecond, 12000 * time.Millisecond},
		{"half of the workers each 0.8 s, for long", &messages.Step{Count: 3, Processors: 1000, Estimate: 60_000}, 24, 0.5, 800 * time.Millisecond, 48 * time.Second},
		{"a quarter of the workers each 2.6 s", &messages.Step{Count: 4, Processors: 1000, Estimate: 60_000}, 20, 0.25, 2600 * time.Millisecond, 23400 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(4) {
				f := newPoweredFleet(t, 24)
				for range 40 {
					f.step(t)
				}
				f.submitJobs(c.jobs, c.step)
				f.storm(t, rand.New(rand.NewPCG(seed, 1)), c.share, c.period, c.length)
				f.checkNoneWaits(t, 12*time.Second)
			}
		})
	}
}
