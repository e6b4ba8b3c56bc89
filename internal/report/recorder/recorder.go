// Package recorder keeps the account of what was decided, when and why, in bounded files next to a
// keeper's log. The account follows from the log and is not synced; only its files and the search
// in them may live here.
package recorder

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
)

const (
	currentName  = "history"
	earlierName  = "history.1"
	maxFileBytes = 16 << 20 // the account takes at most twice this
	maxLineBytes = 1 << 20
	queueLength  = 4096
	fileMode     = 0o600
)

// Line is one record with the log entry that it follows from.
type Line struct {
	Index uint64 `json:"index"`
	scheduler.Record
}

// Filter chooses lines. Empty fields choose all.
type Filter struct {
	Kind    string
	Subject string
	Org     string
	Limit   int // latest lines, 0 for all
}

func (f Filter) matches(l Line) bool {
	return (f.Kind == "" || f.Kind == l.Kind) && (f.Subject == "" || f.Subject == l.Subject) && (f.Org == "" || f.Org == l.Org)
}

// Recorder is one keeper's account.
type Recorder struct {
	folder string
	queue  chan []Line
	done   chan struct{}
	fail   func(error)

	mu   sync.Mutex
	file *os.File
	size int64
	last uint64 // index of the last entry that is in the account
}

// New opens the account in a folder and starts its writer. each is called for every line that is
// there already. fail is told of errors, which lose lines of the account and nothing else.
func New(folder string, each func(Line), fail func(error)) (*Recorder, error) {
	r := &Recorder{folder: folder, queue: make(chan []Line, queueLength), done: make(chan struct{}), fail: fail}
	err := r.scan(func(l Line) {
		r.last = max(r.last, l.Index)
		each(l)
	})
	if err != nil {
		return nil, err
	}
	if err := r.open(); err != nil {
		return nil, err
	}
	go func() {
		defer close(r.done)
		for lines := range r.queue {
			if err := r.write(lines); err != nil {
				r.fail(err)
			}
		}
	}()
	return r, nil
}

func (r *Recorder) path(name string) string { return filepath.Join(r.folder, name) }

func (r *Recorder) open() error {
	f, err := os.OpenFile(r.path(currentName), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return fmt.Errorf("open history: %w", err)
	}
	info, err := f.Stat()
	if err != nil {
		return errors.Join(fmt.Errorf("open history: %w", err), f.Close())
	}
	r.file, r.size = f, info.Size()
	return nil
}

// Append adds the records that follow from a log entry. Entries that are in the account already,
// as after a restart, are passed over. It does not block; lines beyond the queue are lost.
func (r *Recorder) Append(index uint64, orders []scheduler.Order) []Line {
	if index <= r.last {
		return nil
	}
	r.last = index
	var lines []Line
	for _, o := range orders {
		if record, ok := o.(scheduler.Record); ok {
			lines = append(lines, Line{Index: index, Record: record})
		}
	}
	if len(lines) == 0 {
		return nil
	}
	select {
	case r.queue <- lines:
	default:
		r.fail(errors.New("history: the queue is full, lines are lost"))
	}
	return lines
}

func (r *Recorder) write(lines []Line) error {
	var text []byte
	for _, l := range lines {
		data, err := json.Marshal(l)
		if err != nil {
			return fmt.Errorf("write history: %w", err)
		}
		text = append(append(text, data...), '\n')
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.size+int64(len(text)) > maxFileBytes {
		if err := r.rotate(); err != nil {
			return err
		}
	}
	n, err := r.file.Write(text)
	r.size += int64(n)
	if err != nil {
		return fmt.Errorf("write history: %w", err)
	}
	return nil
}

func (r *Recorder) rotate() error {
	if err := errors.Join(r.file.Close(), os.Rename(r.path(currentName), r.path(earlierName))); err != nil {
		return fmt.Errorf("rotate history: %w", err)
	}
	return r.open()
}

// Find returns the lines that match, oldest first.
func (r *Recorder) Find(f Filter) ([]Line, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := []Line{}
	err := r.scan(func(l Line) {
		if !f.matches(l) {
			return
		}
		found = append(found, l)
		if f.Limit > 0 && len(found) > 2*f.Limit {
			found = append([]Line(nil), found[len(found)-f.Limit:]...)
		}
	})
	if f.Limit > 0 && len(found) > f.Limit {
		found = found[len(found)-f.Limit:]
	}
	return found, err
}

// scan reads both files. A line that a crash cut off is passed over.
func (r *Recorder) scan(each func(Line)) error {
	for _, name := range []string{earlierName, currentName} {
		f, err := os.Open(r.path(name))
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return fmt.Errorf("read history: %w", err)
		}
		s := bufio.NewScanner(f)
		s.Buffer(nil, maxLineBytes)
		for s.Scan() {
			var l Line
			if json.Unmarshal(s.Bytes(), &l) == nil {
				each(l)
			}
		}
		if err := errors.Join(s.Err(), f.Close()); err != nil {
			return fmt.Errorf("read history: %w", err)
		}
	}
	return nil
}

// Close writes what is queued and closes the account.
func (r *Recorder) Close() error {
	close(r.queue)
	<-r.done
	return r.file.Close()
}
