package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is the response to a call. status is 0 if there was none in time.
type answer struct {
	status int
	body   []byte
}

// noPool makes each call use a connection of its own.
var noPool = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: 3 * time.Second}).DialContext}}

// call sends a request and waits for the response at most for the given time.
func call(client *http.Client, method, url, host, key string, body []byte, limit time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	if host != "" {
		q.Host = host
		q.Header.Set("X-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	}
	if key != "" {
		q.Header.Set("X-Api-Key", key)
	}
	q.Header.Set("Content-Type", "application/json")
	r, err := client.Do(q)
	if err != nil {
		return answer{}
	}
	defer func() { _ = r.Body.Close() }()
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return answer{}
	}
	return answer{r.StatusCode, text}
}

// Names in the configuration.
const (
	host    = "nony24.example"
	prefix  = "/lohu930/"
	service = "listing-svc"
)

// tenant is an entry of the configuration.
type tenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"api_keys"`
	Priority int      `json:"priority"`
}

// configuration returns a configuration with one queue.
func configuration(version int, tenants ...tenant) []byte {
	text, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-1", "host": host, "path_prefix": prefix, "type": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 2000,
			"priority": 1, "service": service, "max_attempts": 3, "stretch": 3.0, "public": false,
		}},
		"services": []map[string]any{{
			"name": service, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false, "enforces_capacity": false, "standby": false,
		}},
		"limits":  map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	})
	if err != nil {
		panic(err) // the values above always encode
	}
	return text
}

// operatorTimeout is the time after which an operator moves on to another daemon.
const operatorTimeout = time.Second

// configure sends a configuration to the keepers in turn until one acknowledges it.
func (f *fleet) configure(keepers []*daemon, text []byte, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, d := range keepers {
			a := call(noPool, http.MethodPost, "http://"+d.at(controlPort)+"/v1/configuration/replace", "", "", text, operatorTimeout)
			if a.status == http.StatusOK {
				f.note("operator: configuration acknowledged by %s", d.name)
				return nil
			}
		}
	}
	return errors.New("no configuration was acknowledged")
}

// readVersion reads the configuration at a daemon and returns its version, 0 if it did not come.
func (f *fleet) readVersion(d *daemon) (version, status int) {
	a := call(noPool, http.MethodGet, "http://"+d.at(controlPort)+"/v1/configuration/get", "", "", nil, operatorTimeout)
	var c struct {
		Version int `json:"version"`
	}
	if a.status != http.StatusOK || json.Unmarshal(a.body, &c) != nil {
		return 0, a.status
	}
	return c.Version, a.status
}

// jobURL returns the address of a job at an entry.
func jobURL(entry *daemon, id string) string { return "http://" + entry.at(frontendPort) + prefix + id }

// step is a step of a job.
type step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu,omitempty"`
	Memory        int    `json:"mem_mb,omitempty"`
	GPU           int    `json:"gpu,omitempty"`
	Estimate      int    `json:"estimated_ms"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	Requirements  string `json:"requirements,omitempty"`
	Lasting       bool   `json:"long_running,omitempty"`
}

// job returns the body of a submission.
func job(spec string, steps ...step) []byte {
	text, err := json.Marshal(map[string]any{"task_spec": spec, "step_specs": steps})
	if err != nil {
		panic(err) // the values above always encode
	}
	return text
}

// callerTimeout is the deadline of callers.
const callerTimeout = 3 * time.Second

// submit hands in a job until it is accepted, as a caller that tries again after no clear response.
func (f *fleet) submit(entry *daemon, id, key string, body []byte) error {
	for range 5 {
		a := call(noPool, http.MethodPost, jobURL(entry, id), host, key, body, callerTimeout)
		f.note("caller: job %s handed in: %d", id, a.status)
		if a.status == http.StatusOK {
			return nil
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// phase asks for the phase of a job.
func (f *fleet) phase(entry *daemon, id, key string) (string, int) {
	a := call(noPool, http.MethodGet, jobURL(entry, id), host, key, nil, callerTimeout)
	var s struct {
		Phase string `json:"phase"`
	}
	if a.status != http.StatusOK || json.Unmarshal(a.body, &s) != nil {
		return "", a.status
	}
	return s.Phase, a.status
}
