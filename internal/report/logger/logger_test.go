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

// stuck is an output that takes nothing until it is opened.
type stuck struct {
	open chan struct{}
	out  bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.open
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

// TestStuckOutput writes far more than fits while the output takes nothing: no call may block, and
// the lines that were lost are counted in the log itself.
func TestStuckOutput(t *testing.T) {
	is := is.New(t)
	s := &stuck{open: make(chan struct{})}
	l := New(s)
	for range 3 * queueLength {
		_, err := io.WriteString(l, "line\n")
		is.NoErr(err)
	}
	is.True(l.Dropped() > 0)
	close(s.open)
	l.Close()
	is.True(strings.Contains(s.out.String(), "log lines dropped"))
}
