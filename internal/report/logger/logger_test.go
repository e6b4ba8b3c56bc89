package logger

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// blockedWriter blocks every write until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	out     bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.unblock
	return s.out.Write(p)
}

func TestWritesInOrder(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := New(&out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, err := io.WriteString(l, line)
		is.NoErr(err)
	}
	l.Close()
	is.Equal(out.String(), "a\nb\nc\n")
}

// TestStuckOutput checks that writes do not block while the output blocks and the queue overflows, and that
// the number of dropped lines is written to the log.
func TestStuckOutput(t *testing.T) {
	is := is.New(t)
	s := &blockedWriter{unblock: make(chan struct{})}
	l := New(s)
	for range 3 * queueLength {
		_, err := io.WriteString(l, "line\n")
		is.NoErr(err)
	}
	is.True(l.Dropped() > 0)
	close(s.unblock)
	l.Close()
	is.True(strings.Contains(s.out.String(), "log lines dropped"))
}

// refusingWriter refuses every write while it is full, after some bytes.
type refusingWriter struct {
	full  bool
	space int
	out   bytes.Buffer
}

var errFull = errors.New("no space left on device")

func (w *refusingWriter) Write(p []byte) (int, error) {
	if !w.full {
		return w.out.Write(p)
	}
	n, _ := w.out.Write(p[:min(w.space, len(p))])
	w.space -= n
	return n, errFull
}

// TestRefusedLines guards against lines that are lost without a trace: the error of a write was ignored. Their number must be in
// the log once the output takes lines again, and in the metrics.
func TestRefusedLines(t *testing.T) {
	is := is.New(t)
	w := &refusingWriter{full: true, space: 7}
	l := New(w)
	scope := tally.NewTestScope("", nil)
	write := func(lines ...string) {
		for _, line := range lines {
			_, err := io.WriteString(l, line)
			is.NoErr(err)
		}
		is.NoErr(l.Sync())
	}
	write("one\n", "two lost\n", "three\n")
	l.CountIn(scope)
	write("four\n")
	is.Equal(l.Unwritten(), uint64(3))
	is.Equal(scope.Snapshot().Counters()["lines_unwritten+"].Value(), int64(3))
	w.full = false
	write("five\n", "six\n")
	l.Close()
	lines := strings.Split(w.out.String(), "\n")
	is.Equal(len(lines), 6)
	is.Equal(lines[:2], []string{"one", "two"})
	is.True(strings.HasPrefix(lines[2], `{"level":"warn","msg":"log lines not written","lines":3,"since":"`))
	is.True(strings.HasSuffix(lines[2], `"error":"no space left on device"}`))
	is.Equal(lines[3:], []string{"five", "six", ""})
}

// TestCloseWithStuckOutput guards against a process that stays until it is killed: Close waited for an output that takes nothing.
func TestCloseWithStuckOutput(t *testing.T) {
	is := is.New(t)
	s := &blockedWriter{unblock: make(chan struct{})}
	l := New(s)
	_, err := io.WriteString(l, "line\n")
	is.NoErr(err)
	is.Equal(l.Sync(), errNotTaken)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		l.Close()
	}()
	select {
	case <-closed:
	case <-time.After(5 * syncTimeout):
		t.Fatal("Close waits for the output")
	}
	close(s.unblock)
	<-l.done
}
