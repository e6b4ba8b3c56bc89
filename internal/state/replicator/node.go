// Package replicator implements the Raft consensus algorithm: elections with pre-vote and check-quorum, log
// replication, snapshots, learners, leadership transfer and single-server membership changes. It performs no I/O
// and reads no clock: the caller passes in messages, ticks and the completion of writes, and carries out the
// returned Output.
package replicator

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// Role is the Raft role of a node.
type Role int

// The roles of a node.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"follower", "precandidate", "candidate", "leader"}[r]
}

// Options are the fixed parameters of a node.
type Options struct {
	Name           string
	ElectionTicks  int // minimum election timeout
	HeartbeatTicks int // interval between a leader's heartbeats
	DriftTicks     int // how much shorter a lease is than the election timeout, to allow for clock drift
	MaxBatch       int // bytes of entries per message
	ChunkSize      int // bytes of a snapshot per message
	Seed           uint64
}

// InitialState is the persisted state that a node starts from.
type InitialState struct {
	HardState *messages.HardState
	Snapshot  *Snapshot // nil if there is none
	Members   *messages.Members
	Entries   []*messages.Entry // contiguous, after the snapshot
}

// Snapshot is the state after applying all entries up to Index.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members *messages.Members // in force at Index
	Data    []byte
}

// Output lists what the caller must do, in the order of the fields.
type Output struct {
	Immediate []*messages.Message // to be sent without waiting for a sync
	Install   *Snapshot           // to replace the state and the log; must be synced
	Committed []*messages.Entry   // to be applied
	HardState *messages.HardState // to be synced, nil if unchanged
	Truncate  uint64              // first index to remove from the stored log, 0 for none
	Dropped   int                 // entries that Install and Truncate remove from the end of the log
	Entries   []*messages.Entry   // to be appended and synced
	AfterSync []*messages.Message // to be sent after all of the above is synced
}

// Empty reports whether there is no work to do.
func (o *Output) Empty() bool {
	return len(o.Immediate) == 0 && o.Install == nil && o.HardState == nil && o.Truncate == 0 &&
		len(o.Entries) == 0 && len(o.AfterSync) == 0 && len(o.Committed) == 0
}

// Node is one replica of the log.
type Node struct {
	opts    Options
	rng     *rand.Rand
	role    Role
	leader  string
	term    uint64
	vote    string
	led     uint64 // last term in which this node was the leader
	log     entryLog
	members *messages.Members
	// pendingChanges holds the membership before each uncommitted change, to revert it on truncation.
	pendingChanges []membershipChange

	restarted        bool
	resuming         bool // led the current term until it restarted, and asks to be elected again
	leaving          bool // the daemon stops
	tick             int
	lastContact      int    // tick at which the last message from the leader was received
	lastLeader       string // sender of that message, "" if this node has led since
	electionAt       int    // tick of the election timeout
	heartbeatAt      int
	votes            map[string]bool
	peers            map[string]*progress
	termStart        uint64 // index of the first entry of the leader's current term
	transferee       string
	transferDeadline int

	snapshot  *Snapshot
	incoming  *incomingSnapshot
	hardState *messages.HardState // as of the last TakeOutput
	out       Output
	truncate  uint64
	dropped   int // entries removed from the end of the log since the last TakeOutput
}

type membershipChange struct {
	index    uint64 // of the membership entry
	previous *messages.Members
}

// New returns a follower that starts from the persisted state.
func New(opts Options, initial InitialState) *Node {
	n := &Node{
		opts:      opts,
		rng:       rand.New(rand.NewPCG(opts.Seed, opts.Seed^0x9e3779b97f4a7c15)),
		members:   initial.Members,
		peers:     map[string]*progress{},
		hardState: &messages.HardState{},
	}
	if initial.HardState != nil {
		n.term, n.vote, n.led = initial.HardState.GetTerm(), initial.HardState.GetVote(), initial.HardState.GetLed()
		n.hardState = initial.HardState
		n.restarted = n.term > 0
		n.resuming = n.restarted && n.led == n.term
	}
	if initial.Snapshot != nil {
		n.snapshot = initial.Snapshot
		n.log.offset, n.log.offsetTerm = initial.Snapshot.Index, initial.Snapshot.Term
		n.members = initial.Snapshot.Members
	}
	n.log.committed, n.log.applying = n.log.offset, n.log.offset
	n.log.syncing, n.log.synced = n.log.offset, n.log.offset
	for _, e := range initial.Entries {
		n.log.append(e)
		n.adoptMembers(e)
	}
	n.log.syncing, n.log.synced = n.log.last(), n.log.last()
	n.log.committed = max(n.log.committed, min(initial.HardState.GetCommit(), n.log.last()))
	n.resetElection()
	if n.resuming {
		n.electionAt = 1
	}
	return n
}

// Role returns the current role.
func (n *Node) Role() Role { return n.role }

// Leader returns the name of the known leader, or "" if none is known.
func (n *Node) Leader() string { return n.leader }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// Members returns the membership at the end of the log.
func (n *Node) Members() *messages.Members { return n.members }

// Committed returns the index of the last entry known to be committed.
func (n *Node) Committed() uint64 { return n.log.committed }

// LastSynced returns the index of the last entry that is synced, which is the last one that this node may have acknowledged.
func (n *Node) LastSynced() uint64 { return n.log.synced }

// LogStart returns the index of the last entry covered by the last snapshot.
func (n *Node) LogStart() uint64 { return n.log.offset }

// LogBytes returns the approximate size of the entries after the last snapshot up to index. The result is exact only if it
// is at least limit.
func (n *Node) LogBytes(index uint64, limit int) int {
	if n.log.size < limit {
		return n.log.size
	}
	size := 0
	for _, e := range n.log.entries[:max(index, n.log.offset)-n.log.offset] {
		size += entrySize(e)
	}
	return size
}

// SnapshotBytes returns the size of the last snapshot.
func (n *Node) SnapshotBytes() int {
	if n.snapshot == nil {
		return 0
	}
	return len(n.snapshot.Data)
}

// Tick advances the node's logical clock by one unit.
func (n *Node) Tick() {
	n.tick++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.tick < n.electionAt {
		return
	}
	n.resetElection()
	if n.isVoter(n.opts.Name) || n.mustCampaign() {
		n.campaign(PreCandidate, false)
	}
}

func (n *Node) tickLeader() {
	if n.transferee != "" && n.tick >= n.transferDeadline {
		// The TimeoutNow message may still be in flight and start an election at any time, so the lease cannot be
		// resumed.
		n.becomeFollower(n.term, "")
		return
	}
	if n.tick-n.quorumTick() >= n.opts.ElectionTicks {
		// A leader that lost contact with the quorum must step down before a successor can be elected.
		n.becomeFollower(n.term, "")
		return
	}
	if n.tick >= n.heartbeatAt {
		n.heartbeatAt = n.tick + n.opts.HeartbeatTicks
		n.handOverIfLeaving()
		for _, name := range n.peerNames() {
			n.sendAppend(name, true)
		}
	}
}

// HasLease reports whether the node is the leader and no other leader can have been elected, so that its state
// may be read. The entries of earlier terms must have been handed out to be applied: until then the state lacks
// changes that an earlier leader has confirmed. A lease lasts one election timeout, less the allowance for clock
// drift, from the sending of the last heartbeat that a quorum acknowledged.
func (n *Node) HasLease() bool {
	return n.role == Leader && n.transferee == "" && n.log.applying >= n.termStart &&
		n.tick-n.quorumTick() < n.opts.ElectionTicks-n.opts.DriftTicks
}

// quorumTick returns the tick at which the last heartbeat acknowledged by a quorum was sent.
func (n *Node) quorumTick() int {
	var ticks []int
	for _, m := range n.members.GetVoters() {
		switch p := n.peers[m.GetName()]; {
		case m.GetName() == n.opts.Name:
			ticks = append(ticks, n.tick)
		case p != nil:
			ticks = append(ticks, p.ackedTick)
		default:
			ticks = append(ticks, 0)
		}
	}
	if len(ticks) == 0 {
		return 0
	}
	slices.Sort(ticks)
	return ticks[(len(ticks)-1)/2]
}

// Propose appends an entry to the leader's log. ok is false if the node is not the leader or a leadership
// transfer is in progress.
func (n *Node) Propose(kind messages.EntryKind, data []byte) (index uint64, ok bool) {
	if n.role != Leader || n.transferee != "" {
		return 0, false
	}
	return n.appendEntry(kind, data), true
}

// ErrChangePending means that the previous membership change, or the start of the leader's term, is not committed yet.
var ErrChangePending = fmt.Errorf("another membership change is in progress")

// ProposeMembers appends a membership that differs by at most one voter from the current one.
func (n *Node) ProposeMembers(m *messages.Members, encode func(*messages.Members) []byte) (uint64, error) {
	if n.role != Leader || n.transferee != "" {
		return 0, fmt.Errorf("not the leader")
	}
	if len(n.pendingChanges) > 0 || n.log.committed < n.termStart {
		return 0, ErrChangePending
	}
	if changed := countVoterChanges(n.members, m); changed > 1 {
		return 0, fmt.Errorf("membership change of %d voters, want at most 1", changed)
	}
	if len(m.GetVoters()) == 0 {
		return 0, fmt.Errorf("membership without voters")
	}
	return n.appendEntry(messages.EntryKind_ENTRY_MEMBERS, encode(m)), nil
}

// countVoterChanges counts the voters that are in only one of the two memberships.
func countVoterChanges(a, b *messages.Members) int {
	changed := 0
	for _, m := range a.GetVoters() {
		if findMember(b.GetVoters(), m.GetName()) == nil {
			changed++
		}
	}
	for _, m := range b.GetVoters() {
		if findMember(a.GetVoters(), m.GetName()) == nil {
			changed++
		}
	}
	return changed
}

// FindMember returns the voter or learner with a name, or nil.
func FindMember(m *messages.Members, name string) *messages.Member {
	if voter := findMember(m.GetVoters(), name); voter != nil {
		return voter
	}
	return findMember(m.GetLearners(), name)
}

func findMember(list []*messages.Member, name string) *messages.Member {
	for _, m := range list {
		if m.GetName() == name {
			return m
		}
	}
	return nil
}

func (n *Node) appendEntry(kind messages.EntryKind, data []byte) uint64 {
	e := &messages.Entry{Index: n.log.last() + 1, Term: n.term, Kind: kind, Data: data}
	n.log.append(e)
	n.adoptMembers(e)
	return e.GetIndex()
}

// Synced records that the returned entries up to e are synced, unless others have replaced them since.
func (n *Node) Synced(e *messages.Entry) {
	if term, ok := n.log.term(e.GetIndex()); !ok || term != e.GetTerm() {
		return
	}
	n.log.synced = max(n.log.synced, e.GetIndex())
	if n.role == Leader {
		n.advanceCommit()
	}
}

// Compact removes the entries covered by a synced snapshot.
func (n *Node) Compact(s *Snapshot) {
	if s.Index <= n.log.offset {
		return
	}
	n.snapshot = s
	n.log.compact(s.Index, s.Term)
}

// TermAt returns the term of the entry at index, or 0 if it is not in the log.
func (n *Node) TermAt(index uint64) uint64 {
	term, _ := n.log.term(index)
	return term
}

// TakeImmediate returns the pending messages that wait for no sync and clears them. It serves a leader during a write: its
// heartbeats and new entries are sent before TakeOutput may be called again.
func (n *Node) TakeImmediate() []*messages.Message {
	n.sendEntries()
	list := n.out.Immediate
	n.out.Immediate = nil
	return list
}

// sendEntries makes a leader send the entries that the other members lack.
func (n *Node) sendEntries() {
	if n.role != Leader {
		return
	}
	for _, name := range n.peerNames() {
		n.sendAppend(name, false)
	}
}

// TakeOutput returns the pending output and clears it. What the last output had to sync must be synced.
func (n *Node) TakeOutput() Output {
	n.sendEntries()
	o := n.out
	n.out = Output{}
	o.Truncate, n.truncate = n.truncate, 0
	o.Dropped, n.dropped = n.dropped, 0
	o.Entries = n.log.takeUnsynced()
	o.Committed = n.log.takeCommitted()
	hard := &messages.HardState{Term: n.term, Vote: n.vote, Commit: n.log.committed, Led: n.led}
	changed := hard.GetTerm() != n.hardState.GetTerm() || hard.GetVote() != n.hardState.GetVote() || hard.GetLed() != n.hardState.GetLed()
	// A new commit index alone does not need a sync: after a restart the leader sends it again.
	if changed || len(o.Entries) > 0 && hard.GetCommit() != n.hardState.GetCommit() {
		o.HardState = hard
		n.hardState = hard
	}
	return o
}

func (n *Node) isVoter(name string) bool { return findMember(n.members.GetVoters(), name) != nil }

func (n *Node) quorum() int { return len(n.members.GetVoters())/2 + 1 }

// adoptMembers makes a membership entry effective as soon as it is appended.
func (n *Node) adoptMembers(e *messages.Entry) {
	if e.GetKind() != messages.EntryKind_ENTRY_MEMBERS {
		return
	}
	m, err := DecodeMembers(e.GetData())
	if err != nil {
		panic(fmt.Sprintf("membership entry %d: %v", e.GetIndex(), err))
	}
	n.pendingChanges = append(n.pendingChanges, membershipChange{index: e.GetIndex(), previous: n.members})
	n.members = m
	if n.role == Leader {
		n.updatePeers()
	}
}

// updatePeers makes n.peers match the other members.
func (n *Node) updatePeers() {
	for _, list := range [][]*messages.Member{n.members.GetVoters(), n.members.GetLearners()} {
		for _, m := range list {
			if m.GetName() != n.opts.Name && n.peers[m.GetName()] == nil {
				n.peers[m.GetName()] = &progress{next: n.log.last() + 1, ackedTick: n.tick, silentSince: n.tick}
			}
		}
	}
	for name := range n.peers {
		if !n.isMember(name) {
			delete(n.peers, name)
		}
	}
}

func (n *Node) isMember(name string) bool { return FindMember(n.members, name) != nil }

func (n *Node) peerNames() []string {
	names := make([]string, 0, len(n.peers))
	for name := range n.peers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// sendAfterSync queues a message to be sent after the state that it refers to is synced.
func (n *Node) sendAfterSync(m *messages.Message) {
	m.From = n.opts.Name
	if m.GetTerm() == 0 {
		m.Term = n.term
	}
	n.out.AfterSync = append(n.out.AfterSync, m)
}

// sendImmediate queues a message that does not have to wait for a sync.
func (n *Node) sendImmediate(m *messages.Message) {
	m.From = n.opts.Name
	m.Term = n.term
	n.out.Immediate = append(n.out.Immediate, m)
}

// HardState returns the hard state as of the last TakeOutput that included it.
func (n *Node) HardState() *messages.HardState { return n.hardState }

// CanCompact reports whether a snapshot at index may be stored before the pending output is taken: the output replaces
// no stored entries, and those up to index have been handed out to be applied.
func (n *Node) CanCompact(index uint64) bool {
	return n.truncate == 0 && n.out.Install == nil && index <= n.log.applying
}

// Stored returns the hard state and the entries after index that the storage must hold together with a snapshot
// at that index. CanCompact must be true.
func (n *Node) Stored(index uint64) (*messages.HardState, []*messages.Entry) {
	from, until := index-n.log.offset, n.log.syncing-n.log.offset
	return n.hardState, n.log.entries[from:until:until]
}

// maxLag is how many committed entries a member may lack and still count as caught up.
const maxLag = 64

// CaughtUp returns the sorted names of the other members that respond to this leader, lack at most maxLag committed
// entries and do not leave.
func (n *Node) CaughtUp() []string {
	var names []string
	for _, name := range n.peerNames() {
		if p := n.peers[name]; n.isCaughtUp(p) && !p.leaving {
			names = append(names, name)
		}
	}
	return names
}

func (n *Node) isCaughtUp(p *progress) bool {
	return n.tick-p.ackedTick <= n.opts.ElectionTicks && p.match+maxLag >= n.log.committed && p.match > 0
}
