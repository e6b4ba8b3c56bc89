package logger

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
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
