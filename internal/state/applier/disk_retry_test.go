package applier

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/state/filer"
	"github.com/bluebellgauge/bluebellgauge/internal/state/timekeeper"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestProbedDiskThatRefusesWrites refuses writes to the log on a disk on which all else succeeds, the probe included. The
// replica went on and was suspended again four times a second, with two log lines each time.
func TestProbedDiskThatRefusesWrites(t *testing.T) {
	is := is.New(t)
	disk, resumed, offset := &testDisk{}, atomic.Int64{}, atomic.Int64{}
	refuse := func() {
		disk.mu.Lock()
		defer disk.mu.Unlock()
		disk.fillsAt = func(op filer.Operation, path string) bool {
			if op == filer.OpRename && strings.HasSuffix(path, "/log") {
				resumed.Add(1)
			}
			disk.full = op == filer.OpWrite && strings.HasSuffix(path, "/log")
			return false
		}
	}
	core, lines := observer.New(zap.InfoLevel)
	a, err := New(Options{
		Name: "0", Files: disk.files(), Folder: t.TempDir(), Bootstrap: &messages.Members{Voters: []*messages.Member{{Name: "0"}}},
		Tick: 5 * time.Millisecond, SnapshotEvery: 1000, Now: time.Now, Send: func([]*messages.Message) {},
		Elapsed: func() time.Duration { return timekeeper.Elapsed() + time.Duration(offset.Load()) },
		Deliver: func(uint64, uint64, bool, []scheduler.Order) {}, Log: zap.New(core),
	})
	is.NoErr(err)
	defer a.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	next, events := 0, testEvents(4)
	propose := func() error {
		attempt, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, err := a.Propose(attempt, events[next])
		return err
	}
	commit := func() {
		for propose() != nil {
			is.NoErr(ctx.Err())
			time.Sleep(time.Millisecond)
		}
		next++
	}
	count := func(message string) int { return lines.FilterMessage(message).Len() }
	for suspensions := 1; suspensions <= 2; suspensions++ {
		commit()
		refuse()
		resumed.Store(0)
		is.True(propose() != nil)
		time.Sleep(3 * time.Second)
		if n := resumed.Load(); n < 2 || n > 4 {
			t.Fatalf("the log was written anew %d times in 3 s", n)
		}
		is.Equal(count("replica is suspended"), suspensions)
		is.Equal(count("replica goes on"), suspensions-1)
		disk.free()
		commit()
		offset.Add(int64(settleTime))
		for count("replica goes on") < suspensions {
			is.NoErr(ctx.Err())
			time.Sleep(time.Millisecond)
		}
	}
}
