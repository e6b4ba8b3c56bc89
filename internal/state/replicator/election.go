package replicator

import (
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

func (n *Node) resetElection() {
	n.electionAt = n.tick + n.opts.ElectionTicks + n.rng.IntN(n.opts.ElectionTicks)
	if n.leaving {
		n.electionAt += n.opts.ElectionTicks // others campaign before, unless their logs are too short to win
	}
}

// resumeTicks is the interval between the pre-votes of a leader that has restarted.
const resumeTicks = 2

// isResuming reports whether this node led the current term until it restarted, and may ask to be elected again
// before the other voters' election timeout. It stops after two timeouts, when other voters have campaigned.
func (n *Node) isResuming() bool {
	return n.resuming && !n.leaving && n.led == n.term && n.tick < 2*n.opts.ElectionTicks
}

// lastResort is the number of election timeouts without a leader after which a node that is no voter campaigns.
const lastResort = 4

// mustCampaign reports whether a node that is no voter by its own log campaigns, as it may hold the longest log: if a leader
// has sent its entries only to a learner, or its own removal to nobody, no voter that is left can win against that log. It
// needs the votes of a majority of the voters that it knows, and has none itself. Once its term's first entry is committed, it
// steps down.
func (n *Node) mustCampaign() bool {
	return len(n.members.GetVoters()) > 0 && n.tick-n.lastContact >= lastResort*n.opts.ElectionTicks
}

func (n *Node) becomeFollower(term uint64, leader string) {
	if n.role == Leader {
		n.lastContact = n.tick // it was in contact with itself until now
	}
	if term > n.term {
		n.term = term
		n.vote = ""
	}
	n.role = Follower
	n.leader = leader
	n.resuming = false
	n.transferee = ""
	n.peers = map[string]*progress{}
	n.resetElection()
}

// campaign requests votes from the other voters. A pre-vote, which does not increment the term, comes first, so
// that a node that cannot win does not disrupt the leader.
func (n *Node) campaign(role Role, transfer bool) {
	n.role = role
	n.leader = ""
	n.votes = map[string]bool{n.opts.Name: true}
	kind := messages.Kind_KIND_PREVOTE
	term := n.term + 1
	if role == Candidate {
		n.term++
		n.vote = n.opts.Name
		kind = messages.Kind_KIND_VOTE
		term = n.term
	}
	n.resetElection()
	if role == PreCandidate && n.isResuming() {
		n.electionAt = n.tick + resumeTicks // other voters may not have started yet
	}
	if n.countVotes() {
		return
	}
	members := []*messages.Entry{{Kind: messages.EntryKind_ENTRY_MEMBERS, Data: EncodeMembers(n.members)}}
	for _, m := range n.members.GetVoters() {
		if m.GetName() == n.opts.Name {
			continue
		}
		n.sendAfterSync(&messages.Message{
			Kind: kind, To: m.GetName(), Term: term, Transfer: transfer,
			Index: n.log.last(), Logterm: n.log.lastTerm(), Led: n.led, Entries: members,
		})
	}
}

// NamesFolder reports whether a message asks for a vote and its sender's own membership, which it carries, lists the sender with
// the identity of a data folder. Such a candidate has learned from a leader that its folder takes part, which only happens once
// the removal of any former folder under its name is committed, and counts no vote of that one as its own.
func NamesFolder(m *messages.Message, identity string) bool {
	if m.GetKind() != messages.Kind_KIND_VOTE && m.GetKind() != messages.Kind_KIND_PREVOTE || len(m.GetEntries()) != 1 || identity == "" {
		return false
	}
	members, err := DecodeMembers(m.GetEntries()[0].GetData())
	return err == nil && FindMember(members, m.GetFrom()).GetIdentity() == identity
}

// HasVotedFor reports whether this node's vote in the term of a request belongs to the sender's name. Under that name another
// folder may have got it.
func (n *Node) HasVotedFor(m *messages.Message) bool {
	return m.GetTerm() == n.term && n.vote == m.GetFrom()
}

// countVotes ends the current campaign once a majority has granted or refused it, and reports whether it did.
func (n *Node) countVotes() bool {
	granted, refused := 0, 0
	for _, m := range n.members.GetVoters() {
		vote, ok := n.votes[m.GetName()]
		switch {
		case ok && vote:
			granted++
		case ok:
			refused++
		}
	}
	switch {
	case granted >= n.quorum() && n.role == PreCandidate:
		n.campaign(Candidate, false)
	case granted >= n.quorum():
		n.becomeLeader()
	case refused >= n.quorum():
		n.becomeFollower(n.term, "")
	default:
		return false
	}
	return true
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.opts.Name
	n.led = n.term
	n.resuming = false
	n.transferee = ""
	n.peers = map[string]*progress{}
	n.updatePeers()
	if p := n.peers[n.lastLeader]; p != nil && !n.votes[n.lastLeader] {
		p.silentSince = n.lastContact // counted from the term on, the election would add to its silence
	}
	n.lastLeader = ""
	n.heartbeatAt = n.tick + n.opts.HeartbeatTicks
	n.termStart = n.appendEntry(messages.EntryKind_ENTRY_EMPTY, nil)
}

// Step processes one received message.
func (n *Node) Step(m *messages.Message) {
	if m.GetTerm() > n.term && !n.adoptTerm(m) {
		return
	}
	if m.GetTerm() < n.term {
		n.replyStale(m)
		return
	}
	switch m.GetKind() {
	case messages.Kind_KIND_PREVOTE, messages.Kind_KIND_VOTE:
		n.handleVote(m)
	case messages.Kind_KIND_PREVOTE_REPLY, messages.Kind_KIND_VOTE_REPLY:
		n.handleVoteReply(m)
	case messages.Kind_KIND_APPEND:
		n.followLeader(m)
		n.handleAppend(m)
	case messages.Kind_KIND_SNAPSHOT:
		n.followLeader(m)
		n.handleChunk(m)
	case messages.Kind_KIND_APPEND_REPLY:
		n.handleAppendReply(m)
	case messages.Kind_KIND_SNAPSHOT_REPLY:
		n.handleChunkReply(m)
	case messages.Kind_KIND_TIMEOUT_NOW:
		if n.isVoter(n.opts.Name) && n.role == Follower {
			n.campaign(Candidate, true)
		}
	case messages.Kind_KIND_UNKNOWN:
	}
}

// adoptTerm handles a message of a later term and adopts the term if the message requires it. It returns false
// if the message needs no further processing.
func (n *Node) adoptTerm(m *messages.Message) bool {
	switch m.GetKind() {
	case messages.Kind_KIND_PREVOTE:
		n.handleVote(m)
		return false
	case messages.Kind_KIND_PREVOTE_REPLY:
		if !m.GetRefused() {
			// A grant carries the requested term, which is not the current term yet.
			n.handleVoteReply(m)
			return false
		}
	case messages.Kind_KIND_VOTE:
		if n.leaderMayBeActive() && !m.GetTransfer() && !n.isFromFormerLeader(m) {
			return false
		}
	default:
	}
	n.becomeFollower(m.GetTerm(), "")
	return true
}

// leaderMayBeActive reports whether this node may have received a leader's message within the minimum election
// timeout. A restarted node does not remember its last contact and must not vote while a leader may hold a
// lease, so it returns true until one timeout has passed.
func (n *Node) leaderMayBeActive() bool {
	if n.role == Leader || n.restarted && n.tick < n.opts.ElectionTicks {
		return true
	}
	return n.leader != "" && n.tick-n.lastContact < n.opts.ElectionTicks
}

// isFromFormerLeader reports whether a vote is requested by the last leader that this node may have acknowledged.
// A candidate holds no lease, and the leases of all leaders before it had expired when it was elected, so this
// node need not wait until it may vote.
func (n *Node) isFromFormerLeader(m *messages.Message) bool {
	return m.GetLed() > 0 && m.GetLed() >= n.term
}

// replyStale replies to a message of an earlier term with the current term.
func (n *Node) replyStale(m *messages.Message) {
	switch m.GetKind() {
	case messages.Kind_KIND_APPEND, messages.Kind_KIND_SNAPSHOT:
		n.sendAfterSync(&messages.Message{Kind: messages.Kind_KIND_APPEND_REPLY, To: m.GetFrom(), Refused: true, Hint: n.log.last()})
	case messages.Kind_KIND_PREVOTE:
		n.sendAfterSync(&messages.Message{Kind: messages.Kind_KIND_PREVOTE_REPLY, To: m.GetFrom(), Refused: true})
	default:
	}
}

func (n *Node) handleVote(m *messages.Message) {
	preVote := m.GetKind() == messages.Kind_KIND_PREVOTE
	kind := messages.Kind_KIND_VOTE_REPLY
	canGrant := n.vote == "" && n.leader == "" || n.vote == m.GetFrom()
	if preVote {
		kind = messages.Kind_KIND_PREVOTE_REPLY
		canGrant = m.GetTerm() > n.term && (!n.leaderMayBeActive() || n.isFromFormerLeader(m))
	}
	if canGrant && n.log.upToDate(m.GetIndex(), m.GetLogterm()) {
		if !preVote {
			n.vote = m.GetFrom()
			n.resetElection()
		}
		n.sendAfterSync(&messages.Message{Kind: kind, To: m.GetFrom(), Term: m.GetTerm()})
		return
	}
	n.sendAfterSync(&messages.Message{Kind: kind, To: m.GetFrom(), Refused: true})
}

func (n *Node) handleVoteReply(m *messages.Message) {
	wantKind := messages.Kind_KIND_VOTE_REPLY
	wantTerm := n.term
	if n.role == PreCandidate {
		wantKind = messages.Kind_KIND_PREVOTE_REPLY
		if !m.GetRefused() {
			wantTerm = n.term + 1
		}
	}
	if n.role != PreCandidate && n.role != Candidate || m.GetKind() != wantKind || m.GetTerm() != wantTerm {
		return
	}
	n.votes[m.GetFrom()] = !m.GetRefused()
	n.countVotes()
}

func (n *Node) followLeader(m *messages.Message) {
	if n.role != Follower {
		n.becomeFollower(m.GetTerm(), m.GetFrom())
	}
	n.leader, n.lastLeader = m.GetFrom(), m.GetFrom()
	n.lastContact = n.tick
	n.resetElection()
}
