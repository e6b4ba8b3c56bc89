package router

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Stable codes of problems. Callers may depend on them.
const (
	CodeUnauthorised = "unauthorised" // no token, or one that belongs to nobody
	CodeInvalid      = "invalid"      // the request is malformed; nothing was done
	CodeUnknown      = "unknown"      // no such job
	CodeConflict     = "conflict"     // the key or version stands with other content
	CodeRate         = "rate"         // the organisation's rate is spent; this copy was not taken
	CodeBusy         = "busy"         // the entry is full or draining; this copy was not taken
	CodeStale        = "stale"        // the entry can't confirm its manifest; this copy was not taken
	CodeUnreachable  = "unreachable"  // no leader answered; the outcome is open, send the same again
)

// problem is an error reply as RFC 9457 has it.
type problem struct {
	Type     string  `json:"type"`
	Title    string  `json:"title"`
	Status   int     `json:"status"`
	Code     string  `json:"code"`
	Detail   string  `json:"detail,omitempty"`
	Limit    float64 `json:"limit,omitempty"`    // the organisation's limit that was hit
	Version  uint64  `json:"version,omitempty"`  // manifest in force, on a conflict
	Manifest string  `json:"manifest,omitempty"` // its text
	retry    time.Duration
}

func newProblem(status int, code, detail string) *problem {
	return &problem{
		Type: "urn:bluebellgauge:problem:" + code, Title: http.StatusText(status),
		Status: status, Code: code, Detail: detail,
	}
}

func (p *problem) write(w http.ResponseWriter) {
	if p.retry > 0 {
		seconds := int((p.retry + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	writeBody(w, p.Status, "application/problem+json", p)
}

// writeBody writes a whole JSON body with its length, so that a cut one is noticed.
func writeBody(w http.ResponseWriter, status int, kind string, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", kind)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	// A caller that has gone asks again.
	_, _ = w.Write(data)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	writeBody(w, status, "application/json", body)
}
