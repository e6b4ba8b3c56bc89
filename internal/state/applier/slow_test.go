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

// newSlowCluster starts three replicas with an election timeout of 400 ms, so that writes can be slow without failing it.
func newSlowCluster(t *testing.T) *testCluster {
	t.Helper()
	return newTestClusterOnDisks(t, 1000, true, func(o *Options) { o.Tick = slowTick })
}

const slowTick = 50 * time.Millisecond

// setDelay sets how long each sync of a replica takes. It returns after a sync in progress.
func (c *testCluster) setDelay(a *Applier, delay time.Duration) {
	disk := c.disks[a.opts.Name]
	disk.mu.Lock()
	defer disk.mu.Unlock()
	disk.delay = delay
}

// TestSlowWriteKeepsLeader guards against a change of leader, with the calls in flight failed, for each write that takes
// longer than an election timeout. Reads go on meanwhile.
func TestSlowWriteKeepsLeader(t *testing.T) {
	is := is.New(t)
	c := newSlowCluster(t)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	leader := c.leader()
	before, err := leader.Status(ctx)
	is.NoErr(err)
	for range 3 {
		c.setDelay(leader, 3*electionTicks*slowTick/2)
		proposed := make(chan error, 1)
		go func() {
			_, err := leader.Propose(ctx, scheduler.Tick{})
			proposed <- err
		}()
		for reads := 0; ; reads++ {
			select {
			case err := <-proposed:
				is.NoErr(err)
				is.True(reads > electionTicks)
			case <-time.After(slowTick / 2):
				is.NoErr(leader.Read(ctx, func(uint64, *scheduler.State) {}))
				continue
			}
			break
		}
		c.setDelay(leader, 0)
		_, err := leader.Propose(ctx, scheduler.Tick{})
		is.NoErr(err)
	}
	after, err := leader.Status(ctx)
	is.NoErr(err)
	is.Equal(after.Term, before.Term)
}

// TestSlowDiskLosesLead guards against a leader whose heartbeats keep the lead while all commits wait for its disk.
func TestSlowDiskLosesLead(t *testing.T) {
	for _, delay := range []time.Duration{3 * electionTicks * slowTick / 2, 10 * electionTicks * slowTick} {
		t.Run(delay.String(), func(t *testing.T) {
			is := is.New(t)
			c := newSlowCluster(t)
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			slow := c.leader()
			c.setDelay(slow, delay)
			start := time.Now()
			for c.proposeAny(ctx, scheduler.Tick{}) == slow {
				is.NoErr(ctx.Err())
			}
			is.True(time.Since(start) < 10*electionTicks*slowTick)
		})
	}
}
