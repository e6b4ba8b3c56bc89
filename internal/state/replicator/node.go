// Package replicator is the consensus over the replicated log: elections with pre-vote and
// check-quorum, replication, snapshots, learners and one-at-a-time membership change. It does
// no input or output and has no clock; messages, ticks and the completion of writes come in,
// messages and writes go out.
package replicator

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// Role is what a node is at the moment.
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
	ElectionTicks  int // least ticks without a leader before an election
	HeartbeatTicks int // ticks between heartbeats of a leader
	DriftTicks     int // by how much a lease is shortened for clocks that run at different rates
	MaxBatch       int // bytes of entries in one message
	ChunkSize      int // bytes of a snapshot in one message
	Seed           uint64
}

// Initial is what a node finds in its storage.
type Initial struct {
	Hard     *messages.HardState
	Snapshot *Snapshot // nil before the first one
	Members  *messages.Members
	Entries  []*messages.Entry // after the snapshot, without gaps
}

// Snapshot is the state up to and including one entry.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members *messages.Members // in force at Index
	Data    []byte
}

// Output is what the driver must do, in the order of the fields.
type Output struct {
	Early     []*messages.Message // may be sent at once
	Install   *Snapshot           // replaces the state and the log, to be synced
	Hard      *messages.HardState // to be synced, nil when unchanged
	Truncate  uint64              // entries from this index on are void, 0 for none
	Entries   []*messages.Entry   // to be appended and synced
	Late      []*messages.Message // may be sent once all of the above is synced
	Committed []*messages.Entry   // to be applied
}

// Empty reports whether there is nothing to do.
func (o *Output) Empty() bool {
	return len(o.Early) == 0 && o.Install == nil && o.Hard == nil && o.Truncate == 0 &&
		len(o.Entries) == 0 && len(o.Late) == 0 && len(o.Committed) == 0
}

// Node is one replica of the log.
type Node struct {
	opts    Options
	random  *rand.Rand
	role    Role
	leader  string
	term    uint64
	vote    string
	log     entryLog
	members *messages.Members
	// history holds the membership before each uncommitted change, to go back on truncation.
	history []membership

	restarted   bool
	tick        int
	heard       int // tick of the last word from the leader
	electionAt  int // tick at which an election starts
	heartbeatAt int
	votes       map[string]bool
	peers       map[string]*progress
	termStart   uint64 // index of the first entry of a leader's own term
	transferee  string
	transferEnd int

	snapshot *Snapshot
	incoming *incomingSnapshot
	hard     *messages.HardState // as last given out
	out      Output
	truncate uint64
}

type membership struct {
	index   uint64 // of the entry that changed it
	members *messages.Members
}

// New returns a node that starts from what its storage holds.
func New(opts Options, initial Initial) *Node {
	n := &Node{
		opts:    opts,
		random:  rand.New(rand.NewPCG(opts.Seed, opts.Seed^0x9e3779b97f4a7c15)),
		members: initial.Members,
		peers:   map[string]*progress{},
		hard:    &messages.HardState{},
	}
	if initial.Hard != nil {
		n.term, n.vote = initial.Hard.GetTerm(), initial.Hard.GetVote()
		n.hard = initial.Hard
		n.restarted = n.term > 0
	}
	if initial.Snapshot != nil {
		n.snapshot = initial.Snapshot
		n.log.offset, n.log.offsetTerm = initial.Snapshot.Index, initial.Snapshot.Term
		n.members = initial.Snapshot.Members
	}
	n.log.committed, n.log.given = n.log.offset, n.log.offset
	n.log.taken, n.log.synced = n.log.offset, n.log.offset
	for _, e := range initial.Entries {
		n.log.entries = append(n.log.entries, e)
		n.adoptMembers(e)
	}
	n.log.taken, n.log.synced = n.log.last(), n.log.last()
	n.log.committed = max(n.log.committed, min(initial.Hard.GetCommit(), n.log.last()))
	n.resetElection()
	return n
}

// Role returns what the node is at the moment.
func (n *Node) Role() Role { return n.role }

// Leader returns the leader that the node knows, "" for none.
func (n *Node) Leader() string { return n.leader }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// Members returns the membership in force at the end of the log.
func (n *Node) Members() *messages.Members { return n.members }

// Committed returns the index of the last entry known to be committed.
func (n *Node) Committed() uint64 { return n.log.committed }

// LogLength returns the number of entries after the last snapshot.
func (n *Node) LogLength() int { return len(n.log.entries) }

// Tick tells that one unit of time has passed.
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
	if n.isVoter(n.opts.Name) {
		n.campaign(PreCandidate, false)
	}
}

func (n *Node) tickLeader() {
	if n.transferee != "" && n.tick >= n.transferEnd {
		// The order to start an election may still be under way, so the lease is void for good.
		n.becomeFollower(n.term, "")
		return
	}
	if n.tick-n.quorumTick() >= n.opts.ElectionTicks {
		// A leader that is cut off from the quorum must stop before its successor starts.
		n.becomeFollower(n.term, "")
		return
	}
	if n.tick >= n.heartbeatAt {
		n.heartbeatAt = n.tick + n.opts.HeartbeatTicks
		for _, name := range n.peerNames() {
			n.sendAppend(name, true)
		}
	}
}

// HasLease reports whether the node is the leader and no other one can have been elected, so
// that its state may be read. It holds for one election time, less the drift bound, from the
// sending of the last heartbeat that a quorum answered.
func (n *Node) HasLease() bool {
	return n.role == Leader && n.transferee == "" && n.log.committed >= n.termStart &&
		n.tick-n.quorumTick() < n.opts.ElectionTicks-n.opts.DriftTicks
}

// quorumTick returns the latest tick at which a heartbeat was sent that a quorum has answered.
func (n *Node) quorumTick() int {
	var ticks []int
	for _, m := range n.members.GetVoters() {
		switch p := n.peers[m.GetName()]; {
		case m.GetName() == n.opts.Name:
			ticks = append(ticks, n.tick)
		case p != nil:
			ticks = append(ticks, p.answered)
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

// Propose appends an entry to the leader's log. ok is false when the node is not the leader or
// is handing its leadership over.
func (n *Node) Propose(kind messages.EntryKind, data []byte) (index uint64, ok bool) {
	if n.role != Leader || n.transferee != "" {
		return 0, false
	}
	return n.appendOwn(kind, data), true
}

// ErrBusy tells that a membership change must wait.
var ErrBusy = fmt.Errorf("another membership change is under way")

// ProposeMembers appends a membership that differs by at most one voter from the one in force.
func (n *Node) ProposeMembers(m *messages.Members, encode func(*messages.Members) []byte) (uint64, error) {
	if n.role != Leader || n.transferee != "" {
		return 0, fmt.Errorf("not the leader")
	}
	if len(n.history) > 0 || n.log.committed < n.termStart {
		return 0, ErrBusy
	}
	if d := voterDifference(n.members, m); d > 1 {
		return 0, fmt.Errorf("change of %d voters at once, want at most 1", d)
	}
	if len(m.GetVoters()) == 0 {
		return 0, fmt.Errorf("no voter would remain")
	}
	return n.appendOwn(messages.EntryKind_ENTRY_MEMBERS, encode(m)), nil
}

// voterDifference counts the voters that stand in one of the two memberships only.
func voterDifference(a, b *messages.Members) int {
	d := 0
	for _, m := range a.GetVoters() {
		if findMember(b.GetVoters(), m.GetName()) == nil {
			d++
		}
	}
	for _, m := range b.GetVoters() {
		if findMember(a.GetVoters(), m.GetName()) == nil {
			d++
		}
	}
	return d
}

// FindMember returns the voter or learner of a name, or nil.
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

func (n *Node) appendOwn(kind messages.EntryKind, data []byte) uint64 {
	e := &messages.Entry{Index: n.log.last() + 1, Term: n.term, Kind: kind, Data: data}
	n.log.entries = append(n.log.entries, e)
	n.adoptMembers(e)
	return e.GetIndex()
}

// Transfer hands the leadership to a caught-up voter. It reports false when there is none.
func (n *Node) Transfer() bool {
	if n.role != Leader {
		return false
	}
	best := ""
	for _, m := range n.members.GetVoters() {
		p := n.peers[m.GetName()]
		if p == nil || n.tick-p.answered > n.opts.ElectionTicks {
			continue
		}
		if best == "" || p.match > n.peers[best].match {
			best = m.GetName()
		}
	}
	if best == "" {
		return false
	}
	n.transferee = best
	n.transferEnd = n.tick + n.opts.ElectionTicks
	n.tryTransfer()
	return true
}

func (n *Node) tryTransfer() {
	if n.transferee != "" && n.peers[n.transferee].match == n.log.last() {
		n.send(&messages.Message{Kind: messages.Kind_KIND_TIMEOUT_NOW, To: n.transferee})
	}
}

// Synced tells that everything given out so far up to an index is on the disk.
func (n *Node) Synced(index uint64) {
	n.log.synced = max(n.log.synced, min(index, n.log.last()))
	if n.role == Leader {
		n.advanceCommit()
	}
}

// Compact drops the entries up to a snapshot that has been synced.
func (n *Node) Compact(s *Snapshot) {
	if s.Index <= n.log.offset {
		return
	}
	n.snapshot = s
	n.log.compact(s.Index, s.Term)
}

// TermAt returns the term of the entry at an index that is still in the log.
func (n *Node) TermAt(index uint64) uint64 {
	term, _ := n.log.term(index)
	return term
}

// Take returns what there is to do, and forgets it.
func (n *Node) Take() Output {
	if n.role == Leader {
		for _, name := range n.peerNames() {
			n.sendAppend(name, false)
		}
	}
	o := n.out
	n.out = Output{}
	o.Truncate, n.truncate = n.truncate, 0
	o.Entries = n.log.takeUnsynced()
	o.Committed = n.log.takeCommitted()
	hard := &messages.HardState{Term: n.term, Vote: n.vote, Commit: n.log.committed}
	// The commit index alone is no reason to sync; it is found again from the leader.
	if hard.GetTerm() != n.hard.GetTerm() || hard.GetVote() != n.hard.GetVote() || len(o.Entries) > 0 && hard.GetCommit() != n.hard.GetCommit() {
		o.Hard = hard
		n.hard = hard
	}
	return o
}

func (n *Node) isVoter(name string) bool { return findMember(n.members.GetVoters(), name) != nil }

func (n *Node) quorum() int { return len(n.members.GetVoters())/2 + 1 }

// adoptMembers puts a membership entry in force from its append on.
func (n *Node) adoptMembers(e *messages.Entry) {
	if e.GetKind() != messages.EntryKind_ENTRY_MEMBERS {
		return
	}
	m, err := DecodeMembers(e.GetData())
	if err != nil {
		panic(fmt.Sprintf("membership entry %d: %v", e.GetIndex(), err))
	}
	n.history = append(n.history, membership{index: e.GetIndex(), members: n.members})
	n.members = m
	if n.role == Leader {
		n.syncPeers()
	}
}

// syncPeers keeps the progress of just the other members.
func (n *Node) syncPeers() {
	for _, list := range [][]*messages.Member{n.members.GetVoters(), n.members.GetLearners()} {
		for _, m := range list {
			if m.GetName() != n.opts.Name && n.peers[m.GetName()] == nil {
				n.peers[m.GetName()] = &progress{next: n.log.last() + 1, answered: n.tick}
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

// send queues a message that must wait for the sync of what it speaks of.
func (n *Node) send(m *messages.Message) {
	m.From = n.opts.Name
	if m.GetTerm() == 0 {
		m.Term = n.term
	}
	n.out.Late = append(n.out.Late, m)
}

func (n *Node) sendEarly(m *messages.Message) {
	m.From = n.opts.Name
	m.Term = n.term
	n.out.Early = append(n.out.Early, m)
}

// Hard returns the hard state as it was last given out.
func (n *Node) Hard() *messages.HardState { return n.hard }

// Stored returns the hard state and the synced entries after an index, as they must stand in
// the storage next to a snapshot of that index.
func (n *Node) Stored(index uint64) (*messages.HardState, []*messages.Entry) {
	from, until := index-n.log.offset, n.log.taken-n.log.offset
	return n.hard, n.log.entries[from:until:until]
}

// maxBehind is how many entries a member may lack and still count as caught up.
const maxBehind = 64

// CaughtUp returns the other members that answer a leader and lack few committed entries, sorted.
func (n *Node) CaughtUp() []string {
	var names []string
	for _, name := range n.peerNames() {
		p := n.peers[name]
		if n.tick-p.answered <= n.opts.ElectionTicks && p.match+maxBehind >= n.log.committed && p.match > 0 {
			names = append(names, name)
		}
	}
	return names
}
