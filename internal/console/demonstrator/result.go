package demonstrator

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/executor"
)

// traceRecorder collects the starts and ends of runs as the workers execute them.
type traceRecorder struct {
	mu     sync.Mutex
	traces map[string][]executor.TaskEvent // by job
}

func newTraceRecorder() *traceRecorder {
	return &traceRecorder{traces: map[string][]executor.TaskEvent{}}
}

func (w *traceRecorder) observe(t executor.TaskEvent) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.traces[t.Job] = append(w.traces[t.Job], t)
}

// attempts returns the number of attempts of a job that started on a worker.
func (w *traceRecorder) attempts(job string) int {
	seen := map[uint32]bool{}
	for _, t := range w.traces[job] {
		seen[t.Attempt] = true
	}
	return len(seen)
}

// partial returns the number of gang attempts that ran with only some members for longer than bound.
func (w *traceRecorder) partial(bound time.Duration) int {
	n := 0
	for _, traces := range w.traces {
		byAttempt := map[uint32][]executor.TaskEvent{}
		for _, t := range traces {
			byAttempt[t.Attempt] = append(byAttempt[t.Attempt], t)
		}
		for _, list := range byAttempt {
			if ranPartially(list, bound) {
				n++
			}
		}
	}
	return n
}

// ranPartially reports whether some but not all members ran for longer than bound.
func ranPartially(list []executor.TaskEvent, bound time.Duration) bool {
	slices.SortFunc(list, func(a, b executor.TaskEvent) int { return a.Time.Compare(b.Time) })
	running := 0
	var since time.Time
	for _, t := range list {
		if !since.IsZero() && t.Time.Sub(since) > bound {
			return true
		}
		if t.Running {
			running++
		} else {
			running--
		}
		since = time.Time{}
		if running > 0 && running < t.Members {
			since = t.Time
		}
	}
	return false
}

// Row summarises the results that the callers of one organisation received.
type Row struct {
	Org           string  `json:"organisation,omitempty"`
	Jobs          int     `json:"jobs"`
	Done          int     `json:"done"`
	Failed        int     `json:"failed"`
	NotRun        int     `json:"notrun"`
	Unknown       int     `json:"unknown"`
	Doubled       int     `json:"doubled"`
	Lost          int     `json:"lost"`
	Partial       int     `json:"partial"`
	P50           float64 `json:"p50"` // seconds
	P99           float64 `json:"p99"` // seconds
	Fragmentation float64 `json:"fragmentation"`

	latencies []time.Duration
}

// Result combines the results of all fleets.
type Result struct {
	Row
	rows          []*Row
	fragmentation []float64
}

func (c *loadRun) evaluate(list []request) *Result {
	w := c.fleet.traces
	w.mu.Lock()
	defer w.mu.Unlock()
	r := &Result{fragmentation: c.fragmentation}
	byOrg := map[string]*Row{}
	for _, org := range c.fleet.user.Organisations {
		byOrg[org] = &Row{Org: org}
		r.rows = append(r.rows, byOrg[org])
	}
	for i, q := range list {
		byOrg[q.org].add(q, c.results[i], w.attempts(scheduler.JobID(q.org, q.key)))
	}
	t := c.fleet.timing
	r.Partial = w.partial(t.LostAfter() + t.ContactTimeout)
	return r
}

// add counts the result of one job. Doubled counts three violations: a non-idempotent job that started more
// than once, a job answered as not run although it started, and a repeated request with another answer.
// Lost counts jobs whose calls failed, that got no answer or that got the answer of another request.
func (row *Row) add(q request, s callResult, attempts int) {
	row.Jobs++
	if s.answer == nil || s.err != nil {
		row.Lost++
		return
	}
	row.latencies = append(row.latencies, s.elapsed)
	ranTwice := !q.job.IsIdempotent() && attempts > 1
	wronglyNotRun := s.answer.Outcome == scheduler.NotRun && attempts > 0
	mismatch := s.resent == nil || s.resent.Outcome != s.answer.Outcome || string(s.resent.Body) != string(s.answer.Body)
	if ranTwice || wronglyNotRun || mismatch {
		row.Doubled++
	}
	switch s.answer.Outcome {
	case scheduler.Done:
		row.Done++
		if !echoesKey(q, s.answer.Body) {
			row.Lost++
		}
	case scheduler.Failed:
		row.Failed++
	case scheduler.NotRun:
		row.NotRun++
	case scheduler.Unknown:
		row.Unknown++
	}
}

// echoesKey reports whether the body is complete and echoes the key of this request.
func echoesKey(q request, body []byte) bool {
	var reply struct {
		Echo string `json:"echo"`
	}
	return json.Unmarshal(body, &reply) == nil && reply.Echo == q.key
}

func (r *Result) merge(o *Result) {
	r.rows = append(r.rows, o.rows...)
	r.fragmentation = append(r.fragmentation, o.fragmentation...)
	r.Partial += o.Partial
}

// computeTotals sums up all rows and computes the quantiles.
func (r *Result) computeTotals() {
	for _, row := range r.rows {
		r.Jobs += row.Jobs
		r.Done += row.Done
		r.Failed += row.Failed
		r.NotRun += row.NotRun
		r.Unknown += row.Unknown
		r.Doubled += row.Doubled
		r.Lost += row.Lost
		r.latencies = append(r.latencies, row.latencies...)
		row.setQuantiles()
	}
	r.setQuantiles()
	for _, f := range r.fragmentation {
		r.Fragmentation += f / float64(len(r.fragmentation))
	}
}

func (row *Row) setQuantiles() {
	if len(row.latencies) == 0 {
		return
	}
	slices.Sort(row.latencies)
	quantile := func(q float64) float64 { return row.latencies[int(q*float64(len(row.latencies)-1))].Seconds() }
	row.P50, row.P99 = quantile(0.50), quantile(0.99)
}

// HasViolations reports whether any job was doubled or lost, or any gang ran partially for too long.
func (r *Result) HasViolations() bool { return r.Doubled > 0 || r.Lost > 0 || r.Partial > 0 }

// Print writes the result as a text table.
func (r *Result) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "organisation\tjobs\tdone\tfailed\tnotrun\tunknown\tdoubled\tlost\tp50 s\tp99 s\t")
	for _, row := range append(r.rows, &r.Row) {
		name := row.Org
		if name == "" {
			name = "all"
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t\n", name, row.Jobs, row.Done,
			row.Failed, row.NotRun, row.Unknown, row.Doubled, row.Lost, row.P50, row.P99)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "partially run gangs: %d\nfragmentation: %.2f\n", r.Partial, r.Fragmentation)
	return err
}

func marshalIndent(v any) ([]byte, error) { return json.MarshalIndent(v, "", "  ") }
