package router

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/config/provider"
)

// TestFirstCallsWaitForManifest guards against calls that an entry refuses in its first moments, although the manifest arrives
// well within their time.
func TestFirstCallsWaitForManifest(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../../../examples/*/manifest*")
	is.NoErr(err)
	is.True(len(files) > 0)
	text, err := os.ReadFile(files[0])
	is.NoErr(err)
	manifest := provider.New(func(time.Duration) bool { return true })
	r := New(Options{Manifest: manifest, Metrics: tally.NoopScope, MetricsHandler: http.NotFoundHandler(), Log: zap.NewNop()})
	time.AfterFunc(200*time.Millisecond, func() {
		if _, err := manifest.Install(text); err != nil {
			t.Error(err)
		}
	})
	w := httptest.NewRecorder()
	r.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/jobs/a", nil))
	is.Equal(w.Code, http.StatusUnauthorized) // the token was looked up
}
