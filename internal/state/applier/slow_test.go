package applier

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
)

// TestSlowWritesAreLogged guards against a leader that steps down because of its disk, and nothing in the logs says so.
func TestSlowWritesAreLogged(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zap.InfoLevel)
	c := newTestClusterOnDisks(t, 1000, true, func(o *Options) { o.Log = zap.New(core).With(zap.String("replica", o.Name)) })
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	leader := c.leader()
	disk := c.disks[leader.opts.Name]
	disk.mu.Lock()
	disk.delay = 2 * slowWrite // the election timeout is 40 ms
	disk.mu.Unlock()
	_, _ = leader.Propose(ctx, scheduler.Tick{}) // its outcome depends on the other replicas
	for len(c.linesOf(lines, leader, "slow write of the log", true)) == 0 || len(c.linesOf(lines, leader, "leadership changed", false)) == 0 {
		is.NoErr(ctx.Err())
		time.Sleep(time.Millisecond)
	}
}

// linesOf returns the lines of a replica with a message and the value of the field "leading".
func (*testCluster) linesOf(lines *observer.ObservedLogs, a *Applier, message string, leading bool) []observer.LoggedEntry {
	return lines.FilterMessage(message).FilterField(zap.String("replica", a.opts.Name)).FilterField(zap.Bool("leading", leading)).All()
}
