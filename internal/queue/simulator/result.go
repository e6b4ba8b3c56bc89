package simulator

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/bookkeeper"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/placer"
)

// Result is what came out of a simulation.
type Result struct {
	Owed, Earned float64 // worth of all jobs, and what was earned of it
	Waste        float64 // core-seconds of work that was lost
	Work         float64 // core-seconds of all jobs
	Runs         int
	Ends         map[string]int
	Alone        int // members of gangs whose others did not come, without trouble near
	Queues       []QueueResult
	Reclaims     int      // urgent jobs that began later than the bound
	Stuck        []string // accepted jobs that have not ended long after the last arrival
	Broken       []string // promises
}

// QueueResult is what one kind of job got.
type QueueResult struct {
	Name                                    string
	Asked, InTime, Late, Refused, Unserved  int
	Owed, Earned                            float64
	LargeAsked, LargeServed                 int // of the largest tenth
	FirstStart50, FirstStart95, Reclaimed99 time.Duration
}

// Share returns what was earned of what was owed.
func (r *Result) Share() float64 {
	if r.Owed == 0 {
		return 1
	}
	return r.Earned / r.Owed
}

// reclaimBound is within which all tasks of an urgent job must have begun.
const reclaimBound = 5700 * time.Millisecond

// count takes note of how a run ended and of the work that was lost.
func (s *Simulator) count(t *run, how string) {
	if s.result.Ends == nil {
		s.result.Ends = map[string]int{}
	}
	s.result.Ends[how]++
	if how == bookkeeper.EndDone || how == bookkeeper.EndFailed {
		return
	}
	lost := t.done - max(t.saved, t.restored)
	if t.spec.GetCheckpoints() && how == bookkeeper.EndStopped {
		lost = 0
	}
	s.result.Waste += max(lost, 0).Seconds() * float64(placer.Need(t.spec).Weight()) / 1000
}

// settle adds up what the callers got.
func (s *Simulator) settle() {
	for _, j := range s.book.Open() {
		if !j.Ended() {
			s.result.Stuck = append(s.result.Stuck, fmt.Sprintf("job %s of %s, %s, %d runs", j.Work.GetId(), j.Work.GetQueue(), j.Phase, j.Active()))
		}
	}
	for i := range s.opts.Load.Queues {
		s.settleQueue(&s.opts.Load.Queues[i])
	}
}

func (s *Simulator) settleQueue(q *Queue) {
	r := QueueResult{Name: q.Name}
	var jobs []*job
	mean := 0.0
	for _, j := range s.jobs {
		if j.queue == q && !j.cancel {
			jobs = append(jobs, j)
			mean += j.size
		}
	}
	if len(jobs) == 0 {
		return
	}
	mean /= float64(len(jobs))
	slices.SortFunc(jobs, func(a, b *job) int { return int(1000 * (b.size - a.size)) })
	var starts []time.Duration
	for i, j := range jobs {
		worth := q.Worth * min(4, 0.3+0.7*j.size/mean)
		late := q.Late * min(4, 0.3+0.7*j.size/mean)
		r.Asked++
		r.Owed += worth
		s.result.Work += j.size
		served := !j.shown.IsZero() && (j.phase == bookkeeper.Completed || j.hopeless && j.phase == bookkeeper.Failed)
		took := j.shown.Sub(j.sent)
		switch objective := s.objective(j); {
		case !served && j.refused:
			r.Refused++
		case !served, took > 3*objective:
			r.Unserved++
		case took <= objective:
			r.InTime++
			r.Earned += worth
		default:
			r.Late++
			r.Earned += late
		}
		if i < max(len(jobs)/10, 1) {
			r.LargeAsked++
			if served {
				r.LargeServed++
			}
		}
		if !j.begunAt.IsZero() {
			starts = append(starts, j.begunAt.Sub(j.sent))
		}
		if q.Priority == 0 && !j.accepted.IsZero() && !j.refused && (j.begunAt.IsZero() || j.begunAt.Sub(j.accepted) > reclaimBound) {
			s.result.Reclaims++
		}
	}
	slices.Sort(starts)
	if n := len(starts); n > 0 {
		r.FirstStart50, r.FirstStart95, r.Reclaimed99 = starts[n/2], starts[n*95/100], starts[n*99/100]
	}
	s.result.Owed += r.Owed
	s.result.Earned += r.Earned
	s.result.Queues = append(s.result.Queues, r)
}

// objective returns the time within which a job earns its whole worth.
func (s *Simulator) objective(j *job) time.Duration {
	chain := time.Duration(0)
	for _, step := range j.durations {
		chain += slices.Max(step)
	}
	return time.Duration(j.queue.Stretch*float64(chain)) + j.queue.Target
}

// Print writes the result as a table.
func (r *Result) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "queue\tasked\tin time\tlate\trefused\tunserved\tearned\tlargest served\tstart p50\tstart p95\t")
	for _, q := range r.Queues {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%d/%d\t%v\t%v\t\n", q.Name, q.Asked, q.InTime, q.Late, q.Refused, q.Unserved,
			q.Earned/max(q.Owed, 1e-9), q.LargeServed, q.LargeAsked, q.FirstStart50.Round(time.Millisecond), q.FirstStart95.Round(time.Millisecond))
	}
	fmt.Fprintf(w, "all\t\t\t\t\t\t%.3f\t\t\t\t\n", r.Share())
	if err := w.Flush(); err != nil {
		return fmt.Errorf("print result: %w", err)
	}
	_, err := fmt.Fprintf(out, "lost work %.3f of all, %d runs, ends %v, late reclaims %d, broken promises %d\n",
		r.Waste/max(r.Work, 1e-9), r.Runs, r.Ends, r.Reclaims, len(r.Broken))
	return err
}
