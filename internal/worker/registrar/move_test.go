package registrar

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"
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
