package simulator

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/placer"
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
	{"racks-quarter", quarterOfRacks, 1, nil, nil},
	{"racks-quarter-busy", quarterOfRacks, 1.3, nil, nil},
	{"racks-quarter-burst", quarterOfRacks, 1, []Burst{{Queue: 1, Start: 8 * time.Second, Duration: 6 * time.Second, Factor: 2}}, nil},
	{"racks-quarter-large", largeOrganisations, 1.3, nil, nil},
	{"racks-quarter-overload", largeOrganisations, 1.8, nil, nil},
	{"racks-waves", Racks, 1, nil, nil},
	{"racks-busy", Racks, 1.3, nil, nil},
	{"racks-urgent-burst", Racks, 1, []Burst{{Queue: 1, Start: 8 * time.Second, Duration: 6 * time.Second, Factor: 2}}, nil},
}

// quarterOfRacks is Racks with a quarter of the workers and of the load, for trials with many seeds.
func quarterOfRacks(scale float64) (Fleet, Load) {
	fleet, load := Racks(scale / 4)
	fleet.Workers, load.Guaranteed = 84, 35
	return fleet, load
}

// largeOrganisations is quarterOfRacks with most of the load from three of the ten organisations.
func largeOrganisations(scale float64) (Fleet, Load) {
	fleet, load := quarterOfRacks(scale)
	load.LargeOrganisations, load.LargeShare = 3, 0.6
	return fleet, load
}

// measure runs a load with several seeds. It returns the summed results and the share of jobs served.
func measure(name string, seeds int, preemption placer.Preemption) (sum Result, served float64) {
	for _, l := range loads {
		if l.name != name {
			continue
		}
		results := make([]*Result, seeds)
		var wait sync.WaitGroup
		for seed := range results {
			wait.Go(func() {
				fleet, load := l.preset(l.scale)
				load.Bursts = l.bursts
				results[seed] = Run(Options{
					Seed: firstSeed + uint64(seed), Fleet: fleet, Load: load, Faults: l.faults, Preemption: preemption, Log: zap.NewNop(),
				})
			})
		}
		wait.Wait()
		for _, r := range results {
			sum.add(r)
		}
		submitted, finished := 0, 0
		for _, q := range sum.Queues {
			submitted += q.Submitted
			finished += q.InTime + q.Late
		}
		return sum, float64(finished) / float64(submitted)
	}
	panic("unknown load " + name)
}

// firstSeed is the first seed of a measurement.
const firstSeed = 100

// add adds the result of another simulation of the same load.
func (r *Result) add(other *Result) {
	r.OfferedValue += other.OfferedValue
	r.EarnedValue += other.EarnedValue
	r.LostWork += other.LostWork
	r.Work += other.Work
	r.RestoreWork += other.RestoreWork
	r.StoppedWork += other.StoppedWork
	r.Runs += other.Runs
	r.Stops += other.Stops
	r.EarlyStops += other.EarlyStops
	r.LateReclaims += other.LateReclaims
	r.GangTimeouts += other.GangTimeouts
	r.Violations = append(r.Violations, other.Violations...)
	for i, waits := range other.GangWaits {
		r.GangWaits[i] = append(r.GangWaits[i], waits...)
	}
	if r.Organisations == nil {
		r.Organisations = map[string]Earnings{}
	}
	for name, e := range other.Organisations {
		r.Organisations[name] = Earnings{r.Organisations[name].Offered + e.Offered, r.Organisations[name].Earned + e.Earned}
	}
	for i, q := range other.Queues {
		if len(r.Queues) <= i {
			r.Queues = append(r.Queues, QueueResult{Name: q.Name})
		}
		s := &r.Queues[i]
		s.Submitted, s.InTime, s.Late, s.Refused, s.Unserved = s.Submitted+q.Submitted, s.InTime+q.InTime, s.Late+q.Late, s.Refused+q.Refused, s.Unserved+q.Unserved
		s.OfferedValue, s.EarnedValue = s.OfferedValue+q.OfferedValue, s.EarnedValue+q.EarnedValue
		s.LargeSubmitted, s.LargeServed = s.LargeSubmitted+q.LargeSubmitted, s.LargeServed+q.LargeServed
	}
}

// BenchmarkPolicy reports for each load the share of the value that is earned, the same after the price of
// lost work, the share of jobs served, the urgent jobs started late, and the share earned of each queue's
// value.
func BenchmarkPolicy(b *testing.B) {
	for _, l := range loads {
		b.Run(l.name, func(b *testing.B) {
			for b.Loop() {
				report(b, l.name, placer.Preemption{})
			}
		})
	}
}

// BenchmarkPolicyPreemption is BenchmarkPolicy with the costs of stops.
func BenchmarkPolicyPreemption(b *testing.B) {
	for _, l := range loads {
		b.Run(l.name, func(b *testing.B) {
			for b.Loop() {
				report(b, l.name, preemptionOf(l.preset))
			}
		})
	}
}

// preemptionOf returns the times that stops take on the fleet of a load.
func preemptionOf(preset func(float64) (Fleet, Load)) placer.Preemption {
	fleet, _ := preset(1)
	return placer.Preemption{Restore: fleet.RestoreTime, Stop: fleet.MaxStopTime}
}

// report runs a load with several seeds and reports what callers got.
func report(b *testing.B, name string, preemption placer.Preemption) {
	r, served := measure(name, 8, preemption)
	b.ReportMetric(r.EarnedShare(), "earned")
	b.ReportMetric(r.EarnedShare()-r.LostWork*lostWorkPrice/r.OfferedValue, "net")
	b.ReportMetric(served, "served")
	b.ReportMetric(float64(r.LateReclaims), "lateurgent")
	for _, q := range r.Queues {
		b.ReportMetric(q.EarnedValue/q.OfferedValue, q.Name)
	}
	b.ReportMetric(float64(r.Stops)/float64(r.Runs), "stops")
	b.ReportMetric(float64(r.EarlyStops)/float64(r.Runs), "earlystops")
	b.ReportMetric(r.LostWork/r.Work, "lost")
	b.ReportMetric(r.StoppedWork/r.Work, "loststopped")
	b.ReportMetric(r.RestoreWork/r.Work, "restoring")
	b.ReportMetric(r.WorstQueue(), "worstqueue")
	b.ReportMetric(r.WorstOrganisation(), "worstorg")
	for i, size := range [gangSizes]string{"small", "medium", "large"} {
		if waits := slices.Sorted(slices.Values(r.GangWaits[i])); len(waits) > 0 {
			b.ReportMetric(waits[len(waits)/2].Seconds(), size+"p50")
			b.ReportMetric(waits[len(waits)*95/100].Seconds(), size+"p95")
		}
	}
	if len(r.Violations) > 0 {
		b.Fatal(fmt.Sprint(r.Violations))
	}
}
