// Package simulator is a discrete-event simulation of the systems around the queue: callers that submit jobs,
// workers that run tasks under leases, and the links between them, all in virtual time. It drives the real
// coordinator over the real replicated state, checks invariants while it runs and measures the service that
// callers got. It is deterministic for a seed and needs no network.
package simulator

import (
	"cmp"
	"container/heap"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/coordinator"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/placer"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/state/applier"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// Parameters that the users' sites have in common.
const (
	linkDelay         = 7 * time.Millisecond   // one way, mean over data centres
	commitDelay       = 40 * time.Millisecond  // two hops between regions and two disk syncs
	reportDelay       = 50 * time.Millisecond  // before an end is reported or a timed-out report is retried
	reportTimeout     = time.Second            // after which a worker drops a response
	passInterval      = 50 * time.Millisecond  // between the leader's scheduling passes
	gangTimeout       = 3 * time.Second        // for a gang to be complete on its workers
	pollInterval      = 500 * time.Millisecond // between a caller's lookups of its job
	crossRackSlowdown = 3                      // factor on the run time
)

// Fleet describes the workers of a simulation.
type Fleet struct {
	Workers            int
	WorkersPerRack     int
	Places             int   // data centres, to which racks belong in turn, 0 for one
	Processors         int64 // thousandths, of each worker
	Memory             int64 // MB
	Accelerators       int64
	Speeds             []float64     // one is drawn at random for each worker
	MaxLease           time.Duration // longest lease that a worker accepts
	MaxStopTime        time.Duration // a stop takes a random time up to this
	CheckpointInterval time.Duration // work between two checkpoints
	RestoreTime        time.Duration
	MaxPollTime        time.Duration // longest time for which the leader delays the response to a report
}

// Load describes the jobs that callers submit.
type Load struct {
	Queues         []Queue
	Organisations  int
	Guaranteed     int64         // accelerators, of each organisation
	Duration       time.Duration // time during which jobs arrive
	Bursts         []Burst
	WavePeriod     time.Duration // of the arrival rates, 0 for constant rates
	WaveDepth      float64       // amplitude of the waves as a share of the mean rate
	CancelledReads float64       // share of reads of the replicated state whose caller cancels them
	// LargeShare of the jobs is of the first LargeOrganisations alone, the rest of all organisations.
	LargeShare         float64
	LargeOrganisations int
}

// Burst multiplies the arrival rate of one queue for some time.
type Burst struct {
	Queue           int
	Start, Duration time.Duration
	Factor          float64
}

// Queue describes the jobs of one queue.
type Queue struct {
	Name             string
	Rate             float64 // jobs per second
	Priority         int32
	Attempts         int32
	Stretch          float64
	Target           time.Duration
	Value, LateValue float64       // of a job that ends within its objective, or later
	Work             time.Duration // mean run time of a task
	WorkSpread       float64       // coefficient of variation, as in the other spreads
	MaxWork          time.Duration
	Steps            float64 // mean number of steps
	Width            float64 // mean number of tasks
	WidthSpread      float64
	MaxWidth         int
	Processors       int64
	Memory           int64
	Accelerators     []int64 // drawn for each job
	Gang             bool
	Compact          float64 // share of a gang queue's steps
	Checkpoints      float64 // share of steps
	EstimateSpread   float64 // of the declared run time
	TaskSpread       float64 // of the run times within a step
	LongShare        float64 // share of tasks that take LongFactor times as long; the members of a gang do so together
	LongFactor       float64
	FailureRate      float64  // share of runs that fail because of the job
	AlwaysFailing    float64  // share of jobs whose runs all fail
	Cancelled        float64  // share of jobs that their callers cancel
	Deadly           float64  // share of jobs with one task that crashes each worker on which it starts
	Lasting          bool     // the tasks run until the job is cancelled
	Spread           int32    // most tasks of a step on one worker, 0 for no limit
	Images           []string // one is drawn for each job, none for jobs without an image
	Tail             int64    // bound on the tail of the response times of lasting tasks, milliseconds, 0 for none
}

// Fault is a fault injected into some workers, or into the leader, for some time.
type Fault struct {
	Kind     FaultKind
	Start    time.Duration
	Duration time.Duration
	Share    float64 // of the workers, chosen at random
	Slowdown float64 // factor on run times, for Slow
	Capacity float64 // factor on the capacity, for Resize
	Workers  []int   // indices of the workers, in place of Share
	Place    string  // data centre, for Evacuate
	// LosesLeader means, for Evacuate, that the leader is lost between the commit of each order and its acknowledgement.
	LosesLeader bool
	// AfterCrashes is a number of crashes. If it is not 0, Start counts from the moment at which so many workers
	// have first crashed under one deadly task.
	AfterCrashes int
}

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of fault.
const (
	Crash          FaultKind = "crash"   // the worker exits and restarts as a new incarnation
	Partition      FaultKind = "cut"     // messages between worker and leader are lost in both directions
	Unreachable    FaultKind = "deaf"    // reports arrive, responses are lost
	Slow           FaultKind = "slow"    // runs take longer
	Failing        FaultKind = "failing" // runs fail as soon as they start
	Stuck          FaultKind = "stuck"   // runs make no progress
	Resize         FaultKind = "resize"  // the capacity of the worker shrinks, or grows, until the end of the fault
	Leave          FaultKind = "leave"   // the worker announces its exit, exits after Duration and restarts later
	LeaderChange   FaultKind = "depose"  // the leader steps down, a new one is elected at the end of the fault
	UnknownOutcome FaultKind = "unsure"  // commits return an error and may or may not be applied
	// Evacuate is an order that evacuates a data centre, and one that ends the evacuation at the end of the fault.
	Evacuate FaultKind = "evacuate"
)

// Options are the parameters of a simulation.
type Options struct {
	Seed   uint64
	Fleet  Fleet
	Load   Load
	Faults []Fault
	// Interference is the model of images that slow each other down.
	Interference Interference
	// ContinuousWaits means that crashes and restarts of workers do not start the times of waits anew.
	ContinuousWaits bool
	// LastTrialHold is by how much longer a job may wait of which a task is not tried again after one more crash.
	LastTrialHold time.Duration
	// DrainTime is how long the simulation continues after the end of the arrivals, 0 for drainTime.
	DrainTime time.Duration
	// Preemption is passed to the leader.
	Preemption placer.Preemption
	Log        *zap.Logger
}

// Simulator is the state of one simulation.
type Simulator struct {
	opts              Options
	random            *rand.Rand
	start             time.Time
	now               time.Time
	events            eventHeap
	sequence          uint64
	state             *tracker.Tracker
	leader            *coordinator.Coordinator // nil while there is no leader
	term              uint64
	outcomeUnknown    bool
	passing           bool      // a scheduling pass is in progress
	current           *process  // nil outside of calls
	commits           []*commit // in flight, in log order
	waiters           []*waiter
	workers           []*worker
	jobs              []*job
	jobsByID          map[string]*job
	gangs             map[gangKey]*gang
	activeRuns        map[tracker.TaskKey]int
	finishedTasks     map[tracker.TaskKey]bool // done on a worker
	acknowledgedTasks map[tracker.TaskKey]bool // done and acknowledged by the leader
	triggered         []bool                   // faults with AfterCrashes that have been scheduled, by index
	disturbedAt       time.Time                // last begin or end of a fault
	electedAt         time.Time                // of the last leader
	lastingWaits      map[tracker.TaskKey]*wait
	orders            map[string]*order // the last one about each data centre
	orderList         []*order          // all, in the order in which they were sent
	interferenceAt    time.Duration     // of the last change of the model of interference, since the start
	result            Result
}

// Run runs a simulation to its end and returns the result.
func Run(opts Options) *Result { return &simulate(opts).result }

func simulate(opts Options) *Simulator {
	s := &Simulator{
		opts: opts, random: rand.New(rand.NewPCG(opts.Seed, opts.Seed^0x5bd1e995)), start: time.Unix(1_700_000_000, 0),
		state: tracker.New(), jobsByID: map[string]*job{}, gangs: map[gangKey]*gang{}, activeRuns: map[tracker.TaskKey]int{},
		finishedTasks: map[tracker.TaskKey]bool{}, acknowledgedTasks: map[tracker.TaskKey]bool{},
		lastingWaits: map[tracker.TaskKey]*wait{}, orders: map[string]*order{},
	}
	s.now = s.start
	s.triggered = make([]bool, len(opts.Faults))
	s.electLeader()
	s.installCatalog()
	s.addWorkers()
	s.scheduleArrivals()
	s.scheduleFaults()
	s.scheduleInterference()
	s.every(passInterval, func() {
		if leader := s.leader; leader != nil && !s.passing {
			s.passing = true
			s.spawn(func() {
				leader.Pass(context.Background())
				s.passing = false
			})
		}
	})
	s.every(waitCheckInterval, s.checkWaits)
	end := s.start.Add(opts.Load.Duration + cmp.Or(opts.DrainTime, drainTime))
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(*event)
		if e.at.After(end) {
			break
		}
		s.now = e.at
		e.run()
		s.wakeWaiters()
	}
	s.collectResult()
	return s
}

// drainTime is how long a simulation continues after the end of the arrivals.
const drainTime = 120 * time.Second

// event is a function scheduled for a point in virtual time.
type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }

// Less orders by time, then by the order of scheduling.
func (h eventHeap) Less(i, j int) bool {
	return cmp.Or(h[i].at.Compare(h[j].at), cmp.Compare(h[i].sequence, h[j].sequence)) < 0
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(*event)) }

func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// after schedules run for the time d from now.
func (s *Simulator) after(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, &event{at: s.now.Add(d), sequence: s.sequence, run: run})
}

// every schedules run periodically, first after d.
func (s *Simulator) every(d time.Duration, run func()) {
	s.after(d, func() {
		run()
		s.every(d, run)
	})
}

// process is a call to the leader, run as a coroutine that yields while it waits. One runs at a time, which
// keeps simulations deterministic.
type process struct {
	yielded chan struct{} // the process waits or has returned
	resumed chan struct{}
}

// spawn runs a call until it first yields or returns.
func (s *Simulator) spawn(run func()) {
	p := &process{yielded: make(chan struct{}), resumed: make(chan struct{})}
	outer := s.current
	s.current = p
	go func() {
		run()
		p.yielded <- struct{}{}
	}()
	<-p.yielded
	s.current = outer
}

// commit is a change that is being committed to the log.
type commit struct {
	process  *process
	change   *messages.QueueChange
	resolved bool
	err      error
}

// commit proposes a change and waits until it is applied or has failed.
func (s *Simulator) commit(term uint64, change *messages.QueueChange) error {
	if term != s.term || s.leader == nil {
		return errNotLeader
	}
	c := &commit{process: s.current, change: change}
	s.commits = append(s.commits, c)
	if s.current == nil {
		s.resolveCommit(c, true, nil) // no process that could yield
		return nil
	}
	s.after(commitDelay, func() {
		if !c.resolved {
			s.resolveCommit(c, !s.outcomeUnknown || s.random.IntN(2) == 0, nil)
			if s.outcomeUnknown || s.loseLeader(c.change) {
				c.err = errOutcomeUnknown
			}
		}
		s.resume(c.process)
	})
	p := s.current
	p.yielded <- struct{}{}
	<-p.resumed
	return c.err
}

// maxReadDelay bounds the time that a call waits for the replica.
const maxReadDelay = 8 * time.Millisecond

// delayRead yields for a random time, so that other calls may run before a read.
func (s *Simulator) delayRead() {
	p := s.current
	if p == nil {
		return
	}
	s.after(time.Duration(s.random.Int64N(int64(maxReadDelay))), func() { s.resume(p) })
	p.yielded <- struct{}{}
	<-p.resumed
}

// waiter is a call that waits in a long poll.
type waiter struct {
	process *process
	wake    <-chan struct{}
}

// wait blocks the current call until wake is ready or limit has passed.
func (s *Simulator) wait(_ context.Context, wake <-chan struct{}, limit time.Duration) {
	w := &waiter{process: s.current, wake: wake}
	s.waiters = append(s.waiters, w)
	s.after(limit, func() {
		if s.dropWaiter(w) {
			s.resume(w.process)
		}
	})
	w.process.yielded <- struct{}{}
	<-w.process.resumed
}

// dropWaiter removes a waiter. It reports whether the call was still waiting.
func (s *Simulator) dropWaiter(w *waiter) bool {
	i := slices.Index(s.waiters, w)
	if i >= 0 {
		s.waiters = slices.Delete(s.waiters, i, i+1)
	}
	return i >= 0
}

// wakeWaiters resumes the calls whose wake channels are ready after the last event.
func (s *Simulator) wakeWaiters() {
	for _, w := range slices.Clone(s.waiters) {
		select {
		case <-w.wake:
			s.dropWaiter(w)
			s.resume(w.process)
		default:
		}
	}
}

// resume continues a process until it yields again or returns.
func (s *Simulator) resume(p *process) {
	outer := s.current
	s.current = p
	p.resumed <- struct{}{}
	<-p.yielded
	s.current = outer
}

// resolveCommit settles the outcome of a commit: its change is applied now or never.
func (s *Simulator) resolveCommit(c *commit, applied bool, err error) {
	c.resolved, c.err = true, err
	if applied {
		s.state.Apply(c.change)
	}
	s.commits = slices.DeleteFunc(s.commits, func(other *commit) bool { return other == c })
}

// endLeadership removes the leader. Of the commits in flight, a random prefix in log order is applied, as if
// the next leader held the log up to there; the outcome of all of them is unknown to their callers.
func (s *Simulator) endLeadership() {
	s.disturb()
	s.leader = nil
	s.passing = false
	kept := s.random.IntN(len(s.commits) + 1)
	for i, c := range slices.Clone(s.commits) {
		s.resolveCommit(c, i < kept, errOutcomeUnknown)
	}
}

// errNotLeader is returned by a leader that has been replaced.
var errNotLeader = errors.New("not the leader")

// errCallCancelled is returned by a read whose caller has cancelled the call.
var errCallCancelled = errors.New("call cancelled by the caller")

// errOutcomeUnknown is returned by a commit that may or may not be applied.
var errOutcomeUnknown = errors.New("commit outcome unknown")

// electLeader starts a new leader. All it has is the replicated state.
func (s *Simulator) electLeader() {
	s.disturb()
	s.electedAt = s.now
	s.term++
	term := s.term
	s.leader = coordinator.NewStepped(coordinator.Options{
		Timing: coordinator.Timing{
			Lease: s.opts.Fleet.MaxLease, MaxLease: s.opts.Fleet.MaxLease, MinReportInterval: 250 * time.Millisecond, MaxPollTime: s.opts.Fleet.MaxPollTime,
			MaxStopTime: s.opts.Fleet.MaxStopTime, MaxContactTimeout: 2200 * time.Millisecond, Retention: 3 * time.Minute,
		},
		Read: func(_ context.Context, read func(uint64, *tracker.Tracker)) error {
			s.delayRead()
			switch {
			case term != s.term || s.leader == nil:
				return errNotLeader
			case s.current != nil && s.random.Float64() < s.opts.Load.CancelledReads:
				return errCallCancelled
			}
			read(term, s.state)
			return nil
		},
		Commit: func(_ context.Context, decided uint64, change *messages.QueueChange) (applier.Receipt, error) {
			return applier.Receipt{}, s.commit(decided, change)
		},
		RedirectError: func(_ context.Context, err error) error { return err },
		Wait:          s.wait,
		Now:           func() time.Time { return s.now },
		Wall:          func() time.Time { return s.now },
		RackFactor:    crossRackSlowdown,
		Preemption:    s.opts.Preemption,
		Metrics:       tally.NoopScope,
		Log:           s.opts.Log,

		IgnoreInterference: s.opts.Interference.Ignored,
	})
}

// installCatalog applies a catalog with the queues and organisations of the load.
func (s *Simulator) installCatalog() {
	c := &messages.Catalog{Version: 1, Pools: []*messages.Pool{{Name: poolName}}}
	for _, q := range s.opts.Load.Queues {
		c.Queues = append(c.Queues, &messages.Queue{
			Name: q.Name, Host: hostName, Prefix: "/" + q.Name + "/", Pool: poolName, Priority: q.Priority, Attempts: q.Attempts,
			Stretch: q.Stretch, Target: q.Target.Milliseconds(),
		})
	}
	for i := range max(s.opts.Load.Organisations, 1) {
		name := fmt.Sprintf("org%d", i)
		c.Organisations = append(c.Organisations, &messages.Organisation{Name: name, Keys: []string{name}, Accelerators: s.opts.Load.Guaranteed})
	}
	s.state.Apply(&messages.QueueChange{Catalog: c})
}

const (
	poolName = "pool"
	hostName = "host"
)

// scheduleFaults schedules the starts of the faults that do not follow a crash.
func (s *Simulator) scheduleFaults() {
	for _, f := range s.opts.Faults {
		if f.AfterCrashes == 0 {
			s.after(f.Start, func() { s.startFault(f) })
		}
	}
}

func (s *Simulator) startFault(f Fault) {
	if f.Kind != Crash || !s.opts.ContinuousWaits {
		s.disturb()
	}
	switch f.Kind {
	case LeaderChange:
		s.endLeadership()
		s.after(f.Duration, s.electLeader)
		return
	case UnknownOutcome:
		s.outcomeUnknown = true
		s.after(f.Duration, func() {
			s.disturb()
			s.outcomeUnknown = false
		})
		return
	case Evacuate:
		s.evacuate(f)
		return
	case Crash, Partition, Unreachable, Slow, Failing, Stuck, Resize, Leave:
	}
	chosen := f.Workers
	if chosen == nil {
		n := int(f.Share*float64(len(s.workers)) + 0.5)
		chosen = s.random.Perm(len(s.workers))[:n]
	}
	slices.Sort(chosen)
	for _, i := range chosen {
		w := s.workers[i]
		w.startFault(f)
		s.after(f.Duration, func() { w.endFault(f) })
	}
}

// recordViolation adds an invariant violation to the result.
func (s *Simulator) recordViolation(format string, args ...any) {
	if len(s.result.Violations) < maxViolations {
		s.result.Violations = append(s.result.Violations, fmt.Sprintf("%v: %s", s.now.Sub(s.start), fmt.Sprintf(format, args...)))
	}
}

// maxViolations bounds the violations kept in the result.
const maxViolations = 20
