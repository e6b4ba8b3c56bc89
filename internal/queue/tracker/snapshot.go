package tracker

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// Save encodes the state as a snapshot.
func (t *Tracker) Save() ([]byte, error) {
	s := &messages.QueueState{Catalog: t.catalog, Sequence: t.sequence, Evacuations: t.Evacuations()}
	for _, j := range slices.SortedFunc(maps.Values(t.jobs), func(x, y *Job) int { return cmp.Compare(x.Sequence, y.Sequence) }) {
		s.Jobs = append(s.Jobs, j.save())
	}
	for _, name := range slices.Sorted(maps.Keys(t.incarnations)) {
		incarnation := t.incarnations[name]
		s.Lives = append(s.Lives, &messages.LifeState{Worker: name, Born: incarnation.Started, Sequence: incarnation.Sequence})
	}
	for _, name := range slices.Sorted(maps.Keys(t.runs)) {
		s.Runs = append(s.Runs, slices.SortedFunc(maps.Values(t.runs[name]), compareRuns)...)
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("save queues: %w", err)
	}
	return data, nil
}

func compareRuns(x, y *messages.Run) int { return CompareKeys(KeyOf(x), KeyOf(y)) }

func (j *Job) save() *messages.JobState {
	state := &messages.JobState{Work: j.Work, Phase: string(j.Phase), Sequence: j.Sequence, Ended: j.EndedAt}
	for i := range j.steps {
		s := &j.steps[i]
		step := &messages.StepState{Number: s.number, Done: s.Done, Failures: s.failures, Failed: s.lastFailed, Saved: s.checkpoint}
		for k := range s.Tasks {
			t := &s.Tasks[k]
			task := &messages.TaskState{Number: t.Number, Done: t.Done, Failures: t.failures, Saved: t.checkpoint}
			for _, c := range t.Crashes {
				task.Crashes = append(task.Crashes, &messages.CrashState{Worker: c.Worker, Time: c.Time, Alone: c.Alone})
			}
			step.Tasks = append(step.Tasks, task)
		}
		state.Steps = append(state.Steps, step)
	}
	return state
}

// Restore decodes a snapshot written by Save.
func Restore(data []byte) (*Tracker, error) {
	var s messages.QueueState
	if err := proto.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("restore queues: %w", err)
	}
	t := New()
	t.sequence = s.GetSequence()
	if s.GetCatalog() != nil {
		t.install(s.GetCatalog())
	}
	for _, e := range s.GetEvacuations() {
		t.evacuations[e.GetPlace()] = e
	}
	for _, incarnation := range s.GetLives() {
		t.incarnations[incarnation.GetWorker()] = Incarnation{Started: incarnation.GetBorn(), Sequence: incarnation.GetSequence()}
	}
	for i, state := range s.GetJobs() {
		j, err := restoreJob(state)
		if err != nil {
			return nil, fmt.Errorf("restore queues: jobs[%d].%w", i, err)
		}
		id := j.Work.GetId()
		if t.jobs[id] != nil {
			return nil, fmt.Errorf("restore queues: jobs[%d].work.id: job %s is listed twice", i, id)
		}
		t.jobs[id] = j
		t.restoreSuspects(j)
	}
	for i, r := range s.GetRuns() {
		if err := t.restoreRun(r); err != nil {
			return nil, fmt.Errorf("restore queues: runs[%d].%w", i, err)
		}
	}
	for _, state := range s.GetJobs() {
		if j := t.jobs[state.GetWork().GetId()]; !j.Ended() || j.active > 0 {
			t.open = append(t.open, j)
		}
	}
	return t, nil
}

// maxTasks bounds the tasks of a job in a snapshot, so that damaged data is an error and does not exhaust the memory.
const maxTasks = 1 << 20

// checkWork returns an error that names the field if a job cannot be built from its description. The number of tasks is
// checked at each step, so that the product with the occurrences does not overflow.
func checkWork(w *messages.Work) error {
	occurrences := max(w.GetOccurrences(), 1)
	if occurrences > maxTasks {
		return fmt.Errorf("work.occurrences: job %s has %d, want at most %d", w.GetId(), occurrences, maxTasks)
	}
	tasks := int64(0)
	for i, step := range w.GetSteps() {
		if step.GetCount() < 0 {
			return fmt.Errorf("work.steps[%d].count: job %s has %d tasks in the step, want 0 or more", i, w.GetId(), step.GetCount())
		}
		if tasks += int64(step.GetCount()) + 1; tasks*occurrences > maxTasks {
			return fmt.Errorf("work.steps[%d].count: job %s has more than %d tasks and steps in %d occurrences", i, w.GetId(), maxTasks, occurrences)
		}
	}
	return nil
}

// checkShape returns an error that names the field if the steps and tasks of a snapshot are not those of the job's
// description. It is called before the job is built, so that a short snapshot can't allocate memory for many tasks.
func checkShape(state *messages.JobState) error {
	w := state.GetWork()
	specs, steps := w.GetSteps(), state.GetSteps()
	if want := max(w.GetOccurrences(), 1) * int64(len(specs)); int64(len(steps)) != want {
		return fmt.Errorf("steps: job %s has %d entries, want %d", w.GetId(), len(steps), want)
	}
	for i, step := range steps {
		if want := int(specs[i%len(specs)].GetCount()); len(step.GetTasks()) != want {
			return fmt.Errorf("steps[%d].tasks: job %s has %d entries, want %d", i, w.GetId(), len(step.GetTasks()), want)
		}
	}
	return nil
}

func restoreJob(state *messages.JobState) (*Job, error) {
	if err := checkWork(state.GetWork()); err != nil {
		return nil, err
	}
	if err := checkShape(state); err != nil {
		return nil, err
	}
	j := newJob(state.GetWork(), state.GetSequence())
	j.Phase, j.EndedAt = Phase(state.GetPhase()), state.GetEnded()
	for i, step := range state.GetSteps() {
		s := &j.steps[i]
		s.number, s.Done, s.failures, s.lastFailed, s.checkpoint = step.GetNumber(), step.GetDone(), step.GetFailures(), step.GetFailed(), step.GetSaved()
		for k, task := range step.GetTasks() {
			s.Tasks[k] = Task{Number: task.GetNumber(), Done: task.GetDone(), failures: task.GetFailures(), checkpoint: task.GetSaved()}
			for _, c := range task.GetCrashes()[:min(len(task.GetCrashes()), maxCrashes)] {
				s.Tasks[k].Crashes = append(s.Tasks[k].Crashes, Crash{Worker: c.GetWorker(), Time: c.GetTime(), Alone: c.GetAlone()})
			}
			if task.GetDone() {
				s.remaining--
			}
		}
		if s.Done {
			s.remaining = 0
			j.remaining--
		}
	}
	return j, nil
}

func (t *Tracker) restoreSuspects(j *Job) {
	for i := range j.steps {
		s := &j.steps[i]
		for k := range s.Tasks {
			if s.Tasks[k].IsSuspect() {
				t.suspects[TaskKey{j.Work.GetId(), s.Occurrence, s.Index, int32(k)}] = true
			}
		}
	}
}

func (t *Tracker) restoreRun(r *messages.Run) error {
	j := t.jobs[r.GetJob()]
	if j == nil {
		return fmt.Errorf("job: run on worker %s belongs to unknown job %s", r.GetWorker(), r.GetJob())
	}
	if r.GetOccurrence() < 0 || int64(r.GetOccurrence()) >= max(j.Work.GetOccurrences(), 1) {
		return fmt.Errorf("occurrence: job %s has no occurrence %d", r.GetJob(), r.GetOccurrence())
	}
	s := j.Step(r.GetOccurrence(), r.GetStep())
	if s == nil {
		return fmt.Errorf("step: job %s has no step %d", r.GetJob(), r.GetStep())
	}
	if r.GetTask() < 0 || int(r.GetTask()) >= len(s.Tasks) {
		return fmt.Errorf("task: job %s has no task %d in step %d", r.GetJob(), r.GetTask(), r.GetStep())
	}
	task := &s.Tasks[r.GetTask()]
	if task.Active > 0 {
		return fmt.Errorf("task: job %s has two runs of task %d in step %d", r.GetJob(), r.GetTask(), r.GetStep())
	}
	task.Active++
	task.Worker = r.GetWorker()
	j.active++
	if t.runs[r.GetWorker()] == nil {
		t.runs[r.GetWorker()] = map[RunKey]*messages.Run{}
	}
	t.runs[r.GetWorker()][KeyOf(r)] = r
	return nil
}
