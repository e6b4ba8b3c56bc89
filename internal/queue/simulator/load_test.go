package simulator

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
)

// wastePrice is what a lost core-second costs, in units of worth, as the users price it.
const wastePrice = 0.0015

// loads are the patterns that the policy is measured on, by what makes them hard.
var loads = []struct {
	name     string
	preset   func(float64) (Fleet, Load)
	scale    float64
	bursts   []Burst
	troubles []Trouble
}{
	{"reports-busy", Reports, 1, nil, nil},
	{"reports-overload", Reports, 1.3, nil, nil},
	{"reports-urgent-burst", Reports, 1.05, []Burst{{Queue: 1, From: 5 * time.Second, For: 6 * time.Second, Times: 2.3}}, nil},
	{"reports-wide-burst", Reports, 1.05, []Burst{{Queue: 2, From: 8 * time.Second, For: 4 * time.Second, Times: 2.5}}, nil},
	{"reports-trouble", Reports, 1, nil, troubles()},
	{"listings-busy", Listings, 1, nil, nil},
	{"listings-overload", Listings, 1.3, nil, nil},
	{"listings-urgent-burst", Listings, 1.05, []Burst{{Queue: 1, From: 5 * time.Second, For: 6 * time.Second, Times: 2.2}}, nil},
	{"listings-long-burst", Listings, 1.05, []Burst{{Queue: 0, From: 10 * time.Second, For: 3 * time.Second, Times: 2.8}}, nil},
	{"listings-trouble", Listings, 1, nil, troubles()},
}

// measure returns the means over some seeds.
func measure(name string, seeds int) (sum Result, served float64) {
	for _, l := range loads {
		if l.name != name {
			continue
		}
		asked, ended := 0, 0
		results := make([]*Result, seeds)
		var wait sync.WaitGroup
		for seed := range results {
			wait.Go(func() {
				fleet, load := l.preset(l.scale)
				load.Bursts = l.bursts
				results[seed] = New(Options{Seed: 100 + uint64(seed), Fleet: fleet, Load: load, Troubles: l.troubles, Log: zap.NewNop()})
			})
		}
		wait.Wait()
		for _, r := range results {
			sum.Owed += r.Owed
			sum.Earned += r.Earned
			sum.Waste += r.Waste
			sum.Work += r.Work
			sum.Reclaims += r.Reclaims
			sum.Alone += r.Alone
			sum.Broken = append(sum.Broken, r.Broken...)
			for i, q := range r.Queues {
				if len(sum.Queues) <= i {
					sum.Queues = append(sum.Queues, QueueResult{Name: q.Name})
				}
				s := &sum.Queues[i]
				s.Asked, s.InTime, s.Late, s.Refused, s.Unserved = s.Asked+q.Asked, s.InTime+q.InTime, s.Late+q.Late, s.Refused+q.Refused, s.Unserved+q.Unserved
				s.Owed, s.Earned = s.Owed+q.Owed, s.Earned+q.Earned
				s.LargeAsked, s.LargeServed = s.LargeAsked+q.LargeAsked, s.LargeServed+q.LargeServed
				asked += q.Asked
				ended += q.InTime + q.Late
			}
		}
		return sum, float64(ended) / float64(asked)
	}
	panic("unknown load " + name)
}

// BenchmarkPolicy measures what callers get under each load: the share of the worth that is earned,
// the share after the price of lost work, the share of jobs served at all, and each queue's share.
func BenchmarkPolicy(b *testing.B) {
	for _, l := range loads {
		b.Run(l.name, func(b *testing.B) {
			for b.Loop() {
				r, served := measure(l.name, 8)
				b.ReportMetric(r.Share(), "earned")
				b.ReportMetric(r.Share()-r.Waste*wastePrice/r.Owed, "net")
				b.ReportMetric(served, "served")
				b.ReportMetric(float64(r.Reclaims), "lateurgent")
				for _, q := range r.Queues {
					b.ReportMetric(q.Earned/q.Owed, q.Name)
				}
				if len(r.Broken) > 0 {
					b.Fatal(fmt.Sprint(r.Broken))
				}
			}
		})
	}
}
