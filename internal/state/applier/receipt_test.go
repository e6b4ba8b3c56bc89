package applier

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
)

// TestReceipts guards against logs that name another entry than the one that holds an accepted event, or none for a
// proposal whose outcome is unknown.
func TestReceipts(t *testing.T) {
	is := is.New(t)
	c := newTestClusterOnDisks(t, 1000, true, func(o *Options) { o.Tick = 50 * time.Millisecond }) // one leader for the whole test
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	leader := c.leader()
	first, err := leader.Propose(ctx, scheduler.Tick{})
	is.NoErr(err)
	second, err := leader.Propose(ctx, scheduler.Tick{})
	is.NoErr(err)
	status, err := leader.Status(ctx)
	is.NoErr(err)
	is.True(first.Index > 0)
	is.True(second.Index > first.Index)
	is.Equal(second.Index, status.Applied)
	is.Equal(second.Term, status.Term)
	c.partitioned.Store(true)
	open, err := leader.Propose(ctx, scheduler.Tick{})
	is.True(errors.Is(err, ErrOutcomeUnknown))
	is.True(open.Index > second.Index)
	is.Equal(open.Term, second.Term)
}
