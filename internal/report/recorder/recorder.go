// Package recorder stores the history of scheduling decisions and their reasons in size-limited files next to
// a replica's log. The history is derived from the log, so it is not synced to disk. The package holds only
// these files and the search in them.
package recorder

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/state/filer"
)

const (
	currentName  = "history"
	previousName = "history.1"
	maxFileBytes = 16 << 20 // of each of the two files
	maxLineBytes = 1 << 20
	queueLength  = 4096
)

// Line is one record with the index of the log entry that produced it.
type Line struct {
	Index uint64 `json:"index"`
	scheduler.Record
}

// Filter selects lines. An empty field matches all.
type Filter struct {
	Kind    string
	Subject string
	Org     string
	Limit   int // number of latest lines, 0 for all
}

func (f Filter) matches(l Line) bool {
	return (f.Kind == "" || f.Kind == l.Kind) && (f.Subject == "" || f.Subject == l.Subject) && (f.Org == "" || f.Org == l.Org)
}

// Recorder is the history of one replica.
type Recorder struct {
	files   filer.Files
	folder  string
	queue   chan []Line
	done    chan struct{}
	onError func(error)

	mu        sync.Mutex
	file      filer.File // nil after an error until it is opened again
	size      int64
	partial   bool   // the last line of the file may be incomplete
	lastIndex uint64 // index of the last recorded entry
}

// New opens the history in a folder and starts its writer. visit is called for every existing line. onError is
// called for the first of consecutive errors of the files, also if they can't be read; they lose history lines and affect
// nothing else.
func New(files filer.Files, folder string, visit func(Line), onError func(error)) *Recorder {
	r := &Recorder{files: files, folder: folder, queue: make(chan []Line, queueLength), done: make(chan struct{}), onError: onError}
	err := r.scan(func(l Line) {
		r.lastIndex = max(r.lastIndex, l.Index)
		visit(l)
	})
	err = errors.Join(err, r.open())
	if err != nil {
		r.onError(err) // the history is only derived
	}
	failing := err != nil
	go func() {
		defer close(r.done)
		for lines := range r.queue {
			err := r.write(lines)
			if err != nil && !failing {
				r.onError(err)
			}
			failing = err != nil
		}
	}()
	return r
}

func (r *Recorder) path(name string) string { return filepath.Join(r.folder, name) }

func (r *Recorder) open() error {
	f, err := r.files.Open(r.path(currentName), os.O_CREATE|os.O_APPEND|os.O_WRONLY)
	if err != nil {
		return fmt.Errorf("open history: %w", err)
	}
	info, err := f.Stat()
	if err != nil {
		return errors.Join(fmt.Errorf("open history: %w", err), f.Close())
	}
	r.file, r.size, r.partial = f, info.Size(), info.Size() > 0
	return nil
}

// Append queues the records among the orders that a log entry produced, and returns them as lines. Entries that
// are already recorded, as when the log is applied again after a restart, are skipped. It does not block; when
// the queue is full, the lines are dropped and onError is called.
func (r *Recorder) Append(index uint64, orders []scheduler.Order) []Line {
	if index <= r.lastIndex {
		return nil
	}
	r.lastIndex = index
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
		r.onError(errors.New("write history: queue full, lines dropped"))
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
	if r.file == nil {
		if err := r.open(); err != nil {
			return err
		}
	}
	if r.size+int64(len(text)) > maxFileBytes {
		if err := r.rotate(); err != nil {
			return err
		}
	}
	if r.partial {
		text = append([]byte{'\n'}, text...) // a malformed line ends there
	}
	n, err := r.file.Write(text)
	r.size += int64(n)
	if err != nil {
		return errors.Join(fmt.Errorf("write history: %w", err), r.closeFile())
	}
	r.partial = false
	return nil
}

func (r *Recorder) rotate() error {
	if err := errors.Join(r.closeFile(), r.files.Rename(r.path(currentName), r.path(previousName))); err != nil {
		return fmt.Errorf("rotate history: %w", err)
	}
	return r.open()
}

func (r *Recorder) closeFile() error {
	f := r.file
	r.file = nil
	if f == nil {
		return nil
	}
	return f.Close()
}

// Find returns the matching lines, oldest first.
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

// scan reads both files. Malformed lines, such as one truncated by a crash, are skipped.
func (r *Recorder) scan(visit func(Line)) error {
	for _, name := range []string{previousName, currentName} {
		f, err := os.Open(r.path(name))
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return fmt.Errorf("read history: %w", err)
		}
		if err := errors.Join(scanLines(f, visit), f.Close()); err != nil {
			return fmt.Errorf("read history: %w", err)
		}
	}
	return nil
}

// scanLines reads the lines of a file. Those longer than maxLineBytes are skipped: a loss of power may leave a large part of the
// file without the end of a line.
func scanLines(f io.Reader, visit func(Line)) error {
	reader := bufio.NewReader(f)
	var line []byte
	for skipped := false; ; {
		part, err := reader.ReadSlice('\n')
		skipped = skipped || len(line)+len(part) > maxLineBytes
		if !skipped {
			line = append(line, part...)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		var l Line
		if !skipped && json.Unmarshal(line, &l) == nil {
			visit(l)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		line, skipped = line[:0], false
	}
}

// Close writes the queued lines and closes the file.
func (r *Recorder) Close() error {
	close(r.queue)
	<-r.done
	return r.closeFile()
}
