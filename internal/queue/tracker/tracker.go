// Package tracker holds the replicated state of the queues: the catalog in force, the accepted jobs with
// their steps, and the runs of tasks on workers. It is a deterministic state machine without input or output:
// the leader commits its decisions to the log and every keeper applies them.
package tracker

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// Tracker is the replicated state after an entry of the log.
type Tracker struct {
	catalog      *messages.Catalog
	index        index
	jobs         map[string]*Job
	open         []*Job // not ended or with active runs, in the order of acceptance
	runs         map[string]map[RunKey]*messages.Run
	incarnations map[string]Incarnation
	suspects     map[TaskKey]bool                // tasks with crashes
	evacuations  map[string]*messages.Evacuation // by data centre
	sequence     uint64                          // of the last accepted job
}

// Incarnation is the committed state of the current incarnation of a worker.
type Incarnation struct {
	Started  int64  // start of the incarnation, Unix milliseconds
	Sequence uint64 // of the last committed end
}

// RunKey identifies a run of a task.
type RunKey struct {
	TaskKey
	Number uint32
}

// TaskKey identifies a task of an occurrence of a job.
type TaskKey struct {
	Job        string
	Occurrence int32
	Step       int32
	Task       int32
}

// KeyOf returns the key of a run.
func KeyOf(r *messages.Run) RunKey {
	return RunKey{TaskKey{r.GetJob(), r.GetOccurrence(), r.GetStep(), r.GetTask()}, r.GetNumber()}
}

// EndKeyOf returns the key of the run that ended.
func EndKeyOf(e *messages.End) RunKey {
	return RunKey{TaskKey{e.GetJob(), e.GetOccurrence(), e.GetStep(), e.GetTask()}, e.GetNumber()}
}

// CrashKeyOf returns the key of the run that may have crashed its worker.
func CrashKeyOf(c *messages.Crash) RunKey {
	return RunKey{TaskKey{c.GetJob(), c.GetOccurrence(), c.GetStep(), c.GetTask()}, c.GetNumber()}
}

// CompareKeys orders runs by job, occurrence, step, task and number.
func CompareKeys(a, b RunKey) int {
	return cmp.Or(
		cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence),
		cmp.Compare(a.Step, b.Step), cmp.Compare(a.Task, b.Task), cmp.Compare(a.Number, b.Number),
	)
}

// Reasons for the end of a run.
const (
	EndDone           = "done"      // the task is complete
	EndFailed         = "failed"    // because of the task or the worker
	EndStopped        = "stopped"   // by a stop order
	EndExpired        = "lapsed"    // its lease expired
	EndGangEnded      = "broken"    // another member of its gang ended
	EndGangIncomplete = "alone"     // the other members of its gang did not join
	EndRefused        = "refused"   // it was never started
	EndRecovered      = "recovered" // the task is complete, though the end of the run was committed in another way before
)

// New returns an empty state.
func New() *Tracker {
	return &Tracker{
		jobs: map[string]*Job{}, runs: map[string]map[RunKey]*messages.Run{}, incarnations: map[string]Incarnation{},
		suspects: map[TaskKey]bool{}, evacuations: map[string]*messages.Evacuation{}, index: newIndex(nil),
	}
}

// Catalog returns the catalog in force, or nil if none was installed yet.
func (t *Tracker) Catalog() *messages.Catalog { return t.catalog }

// Job returns a job by its ID, or nil.
func (t *Tracker) Job(id string) *Job { return t.jobs[id] }

// Open returns the jobs that have not ended or still have active runs, in the order of acceptance. The caller
// must not modify the list.
func (t *Tracker) Open() []*Job { return t.open }

// EachJob calls visit for each job, in no particular order.
func (t *Tracker) EachJob(visit func(*Job)) {
	for _, j := range t.jobs {
		visit(j)
	}
}

// RunsOn returns the runs on a worker that have not ended, of all its incarnations. The caller must not
// modify the map.
func (t *Tracker) RunsOn(worker string) map[RunKey]*messages.Run { return t.runs[worker] }

// EachWorker calls visit for each worker with active runs, in no particular order.
func (t *Tracker) EachWorker(visit func(worker string, runs map[RunKey]*messages.Run)) {
	for worker, runs := range t.runs {
		visit(worker, runs)
	}
}

// IsActive reports whether the start of a run is committed and its end is not.
func (t *Tracker) IsActive(key RunKey) bool {
	j := t.jobs[key.Job]
	if j == nil {
		return false
	}
	s := j.Step(key.Occurrence, key.Step)
	if s == nil || key.Task < 0 || int(key.Task) >= len(s.Tasks) {
		return false
	}
	return s.Tasks[key.Task].Number == key.Number && s.Tasks[key.Task].Active > 0
}

// Incarnation returns the committed state of a worker's incarnation. ok is false for unknown workers.
func (t *Tracker) Incarnation(worker string) (incarnation Incarnation, ok bool) {
	incarnation, ok = t.incarnations[worker]
	return incarnation, ok
}

// EachIncarnation calls visit for each worker with a committed incarnation, in no particular order.
func (t *Tracker) EachIncarnation(visit func(worker string, incarnation Incarnation)) {
	for worker, incarnation := range t.incarnations {
		visit(worker, incarnation)
	}
}

// Apply applies a committed change.
func (t *Tracker) Apply(c *messages.QueueChange) {
	if c.GetCatalog() != nil {
		t.install(c.GetCatalog())
	}
	for _, o := range c.GetEvacuations() {
		t.evacuate(o, c.GetTime())
	}
	for _, w := range c.GetSubmits() {
		t.submit(w)
	}
	// The first final phase stays.
	t.finishJobs(c.GetFailures(), Failed, c.GetTime())
	t.finishJobs(c.GetCancels(), Cancelled, c.GetTime())
	for _, r := range c.GetStarts() {
		t.startRun(r)
	}
	for _, e := range c.GetEnds() {
		t.endRuns(e, c.GetTime())
	}
	for _, survival := range c.GetSurvivals() {
		if key := CrashKeyOf(survival); t.IsActive(key) {
			t.clearCrashes(key)
		}
	}
	for _, id := range c.GetForgets() {
		if j := t.jobs[id]; j != nil && j.Ended() && j.active == 0 {
			delete(t.jobs, id)
			maps.DeleteFunc(t.suspects, func(key TaskKey, _ bool) bool { return key.Job == id })
		}
	}
	if len(c.GetEnds()) > 0 || len(c.GetCancels()) > 0 {
		t.open = slices.DeleteFunc(t.open, func(j *Job) bool { return j.Ended() && j.active == 0 })
	}
}

func (t *Tracker) finishJobs(ids []string, p Phase, time int64) {
	for _, id := range ids {
		if j := t.jobs[id]; j != nil {
			j.finish(p, time)
		}
	}
}

// install puts a catalog in force unless the present one has the same or a later version.
func (t *Tracker) install(c *messages.Catalog) {
	if t.catalog != nil && c.GetVersion() <= t.catalog.GetVersion() {
		return
	}
	t.catalog = c
	t.index = newIndex(c)
}

func (t *Tracker) submit(w *messages.Work) {
	if t.jobs[w.GetId()] != nil {
		return
	}
	t.sequence++
	j := newJob(w, t.sequence)
	t.jobs[w.GetId()] = j
	t.open = append(t.open, j)
}

// startRun records the start of a run. Every keeper ignores the same invalid starts: a leader that has just
// been replaced may commit a start that conflicts with decisions of its successor.
func (t *Tracker) startRun(r *messages.Run) {
	j := t.jobs[r.GetJob()]
	if j == nil || !j.startRun(r) {
		return
	}
	if r.GetInherits() {
		r = proto.CloneOf(r) // the entry may be in use elsewhere
		_, r.Saved = j.Step(r.GetOccurrence(), r.GetStep()).NextRun(r.GetTask())
	}
	runs := t.runs[r.GetWorker()]
	if runs == nil {
		runs = map[RunKey]*messages.Run{}
		t.runs[r.GetWorker()] = runs
	}
	runs[KeyOf(r)] = r
}

// endRuns records the ends of runs that a worker reported, or the end of its incarnation.
func (t *Tracker) endRuns(e *messages.WorkerEnds, time int64) {
	incarnation, known := t.incarnations[e.GetWorker()]
	switch {
	case known && e.GetBorn() < incarnation.Started:
		return
	case !known || e.GetBorn() > incarnation.Started:
		incarnation = Incarnation{Started: e.GetBorn()}
	}
	incarnation.Sequence = max(incarnation.Sequence, e.GetSequence())
	t.incarnations[e.GetWorker()] = incarnation
	runs := t.runs[e.GetWorker()]
	for _, end := range e.GetEnds() {
		key := EndKeyOf(end)
		if end.GetHow() == EndRecovered {
			t.recoverRun(key, time)
			continue
		}
		r := runs[key]
		if r == nil || r.GetBorn() != e.GetBorn() {
			continue
		}
		delete(runs, key)
		t.jobs[key.Job].endRun(r, end.GetHow(), end.GetSaved(), time)
		if hasRun(end.GetHow()) {
			t.clearCrashes(key)
		}
	}
	t.recordCrashes(e, runs, time)
	for key, r := range runs {
		// The runs of an earlier incarnation ended with it.
		if isLost(r, e) {
			delete(runs, key)
			t.jobs[key.Job].endRun(r, EndExpired, "", time)
		}
	}
	if len(runs) == 0 {
		delete(t.runs, e.GetWorker())
	}
	if e.GetOver() {
		delete(t.incarnations, e.GetWorker())
	}
}

// IsRecoverable reports whether a task that waits or runs again is complete if a run of it that is not active ended as
// done.
func (t *Tracker) IsRecoverable(key RunKey) bool {
	j := t.jobs[key.Job]
	if j == nil || j.Ended() {
		return false
	}
	s := j.Step(key.Occurrence, key.Step)
	if s == nil || s.Done || s.Spec.GetLasting() || key.Task < 0 || int(key.Task) >= len(s.Tasks) {
		return false
	}
	task := &s.Tasks[key.Task]
	return !task.Done && key.Number > 0 && key.Number <= task.Number && !t.IsActive(key)
}

// recoverRun completes the task, or the gang, of a run that has ended as done after its end was committed in another way.
func (t *Tracker) recoverRun(key RunKey, time int64) {
	if !t.IsRecoverable(key) {
		return
	}
	t.jobs[key.Job].completeTask(key, time)
	t.clearCrashes(key)
}

// isLost reports whether a run ended with the incarnation of its worker.
func isLost(r *messages.Run, e *messages.WorkerEnds) bool {
	return r.GetBorn() < e.GetBorn() || e.GetOver() && r.GetBorn() == e.GetBorn()
}

// recordCrashes records which tasks may have caused the loss of their worker.
func (t *Tracker) recordCrashes(e *messages.WorkerEnds, runs map[RunKey]*messages.Run, time int64) {
	for _, c := range e.GetCrashes() {
		key := CrashKeyOf(c)
		r := runs[key]
		if r == nil || !isLost(r, e) {
			continue
		}
		s := t.jobs[key.Job].Step(key.Occurrence, key.Step)
		task := &s.Tasks[key.Task]
		if s.Done || task.Done {
			continue
		}
		if len(task.Crashes) < maxCrashes {
			task.Crashes = append(task.Crashes, Crash{Worker: e.GetWorker(), Time: time, Alone: c.GetAlone()})
		}
		t.suspects[key.TaskKey] = true
	}
}

// hasRun reports whether the end of a run shows that the run did not crash its worker. A failure does not, as a faulty
// worker may fail runs that it has not started.
func hasRun(how string) bool {
	switch how {
	case EndDone, EndStopped, EndExpired:
		return true
	}
	return false
}

// clearCrashes clears the task of an active run, or of one that has just ended, of suspicion.
func (t *Tracker) clearCrashes(key RunKey) {
	t.jobs[key.Job].Step(key.Occurrence, key.Step).Tasks[key.Task].Crashes = nil
	delete(t.suspects, key.TaskKey)
}

// EachSuspect calls visit for each task whose runs may have crashed their workers, in no particular order. Jobs that
// have ended, and steps that are done, are left out.
func (t *Tracker) EachSuspect(visit func(key TaskKey, j *Job, task *Task)) {
	for key := range t.suspects {
		j := t.jobs[key.Job]
		s := j.Step(key.Occurrence, key.Step)
		if !j.Ended() && !s.Done {
			visit(key, j, &s.Tasks[key.Task])
		}
	}
}

// Queue returns the queue for a host and path, and the path without the prefix of the queue. ok is false if
// there is none.
func (t *Tracker) Queue(host, path string) (q *messages.Queue, rest string, ok bool) {
	return t.index.queue(host, path)
}

// Organisation returns the organisation with an API key, or nil.
func (t *Tracker) Organisation(key string) *messages.Organisation {
	return t.index.organisationsByKey[key]
}

// OrganisationByName returns an organisation of the catalog by its name, or nil.
func (t *Tracker) OrganisationByName(name string) *messages.Organisation {
	return t.index.organisationsByName[name]
}

// Pools returns the pools of the catalog by name.
func (t *Tracker) Pools() map[string]*messages.Pool { return t.index.pools }

// QueueByName returns a queue of the catalog by its name, or nil.
func (t *Tracker) QueueByName(name string) *messages.Queue { return t.index.queuesByName[name] }
