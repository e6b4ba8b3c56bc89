// Package client is the callers' and operators' side of the HTTP interface. It tries several
// entries in turn; only requests and their retries may live here.
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
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
)

const (
	maxReply     = 64 << 20
	tryTimeout   = 15 * time.Second
	firstRetry   = 50 * time.Millisecond
	longestRetry = time.Second
	pollWait     = 5 * time.Second // of one long poll, short so that a silent connection is found
	pollSlack    = 3 * time.Second // for the reply to a long poll to arrive
)

// ErrUnreachable tells that no entry gave a usable reply in time. The outcome is open.
var ErrUnreachable = errors.New("no entry answers")

// Problem is an error reply of an entry.
type Problem struct {
	Status   int     `json:"status"`
	Code     string  `json:"code"`
	Detail   string  `json:"detail"`
	Limit    float64 `json:"limit"`
	Version  uint64  `json:"version"`
	Manifest string  `json:"manifest"`
}

// Error renders the problem for people.
func (p *Problem) Error() string {
	if p.Limit > 0 {
		return fmt.Sprintf("%s: %s (limit %g)", p.Code, p.Detail, p.Limit)
	}
	return p.Code + ": " + p.Detail
}

// retryable reports whether another entry, or the same one later, may take the request.
func (p *Problem) retryable() bool {
	switch p.Code {
	case "busy", "stale", "unreachable", "rate":
		return true
	}
	return p.Status >= http.StatusInternalServerError
}

// Client speaks to the entries with one token.
type Client struct {
	entries []netip.AddrPort
	token   string
	http    *http.Client
	next    int
}

// New returns a client. It isn't safe for concurrent use.
func New(entries []netip.AddrPort, token string) *Client {
	return &Client{
		entries: entries, token: token,
		http: &http.Client{Transport: &http.Transport{ResponseHeaderTimeout: tryTimeout}},
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

// do sends a request to the entries in turn until one gives a final reply or ctx ends. All
// requests of this interface have the same effect when they arrive twice.
func (c *Client) do(ctx context.Context, q call, out any) error {
	wait := &backoff.ExponentialBackOff{
		InitialInterval: firstRetry, MaxInterval: longestRetry, Multiplier: 2, RandomizationFactor: 0.5,
	}
	wait.Reset()
	for {
		err := c.try(ctx, q, out)
		var problem *Problem
		if err == nil || errors.As(err, &problem) && !problem.retryable() {
			return err
		}
		c.next++
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrUnreachable, err)
		case <-time.After(wait.NextBackOff()):
		}
	}
}

func (c *Client) try(ctx context.Context, q call, out any) error {
	ctx, cancel := context.WithTimeout(ctx, q.timeout)
	defer cancel()
	entry := c.entries[c.next%len(c.entries)]
	request, err := http.NewRequestWithContext(ctx, q.method, "http://"+entry.String()+q.path, bytes.NewReader(q.body))
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	if q.header != nil {
		request.Header = q.header.Clone()
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err != nil {
		return fmt.Errorf("the reply was cut: %w", err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return problemOf(response, body)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("the reply is malformed: %w", err)
	}
	return checkDigest(response.Header.Get("Answer-Digest"), out)
}

func problemOf(r *http.Response, body []byte) error {
	p := &Problem{Status: r.StatusCode}
	if err := json.Unmarshal(body, p); err != nil || p.Code == "" {
		p.Code, p.Detail = "unreachable", r.Status
	}
	return p
}

// checkDigest makes sure that the body of an answer came whole.
func checkDigest(digest string, out any) error {
	view, ok := out.(*scheduler.JobView)
	if !ok || view.Answer == nil {
		return nil
	}
	sum := sha256.Sum256(view.Answer.Body)
	want := "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
	if digest != want {
		return errors.New("the answer does not match its digest")
	}
	return nil
}

// Submit hands a job over and returns how it stands.
func (c *Client) Submit(ctx context.Context, key string, job parser.Job) (scheduler.JobView, error) {
	var view scheduler.JobView
	body, err := json.Marshal(job)
	if err != nil {
		return view, fmt.Errorf("encode job: %w", err)
	}
	header := http.Header{"Idempotency-Key": {key}, "Content-Type": {"application/json"}}
	err = c.do(ctx, call{method: http.MethodPost, path: "/v1/jobs", header: header, body: body, timeout: tryTimeout}, &view)
	return view, err
}

// Answer waits for the answer of a job until ctx ends.
func (c *Client) Answer(ctx context.Context, key string) (scheduler.JobView, error) {
	for {
		var view scheduler.JobView
		path := "/v1/jobs/" + key + "/answer?wait=" + pollWait.String()
		err := c.do(ctx, call{method: http.MethodGet, path: path, timeout: pollWait + pollSlack}, &view)
		if err != nil || view.Answer != nil || ctx.Err() != nil {
			return view, err
		}
	}
}

// Job returns how a job stands.
func (c *Client) Job(ctx context.Context, key string) (scheduler.JobView, error) {
	var view scheduler.JobView
	err := c.do(ctx, call{method: http.MethodGet, path: "/v1/jobs/" + key, timeout: tryTimeout}, &view)
	return view, err
}

// Cancel cancels jobs in one go.
func (c *Client) Cancel(ctx context.Context, keys []string) ([]scheduler.JobView, error) {
	var reply struct {
		Jobs   []scheduler.JobView `json:"jobs"`
		Reason string              `json:"reason"`
	}
	body, err := json.Marshal(map[string][]string{"keys": keys})
	if err != nil {
		return nil, fmt.Errorf("encode keys: %w", err)
	}
	err = c.do(ctx, call{method: http.MethodPost, path: "/v1/cancellations", body: body, timeout: tryTimeout}, &reply)
	if err == nil && reply.Reason != "" {
		return reply.Jobs, &Problem{Status: http.StatusNotFound, Code: "unknown", Detail: reply.Reason}
	}
	return reply.Jobs, err
}

// Apply puts a manifest in force and returns the version in force.
func (c *Client) Apply(ctx context.Context, text []byte) (uint64, error) {
	var reply struct {
		Version uint64 `json:"version"`
	}
	err := c.do(ctx, call{method: http.MethodPut, path: "/v1/manifest", body: text, timeout: tryTimeout}, &reply)
	return reply.Version, err
}

// Get reads one of the operators' views into out.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	return c.do(ctx, call{method: http.MethodGet, path: path, timeout: tryTimeout}, out)
}

// Drain drains the first entry of the client.
func (c *Client) Drain(ctx context.Context) error {
	var reply struct{}
	return c.try(ctx, call{method: http.MethodPost, path: "/v1/drain", timeout: tryTimeout}, &reply)
}

// ParseEntries reads the addresses of entries.
func ParseEntries(list []string) ([]netip.AddrPort, error) {
	var entries []netip.AddrPort
	for _, item := range list {
		for text := range strings.SplitSeq(item, ",") {
			entry, err := netip.ParseAddrPort(strings.TrimSpace(text))
			if err != nil {
				return nil, fmt.Errorf("entry %q: want an IP number and a port", text)
			}
			entries = append(entries, entry)
		}
	}
	return entries, nil
}
