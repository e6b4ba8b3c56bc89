package registrar

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// network simulates one worker, several homes and a leader on a virtual clock.
type network struct {
	t           *rapid.T
	now         time.Time
	timing      Timing
	state       *scheduler.State
	homes       []*Home
	monitor     *Monitor
	term        uint64
	leaseExpiry time.Time // end of the worker's lease
}

// newNetworkState returns the state of a fleet with the worker w.
func newNetworkState(now time.Time) *scheduler.State {
	state := scheduler.New()
	state.Step(now, scheduler.ApplyManifest{Text: []byte(`{"version": 1, "places": [{"name": "p", "service": "s",
		"racks": 1, "workers": 1, "slots": 8, "processors": 8, "memory": 8}]}`)})
	state.Step(now, scheduler.Announce{Worker: scheduler.WorkerInfo{
		Name: "w", Place: "p", Rack: "r", Service: "s", Incarnation: 1, Slots: 8, Address: netip.MustParseAddrPort("127.0.0.1:1"),
	}})
	return state
}

func newNetwork(t *rapid.T) *network {
	now := time.Unix(1_000_000, 0)
	n := &network{t: t, now: now, timing: DefaultTiming(), state: newNetworkState(now), term: 1}
	for range 3 {
		n.homes = append(n.homes, NewHome(n.timing, func() time.Time { return n.now }))
	}
	n.monitor = NewMonitor(n.timing, n.now, zap.NewNop())
	return n
}

// report sends a report of the worker to a home. The lease counts from the sending of the report.
func (n *network) report(home int, delay time.Duration) {
	sent := n.now
	n.now = n.now.Add(delay)
	running := []*messages.Attempt{{Job: "o/k", Number: 1}}
	renewal := n.homes[home].Report("w", "p", &messages.WorkerReport{Incarnation: 1, Running: running})
	if len(renewal.GetRenewed()) > 0 {
		until := sent.Add(time.Duration(renewal.GetLease()) * time.Millisecond)
		if until.After(n.leaseExpiry) {
			n.leaseExpiry = until
		}
	}
}

// heartbeat sends a heartbeat of a home to the leader. The request or the reply may be lost.
func (n *network) heartbeat(home int, delay time.Duration, delivered, answered bool) {
	b := &messages.Beat{Daemon: fmt.Sprintf("d%d", home)}
	n.homes[home].FillHeartbeat(b)
	sent := n.now
	n.now = n.now.Add(delay)
	if !delivered {
		return
	}
	o := &messages.Orders{Term: n.term, Resync: n.monitor.Heartbeat(n.now, b), Unknown: n.monitor.Unknown(b, n.state)}
	n.now = n.now.Add(delay)
	if answered {
		n.homes[home].HandleReply(sent, b, o)
	}
}

func (n *network) check() {
	if len(n.monitor.Lost(n.now, n.state)) > 0 && n.now.Before(n.leaseExpiry) {
		n.t.Fatalf("worker declared lost %s before its lease expires", n.leaseExpiry.Sub(n.now))
	}
}

// TestWorkerLostOnlyAfterLeaseExpiry generates reports to any home, heartbeats that are lost in either
// direction and new leaders. A worker must not be declared lost while one of its leases may still be valid.
func TestWorkerLostOnlyAfterLeaseExpiry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t)
		home := func(t *rapid.T) int { return rapid.IntRange(0, 2).Draw(t, "home") }
		delay := func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(0, 500).Draw(t, "travel")) * time.Millisecond
		}
		report := func(t *rapid.T) { n.t = t; n.report(home(t), delay(t)) }
		heartbeat := func(t *rapid.T) {
			n.t = t
			n.heartbeat(home(t), delay(t), rapid.IntRange(0, 3).Draw(t, "arrives") > 0, rapid.IntRange(0, 3).Draw(t, "answered") > 0)
		}
		t.Repeat(map[string]func(*rapid.T){
			"":        func(t *rapid.T) { n.t = t; n.check() },
			"report":  report,
			"report2": report,
			"beat":    heartbeat,
			"beat2":   heartbeat,
			"beat3":   heartbeat,
			"wait": func(t *rapid.T) {
				n.now = n.now.Add(time.Duration(rapid.IntRange(100, 4000).Draw(t, "milliseconds")) * time.Millisecond)
			},
			"leader": func(*rapid.T) {
				n.term++
				n.monitor = NewMonitor(n.timing, n.now, zap.NewNop())
			},
		})
	})
}

// TestWorkerOutOfContactIsLost checks that a worker is declared lost after its leases have expired, and not
// before.
func TestWorkerOutOfContactIsLost(t *testing.T) {
	is := is.New(t)
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t)
		for range 5 {
			n.report(0, 0)
			n.heartbeat(0, 0, true, true)
			n.now = n.now.Add(n.timing.Heartbeat)
		}
		is.True(n.leaseExpiry.After(n.now)) // its lease was renewed
		for range int(n.timing.LostAfter()/n.timing.Heartbeat) + 6 {
			n.heartbeat(0, 0, true, true)
			n.check()
			n.now = n.now.Add(n.timing.Heartbeat)
		}
		is.Equal(len(n.monitor.Lost(n.now, n.state)), 1)
	})
}

func TestRendezvousMovesOnlyWorkersOfDrainingHome(t *testing.T) {
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
