package applier

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/state/filer"
	"github.com/bluebellgauge/bluebellgauge/internal/state/persister"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestFullDiskOfOldFolder fills the disk of a folder whose log has no bootstrap members, as earlier versions wrote it.
// The replica lost its voters when it resumed, and was never a leader again.
func TestFullDiskOfOldFolder(t *testing.T) {
	is := is.New(t)
	disk := &testDisk{}
	folder := t.TempDir()
	p, _, err := persister.Open(filer.Disk{}, folder, "0", nil) // without members
	is.NoErr(err)
	is.NoErr(p.Close())
	a, err := New(Options{
		Name: "0", Files: disk.files(), Folder: folder, Bootstrap: &messages.Members{Voters: []*messages.Member{{Name: "0"}}},
		Tick: 5 * time.Millisecond, SnapshotEvery: 1000, Now: time.Now, Send: func([]*messages.Message) {},
		Deliver: func(uint64, uint64, bool, []scheduler.Order) {}, Log: zap.NewNop(),
	})
	is.NoErr(err)
	defer a.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	events := testEvents(2)
	propose := func(e scheduler.Event) error {
		attempt, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, err := a.Propose(attempt, e)
		return err
	}
	for propose(events[0]) != nil {
		is.NoErr(ctx.Err())
		time.Sleep(time.Millisecond)
	}
	disk.fillAt(filer.OpWrite, "/log")
	is.True(errors.Is(propose(events[1]), ErrOutcomeUnknown))
	disk.free()
	for propose(events[1]) != nil {
		is.NoErr(ctx.Err())
		time.Sleep(time.Millisecond)
	}
}
