package coordinator

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/bluebellgauge/bluebellgauge/internal/state/applier"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// observe replaces the log of the coordinator and returns its lines.
func (f *fixture) observe() *observer.ObservedLogs {
	core, lines := observer.New(zap.InfoLevel)
	f.opts.Log = zap.New(core)
	return lines
}

// TestIgnoredEndsAreLogged guards against ends that are dropped with the report that lists them, and nothing in the logs says
// so.
func TestIgnoredEndsAreLogged(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.startRun(t)
	lines := f.observe()
	f.report(t, 1, nil) // holds nothing
	is.Equal(lines.FilterMessage("report with ends ignored").Len(), 0)
	f.report(t, 3, func(r *messages.FleetReport) {
		doneOnFirst(1)(r)
		r.Ends[0].Sequence = maxGap + 1
	})
	list := lines.FilterMessage("report with ends ignored").All()
	is.Equal(len(list), 1)
	is.Equal(list[0].ContextMap(), map[string]any{
		"reason": ignoredNotCredible, "worker": "w", "born": int64(5), "report": uint64(3), "address": "", "ends": int64(1), "open": int64(1), "recorded": int64(0),
		"first": []any{"a.0.0.0/1 done"},
	})
}

// TestDecisionsWithoutEffectAreLogged guards against a pass whose committed ends and starts the state ignores, and nothing in
// the logs says so.
func TestDecisionsWithoutEffectAreLogged(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	is.Equal(f.submit(t, "/q/a", "k1"), StatusOK)
	f.report(t, 1, nil)
	lines, commit := f.observe(), f.opts.Commit
	f.opts.Commit = func(context.Context, uint64, *messages.QueueChange) (applier.Receipt, error) {
		return applier.Receipt{}, nil
	}
	f.Pass(context.Background())
	is.Equal(lines.FilterMessage("committed start had no effect").Len(), 1)
	f.opts.Commit = commit
	f.Pass(context.Background())
	is.Equal(len(f.state.RunsOn("w")), 1)
	f.now = f.now.Add(workerRetention)
	f.opts.Commit = func(context.Context, uint64, *messages.QueueChange) (applier.Receipt, error) {
		return applier.Receipt{}, nil
	}
	f.Pass(context.Background())
	list := lines.FilterMessage("committed ends had no effect").All()
	is.Equal(len(list), 1)
	is.Equal(list[0].ContextMap(), map[string]any{"worker": "w", "born": int64(5), "over": true, "runs": int64(1)})
	is.Equal(lines.FilterMessage("committed start had no effect").Len(), 1)
}
