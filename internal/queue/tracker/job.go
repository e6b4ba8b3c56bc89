package tracker

import (
	"slices"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// Phase is the state of a job as reported to callers.
type Phase string

// The phases of a job. The last three are final.
const (
	Pending   Phase = "pending" // no task has started
	Running   Phase = "running"
	Completed Phase = "completed"
	Failed    Phase = "failed" // a task or gang has used up its attempts, or a task crashes its workers
	Cancelled Phase = "cancelled"
)

// Job is an accepted job.
type Job struct {
	Work     *messages.Work
	Sequence uint64 // in the order of acceptance
	Phase    Phase
	EndedAt  int64 // Unix milliseconds, 0 before the end

	steps     []Step // of all occurrences, in order
	active    int    // runs that have not ended
	remaining int    // steps that are not done
}

// Step is a step of one occurrence of a job.
type Step struct {
	Spec       *messages.Step
	Occurrence int32
	Index      int32
	Done       bool
	Tasks      []Task

	remaining int // tasks that are not done
	// The members of a gang share these; they are unused for single tasks.
	number     uint32
	failures   uint32
	lastFailed uint32 // number of the last run that counted as a failure
	checkpoint string
}

// Task is a task of a step. The failures and the checkpoint of a gang are kept in its Step.
type Task struct {
	Number     uint32 // of its last run
	Done       bool
	Active     int    // runs that have not ended
	Worker     string // of its active run, "" without one: a snapshot has the workers of active runs only
	Crashes    []Crash
	failures   uint32
	checkpoint string
}

// Crash is the loss of a worker on which a run of a task had just started.
type Crash struct {
	Worker string
	Time   int64 // of its commit, Unix milliseconds
	// Alone is true if the worker crashed and no other run can be the cause.
	Alone bool
}

const (
	// A task is given up after this many crashes of which at least minAloneCrashes have no other explanation, or
	// after maxCrashes of any kind.
	minCrashes      = 3
	minAloneCrashes = 2
	maxCrashes      = 5
)

// LastTrialCrashes is the number of crashes of any kind from which one more exhausts a task.
const LastTrialCrashes = maxCrashes - 1

// IsSuspect reports whether a run of the task may have crashed its worker.
func (t *Task) IsSuspect() bool { return len(t.Crashes) > 0 }

// CrashesWorkers reports whether the task crashes the workers that start it.
func (t *Task) CrashesWorkers() bool {
	return t.IsExhausted() || len(t.Crashes) >= minCrashes && t.IsLikelyCause()
}

// IsExhausted reports whether the task must not be tried again.
func (t *Task) IsExhausted() bool { return len(t.Crashes) >= maxCrashes }

// IsOnLastTrial reports whether one more crash of any kind exhausts the task.
func (t *Task) IsOnLastTrial() bool { return len(t.Crashes) == LastTrialCrashes }

// IsLikelyCause reports whether enough crashes have no other explanation than the task.
func (t *Task) IsLikelyCause() bool { return t.AloneCrashes() >= minAloneCrashes }

// AloneCrashes returns the number of crashes that no other run can have caused.
func (t *Task) AloneCrashes() int {
	n := 0
	for _, c := range t.Crashes {
		if c.Alone {
			n++
		}
	}
	return n
}

// NewJob returns a job that is in no state, for plans of jobs that are not accepted.
func NewJob(w *messages.Work, sequence uint64) *Job { return newJob(w, sequence) }

func newJob(w *messages.Work, sequence uint64) *Job {
	j := &Job{Work: w, Sequence: sequence, Phase: Pending}
	for k := range max(w.GetOccurrences(), 1) {
		for i, spec := range w.GetSteps() {
			j.steps = append(j.steps, Step{
				Spec: spec, Occurrence: int32(k), Index: int32(i),
				Tasks: make([]Task, spec.GetCount()), remaining: int(spec.GetCount()),
			})
		}
	}
	j.remaining = len(j.steps)
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

// HasRun reports whether the state shows that a run of the job has begun. A committed start may never have reached its worker.
func (j *Job) HasRun() bool {
	for i := range j.steps {
		s := &j.steps[i]
		if s.Done || s.failures > 0 || s.checkpoint != "" || slices.ContainsFunc(s.Tasks, Task.hasRun) {
			return true
		}
	}
	return false
}

func (t Task) hasRun() bool { return t.Done || t.failures > 0 || t.checkpoint != "" }

// Active returns the number of runs that have not ended.
func (j *Job) Active() int { return j.active }

// Steps returns all steps of all occurrences in order. The caller must not modify them.
func (j *Job) Steps() []Step { return j.steps }

// Step returns a step of an occurrence, or nil.
func (j *Job) Step(occurrence, step int32) *Step {
	i := int(occurrence)*len(j.Work.GetSteps()) + int(step)
	if step < 0 || int(step) >= len(j.Work.GetSteps()) || i < 0 || i >= len(j.steps) {
		return nil
	}
	return &j.steps[i]
}

// DependenciesDone reports whether all steps that a step depends on are done.
func (j *Job) DependenciesDone(s *Step) bool {
	for _, before := range s.Spec.GetAfter() {
		if dependency := j.Step(s.Occurrence, before); dependency != nil && !dependency.Done {
			return false
		}
	}
	return true
}

// NextRun returns the number of a task's next run and the checkpoint to resume from.
func (s *Step) NextRun(task int32) (number uint32, checkpoint string) {
	if s.Spec.GetGang() {
		return s.number + 1, s.checkpoint
	}
	t := &s.Tasks[task]
	return t.Number + 1, t.checkpoint
}

// Failures returns the number of failures of a task or of its gang.
func (s *Step) Failures(task int32) uint32 {
	if s.Spec.GetGang() {
		return s.failures
	}
	return s.Tasks[task].failures
}

// startRun records the start of a run. It reports false if the run is not valid.
func (j *Job) startRun(r *messages.Run) bool {
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

// endRun records the end of a run.
func (j *Job) endRun(r *messages.Run, how, checkpoint string, time int64) {
	s := j.Step(r.GetOccurrence(), r.GetStep())
	t := &s.Tasks[r.GetTask()]
	t.Active--
	t.Worker = ""
	j.active--
	if s.Done || t.Done {
		return
	}
	if s.Spec.GetGang() {
		s.endMember(r.GetNumber(), how, checkpoint)
	} else {
		s.endTask(t, how, checkpoint)
	}
	j.finishStep(s, time)
	if s.Failures(r.GetTask()) >= uint32(max(j.Work.GetAttempts(), 1)) {
		j.finish(Failed, time)
	}
}

// finishStep marks a step as done if no task of it remains, and the job as completed if no step does.
func (j *Job) finishStep(s *Step, time int64) {
	if s.remaining == 0 {
		s.Done = true
		j.remaining--
	}
	if j.remaining == 0 {
		j.finish(Completed, time)
	}
}

// completeTask completes a task, or its gang, with an earlier run than the active one, which is of no more use.
func (j *Job) completeTask(key RunKey, time int64) {
	s := j.Step(key.Occurrence, key.Step)
	if s.Spec.GetGang() {
		s.remaining = 0
		for i := range s.Tasks {
			t := &s.Tasks[i]
			t.Done = t.Active > 0 && t.Number > key.Number
		}
	} else {
		s.Tasks[key.Task].Done = true
		s.remaining--
	}
	j.finishStep(s, time)
}

// endMember records the end of a member of a gang. The gang is done when any member is done, and several
// failed members of one run count as one failure.
func (s *Step) endMember(number uint32, how, checkpoint string) {
	if checkpoint != "" {
		s.checkpoint = checkpoint
	}
	switch {
	case s.Spec.GetLasting():
	case how == EndDone:
		s.remaining = 0
	case how == EndFailed && s.lastFailed != number:
		s.lastFailed = number
		s.failures++
	}
}

// endTask records the end of a run of a task that is not in a gang.
func (s *Step) endTask(t *Task, how, checkpoint string) {
	if checkpoint != "" {
		t.checkpoint = checkpoint
	}
	switch {
	case s.Spec.GetLasting():
	case how == EndDone:
		t.Done = true
		s.remaining--
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
