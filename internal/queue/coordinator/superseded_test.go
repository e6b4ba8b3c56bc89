package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestUnsentStartIsNoCrash guards against a task that becomes suspect though its start was never ordered: a pass finds the worker
// replaced by its next incarnation while the report of that is still being committed.
func TestUnsentStartIsNoCrash(t *testing.T) {
	f := newCrashFixture(t, "a")
	f.reportFrom(t, "w0", f.now.Add(-time.Minute), nil)
	f.Pass(context.Background())
	f.is.Equal(len(f.state.RunsOn("w0")), 1)
	f.now = f.now.Add(time.Second)
	f.addIncarnation(f.state, &messages.FleetReport{Worker: "w0", Born: f.now.UnixMilli(), Address: "10.0.0.1:0"})
	f.now = f.now.Add(20 * time.Second)
	ends := f.expiredWorkers(f.state)
	f.is.Equal(len(ends), 1)
	f.is.Equal(len(ends[0].GetCrashes()), 0)
}
