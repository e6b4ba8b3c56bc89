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

// Result is the result of a simulation.
type Result struct {
	OfferedValue, EarnedValue float64 // value of all jobs that were not cancelled, and the part of it earned
	LostWork                  float64 // core-seconds
	Work                      float64 // core-seconds of all jobs that were not cancelled
	RestoreWork               float64 // core-seconds for which resumed runs held their workers before they made progress
	StoppedWork               float64 // core-seconds of LostWork that were lost by stops for other work
	Stops, EarlyStops         int     // runs stopped for other work, and those of them within earlyStop of their start
	Organisations             map[string]Earnings
	GangWaits                 [gangSizes][]time.Duration // from submission to the start of the first step, by size of the gang
	Runs                      int
	Ends                      map[string]int  // runs by how they ended
	GangTimeouts              int             // members ended by gangTimeout on connected workers
	DeadlyCrashes             int             // crashes of workers by deadly tasks
	LostBeside                float64         // core-seconds of other runs lost by these crashes
	GivenUp                   int             // jobs with a deadly task that were reported as failed
	Growths                   int             // growths of a worker's capacity that were reported
	GrowthDelays              []time.Duration // from these reports to the next start on the worker, if there was one
	Queues                    []QueueResult
	TaskTime, TaskWork        float64  // seconds that tasks with images took in their last runs, and would take alone on a worker of speed 1
	TailReadings, TailsOver   int      // readings of the tails of lasting tasks, those above their bound
	LateReclaims              int      // accepted jobs of priority 0 that started later than maxReclaimTime
	Unfinished                []string // accepted jobs that have not ended drainTime after the last arrival
	Violations                []string // invariant violations, at most maxViolations
}

// Earnings are the offered and the earned value of some jobs.
type Earnings struct{ Offered, Earned float64 }

// WorstOrganisation returns the least share of its offered value that an organisation earned.
func (r *Result) WorstOrganisation() float64 {
	worst := 1.0
	for _, e := range r.Organisations {
		worst = min(worst, e.Earned/max(e.Offered, 1e-9))
	}
	return worst
}

// WorstQueue returns the least share of its offered value that a queue earned.
func (r *Result) WorstQueue() float64 {
	worst := 1.0
	for _, q := range r.Queues {
		worst = min(worst, q.EarnedValue/max(q.OfferedValue, 1e-9))
	}
	return worst
}

const (
	earlyStop = time.Second
	gangSizes = 3 // up to 4, up to 16 and more members
)

func gangSize(members int32) int {
	switch {
	case members <= 4:
		return 0
	case members <= 16:
		return 1
	}
	return 2
}

// QueueResult is the result for the jobs of one queue.
type QueueResult struct {
	Name                                       string
	Submitted, InTime, Late, Refused, Unserved int
	OfferedValue, EarnedValue                  float64
	LargeSubmitted, LargeServed                int           // of the largest tenth of the jobs
	StartP50, StartP95                         time.Duration // from submission to the start of the first step's last task
}

// EarnedShare returns the share of the offered value that was earned.
func (r *Result) EarnedShare() float64 {
	if r.OfferedValue == 0 {
		return 1
	}
	return r.EarnedValue / r.OfferedValue
}

// maxReclaimTime is the time from acceptance within which all tasks of an urgent job's first step must have
// started.
const maxReclaimTime = 5700 * time.Millisecond

// countEnd counts the end of a run and adds up the work lost by it.
func (s *Simulator) countEnd(r *run, how string) {
	if s.result.Ends == nil {
		s.result.Ends = map[string]int{}
	}
	s.result.Ends[how]++
	if how == tracker.EndDone || how == tracker.EndFailed {
		return
	}
	s.result.LostWork += r.lostWork(how)
	if (how == tracker.EndStopped || how == tracker.EndGangEnded && r.stopping) && !r.job.cancelSent {
		s.result.Stops++
		s.result.StoppedWork += r.lostWork(how)
		if s.now.Sub(r.received) < earlyStop {
			s.result.EarlyStops++
		}
	}
}

// weight returns the resources of the run in cores.
func (r *run) weight() float64 { return float64(placer.Need(r.spec).Weight()) / 1000 }

// lostWork returns the core-seconds that are lost if the run ends now without a result.
func (r *run) lostWork(how string) float64 {
	lost := r.done - max(r.checkpoint, r.restored)
	if r.spec.GetCheckpoints() && how == tracker.EndStopped {
		lost = 0
	}
	return max(lost, 0).Seconds() * r.weight()
}

// collectResult computes the result after the last event.
func (s *Simulator) collectResult() {
	s.checkDeadlyJobsEnded()
	for _, j := range s.state.Open() {
		if !j.Ended() {
			s.result.Unfinished = append(s.result.Unfinished, fmt.Sprintf("job %s of %s, %s, %d runs", j.Work.GetId(), j.Work.GetQueue(), j.Phase, j.Active()))
		}
	}
	for i := range s.opts.Load.Queues {
		s.collectQueue(&s.opts.Load.Queues[i])
	}
}

func (s *Simulator) collectQueue(q *Queue) {
	r := QueueResult{Name: q.Name}
	jobs, mean := s.jobsOf(q)
	if len(jobs) == 0 {
		return
	}
	var starts []time.Duration
	for i, j := range jobs {
		scale := min(maxValueScale, fixedValueShare+(1-fixedValueShare)*j.size/mean)
		s.result.Work += j.size
		earned := r.EarnedValue
		served := r.addJob(j, s.objective(j), q.Value*scale, q.LateValue*scale)
		s.addOrganisation(j, q.Value*scale, r.EarnedValue-earned)
		if i < max(len(jobs)/10, 1) {
			r.LargeSubmitted++
			if served {
				r.LargeServed++
			}
		}
		if !j.firstStepStarted.IsZero() {
			starts = append(starts, j.firstStepStarted.Sub(j.submitted))
			if q.Gang {
				size := gangSize(j.work.GetSteps()[0].GetCount())
				s.result.GangWaits[size] = append(s.result.GangWaits[size], j.firstStepStarted.Sub(j.submitted))
			}
		}
		if q.Priority == 0 && j.isLateReclaim() {
			s.result.LateReclaims++
		}
	}
	slices.Sort(starts)
	if n := len(starts); n > 0 {
		r.StartP50, r.StartP95 = starts[n/2], starts[n*95/100]
	}
	s.result.OfferedValue += r.OfferedValue
	s.result.EarnedValue += r.EarnedValue
	s.result.Queues = append(s.result.Queues, r)
}

func (s *Simulator) addOrganisation(j *job, offered, earned float64) {
	if s.result.Organisations == nil {
		s.result.Organisations = map[string]Earnings{}
	}
	e := s.result.Organisations[j.org]
	s.result.Organisations[j.org] = Earnings{e.Offered + offered, e.Earned + earned}
}

// A job's value is its queue's value times a scale: a fixed part plus a part in proportion to the job's size,
// capped.
const (
	fixedValueShare = 0.3
	maxValueScale   = 4
)

// jobsOf returns the jobs of a queue that can be done and whose callers do not cancel them, the largest first,
// and their mean size.
func (s *Simulator) jobsOf(q *Queue) ([]*job, float64) {
	var jobs []*job
	sum := 0.0
	for _, j := range s.jobs {
		if j.queue == q && !j.willCancel && j.deadly == nil {
			jobs = append(jobs, j)
			sum += j.size
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(b.size, a.size) })
	return jobs, sum / float64(max(len(jobs), 1))
}

// addJob adds a job to the result. It reports whether the job was served, on time or not.
func (r *QueueResult) addJob(j *job, objective time.Duration, value, lateValue float64) bool {
	r.Submitted++
	r.OfferedValue += value
	served := !j.endSeen.IsZero() && (j.phase == tracker.Completed || j.alwaysFails && j.phase == tracker.Failed)
	switch took := j.endSeen.Sub(j.submitted); {
	case !served && j.refused:
		r.Refused++
	case !served, took > 3*objective:
		r.Unserved++
	case took <= objective:
		r.InTime++
		r.EarnedValue += value
	default:
		r.Late++
		r.EarnedValue += lateValue
	}
	return served
}

// isLateReclaim reports whether an accepted job started later than maxReclaimTime.
func (j *job) isLateReclaim() bool {
	return !j.accepted.IsZero() && !j.refused && (j.firstStepStarted.IsZero() || j.firstStepStarted.Sub(j.accepted) > maxReclaimTime)
}

// objective returns the time within which a job earns its full value.
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
	rows := []string{"queue\tsubmitted\tin time\tlate\trefused\tunserved\tearned\tlargest served\tstart p50\tstart p95\t"}
	for _, q := range r.Queues {
		rows = append(rows, fmt.Sprintf("%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%d/%d\t%v\t%v\t", q.Name, q.Submitted, q.InTime, q.Late, q.Refused, q.Unserved,
			q.EarnedValue/max(q.OfferedValue, 1e-9), q.LargeServed, q.LargeSubmitted, q.StartP50.Round(time.Millisecond), q.StartP95.Round(time.Millisecond)))
	}
	rows = append(rows, fmt.Sprintf("all\t\t\t\t\t\t%.3f\t\t\t\t", r.EarnedShare()))
	_, err := io.WriteString(w, strings.Join(rows, "\n")+"\n")
	if err := errors.Join(err, w.Flush()); err != nil {
		return fmt.Errorf("print result: %w", err)
	}
	_, err = fmt.Fprintf(out, "%slost work %.3f of all, %d runs, ends %v, late reclaims %d, violations %d\n",
		text.String(), r.LostWork/max(r.Work, 1e-9), r.Runs, r.Ends, r.LateReclaims, len(r.Violations))
	return err
}
