package replicator

import (
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

func (n *Node) resetElection() {
	n.electionAt = n.tick + n.opts.ElectionTicks + n.random.IntN(n.opts.ElectionTicks)
}

func (n *Node) becomeFollower(term uint64, leader string) {
	if term > n.term {
		n.term = term
		n.vote = ""
	}
	n.role = Follower
	n.leader = leader
	n.transferee = ""
	n.peers = map[string]*progress{}
	n.resetElection()
}

// campaign asks for votes: for a pre-vote without a new term first, so that a node that can't
// win disturbs nobody.
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
	if n.countVotes() {
		return
	}
	for _, m := range n.members.GetVoters() {
		if m.GetName() == n.opts.Name {
			continue
		}
		n.send(&messages.Message{
			Kind: kind, To: m.GetName(), Term: term, Transfer: transfer,
			Index: n.log.last(), Logterm: n.log.lastTerm(),
		})
	}
}

// countVotes acts on a majority. It reports whether the campaign is over.
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
	n.transferee = ""
	n.peers = map[string]*progress{}
	n.syncPeers()
	n.heartbeatAt = n.tick + n.opts.HeartbeatTicks
	n.termStart = n.appendOwn(messages.EntryKind_ENTRY_EMPTY, nil)
}

// Step takes in one message.
func (n *Node) Step(m *messages.Message) {
	if m.GetTerm() > n.term && !n.adoptTerm(m) {
		return
	}
	if m.GetTerm() < n.term {
		n.answerStale(m)
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

// adoptTerm follows a later term. It reports false when the message goes no further.
func (n *Node) adoptTerm(m *messages.Message) bool {
	switch m.GetKind() {
	case messages.Kind_KIND_PREVOTE:
		n.handleVote(m)
		return false
	case messages.Kind_KIND_PREVOTE_REPLY:
		if !m.GetRefused() {
			// It grants the term that was asked for, which is not in force yet.
			n.handleVoteReply(m)
			return false
		}
	case messages.Kind_KIND_VOTE:
		if n.hearsLeader() && !m.GetTransfer() {
			return false
		}
	default:
	}
	n.becomeFollower(m.GetTerm(), "")
	return true
}

// hearsLeader reports whether a leader may have been heard within the least election time. A
// node that has restarted does not know, and must not help to break a leader's lease.
func (n *Node) hearsLeader() bool {
	if n.role == Leader || n.restarted && n.tick < n.opts.ElectionTicks {
		return true
	}
	return n.leader != "" && n.tick-n.heard < n.opts.ElectionTicks
}

// answerStale tells a node of an earlier term that it is behind.
func (n *Node) answerStale(m *messages.Message) {
	switch m.GetKind() {
	case messages.Kind_KIND_APPEND, messages.Kind_KIND_SNAPSHOT:
		n.send(&messages.Message{Kind: messages.Kind_KIND_APPEND_REPLY, To: m.GetFrom(), Refused: true, Hint: n.log.last()})
	case messages.Kind_KIND_PREVOTE:
		n.send(&messages.Message{Kind: messages.Kind_KIND_PREVOTE_REPLY, To: m.GetFrom(), Refused: true})
	default:
	}
}

func (n *Node) handleVote(m *messages.Message) {
	pre := m.GetKind() == messages.Kind_KIND_PREVOTE
	kind := messages.Kind_KIND_VOTE_REPLY
	free := n.vote == "" && n.leader == "" || n.vote == m.GetFrom()
	if pre {
		kind = messages.Kind_KIND_PREVOTE_REPLY
		free = m.GetTerm() > n.term && !n.hearsLeader()
	}
	if free && n.log.upToDate(m.GetIndex(), m.GetLogterm()) {
		if !pre {
			n.vote = m.GetFrom()
			n.resetElection()
		}
		n.send(&messages.Message{Kind: kind, To: m.GetFrom(), Term: m.GetTerm()})
		return
	}
	n.send(&messages.Message{Kind: kind, To: m.GetFrom(), Refused: true})
}

func (n *Node) handleVoteReply(m *messages.Message) {
	want := messages.Kind_KIND_VOTE_REPLY
	term := n.term
	if n.role == PreCandidate {
		want = messages.Kind_KIND_PREVOTE_REPLY
		if !m.GetRefused() {
			term = n.term + 1
		}
	}
	if n.role != PreCandidate && n.role != Candidate || m.GetKind() != want || m.GetTerm() != term {
		return
	}
	n.votes[m.GetFrom()] = !m.GetRefused()
	n.countVotes()
}

func (n *Node) followLeader(m *messages.Message) {
	if n.role != Follower {
		n.becomeFollower(m.GetTerm(), m.GetFrom())
	}
	n.leader = m.GetFrom()
	n.heard = n.tick
	n.resetElection()
}
