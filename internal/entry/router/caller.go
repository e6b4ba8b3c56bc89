package router

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

func (r *Router) callerRoutes() {
	r.mux.HandleFunc("/v1/jobs", r.caller(r.submit)).Methods(http.MethodPost)
	r.mux.HandleFunc("/v1/jobs", r.listJobs).Methods(http.MethodGet)
	r.mux.HandleFunc("/v1/jobs/{key}", r.caller(r.job)).Methods(http.MethodGet)
	r.mux.HandleFunc("/v1/jobs/{key}", r.caller(r.cancelOne)).Methods(http.MethodDelete)
	r.mux.HandleFunc("/v1/jobs/{key}/answer", r.caller(r.answer)).Methods(http.MethodGet)
	r.mux.HandleFunc("/v1/cancellations", r.caller(r.cancelMany)).Methods(http.MethodPost)
}

// submit accepts a job. Requests with the same key refer to the same job, at any entry.
func (r *Router) submit(w http.ResponseWriter, q *http.Request, org *parser.Organisation) *problem {
	if r.draining.Load() {
		p := newProblem(http.StatusServiceUnavailable, CodeBusy, "this entry is draining; this copy was not taken")
		p.retry = time.Second
		return p
	}
	key := q.Header.Get("Idempotency-Key")
	if !parser.ValidKey(key) {
		return newProblem(http.StatusBadRequest, CodeInvalid, "Idempotency-Key must have 1 to 128 printable characters without a slash")
	}
	if retry, ok := r.limits.Allow(org.Name, org.Rate); !ok {
		p := newProblem(http.StatusTooManyRequests, CodeRate, "the rate of the organisation is spent; this copy was not taken")
		p.Limit = org.Rate
		p.retry = retry
		return p
	}
	body, p := readBody(w, q, maxJobBytes)
	if p != nil {
		return p
	}
	job, err := parser.ParseJob(body)
	if err != nil {
		return newProblem(http.StatusBadRequest, CodeInvalid, err.Error())
	}
	reply, p := r.propose(q.Context(), scheduler.Submit{Org: org.Name, Key: key, Job: job})
	if p != nil {
		return p
	}
	view := reply.Jobs[0]
	if wait := preferredWait(q); wait > 0 && view.Answer == nil {
		return r.await(w, q, org, key, wait)
	}
	writeView(w, view)
	return nil
}

// propose forwards an event to the leader.
func (r *Router) propose(ctx context.Context, e scheduler.Event) (scheduler.Reply, *problem) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	reply, err := r.opts.Backend.Propose(ctx, e)
	if err != nil {
		return reply, unreachableProblem(err)
	}
	return reply, rejection(reply)
}

// preferredWait returns the wait preference (RFC 7240) of a request, at most maxWait.
func preferredWait(q *http.Request) time.Duration {
	for _, field := range q.Header.Values("Prefer") {
		for item := range strings.SplitSeq(field, ",") {
			value, ok := strings.CutPrefix(strings.TrimSpace(item), "wait=")
			if seconds, err := strconv.Atoi(value); ok && err == nil && seconds > 0 {
				return min(time.Duration(seconds)*time.Second, maxWait)
			}
		}
	}
	return 0
}

func (r *Router) job(w http.ResponseWriter, q *http.Request, org *parser.Organisation) *problem {
	return r.await(w, q, org, mux.Vars(q)["key"], 0)
}

// answer serves a job, after waiting for its answer if the request asks for it with wait.
func (r *Router) answer(w http.ResponseWriter, q *http.Request, org *parser.Organisation) *problem {
	wait := time.Duration(0)
	if text := q.URL.Query().Get("wait"); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d < 0 || d > maxWait {
			return newProblem(http.StatusBadRequest, CodeInvalid, "wait is "+strconv.Quote(text)+", want 0s to "+maxWait.String())
		}
		wait = d
	}
	return r.await(w, q, org, mux.Vars(q)["key"], wait)
}

func (r *Router) await(w http.ResponseWriter, q *http.Request, org *parser.Organisation, key string, wait time.Duration) *problem {
	ctx, cancel := context.WithTimeout(q.Context(), wait+proposeTimeout)
	defer cancel()
	view, known, err := r.opts.Backend.Await(ctx, org.Name, key, wait)
	if err != nil {
		return unreachableProblem(err)
	}
	if !known {
		return newProblem(http.StatusNotFound, CodeUnknown, "no such job")
	}
	writeView(w, view)
	return nil
}

// writeView writes a job, with status 200 if it has its final answer and 202 otherwise.
func writeView(w http.ResponseWriter, v scheduler.JobView) {
	status := http.StatusAccepted
	if v.Answer != nil {
		status = http.StatusOK
		sum := sha256.Sum256(v.Answer.Body)
		w.Header().Set("Answer-Digest", "sha-256=:"+base64.StdEncoding.EncodeToString(sum[:])+":")
	}
	writeJSON(w, status, v)
}

func (r *Router) cancelOne(w http.ResponseWriter, q *http.Request, org *parser.Organisation) *problem {
	reply, p := r.propose(q.Context(), scheduler.Cancel{Org: org.Name, Keys: []string{mux.Vars(q)["key"]}})
	if p != nil {
		return p
	}
	writeView(w, reply.Jobs[0])
	return nil
}

// cancelMany cancels a batch of jobs with one log entry. Keys without a job do not keep the other jobs from being cancelled, so the
// status is 200 also if all are unknown. Callers rely on it.
func (r *Router) cancelMany(w http.ResponseWriter, q *http.Request, org *parser.Organisation) *problem {
	body, p := readBody(w, q, maxJobBytes*2)
	if p != nil {
		return p
	}
	var batch struct {
		Keys []string `json:"keys"`
	}
	if err := json.Unmarshal(body, &batch); err != nil {
		return newProblem(http.StatusBadRequest, CodeInvalid, err.Error())
	}
	if len(batch.Keys) == 0 || len(batch.Keys) > maxCancelKeys {
		return newProblem(http.StatusBadRequest, CodeInvalid, "keys must have 1 to "+strconv.Itoa(maxCancelKeys)+" entries")
	}
	ctx, cancel := context.WithTimeout(q.Context(), proposeTimeout)
	defer cancel()
	reply, err := r.opts.Backend.Propose(ctx, scheduler.Cancel{Org: org.Name, Keys: batch.Keys})
	if err != nil {
		return unreachableProblem(err)
	}
	if reply.Status != scheduler.StatusOK && reply.Status != scheduler.StatusUnknown {
		return rejection(reply) // nothing was cancelled
	}
	answer := map[string]any{"jobs": reply.Jobs, "reason": reply.Reason}
	if unknown := unknownKeys(batch.Keys, reply.Jobs); len(unknown) > 0 {
		answer["unknown"] = unknown
	}
	writeJSON(w, http.StatusOK, answer)
	return nil
}

// unknownKeys returns the keys of a cancellation that are not among the jobs in its reply.
func unknownKeys(keys []string, jobs []scheduler.JobView) []string {
	known := map[string]bool{}
	for _, v := range jobs {
		known[v.Key] = true
	}
	return slices.DeleteFunc(slices.Clone(keys), func(key string) bool { return known[key] })
}

// listJobs serves the jobs of the organisation, or of all organisations to an operator.
func (r *Router) listJobs(w http.ResponseWriter, q *http.Request) {
	question := &messages.Question{Kind: "jobs", All: q.URL.Query().Get("all") == "true"}
	if !r.isOperator(q) {
		org, p := r.organisation(q)
		if p != nil {
			p.write(w)
			return
		}
		question.Organisation = org.Name
	}
	if p := r.forwardQuery(w, q, question); p != nil {
		p.write(w)
	}
}

func (r *Router) forwardQuery(w http.ResponseWriter, q *http.Request, question *messages.Question) *problem {
	ctx, cancel := context.WithTimeout(q.Context(), proposeTimeout)
	defer cancel()
	body, err := r.opts.Backend.Query(ctx, question)
	if err != nil {
		return unreachableProblem(err)
	}
	writeJSON(w, http.StatusOK, body)
	return nil
}
