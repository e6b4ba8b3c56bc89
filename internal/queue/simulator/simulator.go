// Package simulator is a model of the served systems: callers that submit jobs, workers that run
// tasks under leases, and the links between them, all in virtual time. It drives the real coordinator
// over the real account, checks the promises while it runs and adds up what callers got. It is
// deterministic for a seed and needs no network.
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
	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// Times of the model that the users' sites have in common.
const (
	linkDelay   = 7 * time.Millisecond  // one way, the mean over data centres
	commitDelay = 40 * time.Millisecond // two hops between regions and two syncs
	afterEnd    = 50 * time.Millisecond // until a worker reports an end
	answerLimit = time.Second           // after which a worker drops an answer
	passEvery   = 50 * time.Millisecond
	gangWait    = 3 * time.Second
	pollEvery   = 500 * time.Millisecond // of a caller that waits for its job
	farFactor   = 3
)

// Fleet is the workers of a simulation.
type Fleet struct {
	Workers      int
	PerRack      int
	Processors   int64 // thousandths, of one worker
	Memory       int64 // MB
	Accelerators int64
	Speeds       []float64     // drawn for each worker
	Lease        time.Duration // longest that a worker grants
	Stop         time.Duration // longest that a stop takes
	Checkpoint   time.Duration // of work between two checkpoints
	Restore      time.Duration
	Hold         time.Duration // longest time for which the leader holds the answer to a report
}

// Load is what callers ask for.
type Load struct {
	Queues        []Queue
	Organisations int
	Guaranteed    int64 // accelerators of each organisation
	Length        time.Duration
	Bursts        []Burst
	Abandoned     float64 // share of looks at the account that a call does not live to see
}

// Burst multiplies the arrivals of one queue for a time.
type Burst struct {
	Queue     int
	From, For time.Duration
	Times     float64
}

// Queue is one kind of job.
type Queue struct {
	Name         string
	PerSecond    float64
	Priority     int32
	Attempts     int32
	Stretch      float64
	Target       time.Duration
	Worth, Late  float64
	Work         time.Duration // mean of one task
	WorkSpread   float64       // coefficient of variation
	WorkMost     time.Duration
	Steps        float64 // mean
	Width        float64 // mean number of tasks
	WidthSpread  float64
	WidthMost    int
	Processors   int64
	Memory       int64
	Accelerators []int64 // drawn for each job
	Gang         bool
	Compact      float64 // share of jobs
	Checkpoints  float64 // share of jobs
	EstimateOff  float64 // spread of the declared run time
	Uneven       float64 // spread of the work of the tasks of a step
	Failing      float64 // share of runs that fail through the job's own fault
	Hopeless     float64 // share of jobs whose tasks always fail
	Cancelled    float64 // share of jobs
}

// Trouble is what befalls some workers for a time.
type Trouble struct {
	Kind    Kind
	From    time.Duration
	For     time.Duration
	Share   float64 // of the workers
	Factor  float64 // how much slower
	Workers []int   // chosen ones in place of a share
}

// Kind is a kind of trouble.
type Kind string

// The kinds of trouble.
const (
	Crash   Kind = "crash"   // the worker is gone and comes back in a new life
	Cut     Kind = "cut"     // nothing passes between the worker and the leader
	Deaf    Kind = "deaf"    // reports arrive, answers don't
	Slow    Kind = "slow"    // work takes longer
	Failing Kind = "failing" // everything that starts fails at once
	Stuck   Kind = "stuck"   // work stands still
	Depose  Kind = "depose"  // the leader is replaced after the time
	Unsure  Kind = "unsure"  // commits fail without a word on their outcome
)

// Options are what one simulation is made of.
type Options struct {
	Seed     uint64
	Fleet    Fleet
	Load     Load
	Troubles []Trouble
	Log      *zap.Logger
}

// Simulator is one run of the model.
type Simulator struct {
	opts      Options
	random    *rand.Rand
	start     time.Time
	now       time.Time
	events    eventHeap
	order     uint64
	book      *tracker.Tracker
	leader    *coordinator.Coordinator // nil while there is none
	term      uint64
	unsure    bool
	passing   bool // a pass of the leader waits for its commit
	current   *process
	commits   []*commit // under way, in the order of the log
	waiters   []*waiter
	workers   []*worker
	jobs      []*job
	byID      map[string]*job
	gangs     map[gangKey]*gang
	running   map[tracker.TaskKey]int
	endedDone map[tracker.TaskKey]bool // on a worker
	doneTasks map[tracker.TaskKey]bool // and confirmed by the leader
	catalog   *messages.Catalog
	result    Result
}

// New runs one simulation to its end and returns what came out of it.
func New(opts Options) *Result { return &simulate(opts).result }

func simulate(opts Options) *Simulator {
	s := &Simulator{
		opts: opts, random: rand.New(rand.NewPCG(opts.Seed, opts.Seed^0x5bd1e995)), start: time.Unix(1_700_000_000, 0),
		book: tracker.New(), byID: map[string]*job{}, gangs: map[gangKey]*gang{}, running: map[tracker.TaskKey]int{},
		endedDone: map[tracker.TaskKey]bool{}, doneTasks: map[tracker.TaskKey]bool{},
	}
	s.now = s.start
	s.elect()
	s.install()
	s.addWorkers()
	s.arrivals()
	s.plan()
	s.every(passEvery, func() {
		if leader := s.leader; leader != nil && !s.passing {
			s.passing = true
			s.spawn(func() {
				leader.Pass(context.Background())
				s.passing = false
			})
		}
	})
	end := s.start.Add(opts.Load.Length + finishTime)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(*event)
		if e.at.After(end) {
			break
		}
		s.now = e.at
		e.run()
		s.wakeWaiters()
	}
	s.settle()
	return s
}

// finishTime is how long the model goes on after the last arrival.
const finishTime = 120 * time.Second

// event is something that happens at a time.
type event struct {
	at    time.Time
	order uint64
	run   func()
}

type eventHeap []*event

// Len returns the number of events.
func (h eventHeap) Len() int { return len(h) }

// Less orders by time, then by the order of planning.
func (h eventHeap) Less(i, j int) bool {
	return cmp.Or(h[i].at.Compare(h[j].at), cmp.Compare(h[i].order, h[j].order)) < 0
}

// Swap exchanges two events.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an event.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(*event)) }

// Pop removes the last event.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func (s *Simulator) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, &event{at: s.now.Add(d), order: s.order, run: run})
}

func (s *Simulator) every(d time.Duration, run func()) {
	s.after(d, func() {
		run()
		s.every(d, run)
	})
}

// process is a call to the leader, which waits while something is committed. One runs at a time.
type process struct {
	parked  chan struct{} // the process waits or has ended
	resumed chan struct{}
}

// spawn runs a call until it waits for a commit or ends.
func (s *Simulator) spawn(run func()) {
	p := &process{parked: make(chan struct{}), resumed: make(chan struct{})}
	outer := s.current
	s.current = p
	go func() {
		run()
		p.parked <- struct{}{}
	}()
	<-p.parked
	s.current = outer
}

// commit is a change on its way through the log.
type commit struct {
	process *process
	change  *messages.QueueChange
	ended   bool
	err     error
}

// commit puts a change into the log and waits until it is applied.
func (s *Simulator) commit(term uint64, change *messages.QueueChange) error {
	if term != s.term || s.leader == nil {
		return errDeposed
	}
	c := &commit{process: s.current, change: change}
	s.commits = append(s.commits, c)
	if s.current == nil {
		s.settleCommit(c, true, nil) // a call outside of any process can't wait
		return nil
	}
	s.after(commitDelay, func() {
		if !c.ended {
			s.settleCommit(c, !s.unsure || s.random.IntN(2) == 0, nil)
			if s.unsure {
				c.err = errUnsure
			}
		}
		s.resume(c.process)
	})
	p := s.current
	p.parked <- struct{}{}
	<-p.resumed
	return c.err
}

// mostQueued bounds how long a call waits until the replica turns to it.
const mostQueued = 8 * time.Millisecond

// queueForReplica lets other calls go first.
func (s *Simulator) queueForReplica() {
	p := s.current
	if p == nil {
		return
	}
	s.after(time.Duration(s.random.Int64N(int64(mostQueued))), func() { s.resume(p) })
	p.parked <- struct{}{}
	<-p.resumed
}

// waiter is a call whose answer is held.
type waiter struct {
	process *process
	wake    <-chan struct{}
}

// wait holds a call until it is woken or a time is over.
func (s *Simulator) wait(_ context.Context, wake <-chan struct{}, limit time.Duration) {
	w := &waiter{process: s.current, wake: wake}
	s.waiters = append(s.waiters, w)
	s.after(limit, func() {
		if s.dropWaiter(w) {
			s.resume(w.process)
		}
	})
	w.process.parked <- struct{}{}
	<-w.process.resumed
}

// dropWaiter reports whether a call still waited.
func (s *Simulator) dropWaiter(w *waiter) bool {
	i := slices.Index(s.waiters, w)
	if i >= 0 {
		s.waiters = slices.Delete(s.waiters, i, i+1)
	}
	return i >= 0
}

// wakeWaiters lets the calls go on that the last event has woken.
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

func (s *Simulator) resume(p *process) {
	outer := s.current
	s.current = p
	p.resumed <- struct{}{}
	<-p.parked
	s.current = outer
}

// settleCommit decides on a change: it is applied, or it never will be.
func (s *Simulator) settleCommit(c *commit, applied bool, err error) {
	c.ended, c.err = true, err
	if applied {
		s.book.Apply(c.change)
	}
	s.commits = slices.DeleteFunc(s.commits, func(other *commit) bool { return other == c })
}

// depose ends the leadership. What is under way survives up to a point in the log that a successor
// happens to hold.
func (s *Simulator) depose() {
	s.leader = nil
	s.passing = false
	keep := s.random.IntN(len(s.commits) + 1)
	for i, c := range slices.Clone(s.commits) {
		s.settleCommit(c, i < keep, errUnsure)
	}
}

// errDeposed is what a leader answers that leads no more.
var errDeposed = errors.New("not the leader")

// errAbandoned is what a call meets whose sender has gone.
var errAbandoned = errors.New("the call was abandoned")

// errUnsure is what a commit returns whose outcome is not known.
var errUnsure = errors.New("the outcome is not known")

// elect puts a new leader in place, which knows nothing but the account.
func (s *Simulator) elect() {
	s.term++
	term := s.term
	s.leader = coordinator.NewStepped(coordinator.Options{
		Timing: coordinator.Timing{
			Lease: s.opts.Fleet.Lease, MaxLease: s.opts.Fleet.Lease, MinReportInterval: 250 * time.Millisecond, MaxPollTime: s.opts.Fleet.Hold,
			MaxContactTimeout: 2200 * time.Millisecond, Retention: 3 * time.Minute,
		},
		Read: func(_ context.Context, read func(uint64, *tracker.Tracker)) error {
			s.queueForReplica()
			switch {
			case term != s.term || s.leader == nil:
				return errDeposed
			case s.current != nil && s.random.Float64() < s.opts.Load.Abandoned:
				return errAbandoned
			}
			read(term, s.book)
			return nil
		},
		Commit:        func(_ context.Context, change *messages.QueueChange) error { return s.commit(term, change) },
		RedirectError: func(_ context.Context, err error) error { return err },
		Wait:          s.wait,
		Now:           func() time.Time { return s.now },
		Wall:          func() time.Time { return s.now },
		Metrics:       tally.NoopScope,
		Log:           s.opts.Log,
	})
}

// install puts the catalog in force.
func (s *Simulator) install() {
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
	s.catalog = c
	s.book.Apply(&messages.QueueChange{Catalog: c})
}

const (
	poolName = "pool"
	hostName = "host"
)

// plan schedules the troubles.
func (s *Simulator) plan() {
	for _, t := range s.opts.Troubles {
		s.after(t.From, func() { s.strike(t) })
	}
}

func (s *Simulator) strike(t Trouble) {
	switch t.Kind {
	case Depose:
		s.depose()
		s.after(t.For, s.elect)
		return
	case Unsure:
		s.unsure = true
		s.after(t.For, func() { s.unsure = false })
		return
	case Crash, Cut, Deaf, Slow, Failing, Stuck:
	}
	chosen := t.Workers
	if chosen == nil {
		n := int(t.Share*float64(len(s.workers)) + 0.5)
		chosen = s.random.Perm(len(s.workers))[:n]
	}
	slices.Sort(chosen)
	for _, i := range chosen {
		w := s.workers[i]
		w.strike(t)
		s.after(t.For, func() { w.recover(t) })
	}
}

// violate takes note of a broken promise.
func (s *Simulator) violate(format string, args ...any) {
	if len(s.result.Broken) < mostBroken {
		s.result.Broken = append(s.result.Broken, fmt.Sprintf("%v: %s", s.now.Sub(s.start), fmt.Sprintf(format, args...)))
	}
}

// mostBroken bounds the broken promises that are kept.
const mostBroken = 20
