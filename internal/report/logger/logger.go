// Package logger writes the daemons' log lines without blocking the caller. Lines that exceed the queue or
// the rate limit are dropped and counted, as are those that the output does not take.
package logger

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap/zapcore"
)

const (
	queueLength       = 4096                   // lines waiting for the output
	flushInterval     = 100 * time.Millisecond // bounds the delay of a line while one write serves many lines
	maxBatchBytes     = 64 << 10
	syncTimeout       = 200 * time.Millisecond // a stop must not exceed its grace period for an output that takes nothing
	maxLinesPerSecond = 3000                   // beyond this rate, logging would add to the load of an overloaded process
)

// Logger is a buffered, rate-limited sink for log lines.
type Logger struct {
	lines         chan []byte
	syncRequests  chan chan struct{}
	dropped       lossCounter
	unwritten     lossCounter
	currentSecond atomic.Int64 // Unix second that linesInSecond counts
	linesInSecond atomic.Int64
	stop          chan struct{}
	done          chan struct{} // closed once the last line is written
}

var _ zapcore.WriteSyncer = (*Logger)(nil)

// lossCounter counts lost lines, also in a metric once it has one.
type lossCounter struct {
	lines   atomic.Uint64
	counter atomic.Pointer[tally.Counter]
}

func (c *lossCounter) add(n int) {
	c.lines.Add(uint64(n))
	if counter := c.counter.Load(); counter != nil {
		(*counter).Inc(int64(n))
	}
}

func (c *lossCounter) countIn(counter tally.Counter) {
	counter.Inc(int64(c.lines.Load()))
	c.counter.Store(&counter)
}

// New returns a logger with a running goroutine that writes to out.
func New(out io.Writer) *Logger {
	l := &Logger{lines: make(chan []byte, queueLength), syncRequests: make(chan chan struct{}), stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(l.done)
		o := output{logger: l, out: out}
		var batch []byte
		var due <-chan time.Time // set while the batch is not empty
		flush := func() {
			o.write(batch)
			batch, due = batch[:0], nil
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
				for len(l.lines) > 0 {
					batch = append(batch, <-l.lines...)
				}
				flush()
				return
			}
		}
	}()
	return l
}

// output writes batches of lines and reports the lines that were lost before them.
type output struct {
	logger            *Logger
	out               io.Writer
	reportedDropped   uint64
	reportedUnwritten uint64
	failedAt          time.Time // first failure that is not reported yet
	failure           error     // the last one
	partial           bool      // a line was written in part
}

// write writes a batch, after lines about the losses that are not reported yet.
func (o *output) write(batch []byte) {
	dropped, unwritten := o.logger.dropped.lines.Load(), o.logger.unwritten.lines.Load()
	var text []byte
	if o.partial {
		text = append(text, '\n')
	}
	if n := unwritten - o.reportedUnwritten; n > 0 {
		text = fmt.Appendf(text, "{\"level\":\"warn\",\"msg\":\"log lines not written\",\"lines\":%d,\"since\":%q,\"error\":%q}\n",
			n, o.failedAt.Format(time.RFC3339Nano), o.failure)
	}
	if n := dropped - o.reportedDropped; n > 0 {
		text = fmt.Appendf(text, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n)
	}
	reports := len(text)
	if text = append(text, batch...); len(text) == 0 {
		return
	}
	n, err := o.out.Write(text)
	if n >= reports {
		o.reportedDropped, o.reportedUnwritten = dropped, unwritten
		o.failedAt = time.Time{}
	}
	o.partial = n > 0 && text[n-1] != '\n' || n == 0 && o.partial
	if err == nil {
		return
	}
	if o.failure = err; o.failedAt.IsZero() {
		o.failedAt = time.Now()
	}
	o.logger.unwritten.add(bytes.Count(text[max(n, reports):], []byte{'\n'}))
}

// Write queues one line, or drops it when the queue is full or the rate limit is exceeded. It never blocks and
// never returns an error.
func (l *Logger) Write(line []byte) (int, error) {
	now := time.Now().Unix()
	if l.currentSecond.Swap(now) != now {
		l.linesInSecond.Store(0)
	}
	if l.linesInSecond.Add(1) > maxLinesPerSecond {
		l.dropped.add(1)
		return len(line), nil
	}
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.add(1)
	}
	return len(line), nil
}

// errNotTaken is the error of Sync when the output does not take the lines in time.
var errNotTaken = errors.New("the output does not take the log lines")

// Sync writes all queued lines to the output, if it takes them in time.
func (l *Logger) Sync() error {
	timeout := time.After(syncTimeout)
	done := make(chan struct{})
	select {
	case l.syncRequests <- done:
	case <-l.done:
		return nil
	case <-timeout:
		return errNotTaken
	}
	select {
	case <-done:
		return nil
	case <-timeout:
		return errNotTaken
	}
}

// Dropped returns the number of lines dropped so far because of the queue or the rate limit.
func (l *Logger) Dropped() uint64 { return l.dropped.lines.Load() }

// Unwritten returns the number of lines that the output has refused so far.
func (l *Logger) Unwritten() uint64 { return l.unwritten.lines.Load() }

// CountIn counts the lost lines in counters of a scope.
func (l *Logger) CountIn(scope tally.Scope) {
	l.dropped.countIn(scope.Counter("lines_dropped"))
	l.unwritten.countIn(scope.Counter("lines_unwritten"))
}

// Close writes all queued lines and stops the writer. It does not wait longer for an output that does not take them in time.
func (l *Logger) Close() {
	close(l.stop)
	select {
	case <-l.done:
	case <-time.After(syncTimeout):
	}
}
