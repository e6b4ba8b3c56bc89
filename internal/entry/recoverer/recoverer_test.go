package recoverer

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

func newRecoverer() (*Recoverer, *observer.ObservedLogs, tally.TestScope) {
	core, logs := observer.New(zapcore.InfoLevel)
	scope := tally.NewTestScope("", nil)
	return New(zap.New(core), scope), logs, scope
}

// serve returns the address of a server whose handler is wrapped.
func serve(t *testing.T, r *Recoverer, handler http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewUnstartedServer(r.Wrap(handler, ReplyError))
	s.Config.ErrorLog = r.ErrorLog("callers")
	s.Start()
	t.Cleanup(s.Close)
	return s.URL + "/q/0123456789abcdef"
}

// TestPanicIsLogged guards against a handler that panics and can't be told from a connection that a stop has cut: net/http
// wrote it to the standard logger, without the path as a field, and nothing counted it.
func TestPanicIsLogged(t *testing.T) {
	is := is.New(t)
	r, logs, scope := newRecoverer()
	response, err := http.Get(serve(t, r, func(http.ResponseWriter, *http.Request) { panic("no room") }))
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	lines := logs.All()
	is.Equal(len(lines), 1) // and none of net/http
	is.Equal(lines[0].Message, "handler panicked")
	fields := lines[0].ContextMap()
	is.Equal(fields["method"], http.MethodGet)
	is.Equal(fields["path"], "/q/0123456789abcdef")
	is.Equal(fields["value"], "no room")
	is.True(strings.Contains(fields["stack"].(string), "TestPanicIsLogged"))
	is.Equal(scope.Snapshot().Counters()["panics+"].Value(), int64(1))
}

// TestPanicIsAnswered guards against a request without an answer: net/http closes the connection under a handler that panics.
func TestPanicIsAnswered(t *testing.T) {
	is := is.New(t)
	r, _, _ := newRecoverer()
	response, err := http.Get(serve(t, r, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100") // of a response that is never written
		panic("no room")
	}))
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(errors.Join(err, response.Body.Close()))
	is.Equal(response.StatusCode, http.StatusInternalServerError)
	is.Equal(string(body), "Internal Server Error\n")
}

// TestBegunResponseIsCut checks that a response is not completed by another one after a panic, and that the handler's own choice
// to cut a request is kept.
func TestBegunResponseIsCut(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"begun": func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusOK)
			panic("no room")
		},
		"aborted": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, logs, _ := newRecoverer()
			_, err := http.Get(serve(t, r, handler)) //nolint:bodyclose // there is no response
			is.True(err != nil)
			is.Equal(logs.FilterMessage("server reports an error").Len(), 0)
		})
	}
}

// TestLinesAreBounded checks that errors beyond the rate of lines are counted, and long ones cut.
func TestLinesAreBounded(t *testing.T) {
	is := is.New(t)
	r, logs, scope := newRecoverer()
	log := r.ErrorLog("callers")
	for range 10 * linesPerSecond {
		log.Print(strings.Repeat("x", 2*maxTextBytes))
	}
	lines := logs.All()
	is.True(len(lines) >= linesPerSecond && len(lines) < 2*linesPerSecond)
	is.Equal(lines[0].Message, "server reports an error")
	is.Equal(lines[0].ContextMap()["server"], "callers")
	is.Equal(len(lines[0].ContextMap()["error"].(string)), maxTextBytes)
	is.Equal(scope.Snapshot().Counters()["errors+"].Value(), int64(10*linesPerSecond))
}
