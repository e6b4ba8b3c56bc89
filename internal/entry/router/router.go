// Package router implements the HTTP API of a daemon for callers, operators and workers. Every entry serves
// the whole API and forwards requests that only the leader may decide. The package only decodes requests and
// encodes responses.
package router

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/config/provider"
	"github.com/bluebellgauge/bluebellgauge/internal/entry/limiter"
	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/registrar"
)

const (
	maxJobBytes           = 1 << 20
	maxWait               = 5 * time.Minute
	proposeTimeout        = 10 * time.Second
	maxReportBytes        = 64 << 20
	maxCancelKeys         = 10_000
	busyRetryAfter        = 2 * time.Second
	maxConcurrentRequests = 8192
	manifestWait          = 1500 * time.Millisecond // of a request, for a current manifest
	manifestPollInterval  = 20 * time.Millisecond
)

// Backend forwards requests to the leader.
type Backend interface {
	Propose(ctx context.Context, e scheduler.Event) (scheduler.Reply, error)
	Await(ctx context.Context, org, key string, wait time.Duration) (view scheduler.JobView, known bool, err error)
	Query(ctx context.Context, q *messages.Question) (json.RawMessage, error)
	Evacuate(ctx context.Context, o *messages.EvacuationOrder) (*messages.Verdict, error)
	Evacuations(ctx context.Context) (*messages.EvacuationList, error)
	Explain(ctx context.Context, q *messages.ExplainRequest) (*messages.Explanation, error)
}

// Options are the dependencies of a router.
type Options struct {
	Backend        Backend
	Manifest       *provider.Provider
	Home           *registrar.Home
	Operator       string // the operators' token
	Ready          func() error
	Drain          func()
	Metrics        tally.Scope
	MetricsHandler http.Handler // serves /metrics
	Log            *zap.Logger
}

// Router serves the HTTP API of one entry.
type Router struct {
	opts     Options
	mux      *mux.Router
	limits   *limiter.Limiter
	draining atomic.Bool
}

// New returns the router of an entry.
func New(opts Options) *Router {
	r := &Router{opts: opts, mux: mux.NewRouter(), limits: limiter.New(maxConcurrentRequests)}
	r.mux.HandleFunc("/healthz", r.health).Methods(http.MethodGet)
	r.mux.HandleFunc("/readyz", r.ready).Methods(http.MethodGet)
	r.mux.Handle("/metrics", opts.MetricsHandler).Methods(http.MethodGet)
	r.callerRoutes()
	r.operatorRoutes()
	r.evacuationRoutes()
	r.explanationRoutes()
	r.mux.HandleFunc("/v1/workers", r.announce).Methods(http.MethodPost)
	r.mux.HandleFunc("/v1/workers/{name}/report", r.report).Methods(http.MethodPost)
	r.mux.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		newProblem(http.StatusNotFound, CodeUnknown, "no such resource").write(w)
	})
	return r
}

// ServeHTTP serves one request.
func (r *Router) ServeHTTP(w http.ResponseWriter, q *http.Request) { r.mux.ServeHTTP(w, q) }

// SetDraining makes the entry refuse new jobs and fail its readiness check, which removes it from the load
// balancer.
func (r *Router) SetDraining() { r.draining.Store(true) }

// InFlight returns the number of callers' requests in progress.
func (r *Router) InFlight() int { return r.limits.InFlight() }

func (r *Router) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]string{"status": "ok"})
}

func (r *Router) ready(w http.ResponseWriter, _ *http.Request) {
	if r.draining.Load() {
		newProblem(http.StatusServiceUnavailable, CodeBusy, "draining").write(w)
		return
	}
	if err := r.opts.Ready(); err != nil {
		newProblem(http.StatusServiceUnavailable, CodeStale, err.Error()).write(w)
		return
	}
	writeJSON(w, http.StatusOK, map[string]string{"status": "ready"})
}

func bearer(q *http.Request) string {
	token, _ := strings.CutPrefix(q.Header.Get("Authorization"), "Bearer ")
	return token
}

func (r *Router) isOperator(q *http.Request) bool {
	given, want := sha256.Sum256([]byte(bearer(q))), sha256.Sum256([]byte(r.opts.Operator))
	return r.opts.Operator != "" && subtle.ConstantTimeCompare(given[:], want[:]) == 1
}

// awaitManifest returns the manifest in force. An entry that has just started, or that has lost all leaders, may be about to
// get it.
func (r *Router) awaitManifest(ctx context.Context) (*parser.Manifest, bool) {
	for end := time.Now().Add(manifestWait); ; time.Sleep(manifestPollInterval) {
		if m, ok := r.opts.Manifest.Current(); ok || ctx.Err() != nil || time.Now().After(end) {
			return m, ok
		}
	}
}

// organisation returns the organisation that a request's token belongs to in the manifest in force.
func (r *Router) organisation(q *http.Request) (*parser.Organisation, *problem) {
	m, ok := r.awaitManifest(q.Context())
	if !ok {
		p := newProblem(http.StatusServiceUnavailable, CodeStale, "this entry can't confirm that its manifest is current; this copy was not taken")
		p.retry = busyRetryAfter
		return nil, p
	}
	org := provider.Organisation(m, bearer(q))
	if org == nil {
		return nil, newProblem(http.StatusUnauthorized, CodeUnauthorised, "the token belongs to no organisation")
	}
	return org, nil
}

// callerHandler serves one request of an organisation.
type callerHandler func(w http.ResponseWriter, q *http.Request, org *parser.Organisation) *problem

// caller wraps a handler with the limit on concurrent requests and the check of the organisation's token.
func (r *Router) caller(serve callerHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		release, ok := r.limits.Acquire()
		if !ok {
			p := newProblem(http.StatusServiceUnavailable, CodeBusy, "too many requests at this entry; this copy was not taken")
			p.retry = busyRetryAfter
			p.write(w)
			return
		}
		defer release()
		org, p := r.organisation(q)
		if p == nil {
			p = serve(w, q, org)
		}
		if p != nil {
			r.opts.Metrics.Tagged(map[string]string{"code": p.Code}).Counter("problems").Inc(1)
			r.opts.Log.Debug("request refused", zap.String("path", q.URL.Path), zap.String("code", p.Code), zap.String("detail", p.Detail))
			p.write(w)
		}
	}
}

// operator wraps a handler with the check of the operators' token.
func (r *Router) operator(serve func(w http.ResponseWriter, q *http.Request) *problem) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		if !r.isOperator(q) {
			newProblem(http.StatusUnauthorized, CodeUnauthorised, "this needs the operators' token").write(w)
			return
		}
		if p := serve(w, q); p != nil {
			p.write(w)
		}
	}
}

func readBody(w http.ResponseWriter, q *http.Request, limit int64) ([]byte, *problem) {
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		p := newProblem(http.StatusRequestEntityTooLarge, CodeInvalid, "the body is too large")
		p.Limit = float64(limit)
		return nil, p
	}
	if err != nil {
		return nil, newProblem(http.StatusBadRequest, CodeInvalid, "the body was cut: "+err.Error())
	}
	return body, nil
}

// unreachableProblem reports that the outcome is unknown. It must not claim that the request had no effect.
func unreachableProblem(err error) *problem {
	p := newProblem(http.StatusServiceUnavailable, CodeUnreachable, "the outcome is open, send the same request again: "+err.Error())
	p.retry = time.Second
	return p
}

// rejection returns the problem for a reply of the scheduler, or nil if the request was accepted.
func rejection(reply scheduler.Reply) *problem {
	switch reply.Status {
	case scheduler.StatusOK:
		return nil
	case scheduler.StatusConflict:
		p := newProblem(http.StatusConflict, CodeConflict, reply.Reason)
		p.Version = reply.Version
		p.Manifest = string(reply.Text)
		return p
	case scheduler.StatusInvalid:
		return newProblem(http.StatusUnprocessableEntity, CodeInvalid, reply.Reason)
	case scheduler.StatusUnknown:
	}
	return newProblem(http.StatusNotFound, CodeUnknown, reply.Reason)
}
