package simulator

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
)

// TestEvacuations covers days on which data centres are evacuated and returned beside a load, also while leaders change,
// outcomes are unknown, or the leader is lost between the commit of an order and its acknowledgement. Nothing may start in a data centre
// from 5 s after the acknowledgement on, the work must go on elsewhere, and returned data centres be used again.
func TestEvacuations(t *testing.T) {
	at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	for name, others := range map[string][]Fault{
		"alone":   nil,
		"leaders": {{Kind: LeaderChange, Start: at(9.9), Duration: at(1.5)}, {Kind: UnknownOutcome, Start: at(20), Duration: at(0.6)}},
		"workers": {{Kind: Crash, Start: at(9), Duration: at(3), Share: 0.1}, {Kind: Partition, Start: at(9.8), Duration: at(4), Share: 0.2}},
	} {
		for _, losesLeader := range []bool{false, true} {
			for seed := range uint64(3) {
				t.Run(fmt.Sprintf("%s/%v/%d", name, losesLeader, seed), func(t *testing.T) {
					t.Parallel()
					fleet, load := Reports(0.8)
					fleet.Places = 3
					load.Queues = append(load.Queues, Queue{
						Name: "service", Rate: 0.2, Priority: 1, Attempts: 3, Stretch: 3, Width: 3, MaxWidth: 4, Steps: 1,
						Work: time.Second, MaxWork: time.Second, Processors: 2000, Memory: 2000, Accelerators: []int64{0}, Lasting: true,
					})
					injected := append([]Fault{
						{Kind: Evacuate, Start: at(10), Duration: at(12), Place: "z0", LosesLeader: losesLeader},
						{Kind: Evacuate, Start: at(14), Duration: at(12), Place: "z1", LosesLeader: losesLeader},
					}, others...)
					s := simulate(Options{Seed: seed, Fleet: fleet, Load: load, Faults: injected, DrainTime: 30 * time.Second, Log: zap.NewNop()})
					for _, v := range s.result.Violations {
						t.Error(v)
					}
					checkOrders(t, s)
				})
			}
		}
	}
}

// checkOrders checks that all orders of a play were acknowledged in time, and that returned data centres were used.
func checkOrders(t *testing.T, s *Simulator) {
	t.Helper()
	if len(s.orderList) != 4 {
		t.Fatalf("%d orders, want 4", len(s.orderList))
	}
	for _, o := range s.orderList {
		if took := o.acknowledged.Sub(o.sent); o.acknowledged.IsZero() || took > maxEvacuationDelay {
			t.Errorf("the order for %s, over %v, was acknowledged after %v", o.place, o.over, took)
		}
		if o.over && o.starts == 0 {
			t.Errorf("nothing has started in %s after its return", o.place)
		}
	}
	if len(s.state.Evacuations()) > 0 {
		t.Errorf("%v are still evacuated", s.state.Evacuations())
	}
}

// TestLastingTasksLeaveEvacuatedPlace guards against services that stay in a data centre that is to be emptied.
func TestLastingTasksLeaveEvacuatedPlace(t *testing.T) {
	fleet, load := Reports(0.3)
	fleet.Places = 3
	load.Queues = []Queue{{
		Name: "service", Rate: 1, Priority: 1, Attempts: 3, Stretch: 3, Width: 3, MaxWidth: 4, Steps: 1,
		Work: time.Second, MaxWork: time.Second, Processors: 2000, Memory: 2000, Accelerators: []int64{0}, Lasting: true,
	}}
	s := simulate(Options{Seed: 1, Fleet: fleet, Load: load, DrainTime: time.Second, Log: zap.NewNop(), Faults: []Fault{
		{Kind: Evacuate, Start: 15 * time.Second, Duration: time.Hour, Place: "z0"},
	}})
	for _, v := range s.result.Violations {
		t.Error(v)
	}
	there, elsewhere := 0, 0
	for _, w := range s.workers {
		if w.place == "z0" {
			there += len(w.runs)
		} else {
			elsewhere += len(w.runs)
		}
	}
	if there > 0 || elsewhere == 0 || s.result.Ends[tracker.EndStopped] == 0 {
		t.Errorf("%d runs in the evacuated data centre and %d elsewhere, ends %v", there, elsewhere, s.result.Ends)
	}
}
