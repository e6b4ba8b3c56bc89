// Package client is the HTTP client for callers and operators. It sends requests to several entries in turn
// and retries them; it holds no other logic.
package client

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
)

const (
	maxReplyBytes  = 64 << 20
	requestTimeout = 15 * time.Second
	minBackoff     = 50 * time.Millisecond
	maxBackoff     = time.Second
	pollWait       = 5 * time.Second // of one long poll; short, so that a dead connection is detected
	pollMargin     = 3 * time.Second // added for the transfer of the response to a long poll
)

// ErrUnreachable is returned when no entry gave a usable response in time. The request may or may not have
// taken effect.
var ErrUnreachable = errors.New("no entry answers")

// Problem is an error response of an entry.
type Problem struct {
	Status   int     `json:"status"`
	Code     string  `json:"code"`
	Detail   string  `json:"detail"`
	Limit    float64 `json:"limit"`
	Version  uint64  `json:"version"`
	Manifest string  `json:"manifest"`
}

// Error returns the code and detail of the problem, and the limit if there is one.
func (p *Problem) Error() string {
	if p.Limit > 0 {
		return fmt.Sprintf("%s: %s (limit %g)", p.Code, p.Detail, p.Limit)
	}
	return p.Code + ": " + p.Detail
}

// retryable reports whether the request may succeed at another entry, or at the same one later.
func (p *Problem) retryable() bool {
	switch p.Code {
	case "busy", "stale", "unreachable", "rate":
		return true
	}
	return p.Status >= http.StatusInternalServerError
}

// Client sends requests to the entries, authenticated with one token.
type Client struct {
	entries   []netip.AddrPort
	token     string
	http      *http.Client
	nextEntry int
}

// New returns a client. It is not safe for concurrent use.
func New(entries []netip.AddrPort, token string) *Client {
	return &Client{
		entries: entries, token: token,
		http: &http.Client{Transport: &http.Transport{ResponseHeaderTimeout: requestTimeout}},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

type call struct {
	method, path string
	header       http.Header
	body         []byte
	timeout      time.Duration
}

// do sends a request to the entries in turn until one returns a final response or ctx ends. Retries are safe
// because all requests of this interface are idempotent.
func (c *Client) do(ctx context.Context, spec call, out any) error {
	delays := &backoff.ExponentialBackOff{
		InitialInterval: minBackoff, MaxInterval: maxBackoff, Multiplier: 2, RandomizationFactor: 0.5,
	}
	delays.Reset()
	for {
		err := c.send(ctx, spec, out)
		var problem *Problem
		if err == nil || errors.As(err, &problem) && !problem.retryable() {
			return err
		}
		c.nextEntry++
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrUnreachable, err)
		case <-time.After(delays.NextBackOff()):
		}
	}
}

func (c *Client) send(ctx context.Context, spec call, out any) error {
	ctx, cancel := context.WithTimeout(ctx, spec.timeout)
	defer cancel()
	entry := c.entries[c.nextEntry%len(c.entries)]
	request, err := http.NewRequestWithContext(ctx, spec.method, "http://"+entry.String()+spec.path, bytes.NewReader(spec.body))
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	if spec.header != nil {
		request.Header = spec.header.Clone()
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return decodeProblem(response, body)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("malformed response: %w", err)
	}
	return verifyDigest(response.Header.Get("Answer-Digest"), out)
}

func decodeProblem(r *http.Response, body []byte) error {
	p := &Problem{Status: r.StatusCode}
	if err := json.Unmarshal(body, p); err != nil || p.Code == "" {
		p.Code, p.Detail = "unreachable", r.Status
	}
	return p
}

// verifyDigest checks the body of an answer against the Answer-Digest header.
func verifyDigest(digest string, out any) error {
	view, ok := out.(*scheduler.JobView)
	if !ok || view.Answer == nil {
		return nil
	}
	sum := sha256.Sum256(view.Answer.Body)
	want := "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
	if digest != want {
		return errors.New("answer body does not match its digest")
	}
	return nil
}

// Submit submits a job and returns its current state.
func (c *Client) Submit(ctx context.Context, key string, job parser.Job) (scheduler.JobView, error) {
	var view scheduler.JobView
	body, err := json.Marshal(job)
	if err != nil {
		return view, fmt.Errorf("encode job: %w", err)
	}
	header := http.Header{"Idempotency-Key": {key}, "Content-Type": {"application/json"}}
	err = c.do(ctx, call{method: http.MethodPost, path: "/v1/jobs", header: header, body: body, timeout: requestTimeout}, &view)
	return view, err
}

// Answer waits until the job is answered or ctx ends.
func (c *Client) Answer(ctx context.Context, key string) (scheduler.JobView, error) {
	for {
		var view scheduler.JobView
		path := "/v1/jobs/" + key + "/answer?wait=" + pollWait.String()
		err := c.do(ctx, call{method: http.MethodGet, path: path, timeout: pollWait + pollMargin}, &view)
		if err != nil || view.Answer != nil || ctx.Err() != nil {
			return view, err
		}
	}
}

// Job returns the current state of a job.
func (c *Client) Job(ctx context.Context, key string) (scheduler.JobView, error) {
	var view scheduler.JobView
	err := c.do(ctx, call{method: http.MethodGet, path: "/v1/jobs/" + key, timeout: requestTimeout}, &view)
	return view, err
}

// Cancel cancels several jobs in one request.
func (c *Client) Cancel(ctx context.Context, keys []string) ([]scheduler.JobView, error) {
	var reply struct {
		Jobs   []scheduler.JobView `json:"jobs"`
		Reason string              `json:"reason"`
	}
	body, err := json.Marshal(map[string][]string{"keys": keys})
	if err != nil {
		return nil, fmt.Errorf("encode keys: %w", err)
	}
	err = c.do(ctx, call{method: http.MethodPost, path: "/v1/cancellations", body: body, timeout: requestTimeout}, &reply)
	if err == nil && reply.Reason != "" {
		return reply.Jobs, &Problem{Status: http.StatusNotFound, Code: "unknown", Detail: reply.Reason}
	}
	return reply.Jobs, err
}

// Apply applies a manifest and returns the version in force.
func (c *Client) Apply(ctx context.Context, text []byte) (uint64, error) {
	var reply struct {
		Version uint64 `json:"version"`
	}
	err := c.do(ctx, call{method: http.MethodPut, path: "/v1/manifest", body: text, timeout: requestTimeout}, &reply)
	return reply.Version, err
}

// Evacuate starts the evacuation of a place, or ends it if over is set.
func (c *Client) Evacuate(ctx context.Context, place string, over bool) (EvacuationReply, error) {
	var reply EvacuationReply
	method := http.MethodPut
	if over {
		method = http.MethodDelete
	}
	err := c.do(ctx, call{method: method, path: "/v1/evacuations/" + url.PathEscape(place), timeout: requestTimeout}, &reply)
	return reply, err
}

// EvacuationReply is the reply to an acknowledged order.
type EvacuationReply struct {
	Place  string `json:"place"`
	Status string `json:"status"` // evacuated or returned
}

// Explanation is what the leader would decide now about a job.
type Explanation struct {
	Phase   string           `json:"phase,omitempty"`
	Refusal string           `json:"refusal,omitempty"` // why the job would not be accepted
	Starts  []map[string]any `json:"starts"`
	Stops   []map[string]any `json:"stops"`
	Waits   []map[string]any `json:"waits"`
}

// Explain explains a job that is not submitted.
func (c *Client) Explain(ctx context.Context, d parser.Description) (Explanation, error) {
	var reply Explanation
	body, err := json.Marshal(d)
	if err != nil {
		return reply, fmt.Errorf("encode description: %w", err)
	}
	err = c.do(ctx, call{method: http.MethodPost, path: "/v1/explanations", body: body, timeout: requestTimeout}, &reply)
	return reply, err
}

// ExplainJob explains a known job of a queue.
func (c *Client) ExplainJob(ctx context.Context, id string) (Explanation, error) {
	var reply Explanation
	err := c.do(ctx, call{method: http.MethodGet, path: "/v1/explanations/" + url.PathEscape(id), timeout: requestTimeout}, &reply)
	return reply, err
}

// Get reads one of the operator views into out.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	return c.do(ctx, call{method: http.MethodGet, path: path, timeout: requestTimeout}, out)
}

// Drain drains the current entry, which is the first one on a new client. It does not retry.
func (c *Client) Drain(ctx context.Context) error {
	var reply struct{}
	return c.send(ctx, call{method: http.MethodPost, path: "/v1/drain", timeout: requestTimeout}, &reply)
}

// ParseEntries parses entry addresses. Each item may be a list separated by commas.
func ParseEntries(list []string) ([]netip.AddrPort, error) {
	var entries []netip.AddrPort
	for _, item := range list {
		for text := range strings.SplitSeq(item, ",") {
			entry, err := netip.ParseAddrPort(strings.TrimSpace(text))
			if err != nil {
				return nil, fmt.Errorf("entry %q: want an IP address and a port", text)
			}
			entries = append(entries, entry)
		}
	}
	return entries, nil
}
