package registrar

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// network is one worker, some homes and a leader on a virtual clock.
type network struct {
	t      *rapid.T
	now    time.Time
	timing Timing
	state  *scheduler.State
	homes  []*Home
	watch  *Watch
	term   uint64
	until  time.Time // end of the worker's lease
}

func newNetwork(t *rapid.T) *network {
	n := &network{t: t, now: time.Unix(1_000_000, 0), timing: DefaultTiming(), state: scheduler.New(), term: 1}
	n.state.Step(n.now, scheduler.ApplyManifest{Text: []byte(`{"version": 1, "places": [{"name": "p", "service": "s",
		"racks": 1, "workers": 1, "slots": 8, "processors": 8, "memory": 8}]}`)})
	n.state.Step(n.now, scheduler.Announce{Worker: scheduler.WorkerInfo{
		Name: "w", Place: "p", Rack: "r", Service: "s", Incarnation: 1, Slots: 8, Address: netip.MustParseAddrPort("127.0.0.1:1"),
	}})
	for range 3 {
		n.homes = append(n.homes, NewHome(n.timing, func() time.Time { return n.now }))
	}
	n.watch = NewWatch(n.timing, n.now)
	return n
}

// report lets the worker report to a home. The lease counts from the sending of the report.
func (n *network) report(home int, travel time.Duration) {
	sent := n.now
	n.now = n.now.Add(travel)
	running := []*messages.Attempt{{Job: "o/k", Number: 1}}
	renewal := n.homes[home].Report("w", "p", &messages.WorkerReport{Incarnation: 1, Running: running})
	if len(renewal.GetRenewed()) > 0 {
		until := sent.Add(time.Duration(renewal.GetLease()) * time.Millisecond)
		if until.After(n.until) {
			n.until = until
		}
	}
}

// beat lets a home speak to the leader. Either way may be lost.
func (n *network) beat(home int, travel time.Duration, arrives, answered bool) {
	b := &messages.Beat{Daemon: fmt.Sprintf("d%d", home)}
	n.homes[home].Beat(b)
	sent := n.now
	n.now = n.now.Add(travel)
	if !arrives {
		return
	}
	o := &messages.Orders{Term: n.term, Resync: n.watch.Beat(n.now, b), Unknown: n.watch.Unknown(b, n.state)}
	n.now = n.now.Add(travel)
	if answered {
		n.homes[home].Answered(sent, b, o)
	}
}

func (n *network) check() {
	if len(n.watch.Lost(n.now, n.state)) > 0 && n.now.Before(n.until) {
		n.t.Fatalf("the worker is declared lost %s before its lease ends", n.until.Sub(n.now))
	}
}

// TestLostOnlyAfterLeases draws reports to any home, beats that are lost in either direction and
// new leaders. A worker must not be declared lost while one of its leases may still run.
func TestLostOnlyAfterLeases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t)
		home := func(t *rapid.T) int { return rapid.IntRange(0, 2).Draw(t, "home") }
		travel := func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(0, 500).Draw(t, "travel")) * time.Millisecond
		}
		report := func(t *rapid.T) { n.t = t; n.report(home(t), travel(t)) }
		beat := func(t *rapid.T) {
			n.t = t
			n.beat(home(t), travel(t), rapid.IntRange(0, 3).Draw(t, "arrives") > 0, rapid.IntRange(0, 3).Draw(t, "answered") > 0)
		}
		t.Repeat(map[string]func(*rapid.T){
			"":        func(t *rapid.T) { n.t = t; n.check() },
			"report":  report,
			"report2": report,
			"beat":    beat,
			"beat2":   beat,
			"beat3":   beat,
			"wait": func(t *rapid.T) {
				n.now = n.now.Add(time.Duration(rapid.IntRange(100, 4000).Draw(t, "milliseconds")) * time.Millisecond)
			},
			"leader": func(*rapid.T) {
				n.term++
				n.watch = NewWatch(n.timing, n.now)
			},
		})
	})
}

// TestSilentWorkerIsLost makes sure that a loss is declared in the end, and not before.
func TestSilentWorkerIsLost(t *testing.T) {
	is := is.New(t)
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t)
		for range 5 {
			n.report(0, 0)
			n.beat(0, 0, true, true)
			n.now = n.now.Add(n.timing.Beat)
		}
		is.True(n.until.After(n.now)) // its lease was renewed
		for range int(n.timing.LostAfter()/n.timing.Beat) + 6 {
			n.beat(0, 0, true, true)
			n.check()
			n.now = n.now.Add(n.timing.Beat)
		}
		is.Equal(len(n.watch.Lost(n.now, n.state)), 1)
	})
}

func TestRendezvousMovesOnlyTheShareOfALostHome(t *testing.T) {
	is := is.New(t)
	h := NewHome(DefaultTiming(), time.Now)
	for i := range 4 {
		h.daemons = append(h.daemons, &messages.Daemon{Name: fmt.Sprint(i), Place: "p", Listen: fmt.Sprint(i)})
	}
	h.daemons = append(h.daemons, &messages.Daemon{Name: "far", Place: "q", Listen: "far"})
	before := map[string]string{}
	for i := range 1000 {
		name := fmt.Sprint("w", i)
		before[name] = h.homeOf(name, "p")
		is.True(before[name] != "far")
	}
	h.daemons[2].Draining = true
	moved := 0
	for name, home := range before {
		if now := h.homeOf(name, "p"); now != home {
			is.Equal(home, "2")
			moved++
		}
	}
	is.True(moved > 150 && moved < 350)
}
