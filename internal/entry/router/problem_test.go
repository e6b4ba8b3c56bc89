package router

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// TestPanicLeavesOutcomeOpen guards against an answer after a panic that says that a change had no effect.
func TestPanicLeavesOutcomeOpen(t *testing.T) {
	for method, want := range map[string]int{
		http.MethodPost: http.StatusServiceUnavailable, http.MethodDelete: http.StatusServiceUnavailable, http.MethodGet: http.StatusInternalServerError,
	} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			w := httptest.NewRecorder()
			ReplyPanicked(w, httptest.NewRequest(method, "/v1/jobs/a", nil))
			is.Equal(w.Code, want)
			var p problem
			is.NoErr(json.Unmarshal(w.Body.Bytes(), &p))
			is.Equal(p.Code, CodeUnreachable)
			is.Equal(w.Header().Get("Retry-After"), "1")
		})
	}
}
