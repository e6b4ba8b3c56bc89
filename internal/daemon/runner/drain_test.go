package runner_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/console/client"
)

// TestDrainedDaemonHandsOver guards against a daemon that is drained by an operator and goes on as the leader, so that its
// stop interrupts the commits.
func TestDrainedDaemonHandsOver(t *testing.T) {
	p := startProcesses(t, 3, 3)
	former := p.leader()
	cl := client.New([]netip.AddrPort{p.entries[former]}, operatorToken)
	defer cl.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	p.noError(cl.Drain(ctx))
	p.eventually(10*time.Second, "another leader", func(context.Context) bool { return p.leader() != former })
}
