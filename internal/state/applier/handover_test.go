package applier

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
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
		_, err := leader.Transfer(ctx)
		is.NoErr(err)
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
