package recorder

import (
	"errors"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/state/filer"
)

// fullDisk refuses all operations with ENOSPC while full is set.
type fullDisk struct{ full atomic.Bool }

func (d *fullDisk) files() filer.Files {
	return filer.Faulty{Files: filer.Disk{}, Fault: func(filer.Operation, string) error {
		if d.full.Load() {
			return syscall.ENOSPC
		}
		return nil
	}}
}

// drain waits until the writer has taken all queued lines.
func drain(r *Recorder) {
	for len(r.queue) > 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(10 * time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
}

// TestHistoryOnFullDisk fills the disk while lines are written. The half of a line that was written swallowed the
// first line after it, also after a restart, and each line on a full disk was reported as an error.
func TestHistoryOnFullDisk(t *testing.T) {
	for _, restart := range []bool{false, true} {
		is := is.New(t)
		folder, disk, failures := t.TempDir(), &fullDisk{}, atomic.Int64{}
		start := func() *Recorder {
			return New(disk.files(), folder, func(Line) {}, func(err error) {
				is.True(errors.Is(err, syscall.ENOSPC))
				failures.Add(1)
			})
		}
		r := start()
		r.Append(1, record(1, "before"))
		drain(r)
		disk.full.Store(true)
		for i := uint64(2); i < 6; i++ {
			r.Append(i, record(int(i), "lost"))
		}
		drain(r)
		is.Equal(failures.Load(), int64(1))
		disk.full.Store(false)
		if restart {
			is.NoErr(r.Close())
			r = start()
		}
		r.Append(6, record(6, "after"))
		r.Append(7, record(7, "after"))
		is.NoErr(r.Close())
		r = start()
		lines, err := r.Find(Filter{})
		is.NoErr(err)
		is.Equal(len(lines), 3)
		is.Equal(lines[1].Index, uint64(6))
		is.NoErr(r.Close())
	}
}

// TestHistoryRotationOnFullDisk fills the disk at a rotation, after which the history could not be written any more.
func TestHistoryRotationOnFullDisk(t *testing.T) {
	is := is.New(t)
	disk := &fullDisk{}
	r := New(disk.files(), t.TempDir(), func(Line) {}, func(error) {})
	text := strings.Repeat("x", 1_000_000)
	for i := 1; i <= 16; i++ {
		r.Append(uint64(i), record(i, text))
	}
	drain(r)
	disk.full.Store(true)
	r.Append(17, record(17, text))
	drain(r)
	disk.full.Store(false)
	r.Append(18, record(18, "after"))
	drain(r)
	last, err := r.Find(Filter{Limit: 1})
	is.NoErr(err)
	is.Equal(last[0].Index, uint64(18))
	is.NoErr(r.Close())
}

// TestHistoryStartsOnFullDisk starts on a full disk. The history, which is only derived, must not keep the daemon
// from starting.
func TestHistoryStartsOnFullDisk(t *testing.T) {
	is := is.New(t)
	disk := &fullDisk{}
	disk.full.Store(true)
	r := New(disk.files(), t.TempDir(), func(Line) {}, func(error) {})
	disk.full.Store(false)
	r.Append(1, record(1, "after"))
	drain(r)
	lines, err := r.Find(Filter{})
	is.NoErr(err)
	is.Equal(len(lines), 1)
	is.NoErr(r.Close())
}
