package simulator

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"
)

// stormSeeds is the number of random storms for each preset, firstStormSeed the seed of the first one.
var (
	stormSeeds     = flag.Int("storm-seeds", 2, "random storms of crashes for each preset")
	firstStormSeed = flag.Uint64("storm-seed", 1, "seed of the first random storm of crashes")
)

// service is a queue of lasting tasks.
func service() Queue {
	return Queue{
		Name: "service", Rate: 0.2, Priority: 1, Attempts: 2, Stretch: 3, Target: 2 * time.Second, Value: 1, Work: time.Second, MaxWork: time.Second,
		Steps: 1, Width: 4, WidthSpread: 0.5, MaxWidth: 8, Processors: 4000, Memory: 4000, Accelerators: []int64{0, 1, 4}, Spread: 1, Lasting: true,
		FailureRate: 0.02,
	}
}

// drawStorms draws series of crashes, with leader changes, partitions and failing workers beside them.
func drawStorms(random *rand.Rand) []Fault {
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low)))
	}
	var faults []Fault
	for range 1 + random.IntN(3) {
		start, length := between(3*time.Second, 20*time.Second), between(5*time.Second, 40*time.Second)
		period, down := between(500*time.Millisecond, 5*time.Second), between(100*time.Millisecond, 2*time.Second)
		share := 0.1 + 0.9*random.Float64()
		for at := start; at < start+length; at += period {
			faults = append(faults, Fault{Kind: Crash, Start: at, Duration: down, Share: share})
		}
	}
	for range random.IntN(4) {
		faults = append(faults, Fault{Kind: LeaderChange, Start: between(3*time.Second, 50*time.Second), Duration: between(300*time.Millisecond, 2*time.Second)})
	}
	for range random.IntN(3) {
		faults = append(faults, Fault{
			Kind: []FaultKind{Partition, Unreachable}[random.IntN(2)], Start: between(3*time.Second, 50*time.Second),
			Duration: between(500*time.Millisecond, 12*time.Second), Share: 0.05 + 0.25*random.Float64(),
		})
	}
	for range random.IntN(3) {
		faults = append(faults, Fault{
			Kind: Failing, Start: between(3*time.Second, 50*time.Second), Duration: between(time.Second, 8*time.Second), Share: 0.02 + 0.1*random.Float64(),
		})
	}
	return faults
}

// forEachStorm runs a subtest for each preset and seed of the flags.
func forEachStorm(t *testing.T, test func(t *testing.T, opts Options)) {
	for name, preset := range map[string]func(float64) (Fleet, Load){"reports": Reports, "listings": Listings} {
		for n := range *stormSeeds {
			seed := *firstStormSeed + uint64(n)
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				random := rand.New(rand.NewPCG(seed, uint64(len(name))))
				fleet, load := preset(0.2 + 0.6*random.Float64())
				load.Queues = append(load.Queues, service())
				test(t, Options{Seed: seed, Fleet: fleet, Load: load, Faults: drawStorms(random), DrainTime: 45 * time.Second, Log: zap.NewNop()})
			})
		}
	}
}

// TestJobsStartAfterStorms guards against accepted jobs, and lasting tasks, that stand still beside idle workers after crashes:
// their tasks were starting when workers crashed, or wait for workers, trials or losses to end.
func TestJobsStartAfterStorms(t *testing.T) {
	forEachStorm(t, checkViolations)
}

// checkViolations fails the test for each broken rule of a simulation.
func checkViolations(t *testing.T, opts Options) {
	for _, v := range simulate(opts).result.Violations {
		t.Error(v)
	}
}

// TestStormsFailNoInnocentJobs guards against jobs that are given up because workers crash under them again and again, though
// none of their runs has failed.
func TestStormsFailNoInnocentJobs(t *testing.T) {
	forEachStorm(t, func(t *testing.T, opts Options) {
		for i := range opts.Load.Queues {
			opts.Load.Queues[i].FailureRate, opts.Load.Queues[i].AlwaysFailing = 0, 0
		}
		checkViolations(t, opts)
	})
}
