// Package scheduler is the replicated state machine that decides which job runs where and when, which slots are
// reclaimed for a guarantee, and how each request is answered. It turns events into orders. It is deterministic
// and does no I/O; time is part of the events. Every replica applies the same log to it.
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
	holdTimeout         = 2 * time.Second        // for all members of a gang to hold their slots
	urgentGrace         = 500 * time.Millisecond // for a checkpoint that frees slots for an urgent job
	avoidPeriod         = 5 * time.Second        // before a job may return to a worker on which it failed
	passInterval        = 5 * time.Second        // between passes while jobs are waiting
	reservationDelay    = 30 * time.Second       // before a waiting large gang gets a reservation
	maxReservations     = 2                      // concurrent reservations
	scanDepth           = 32                     // waiting jobs tried per organisation and pass
	minBackoff          = 100 * time.Millisecond // after a refused attempt; doubles with each refusal
	maxBackoff          = 5 * time.Second
	maxPassesPerStep    = 4 // slots freed by the last pass are used in the next step
	maxFailures         = 3 // failed attempts of an idempotent job
	maxLosses           = 8 // attempts of an idempotent job that ended with a lost worker
	maxAvoidedWorkers   = 4
	answerRetention     = 24 * time.Hour
	maxAnswers          = 50_000           // retained per organisation
	maxManifestVersions = 4096             // manifest versions whose digest is retained
	agingPeriod         = 10 * time.Minute // of waiting, which halves the share that a job is ranked by
)

// worker is a registered worker.
type worker struct {
	WorkerInfo
	Since time.Time `json:"since"`
	Lost  bool      `json:"gone,omitempty"` // lost, but still has grants
	// Closed means that the evacuation of its place made it unusable. Only snapshots of format 2 hold it.
	Closed bool `json:"closed,omitempty"`
}

// State is the state of the scheduler.
type State struct {
	now             time.Time
	manifestText    []byte
	manifest        *parser.Manifest
	manifestDigests map[uint64][32]byte // SHA-256 of applied manifests by version
	fleet           *allocator.Fleet
	declaredFleet   *allocator.Fleet // all declared workers, without jobs
	workers         map[string]*worker
	jobs            map[string]*job
	waiting         map[string][]*job // by organisation, in scheduling order
	byGrant         map[allocator.GrantID]*job
	withDeadline    map[string]*job // by ID
	// unconfirmed holds the jobs that may have orders in flight. It is derived from the rest of the state and not
	// part of snapshots.
	unconfirmed     map[string]*job
	usedSlots       map[string]int // by organisation
	answered        map[string][]string
	lostWorkers     []string // lost workers that are still part of the fleet
	lastGrant       allocator.GrantID
	nextPass        time.Time
	retryAt         time.Time // end of the earliest back-off
	capacityChanged bool      // free slots or guarantees changed since the last pass
	newJobs         []*job
	estimates       *estimator.Estimator
	health          *detector.Detector
	queues          *tracker.Tracker
	orders          []Order
}

// New returns an empty state.
func New() *State {
	s := &State{
		manifestDigests: map[uint64][32]byte{},
		workers:         map[string]*worker{},
		jobs:            map[string]*job{},
		waiting:         map[string][]*job{},
		byGrant:         map[allocator.GrantID]*job{},
		withDeadline:    map[string]*job{},
		unconfirmed:     map[string]*job{},
		usedSlots:       map[string]int{},
		answered:        map[string][]string{},
		estimates:       estimator.New(),
		health:          detector.New(),
		queues:          tracker.New(),
	}
	s.fleet = allocator.New(allocator.Geometry{Slots: 8, Workers: 8}, s.lostWork)
	return s
}

// Step applies one event and returns the resulting orders. Time never goes back: a time before that of the last
// event is replaced by it.
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
	case WorkerLost:
		s.loseWorker(e)
	case Submit:
		s.submit(e)
	case Cancel:
		s.cancel(e)
	case Report:
		s.applyReport(e)
	case ChangeQueues:
		places := s.changeQueues(e.Change)
		if len(places) == 0 {
			return nil // queues have their own workers and rules, so the fleet needs no new pass
		}
		s.applyEvacuations(places)
	case PruneHealth:
		s.health.Prune(s.hasJoined, s.hasEnded)
	case Tick:
	default:
		panic(fmt.Sprintf("unknown event %T", e))
	}
	s.handleDeadlines()
	s.schedule()
	return s.orders
}

// Next returns when the next Tick is due. ok is false if there is no deadline.
func (s *State) Next() (next time.Time, ok bool) {
	consider := func(t time.Time) {
		if !t.IsZero() && (!ok || t.Before(next)) {
			next, ok = t, true
		}
	}
	for _, j := range s.withDeadline {
		consider(j.Deadline)
	}
	consider(s.nextPass)
	consider(s.retryAt)
	if probe, due := s.health.NextProbe(); due {
		consider(probe)
	}
	return next, ok
}

// Outstanding returns the orders that have not been acknowledged. The leader resends them until they are;
// workers recognise duplicates by the attempt.
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

// markUnconfirmed notes that orders for a job are in flight.
func (s *State) markUnconfirmed(j *job) { s.unconfirmed[j.ID] = j }

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
		if !m.State.terminal() && m.State != Checkpointed {
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

// Job returns the view of a job of an organisation.
func (s *State) Job(org, key string) (JobView, bool) {
	j := s.jobs[JobID(org, key)]
	if j == nil {
		return JobView{}, false
	}
	return s.view(j), true
}

// Jobs returns the views of the jobs of an organisation, or of all organisations if org is empty, sorted by ID.
// Answered jobs are included only if all is set.
func (s *State) Jobs(org string, all bool) []JobView {
	var views []JobView
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		if (org == "" || j.Org == org) && (all || j.Answer == nil) {
			views = append(views, s.view(j))
		}
	}
	return views
}

// WorkerView is the operator's view of a worker.
type WorkerView struct {
	WorkerInfo
	State string `json:"state"` // ready, leaving, aside (quarantined), evacuated or lost
	Jobs  int    `json:"jobs"`
}

// Workers returns all known workers, sorted by name.
func (s *State) Workers() []WorkerView {
	var views []WorkerView
	for _, name := range slices.Sorted(maps.Keys(s.workers)) {
		w := s.workers[name]
		v := WorkerView{WorkerInfo: w.WorkerInfo, State: "ready", Jobs: len(s.fleet.GrantsOn(name))}
		switch {
		case w.Lost:
			v.State = "lost"
		case w.Leaving:
			v.State = "leaving"
		case s.health.IsQuarantined(name):
			v.State = "aside"
		case s.queues.IsEvacuated(w.Place):
			v.State = "evacuated"
		}
		views = append(views, v)
	}
	return views
}

// Worker returns the last announcement of a worker. ok is false for unknown and lost workers.
func (s *State) Worker(name string) (info WorkerInfo, ok bool) {
	w := s.workers[name]
	if w == nil || w.Lost {
		return WorkerInfo{}, false
	}
	return w.WorkerInfo, true
}

// GuaranteeView is the state of the guarantees of one organisation.
type GuaranteeView struct {
	Org string `json:"organisation"`
	allocator.GuaranteeUsage
	AtRisk  []string `json:"atrisk,omitempty"`
	Waiting int      `json:"waiting"`
}

// Guarantees returns the state of the guarantees of each organisation.
func (s *State) Guarantees() []GuaranteeView {
	if s.manifest == nil {
		return nil
	}
	missing := s.fleet.AtRisk()
	var views []GuaranteeView
	for _, o := range s.manifest.Organisations {
		v := GuaranteeView{Org: o.Name, GuaranteeUsage: s.fleet.GuaranteeUsage(o.Name), Waiting: len(s.waiting[o.Name])}
		for _, g := range missing {
			if g.Org == o.Name {
				v.AtRisk = append(v.AtRisk, g.String())
			}
		}
		views = append(views, v)
	}
	return views
}

// Manifest returns the manifest in force and its text, or nil.
func (s *State) Manifest() (*parser.Manifest, []byte) { return s.manifest, s.manifestText }

// Queues returns the replicated queue state.
func (s *State) Queues() *tracker.Tracker { return s.queues }

// Version returns the version of the manifest in force, or 0 if there is none.
func (s *State) Version() uint64 {
	if s.manifest == nil {
		return 0
	}
	return s.manifest.Version
}

// Now returns the time of the last event.
func (s *State) Now() time.Time { return s.now }

// Fragmentation returns the share of free slots that are not part of a free cell of the size of a worker.
func (s *State) Fragmentation() float64 {
	free := s.fleet.FreeSlots()
	if free == 0 {
		return 0
	}
	level := s.fleet.Geometry().WorkerLevel()
	return 1 - float64(s.fleet.FreeCells(level)<<level)/float64(free)
}

// Attempt identifies an attempt of a job.
type Attempt struct {
	Job    string
	Number uint32
}

// GangsOn returns the attempts of multi-worker gangs that have a member on the named worker.
func (s *State) GangsOn(name string) []Attempt {
	var attempts []Attempt
	for _, id := range s.fleet.GrantsOn(name) {
		if j := s.byGrant[id]; j != nil && len(j.Members) > 1 {
			attempts = append(attempts, Attempt{Job: j.ID, Number: j.Attempt})
		}
	}
	return attempts
}

// EachWorker calls visit for each worker that is not lost, in no particular order.
func (s *State) EachWorker(visit func(WorkerInfo)) {
	for _, w := range s.workers {
		if !w.Lost {
			visit(w.WorkerInfo)
		}
	}
}

func (s *State) emit(o Order) { s.orders = append(s.orders, o) }

func (s *State) record(kind, subject, org, format string, args ...any) {
	s.emit(Record{Time: s.now, Kind: kind, Subject: subject, Org: org, Text: fmt.Sprintf(format, args...)})
}

// JobByID returns the view of the job with an ID as returned by [JobID].
func (s *State) JobByID(id string) (JobView, bool) {
	j := s.jobs[id]
	if j == nil {
		return JobView{}, false
	}
	return s.view(j), true
}
