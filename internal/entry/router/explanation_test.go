package router

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/coordinator"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// explanationBackend answers with a fixed explanation.
type explanationBackend struct {
	Backend
	reply *messages.Explanation
	err   error
	last  *messages.ExplainRequest
}

func (b *explanationBackend) Explain(_ context.Context, q *messages.ExplainRequest) (*messages.Explanation, error) {
	b.last = q
	return b.reply, b.err
}

func (b *explanationBackend) send(method, path, token, body string) *httptest.ResponseRecorder {
	r := New(Options{Backend: b, Operator: "operator", Metrics: tally.NoopScope, MetricsHandler: http.NotFoundHandler(), Log: zap.NewNop()})
	q := httptest.NewRequest(method, path, strings.NewReader(body))
	q.Header.Set("Authorization", "Bearer "+token)
	w := httptest.NewRecorder()
	r.ServeHTTP(w, q)
	return w
}

// TestExplanationRequest guards against fields of a description that are lost or converted to the wrong unit.
func TestExplanationRequest(t *testing.T) {
	is := is.New(t)
	b := &explanationBackend{reply: &messages.Explanation{Verdict: &messages.Verdict{Status: coordinator.StatusOK, Phase: "pending"}}}
	w := b.send(http.MethodPost, "/v1/explanations", "operator", `{"queue": "q", "organisation": "o", "steps": [{}, {
		"count": 3, "processors": 0.5, "memory": 1.5, "accelerators": 2, "estimate": "1m30s", "after": [0], "gang": true, "compact": true,
		"label": "l", "rack": "r", "spread": 4, "checkpoints": true, "lasting": true}]}`)
	is.Equal(w.Code, http.StatusOK)
	is.Equal(w.Body.String(), `{"phase":"pending","starts":[],"stops":[],"waits":[]}`)
	is.Equal(b.last.GetQueue()+" "+b.last.GetOrganisation(), "q o")
	is.Equal(b.last.GetSteps()[0].GetCount(), int32(1))
	s := b.last.GetSteps()[1]
	is.Equal([]int64{int64(s.GetCount()), s.GetProcessors(), s.GetMemory(), s.GetAccelerators(), s.GetEstimate(), int64(s.GetSpread())},
		[]int64{3, 500, 1536, 2, 90_000, 4})
	is.Equal(s.GetAfter(), []int32{0})
	is.Equal([]bool{s.GetGang(), s.GetCompact(), s.GetCheckpoints(), s.GetLasting()}, []bool{true, true, true, true})
	is.Equal([]string{s.GetLabel(), s.GetRack()}, []string{"l", "r"})
	is.Equal(b.send(http.MethodGet, "/v1/explanations/a%2Fb", "operator", "").Code, http.StatusOK)
	is.Equal(b.last.GetJob(), "a/b")
}

// TestExplanationReply guards against decisions of the leader that are lost or misnamed in the operator's view.
func TestExplanationReply(t *testing.T) {
	is := is.New(t)
	b := &explanationBackend{reply: &messages.Explanation{
		Verdict: &messages.Verdict{Status: coordinator.StatusOK, Phase: "running"},
		Starts:  []*messages.ExplainedStart{{Occurrence: 1, Step: 2, Task: 3, Worker: "w", Rack: "r", Place: "p"}},
		Stops:   []*messages.ExplainedStop{{Job: "low", Occurrence: 4, Step: 5, Task: 6, Worker: "v"}},
		Waits:   []*messages.ExplainedWait{{Occurrence: 7, Step: 8, Trial: 1, Tasks: 1, Obstacle: "held", Prefers: "rack"}},
	}}
	is.Equal(b.send(http.MethodGet, "/v1/explanations/a", "operator", "").Body.String(), `{"phase":"running",`+
		`"starts":[{"occurrence":1,"step":2,"task":3,"worker":"w","rack":"r","place":"p"}],`+
		`"stops":[{"job":"low","occurrence":4,"step":5,"task":6,"worker":"v"}],`+
		`"waits":[{"occurrence":7,"step":8,"task":0,"tasks":1,"obstacle":"held","prefers":"rack"}]}`)
	b.reply = &messages.Explanation{Verdict: &messages.Verdict{Status: coordinator.StatusRefused, Reason: "no room"}}
	is.Equal(b.send(http.MethodGet, "/v1/explanations/a", "operator", "").Body.String(), `{"refusal":"no room","starts":[],"stops":[],"waits":[]}`)
}

// TestExplanationProblems guards against bad input that reaches the leader, and codes that tell the operator the wrong thing.
func TestExplanationProblems(t *testing.T) {
	const valid = `{"queue": "q", "steps": [{"processors": 1}]}`
	for _, c := range []struct {
		name, token, body, verdict string
		err                        error
		status                     int
		code                       string
	}{
		{"no token", "", valid, "", nil, http.StatusUnauthorized, CodeUnauthorised},
		{"no queue", "operator", `{"steps": [{}]}`, "", nil, http.StatusUnprocessableEntity, CodeInvalid},
		{"no steps", "operator", `{"queue": "q"}`, "", nil, http.StatusUnprocessableEntity, CodeInvalid},
		{"no unit", "operator", `{"queue": "q", "steps": [{"estimate": 3}]}`, "", nil, http.StatusUnprocessableEntity, CodeInvalid},
		{"after itself", "operator", `{"queue": "q", "steps": [{"after": [0]}]}`, "", nil, http.StatusUnprocessableEntity, CodeInvalid},
		{"many tasks", "operator", `{"queue": "q", "steps": [{"count": 9999}, {"count": 2}]}`, "", nil, http.StatusUnprocessableEntity, CodeInvalid},
		{"unknown queue", "operator", valid, coordinator.StatusNoQueue, nil, http.StatusNotFound, CodeUnknown},
		{"no catalog", "operator", valid, coordinator.StatusEmpty, nil, http.StatusNotFound, CodeUnknown},
		{"unknown organisation", "operator", valid, coordinator.StatusInvalid, nil, http.StatusUnprocessableEntity, CodeInvalid},
		{"no leader", "operator", valid, "", errors.New("no leader answers"), http.StatusServiceUnavailable, CodeUnreachable},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := &explanationBackend{err: c.err, reply: &messages.Explanation{Verdict: &messages.Verdict{Status: c.verdict}}}
			w := b.send(http.MethodPost, "/v1/explanations", c.token, c.body)
			is.Equal(w.Code, c.status)
			p := problem{}
			is.NoErr(json.Unmarshal(w.Body.Bytes(), &p))
			is.Equal(p.Code, c.code)
			is.Equal(b.last != nil, c.verdict != "" || c.err != nil)
		})
	}
}
