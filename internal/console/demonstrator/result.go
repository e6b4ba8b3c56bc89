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

// witness keeps what workers truly did.
type witness struct {
	mu   sync.Mutex
	runs map[string][]executor.Trace // by job
}

func newWitness() *witness { return &witness{runs: map[string][]executor.Trace{}} }

func (w *witness) observe(t executor.Trace) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[t.Job] = append(w.runs[t.Job], t)
}

// attempts returns how many attempts of a job truly began.
func (w *witness) attempts(job string) int {
	seen := map[uint32]bool{}
	for _, t := range w.runs[job] {
		seen[t.Attempt] = true
	}
	return len(seen)
}

// partial returns how many attempts of gangs ran in part for longer than a bound.
func (w *witness) partial(bound time.Duration) int {
	n := 0
	for _, traces := range w.runs {
		byAttempt := map[uint32][]executor.Trace{}
		for _, t := range traces {
			byAttempt[t.Attempt] = append(byAttempt[t.Attempt], t)
		}
		for _, list := range byAttempt {
			if ranInPart(list, bound) {
				n++
			}
		}
	}
	return n
}

// ranInPart reports whether some but not all members ran for longer than a bound.
func ranInPart(list []executor.Trace, bound time.Duration) bool {
	slices.SortFunc(list, func(a, b executor.Trace) int { return a.Time.Compare(b.Time) })
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

// Row is what one organisation's callers saw.
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

	times []time.Duration
}

// Result is what was seen in all fleets.
type Result struct {
	Row
	rows  []*Row
	frags []float64
}

func (c *campaign) judge(list []request) *Result {
	w := c.fleet.watch
	w.mu.Lock()
	defer w.mu.Unlock()
	r := &Result{frags: c.frags}
	byOrg := map[string]*Row{}
	for _, org := range c.fleet.user.Organisations {
		byOrg[org] = &Row{Org: org}
		r.rows = append(r.rows, byOrg[org])
	}
	for i, q := range list {
		byOrg[q.org].add(q, c.seen[i], w.attempts(scheduler.JobID(q.org, q.key)))
	}
	t := c.fleet.timing
	r.Partial = w.partial(t.LostAfter() + t.Silent)
	return r
}

// add judges one job by what its caller saw and how often it truly ran.
func (row *Row) add(q request, s sighting, attempts int) {
	row.Jobs++
	if s.answer == nil || s.err != nil {
		row.Lost++
		return
	}
	row.times = append(row.times, s.elapsed)
	once := !q.job.IsIdempotent() && attempts > 1
	untrue := s.answer.Outcome == scheduler.NotRun && attempts > 0
	differs := s.again == nil || s.again.Outcome != s.answer.Outcome || string(s.again.Body) != string(s.answer.Body)
	if once || untrue || differs {
		row.Doubled++
	}
	switch s.answer.Outcome {
	case scheduler.Done:
		row.Done++
		if !ownAnswer(q, s.answer.Body) {
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

// ownAnswer reports whether the body is the whole answer to just this request.
func ownAnswer(q request, body []byte) bool {
	var reply struct {
		Echo string `json:"echo"`
	}
	return json.Unmarshal(body, &reply) == nil && reply.Echo == q.key
}

func (r *Result) merge(o *Result) {
	r.rows = append(r.rows, o.rows...)
	r.frags = append(r.frags, o.frags...)
	r.Partial += o.Partial
}

// summarise fills in the totals.
func (r *Result) summarise() {
	for _, row := range r.rows {
		r.Jobs += row.Jobs
		r.Done += row.Done
		r.Failed += row.Failed
		r.NotRun += row.NotRun
		r.Unknown += row.Unknown
		r.Doubled += row.Doubled
		r.Lost += row.Lost
		r.times = append(r.times, row.times...)
		row.quantiles()
	}
	r.quantiles()
	for _, f := range r.frags {
		r.Fragmentation += f / float64(len(r.frags))
	}
}

func (row *Row) quantiles() {
	if len(row.times) == 0 {
		return
	}
	slices.Sort(row.times)
	at := func(q float64) float64 { return row.times[int(q*float64(len(row.times)-1))].Seconds() }
	row.P50, row.P99 = at(0.50), at(0.99)
}

// Broken reports whether a promise was broken.
func (r *Result) Broken() bool { return r.Doubled > 0 || r.Lost > 0 || r.Partial > 0 }

// Print writes the table for people.
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
	_, err := fmt.Fprintf(out, "gangs seen in part: %d\nfragmentation: %.2f\n", r.Partial, r.Fragmentation)
	return err
}

func marshalIndent(v any) ([]byte, error) { return json.MarshalIndent(v, "", "  ") }
