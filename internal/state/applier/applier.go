// Package applier drives one replica: it feeds messages, proposals and ticks to the consensus,
// syncs what must be synced, applies committed entries to the decisions and hands out what
// follows. One goroutine owns the replica and the decisions.
package applier

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/state/persister"
	"github.com/bluebellgauge/bluebellgauge/internal/state/replicator"
	"github.com/bluebellgauge/bluebellgauge/internal/state/timekeeper"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// Errors of requests to a replica.
var (
	// ErrNotLeader tells that another replica must be asked. Nothing has happened.
	ErrNotLeader = errors.New("not the leader")
	// ErrUnsure tells that the leadership ended while the proposal was under way. It may still
	// be committed, so only the same proposal may be sent again.
	ErrUnsure = errors.New("the leadership ended before the outcome was known")
	// ErrStopped tells that the replica has stopped.
	ErrStopped = errors.New("the replica has stopped")
)

const (
	electionTicks  = 8
	heartbeatTicks = 3
	driftTicks     = 1
	maxBatch       = 1 << 20   // bytes
	chunkSize      = 256 << 10 // bytes
	inboxSize      = 1024
	maxDrain       = 512 // inputs taken into one sync
)

// Options are the dependencies and parameters of a replica.
type Options struct {
	Name          string
	Folder        string
	Bootstrap     *messages.Members // the first group, used when the folder is new
	Tick          time.Duration     // of the consensus; an election starts after 8 to 16
	SnapshotEvery int               // entries between snapshots
	Seed          uint64
	Now           func() time.Time
	Elapsed       func() time.Duration // the clock that ticks are counted on, nil for that of the machine
	Send          func([]*messages.Message)
	// Deliver hands out what follows from an entry. It must not block. leading tells that this
	// replica leads and so must carry out the orders.
	Deliver func(index, term uint64, leading bool, orders []scheduler.Order)
	Log     *zap.Logger
}

// Applier is one running replica.
type Applier struct {
	opts     Options
	keeper   *persister.Persister
	node     *replicator.Node
	state    *scheduler.State
	members  *messages.Members // in force at the last applied entry
	applied  uint64
	lastTime time.Time
	ticking  bool // a Tick has been proposed and not applied
	leading  bool // at the end of the last step

	inbox    chan input
	exchange chan input    // messages of the consensus, which go before all else
	ticked   time.Duration // of the clock that counts suspension, up to the last tick

	proposals map[uint64]*proposal
	waiters   map[string][]chan scheduler.View
	done      chan struct{}
	stop      chan struct{}
	failure   error

	// current is the membership at the end of the log, for readers outside of the goroutine.
	current atomic.Pointer[messages.Members]
	// leader is the name of the leader that is known, for readers outside of the goroutine.
	leader atomic.Pointer[string]
}

// input is something for the goroutine that owns the replica.
type input interface{ input() }

type inputMessages struct{ list []*messages.Message }

type inputCall struct{ run func() }

type proposal struct {
	kind  messages.EntryKind
	data  []byte
	event scheduler.Event
	term  uint64
	reply chan result
}

type result struct {
	orders []scheduler.Order
	err    error
}

func (inputMessages) input() {}
func (inputCall) input()     {}
func (*proposal) input()     {}

// New opens the storage and starts the replica.
func New(opts Options) (*Applier, error) {
	if opts.Elapsed == nil {
		opts.Elapsed = timekeeper.Elapsed
	}
	if persister.WasReset(opts.Folder) {
		opts.Bootstrap = &messages.Members{}
	}
	k, initial, err := open(opts)
	if err != nil {
		return nil, err
	}
	a := &Applier{
		opts: opts, keeper: k, state: scheduler.New(), members: initial.Members,
		inbox:     make(chan input, inboxSize),
		exchange:  make(chan input, inboxSize),
		proposals: map[uint64]*proposal{},
		waiters:   map[string][]chan scheduler.View{},
		done:      make(chan struct{}),
		stop:      make(chan struct{}),
	}
	if s := initial.Snapshot; s != nil {
		if a.state, err = scheduler.Restore(s.Data); err != nil {
			return nil, errors.Join(err, k.Close())
		}
		a.applied, a.members = s.Index, s.Members
	}
	a.node = replicator.New(replicator.Options{
		Name: opts.Name, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
		DriftTicks: driftTicks, MaxBatch: maxBatch, ChunkSize: chunkSize, Seed: opts.Seed,
	}, initial)
	a.current.Store(a.node.Members())
	none := ""
	a.leader.Store(&none)
	go func() {
		defer close(a.done)
		a.failure = a.run()
		none := ""
		a.leader.Store(&none)
		a.failPending(ErrStopped)
		if err := k.Close(); err != nil {
			opts.Log.Error("close storage", zap.Error(err))
		}
	}()
	return a, nil
}

// open opens the storage. A corrupt one is put aside when there are others to rebuild it from.
func open(opts Options) (*persister.Persister, replicator.InitialState, error) {
	k, initial, err := persister.Open(opts.Folder, opts.Name, opts.Bootstrap)
	if !errors.Is(err, persister.ErrCorrupt) || len(opts.Bootstrap.GetVoters()) == 1 {
		return k, initial, err
	}
	opts.Log.Error("stored data is put aside and rebuilt from the other keepers", zap.Error(err))
	if err := persister.Reset(opts.Folder); err != nil {
		return nil, initial, fmt.Errorf("put corrupt data aside: %w", err)
	}
	return persister.Open(opts.Folder, opts.Name, &messages.Members{})
}

// run is the loop of the goroutine that owns the replica.
func (a *Applier) run() error {
	ticker := time.NewTicker(a.opts.Tick)
	defer ticker.Stop()
	a.ticked = a.opts.Elapsed()
	for {
		select {
		case <-a.stop:
			return nil
		case in := <-a.exchange:
			a.catchUp()
			a.take(in)
			a.drain()
		case in := <-a.inbox:
			a.catchUp()
			a.drainExchange()
			a.take(in)
			a.drain()
		case <-ticker.C:
			a.catchUp()
			a.proposeTick()
		}
		if err := a.settle(); err != nil {
			a.opts.Log.Error("replica stops", zap.Error(err))
			return err
		}
	}
}

// mostTicks bounds the ticks that are caught up at one time. It is above any lease.
const mostTicks = 4 * electionTicks

// catchUp gives the consensus the ticks that are due, those of a suspension included: a leader that
// wakes up must find its lease expired before it reads or answers anything.
func (a *Applier) catchUp() {
	due := (a.opts.Elapsed() - a.ticked) / a.opts.Tick
	a.ticked += due * a.opts.Tick
	for range min(due, mostTicks) {
		a.node.Tick()
	}
}

// drain takes what else has come in, so that one sync serves all of it.
func (a *Applier) drain() {
	a.drainExchange()
	for range maxDrain {
		select {
		case in := <-a.inbox:
			a.take(in)
		default:
			return
		}
	}
}

// drainExchange takes the messages of the consensus that have come in. Under load they must not
// wait behind requests, or the load alone would bring a leader down.
func (a *Applier) drainExchange() {
	for range maxDrain {
		select {
		case in := <-a.exchange:
			a.take(in)
		default:
			return
		}
	}
}

func (a *Applier) take(in input) {
	switch in := in.(type) {
	case inputMessages:
		for _, m := range in.list {
			a.node.Step(m)
		}
	case inputCall:
		// An input before this one may have taken long enough for the lease to run out.
		a.catchUp()
		in.run()
	case *proposal:
		a.propose(in)
	}
}

func (a *Applier) propose(p *proposal) {
	if p.event != nil {
		data, err := scheduler.Encode(a.stamp(), p.event)
		if err != nil {
			p.reply <- result{err: err}
			return
		}
		p.data = data
	}
	index, ok := a.node.Propose(p.kind, p.data)
	if !ok {
		p.reply <- result{err: ErrNotLeader}
		return
	}
	p.term = a.node.Term()
	if old := a.proposals[index]; old != nil {
		old.reply <- result{err: ErrUnsure}
	}
	a.proposals[index] = p
}

// stamp returns the time of a new entry, never before that of the last one.
func (a *Applier) stamp() time.Time {
	now := a.opts.Now().UTC().Round(0)
	if !now.After(a.lastTime) {
		now = a.lastTime.Add(time.Nanosecond)
	}
	a.lastTime = now
	return now
}

// proposeTick lets a leader's due deadlines act.
func (a *Applier) proposeTick() {
	if a.ticking || !a.node.HasLease() {
		return
	}
	if next, ok := a.state.Next(); !ok || a.opts.Now().Before(next) {
		return
	}
	a.ticking = true
	a.propose(&proposal{kind: messages.EntryKind_ENTRY_EVENT, event: scheduler.Tick{}, reply: make(chan result, 1)})
}

// settle carries out what the consensus asks for until there is nothing left.
func (a *Applier) settle() error {
	for {
		out := a.node.TakeOutput()
		if out.Empty() {
			break
		}
		if err := a.carryOut(&out); err != nil {
			return err
		}
	}
	a.current.Store(a.node.Members())
	if leader := a.node.Leader(); leader != *a.leader.Load() {
		a.leader.Store(&leader)
	}
	leading := a.node.Role() == replicator.Leader
	if a.leading && !leading {
		a.failPending(ErrUnsure)
		a.ticking = false
	}
	a.leading = leading
	if a.node.LogLength() >= a.opts.SnapshotEvery && a.applied > 0 {
		return a.saveSnapshot()
	}
	return nil
}

func (a *Applier) carryOut(out *replicator.Output) error {
	a.opts.Send(out.Immediate)
	if out.Install != nil {
		if err := a.install(out.Install); err != nil {
			return err
		}
	}
	if out.HardState != nil || out.Truncate > 0 || len(out.Entries) > 0 {
		if err := a.keeper.Append(out.Truncate, out.HardState, out.Entries); err != nil {
			return err
		}
	}
	if n := len(out.Entries); n > 0 {
		a.node.Synced(out.Entries[n-1].GetIndex())
	}
	a.opts.Send(out.AfterSync)
	for _, e := range out.Committed {
		if err := a.apply(e); err != nil {
			return err
		}
	}
	return nil
}

// install replaces the state by a snapshot from the leader.
func (a *Applier) install(s *replicator.Snapshot) error {
	state, err := scheduler.Restore(s.Data)
	if err != nil {
		return err
	}
	if err := a.keeper.SaveSnapshot(s, a.node.HardState(), nil); err != nil {
		return err
	}
	a.state, a.members, a.applied = state, s.Members, s.Index
	a.lastTime = state.Now()
	a.wakeAll()
	return nil
}

// apply runs one committed entry through the decisions.
func (a *Applier) apply(e *messages.Entry) error {
	a.applied = e.GetIndex()
	p := a.proposals[e.GetIndex()]
	delete(a.proposals, e.GetIndex())
	var orders []scheduler.Order
	switch e.GetKind() {
	case messages.EntryKind_ENTRY_MEMBERS:
		m, err := replicator.DecodeMembers(e.GetData())
		if err != nil {
			return fmt.Errorf("apply entry %d: %w", e.GetIndex(), err)
		}
		a.members = m
	case messages.EntryKind_ENTRY_EVENT:
		now, event, err := scheduler.Decode(e.GetData())
		if err != nil {
			return fmt.Errorf("apply entry %d: %w", e.GetIndex(), err)
		}
		if _, ok := event.(scheduler.Tick); ok {
			a.ticking = false
		}
		orders = a.state.Step(now, event)
		a.lastTime = a.state.Now()
	case messages.EntryKind_ENTRY_EMPTY:
	}
	leading := a.node.Role() == replicator.Leader && e.GetTerm() == a.node.Term()
	a.opts.Deliver(e.GetIndex(), e.GetTerm(), leading, orders)
	a.wake(orders)
	a.answer(p, e, orders)
	return nil
}

func (a *Applier) answer(p *proposal, e *messages.Entry, orders []scheduler.Order) {
	switch {
	case p == nil:
	case p.term != e.GetTerm():
		p.reply <- result{err: ErrUnsure}
	default:
		p.reply <- result{orders: orders}
	}
}

// wake tells those who wait for an answer.
func (a *Applier) wake(orders []scheduler.Order) {
	for _, o := range orders {
		answered, ok := o.(scheduler.Answered)
		if !ok {
			continue
		}
		for _, c := range a.waiters[answered.Job.ID] {
			c <- answered.Job
		}
		delete(a.waiters, answered.Job.ID)
	}
}

// wakeAll checks all waits against a state that has been replaced.
func (a *Applier) wakeAll() {
	for id, list := range a.waiters {
		view, ok := a.state.JobByID(id)
		if !ok || view.Answer == nil {
			continue
		}
		for _, c := range list {
			c <- view
		}
		delete(a.waiters, id)
	}
}

func (a *Applier) failPending(err error) {
	for index, p := range a.proposals {
		p.reply <- result{err: err}
		delete(a.proposals, index)
	}
}

func (a *Applier) saveSnapshot() error {
	data, err := a.state.Save()
	if err != nil {
		return err
	}
	s := &replicator.Snapshot{Index: a.applied, Term: a.node.TermAt(a.applied), Members: a.members, Data: data}
	hard, rest := a.node.Stored(a.applied)
	if err := a.keeper.SaveSnapshot(s, hard, rest); err != nil {
		return err
	}
	a.node.Compact(s)
	a.opts.Log.Info("snapshot saved", zap.Uint64("index", s.Index), zap.Int("bytes", len(data)))
	return nil
}
