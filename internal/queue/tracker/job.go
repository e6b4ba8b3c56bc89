package tracker

import (
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// Phase is what callers are told of a job.
type Phase string

// The phases of a job. The last three are final.
const (
	Pending   Phase = "pending" // no task has started
	Running   Phase = "running"
	Completed Phase = "completed"
	Failed    Phase = "failed" // a task or a gang has failed too often
	Cancelled Phase = "cancelled"
)

// Job is one accepted job.
type Job struct {
	Work     *messages.Work
	Sequence uint64 // in the order of acceptance
	Phase    Phase
	EndedAt  int64 // Unix milliseconds, 0 before the end

	steps  []Step // of all occurrences, in order
	active int    // runs that have not ended
	left   int    // steps that are not done
}

// Step is one step of one occurrence.
type Step struct {
	Spec       *messages.Step
	Occurrence int32
	Index      int32
	Done       bool
	Tasks      []Task

	left int // tasks that are not done
	// Of a gang, whose tasks share one run:
	number   uint32
	failures uint32
	failed   uint32 // number of the last run that counted as a failure
	saved    string
}

// Task is one task of a step. Of a gang only Active and Worker are used.
type Task struct {
	Number   uint32 // of its last run
	Done     bool
	Active   int    // runs that have not ended
	Worker   string // of its last run
	failures uint32
	saved    string
}

func newJob(w *messages.Work, sequence uint64) *Job {
	j := &Job{Work: w, Sequence: sequence, Phase: Pending}
	for k := range max(w.GetOccurrences(), 1) {
		for i, spec := range w.GetSteps() {
			j.steps = append(j.steps, Step{
				Spec: spec, Occurrence: int32(k), Index: int32(i),
				Tasks: make([]Task, spec.GetCount()), left: int(spec.GetCount()),
			})
		}
	}
	j.left = len(j.steps)
	return j
}

// Ended reports whether the phase is final.
func (j *Job) Ended() bool {
	switch j.Phase {
	case Completed, Failed, Cancelled:
		return true
	case Pending, Running:
	}
	return false
}

// Active returns the number of runs that have not ended.
func (j *Job) Active() int { return j.active }

// Steps returns all steps of all occurrences in order. The caller must not change them.
func (j *Job) Steps() []Step { return j.steps }

// Step returns one step, or nil.
func (j *Job) Step(occurrence, step int32) *Step {
	i := int(occurrence)*len(j.Work.GetSteps()) + int(step)
	if step < 0 || int(step) >= len(j.Work.GetSteps()) || i < 0 || i >= len(j.steps) {
		return nil
	}
	return &j.steps[i]
}

// Turn reports whether all steps that must come before a step are done.
func (j *Job) Turn(s *Step) bool {
	for _, before := range s.Spec.GetAfter() {
		if b := j.Step(s.Occurrence, before); b != nil && !b.Done {
			return false
		}
	}
	return true
}

// Next returns the number and the checkpoint with which a task's next run must start.
func (s *Step) Next(task int32) (number uint32, saved string) {
	if s.Spec.GetGang() {
		return s.number + 1, s.saved
	}
	t := &s.Tasks[task]
	return t.Number + 1, t.saved
}

// Failures returns how often a task, or the gang it belongs to, has failed.
func (s *Step) Failures(task int32) uint32 {
	if s.Spec.GetGang() {
		return s.failures
	}
	return s.Tasks[task].failures
}

// begin takes note of a run that starts. It reports false when there can't be such a run.
func (j *Job) begin(r *messages.Run) bool {
	s := j.Step(r.GetOccurrence(), r.GetStep())
	if s == nil || j.Ended() || s.Done || r.GetTask() < 0 || int(r.GetTask()) >= len(s.Tasks) {
		return false
	}
	t := &s.Tasks[r.GetTask()]
	if t.Done || t.Active > 0 || r.GetNumber() <= t.Number || s.Spec.GetGang() && r.GetNumber() < s.number {
		return false
	}
	t.Number = r.GetNumber()
	t.Active++
	t.Worker = r.GetWorker()
	if s.Spec.GetGang() {
		s.number = r.GetNumber()
	}
	j.active++
	j.Phase = Running
	return true
}

// end takes note of the end of a run.
func (j *Job) end(r *messages.Run, how, saved string, time int64) {
	s := j.Step(r.GetOccurrence(), r.GetStep())
	t := &s.Tasks[r.GetTask()]
	t.Active--
	j.active--
	if s.Done || t.Done {
		return
	}
	if s.Spec.GetGang() {
		s.endMember(r.GetNumber(), how, saved)
	} else {
		s.endTask(t, how, saved)
	}
	if s.left == 0 {
		s.Done = true
		j.left--
	}
	switch {
	case j.left == 0:
		j.finish(Completed, time)
	case s.Failures(r.GetTask()) >= uint32(max(j.Work.GetAttempts(), 1)):
		j.finish(Failed, time)
	}
}

// endMember takes note of the end of one member of a gang. One that is done speaks for all, and
// several that fail in one run count once.
func (s *Step) endMember(number uint32, how, saved string) {
	if saved != "" {
		s.saved = saved
	}
	switch {
	case s.Spec.GetLasting():
	case how == EndDone:
		s.left = 0
	case how == EndFailed && s.failed != number:
		s.failed = number
		s.failures++
	}
}

// endTask takes note of the end of a run of a task that stands alone.
func (s *Step) endTask(t *Task, how, saved string) {
	if saved != "" {
		t.saved = saved
	}
	switch {
	case s.Spec.GetLasting():
	case how == EndDone:
		t.Done = true
		s.left--
	case how == EndFailed:
		t.failures++
	}
}

func (j *Job) finish(p Phase, time int64) {
	if !j.Ended() {
		j.Phase = p
		j.EndedAt = time
	}
}
