package simulator

import (
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// TestCalmDay serves a load well below the fleet's room without a broken promise and nearly in full.
func TestCalmDay(t *testing.T) {
	for name, preset := range map[string]func(float64) (Fleet, Load){"reports": Reports, "listings": Listings} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fleet, load := preset(0.55)
			for i := range load.Queues {
				load.Queues[i].Failing, load.Queues[i].Hopeless = 0, 0
			}
			r := New(Options{Seed: 1, Fleet: fleet, Load: load, Log: zap.NewNop()})
			is.NoErr(r.Print(os.Stderr))
			is.Equal(r.Broken, nil)
			is.Equal(r.Alone, 0)
			is.True(r.Share() > 0.9)
		})
	}
}

// troubles returns a mix of all kinds, one after the other and some together.
func troubles() []Trouble {
	at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	return []Trouble{
		{Kind: Crash, From: at(4), For: at(4.4), Share: 0.1},
		{Kind: Cut, From: at(7), For: at(5.5), Share: 0.17},
		{Kind: Deaf, From: at(9), For: at(8), Share: 0.2},
		{Kind: Depose, From: at(10), For: at(1.5)},
		{Kind: Unsure, From: at(13), For: at(0.6)},
		{Kind: Slow, From: at(14), For: at(7), Share: 0.17, Factor: 6.5},
		{Kind: Failing, From: at(16), For: at(6), Share: 0.09},
		{Kind: Stuck, From: at(20), For: at(5.5), Share: 0.1},
		{Kind: Depose, From: at(24), For: at(2)},
		{Kind: Cut, From: at(23), For: at(12), Share: 0.2},
		{Kind: Crash, From: at(26), For: at(1), Share: 0.3},
	}
}

// TestPromisesUnderTrouble checks each promise while workers crash, are cut off, turn deaf, slow or
// bad, leaders change and commits are left without a word on their outcome.
func TestPromisesUnderTrouble(t *testing.T) {
	for seed := range uint64(12) {
		fleet, load := Reports(1)
		if seed%2 == 1 {
			fleet, load = Listings(1)
		}
		r := New(Options{Seed: seed, Fleet: fleet, Load: load, Troubles: troubles(), Log: zap.NewNop()})
		for _, b := range r.Broken {
			t.Errorf("seed %d: %s", seed, b)
		}
		for _, j := range r.Stuck {
			t.Errorf("seed %d: stuck: %s", seed, j)
		}
		unfinished := 0
		for _, q := range r.Queues {
			unfinished += q.Unserved
		}
		t.Logf("seed %d: earned %.3f, unserved %d, ends %v", seed, r.Share(), unfinished, r.Ends)
	}
}

// TestReturnAtLeaseEnd lets workers come back from a cut at about the time at which their leases end,
// over and over, so that reports arrive while the loss of the worker is being committed.
func TestReturnAtLeaseEnd(t *testing.T) {
	for seed := range uint64(6) {
		fleet, load := Reports(1.1)
		load.Abandoned = 0.1
		var list []Trouble
		for i := range 60 {
			list = append(list, Trouble{
				Kind: []Kind{Cut, Deaf}[i%2], From: time.Duration(2000+i*450) * time.Millisecond,
				For: fleet.Lease + time.Duration(100+i*17)*time.Millisecond, Workers: []int{i * 7 % 48, i * 11 % 48},
			})
		}
		r := New(Options{Seed: seed, Fleet: fleet, Load: load, Troubles: list, Log: zap.NewNop()})
		for _, b := range r.Broken {
			t.Errorf("seed %d: %s", seed, b)
		}
	}
}
