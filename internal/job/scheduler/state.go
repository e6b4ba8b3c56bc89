// Package scheduler turns events into orders: which job runs where and when, what is taken back
// for a guarantee, and what each caller is told. It is deterministic and does no input or
// output; time comes in with the events. Every keeper runs it over the same log.
package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/job/allocator"
	"github.com/bluebellgauge/bluebellgauge/internal/job/estimator"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/detector"
)

const (
	holdTimeout    = 2 * time.Second        // for all members of a gang to keep room
	urgentGrace    = 500 * time.Millisecond // of a checkpoint that makes room for urgent work
	avoidFor       = 5 * time.Second        // before a job may use a worker again where it failed
	passInterval   = 5 * time.Second        // between passes while jobs wait
	claimAfter     = 30 * time.Second       // of waiting before a large gang reserves a cell
	maxClaims      = 2                      // soft claims at one time
	scanDepth      = 32                     // waiting jobs of one organisation tried in one pass
	firstBackoff   = 100 * time.Millisecond // after an attempt that workers refused
	longestBackoff = 5 * time.Second
	maxPasses      = 4 // in one step; what the last one frees waits for the next step
	maxFailures    = 3 // attempts of an idempotent job that end badly
	maxLosses      = 8 // attempts of an idempotent job whose worker was lost
	maxAvoid       = 4
	retention      = 24 * time.Hour // of answers
	maxAnswers     = 50_000         // kept for each organisation
	maxVersions    = 4096           // manifest versions whose content is remembered
	ageScale       = 10 * time.Minute
)

// worker is an announced worker.
type worker struct {
	WorkerInfo
	Since time.Time `json:"since"`
	Gone  bool      `json:"gone,omitempty"` // lost, and its grants not yet ended
}

// State is everything the decisions depend on.
type State struct {
	now      time.Time
	text     []byte
	manifest *parser.Manifest
	versions map[uint64][32]byte // content of earlier manifests
	fleet    *allocator.Fleet
	declared *allocator.Fleet // every declared worker, empty
	workers  map[string]*worker
	jobs     map[string]*job
	waiting  map[string][]*job // by organisation, in the order of work
	byGrant  map[allocator.GrantID]*job
	timed    map[string]*job // jobs with a deadline
	// unconfirmed holds the jobs that may have orders under way. It follows from the rest of
	// the state and is no part of snapshots.
	unconfirmed map[string]*job
	usage       map[string]int // slots held by each organisation
	answered    map[string][]string
	gone        []string // lost workers that still have a seat
	lastGrant   allocator.GrantID
	nextPass    time.Time
	retryAt     time.Time // end of the earliest back-off
	freed       bool      // room or rights changed since the last pass
	fresh       []*job
	estimates   *estimator.Estimator
	health      *detector.Detector
	queues      *tracker.Tracker
	orders      []Order
}

// New returns the state before the first event.
func New() *State {
	s := &State{
		versions:    map[uint64][32]byte{},
		workers:     map[string]*worker{},
		jobs:        map[string]*job{},
		waiting:     map[string][]*job{},
		byGrant:     map[allocator.GrantID]*job{},
		timed:       map[string]*job{},
		unconfirmed: map[string]*job{},
		usage:       map[string]int{},
		answered:    map[string][]string{},
		estimates:   estimator.New(),
		health:      detector.New(),
		queues:      tracker.New(),
	}
	s.fleet = allocator.New(allocator.Shape{Slots: 8, Workers: 8}, s.lostWork)
	return s
}

// Step applies one event and returns what follows from it, in order. A time before that of the
// last event counts as that time.
func (s *State) Step(now time.Time, e Event) []Order {
	if now.After(s.now) {
		s.now = now
	}
	s.orders = nil
	switch e := e.(type) {
	case ApplyManifest:
		s.applyManifest(e)
	case Announce:
		s.announce(e.Worker)
	case Lost:
		s.lose(e)
	case Submit:
		s.submit(e)
	case Cancel:
		s.cancel(e)
	case Report:
		s.report(e)
	case ChangeQueues:
		// Queues have workers and rules of their own; nothing of the cells follows from them.
		s.queues.Apply(e.Change)
		return nil
	case Tick:
	default:
		panic(fmt.Sprintf("unknown event %T", e))
	}
	s.expire()
	s.schedule()
	return s.orders
}

// Next returns when a Tick is due. ok is false while nothing waits for time to pass.
func (s *State) Next() (next time.Time, ok bool) {
	consider := func(t time.Time) {
		if !t.IsZero() && (!ok || t.Before(next)) {
			next, ok = t, true
		}
	}
	for _, j := range s.timed {
		consider(j.Deadline)
	}
	consider(s.nextPass)
	consider(s.retryAt)
	if probe, due := s.health.NextProbe(); due {
		consider(probe)
	}
	return next, ok
}

// Outstanding returns the orders that have not been confirmed. A leader sends them again
// until they are; workers tell copies by the attempt.
func (s *State) Outstanding() []Order {
	var orders []Order
	for _, id := range slices.Sorted(maps.Keys(s.unconfirmed)) {
		j := s.unconfirmed[id]
		before := len(orders)
		for rank, m := range j.Members {
			if o := outstanding(j, rank, m); o != nil {
				orders = append(orders, o)
			}
		}
		if len(orders) == before {
			delete(s.unconfirmed, id)
		}
	}
	return orders
}

// sent remembers that orders for a job are under way.
func (s *State) sent(j *job) { s.unconfirmed[j.ID] = j }

func outstanding(j *job, rank int, m Member) Order {
	switch j.Phase {
	case Holding:
		if m.State == Ordered {
			return Hold{j.part(rank)}
		}
	case Running:
		if m.State == Ordered || m.State == Held {
			return Start{Part: j.part(rank), Single: len(j.Members) == 1}
		}
	case Checkpointing:
		if !m.State.terminal() && m.State != Saved {
			return Checkpoint{j.part(rank)}
		}
	case Stopping:
		if !m.State.terminal() {
			return Stop{j.part(rank)}
		}
	case Waiting, Reclaiming, Complete:
	}
	return nil
}

// Job returns the view of one job of an organisation.
func (s *State) Job(org, key string) (View, bool) {
	j := s.jobs[JobID(org, key)]
	if j == nil {
		return View{}, false
	}
	return s.view(j), true
}

// Jobs returns the views of an organisation's jobs, or of all with "", sorted by name. Answered
// jobs are left out unless all is set.
func (s *State) Jobs(org string, all bool) []View {
	var views []View
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		if (org == "" || j.Org == org) && (all || j.Answer == nil) {
			views = append(views, s.view(j))
		}
	}
	return views
}

// WorkerView is what operators see of a worker.
type WorkerView struct {
	WorkerInfo
	State string `json:"state"` // ready, leaving, aside or lost
	Jobs  int    `json:"jobs"`
}

// Workers returns all known workers, sorted by name.
func (s *State) Workers() []WorkerView {
	var views []WorkerView
	for _, name := range slices.Sorted(maps.Keys(s.workers)) {
		w := s.workers[name]
		v := WorkerView{WorkerInfo: w.WorkerInfo, State: "ready", Jobs: len(s.fleet.GrantsOn(name))}
		switch {
		case w.Gone:
			v.State = "lost"
		case w.Leaving:
			v.State = "leaving"
		case s.health.IsAside(name):
			v.State = "aside"
		}
		views = append(views, v)
	}
	return views
}

// Worker returns what a worker announced last. ok is false for unknown and lost workers.
func (s *State) Worker(name string) (info WorkerInfo, ok bool) {
	w := s.workers[name]
	if w == nil || w.Gone {
		return WorkerInfo{}, false
	}
	return w.WorkerInfo, true
}

// ShapeView is the state of one organisation's guarantee.
type ShapeView struct {
	Org string `json:"organisation"`
	allocator.Holding
	AtRisk  []string `json:"atrisk,omitempty"`
	Waiting int      `json:"waiting"`
}

// Shapes returns the guarantee of each organisation.
func (s *State) Shapes() []ShapeView {
	if s.manifest == nil {
		return nil
	}
	missing := s.fleet.AtRisk()
	var views []ShapeView
	for _, o := range s.manifest.Organisations {
		v := ShapeView{Org: o.Name, Holding: s.fleet.Holding(o.Name), Waiting: len(s.waiting[o.Name])}
		for _, g := range missing {
			if g.Org == o.Name {
				v.AtRisk = append(v.AtRisk, g.String())
			}
		}
		views = append(views, v)
	}
	return views
}

// Manifest returns the manifest in force with its text, or nil.
func (s *State) Manifest() (*parser.Manifest, []byte) { return s.manifest, s.text }

// Queues returns the account of queues.
func (s *State) Queues() *tracker.Tracker { return s.queues }

// Version returns the version of the manifest in force, 0 for none.
func (s *State) Version() uint64 {
	if s.manifest == nil {
		return 0
	}
	return s.manifest.Version
}

// Now returns the time of the last event.
func (s *State) Now() time.Time { return s.now }

// Fragmentation returns the share of free slots that lie in no free cell of the level of a
// whole worker.
func (s *State) Fragmentation() float64 {
	free := s.fleet.FreeSlots()
	if free == 0 {
		return 0
	}
	level := s.fleet.Shape().WorkerLevel()
	return 1 - float64(s.fleet.FreeCells(level)<<level)/float64(free)
}

// Attempt names one attempt of a job.
type Attempt struct {
	Job    string
	Number uint32
}

// GangsOn returns the attempts of gangs of several workers that have a member on a worker.
func (s *State) GangsOn(name string) []Attempt {
	var attempts []Attempt
	for _, id := range s.fleet.GrantsOn(name) {
		if j := s.byGrant[id]; j != nil && len(j.Members) > 1 {
			attempts = append(attempts, Attempt{Job: j.ID, Number: j.Attempt})
		}
	}
	return attempts
}

// EachWorker calls visit for each worker that is not lost, in no order.
func (s *State) EachWorker(visit func(WorkerInfo)) {
	for _, w := range s.workers {
		if !w.Gone {
			visit(w.WorkerInfo)
		}
	}
}

func (s *State) emit(o Order) { s.orders = append(s.orders, o) }

func (s *State) record(kind, subject, org, format string, args ...any) {
	s.emit(Record{Time: s.now, Kind: kind, Subject: subject, Org: org, Text: fmt.Sprintf(format, args...)})
}

// JobByID returns the view of a job by its name across organisations.
func (s *State) JobByID(id string) (View, bool) {
	j := s.jobs[id]
	if j == nil {
		return View{}, false
	}
	return s.view(j), true
}
