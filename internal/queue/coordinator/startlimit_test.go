package coordinator

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/placer"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/state/applier"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// newGangWithCheckpoint returns a coordinator whose log entries are limited, with a gang of 12 that has to resume from a
// checkpoint. The starts of the gang with their copies of it take three times the limit.
func newGangWithCheckpoint(t *testing.T) (f *fixture, checkpoint string) {
	t.Helper()
	f = newFixture()
	f.opts.MaxMessage = 32 << 10
	commit := f.opts.Commit
	f.opts.Commit = func(ctx context.Context, term uint64, c *messages.QueueChange) (applier.Receipt, error) {
		if size := proto.Size(c); size > f.opts.MaxMessage {
			return applier.Receipt{}, fmt.Errorf("%w: %d bytes", applier.ErrTooLarge, size)
		}
		return commit(ctx, term, c)
	}
	checkpoint = strings.Repeat("c", 8<<10)
	f.state.Apply(&messages.QueueChange{Submits: []*messages.Work{
		{Id: "gang", Queue: "q", Pool: "p", Attempts: 2, Steps: []*messages.Step{{Count: 12, Processors: 100, Estimate: 1000, Gang: true, Checkpoints: true}}},
	}})
	starts := &messages.QueueChange{}
	ends := &messages.WorkerEnds{Worker: "w", Born: 5, Sequence: 12}
	for i := range int32(12) {
		starts.Starts = append(starts.Starts, &messages.Run{Job: "gang", Task: i, Number: 1, Worker: "w", Born: 5})
		ends.Ends = append(ends.Ends, &messages.End{Job: "gang", Task: i, Number: 1, How: tracker.EndStopped, Saved: checkpoint})
	}
	f.state.Apply(starts)
	f.state.Apply(&messages.QueueChange{Ends: []*messages.WorkerEnds{ends}})
	f.report(t, 1, nil)
	return f, checkpoint
}

// TestGangWithLargeCheckpointStarts guards against a gang whose starts do not fit into an entry of the log: no pass could be
// committed any more, and no job started.
func TestGangWithLargeCheckpointStarts(t *testing.T) {
	is := is.New(t)
	f, checkpoint := newGangWithCheckpoint(t)
	is.Equal(f.submit(t, "/q/small", "k1"), StatusOK)
	f.Pass(context.Background())
	is.Equal(f.state.Job("small").Phase, tracker.Running)
	starts := f.report(t, 2, nil).GetStarts()
	resumed := 0
	for _, s := range starts {
		if s.GetRun().GetJob() == "gang" {
			is.Equal(s.GetRun().GetSaved(), checkpoint)
			resumed++
		}
	}
	is.Equal(resumed, 12)
	data, err := f.state.Save()
	is.NoErr(err)
	restored, err := tracker.Restore(data)
	is.NoErr(err)
	for key, r := range restored.RunsOn("w") {
		is.Equal(r.GetSaved(), f.state.RunsOn("w")[key].GetSaved())
	}
}

// TestGangWithLargeCheckpointBesideEarlierBuild guards against an entry that a keeper of an earlier build would misread, and
// against other jobs that wait with the gang.
func TestGangWithLargeCheckpointBesideEarlierBuild(t *testing.T) {
	is := is.New(t)
	f, _ := newGangWithCheckpoint(t)
	outdated := "keeper"
	f.opts.OutdatedKeeper = func(uint64) string { return outdated }
	core, logs := observer.New(zap.WarnLevel)
	f.opts.Log = zap.New(core)
	is.Equal(f.submit(t, "/q/small", "k1"), StatusOK)
	for range 5 {
		f.Pass(context.Background())
	}
	is.Equal(logs.FilterMessageSnippet("gang waits").Len(), 1) // not in each pass
	is.Equal(f.state.Job("small").Phase, tracker.Running)
	is.Equal(f.state.Job("gang").Active(), 0)
	outdated = ""
	f.Pass(context.Background())
	is.Equal(f.state.Job("gang").Active(), 12)
}

// TestPlanIsCommittedInParts guards against a plan that fits into no entry as a whole, though each of its starts does.
func TestPlanIsCommittedInParts(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.opts.MaxMessage = 4 << 10
	commit := f.opts.Commit
	f.opts.Commit = func(ctx context.Context, term uint64, c *messages.QueueChange) (applier.Receipt, error) {
		if proto.Size(c) > f.opts.MaxMessage {
			return applier.Receipt{}, errors.New("too large")
		}
		return commit(ctx, term, c)
	}
	f.state.Apply(&messages.QueueChange{Submits: []*messages.Work{
		{Id: "wide", Queue: "q", Pool: "p", Steps: []*messages.Step{{Count: 400, Processors: 10, Estimate: 1000}}},
	}})
	f.report(t, 1, nil)
	passes := 0
	for ; f.state.Job("wide").Active() < 400 && passes < 20; passes++ {
		f.Pass(context.Background())
	}
	is.Equal(f.state.Job("wide").Active(), 400)
	is.True(passes > 1)
}

// TestStartLeftOutWaitsOn guards against a step that waits for its preferred workers anew because its start, which a pass has
// planned, did not fit into the log entry.
func TestStartLeftOutWaitsOn(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.opts.MaxMessage = 400
	f.report(t, 1, nil)
	for _, id := range []string{"first", "second"} {
		f.state.Apply(&messages.QueueChange{Submits: []*messages.Work{
			{Id: id, Queue: "q", Pool: "p", Steps: []*messages.Step{{Count: 4, Processors: 10, Estimate: 1000, Gang: true}}},
		}})
	}
	key := placer.StepKey{Job: "second"}
	f.deferrals[key] = &deferral{since: f.now.Add(-time.Minute)}
	f.Pass(context.Background())
	is.Equal(f.state.Job("first").Active(), 4)
	is.Equal(f.state.Job("second").Active(), 0)
	is.Equal(f.waitOf(key).Deferred, time.Minute)
	f.Pass(context.Background())
	is.Equal(f.state.Job("second").Active(), 4)
}
