package router

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/coordinator"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// evacuationBackend answers orders with a fixed verdict.
type evacuationBackend struct {
	Backend
	verdict *messages.Verdict
	list    *messages.EvacuationList
	err     error
	last    *messages.EvacuationOrder
	ctx     context.Context
}

func (b *evacuationBackend) Evacuate(ctx context.Context, o *messages.EvacuationOrder) (*messages.Verdict, error) {
	b.last, b.ctx = o, ctx
	return b.verdict, b.err
}

func (b *evacuationBackend) Evacuations(context.Context) (*messages.EvacuationList, error) {
	return b.list, b.err
}

func (b *evacuationBackend) send(method, path, token string) *httptest.ResponseRecorder {
	r := New(Options{Backend: b, Operator: "operator", Metrics: tally.NoopScope, MetricsHandler: http.NotFoundHandler(), Log: zap.NewNop()})
	q := httptest.NewRequest(method, path, nil)
	q.Header.Set("Authorization", "Bearer "+token)
	w := httptest.NewRecorder()
	r.ServeHTTP(w, q)
	return w
}

// TestEvacuationOrders guards against an order that is acknowledged without effect, or refused with a code that tells the operator
// the wrong thing about its outcome.
func TestEvacuationOrders(t *testing.T) {
	for _, c := range []struct {
		name    string
		verdict *messages.Verdict
		err     error
		status  int
		code    string
		retry   string
	}{
		{"acknowledged", &messages.Verdict{Status: coordinator.StatusOK}, nil, http.StatusOK, "", ""},
		{"unknown place", &messages.Verdict{Status: coordinator.StatusNoPlace}, nil, http.StatusNotFound, CodeUnknown, ""},
		{"long name", &messages.Verdict{Status: coordinator.StatusTooLarge}, nil, http.StatusRequestEntityTooLarge, CodeInvalid, ""},
		{"earlier build", &messages.Verdict{Status: coordinator.StatusOutdated, Retry: 1000}, nil, http.StatusServiceUnavailable, CodeBusy, "1"},
		{"no leader", nil, errors.New("no leader answers"), http.StatusServiceUnavailable, CodeUnreachable, "1"},
		{"no verdict", &messages.Verdict{}, nil, http.StatusServiceUnavailable, CodeBusy, "1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := &evacuationBackend{verdict: c.verdict, err: c.err}
			for method, over := range map[string]bool{http.MethodPut: false, http.MethodDelete: true} {
				w := b.send(method, "/v1/evacuations/hanoi%20a", "operator")
				is.Equal(w.Code, c.status)
				is.Equal(w.Header().Get("Retry-After"), c.retry)
				is.Equal(b.last.GetPlace(), "hanoi a")
				is.Equal(b.last.GetOver(), over)
				is.Equal(b.last.GetBy(), operatorName)
				if c.code == "" {
					continue
				}
				var p problem
				is.NoErr(json.Unmarshal(w.Body.Bytes(), &p))
				is.Equal(p.Code, c.code)
			}
		})
	}
}

// TestEvacuationOrderEndsWithItsCaller guards against an order that takes effect after its operator has gone.
func TestEvacuationOrderEndsWithItsCaller(t *testing.T) {
	is := is.New(t)
	b := &evacuationBackend{verdict: &messages.Verdict{Status: coordinator.StatusOK}}
	r := New(Options{Backend: b, Operator: "operator", Metrics: tally.NoopScope, MetricsHandler: http.NotFoundHandler(), Log: zap.NewNop()})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	q := httptest.NewRequestWithContext(ctx, http.MethodPut, "/v1/evacuations/a", nil)
	q.Header.Set("Authorization", "Bearer operator")
	r.ServeHTTP(httptest.NewRecorder(), q)
	is.True(errors.Is(b.ctx.Err(), context.Canceled))
}

// TestEvacuationsNeedOperatorsToken guards against orders and lists for everybody.
func TestEvacuationsNeedOperatorsToken(t *testing.T) {
	is := is.New(t)
	b := &evacuationBackend{verdict: &messages.Verdict{Status: coordinator.StatusOK}}
	for _, token := range []string{"", "other"} {
		is.Equal(b.send(http.MethodPut, "/v1/evacuations/a", token).Code, http.StatusUnauthorized)
		is.Equal(b.send(http.MethodDelete, "/v1/evacuations/a", token).Code, http.StatusUnauthorized)
		is.Equal(b.send(http.MethodGet, "/v1/evacuations", token).Code, http.StatusUnauthorized)
	}
	is.Equal(b.last, nil)
}

// TestEvacuationList guards against a list that is null when it is empty, and against a negative age where the leader's clock is
// ahead.
func TestEvacuationList(t *testing.T) {
	is := is.New(t)
	b := &evacuationBackend{list: &messages.EvacuationList{}}
	is.Equal(b.send(http.MethodGet, "/v1/evacuations", "operator").Body.String(), "[]")
	since := time.Now().Add(time.Hour).Truncate(time.Millisecond).UTC()
	b.list.Evacuations = []*messages.Evacuation{
		{Place: "a", Since: since.UnixMilli(), By: "operator"},
		{Place: "b", Since: since.Add(-2*time.Hour - 500*time.Millisecond).UnixMilli(), By: "platform"},
	}
	var views []evacuationView
	is.NoErr(json.Unmarshal(b.send(http.MethodGet, "/v1/evacuations", "operator").Body.Bytes(), &views))
	is.Equal(views[0], evacuationView{Place: "a", Since: since, Age: "0s", By: "operator"})
	is.Equal(views[1].Age, "1h0m0s")
	b.err = errors.New("no leader answers")
	is.Equal(b.send(http.MethodGet, "/v1/evacuations", "operator").Code, http.StatusServiceUnavailable)
}
