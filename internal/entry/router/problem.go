package router

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Codes of problems. They are stable; callers may depend on them. "Not accepted" applies to this request only;
// an earlier one with the same key may have been accepted.
const (
	CodeUnauthorised = "unauthorised" // no token or an unknown one
	CodeInvalid      = "invalid"      // the request is malformed and had no effect
	CodeUnknown      = "unknown"      // no such job or place
	CodeConflict     = "conflict"     // the key or version exists with different content
	CodeRate         = "rate"         // the organisation's rate is exceeded; this request was not accepted
	CodeBusy         = "busy"         // the entry is at its limit or draining; this request was not accepted
	CodeStale        = "stale"        // the entry can't confirm that its manifest is current; this request was not accepted
	CodeUnreachable  = "unreachable"  // no leader replied; the outcome is unknown, repeat the same request
)

// problem is an error response in the format of RFC 9457.
type problem struct {
	Type     string  `json:"type"`
	Title    string  `json:"title"`
	Status   int     `json:"status"`
	Code     string  `json:"code"`
	Detail   string  `json:"detail,omitempty"`
	Limit    float64 `json:"limit,omitempty"`    // the limit that was exceeded
	Version  uint64  `json:"version,omitempty"`  // of the manifest in force, on a conflict
	Manifest string  `json:"manifest,omitempty"` // text of that manifest
	retry    time.Duration
}

func newProblem(status int, code, detail string) *problem {
	return &problem{
		Type: "urn:bluebellgauge:problem:" + code, Title: http.StatusText(status),
		Status: status, Code: code, Detail: detail,
	}
}

// RefuseConnection responds to a request that is not served because too many connections are open.
func RefuseConnection(w http.ResponseWriter, _ *http.Request) {
	p := newProblem(http.StatusServiceUnavailable, CodeBusy, "too many connections at this entry; this copy was not taken")
	p.retry = busyRetryAfter
	p.write(w)
}

// ReplyPanicked responds to a request whose handler panicked. It may have had an effect if it was to have one.
func ReplyPanicked(w http.ResponseWriter, q *http.Request) {
	p := newProblem(http.StatusServiceUnavailable, CodeUnreachable, "the entry failed and the outcome is open, send the same request again")
	if q.Method == http.MethodGet || q.Method == http.MethodHead {
		p = newProblem(http.StatusInternalServerError, CodeUnreachable, "the entry failed")
	}
	p.retry = time.Second
	p.write(w)
}

func (p *problem) write(w http.ResponseWriter) {
	if p.retry > 0 {
		seconds := int((p.retry + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	writeBody(w, p.Status, "application/problem+json", p)
}

// writeBody writes a JSON body with its length, so that clients detect a truncated one.
func writeBody(w http.ResponseWriter, status int, kind string, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", kind)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	// If the write fails, the client repeats the request.
	_, _ = w.Write(data)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	writeBody(w, status, "application/json", body)
}
