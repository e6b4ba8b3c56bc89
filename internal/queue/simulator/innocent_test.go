package simulator

import (
	"fmt"
	"testing"
	"time"
)

// TestFlappingFailsNoInnocentJobs guards against jobs that are given up because all workers restart again and again,
// each time shortly after the age from which their crashes speak against what they start.
func TestFlappingFailsNoInnocentJobs(t *testing.T) {
	for _, period := range []time.Duration{5 * time.Second, 10500 * time.Millisecond, 11 * time.Second, 12 * time.Second} {
		t.Run(fmt.Sprint(period), func(t *testing.T) {
			forEachPlay(t, 0.4, func(t *testing.T, opts Options) {
				all := make([]int, opts.Fleet.Workers)
				for i := range all {
					all[i] = i
				}
				for at := 5 * time.Second; at < 90*time.Second; at += period {
					opts.Faults = append(opts.Faults, Fault{Kind: Crash, Start: at, Duration: 200 * time.Millisecond, Workers: all})
				}
				s := simulate(opts)
				for _, v := range s.result.Violations {
					t.Error(v)
				}
			})
		})
	}
}

// TestRollingRestartFailsNoInnocentJobs guards against jobs that are given up because their trials run ahead of an
// operator who restarts one worker after another.
func TestRollingRestartFailsNoInnocentJobs(t *testing.T) {
	for _, gap := range []time.Duration{300 * time.Millisecond, 500 * time.Millisecond, 700 * time.Millisecond, time.Second} {
		t.Run(fmt.Sprint(gap), func(t *testing.T) {
			forEachPlay(t, 0.4, func(t *testing.T, opts Options) {
				for i := range opts.Fleet.Workers {
					opts.Faults = append(opts.Faults, Fault{
						Kind: Crash, Start: 12*time.Second + time.Duration(i)*gap, Duration: 300 * time.Millisecond, Workers: []int{i},
					})
				}
				s := simulate(opts)
				for _, v := range s.result.Violations {
					t.Error(v)
				}
			})
		})
	}
}

// TestDeadlyTasksAreLimitedInTrouble guards against a deadly task whose crashes are not all taken note of: leaders
// change after each crash, commits have unknown outcomes, and other workers crash, are cut off or leave.
func TestDeadlyTasksAreLimitedInTrouble(t *testing.T) {
	for variant := range 9 {
		queue := variant % 3
		t.Run(fmt.Sprint(variant), func(t *testing.T) {
			forEachPlay(t, 0.6, func(t *testing.T, opts Options) {
				opts.Seed += uint64(100 * variant)
				opts.Load.Queues[queue].Deadly = 0.25
				for n := range 6 {
					opts.Faults = append(opts.Faults, Fault{
						Kind: LeaderChange, AfterCrashes: n + 1, Start: time.Duration(5+variant*n*150) * time.Millisecond,
						Duration: time.Duration(300+200*variant) * time.Millisecond,
					})
				}
				for i := range 12 {
					at := time.Duration(4+3*i) * time.Second
					switch variant {
					case 1:
						opts.Faults = append(opts.Faults, Fault{Kind: UnknownOutcome, Start: at, Duration: time.Second})
					case 2:
						opts.Faults = append(opts.Faults, Fault{Kind: Crash, Start: at, Duration: 2 * time.Second, Share: 0.1})
					case 3:
						opts.Faults = append(opts.Faults, Fault{Kind: Unreachable, Start: at, Duration: 2500 * time.Millisecond, Share: 0.3})
					case 4:
						opts.Faults = append(opts.Faults, Fault{Kind: Partition, Start: at, Duration: 2500 * time.Millisecond, Share: 0.25})
					case 6:
						opts.Faults = append(opts.Faults, Fault{Kind: Partition, Start: at, Duration: opts.Fleet.MaxLease + time.Second, Share: 0.15})
					case 7:
						opts.Faults = append(opts.Faults, Fault{Kind: Partition, Start: at, Duration: 2500 * time.Millisecond, Share: 0.2},
							Fault{Kind: UnknownOutcome, Start: at + time.Second, Duration: time.Second})
					case 5:
						opts.Faults = append(opts.Faults, Fault{Kind: LeaderChange, Start: at, Duration: 600 * time.Millisecond})
					}
				}
				s := simulate(opts)
				for _, v := range s.result.Violations {
					t.Error(v)
				}
				for _, j := range s.result.Unfinished {
					t.Errorf("unfinished: %s", j)
				}
			})
		})
	}
}

// TestLossesOfPowerFailNoInnocentJobs guards against jobs that are given up because all workers lose power a few times
// within a minute or two.
func TestLossesOfPowerFailNoInnocentJobs(t *testing.T) {
	for _, period := range []time.Duration{15 * time.Second, 20 * time.Second} {
		t.Run(fmt.Sprint(period), func(t *testing.T) {
			for block := range uint64(2) {
				forEachPlay(t, 0.8, func(t *testing.T, opts Options) {
					opts.Seed += 10 * block
					all := make([]int, opts.Fleet.Workers)
					for i := range all {
						all[i] = i
					}
					for i := range 5 {
						opts.Faults = append(opts.Faults, Fault{Kind: Crash, Start: 8*time.Second + time.Duration(i)*period, Duration: 2 * time.Second, Workers: all})
					}
					checkViolations(t, opts)
				})
			}
		})
	}
}

// TestFrequentCrashesFailNoInnocentJobs guards against jobs that are given up because a tenth of the workers crashes
// each few seconds.
func TestFrequentCrashesFailNoInnocentJobs(t *testing.T) {
	for block := range uint64(3) {
		forEachPlay(t, 0.6, func(t *testing.T, opts Options) {
			opts.Seed += 10 * block
			for i := range 12 {
				opts.Faults = append(opts.Faults, Fault{Kind: Crash, Start: time.Duration(4+3*i) * time.Second, Duration: 2 * time.Second, Share: 0.1})
			}
			checkViolations(t, opts)
		})
	}
}
