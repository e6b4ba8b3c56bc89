// Package placer decides which tasks start on which workers, and which runs are stopped to make
// room for urgent ones. It is a pure function of what the leader knows; it keeps no state.
package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// Worker is one worker as the leader sees it.
type Worker struct {
	ID       string
	Born     int64 // start of its life, Unix milliseconds
	Pool     string
	Rack     string
	Labels   []string
	Capacity Vector
	Free     Vector // capacity less all runs that have not ended
	Usable   bool   // new tasks may start on it
	Suspect  bool   // it is only used when nothing else has room, and by no task that must not fail again
	Probed   bool   // it gets one task at a time that may fail
	Runs     []*Active
}

// Active is one run that has not ended.
type Active struct {
	Key       tracker.RunKey
	Job       *tracker.Job
	Step      *tracker.Step
	Need      Vector
	Stopping  bool          // it was ordered to stop
	Unsaved   time.Duration // work that a stop would lose
	Remaining time.Duration // estimated time until it ends by itself
}

// Input is what one pass decides by.
type Input struct {
	Workers []*Worker
	Jobs    []*tracker.Job // open jobs in the order of acceptance
	// Age returns how long ago a job was accepted.
	Age func(*tracker.Job) time.Duration
	// Guarantee returns the accelerators that an organisation may claim for urgent jobs.
	Guarantee func(organisation string) int64
	// Estimate returns the corrected run time of one task of a step.
	Estimate func(*tracker.Job, *tracker.Step) time.Duration
	// Due reports whether an occurrence of a job may start.
	Due func(j *tracker.Job, occurrence int32) bool
	// Pool returns the pool that a job's tasks run in, "" for none now.
	Pool func(*tracker.Job) string
}

// Plan is what one pass decided.
type Plan struct {
	Starts []*messages.Run
	Stops  []*Active
}

// unit is what must be placed at one time: a gang, or the idle tasks of a step.
type unit struct {
	job       *tracker.Job
	step      *tracker.Step
	need      Vector
	pool      string
	tasks     []int32
	urgent    bool
	entitled  bool // within its organisation's guarantee
	hopeless  bool // its objective can't be reached any more
	last      bool // with one more failure its job has failed
	estimate  time.Duration
	objective time.Duration
	age       time.Duration
}

// pass is the work in progress of one call.
type pass struct {
	in      *Input
	plan    Plan
	workers []*spot
	racks   map[string][]*spot // by pool and rack
	pools   map[string][]*spot
	gangs   map[*tracker.Step][]*Active // members of each gang that are at work
	at      map[*Active]*spot
	costs   map[*Active]int64 // of stopping a run, its gang included
	inVain  []*unit           // for which no room could be made
	claims  int
}

// spot is a worker during a pass.
type spot struct {
	*Worker
	free Vector // now
	// soon is what is free once the stops under way are done, less what is promised to earlier units.
	soon  Vector
	taken bool // a task starts on it in this pass
	// held is promised to an earlier unit that waits: later units may use it only if they end in time.
	heldUntil time.Duration // 0 for not held
}

// New runs one pass and returns what it decided.
func New(in *Input) Plan {
	p := &pass{
		in: in, racks: map[string][]*spot{}, pools: map[string][]*spot{},
		gangs: map[*tracker.Step][]*Active{}, at: map[*Active]*spot{}, costs: map[*Active]int64{},
	}
	for _, w := range in.Workers {
		s := &spot{Worker: w, free: w.Free, soon: w.Free}
		for _, a := range w.Runs {
			p.at[a] = s
			if a.Step.Spec.GetGang() {
				p.gangs[a.Step] = append(p.gangs[a.Step], a)
			}
			if a.Stopping {
				s.soon = s.soon.Add(a.Need)
			}
		}
		p.workers = append(p.workers, s)
		if w.Usable {
			p.pools[w.Pool] = append(p.pools[w.Pool], s)
			p.racks[w.Pool+"\x00"+w.Rack] = append(p.racks[w.Pool+"\x00"+w.Rack], s)
		}
	}
	for _, u := range p.units() {
		p.place(u)
	}
	return p.plan
}

// units lists what may start, in the order in which it is served.
func (p *pass) units() []*unit {
	need := map[string]int64{} // accelerators of the unfinished urgent jobs of each organisation
	for _, j := range p.in.Jobs {
		if isUrgent(j) && !j.Ended() {
			need[j.Work.GetOrganisation()] += accelerators(j)
		}
	}
	var units []*unit
	for _, j := range p.in.Jobs {
		if j.Ended() {
			continue
		}
		pool := p.in.Pool(j)
		if pool == "" {
			continue
		}
		steps := j.Steps()
		for i := range steps {
			if u := p.unitOf(j, &steps[i], pool); u != nil {
				org := j.Work.GetOrganisation()
				u.entitled = u.urgent && need[org] <= p.in.Guarantee(org)
				units = append(units, u)
			}
		}
	}
	slices.SortStableFunc(units, compareUnits)
	return units
}

func isUrgent(j *tracker.Job) bool { return j.Work.GetPriority() == 0 }

// accelerators returns the most that the steps of one job take at one time.
func accelerators(j *tracker.Job) int64 {
	most := int64(0)
	for _, s := range j.Work.GetSteps() {
		most = max(most, s.GetAccelerators()*int64(s.GetCount()))
	}
	return most
}

func (p *pass) unitOf(j *tracker.Job, s *tracker.Step, pool string) *unit {
	if s.Done || !p.in.Due(j, s.Occurrence) || !j.DependenciesDone(s) {
		return nil
	}
	var tasks []int32
	for i := range s.Tasks {
		if !s.Tasks[i].Done && s.Tasks[i].Active == 0 {
			tasks = append(tasks, int32(i))
		}
	}
	if len(tasks) == 0 || s.Spec.GetGang() && len(tasks) < len(s.Tasks) {
		// A gang starts again only once every member of its last run has ended.
		return nil
	}
	u := &unit{
		job: j, step: s, need: Need(s.Spec), pool: pool, tasks: tasks, urgent: isUrgent(j),
		estimate: p.in.Estimate(j, s), age: p.in.Age(j), objective: time.Duration(j.Work.GetObjective()) * time.Millisecond,
	}
	failures := uint32(0)
	for _, task := range tasks {
		failures = max(failures, s.Failures(task))
	}
	u.last = failures > 0 && failures+1 >= uint32(max(j.Work.GetAttempts(), 1))
	u.hopeless = u.objective > 0 && u.age+u.estimate > u.objective
	return u
}

// compareUnits orders by priority; in a priority what can still reach its objective comes first,
// then what was accepted first.
func compareUnits(a, b *unit) int {
	return cmp.Or(
		cmp.Compare(a.job.Work.GetPriority(), b.job.Work.GetPriority()),
		compareBool(b.entitled, a.entitled),
		compareBool(a.hopeless, b.hopeless),
		cmp.Compare(a.job.Sequence, b.job.Sequence),
		cmp.Compare(a.step.Occurrence, b.step.Occurrence),
		cmp.Compare(a.step.Index, b.step.Index),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// place starts a unit, or as much of it as has room. A unit that waits may reserve room.
func (p *pass) place(u *unit) {
	if u.step.Spec.GetGang() {
		p.placeGang(u)
		return
	}
	p.placeTasks(u)
}

// suits reports whether a worker may run a task of a unit at all.
func (u *unit) suits(w *Worker) bool {
	if w.Suspect && u.last || w.Probed && (u.step.Spec.GetGang() || u.last || len(w.Runs) > 0) {
		return false
	}
	label := u.step.Spec.GetLabel()
	return label == "" || slices.Contains(w.Labels, label)
}

// start takes note of one task that starts on a worker.
func (p *pass) start(u *unit, task int32, s *spot) {
	number, saved := u.step.NextRun(task)
	s.taken = true
	s.free = s.free.Sub(u.need)
	s.soon = s.soon.Sub(u.need)
	p.plan.Starts = append(p.plan.Starts, &messages.Run{
		Job: u.job.Work.GetId(), Occurrence: u.step.Occurrence, Step: u.step.Index, Task: task,
		Number: number, Worker: s.ID, Born: s.Born, Saved: saved,
	})
}
