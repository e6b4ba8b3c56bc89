// Package placer decides which tasks start on which workers and which runs are evicted for urgent ones.
// A plan depends only on the input that the leader passes in; no state is kept between passes.
package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// Worker describes a worker in the leader's view.
type Worker struct {
	ID       string
	Started  int64 // start of its incarnation, Unix milliseconds
	Pool     string
	Rack     string
	Labels   []string
	Capacity Vector
	Free     Vector    // capacity minus all runs that have not ended
	Usable   bool      // new tasks may start on it, unless its data centre is evacuated
	Silent   bool      // it is out of contact, so its runs may have ended
	Late     bool      // no new tasks may start on it only because its last report came late
	Suspect  bool      // used only if no other worker fits, and not for a last attempt
	Probed   bool      // used for one task at a time, not for a gang or a last attempt
	ProvenAt time.Time // when a run that had just started was last seen at work on it, zero if not lately
	Young    bool      // it has started lately
	Runs     []*ActiveRun
	// Quarantined: too many runs have failed on it. It is used only by units that have waited long enough for others.
	Quarantined bool
	Evacuated   bool // its data centre is evacuated, so nothing starts on it
	Cold        bool // it is still slow after its start
}

// accepts reports whether new tasks may start on the worker.
func (w *Worker) accepts() bool { return w.Usable && !w.Evacuated }

// ActiveRun is a run that has not ended.
type ActiveRun struct {
	Key       tracker.RunKey
	Job       *tracker.Job
	Step      *tracker.Step
	Need      Vector
	Stopping  bool          // a stop order was sent
	Unsaved   time.Duration // work that would be lost by a stop
	Remaining time.Duration // estimated time until it completes
	Held      time.Duration // time since its start was committed
	Starting  bool          // the worker has not been seen alive some time after the start
	AtWork    bool          // of a lasting task: its startup is over
}

// isTrial reports whether the run is the first one of a suspect task since it may have crashed a worker.
func (a *ActiveRun) isTrial() bool { return a.Starting && a.Step.Tasks[a.Key.Task].IsSuspect() }

// isDecidingTrial reports whether the run is a trial after which its job may be given up.
func (a *ActiveRun) isDecidingTrial() bool {
	return a.isTrial() && len(a.Step.Tasks[a.Key.Task].Crashes) >= decidingCrashes
}

// isLastTrial reports whether the run is a trial after which its task is not tried again.
func (a *ActiveRun) isLastTrial() bool {
	return a.isTrial() && len(a.Step.Tasks[a.Key.Task].Crashes) >= tracker.LastTrialCrashes && !a.Step.Spec.GetLasting()
}

// Input holds the data for one pass.
type Input struct {
	Workers []*Worker
	Jobs    []*tracker.Job // open jobs in the order of acceptance
	// Age returns the time since a job was accepted.
	Age func(*tracker.Job) time.Duration
	// Guarantee returns the number of accelerators guaranteed to an organisation for urgent jobs.
	Guarantee func(organisation string) int64
	// Estimate returns the corrected run time of one task of a step.
	Estimate func(*tracker.Job, *tracker.Step) time.Duration
	// Due reports whether an occurrence of a job may start.
	Due func(j *tracker.Job, occurrence int32) bool
	// Pool returns the pool for a job's tasks, "" if there is none at present.
	Pool func(*tracker.Job) string
	// Held reports whether a suspect task must not start.
	Held func(key tracker.TaskKey, t *tracker.Task) bool
	// Resting reports whether the next start of a lasting task is delayed.
	Resting func(key tracker.TaskKey) bool
	// FailedAt returns when a run of a job last failed as soon as it started, zero if not lately. Its last attempt then
	// starts on workers that have proven sound since, as one that fails all that it starts would use the attempt up.
	FailedAt func(*tracker.Job) time.Time
	// Waited returns how long a step has waited.
	Waited func(StepKey) Wait
	// Resume is the step at which the last pass left off, zero if it reached all.
	Resume StepKey
	// RackFactor is the run time of a compact gang across racks as a multiple of that in a single rack.
	RackFactor float64
	// Preemption is what stops cost. While its Restore is 0, a stop costs the unsaved work only.
	Preemption Preemption
	// Slowdown returns the factor by which a task of a step on a worker slows down, or is slowed down by, the runs there,
	// the larger one, 1 for none. It is nil if no images interfere.
	Slowdown func(s *tracker.Step, w *Worker) float64
}

// Plan holds the decisions of one pass.
type Plan struct {
	Starts []*messages.Run
	Stops  []*ActiveRun
	// StoppedFor names, for each of Stops, the step for which it makes room.
	StoppedFor []StepKey
	// Deferred are the steps that wait for workers that they prefer, though they fit on others.
	Deferred []Deferral
	// Relaxed are the steps that have waited so long enough.
	Relaxed []Deferral
	// Blocked are the steps that wait though the turn of a task has come.
	Blocked []Blocked
	// Obstacles are the last obstacles to units by step, also of steps that have started in part or as a whole.
	Obstacles map[StepKey]Obstacle
	// Resume is the step at which the next pass goes on, zero if this one has reached all.
	Resume StepKey
	// Apart is the number of starts that would be on another worker if no images interfered.
	Apart int
}

// unit is a set of tasks that are placed together: a gang, or the tasks of a step that are neither done nor
// running.
type unit struct {
	job         *tracker.Job
	step        *tracker.Step
	need        Vector
	pool        string
	tasks       []int32
	urgent      bool
	guaranteed  bool      // within its organisation's guarantee
	late        bool      // its objective can no longer be met
	lastAttempt bool      // one more failure fails the job
	provenSince time.Time // starts on workers only that have proven sound since then, zero for all workers
	crashes     int       // most crashes under one of its tasks; more than 0 for a trial
	blamed      bool      // one of its tasks alone explains a crash
	// needsOldWorker: it waits for workers that have not started lately. Two crashes may be by chance; a third one must
	// say something about the task.
	needsOldWorker bool
	anyRack        bool // it no longer waits for a single rack
	anyReserved    bool // it no longer waits for workers that are not reserved
	incautious     bool // it no longer waits for workers that nothing speaks against
	overLimit      bool // it no longer waits for trials that decide over a job, its own or those of others
	startsApart    bool // it is a last trial, which starts alone all the same
	estimate       time.Duration
	objective      time.Duration
	age            time.Duration
	// neighbours is nil if no images interfere.
	neighbours *neighbours
}

// pass holds the working state of one pass.
type pass struct {
	input           *Input
	plan            Plan
	workers         int                     // number of all workers
	racks           map[string][]*candidate // by pool and rack
	pools           map[string][]*candidate
	gangs           map[*tracker.Step][]*ActiveRun // running members of each gang
	lasting         map[*tracker.Step][]*ActiveRun // of steps that limit how many of their tasks are away
	urgentUse       map[string]int64               // accelerators by organisation, of urgent runs that are not being stopped
	away            map[*tracker.Step]int          // tasks that are not at work, of the steps in lasting, once counted
	demand          map[string]int64               // accelerators by organisation, of urgent jobs that have not ended
	workerOf        map[*ActiveRun]*candidate
	costs           map[*ActiveRun]int64             // of evicting a run together with its gang
	infeasible      []search                         // units that no eviction could fit
	forecasts       int                              // of when a waiting gang could start
	reservedWorkers map[string]int                   // for waiting gangs, by pool
	reserved        bool                             // capacity is reserved for units that wait for stops
	trials          map[string]int                   // trials that may still start, by pool
	lastTrials      []*candidate                     // with last trials of earlier passes
	old             map[string]int                   // usable workers that have not started lately, by pool
	tried           map[*tracker.Job]bool            // jobs with a trial
	running         map[*tracker.Job]bool            // jobs with a run on a worker in contact, or with a start in this pass
	startsOf        map[*tracker.Step]map[string]int // starts and reservations of single tasks in this pass by worker, of steps with a limit for each worker
	idle            map[string]bool                  // pools of which less than half is in use, once known
	doubtful        map[string]bool                  // pools with workers in quarantine, probation or trials
	evacuated       map[string]bool                  // pools with workers of evacuated data centres
	obstacles       map[StepKey]Obstacle
	searchState
}

// maxStarts limits the starts of a plan, so that they fit into one change. A gang that exceeds it starts nevertheless, as a
// whole.
const maxStarts = 10_000

// candidate is a worker with its capacity during a pass.
type candidate struct {
	*Worker
	free Vector
	// projected is the free capacity once all pending stops are complete, minus what is reserved for earlier
	// units.
	projected Vector
	assigned  bool  // a task was started on it in this pass
	closed    bool  // a trial is under way or about to start on it; nothing else starts on it without need
	sealed    bool  // the same, and what started on it would share the blame that the trial is to settle
	lastTrial bool  // the same for a last trial, also for units that have waited long
	starting  bool  // a run is starting on it
	loss      int64 // cost of the work that its crash would lose, negative until it is computed
	// reservedIn is the estimated time until a waiting gang starts here. Later units may use the worker only
	// if they end by then. 0 means not reserved.
	reservedIn time.Duration
	// begun are the runs with images that start in this pass, kept only while images interfere.
	begun []*ActiveRun
	index int // in the list of all workers
	stops int // of runs on it in this pass
	// raised is the length of pass.raised after the last of them.
	raised        int
	besideLasting besideLasting
	state         evictionState
}

// close keeps the worker from later units of the pass that can wait.
func (p *pass) close(c *candidate) {
	c.closed = true
	p.doubtful[c.Pool] = true
}

// hosts reports whether a run starts on the worker.
func (c *candidate) hosts(r *messages.Run) bool { return r.GetWorker() == c.ID }

// NewPlan runs one pass and returns its plan.
func NewPlan(in *Input) Plan { return newPlan(in, searchState{maxVisits: maxVisits}) }

func newPlan(in *Input, state searchState) Plan {
	p := &pass{
		input: in, racks: map[string][]*candidate{}, pools: map[string][]*candidate{},
		gangs: map[*tracker.Step][]*ActiveRun{}, workerOf: map[*ActiveRun]*candidate{}, costs: map[*ActiveRun]int64{},
		trials: map[string]int{}, old: map[string]int{}, tried: map[*tracker.Job]bool{}, running: map[*tracker.Job]bool{}, idle: map[string]bool{},
		startsOf: map[*tracker.Step]map[string]int{}, lasting: map[*tracker.Step][]*ActiveRun{}, urgentUse: map[string]int64{}, away: map[*tracker.Step]int{},
		reservedWorkers: map[string]int{}, doubtful: map[string]bool{}, evacuated: map[string]bool{}, obstacles: map[StepKey]Obstacle{}, searchState: state,
	}
	p.planTrials()
	for _, w := range in.Workers {
		c := &candidate{Worker: w, free: w.Free, projected: w.Free, starting: w.hasStarts(), loss: -1, index: p.workers}
		for _, a := range w.Runs {
			p.workerOf[a] = c
			p.running[a.Job] = p.running[a.Job] || !w.Silent
			p.addProtected(a)
			if a.Step.Spec.GetGang() {
				p.gangs[a.Step] = append(p.gangs[a.Step], a)
			}
			if a.Stopping {
				c.projected = c.projected.Add(a.Need)
			}
		}
		p.workers++
		p.maxRuns, p.maxAccelerators = max(p.maxRuns, len(w.Runs)), max(p.maxAccelerators, w.Capacity.Accelerators)
		p.evacuated[w.Pool] = p.evacuated[w.Pool] || w.Evacuated
		if w.hasTrial() {
			p.close(c)
			c.sealed = slices.ContainsFunc(w.Runs, (*ActiveRun).isDecidingTrial)
			if slices.ContainsFunc(w.Runs, (*ActiveRun).isLastTrial) {
				p.lastTrials = append(p.lastTrials, c)
			}
		}
		if w.accepts() {
			p.doubtful[w.Pool] = p.doubtful[w.Pool] || w.Quarantined || w.Probed
			p.pools[w.Pool] = append(p.pools[w.Pool], c)
			p.racks[w.Pool+"\x00"+w.Rack] = append(p.racks[w.Pool+"\x00"+w.Rack], c)
		}
	}
	units := p.units()
	p.planLastTrials(units)
	p.placeAll(units)
	p.listBlocked()
	p.plan.Obstacles = p.obstacles
	return p.plan
}

// units lists the units that may start, in placement order.
func (p *pass) units() []*unit {
	p.demand = map[string]int64{}
	for _, j := range p.input.Jobs {
		if isUrgent(j) && !j.Ended() {
			p.demand[j.Work.GetOrganisation()] += accelerators(j)
		}
	}
	var units []*unit
	for _, j := range p.input.Jobs {
		if j.Ended() {
			continue
		}
		pool := p.input.Pool(j)
		steps := j.Steps()
		for i := range steps {
			if u := p.newUnit(j, &steps[i], pool); u != nil {
				u.guaranteed = u.urgent && !p.exceedsGuarantee(j.Work.GetOrganisation())
				units = append(units, p.separateTrials(u)...)
			}
		}
	}
	slices.SortStableFunc(units, compareUnits)
	return units
}

func isUrgent(j *tracker.Job) bool { return j.Work.GetPriority() == 0 }

// accelerators returns the largest number of accelerators that a step of the job uses at once.
func accelerators(j *tracker.Job) int64 {
	peak := int64(0)
	for _, s := range j.Work.GetSteps() {
		peak = max(peak, s.GetAccelerators()*int64(s.GetCount()))
	}
	return peak
}

func (p *pass) newUnit(j *tracker.Job, s *tracker.Step, pool string) *unit {
	if s.Done || !p.input.Due(j, s.Occurrence) || !j.DependenciesDone(s) {
		return nil
	}
	tasks := p.waitingTasks(j, s)
	switch {
	case pool == "":
		p.block(keyOf(j, s), NoPool)
		return nil
	case len(tasks) == 0:
		return nil
	case s.Spec.GetGang() && len(tasks) < len(s.Tasks):
		// A gang restarts only after all members of its previous run have ended.
		p.block(keyOf(j, s), MembersActive)
		return nil
	}
	u := &unit{
		job: j, step: s, need: Need(s.Spec), pool: pool, tasks: tasks, urgent: isUrgent(j),
		estimate: p.input.Estimate(j, s), age: p.input.Age(j), objective: time.Duration(j.Work.GetObjective()) * time.Millisecond,
	}
	u.neighbours = p.newNeighbours(s)
	if s.Spec.GetLasting() {
		return u // it has no limit of attempts, and no end to be late for
	}
	failures := uint32(0)
	for _, task := range tasks {
		failures = max(failures, s.Failures(task))
	}
	u.lastAttempt = failures > 0 && failures+1 >= uint32(max(j.Work.GetAttempts(), 1))
	if u.lastAttempt {
		u.provenSince = p.input.FailedAt(j)
	}
	u.late = u.objective > 0 && u.age+u.estimate > u.objective
	return u
}

// waitingTasks returns the tasks of a step that may start.
func (p *pass) waitingTasks(j *tracker.Job, s *tracker.Step) []int32 {
	var tasks []int32
	for i := range s.Tasks {
		if s.Tasks[i].Done || s.Tasks[i].Active > 0 {
			continue
		}
		if p.isResting(j, s, int32(i)) {
			p.block(keyOf(j, s), Resting)
			continue
		}
		tasks = append(tasks, int32(i))
	}
	return tasks
}

func (p *pass) isResting(j *tracker.Job, s *tracker.Step, task int32) bool {
	return s.Spec.GetLasting() && p.input.Resting(tracker.TaskKey{Job: j.Work.GetId(), Occurrence: s.Occurrence, Step: s.Index, Task: task})
}

// compareUnits orders units by priority. Within a priority, units within their organisation's guarantee come
// first, then those that can still meet their objective, then those accepted earlier.
func compareUnits(a, b *unit) int {
	return cmp.Or(
		cmp.Compare(a.job.Work.GetPriority(), b.job.Work.GetPriority()),
		compareBool(b.guaranteed, a.guaranteed),
		compareBool(a.late, b.late),
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

// place starts a gang, or as many single tasks as fit. A unit that does not fit may reserve capacity.
func (p *pass) place(u *unit) {
	p.block(u.key(), NoCapacity)
	u.overLimit = p.isIdle(u) && p.input.Waited(u.key()).Idle >= maxDecidingWait
	if u.crashes > 0 {
		p.placeTrial(u)
		return
	}
	if u.step.Spec.GetGang() {
		p.placeGang(u)
		return
	}
	p.placeTasks(u)
}

// mayUse reports whether the unit may use the worker in this pass, regardless of free capacity.
func (u *unit) mayUse(c *candidate) bool {
	if c.lastTrial || c.sealed && !u.overLimit || c.closed && (!u.incautious || u.isDeciding()) || u.startsAlone() && (c.assigned || c.starting) {
		return false
	}
	return u.canRunOn(c.Worker)
}

// canRunOn reports whether the unit may use the worker, regardless of free capacity and of other starts.
func (u *unit) canRunOn(w *Worker) bool {
	if u.needsOldWorker && w.Young || !u.provenSince.IsZero() && !w.ProvenAt.After(u.provenSince) {
		return false
	}
	if !u.incautious && u.isDoubtful(w) {
		return false
	}
	return hasLabel(w, u.step)
}

// hasLabel reports whether a worker has the label that a step requires, if any.
func hasLabel(w *Worker, s *tracker.Step) bool {
	label := s.Spec.GetLabel()
	return label == "" || slices.Contains(w.Labels, label)
}

// isDoubtful reports whether too many runs have failed on the worker for the unit to use it while others may become free.
func (u *unit) isDoubtful(w *Worker) bool {
	return w.Quarantined || w.Suspect && u.lastAttempt || w.Probed && (u.step.Spec.GetGang() || u.lastAttempt || len(w.Runs) > 0)
}

// start adds a task to the plan and deducts its resources from the worker.
func (p *pass) start(u *unit, task int32, c *candidate) {
	number, checkpoint := u.step.NextRun(task)
	c.assigned = true
	p.running[u.job] = true
	p.countStart(u, c)
	c.free = c.free.Sub(u.need)
	c.projected = c.projected.Sub(u.need)
	p.recordNeighbour(u, c)
	p.plan.Starts = append(p.plan.Starts, &messages.Run{
		Job: u.job.Work.GetId(), Occurrence: u.step.Occurrence, Step: u.step.Index, Task: task,
		Number: number, Worker: c.ID, Born: c.Started, Saved: checkpoint,
	})
}
