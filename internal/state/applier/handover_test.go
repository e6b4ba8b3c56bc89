package applier

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/state/filer"
)

// TestHandoverIsLogged guards against a change of leader of which the logs don't say that the leader chose its successor,
// and from whom.
func TestHandoverIsLogged(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zap.InfoLevel)
	c := newTestClusterOnDisks(t, 1000, true, func(o *Options) { o.Log = zap.New(core).With(zap.String("replica", o.Name)) })
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	ended := func() *observer.ObservedLogs {
		return lines.FilterMessage("hand-over of the lead ended").FilterField(zap.String("outcome", "taken over"))
	}
	c.awaitLeader(ctx, func(leader *Applier) bool {
		leader.Leave()
		return ended().Len() > 0
	})
	end := ended().All()[0].ContextMap()
	start := lines.FilterMessage("hands over the lead").FilterField(zap.Uint64("term", end["term"].(uint64))).All()[0].ContextMap()
	is.Equal(start["reason"], "stop")
	is.Equal(end["to"], start["to"])
	is.Equal(end["term"], start["term"])
	is.Equal(len(start["candidates"].([]any)), 2)
	is.True(lines.FilterMessage("campaign starts").FilterField(zap.String("role", "candidate")).Len() > 0)
}

// awaitLeader calls f with the current leader until it returns true.
func (c *testCluster) awaitLeader(ctx context.Context, f func(leader *Applier) bool) {
	c.t.Helper()
	for !f(c.leader()) {
		if ctx.Err() != nil {
			c.t.Fatal(ctx.Err())
		}
		time.Sleep(time.Millisecond)
	}
}

// TestLeavingSurvivesSuspension guards against a replica that stops and is chosen as a successor after its disk was full.
func TestLeavingSurvivesSuspension(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zap.InfoLevel)
	c := newTestClusterOnDisks(t, 1000, true, func(o *Options) { o.Log = zap.New(core).With(zap.String("replica", o.Name)) })
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	leader := c.leader()
	var leaving *Applier
	for _, a := range c.replicas {
		if a != leader {
			leaving = a
		}
	}
	leaving.Leave()
	disk := c.disks[leaving.opts.Name]
	disk.fillAt(filer.OpWrite, "")
	for s := (Status{}); !s.Suspended || !s.Leaving; {
		c.proposeAny(ctx, scheduler.Tick{})
		s, _ = leaving.Status(ctx)
		is.NoErr(ctx.Err())
	}
	disk.free()
	for s := (Status{Suspended: true}); s.Suspended; {
		s, _ = leaving.Status(ctx)
		is.NoErr(ctx.Err())
	}
	is.True(lines.FilterMessage("replica starts").FilterField(zap.String("replica", leaving.opts.Name)).Len() > 1)
	// The leader may know it from before the suspension: another one knows only what it is told from now on.
	c.leader().Leave()
	for {
		var told bool
		next := c.leader()
		is.NoErr(next.call(ctx, func() error {
			for _, s := range next.node.Successors() {
				told = told || s.Name == leaving.opts.Name && s.Leaving
			}
			return nil
		}))
		if told {
			return
		}
		time.Sleep(time.Millisecond)
		is.NoErr(ctx.Err())
	}
}

// TestLastOfLeavingReplicasResigns guards against an election timeout without a leader: the leader stops while all others
// leave too, so that it could not hand over before.
func TestLastOfLeavingReplicasResigns(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zap.InfoLevel)
	c := newTestClusterOnDisks(t, 1000, true, func(o *Options) { o.Log = zap.New(core).With(zap.String("replica", o.Name)) })
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	leader := c.leader()
	for _, a := range c.replicas {
		if a != leader {
			a.Leave()
		}
	}
	told := func() bool {
		leaving := 0
		is.NoErr(leader.call(ctx, func() error {
			for _, s := range leader.node.Successors() {
				if s.Leaving {
					leaving++
				}
			}
			return nil
		}))
		return leaving == len(c.replicas)-1
	}
	for !told() {
		time.Sleep(time.Millisecond)
	}
	leader.Leave()
	defer c.stopOnce.Do(func() {
		for _, a := range c.replicas {
			if a != leader {
				a.Stop()
			}
		}
	})
	leader.Stop()
	resigned := lines.FilterMessage("resigns the lead").FilterField(zap.String("replica", leader.opts.Name)).All()
	is.Equal(len(resigned), 1)
	is.True(resigned[0].ContextMap()["to"] != "")
}
