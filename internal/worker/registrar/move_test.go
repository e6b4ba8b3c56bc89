package registrar

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestMovedWorkerIsNotLost guards against a second run of a task that goes on: a worker has moved to another home, the
// full heartbeat of its former home reaches a new leader last, and the leader takes the worker for lost while its home
// renews its leases.
func TestMovedWorkerIsNotLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const former, current = 0, 1
		n := newNetwork(t)
		beat := func(home int) { n.heartbeat(home, 0, true, true) }
		for range 5 {
			n.report(former, 0)
			beat(former)
			beat(current)
			n.now = n.now.Add(n.timing.Heartbeat)
		}
		n.report(current, 0)
		beat(current)
		beat(former)
		n.term++
		n.monitor = NewMonitor(n.timing, n.now, zap.NewNop())
		for end := n.now.Add(3 * n.timing.LostAfter()); n.now.Before(end); {
			n.report(current, 0)
			beat(current)
			beat(former)
			n.check()
			n.now = n.now.Add(250 * time.Millisecond)
		}
	})
}

// TestLateHeartbeatLosesNoWorker guards against a second run of a task that goes on: a heartbeat that says that a worker is
// out of contact, or is the first of its home, arrives after a later one that lists the worker.
func TestLateHeartbeatLosesNoWorker(t *testing.T) {
	for _, late := range []*messages.Beat{{Silent: []string{"w"}}, {Full: true}} {
		is := is.New(t)
		now := time.Unix(1_000_000, 0)
		state := newNetworkState(now)
		m := NewMonitor(DefaultTiming(), now, zap.NewNop())
		beat := func(number uint64, b *messages.Beat) {
			b.Daemon, b.Started, b.Number = "d", 1, number
			m.Heartbeat(now, b)
		}
		heard := []*messages.Heard{{Worker: "w", Incarnation: 1}}
		beat(1, &messages.Beat{Full: true, Heard: heard})
		beat(3, &messages.Beat{Heard: heard})
		beat(2, late)
		for number := range uint64(3 * m.timing.LostAfter() / m.timing.Heartbeat) {
			now = now.Add(m.timing.Heartbeat)
			beat(4+number, &messages.Beat{})
			is.Equal(len(m.Lost(now, state)), 0)
		}
	}
}

// TestWorkerOfRestartedHomeIsLost guards against a worker that is never declared lost: it ends together with its home, and
// the home, which no longer knows it once it has restarted, keeps sending heartbeats.
func TestWorkerOfRestartedHomeIsLost(t *testing.T) {
	is := is.New(t)
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t)
		for range 5 {
			n.report(0, 0)
			n.heartbeat(0, 0, true, true)
			n.now = n.now.Add(n.timing.Heartbeat)
		}
		n.homes[0] = NewHome(n.timing, func() time.Time { return n.now })
		for range int(n.timing.LostAfter()/n.timing.Heartbeat) + 6 {
			n.heartbeat(0, 0, true, true)
			n.check()
			n.now = n.now.Add(n.timing.Heartbeat)
		}
		is.Equal(len(n.monitor.Lost(n.now, n.state)), 1)
	})
}

// TestLowerIncarnationIsListed guards against jobs that are neither answered nor run again: a worker has restarted after its
// clock went back, so that its incarnation is lower than the one that the leader knows.
func TestLowerIncarnationIsListed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	state := newNetworkState(now)
	m := NewMonitor(DefaultTiming(), now, zap.NewNop())
	beat := func(b *messages.Beat) []string {
		b.Daemon = "d"
		m.Heartbeat(now, b)
		return m.Unknown(b, state)
	}
	is.Equal(len(beat(&messages.Beat{Full: true, Heard: []*messages.Heard{{Worker: "w", Incarnation: 1}}})), 0)
	is.Equal(beat(&messages.Beat{Heard: []*messages.Heard{{Worker: "w", Incarnation: 0}}}), []string{"w"}) // it must announce itself
	for range m.timing.LostAfter()/m.timing.Heartbeat + 2 {
		now = now.Add(m.timing.Heartbeat)
		beat(&messages.Beat{})
	}
	is.Equal(len(m.Lost(now, state)), 1)
}
