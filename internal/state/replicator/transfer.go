package replicator

import "github.com/bluebellgauge/bluebellgauge/internal/wire/messages"

// Successor describes a voter to which a leader may hand over.
type Successor struct {
	Name    string
	Match   uint64 // last entry that it has acknowledged
	Age     int    // ticks since the sending of the last heartbeat that it has acknowledged, or since the start of the term
	Silent  int    // the same, but of the leader before since its last message
	Leaving bool   // its daemon stops
}

// Successors returns the other voters as a leader sees them, and nothing on other nodes.
func (n *Node) Successors() []Successor {
	var list []Successor
	for _, m := range n.members.GetVoters() {
		if p := n.peers[m.GetName()]; p != nil {
			list = append(list, Successor{Name: m.GetName(), Match: p.match, Age: n.tick - p.ackedTick, Silent: n.tick - p.silentSince, Leaving: p.leaving})
		}
	}
	return list
}

// Transferee returns the voter to which this leader hands over, "" if there is none.
func (n *Node) Transferee() string { return n.transferee }

// Leave tells the node that its daemon stops. From now on it hands the lead over whenever it has it, and campaigns only
// after the other voters have had time to.
func (n *Node) Leave() {
	if n.leaving {
		return
	}
	n.leaving = true
	n.electionAt += n.opts.ElectionTicks
	n.handOverIfLeaving()
}

// handOverIfLeaving starts a leadership transfer on a leader that leaves, once a voter that does not leave has caught up.
func (n *Node) handOverIfLeaving() {
	if !n.leaving || n.role != Leader || n.transferee != "" {
		return
	}
	if best := n.successor(false); best != "" && n.isCaughtUp(n.peers[best]) {
		n.transferTo(best)
	}
}

// Transfer starts a leadership transfer to the reachable voter with the longest matching log that does not leave. It
// returns false if there is none.
func (n *Node) Transfer() bool {
	if n.role != Leader {
		return false
	}
	best := n.successor(false)
	if best == "" {
		return false
	}
	n.transferTo(best)
	return true
}

func (n *Node) transferTo(name string) {
	n.transferee = name
	n.transferDeadline = n.tick + n.opts.ElectionTicks
	n.tryTransfer()
}

// successor returns the reachable voter with the longest matching log, the one heard from last if there are several, or ""
// if there is none. Voters that leave are considered only on request, after all others.
func (n *Node) successor(leaving bool) string {
	best := ""
	for _, m := range n.members.GetVoters() {
		p := n.peers[m.GetName()]
		if p == nil || n.tick-p.ackedTick > n.opts.ElectionTicks || p.leaving && !leaving {
			continue
		}
		if best == "" || p.isBetter(n.peers[best]) {
			best = m.GetName()
		}
	}
	return best
}

// isBetter reports whether a voter is a better successor than another one.
func (p *progress) isBetter(other *progress) bool {
	switch {
	case p.leaving != other.leaving:
		return other.leaving
	case p.match != other.match:
		return p.match > other.match
	default:
		return p.ackedTick > other.ackedTick
	}
}

// Resign makes the node a follower that knows no leader. A leader's messages to be sent let the voter with the longest
// matching log start an election at once, without waiting for the lease to expire. A voter that leaves is chosen only if
// there is no other: it hands over again.
func (n *Node) Resign() []*messages.Message {
	successor := ""
	if n.role == Leader {
		successor = n.successor(true)
	}
	n.becomeFollower(n.term, "")
	if successor == "" {
		return nil
	}
	return []*messages.Message{{Kind: messages.Kind_KIND_TIMEOUT_NOW, From: n.opts.Name, To: successor, Term: n.term}}
}

func (n *Node) tryTransfer() {
	if n.transferee != "" && n.peers[n.transferee].match == n.log.last() {
		n.sendImmediate(&messages.Message{Kind: messages.Kind_KIND_TIMEOUT_NOW, To: n.transferee})
	}
}
