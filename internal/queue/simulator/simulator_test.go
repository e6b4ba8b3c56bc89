package simulator

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/placer"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
)

// TestLowLoad checks that a load well below the fleet's capacity is served almost in full, without violations
// or gang timeouts.
func TestLowLoad(t *testing.T) {
	for name, preset := range map[string]func(float64) (Fleet, Load){"reports": Reports, "listings": Listings} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fleet, load := preset(0.55)
			for i := range load.Queues {
				load.Queues[i].FailureRate, load.Queues[i].AlwaysFailing = 0, 0
			}
			r := Run(Options{Seed: 1, Fleet: fleet, Load: load, Log: zap.NewNop()})
			is.NoErr(r.Print(os.Stderr))
			is.Equal(r.Violations, nil)
			is.Equal(r.GangTimeouts, 0)
			is.True(r.EarnedShare() > 0.9)
		})
	}
}

// faults returns a sequence with faults of all kinds, some of which overlap.
func faults() []Fault {
	at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	return []Fault{
		{Kind: Crash, Start: at(4), Duration: at(4.4), Share: 0.1},
		{Kind: Partition, Start: at(7), Duration: at(5.5), Share: 0.17},
		{Kind: Unreachable, Start: at(9), Duration: at(8), Share: 0.2},
		{Kind: LeaderChange, Start: at(10), Duration: at(1.5)},
		{Kind: UnknownOutcome, Start: at(13), Duration: at(0.6)},
		{Kind: Slow, Start: at(14), Duration: at(7), Share: 0.17, Slowdown: 6.5},
		{Kind: Failing, Start: at(16), Duration: at(6), Share: 0.09},
		{Kind: Stuck, Start: at(20), Duration: at(5.5), Share: 0.1},
		{Kind: LeaderChange, Start: at(24), Duration: at(2)},
		{Kind: Partition, Start: at(23), Duration: at(12), Share: 0.2},
		{Kind: Crash, Start: at(26), Duration: at(1), Share: 0.3},
	}
}

// TestInvariantsUnderSimulatedFaults checks the invariants while workers crash, are partitioned, unreachable, slow,
// stuck or failing, leaders change and the outcomes of commits are unknown. It also checks that all accepted
// jobs end.
func TestInvariantsUnderSimulatedFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			fleet, load := Reports(1)
			if seed%2 == 1 {
				fleet, load = Listings(1)
			}
			r := Run(Options{Seed: seed, Fleet: fleet, Load: load, Faults: faults(), Log: zap.NewNop()})
			for _, v := range r.Violations {
				t.Error(v)
			}
			for _, j := range r.Unfinished {
				t.Errorf("unfinished: %s", j)
			}
			unserved := 0
			for _, q := range r.Queues {
				unserved += q.Unserved
			}
			t.Logf("earned %.3f, unserved %d, ends %v", r.EarnedShare(), unserved, r.Ends)
		})
	}
}

// TestReconnectAtLeaseExpiry guards against errors in handling reports that arrive while the loss of their
// worker is being committed. Workers reconnect again and again at about the time at which their leases
// expire.
func TestReconnectAtLeaseExpiry(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			fleet, load := Reports(1.1)
			load.CancelledReads = 0.1
			var injected []Fault
			for i := range 60 {
				injected = append(injected, Fault{
					Kind: []FaultKind{Partition, Unreachable}[i%2], Start: time.Duration(2000+i*450) * time.Millisecond,
					Duration: fleet.MaxLease + time.Duration(100+i*17)*time.Millisecond, Workers: []int{i * 7 % 48, i * 11 % 48},
				})
			}
			r := Run(Options{Seed: seed, Fleet: fleet, Load: load, Faults: injected, Log: zap.NewNop()})
			for _, v := range r.Violations {
				t.Error(v)
			}
		})
	}
}

// TestFailingWorkersFailNoJobs covers a day on which some workers fail all that they start while runs that they
// began before still succeed. Jobs have few attempts, and none of them may be used up by such workers.
func TestFailingWorkersFailNoJobs(t *testing.T) {
	for seed := range uint64(5) {
		for name, preset := range map[string]func(float64) (Fleet, Load){"reports": Reports, "listings": Listings} {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				fleet, load := preset(1)
				for i := range load.Queues {
					load.Queues[i].FailureRate, load.Queues[i].AlwaysFailing = 0, 0
				}
				s := simulate(Options{Seed: seed, Fleet: fleet, Load: load, Log: zap.NewNop(), Faults: []Fault{
					{Kind: Failing, Start: 10 * time.Second, Duration: 6 * time.Second, Share: 0.09},
				}})
				for _, j := range s.jobs {
					if j.phase == tracker.Failed {
						t.Errorf("job %s of %s failed", j.id, j.queue.Name)
					}
				}
			})
		}
	}
}

// TestLeavingWorkersLoseNoRuns covers a day on which workers leave in series with some seconds' notice. Their runs
// must end elsewhere or in time: none may be lost with its worker and wait there for the end of a lease.
func TestLeavingWorkersLoseNoRuns(t *testing.T) {
	for seed := range uint64(3) {
		for name, preset := range map[string]func(float64) (Fleet, Load){"reports": Reports, "listings": Listings} {
			for _, notice := range []time.Duration{2 * time.Second, 6 * time.Second} {
				t.Run(fmt.Sprintf("%s/%v/%d", name, notice, seed), func(t *testing.T) {
					t.Parallel()
					fleet, load := preset(0.8)
					var injected []Fault
					for i := range 6 {
						injected = append(injected, Fault{Kind: Leave, Start: time.Duration(6+4*i) * time.Second, Duration: notice, Workers: []int{i, 8 + i, 16 + i, 24 + i}})
					}
					r := Run(Options{Seed: seed, Fleet: fleet, Load: load, Faults: injected, Log: zap.NewNop()})
					for _, v := range r.Violations {
						t.Error(v)
					}
					if lost := r.Ends[tracker.EndExpired]; lost > 0 {
						t.Errorf("%d runs were lost with their workers, ends %v", lost, r.Ends)
					}
				})
			}
		}
	}
}

// TestInvariantsWithPreemption checks the invariants, and that all accepted jobs end, while leaders weigh stops by their full cost
// and urgent work waits for runs to end: leaders change, workers crash, and estimates are wrong for slow and stuck runs.
func TestInvariantsWithPreemption(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			preset := Reports
			if seed%2 == 1 {
				preset = Listings
			}
			fleet, load := preset(1.1)
			preemption := placer.Preemption{Restore: 600 * time.Millisecond, Stop: fleet.MaxStopTime}
			r := Run(Options{Seed: seed, Fleet: fleet, Load: load, Faults: faults(), Preemption: preemption, Log: zap.NewNop()})
			for _, v := range r.Violations {
				t.Error(v)
			}
			for _, j := range r.Unfinished {
				t.Errorf("unfinished: %s", j)
			}
		})
	}
}
