package simulator

import (
	"testing"
	"time"
)

// TestShrinkingWorkers guards against starts on a worker for which its shrunk capacity has no room: starts decided
// before the shrink, by a leader that has been replaced since, on a worker out of reach, or during restarts.
func TestShrinkingWorkers(t *testing.T) {
	forEachPlay(t, 1.1, func(t *testing.T, opts Options) {
		opts.Faults = []Fault{
			{Kind: Resize, Start: 5 * time.Second, Duration: 8 * time.Second, Share: 0.3, Capacity: 0.5},
			{Kind: Resize, Start: 8 * time.Second, Duration: 9 * time.Second, Share: 0.2, Capacity: 0},
			{Kind: LeaderChange, Start: 8020 * time.Millisecond, Duration: 5 * time.Second},
			{Kind: Partition, Start: 18 * time.Second, Duration: 5500 * time.Millisecond, Workers: []int{1, 9, 17, 25, 33, 41}},
			{Kind: Resize, Start: 18500 * time.Millisecond, Duration: 9 * time.Second, Workers: []int{1, 9, 17, 25, 33, 41}, Capacity: 0.25},
			{Kind: Crash, Start: 20 * time.Second, Duration: time.Second, Workers: []int{2, 10, 18}},
			{Kind: Resize, Start: 20500 * time.Millisecond, Duration: 8 * time.Second, Workers: []int{2, 10, 18}, Capacity: 0.4},
			{Kind: LeaderChange, Start: 26 * time.Second, Duration: 2 * time.Second},
		}
		for i := range 12 {
			opts.Faults = append(opts.Faults, Fault{
				Kind: Resize, Start: time.Duration(6+2*i) * time.Second, Duration: time.Second, Workers: []int{5, 13, 21, 29}, Capacity: 0.25,
			})
		}
		checkPlay(t, opts)
	})
}

// TestStartsOfReplacedLeaderFitShrunkWorkers guards against starts that a leader committed and did not send before it
// lost the lead: its successor sees them, and workers that have shrunk long since.
func TestStartsOfReplacedLeaderFitShrunkWorkers(t *testing.T) {
	forEachPlay(t, 1.1, func(t *testing.T, opts Options) {
		for i := range 3 {
			start := time.Duration(3+10*i) * time.Second
			opts.Faults = append(opts.Faults,
				Fault{Kind: Resize, Start: start, Duration: 8 * time.Second, Share: 0.8, Capacity: 0.1},
				Fault{Kind: LeaderChange, Start: start + 10*time.Millisecond, Duration: 6500 * time.Millisecond},
			)
		}
		checkPlay(t, opts)
	})
}

// maxGrowthDelay is the time from the report of a grown capacity within which waiting work must start there.
const maxGrowthDelay = time.Second

// TestRegrownWorkersAreUsed guards against capacity that stays idle after it has grown while tasks wait for it.
func TestRegrownWorkersAreUsed(t *testing.T) {
	forEachPlay(t, 1, func(t *testing.T, opts Options) {
		// Single tasks of one accelerator, half as many again as fit.
		q := opts.Load.Queues[2]
		q.Rate = 1.5 * float64(opts.Fleet.Workers) * float64(opts.Fleet.Accelerators) / (q.Width * q.Work.Seconds())
		opts.Load.Queues, opts.Load.Duration = []Queue{q}, 24*time.Second
		opts.Faults = []Fault{
			{Kind: Resize, Start: 6 * time.Second, Duration: 8 * time.Second, Workers: []int{0, 8, 16, 24, 32, 40}, Capacity: 0},
			{Kind: Resize, Start: 8 * time.Second, Duration: 9 * time.Second, Workers: []int{1, 9, 17, 25, 33, 41}, Capacity: 0.5},
		}
		s := checkPlay(t, opts)
		if n := len(s.result.GrowthDelays); n != s.result.Growths || n != 12 {
			t.Errorf("work has started on %d of %d workers that reported a grown capacity, want 12", n, s.result.Growths)
		}
		for _, d := range s.result.GrowthDelays {
			if d > maxGrowthDelay {
				t.Errorf("work started %v after the report of a grown capacity", d)
			}
		}
	})
}
