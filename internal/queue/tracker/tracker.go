// Package tracker holds the replicated account of queues: the catalog in force, the accepted
// jobs with their steps, and which run of a task is on which worker. It is deterministic and does
// no input or output. The leader decides and commits what it decided; every keeper applies it.
package tracker

import (
	"cmp"
	"slices"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// Tracker is the account as of one entry of the log.
type Tracker struct {
	catalog  *messages.Catalog
	index    index
	jobs     map[string]*Job
	open     []*Job // neither ended nor without runs, in the order of acceptance
	runs     map[string]map[RunKey]*messages.Run
	lives    map[string]Life
	sequence uint64 // of the last accepted job
}

// Life is what is committed of the current life of a worker.
type Life struct {
	Born     int64  // start of the life, Unix milliseconds
	Sequence uint64 // last end that is committed
}

// RunKey names one run of a task.
type RunKey struct {
	TaskKey
	Number uint32
}

// TaskKey names one task of one occurrence of a job.
type TaskKey struct {
	Job        string
	Occurrence int32
	Step       int32
	Task       int32
}

// KeyOf returns the name of a run.
func KeyOf(r *messages.Run) RunKey {
	return RunKey{TaskKey{r.GetJob(), r.GetOccurrence(), r.GetStep(), r.GetTask()}, r.GetNumber()}
}

// EndKeyOf returns the name of the run that an end is of.
func EndKeyOf(e *messages.End) RunKey {
	return RunKey{TaskKey{e.GetJob(), e.GetOccurrence(), e.GetStep(), e.GetTask()}, e.GetNumber()}
}

// CompareKeys orders runs by job, occurrence, step, task and number.
func CompareKeys(a, b RunKey) int {
	return cmp.Or(
		cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence),
		cmp.Compare(a.Step, b.Step), cmp.Compare(a.Task, b.Task), cmp.Compare(a.Number, b.Number),
	)
}

// How a run ended.
const (
	EndDone    = "done"    // the task has done its work
	EndFailed  = "failed"  // through its own fault or the worker's
	EndStopped = "stopped" // on an order
	EndLapsed  = "lapsed"  // its lease ran out
	EndBroken  = "broken"  // another member of its gang ended
	EndAlone   = "alone"   // the other members of its gang did not come
	EndRefused = "refused" // it was never started
)

// New returns an empty account.
func New() *Tracker {
	return &Tracker{
		jobs: map[string]*Job{}, runs: map[string]map[RunKey]*messages.Run{}, lives: map[string]Life{},
		index: newIndex(nil),
	}
}

// Catalog returns the catalog in force, nil before the first.
func (b *Tracker) Catalog() *messages.Catalog { return b.catalog }

// Job returns a job, or nil.
func (b *Tracker) Job(id string) *Job { return b.jobs[id] }

// Open returns the jobs that have not ended, and those that have but whose runs have not, in the
// order of their acceptance. The caller must not change the list.
func (b *Tracker) Open() []*Job { return b.open }

// EachJob calls visit for each job that is known, in no order.
func (b *Tracker) EachJob(visit func(*Job)) {
	for _, j := range b.jobs {
		visit(j)
	}
}

// RunsOn returns the runs that have not ended on a worker, in any of its lives. The caller must
// not change the map.
func (b *Tracker) RunsOn(worker string) map[RunKey]*messages.Run { return b.runs[worker] }

// EachWorker calls visit for each worker with runs, in no order.
func (b *Tracker) EachWorker(visit func(worker string, runs map[RunKey]*messages.Run)) {
	for worker, runs := range b.runs {
		visit(worker, runs)
	}
}

// IsActive reports whether a run was committed and its end was not.
func (b *Tracker) IsActive(key RunKey) bool {
	j := b.jobs[key.Job]
	if j == nil {
		return false
	}
	s := j.Step(key.Occurrence, key.Step)
	if s == nil || key.Task < 0 || int(key.Task) >= len(s.Tasks) {
		return false
	}
	return s.Tasks[key.Task].Number == key.Number && s.Tasks[key.Task].Active > 0
}

// Life returns what is committed of a worker. ok is false for unknown workers.
func (b *Tracker) Life(worker string) (life Life, ok bool) {
	life, ok = b.lives[worker]
	return life, ok
}

// Apply puts one committed change into the account.
func (b *Tracker) Apply(c *messages.QueueChange) {
	if c.GetCatalog() != nil {
		b.install(c.GetCatalog())
	}
	for _, w := range c.GetSubmits() {
		b.submit(w)
	}
	for _, id := range c.GetCancels() {
		if j := b.jobs[id]; j != nil {
			j.finish(Cancelled, c.GetTime())
		}
	}
	for _, r := range c.GetStarts() {
		b.start(r)
	}
	for _, e := range c.GetEnds() {
		b.end(e, c.GetTime())
	}
	for _, id := range c.GetForgets() {
		if j := b.jobs[id]; j != nil && j.Ended() && j.active == 0 {
			delete(b.jobs, id)
		}
	}
	if len(c.GetEnds()) > 0 || len(c.GetCancels()) > 0 {
		b.open = slices.DeleteFunc(b.open, func(j *Job) bool { return j.Ended() && j.active == 0 })
	}
}

// install puts a catalog in force unless a later one is.
func (b *Tracker) install(c *messages.Catalog) {
	if b.catalog != nil && c.GetVersion() <= b.catalog.GetVersion() {
		return
	}
	b.catalog = c
	b.index = newIndex(c)
}

func (b *Tracker) submit(w *messages.Work) {
	if b.jobs[w.GetId()] != nil {
		return
	}
	b.sequence++
	j := newJob(w, b.sequence)
	b.jobs[w.GetId()] = j
	b.open = append(b.open, j)
}

// start takes note of a run. A run that can't be is left out by each keeper alike: a leader that
// has just lost its term may commit a start that its successor has overtaken.
func (b *Tracker) start(r *messages.Run) {
	j := b.jobs[r.GetJob()]
	if j == nil || !j.begin(r) {
		return
	}
	runs := b.runs[r.GetWorker()]
	if runs == nil {
		runs = map[RunKey]*messages.Run{}
		b.runs[r.GetWorker()] = runs
	}
	runs[KeyOf(r)] = r
}

// end takes note of ends that a worker listed, or of the end of a whole life.
func (b *Tracker) end(e *messages.WorkerEnds, time int64) {
	life, known := b.lives[e.GetWorker()]
	switch {
	case known && e.GetBorn() < life.Born:
		return
	case !known || e.GetBorn() > life.Born:
		life = Life{Born: e.GetBorn()}
	}
	life.Sequence = max(life.Sequence, e.GetSequence())
	b.lives[e.GetWorker()] = life
	runs := b.runs[e.GetWorker()]
	for _, end := range e.GetEnds() {
		key := EndKeyOf(end)
		r := runs[key]
		if r == nil || r.GetBorn() != e.GetBorn() {
			continue
		}
		delete(runs, key)
		b.jobs[key.Job].end(r, end.GetHow(), end.GetSaved(), time)
	}
	for key, r := range runs {
		// What ran in an earlier life ended with it.
		if r.GetBorn() < e.GetBorn() || e.GetOver() && r.GetBorn() == e.GetBorn() {
			delete(runs, key)
			b.jobs[key.Job].end(r, EndLapsed, "", time)
		}
	}
	if len(runs) == 0 {
		delete(b.runs, e.GetWorker())
	}
	if e.GetOver() {
		delete(b.lives, e.GetWorker())
	}
}

// Queue returns the queue that a host and a path belong to, and the rest of the path. ok is false
// when there is none.
func (b *Tracker) Queue(host, path string) (q *messages.Queue, rest string, ok bool) {
	return b.index.queue(host, path)
}

// Organisation returns the organisation that holds a key, or nil.
func (b *Tracker) Organisation(key string) *messages.Organisation { return b.index.keys[key] }

// OrganisationByName returns an organisation of the catalog in force, or nil.
func (b *Tracker) OrganisationByName(name string) *messages.Organisation { return b.index.names[name] }

// Pools returns the pools that the catalog in force sends a queue's work to.
func (b *Tracker) Pools() map[string]*messages.Pool { return b.index.pools }

// QueueByName returns a queue of the catalog in force, or nil.
func (b *Tracker) QueueByName(name string) *messages.Queue { return b.index.byName[name] }

// Waiting counts the accepted jobs of a queue of which no task has started.
func (b *Tracker) Waiting(queue string) int {
	n := 0
	for _, j := range b.open {
		if j.Work.GetQueue() == queue && j.Phase == Pending {
			n++
		}
	}
	return n
}
