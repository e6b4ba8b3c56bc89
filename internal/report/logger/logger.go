// Package logger writes the daemons' log lines without ever blocking the caller. Lines that the
// output or the bound on volume has no room for are dropped and counted.
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
	queueLength = 4096                   // lines that wait for the output
	flushEvery  = 100 * time.Millisecond // so that lines are read soon and one write serves many
	batchBytes  = 64 << 10
	perSecond   = 3000 // lines, over which a process is under a load that its log must not add to
)

// Logger is a sink for log lines.
type Logger struct {
	lines   chan []byte
	sync    chan chan struct{}
	dropped atomic.Uint64
	second  atomic.Int64 // Unix second that count belongs to
	count   atomic.Int64
	stop    chan struct{}
	wait    sync.WaitGroup
}

var _ zapcore.WriteSyncer = (*Logger)(nil)

// New starts a sink that writes to out.
func New(out io.Writer) *Logger {
	l := &Logger{lines: make(chan []byte, queueLength), sync: make(chan chan struct{}), stop: make(chan struct{})}
	l.wait.Go(func() {
		var batch []byte
		reported := uint64(0)
		var due <-chan time.Time // set while the batch has lines
		flush := func() {
			if n := l.dropped.Load(); n != reported {
				batch = fmt.Appendf(batch, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n-reported)
				reported = n
			}
			if len(batch) > 0 {
				// There is nowhere to report that the log itself can't be written.
				_, _ = out.Write(batch)
				batch = batch[:0]
			}
			due = nil
		}
		for {
			if len(batch) > 0 && due == nil {
				due = time.After(flushEvery)
			}
			select {
			case line := <-l.lines:
				batch = append(batch, line...)
				for len(l.lines) > 0 && len(batch) < batchBytes {
					batch = append(batch, <-l.lines...)
				}
				if len(batch) >= batchBytes {
					flush()
				}
			case <-due:
				flush()
			case done := <-l.sync:
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

// Write takes one line. It never blocks and never fails.
func (l *Logger) Write(line []byte) (int, error) {
	now := time.Now().Unix()
	if l.second.Swap(now) != now {
		l.count.Store(0)
	}
	if l.count.Add(1) > perSecond {
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

// Sync writes out what waits.
func (l *Logger) Sync() error {
	done := make(chan struct{})
	select {
	case l.sync <- done:
		<-done
	case <-l.stop:
	}
	return nil
}

// Dropped returns the number of lines that were dropped so far.
func (l *Logger) Dropped() uint64 { return l.dropped.Load() }

// Close writes out what waits and ends the sink.
func (l *Logger) Close() {
	_ = l.Sync()
	close(l.stop)
	l.wait.Wait()
}
