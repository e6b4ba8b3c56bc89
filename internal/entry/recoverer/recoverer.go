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

// Wrap returns a handler that records a panic of next and answers the request with reply. The request is cut if a part of
// its response was already written, or if next panicked with http.ErrAbortHandler.
func (r *Recoverer) Wrap(next http.Handler, reply http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		tracked := &response{ResponseWriter: w}
		defer func() {
			value := recover()
			if value == nil {
				return
			}
			if err, ok := value.(error); ok && errors.Is(err, http.ErrAbortHandler) {
				panic(value)
			}
			r.record(q, value)
			if tracked.written {
				panic(http.ErrAbortHandler) // which net/http does not log
			}
			connection := w.Header().Values("Connection") // set by the server before the handler
			clear(w.Header())
			w.Header()["Connection"] = connection
			reply(w, q)
		}()
		next.ServeHTTP(tracked, q)
	})
}

// ReplyError is the reply to requests that change nothing.
func ReplyError(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, http.StatusText(http.StatusInternalServerError), http.StatusInternalServerError)
}

// response notes whether any part of a response was written.
type response struct {
	http.ResponseWriter
	written bool
}

// WriteHeader implements http.ResponseWriter.
func (w *response) WriteHeader(status int) {
	w.written = w.written || status >= http.StatusOK // others are informational
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *response) Write(p []byte) (int, error) {
	w.written = true
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the original writer to http.ResponseController.
func (w *response) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (r *Recoverer) record(q *http.Request, value any) {
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
