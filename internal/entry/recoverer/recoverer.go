// Package recoverer makes visible what the HTTP servers of a process would only tell the standard logger: handlers that
// panic, and errors of connections that no request belongs to.
package recoverer

import (
	"errors"
	"fmt"
	"log"
	"net/http"
	"runtime/debug"
	"strings"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

const (
	linesPerSecond = 20 // of each kind
	maxTextBytes   = 4 << 10
	maxStackBytes  = 8 << 10
)

// Recoverer recovers panics of handlers and logs errors of servers.
type Recoverer struct {
	log    *zap.Logger
	panics tally.Counter
	errors tally.Counter
	// Lines beyond these rates are only counted.
	panicLines *rate.Limiter
	errorLines *rate.Limiter
}

// New returns a recoverer for all servers of a process.
func New(log *zap.Logger, metrics tally.Scope) *Recoverer {
	return &Recoverer{
		log: log, panics: metrics.Counter("panics"), errors: metrics.Counter("errors"),
		panicLines: rate.NewLimiter(linesPerSecond, linesPerSecond), errorLines: rate.NewLimiter(linesPerSecond, linesPerSecond),
	}
}

// Wrap returns a handler that records a panic of next and then cuts the request.
func (r *Recoverer) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		defer func() {
			if value := recover(); value != nil {
				r.record(q, value)
				panic(http.ErrAbortHandler) // which net/http does not log
			}
		}()
		next.ServeHTTP(w, q)
	})
}

func (r *Recoverer) record(q *http.Request, value any) {
	if err, ok := value.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		return // the handler has chosen to cut the request
	}
	r.panics.Inc(1)
	if r.panicLines.Allow() {
		r.log.Error("handler panicked", zap.String("method", q.Method), zap.String("path", cut(q.URL.Path, maxTextBytes)),
			zap.String("value", cut(fmt.Sprint(value), maxTextBytes)), zap.String("stack", cut(string(debug.Stack()), maxStackBytes)))
	}
}

func cut(text string, limit int) string { return text[:min(len(text), limit)] }

// ErrorLog returns the ErrorLog of a server.
func (r *Recoverer) ErrorLog(server string) *log.Logger {
	return log.New(&errorWriter{r, server}, "", 0)
}

// errorWriter writes each message of a server as a line.
type errorWriter struct {
	*Recoverer
	server string
}

// Write implements io.Writer.
func (e *errorWriter) Write(p []byte) (int, error) {
	e.errors.Inc(1)
	if e.errorLines.Allow() {
		e.log.Warn("server reports an error", zap.String("server", e.server), zap.String("error", cut(strings.TrimSpace(string(p)), maxTextBytes)))
	}
	return len(p), nil
}
