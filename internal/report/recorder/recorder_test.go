package recorder

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/state/filer"
)

func newRecorder(t *testing.T, folder string, visit func(Line)) *Recorder {
	t.Helper()
	return New(filer.Disk{}, folder, visit, func(err error) { t.Error(err) })
}

func record(i int, text string) []scheduler.Order {
	return []scheduler.Order{
		scheduler.Reply{},
		scheduler.Record{Time: time.Unix(int64(i), 0).UTC(), Kind: "job", Subject: fmt.Sprintf("o/k%d", i%3), Org: "o", Text: text},
	}
}

func TestReopenedHistoryHasEachRecordOnce(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	r := newRecorder(t, folder, func(Line) {})
	for i := 1; i <= 6; i++ {
		r.Append(uint64(i), record(i, "first run"))
	}
	is.NoErr(r.Close())
	seen := 0
	r = newRecorder(t, folder, func(Line) { seen++ })
	is.Equal(seen, 6)
	for i := 4; i <= 9; i++ { // as when the log is applied again from a snapshot
		r.Append(uint64(i), record(i, "second run"))
	}
	is.NoErr(r.Close())
	r = newRecorder(t, folder, func(Line) {})
	all, err := r.Find(Filter{})
	is.NoErr(err)
	is.Equal(len(all), 9)
	for i, l := range all {
		is.Equal(l.Index, uint64(i+1))
	}
	one, err := r.Find(Filter{Subject: "o/k1", Limit: 2})
	is.NoErr(err)
	is.Equal(len(one), 2)
	is.Equal(one[1].Index, uint64(7))
	is.NoErr(r.Close())
}

func TestHistoryIsBoundedAndSkipsTruncatedLine(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	r := newRecorder(t, folder, func(Line) {})
	text := strings.Repeat("x", 100_000)
	for i := 1; i <= 500; i++ {
		r.Append(uint64(i), record(i, text))
	}
	is.NoErr(r.Close())
	total := int64(0)
	for _, name := range []string{currentName, previousName} {
		info, err := os.Stat(filepath.Join(folder, name))
		is.NoErr(err)
		total += info.Size()
	}
	is.True(total <= 2*maxFileBytes)
	path := filepath.Join(folder, currentName)
	data, err := os.ReadFile(path)
	is.NoErr(err)
	is.NoErr(os.WriteFile(path, data[:len(data)-5], 0o600))
	last := uint64(0)
	r = newRecorder(t, folder, func(l Line) { last = l.Index })
	is.Equal(last, uint64(499)) // entry 500 will be applied and recorded again
	is.NoErr(r.Close())
}

// TestDamagedHistoryIsSkipped guards against a keeper that does not start any more after a loss of power. The history is not
// synced, so that a large part of it may hold no line at all, or the file can't be read.
func TestDamagedHistoryIsSkipped(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	r := newRecorder(t, folder, func(Line) {})
	r.Append(1, record(1, "before"))
	is.NoErr(r.Close())
	path := filepath.Join(folder, currentName)
	data, err := os.ReadFile(path)
	is.NoErr(err)
	data = append(data, make([]byte, 2*maxLineBytes)...)
	is.NoErr(os.WriteFile(path, data, 0o600))

	r = newRecorder(t, folder, func(Line) {})
	r.Append(2, record(2, "after"))
	is.NoErr(r.Close())
	var seen []uint64
	r = newRecorder(t, folder, func(l Line) { seen = append(seen, l.Index) })
	is.Equal(seen, []uint64{1, 2})
	is.NoErr(r.Close())

	is.NoErr(os.Mkdir(filepath.Join(folder, previousName), 0o700)) // reading it fails
	var reported error
	r = New(filer.Disk{}, folder, func(Line) {}, func(err error) { reported = err })
	is.True(reported != nil)
	is.NoErr(r.Close())
}
