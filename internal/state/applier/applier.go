// Package applier runs one replica: it passes messages, proposals and ticks to the consensus node, persists
// the node's output, applies committed entries to the scheduler state and delivers the resulting orders. One
// goroutine owns the node and the scheduler state.
package applier

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/state/filer"
	"github.com/bluebellgauge/bluebellgauge/internal/state/persister"
	"github.com/bluebellgauge/bluebellgauge/internal/state/replicator"
	"github.com/bluebellgauge/bluebellgauge/internal/state/timekeeper"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// Errors of requests to a replica.
var (
	// ErrNotLeader means that this replica is not the leader. The request had no effect.
	ErrNotLeader = errors.New("not the leader")
	// ErrOutcomeUnknown means that leadership or the context ended with the proposal in flight. The entry may
	// still be committed, so a retry must send the same proposal.
	ErrOutcomeUnknown = errors.New("outcome of the proposal is unknown")
	// ErrTooLarge means that the event does not fit into a log entry. The request had no effect.
	ErrTooLarge = errors.New("event is too large for a log entry")
	// ErrStopped means that the replica has stopped.
	ErrStopped = errors.New("replica stopped")
)

const (
	electionTicks  = 8
	heartbeatTicks = 3
	driftTicks     = 1
	maxBatchBytes  = 1 << 20
	chunkBytes     = 256 << 10
	inboxSize      = 1024
	maxDrainInputs = 512                    // inputs handled per sync
	minResumeWait  = 250 * time.Millisecond // before a disk that refused writes is probed
	maxResumeWait  = 5 * time.Second        // the same, while its probes succeed and other writes fail
	settleTime     = 5 * time.Second        // of running, after which a suspension counts as over
	snapshotRetry  = 5 * time.Second        // after a snapshot for which there was no space
	slowWrite      = 100 * time.Millisecond // a write of the log that is reported
	maxWriteTicks  = 2 * electionTicks      // of a leader's write, after which it resigns
	maxSlowWrites  = 2                      // of a leader in a row, each as long as an election timeout, after which it hands over
)

// Options are the dependencies and parameters of a replica.
type Options struct {
	Name          string
	Files         filer.Files // holds the folder
	Folder        string
	Bootstrap     *messages.Members // initial membership of a new folder
	Tick          time.Duration     // unit of the consensus timers; the election timeout is 8 to 16 ticks
	SnapshotEvery int               // entries between snapshots
	SnapshotBytes int               // bytes of entries between snapshots, 0 for no limit
	// Single means that replaced data folders join this group and never start another one.
	Single  bool
	Seed    uint64
	Now     func() time.Time
	Elapsed func() time.Duration // clock that drives the ticks; nil means timekeeper.Elapsed
	Send    func([]*messages.Message)
	// Deliver receives the orders that result from an applied entry. It must not block. leading reports
	// whether this replica is the leader and must execute the orders.
	Deliver func(index, term uint64, leading bool, orders []scheduler.Order)
	Log     *zap.Logger
}

// Applier is one running replica.
type Applier struct {
	opts        Options
	storage     *persister.Persister
	node        *replicator.Node
	state       *scheduler.State
	members     *messages.Members // in force at the last applied entry
	applied     uint64
	lastTime    time.Time
	tickPending bool            // a Tick is proposed but not yet applied
	leading     bool            // is leader at the end of the last step
	suspended   bool            // the storage can't be written; the node has resigned
	settling    bool            // was suspended, and has not run for the settle time since
	suspendedAt time.Duration   // Options.Elapsed at the first suspension that is not over
	resumedAt   time.Duration   // Options.Elapsed at the end of the latest suspension
	resumeWait  time.Duration   // between the probes of the next suspension
	notSaved    bool            // there was no space for the last snapshot
	nextSave    time.Duration   // Options.Elapsed before which no snapshot is saved
	slowWrites  int             // latest writes of this leader that took as long as an election timeout
	logBytes    int64           // size of the stored log at the end of the last write
	refused     string          // sender of the last message that mayLead refused, to log it once
	leaving     bool            // Leave was called
	handover    handover        // as of the last step
	reason      string          // of the hand-over that is about to start, "" for reasonStop
	role        replicator.Role // at the end of the last step

	writing *pendingWrite // nil if no write is in progress
	writes  chan func() error
	written chan error // results of writes

	inbox     chan input
	peerInbox chan input    // consensus messages, handled before other inputs
	lastTick  time.Duration // Options.Elapsed at the last tick

	proposals map[uint64]*proposal
	waiters   map[string][]chan scheduler.JobView
	done      chan struct{}
	stop      chan struct{}
	leave     chan struct{}
	leaveOnce sync.Once
	failure   error

	// latestMembers is the membership at the end of the log, for readers on other goroutines.
	latestMembers atomic.Pointer[messages.Members]
	// leader is the name of the known leader, for readers on other goroutines.
	leader atomic.Pointer[string]
}

// input is a work item for the goroutine that owns the replica.
type input interface{ input() }

type inputMessages struct{ list []*messages.Message }

// inputUnknown holds the messages of a leader or a candidate whose data folder is not the member's.
type inputUnknown struct{ list []*messages.Message }

type inputCall struct{ run func() }

type proposal struct {
	kind  messages.EntryKind
	data  []byte
	event scheduler.Event
	// decided is the term in which the proposal was decided, 0 if it holds in any.
	decided uint64
	term    uint64 // of its entry
	reply   chan result
}

type result struct {
	receipt Receipt
	err     error
}

func (inputMessages) input() {}
func (inputUnknown) input()  {}
func (inputCall) input()     {}
func (*proposal) input()     {}

// New opens the storage and starts the replica's goroutine.
func New(opts Options) (*Applier, error) {
	if opts.Elapsed == nil {
		opts.Elapsed = timekeeper.Elapsed
	}
	if persister.WasReset(opts.Folder) {
		opts.Bootstrap = &messages.Members{}
	}
	storage, initial, err := open(opts)
	if err != nil {
		return nil, err
	}
	a := &Applier{
		opts: opts, storage: storage, state: scheduler.New(), members: initial.Members,
		inbox:     make(chan input, inboxSize),
		peerInbox: make(chan input, inboxSize),
		writes:    make(chan func() error),
		written:   make(chan error, 1),
		proposals: map[uint64]*proposal{},
		waiters:   map[string][]chan scheduler.JobView{},
		done:      make(chan struct{}),
		stop:      make(chan struct{}),
		leave:     make(chan struct{}),
	}
	none := ""
	a.leader.Store(&none)
	if err := a.restore(initial); err != nil {
		return nil, errors.Join(err, storage.Close())
	}
	a.logStart(initial)
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		for write := range a.writes {
			a.written <- write()
		}
	}()
	go func() {
		defer close(a.done)
		a.failure = a.run()
		a.logPosition("replica stopped", zap.Error(a.failure))
		a.leader.Store(&none)
		a.failPending(ErrStopped)
		close(a.writes)
		<-writerDone
		if err := storage.Close(); err != nil {
			opts.Log.Error("close storage", zap.Error(err))
		}
	}()
	return a, nil
}

// open opens the storage. If it is corrupt and the group has other voters, the files are moved away and the
// replica starts empty, to be restored by the leader.
func open(opts Options) (*persister.Persister, replicator.InitialState, error) {
	storage, initial, err := persister.Open(opts.Files, opts.Folder, opts.Name, opts.Bootstrap)
	if !errors.Is(err, persister.ErrCorrupt) || len(opts.Bootstrap.GetVoters()) == 1 {
		return storage, initial, err
	}
	opts.Log.Error("stored data is corrupt: moving it away and restoring from the other replicas", zap.Error(err))
	if err := persister.Reset(opts.Files, opts.Folder); err != nil {
		return nil, initial, fmt.Errorf("move corrupt data away: %w", err)
	}
	return persister.Open(opts.Files, opts.Folder, opts.Name, &messages.Members{})
}

// restore starts the node from the stored state. The scheduler state is kept, unless the stored snapshot is later.
func (a *Applier) restore(initial replicator.InitialState) error {
	end := uint64(len(initial.Entries))
	if s := initial.Snapshot; s != nil {
		end += s.Index
		if s.Index > a.applied {
			state, err := scheduler.Restore(s.Data)
			if err != nil {
				return err
			}
			a.adopt(s, state)
		}
	}
	if end < a.applied {
		return fmt.Errorf("%w: the log ends at entry %d, %d are applied", persister.ErrCorrupt, end, a.applied)
	}
	if initial.HardState.GetCommit() < a.applied {
		// The stored commit lags. What is applied is committed.
		hard := proto.CloneOf(initial.HardState)
		if hard == nil {
			hard = &messages.HardState{}
		}
		hard.Commit = a.applied
		initial.HardState = hard
	}
	a.node = replicator.New(replicator.Options{
		Name: a.opts.Name, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
		DriftTicks: driftTicks, MaxBatch: maxBatchBytes, ChunkSize: chunkBytes, Seed: a.opts.Seed,
	}, initial)
	if a.leaving {
		a.node.Leave()
	}
	a.latestMembers.Store(a.node.Members())
	a.lastTick = a.opts.Elapsed()
	if a.storage != nil {
		a.logBytes = a.storage.Size()
	}
	return nil
}

// adopt replaces the state with that of a snapshot.
func (a *Applier) adopt(s *replicator.Snapshot, state *scheduler.State) {
	a.state, a.members, a.applied = state, s.Members, s.Index
	a.lastTime = state.Now()
	a.notifyAllWaiters()
}

// run runs the replica until it is stopped. While the storage can't be written, the replica is suspended.
func (a *Applier) run() error {
	for {
		err := a.participate()
		if errors.Is(err, persister.ErrUnwritable) {
			err = a.suspend(err)
		}
		if errors.Is(err, errStop) {
			if a.leaving {
				a.resign() // there was no voter that does not leave
			}
			return nil
		}
		if err != nil {
			a.opts.Log.Error("replica failed", zap.Error(err))
			return err
		}
	}
}

// errStop means that Stop was called.
var errStop = errors.New("stop")

// participate is the event loop of the goroutine that owns the replica. It returns the error that ends it.
func (a *Applier) participate() error {
	ticker := time.NewTicker(a.opts.Tick)
	defer ticker.Stop()
	for {
		peerInbox, inbox, ticks, leave := a.peerInbox, a.inbox, ticker.C, a.leave
		if a.leaving {
			leave = nil
		}
		if a.mustFinishWrite() {
			peerInbox, inbox, ticks = nil, nil, nil
		}
		select {
		case <-a.stop:
			return errStop
		case <-leave:
			a.startLeaving()
		case err := <-a.written:
			if err := a.finishWrite(err); err != nil {
				return err
			}
		case in := <-peerInbox:
			a.catchUp()
			a.handle(in)
			a.drain()
		case in := <-inbox:
			a.catchUp()
			a.drainPeerInbox()
			a.handle(in)
			a.drain()
		case <-ticks:
			a.catchUp()
			a.proposeTick()
			a.resignIfStuck()
		}
		if err := a.processOutputs(); err != nil {
			return err
		}
		a.settle()
	}
}

// mustFinishWrite reports whether other inputs wait for the write in progress: it has ended and commits depend on it, or
// this replica does not lead, so that all its answers depend on it.
func (a *Applier) mustFinishWrite() bool {
	return a.writing != nil && (len(a.written) > 0 || a.node.Role() != replicator.Leader)
}

// suspend waits until the storage can be written again, and starts the node anew from what is stored. Until then the
// replica is no leader, and drops the messages of the other replicas: it neither votes nor acknowledges anything.
func (a *Applier) suspend(cause error) error {
	if !a.settling {
		a.opts.Log.Error("replica is suspended", zap.String("folder", a.opts.Folder), zap.Error(cause))
		a.settling, a.suspendedAt, a.resumeWait = true, a.opts.Elapsed(), minResumeWait
	} else {
		a.backOff()
	}
	a.suspended = true
	a.resign()
	a.failPending(ErrOutcomeUnknown)
	a.leading, a.tickPending = false, false
	none := ""
	a.leader.Store(&none)
	probe := time.NewTimer(a.resumeWait)
	defer probe.Stop()
	for {
		leave := a.leave
		if a.leaving {
			leave = nil
		}
		select {
		case <-a.stop:
			return errStop
		case <-leave:
			a.startLeaving()
		case <-a.peerInbox:
		case in := <-a.inbox:
			a.handle(in)
		case <-probe.C:
			err := a.resume()
			if !errors.Is(err, persister.ErrUnwritable) {
				return err
			}
			probe.Reset(a.resumeWait)
		}
	}
}

// backOff doubles the time between probes.
func (a *Applier) backOff() { a.resumeWait = min(2*a.resumeWait, maxResumeWait) }

// resume ends the suspension if the storage can be written.
func (a *Applier) resume() error {
	if err := persister.Writable(a.opts.Files, a.opts.Folder); err != nil {
		return err
	}
	initial, err := a.storage.Reopen()
	if err != nil {
		a.backOff() // it writes the whole log each time
		return err
	}
	a.suspended, a.resumedAt = false, a.opts.Elapsed()
	if err := a.restore(initial); err != nil {
		return err
	}
	a.logStart(initial)
	return nil
}

// settle ends the series of suspensions once the replica has run for the settle time.
func (a *Applier) settle() {
	if !a.settling || a.opts.Elapsed()-a.resumedAt < settleTime {
		return
	}
	a.settling = false
	a.opts.Log.Info("replica goes on", zap.Duration("suspended", a.resumedAt-a.suspendedAt))
}

// maxCatchUpTicks limits the overdue ticks delivered at once. It exceeds the length of a lease, so a lease
// from before a suspension always expires.
const maxCatchUpTicks = 4 * electionTicks

// catchUp delivers the ticks that are due, including those missed while the machine was suspended: after a
// resume a leader's lease must have expired before it serves any request.
func (a *Applier) catchUp() {
	if a.suspended {
		return // a node that has resigned may not campaign
	}
	due := (a.opts.Elapsed() - a.lastTick) / a.opts.Tick
	a.lastTick += due * a.opts.Tick
	for range min(due, maxCatchUpTicks) {
		a.node.Tick()
	}
}

// drain handles the queued inputs, so that one sync covers all of them.
func (a *Applier) drain() {
	a.drainPeerInbox()
	for range maxDrainInputs {
		select {
		case in := <-a.inbox:
			a.handle(in)
		default:
			return
		}
	}
}

// drainPeerInbox handles the queued consensus messages. They must not wait behind requests: under load,
// delayed heartbeat replies would make the leader step down.
func (a *Applier) drainPeerInbox() {
	for range maxDrainInputs {
		select {
		case in := <-a.peerInbox:
			a.handle(in)
		default:
			return
		}
	}
}

func (a *Applier) handle(in input) {
	switch in := in.(type) {
	case inputMessages:
		// A heartbeat counts from now on, and not from before a delay of this replica.
		a.catchUp()
		for _, m := range in.list {
			a.node.Step(m)
		}
	case inputUnknown:
		a.handle(inputMessages{slices.DeleteFunc(in.list, func(m *messages.Message) bool { return !a.acceptsUnknown(m) })})
	case inputCall:
		// Earlier inputs may have taken long enough for the lease to expire.
		a.catchUp()
		in.run()
	case *proposal:
		a.propose(in)
	}
}

// acceptsUnknown reports whether a message from an unknown data folder may be handled. A vote is not given to another folder in
// the term in which a folder of the same name has got it.
func (a *Applier) acceptsUnknown(m *messages.Message) bool {
	if m.GetKind() == messages.Kind_KIND_VOTE || m.GetKind() == messages.Kind_KIND_PREVOTE {
		return a.opts.Single && !a.node.HasVotedFor(m)
	}
	return a.mayLead(m)
}

// mayLead reports whether a message of a leader with an unknown data folder may be handled. If replaced folders may start a group of
// their own, its leader must not replace what is committed in this one.
func (a *Applier) mayLead(m *messages.Message) bool {
	if a.opts.Single || a.node.Continues(m) {
		return true
	}
	if a.refused != m.GetFrom() {
		a.refused = m.GetFrom()
		a.logPosition("message of a leader refused: its data folder is unknown and it does not continue the log",
			zap.String("from", m.GetFrom()), zap.Uint64("itsterm", m.GetTerm()), zap.Stringer("kind", m.GetKind()))
	}
	return false
}

func (a *Applier) propose(p *proposal) {
	if term := a.node.Term(); p.decided != 0 && p.decided != term {
		a.opts.Log.Warn("proposal refused: decided in another term", zap.Uint64("decided", p.decided), zap.Uint64("term", term),
			zap.Bool("leading", a.node.Role() == replicator.Leader), zap.String("event", fmt.Sprintf("%T", p.event)))
		p.reply <- result{err: ErrNotLeader}
		return
	}
	if p.event != nil {
		data, err := scheduler.Encode(a.entryTime(), p.event)
		if err != nil {
			p.reply <- result{err: err}
			return
		}
		p.data = data
	}
	if len(p.data) > persister.MaxEntryBytes {
		p.reply <- result{err: fmt.Errorf("%w: %d bytes, want at most %d", ErrTooLarge, len(p.data), persister.MaxEntryBytes)}
		return
	}
	index, ok := a.node.Propose(p.kind, p.data)
	if !ok {
		p.reply <- result{err: ErrNotLeader}
		return
	}
	p.term = a.node.Term()
	if old := a.proposals[index]; old != nil {
		old.reply <- result{receipt: Receipt{Index: index, Term: old.term}, err: ErrOutcomeUnknown}
	}
	a.proposals[index] = p
}

// entryTime returns the timestamp of a new entry. Timestamps are strictly increasing.
func (a *Applier) entryTime() time.Time {
	now := a.opts.Now().UTC().Round(0)
	if !now.After(a.lastTime) {
		now = a.lastTime.Add(time.Nanosecond)
	}
	a.lastTime = now
	return now
}

// proposeTick proposes a Tick when a deadline of the scheduler state is due and this replica is the leader.
func (a *Applier) proposeTick() {
	if a.tickPending || !a.node.HasLease() {
		return
	}
	if next, ok := a.state.Next(); !ok || a.opts.Now().Before(next) {
		return
	}
	a.tickPending = true
	a.propose(&proposal{kind: messages.EntryKind_ENTRY_EVENT, event: scheduler.Tick{}, reply: make(chan result, 1)})
}

// processOutputs processes the node's outputs until none are left or a write is in progress, and saves a snapshot if one is
// due.
func (a *Applier) processOutputs() error {
	for a.writing == nil {
		if a.isSnapshotDue() && a.opts.Elapsed() >= a.nextSave && a.node.CanCompact(a.applied) {
			if err := a.saveSnapshot(); err != nil {
				return err
			}
			break
		}
		out := a.node.TakeOutput()
		if out.Empty() {
			break
		}
		if err := a.process(&out); err != nil {
			return err
		}
	}
	if a.writing != nil {
		a.opts.Send(a.node.TakeImmediate())
	}
	a.observeNode()
	return nil
}

// observeNode takes note of changes of the members and of the leader.
func (a *Applier) observeNode() {
	a.latestMembers.Store(a.node.Members())
	if leader := a.node.Leader(); leader != *a.leader.Load() {
		a.leader.Store(&leader)
	}
	leading := a.node.Role() == replicator.Leader
	if a.leading != leading {
		a.slowWrites = 0
		a.logPosition("leadership changed", zap.Bool("leading", leading), zap.String("leader", a.node.Leader()), zap.Bool("stopping", a.leaving))
	}
	if a.leading && !leading {
		a.failPending(ErrOutcomeUnknown)
		a.tickPending = false
	}
	a.leading = leading
	a.observeHandover()
	a.observeCampaign()
}

// isSnapshotDue reports whether the applied entries are many, or large enough for the cost of a snapshot.
func (a *Applier) isSnapshotDue() bool {
	if a.applied <= a.node.LogStart() {
		return false
	}
	if a.applied-a.node.LogStart() >= uint64(a.opts.SnapshotEvery) {
		return true
	}
	limit := max(a.opts.SnapshotBytes, a.node.SnapshotBytes()/2)
	return a.opts.SnapshotBytes > 0 && a.node.LogBytes(a.applied, limit) >= limit
}

// process carries out an output. If something is to be written, finishWrite ends that.
func (a *Applier) process(out *replicator.Output) error {
	a.opts.Send(out.Immediate)
	if out.Install != nil {
		previous := a.applied
		if err := a.install(out.Install); err != nil {
			return err
		}
		a.logPosition("snapshot installed", zap.Uint64("index", out.Install.Index), zap.Uint64("snapshotterm", out.Install.Term),
			zap.Uint64("previous", previous), zap.Int("dropped", out.Dropped), zap.String("leader", a.node.Leader()))
	}
	if out.Truncate > 0 {
		a.logPosition("log truncated", zap.Uint64("from", out.Truncate), zap.Int("dropped", out.Dropped), zap.String("leader", a.node.Leader()))
	}
	for _, e := range out.Committed {
		if err := a.apply(e); err != nil {
			return err
		}
	}
	if out.HardState == nil && out.Truncate == 0 && len(out.Entries) == 0 {
		a.opts.Send(out.AfterSync)
		return nil
	}
	w := &pendingWrite{what: "log", entries: len(out.Entries), finish: func(err error) error { return a.finishAppend(out, err) }}
	a.startWrite(w, func() error { return a.storage.Append(out.Truncate, out.HardState, out.Entries) })
	return nil
}

// install replaces the state with a snapshot from the leader.
func (a *Applier) install(s *replicator.Snapshot) error {
	if s.Index < a.applied {
		return fmt.Errorf("snapshot of entry %d refused: %d are applied", s.Index, a.applied)
	}
	state, err := scheduler.Restore(s.Data)
	if err != nil {
		return err
	}
	err = a.storage.SaveSnapshot(s, a.node.HardState(), nil)
	if errors.Is(err, persister.ErrNotSaved) {
		return fmt.Errorf("%w: %w", persister.ErrUnwritable, err) // the log does not continue without it
	}
	if err != nil {
		return err
	}
	a.adopt(s, state)
	return nil
}

// apply applies one committed entry to the scheduler state and delivers the resulting orders.
func (a *Applier) apply(e *messages.Entry) error {
	if e.GetIndex() <= a.applied {
		return nil // applied before the node was started anew
	}
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
		a.opts.Log.Info("membership applied", zap.Uint64("index", e.GetIndex()), zap.Uint64("term", e.GetTerm()),
			zap.Strings("voters", memberNames(m.GetVoters())), zap.Strings("learners", memberNames(m.GetLearners())))
	case messages.EntryKind_ENTRY_EVENT:
		now, event, err := scheduler.Decode(e.GetData())
		if err != nil {
			return fmt.Errorf("apply entry %d: %w", e.GetIndex(), err)
		}
		if _, ok := event.(scheduler.Tick); ok {
			a.tickPending = false
		}
		orders = a.state.Step(now, event)
		a.lastTime = a.state.Now()
	case messages.EntryKind_ENTRY_EMPTY:
	}
	leading := a.node.Role() == replicator.Leader && e.GetTerm() == a.node.Term()
	a.opts.Deliver(e.GetIndex(), e.GetTerm(), leading, orders)
	a.notifyWaiters(orders)
	a.resolve(p, e, orders)
	return nil
}

// resolve returns the outcome of an applied entry to its proposer.
func (a *Applier) resolve(p *proposal, e *messages.Entry, orders []scheduler.Order) {
	switch {
	case p == nil:
	case p.term != e.GetTerm():
		p.reply <- result{receipt: Receipt{Index: e.GetIndex(), Term: p.term}, err: ErrOutcomeUnknown}
	default:
		p.reply <- result{receipt: Receipt{Index: e.GetIndex(), Term: p.term, Orders: orders}}
	}
}

// notifyWaiters sends the jobs answered by these orders to the callers of Await.
func (a *Applier) notifyWaiters(orders []scheduler.Order) {
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

// notifyAllWaiters checks all waiters after the state was replaced by a snapshot.
func (a *Applier) notifyAllWaiters() {
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
		p.reply <- result{receipt: Receipt{Index: index, Term: p.term}, err: err}
		delete(a.proposals, index)
	}
}

// saveSnapshot starts to write a snapshot of the state.
func (a *Applier) saveSnapshot() error {
	data, err := a.state.Save()
	if err != nil {
		return err
	}
	s := &replicator.Snapshot{Index: a.applied, Term: a.node.TermAt(a.applied), Members: a.members, Data: data}
	hard, rest := a.node.Stored(a.applied)
	w := &pendingWrite{what: "snapshot", entries: len(rest), finish: func(err error) error { return a.finishSnapshot(s, err) }}
	a.startWrite(w, func() error { return a.storage.SaveSnapshot(s, hard, rest) })
	return nil
}

func (a *Applier) finishSnapshot(s *replicator.Snapshot, err error) error {
	if errors.Is(err, persister.ErrNotSaved) {
		if !a.notSaved {
			a.opts.Log.Warn("no space for snapshots", zap.Uint64("index", s.Index), zap.Int("bytes", len(s.Data)), zap.Error(err))
		}
		a.notSaved, a.nextSave = true, a.opts.Elapsed()+snapshotRetry
		return nil
	}
	if err != nil {
		return err
	}
	a.notSaved = false
	a.node.Compact(s)
	a.opts.Log.Info("snapshot saved", zap.Uint64("index", s.Index), zap.Int("bytes", len(s.Data)))
	return nil
}
