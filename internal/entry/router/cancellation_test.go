package router

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
)

// cancellationBackend answers proposals with a fixed reply.
type cancellationBackend struct {
	Backend
	reply scheduler.Reply
}

func (b *cancellationBackend) Propose(context.Context, scheduler.Event) (scheduler.Reply, error) {
	return b.reply, nil
}

// TestCancellationOfManyNamesUnknownKeys guards against a status that callers do not expect, and against a reply that leaves open
// which keys of a batch have no job: the reason names only one of them.
func TestCancellationOfManyNamesUnknownKeys(t *testing.T) {
	job := scheduler.JobView{Key: "a"}
	for _, c := range []struct {
		name    string
		reply   scheduler.Reply
		status  int
		jobs    int
		unknown []string
	}{
		{"all known", scheduler.Reply{Status: scheduler.StatusOK, Jobs: []scheduler.JobView{job, {Key: "b"}, {Key: "c"}}}, http.StatusOK, 3, nil},
		{"some known", scheduler.Reply{Status: scheduler.StatusUnknown, Reason: "no such job: c", Jobs: []scheduler.JobView{job}}, http.StatusOK, 1, []string{"b", "c"}},
		{"none known", scheduler.Reply{Status: scheduler.StatusUnknown, Reason: "no such job: c"}, http.StatusOK, 0, []string{"a", "b", "c"}},
		{"refused", scheduler.Reply{Status: scheduler.StatusInvalid, Reason: "no"}, http.StatusUnprocessableEntity, 0, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := New(Options{Backend: &cancellationBackend{reply: c.reply}, Metrics: tally.NoopScope, MetricsHandler: http.NotFoundHandler(), Log: zap.NewNop()})
			w := httptest.NewRecorder()
			q := httptest.NewRequest(http.MethodPost, "/v1/cancellations", strings.NewReader(`{"keys": ["a", "b", "c"]}`))
			if p := r.cancelMany(w, q, &parser.Organisation{Name: "o"}); p != nil {
				p.write(w)
			}
			is.Equal(w.Code, c.status)
			if w.Code != http.StatusOK {
				return
			}
			var reply struct {
				Jobs    []scheduler.JobView `json:"jobs"`
				Reason  string              `json:"reason"`
				Unknown []string            `json:"unknown"`
			}
			is.NoErr(json.Unmarshal(w.Body.Bytes(), &reply))
			is.Equal(len(reply.Jobs), c.jobs)
			is.Equal(reply.Reason, c.reply.Reason)
			is.Equal(reply.Unknown, c.unknown)
		})
	}
}
