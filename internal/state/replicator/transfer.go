package replicator

// Successor describes a voter to which a leader may hand over.
type Successor struct {
	Name  string
	Match uint64 // last entry that it has acknowledged
	Age   int    // ticks since the sending of the last heartbeat that it has acknowledged
}

// Successors returns the other voters as a leader sees them, and nothing on other nodes.
func (n *Node) Successors() []Successor {
	var list []Successor
	for _, m := range n.members.GetVoters() {
		if p := n.peers[m.GetName()]; p != nil {
			list = append(list, Successor{Name: m.GetName(), Match: p.match, Age: n.tick - p.ackedTick})
		}
	}
	return list
}

// Transferee returns the voter to which this leader hands over, "" if there is none.
func (n *Node) Transferee() string { return n.transferee }
