package simulator

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/placer"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
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
	Name                                   string
	Asked, InTime, Late, Refused, Unserved int
	Owed, Earned                           float64
	LargeAsked, LargeServed                int // of the largest tenth
	FirstStart50, FirstStart95             time.Duration
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
	if how == tracker.EndDone || how == tracker.EndFailed {
		return
	}
	lost := t.done - max(t.saved, t.restored)
	if t.spec.GetCheckpoints() && how == tracker.EndStopped {
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
	jobs, mean := s.jobsOf(q)
	if len(jobs) == 0 {
		return
	}
	var starts []time.Duration
	for i, j := range jobs {
		scale := min(mostWorth, fixedWorth+(1-fixedWorth)*j.size/mean)
		s.result.Work += j.size
		served := r.settle(j, s.objective(j), q.Worth*scale, q.Late*scale)
		if i < max(len(jobs)/10, 1) {
			r.LargeAsked++
			if served {
				r.LargeServed++
			}
		}
		if !j.begunAt.IsZero() {
			starts = append(starts, j.begunAt.Sub(j.sent))
		}
		if q.Priority == 0 && j.isLateReclaim() {
			s.result.Reclaims++
		}
	}
	slices.Sort(starts)
	if n := len(starts); n > 0 {
		r.FirstStart50, r.FirstStart95 = starts[n/2], starts[n*95/100]
	}
	s.result.Owed += r.Owed
	s.result.Earned += r.Earned
	s.result.Queues = append(s.result.Queues, r)
}

// A job is worth a fixed share of its queue's worth and the rest by its size, up to a bound.
const (
	fixedWorth = 0.3
	mostWorth  = 4
)

// jobsOf returns the jobs of a queue that were not cancelled, the largest first, and their mean size.
func (s *Simulator) jobsOf(q *Queue) ([]*job, float64) {
	var jobs []*job
	sum := 0.0
	for _, j := range s.jobs {
		if j.queue == q && !j.cancel {
			jobs = append(jobs, j)
			sum += j.size
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(b.size, a.size) })
	return jobs, sum / float64(max(len(jobs), 1))
}

// settle adds up what the caller of one job got. It reports whether the job was served at all.
func (r *QueueResult) settle(j *job, objective time.Duration, worth, late float64) bool {
	r.Asked++
	r.Owed += worth
	served := !j.shown.IsZero() && (j.phase == tracker.Completed || j.hopeless && j.phase == tracker.Failed)
	switch took := j.shown.Sub(j.sent); {
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
	return served
}

// isLateReclaim reports whether an accepted urgent job began later than it must.
func (j *job) isLateReclaim() bool {
	return !j.accepted.IsZero() && !j.refused && (j.begunAt.IsZero() || j.begunAt.Sub(j.accepted) > reclaimBound)
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
	var text bytes.Buffer
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', tabwriter.AlignRight)
	rows := []string{"queue\tasked\tin time\tlate\trefused\tunserved\tearned\tlargest served\tstart p50\tstart p95\t"}
	for _, q := range r.Queues {
		rows = append(rows, fmt.Sprintf("%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%d/%d\t%v\t%v\t", q.Name, q.Asked, q.InTime, q.Late, q.Refused, q.Unserved,
			q.Earned/max(q.Owed, 1e-9), q.LargeServed, q.LargeAsked, q.FirstStart50.Round(time.Millisecond), q.FirstStart95.Round(time.Millisecond)))
	}
	rows = append(rows, fmt.Sprintf("all\t\t\t\t\t\t%.3f\t\t\t\t", r.Share()))
	_, err := io.WriteString(w, strings.Join(rows, "\n")+"\n")
	if err := errors.Join(err, w.Flush()); err != nil {
		return fmt.Errorf("print result: %w", err)
	}
	_, err = fmt.Fprintf(out, "%slost work %.3f of all, %d runs, ends %v, late reclaims %d, broken promises %d\n",
		text.String(), r.Waste/max(r.Work, 1e-9), r.Runs, r.Ends, r.Reclaims, len(r.Broken))
	return err
}
