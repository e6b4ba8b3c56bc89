package main

import (
	"context"
	"encoding/json"
	"errors"
	"time"
)

const (
	service     = "huvo11a"
	host        = "nony24.example"
	prefix      = "/lohu930/"
	tightPrefix = "/pule252/" // of a queue of the same priority with less time for its jobs
	key         = "d4a3hwrr6x73d3zji9n7"
	deadline    = 3 * time.Second
	ackTime     = time.Second // for a response to the operator; more for large bodies
)

// configuration returns a valid configuration with two queues.
func configuration(version int) []byte {
	route := func(name, path string, stretch float64) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": path, "type": "non_idempotent", "timeout_ms": 3000,
			"target_latency_ms": 2000, "priority": 1, "service": service, "max_attempts": 3, "stretch": stretch, "public": false,
		}
	}
	text, _ := json.Marshal(map[string]any{ // always encodes
		"version": version,
		"routes":  []any{route("r-ce7ejsm", prefix, 3), route("r-3ajwyy7", tightPrefix, 1.5)},
		"services": []any{map[string]any{
			"name": service, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false, "enforces_capacity": false, "standby": false,
		}},
		"limits":  map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "kaje80", "api_keys": []string{key}, "priority": 1, "guaranteed": map[string]int{"gpu": 8}}},
	})
	return text
}

// replaceConfiguration sends a configuration as the operator does: to one daemon after the other, with increasing
// backoff, until there is a clear response or the context ends. It returns the status, or 0.
func (d *deployment) replaceConfiguration(ctx context.Context, body []byte) int {
	wait := 200 * time.Millisecond
	timeout := ackTime + time.Duration(len(body))*4*time.Microsecond
	for n := 0; ctx.Err() == nil; n++ {
		k := d.keepers[n%len(d.keepers)]
		r := call(ctx, timeout, "POST", "http://"+k.port(controlPort)+"/v1/configuration/replace", nil, body)
		d.record.add("operator: configuration of %d bytes to %s: status %d %v", len(body), k.name, r.status, shorten(r.err))
		if r.status/100 == 2 || r.status/100 == 4 && r.status != 408 && r.status != 429 {
			return r.status
		}
		sleep(ctx, wait)
		wait = min(wait*3/2, 2*time.Second)
	}
	return 0
}

func shorten(err error) string {
	if err == nil {
		return ""
	}
	text := err.Error()
	return text[max(0, len(text)-80):]
}

func headers() map[string]string {
	return map[string]string{"Host": host, "X-Api-Key": key, "X-Deadline-Ms": "3000"}
}

// submit hands a job in, with the retries of a client. It reports whether the job was accepted.
func (d *deployment) submit(path, spec string, steps []map[string]any) bool {
	body, _ := json.Marshal(map[string]any{"task_spec": spec, "step_specs": steps}) // always encodes
	for n := range 5 {
		e := d.entries[n%len(d.entries)]
		r := call(d.ctx, deadline, "POST", "http://"+e.port(frontendPort)+path, headers(), body)
		d.record.add("client: POST %s (%d bytes) to %s: status %d %v", path, len(body), e.name, r.status, shorten(r.err))
		if r.status/100 == 2 {
			return true
		}
		sleep(d.ctx, 500*time.Millisecond)
	}
	return false
}

var errNoAnswer = errors.New("no answer")

// phase asks for the state of a job, with retries at other entries.
func (d *deployment) phase(id string) (string, error) {
	for n := range 4 {
		e := d.entries[n%len(d.entries)]
		r := call(d.ctx, deadline, "GET", "http://"+e.port(frontendPort)+prefix+id, headers(), nil)
		var state struct{ Phase string }
		if r.status == 200 && json.Unmarshal(r.body, &state) == nil {
			return state.Phase, nil
		}
		d.record.add("client: GET %s at %s: status %d %v", id, e.name, r.status, shorten(r.err))
		if r.status == 410 {
			return "unknown", nil
		}
		sleep(d.ctx, 500*time.Millisecond)
	}
	return "", errNoAnswer
}
