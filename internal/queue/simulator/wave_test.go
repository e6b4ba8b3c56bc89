package simulator

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
)

// waveSeeds is the number of plays of each kind of crash waves, firstWaveSeed the seed of the first one.
var (
	waveSeeds     = flag.Int("wave-seeds", 2, "plays of each kind of crash waves")
	firstWaveSeed = flag.Uint64("wave-seed", 1, "seed of the first play of crash waves")
)

// forEachWave runs a subtest for each kind of crash waves and seed of the flags: a share of the workers crashes every 0.8 s for
// 23 s, each is down for 0.4 s, and jobs arrive until 10 s after the first wave. Runs do not fail.
func forEachWave(t *testing.T, test func(t *testing.T, opts Options)) {
	for _, share := range []float64{0.14, 0.5} {
		for n := range *waveSeeds {
			seed := *firstWaveSeed + uint64(n)
			t.Run(fmt.Sprintf("%v/%d", share, seed), func(t *testing.T) {
				t.Parallel()
				scale := 0.3 + 0.1*float64(seed%6)
				fleet, load := Reports(scale)
				if seed%2 == 0 {
					fleet, load = Listings(scale)
				}
				load.Duration = 22 * time.Second
				for i := range load.Queues {
					load.Queues[i].FailureRate, load.Queues[i].AlwaysFailing = 0, 0
				}
				opts := Options{Seed: seed, Fleet: fleet, Load: load, DrainTime: 45 * time.Second, Log: zap.NewNop(), ContinuousWaits: true}
				for at := 12 * time.Second; at < 35*time.Second; at += 800 * time.Millisecond {
					opts.Faults = append(opts.Faults, Fault{Kind: Crash, Start: at, Duration: 400 * time.Millisecond, Share: share})
				}
				test(t, opts)
			})
		}
	}
}

// TestJobsStartDuringCrashWaves guards against jobs that have nothing running beside idle workers for as long as workers crash in
// waves: their tasks are held, or each wave begins their wait for a trial anew. KNOWN-RED.txt: last trials are held for up to 18 s.
func TestJobsStartDuringCrashWaves(t *testing.T) { forEachWave(t, checkViolations) }

// TestJobsBeforeLastTrialsStartDuringCrashWaves guards against the same for all jobs but those with a task that is not tried again
// after one more crash.
func TestJobsBeforeLastTrialsStartDuringCrashWaves(t *testing.T) {
	forEachWave(t, func(t *testing.T, opts Options) {
		opts.LastTrialHold = 18 * time.Second
		checkViolations(t, opts)
	})
}

// TestDeadlyTasksAreLimitedInCrashWaves guards against tasks that are started without a limit, as their crashes pass for those of
// the waves.
func TestDeadlyTasksAreLimitedInCrashWaves(t *testing.T) {
	forEachWave(t, func(t *testing.T, opts Options) {
		opts.Load.Queues[opts.Seed%3].Deadly = 0.1
		opts.ContinuousWaits = false // a pool with many deadly tasks is short of workers
		checkViolations(t, opts)
	})
}
