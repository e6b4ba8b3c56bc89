package tracker

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// Save writes the account.
func (b *Tracker) Save() ([]byte, error) {
	s := &messages.QueueState{Catalog: b.catalog, Sequence: b.sequence}
	for _, j := range slices.SortedFunc(maps.Values(b.jobs), func(x, y *Job) int { return cmp.Compare(x.Sequence, y.Sequence) }) {
		s.Jobs = append(s.Jobs, j.save())
	}
	for _, name := range slices.Sorted(maps.Keys(b.lives)) {
		l := b.lives[name]
		s.Lives = append(s.Lives, &messages.LifeState{Worker: name, Born: l.Born, Sequence: l.Sequence})
	}
	for _, name := range slices.Sorted(maps.Keys(b.runs)) {
		s.Runs = append(s.Runs, slices.SortedFunc(maps.Values(b.runs[name]), compareRuns)...)
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
		step := &messages.StepState{Number: s.number, Done: s.Done, Failures: s.failures, Failed: s.failed, Saved: s.saved}
		for k := range s.Tasks {
			t := &s.Tasks[k]
			step.Tasks = append(step.Tasks, &messages.TaskState{Number: t.Number, Done: t.Done, Failures: t.failures, Saved: t.saved})
		}
		state.Steps = append(state.Steps, step)
	}
	return state
}

// Restore reads an account that Save wrote.
func Restore(data []byte) (*Tracker, error) {
	var s messages.QueueState
	if err := proto.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("restore queues: %w", err)
	}
	b := New()
	b.sequence = s.GetSequence()
	if s.GetCatalog() != nil {
		b.install(s.GetCatalog())
	}
	for _, l := range s.GetLives() {
		b.lives[l.GetWorker()] = Life{Born: l.GetBorn(), Sequence: l.GetSequence()}
	}
	for _, state := range s.GetJobs() {
		j, err := restoreJob(state)
		if err != nil {
			return nil, err
		}
		b.jobs[j.Work.GetId()] = j
	}
	for _, r := range s.GetRuns() {
		if err := b.restoreRun(r); err != nil {
			return nil, err
		}
	}
	for _, state := range s.GetJobs() {
		if j := b.jobs[state.GetWork().GetId()]; !j.Ended() || j.active > 0 {
			b.open = append(b.open, j)
		}
	}
	return b, nil
}

func restoreJob(state *messages.JobState) (*Job, error) {
	j := newJob(state.GetWork(), state.GetSequence())
	j.Phase, j.EndedAt = Phase(state.GetPhase()), state.GetEnded()
	if len(j.steps) != len(state.GetSteps()) {
		return nil, fmt.Errorf("restore queues: job %s has %d steps, want %d", j.Work.GetId(), len(state.GetSteps()), len(j.steps))
	}
	for i, step := range state.GetSteps() {
		s := &j.steps[i]
		s.number, s.Done, s.failures, s.failed, s.saved = step.GetNumber(), step.GetDone(), step.GetFailures(), step.GetFailed(), step.GetSaved()
		if len(s.Tasks) != len(step.GetTasks()) {
			return nil, fmt.Errorf("restore queues: job %s has %d tasks in step %d, want %d", j.Work.GetId(), len(step.GetTasks()), i, len(s.Tasks))
		}
		for k, task := range step.GetTasks() {
			s.Tasks[k] = Task{Number: task.GetNumber(), Done: task.GetDone(), failures: task.GetFailures(), saved: task.GetSaved()}
			if task.GetDone() {
				s.left--
			}
		}
		if s.Done {
			s.left = 0
			j.left--
		}
	}
	return j, nil
}

func (b *Tracker) restoreRun(r *messages.Run) error {
	j := b.jobs[r.GetJob()]
	if j == nil {
		return fmt.Errorf("restore queues: a run on %s belongs to the unknown job %s", r.GetWorker(), r.GetJob())
	}
	s := j.Step(r.GetOccurrence(), r.GetStep())
	if s == nil || int(r.GetTask()) >= len(s.Tasks) {
		return fmt.Errorf("restore queues: job %s has no task %d in step %d", r.GetJob(), r.GetTask(), r.GetStep())
	}
	s.Tasks[r.GetTask()].Active++
	s.Tasks[r.GetTask()].Worker = r.GetWorker()
	j.active++
	if b.runs[r.GetWorker()] == nil {
		b.runs[r.GetWorker()] = map[RunKey]*messages.Run{}
	}
	b.runs[r.GetWorker()][KeyOf(r)] = r
	return nil
}
