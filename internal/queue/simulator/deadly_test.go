package simulator

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
)

// forEachPlay runs a parallel subtest for each preset and seed. Runs do not fail unless faults make them.
func forEachPlay(t *testing.T, scale float64, test func(t *testing.T, opts Options)) {
	for seed := range uint64(3) {
		for name, preset := range map[string]func(float64) (Fleet, Load){"reports": Reports, "listings": Listings} {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				fleet, load := preset(scale)
				for i := range load.Queues {
					load.Queues[i].FailureRate, load.Queues[i].AlwaysFailing = 0, 0
				}
				test(t, Options{Seed: seed, Fleet: fleet, Load: load, Log: zap.NewNop()})
			})
		}
	}
}

// checkPlay runs a simulation and reports violations and jobs that have not ended.
func checkPlay(t *testing.T, opts Options) *Simulator {
	s := simulate(opts)
	r := &s.result
	t.Logf("earned %.3f, runs %d, ends %v, lost work %.0f, deadly crashes %d, lost beside them %.0f, given up %d",
		r.EarnedShare(), r.Runs, r.Ends, r.LostWork, r.DeadlyCrashes, r.LostBeside, r.GivenUp)
	for _, v := range r.Violations {
		t.Error(v)
	}
	for _, j := range r.Unfinished {
		t.Errorf("unfinished: %s", j)
	}
	return s
}

// checkSoundJobsCompleted checks that each accepted job without a deadly task has completed, or was cancelled by
// its caller.
func checkSoundJobsCompleted(t *testing.T, s *Simulator) {
	for _, j := range s.jobs {
		if j.deadly != nil || j.phase == tracker.Completed || j.phase == tracker.Cancelled && j.cancelSent {
			continue
		}
		t.Errorf("sound job %s of %s: phase %q, accepted %v, refused %v", j.id, j.queue.Name, j.phase, !j.accepted.IsZero(), j.refused)
	}
}

// TestDeadlyTasksAreGivenUp guards against tasks that crash one worker after another without end, as crashes count as
// lost runs and not as failures. The leader changes between two crashes under one task.
func TestDeadlyTasksAreGivenUp(t *testing.T) {
	for queue, name := range []string{"long", "urgent", "wide"} {
		t.Run(name, func(t *testing.T) {
			forEachPlay(t, 0.8, func(t *testing.T, opts Options) {
				opts.Load.Queues[queue].Deadly = 0.1
				opts.Faults = []Fault{
					{Kind: LeaderChange, AfterCrashes: 1, Start: 20 * time.Millisecond, Duration: time.Second},
					{Kind: LeaderChange, AfterCrashes: 2, Start: 500 * time.Millisecond, Duration: 1500 * time.Millisecond},
				}
				s := checkPlay(t, opts)
				if s.result.DeadlyCrashes == 0 {
					t.Error("no deadly task has started")
				}
			})
		})
	}
}

// TestSoundJobsCompleteBesideDeadlyOnes guards against a fleet that many deadly tasks of a queue keep busy with
// restarts, and against a distrust of the queue that keeps its sound jobs waiting or gives them up too.
func TestSoundJobsCompleteBesideDeadlyOnes(t *testing.T) {
	forEachPlay(t, 0.55, func(t *testing.T, opts Options) {
		opts.Load.Queues[opts.Seed%3].Deadly = 0.4
		checkSoundJobsCompleted(t, checkPlay(t, opts))
	})
}

// TestCrashesFailNoInnocentJobs guards against jobs that are given up because workers crashed under them for other
// reasons: crashes at random, flapping, a rack without power and partitions longer than the lease, with leader
// changes in between.
func TestCrashesFailNoInnocentJobs(t *testing.T) {
	forEachPlay(t, 0.8, func(t *testing.T, opts Options) {
		rack := make([]int, opts.Fleet.WorkersPerRack)
		for i := range rack {
			rack[i] = opts.Fleet.WorkersPerRack + i
		}
		for i := range 4 {
			opts.Faults = append(opts.Faults, Fault{Kind: Crash, Start: time.Duration(4+5*i) * time.Second, Duration: 3 * time.Second, Share: 0.15})
		}
		for i := range 10 {
			opts.Faults = append(opts.Faults, Fault{
				Kind: Crash, Start: 8*time.Second + time.Duration(i)*time.Second, Duration: 500 * time.Millisecond, Workers: []int{0, 20, 30, 40},
			})
		}
		opts.Faults = append(opts.Faults,
			Fault{Kind: LeaderChange, Start: 9200 * time.Millisecond, Duration: time.Second},
			Fault{Kind: Crash, Start: 13 * time.Second, Duration: 2500 * time.Millisecond, Workers: rack},
			Fault{Kind: LeaderChange, Start: 14 * time.Second, Duration: 1500 * time.Millisecond},
			Fault{Kind: Crash, Start: 18 * time.Second, Duration: opts.Fleet.MaxLease + 2*time.Second, Workers: rack},
			Fault{Kind: Partition, Start: 20 * time.Second, Duration: opts.Fleet.MaxLease + 1500*time.Millisecond, Share: 0.15},
			Fault{Kind: LeaderChange, Start: 22 * time.Second, Duration: 2 * time.Second},
			Fault{Kind: Partition, Start: 30 * time.Second, Duration: opts.Fleet.MaxLease + 500*time.Millisecond, Share: 0.15},
		)
		checkSoundJobsCompleted(t, checkPlay(t, opts))
	})
}
