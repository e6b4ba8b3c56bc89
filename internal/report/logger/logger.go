// Package logger writes the daemons' log lines without blocking the caller. Lines that exceed the queue or
// the rate limit are dropped and counted.
package logger

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap/zapcore"
)

const (
	queueLength       = 4096                   // lines waiting for the output
	flushInterval     = 100 * time.Millisecond // bounds the delay of a line while one write serves many lines
	maxBatchBytes     = 64 << 10
	maxLinesPerSecond = 3000 // beyond this rate, logging would add to the load of an overloaded process
)

// Logger is a buffered, rate-limited sink for log lines.
type Logger struct {
	lines         chan []byte
	syncRequests  chan chan struct{}
	dropped       atomic.Uint64
	currentSecond atomic.Int64 // Unix second that linesInSecond counts
	linesInSecond atomic.Int64
	stop          chan struct{}
	writer        sync.WaitGroup
}

var _ zapcore.WriteSyncer = (*Logger)(nil)

// New returns a logger with a running goroutine that writes to out.
func New(out io.Writer) *Logger {
	l := &Logger{lines: make(chan []byte, queueLength), syncRequests: make(chan chan struct{}), stop: make(chan struct{})}
	l.writer.Go(func() {
		var batch []byte
		reported := uint64(0)
		var due <-chan time.Time // set while the batch is not empty
		flush := func() {
			if n := l.dropped.Load(); n != reported {
				batch = fmt.Appendf(batch, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n-reported)
				reported = n
			}
			if len(batch) > 0 {
				// A failure to write the log cannot be logged.
				_, _ = out.Write(batch)
				batch = batch[:0]
			}
			due = nil
		}
		for {
			if len(batch) > 0 && due == nil {
				due = time.After(flushInterval)
			}
			select {
			case line := <-l.lines:
				batch = append(batch, line...)
				for len(l.lines) > 0 && len(batch) < maxBatchBytes {
					batch = append(batch, <-l.lines...)
				}
				if len(batch) >= maxBatchBytes {
					flush()
				}
			case <-due:
				flush()
			case done := <-l.syncRequests:
				for len(l.lines) > 0 {
					batch = append(batch, <-l.lines...)
				}
				flush()
				close(done)
			case <-l.stop:
				flush()
				return
			}
		}
	})
	return l
}

// Write queues one line, or drops it when the queue is full or the rate limit is exceeded. It never blocks and
// never returns an error.
func (l *Logger) Write(line []byte) (int, error) {
	now := time.Now().Unix()
	if l.currentSecond.Swap(now) != now {
		l.linesInSecond.Store(0)
	}
	if l.linesInSecond.Add(1) > maxLinesPerSecond {
		l.dropped.Add(1)
		return len(line), nil
	}
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Sync writes all queued lines to the output.
func (l *Logger) Sync() error {
	done := make(chan struct{})
	select {
	case l.syncRequests <- done:
		<-done
	case <-l.stop:
	}
	return nil
}

// Dropped returns the number of lines dropped so far.
func (l *Logger) Dropped() uint64 { return l.dropped.Load() }

// Close writes all queued lines and stops the writer.
func (l *Logger) Close() {
	_ = l.Sync()
	close(l.stop)
	l.writer.Wait()
}
