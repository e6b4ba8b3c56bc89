package applier

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
)

// TestAbandonedCallDoesNotRun guards against a call that runs after it has returned, beside what its caller does next: its
// context ends while the replica is busy, as with a slow disk.
func TestAbandonedCallDoesNotRun(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t, 1000)
	a := c.leader()
	busy, free := make(chan struct{}), make(chan struct{})
	a.inbox <- inputCall{func() {
		close(busy)
		<-free
	}}
	<-busy
	ctx, cancel := context.WithCancel(context.Background())
	returned, ran := make(chan error), false
	go func() { returned <- a.ReadStale(ctx, func(*scheduler.State) { ran = true }) }()
	for len(a.inbox) == 0 {
		is.True(ctx.Err() == nil)
	}
	cancel()
	is.Equal(<-returned, context.Canceled)
	close(free)
	is.NoErr(a.ReadStale(context.Background(), func(*scheduler.State) {})) // after the inputs before it
	is.True(!ran)
}
