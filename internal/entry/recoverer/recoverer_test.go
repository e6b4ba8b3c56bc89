package recoverer

import (
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

// TestPanicIsLogged guards against a handler that panics and can't be told from a connection that a stop has cut: net/http
// wrote it to the standard logger, without the path as a field, and nothing counted it.
func TestPanicIsLogged(t *testing.T) {
	is := is.New(t)
	r, logs, scope := newRecoverer()
	s := httptest.NewUnstartedServer(r.Wrap(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("no room") })))
	s.Config.ErrorLog = r.ErrorLog("callers")
	s.Start()
	defer s.Close()
	_, err := http.Get(s.URL + "/q/0123456789abcdef") //nolint:bodyclose // there is no response
	is.True(err != nil)
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
