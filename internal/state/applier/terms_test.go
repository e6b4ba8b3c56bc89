package applier

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/state/filer"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestDecisionOfEarlierTermIsRefused guards against a decision that is committed after the replica has lost the lead and gained
// it again, and against such a change of the membership. Nothing may be appended, and the log says so.
func TestDecisionOfEarlierTermIsRefused(t *testing.T) {
	is := is.New(t)
	disk := &testDisk{}
	core, lines := observer.New(zap.InfoLevel)
	members := &messages.Members{Voters: []*messages.Member{{Name: "0"}}}
	a, err := New(Options{
		Name: "0", Files: disk.files(), Folder: t.TempDir(), Bootstrap: members, Tick: 5 * time.Millisecond, SnapshotEvery: 1000, Now: time.Now,
		Send: func([]*messages.Message) {}, Deliver: func(uint64, uint64, bool, []scheduler.Order) {}, Log: zap.New(core),
	})
	is.NoErr(err)
	defer a.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	leadingTerm := func() (term uint64) {
		for a.Read(ctx, func(current uint64, _ *scheduler.State) { term = current }) != nil {
			is.NoErr(ctx.Err())
			time.Sleep(time.Millisecond)
		}
		return term
	}
	decided := leadingTerm()
	kept, err := a.ProposeIn(ctx, decided, scheduler.Tick{})
	is.NoErr(err)
	is.Equal(kept.Term, decided)
	disk.fillAt(filer.OpWrite, "/log")
	_, err = a.ProposeIn(ctx, decided, scheduler.Tick{})
	is.True(errors.Is(err, ErrOutcomeUnknown))
	disk.free()
	is.True(leadingTerm() > decided)

	before, err := a.Propose(ctx, scheduler.Tick{})
	is.NoErr(err)
	refused, err := a.ProposeIn(ctx, decided, scheduler.Tick{})
	is.True(errors.Is(err, ErrNotLeader))
	is.Equal(refused, Receipt{})
	is.True(errors.Is(a.ChangeMembers(ctx, decided, members), ErrNotLeader))
	after, err := a.Propose(ctx, scheduler.Tick{})
	is.NoErr(err)
	is.Equal(after.Index, before.Index+1)
	list := lines.FilterMessage("proposal refused: decided in another term").All()
	is.Equal(len(list), 1)
	is.Equal(list[0].ContextMap(), map[string]any{"decided": decided, "term": after.Term, "leading": true, "event": "scheduler.Tick"})
}
