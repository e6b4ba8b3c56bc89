package simulator

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/coordinator"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/placer"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// job is one job of a caller.
type job struct {
	id        string
	queue     *Queue
	org       string
	work      *messages.Work
	durations [][]time.Duration // of each task of each step on a worker of speed 1
	hopeless  bool
	cancel    bool
	cancelled bool
	sent      time.Time
	accepted  time.Time
	refused   bool
	shown     time.Time // when it was shown as ended
	phase     tracker.Phase
	begun     map[tracker.TaskKey]bool
	begunAt   time.Time // when all tasks of the first step had begun
	size      float64
}

// arrivals plans the submission of all jobs.
func (s *Simulator) arrivals() {
	for i := range s.opts.Load.Queues {
		q := &s.opts.Load.Queues[i]
		at := time.Duration(0)
		for {
			rate := q.PerSecond
			for _, b := range s.opts.Load.Bursts {
				if b.Queue == i && at >= b.From && at < b.From+b.For {
					rate *= b.Times
				}
			}
			at += time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
			if at >= s.opts.Load.Length {
				break
			}
			j := s.draw(q)
			s.after(at, func() { s.submit(j) })
		}
	}
}

// lognormal draws a value with a mean and a coefficient of variation, at most most.
func (s *Simulator) lognormal(mean, spread, most float64) float64 {
	if spread == 0 {
		return mean
	}
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return min(most, math.Exp(math.Log(mean)-sigma*sigma/2+sigma*s.random.NormFloat64()))
}

func (s *Simulator) draw(q *Queue) *job {
	j := &job{
		id: fmt.Sprintf("%016x", s.random.Uint64()), queue: q, org: fmt.Sprintf("org%d", s.random.IntN(max(s.opts.Load.Organisations, 1))),
		hopeless: s.random.Float64() < q.Hopeless, cancel: s.random.Float64() < q.Cancelled, begun: map[tracker.TaskKey]bool{},
		work: &messages.Work{Body: "body"},
	}
	steps := 1
	for float64(steps) < q.Steps+0.5 && s.random.Float64() < q.Steps-float64(steps) {
		steps++
	}
	accelerators := q.Accelerators[s.random.IntN(len(q.Accelerators))]
	for i := range steps {
		width := max(1, int(s.lognormal(q.Width, q.WidthSpread, float64(q.WidthMost))+0.5))
		mean := s.lognormal(float64(q.Work), q.WorkSpread, float64(q.WorkMost))
		step := &messages.Step{
			Count: int32(width), Processors: q.Processors, Memory: q.Memory, Accelerators: accelerators,
			Gang: q.Gang, Compact: q.Gang && s.random.Float64() < q.Compact, Checkpoints: s.random.Float64() < q.Checkpoints,
			Estimate: int64(mean * s.lognormal(1, q.EstimateOff, 10) / float64(time.Millisecond)),
		}
		if i > 0 {
			step.After = []int32{int32(i - 1)}
		}
		j.work.Steps = append(j.work.Steps, step)
		tasks := make([]time.Duration, width)
		for k := range tasks {
			tasks[k] = time.Duration(mean * s.lognormal(1, q.Uneven, 3))
			j.size += tasks[k].Seconds() * float64(placer.Need(step).Weight()) / 1000
		}
		if q.Gang {
			for k := range tasks {
				tasks[k] = tasks[0]
			}
		}
		j.durations = append(j.durations, tasks)
	}
	s.jobs = append(s.jobs, j)
	s.byID[j.id] = j
	return j
}

// retries and deadline of a caller.
const (
	callerTries    = 5
	callerDeadline = 3 * time.Second
)

func (s *Simulator) submit(j *job) {
	j.sent = s.now
	s.try(j, 1)
}

func (s *Simulator) try(j *job, n int) {
	again := func(wait time.Duration) {
		if n < callerTries {
			s.after(wait, func() { s.try(j, n+1) })
		}
	}
	if s.leader == nil {
		again(callerDeadline / 4)
		return
	}
	leader := s.leader
	s.spawn(func() {
		v, err := leader.Submit(context.Background(), &messages.Submission{
			Host: hostName, Path: "/" + j.queue.Name + "/" + j.id, Key: j.org, Work: j.work,
		})
		s.answered(j, v, err, again)
	})
}

// answered acts on the answer to a submission.
func (s *Simulator) answered(j *job, v *messages.Verdict, err error, again func(time.Duration)) {
	switch {
	case err != nil:
		again(callerDeadline / 4)
	case v.GetStatus() == coordinator.StatusOK:
		j.accepted = s.now
		j.refused = false
		s.after(pollEvery, func() { s.poll(j) })
		if j.cancel {
			s.after(time.Duration(s.random.Int64N(int64(4*time.Second))), func() { s.cancelJob(j) })
		}
	case v.GetStatus() == coordinator.StatusRefused:
		j.refused = true
		again(max(time.Duration(v.GetRetry())*time.Millisecond, 100*time.Millisecond))
	default:
		s.violate("job %s is refused with %s", j.id, v.GetStatus())
	}
}

func (s *Simulator) cancelJob(j *job) {
	if s.leader == nil || !j.shown.IsZero() {
		return
	}
	// Without an answer the job may or may not be cancelled.
	j.cancelled = true
	leader := s.leader
	s.spawn(func() { s.askCancel(leader, j) })
}

func (s *Simulator) askCancel(leader *coordinator.Coordinator, j *job) {
	v, err := leader.Cancel(context.Background(), &messages.Lookup{Host: hostName, Path: "/" + j.queue.Name + "/" + j.id, Key: j.org})
	if err == nil && v.GetStatus() != coordinator.StatusOK {
		s.violate("the cancelling of job %s is answered with %s", j.id, v.GetStatus())
	}
}

// poll asks for the phase until it is final.
func (s *Simulator) poll(j *job) {
	if s.leader != nil {
		v, err := s.leader.Look(context.Background(), &messages.Lookup{Host: hostName, Path: "/" + j.queue.Name + "/" + j.id, Key: j.org})
		switch {
		case err != nil:
		case v.GetStatus() != coordinator.StatusOK:
			s.violate("job %s was accepted and is answered with %s", j.id, v.GetStatus())
			return
		default:
			switch p := tracker.Phase(v.GetPhase()); p {
			case tracker.Completed, tracker.Failed, tracker.Cancelled:
				j.phase, j.shown = p, s.now
				s.checkPhase(j)
				return
			case tracker.Pending, tracker.Running:
			}
		}
	}
	s.after(pollEvery, func() { s.poll(j) })
}

// checkPhase checks that a job that is shown as completed has done all of its tasks.
func (s *Simulator) checkPhase(j *job) {
	if j.phase == tracker.Cancelled && !j.cancelled {
		s.violate("job %s is shown as cancelled without cause", j.id)
	}
	if j.phase != tracker.Completed {
		return
	}
	for i, step := range j.work.GetSteps() {
		for k := range step.GetCount() {
			key := tracker.TaskKey{Job: j.id, Step: int32(i), Task: k}
			if !s.endedDone[key] {
				s.violate("job %s is shown as completed before task %v is done", j.id, key)
			}
		}
	}
}

// checkStart checks the promises on a start.
func (s *Simulator) checkStart(w *worker, t *run) {
	key := t.key.TaskKey
	if s.running[key] > 0 {
		s.violate("task %v starts on %s while another run of it is at work", key, w.id)
	}
	if s.doneTasks[key] {
		s.violate("task %v starts on %s after it was done", key, w.id)
	}
	for _, before := range t.spec.GetAfter() {
		for k := range t.job.work.GetSteps()[before].GetCount() {
			other := tracker.TaskKey{Job: key.Job, Occurrence: key.Occurrence, Step: before, Task: k}
			if !s.endedDone[other] {
				s.violate("task %v starts before %v is done", key, other)
				return
			}
		}
	}
	if t.job.accepted.IsZero() && t.job.refused {
		s.violate("task %v of a refused job starts", key)
	}
	if key.Step != 0 || t.job.begun[key] {
		return
	}
	t.job.begun[key] = true
	if len(t.job.begun) == int(t.job.work.GetSteps()[0].GetCount()) {
		t.job.begunAt = s.now
	}
}

// tasksOf returns the tasks that one end done speaks for: all of a gang, or one.
func (s *Simulator) tasksOf(key tracker.TaskKey) []tracker.TaskKey {
	step := s.byID[key.Job].work.GetSteps()[key.Step]
	if !step.GetGang() {
		return []tracker.TaskKey{key}
	}
	var list []tracker.TaskKey
	for k := range step.GetCount() {
		key.Task = k
		list = append(list, key)
	}
	return list
}

// ended takes note of a task that has done its work.
func (s *Simulator) ended(t *run) {
	for _, key := range s.tasksOf(t.key.TaskKey) {
		s.endedDone[key] = true
	}
}

// acknowledged takes note of an end that the leader has confirmed.
func (s *Simulator) acknowledged(e *messages.End) {
	if e.GetHow() != tracker.EndDone {
		return
	}
	for _, k := range s.tasksOf(tracker.EndKeyOf(e).TaskKey) {
		s.doneTasks[k] = true
	}
}
