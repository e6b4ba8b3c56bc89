package simulator

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
)

// lostWorkPrice is the users' price of a lost core-second, in units of value.
const lostWorkPrice = 0.0015

// loads are the load patterns on which the scheduling policy is measured.
var loads = []struct {
	name   string
	preset func(float64) (Fleet, Load)
	scale  float64
	bursts []Burst
	faults []Fault
}{
	{"reports-busy", Reports, 1, nil, nil},
	{"reports-overload", Reports, 1.3, nil, nil},
	{"reports-urgent-burst", Reports, 1.05, []Burst{{Queue: 1, Start: 5 * time.Second, Duration: 6 * time.Second, Factor: 2.3}}, nil},
	{"reports-wide-burst", Reports, 1.05, []Burst{{Queue: 2, Start: 8 * time.Second, Duration: 4 * time.Second, Factor: 2.5}}, nil},
	{"reports-trouble", Reports, 1, nil, faults()},
	{"listings-busy", Listings, 1, nil, nil},
	{"listings-overload", Listings, 1.3, nil, nil},
	{"listings-urgent-burst", Listings, 1.05, []Burst{{Queue: 1, Start: 5 * time.Second, Duration: 6 * time.Second, Factor: 2.2}}, nil},
	{"listings-long-burst", Listings, 1.05, []Burst{{Queue: 0, Start: 10 * time.Second, Duration: 3 * time.Second, Factor: 2.8}}, nil},
	{"listings-trouble", Listings, 1, nil, faults()},
}

// measure runs a load with several seeds. It returns the summed results and the share of jobs served.
func measure(name string, seeds int) (sum Result, served float64) {
	for _, l := range loads {
		if l.name != name {
			continue
		}
		submitted, finished := 0, 0
		results := make([]*Result, seeds)
		var wait sync.WaitGroup
		for seed := range results {
			wait.Go(func() {
				fleet, load := l.preset(l.scale)
				load.Bursts = l.bursts
				results[seed] = Run(Options{Seed: 100 + uint64(seed), Fleet: fleet, Load: load, Faults: l.faults, Log: zap.NewNop()})
			})
		}
		wait.Wait()
		for _, r := range results {
			sum.OfferedValue += r.OfferedValue
			sum.EarnedValue += r.EarnedValue
			sum.LostWork += r.LostWork
			sum.Work += r.Work
			sum.LateReclaims += r.LateReclaims
			sum.GangTimeouts += r.GangTimeouts
			sum.Violations = append(sum.Violations, r.Violations...)
			for i, q := range r.Queues {
				if len(sum.Queues) <= i {
					sum.Queues = append(sum.Queues, QueueResult{Name: q.Name})
				}
				s := &sum.Queues[i]
				s.Submitted, s.InTime, s.Late, s.Refused, s.Unserved = s.Submitted+q.Submitted, s.InTime+q.InTime, s.Late+q.Late, s.Refused+q.Refused, s.Unserved+q.Unserved
				s.OfferedValue, s.EarnedValue = s.OfferedValue+q.OfferedValue, s.EarnedValue+q.EarnedValue
				s.LargeSubmitted, s.LargeServed = s.LargeSubmitted+q.LargeSubmitted, s.LargeServed+q.LargeServed
				submitted += q.Submitted
				finished += q.InTime + q.Late
			}
		}
		return sum, float64(finished) / float64(submitted)
	}
	panic("unknown load " + name)
}

// BenchmarkPolicy reports for each load the share of the value that is earned, the same after the price of
// lost work, the share of jobs served, the urgent jobs started late, and the share earned of each queue's
// value.
func BenchmarkPolicy(b *testing.B) {
	for _, l := range loads {
		b.Run(l.name, func(b *testing.B) {
			for b.Loop() {
				r, served := measure(l.name, 8)
				b.ReportMetric(r.EarnedShare(), "earned")
				b.ReportMetric(r.EarnedShare()-r.LostWork*lostWorkPrice/r.OfferedValue, "net")
				b.ReportMetric(served, "served")
				b.ReportMetric(float64(r.LateReclaims), "lateurgent")
				for _, q := range r.Queues {
					b.ReportMetric(q.EarnedValue/q.OfferedValue, q.Name)
				}
				if len(r.Violations) > 0 {
					b.Fatal(fmt.Sprint(r.Violations))
				}
			}
		})
	}
}
