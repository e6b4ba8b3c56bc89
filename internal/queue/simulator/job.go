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

// job is a job of a caller, with what the caller has observed of it.
type job struct {
	id               string
	queue            *Queue
	org              string
	work             *messages.Work
	durations        [][]time.Duration // by step and task, on a worker of speed 1
	alwaysFails      bool              // each run fails
	deadly           *deadlyTask       // nil for none
	willCancel       bool              // the caller cancels the job after it is accepted
	cancelSent       bool
	submitted        time.Time
	accepted         time.Time
	refused          bool
	endSeen          time.Time // when the caller saw a final phase
	phase            tracker.Phase
	startedTasks     map[tracker.TaskKey]bool
	firstStepStarted time.Time // when all tasks of the first step had started
	size             float64   // core-seconds
	running          int       // runs on workers
	wait             wait
	failedRuns       map[tracker.TaskKey]map[uint32]bool // numbers of runs that ended as failed; of a gang, under its first task
}

// scheduleArrivals draws all jobs and schedules their submissions as Poisson processes, one for each queue.
func (s *Simulator) scheduleArrivals() {
	for i := range s.opts.Load.Queues {
		q := &s.opts.Load.Queues[i]
		at := time.Duration(0)
		for {
			rate := q.Rate
			for _, b := range s.opts.Load.Bursts {
				if b.Queue == i && at >= b.Start && at < b.Start+b.Duration {
					rate *= b.Factor
				}
			}
			if period := s.opts.Load.WavePeriod; period > 0 {
				rate *= 1 + s.opts.Load.WaveDepth*math.Sin(2*math.Pi*at.Seconds()/period.Seconds())
			}
			at += time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
			if at >= s.opts.Load.Duration {
				break
			}
			j := s.drawJob(q)
			s.after(at, func() { s.submit(j) })
		}
	}
}

// lognormal draws a log-normal value with the given mean and coefficient of variation, capped at limit.
func (s *Simulator) lognormal(mean, spread, limit float64) float64 {
	if spread == 0 {
		return mean
	}
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return min(limit, math.Exp(math.Log(mean)-sigma*sigma/2+sigma*s.random.NormFloat64()))
}

// drawOrganisation draws the organisation of a job.
func (s *Simulator) drawOrganisation() string {
	l := &s.opts.Load
	n := max(l.Organisations, 1)
	if l.LargeShare > 0 && s.random.Float64() < l.LargeShare {
		n = l.LargeOrganisations
	}
	return fmt.Sprintf("org%d", s.random.IntN(n))
}

// drawJob draws a random job of a queue.
func (s *Simulator) drawJob(q *Queue) *job {
	j := &job{
		id: fmt.Sprintf("%016x", s.random.Uint64()), queue: q, org: s.drawOrganisation(),
		alwaysFails: s.random.Float64() < q.AlwaysFailing, willCancel: s.random.Float64() < q.Cancelled, startedTasks: map[tracker.TaskKey]bool{},
		work: &messages.Work{Body: "body"},
	}
	steps := 1
	for float64(steps) < q.Steps+0.5 && s.random.Float64() < q.Steps-float64(steps) {
		steps++
	}
	image := ""
	if len(q.Images) > 0 {
		image = q.Images[s.random.IntN(len(q.Images))]
	}
	accelerators := q.Accelerators[s.random.IntN(len(q.Accelerators))]
	for i := range steps {
		width := max(1, int(s.lognormal(q.Width, q.WidthSpread, float64(q.MaxWidth))+0.5))
		mean := s.lognormal(float64(q.Work), q.WorkSpread, float64(q.MaxWork))
		step := &messages.Step{
			Count: int32(width), Processors: q.Processors, Memory: q.Memory, Accelerators: accelerators,
			Gang: q.Gang, Compact: q.Gang && s.random.Float64() < q.Compact, Checkpoints: s.random.Float64() < q.Checkpoints, Lasting: q.Lasting, Spread: q.Spread, Image: image,
			Tail: q.Tail, Estimate: int64(mean * s.lognormal(1, q.EstimateSpread, 10) / float64(time.Millisecond)),
		}
		if i > 0 {
			step.After = []int32{int32(i - 1)}
		}
		j.work.Steps = append(j.work.Steps, step)
		tasks := make([]time.Duration, width)
		for k := range tasks {
			tasks[k] = time.Duration(mean * s.lognormal(1, q.TaskSpread, 3))
			if q.LongShare > 0 && s.random.Float64() < q.LongShare {
				tasks[k] = time.Duration(float64(tasks[k]) * q.LongFactor)
			}
			j.size += tasks[k].Seconds() * float64(placer.Need(step).Weight()) / 1000
		}
		if q.Gang {
			for k := range tasks {
				tasks[k] = tasks[0]
			}
		}
		j.durations = append(j.durations, tasks)
	}
	j.deadly = s.drawDeadlyTask(j)
	s.jobs = append(s.jobs, j)
	s.jobsByID[j.id] = j
	return j
}

// Limits of a caller. A quarter of the deadline passes before a failed submission is retried.
const (
	maxSubmits     = 5
	callerDeadline = 3 * time.Second
)

func (s *Simulator) submit(j *job) {
	j.submitted = s.now
	s.submitAttempt(j, 1)
}

func (s *Simulator) submitAttempt(j *job, n int) {
	retry := func(wait time.Duration) {
		if n < maxSubmits {
			s.after(wait, func() { s.submitAttempt(j, n+1) })
		}
	}
	if s.leader == nil {
		retry(callerDeadline / 4)
		return
	}
	leader := s.leader
	s.spawn(func() {
		v, err := leader.Submit(context.Background(), &messages.Submission{
			Host: hostName, Path: "/" + j.queue.Name + "/" + j.id, Key: j.org, Work: j.work,
		})
		s.handleVerdict(j, v, err, retry)
	})
}

// handleVerdict handles the response to a submission.
func (s *Simulator) handleVerdict(j *job, v *messages.Verdict, err error, retry func(time.Duration)) {
	switch {
	case err != nil:
		retry(callerDeadline / 4)
	case v.GetStatus() == coordinator.StatusOK:
		j.accepted = s.now
		j.refused = false
		s.after(pollInterval, func() { s.poll(j) })
		if j.willCancel {
			s.after(time.Duration(s.random.Int64N(int64(4*time.Second))), func() { s.cancelJob(j) })
		}
	case v.GetStatus() == coordinator.StatusRefused:
		j.refused = true
		retry(max(time.Duration(v.GetRetry())*time.Millisecond, 100*time.Millisecond))
	default:
		s.recordViolation("submission of job %s returned status %s", j.id, v.GetStatus())
	}
}

func (s *Simulator) cancelJob(j *job) {
	if s.leader == nil || !j.endSeen.IsZero() {
		return
	}
	// Set before the call: if there is no response, the job may or may not be cancelled.
	j.cancelSent = true
	leader := s.leader
	s.spawn(func() { s.sendCancel(leader, j) })
}

func (s *Simulator) sendCancel(leader *coordinator.Coordinator, j *job) {
	v, err := leader.Cancel(context.Background(), &messages.Lookup{Host: hostName, Path: "/" + j.queue.Name + "/" + j.id, Key: j.org})
	if err == nil && v.GetStatus() != coordinator.StatusOK {
		s.recordViolation("cancellation of job %s returned status %s", j.id, v.GetStatus())
	}
}

// poll looks up the phase of a job periodically until it is final.
func (s *Simulator) poll(j *job) {
	if s.leader != nil {
		v, err := s.leader.Look(context.Background(), &messages.Lookup{Host: hostName, Path: "/" + j.queue.Name + "/" + j.id, Key: j.org})
		switch {
		case err != nil:
		case v.GetStatus() != coordinator.StatusOK:
			s.recordViolation("lookup of accepted job %s returned status %s", j.id, v.GetStatus())
			return
		default:
			switch p := tracker.Phase(v.GetPhase()); p {
			case tracker.Completed, tracker.Failed, tracker.Cancelled:
				j.phase, j.endSeen = p, s.now
				s.checkFinalPhase(j)
				return
			case tracker.Pending, tracker.Running:
			}
		}
	}
	s.after(pollInterval, func() { s.poll(j) })
}

// checkFinalPhase checks that a job reported as cancelled was cancelled by its caller, that one reported as
// failed could fail, and that all tasks of a job reported as completed are done.
func (s *Simulator) checkFinalPhase(j *job) {
	if j.phase == tracker.Cancelled && !j.cancelSent {
		s.recordViolation("job %s is reported as cancelled without a cancellation", j.id)
	}
	if j.phase == tracker.Failed {
		s.checkFailedPhase(j)
	}
	if j.phase != tracker.Completed {
		return
	}
	for i, step := range j.work.GetSteps() {
		for k := range step.GetCount() {
			key := tracker.TaskKey{Job: j.id, Step: int32(i), Task: k}
			if !s.finishedTasks[key] {
				s.recordViolation("job %s is reported as completed before task %v is done", j.id, key)
			}
		}
	}
}

// checkStart checks the invariants on the start of a run.
func (s *Simulator) checkStart(w *worker, r *run) {
	key := r.key.TaskKey
	if s.activeRuns[key] > 0 {
		s.recordViolation("task %v starts on %s while another run of it is active", key, w.id)
	}
	if s.acknowledgedTasks[key] {
		s.recordViolation("task %v starts on %s after its completion was acknowledged", key, w.id)
	}
	for _, before := range r.spec.GetAfter() {
		for k := range r.job.work.GetSteps()[before].GetCount() {
			other := tracker.TaskKey{Job: key.Job, Occurrence: key.Occurrence, Step: before, Task: k}
			if !s.finishedTasks[other] {
				s.recordViolation("task %v starts before %v is done", key, other)
				return
			}
		}
	}
	if r.job.accepted.IsZero() && r.job.refused {
		s.recordViolation("task %v of a refused job starts", key)
	}
	if r.restored > 0 {
		s.result.RestoreWork += r.weight() * s.opts.Fleet.RestoreTime.Seconds()
	}
	if key.Step != 0 || r.job.startedTasks[key] {
		return
	}
	r.job.startedTasks[key] = true
	if len(r.job.startedTasks) == int(r.job.work.GetSteps()[0].GetCount()) {
		r.job.firstStepStarted = s.now
	}
}

// tasksCovered returns the tasks that are done when a run of a task is done: all members of a gang, or the
// task alone.
func (s *Simulator) tasksCovered(key tracker.TaskKey) []tracker.TaskKey {
	step := s.jobsByID[key.Job].work.GetSteps()[key.Step]
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

// recordDone records that a task is done on a worker.
func (s *Simulator) recordDone(r *run) {
	for _, key := range s.tasksCovered(r.key.TaskKey) {
		s.finishedTasks[key] = true
	}
}

// recordAcknowledged records a completion that the leader has acknowledged.
func (s *Simulator) recordAcknowledged(e *messages.End) {
	if e.GetHow() != tracker.EndDone {
		return
	}
	for _, k := range s.tasksCovered(tracker.EndKeyOf(e).TaskKey) {
		s.acknowledgedTasks[k] = true
	}
}
