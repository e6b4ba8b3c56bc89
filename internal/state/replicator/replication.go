package replicator

import (
	"fmt"
	"hash/crc32"
	"slices"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// progress is what a leader knows of another member.
type progress struct {
	match    uint64
	next     uint64
	probing  bool // the last append was refused; one at a time until one fits
	paused   bool // while probing, until the next heartbeat or reply
	answered int  // tick at which the last answered heartbeat was sent
	sending  bool // a snapshot is under way
	offset   uint64
	index    uint64 // of the snapshot under way
}

// maxInFlight bounds the entries sent ahead of what a member has confirmed.
const maxInFlight = 4096

// sendAppend sends the entries that a member lacks, or an empty heartbeat.
func (n *Node) sendAppend(name string, heartbeat bool) {
	p := n.peers[name]
	if heartbeat {
		p.paused = false
	}
	if p.next <= n.log.offset || p.sending {
		if heartbeat || !p.sending {
			n.sendChunk(name, p)
		}
		return
	}
	pending := p.next <= n.log.last() && !p.paused && p.next-p.match <= maxInFlight
	if !heartbeat && !pending {
		return
	}
	prev := p.next - 1
	prevTerm, _ := n.log.term(prev)
	m := &messages.Message{
		Kind: messages.Kind_KIND_APPEND, To: name, Index: prev, Logterm: prevTerm,
		Commit: n.log.committed, Round: uint64(n.tick),
	}
	if pending {
		m.Entries = n.log.from(p.next, n.opts.MaxBatch)
		p.paused = p.probing
		if !p.probing {
			p.next += uint64(len(m.Entries))
		}
	}
	n.sendEarly(m)
}

func (n *Node) handleAppend(m *messages.Message) {
	reply := &messages.Message{Kind: messages.Kind_KIND_APPEND_REPLY, To: m.GetFrom(), Round: m.GetRound()}
	if m.GetIndex() < n.log.committed {
		reply.Index = n.log.committed
		n.send(reply)
		return
	}
	if term, ok := n.log.term(m.GetIndex()); !ok || term != m.GetLogterm() {
		reply.Refused = true
		reply.Hint = n.lastBelow(m.GetIndex(), m.GetLogterm())
		n.send(reply)
		return
	}
	n.appendEntries(m.GetEntries())
	reply.Index = m.GetIndex() + uint64(len(m.GetEntries()))
	n.commitTo(min(m.GetCommit(), reply.GetIndex()))
	n.send(reply)
}

// lastBelow returns the last index before the refused one whose term may fit.
func (n *Node) lastBelow(index, term uint64) uint64 {
	hint := min(index-1, n.log.last())
	for hint > n.log.committed {
		if t, ok := n.log.term(hint); ok && t <= term {
			break
		}
		hint--
	}
	return hint
}

func (n *Node) appendEntries(entries []*messages.Entry) {
	for i, e := range entries {
		term, ok := n.log.term(e.GetIndex())
		if ok && term == e.GetTerm() {
			continue
		}
		if ok {
			n.truncateFrom(e.GetIndex())
		}
		for _, fresh := range entries[i:] {
			n.log.entries = append(n.log.entries, fresh)
			n.adoptMembers(fresh)
		}
		return
	}
}

func (n *Node) truncateFrom(index uint64) {
	if index <= n.log.committed {
		panic(fmt.Sprintf("entry %d is committed and would be overwritten, commit is %d", index, n.log.committed))
	}
	n.log.truncateFrom(index)
	for len(n.history) > 0 && n.history[len(n.history)-1].index >= index {
		n.members = n.history[len(n.history)-1].members
		n.history = n.history[:len(n.history)-1]
	}
	if n.truncate == 0 || index < n.truncate {
		n.truncate = index
	}
}

func (n *Node) commitTo(index uint64) {
	if index <= n.log.committed {
		return
	}
	n.log.committed = index
	for len(n.history) > 0 && n.history[0].index <= index {
		n.history = n.history[1:]
	}
}

func (n *Node) handleAppendReply(m *messages.Message) {
	p := n.peers[m.GetFrom()]
	if n.role != Leader || p == nil {
		return
	}
	p.answered = max(p.answered, int(m.GetRound()))
	p.paused = false
	if m.GetRefused() {
		// A late refusal of something that is confirmed since says nothing new.
		if m.GetHint() >= p.match && m.GetHint() < n.log.last() {
			p.next = m.GetHint() + 1
			p.probing = true
		}
		return
	}
	p.probing = false
	p.sending = false
	p.match = max(p.match, m.GetIndex())
	p.next = max(p.next, p.match+1)
	n.advanceCommit()
	n.tryTransfer()
}

// advanceCommit commits what a quorum has synced. Entries of earlier terms are committed only
// together with one of the leader's own term.
func (n *Node) advanceCommit() {
	var matches []uint64
	for _, m := range n.members.GetVoters() {
		switch p := n.peers[m.GetName()]; {
		case m.GetName() == n.opts.Name:
			matches = append(matches, n.log.synced)
		case p != nil:
			matches = append(matches, p.match)
		default:
			matches = append(matches, 0)
		}
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	if term, ok := n.log.term(index); !ok || term != n.term {
		return
	}
	n.commitTo(index)
	if !n.isVoter(n.opts.Name) && len(n.history) == 0 {
		// The leader has removed itself and the removal is committed.
		n.becomeFollower(n.term, "")
	}
}

// incomingSnapshot collects the chunks of one snapshot.
type incomingSnapshot struct {
	index, term uint64
	data        []byte
}

// sendChunk sends the next piece of the last snapshot to a member that is too far behind.
func (n *Node) sendChunk(name string, p *progress) {
	if n.snapshot == nil {
		return
	}
	if !p.sending || p.index != n.snapshot.Index {
		p.sending, p.index, p.offset = true, n.snapshot.Index, 0
	}
	data := n.snapshot.Data
	end := min(p.offset+uint64(n.opts.ChunkSize), uint64(len(data)))
	n.sendEarly(&messages.Message{
		Kind: messages.Kind_KIND_SNAPSHOT, To: name, Round: uint64(n.tick),
		Chunk: &messages.Chunk{
			Index: n.snapshot.Index, Term: n.snapshot.Term, Members: n.snapshot.Members,
			Offset: p.offset, Total: uint64(len(data)), Data: data[p.offset:end],
			Checksum: crc32.Checksum(data, castagnoli),
		},
	})
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// handleChunk takes in a piece of a snapshot, and installs it once it is whole.
func (n *Node) handleChunk(m *messages.Message) {
	c := m.GetChunk()
	reply := &messages.Message{Kind: messages.Kind_KIND_SNAPSHOT_REPLY, To: m.GetFrom(), Round: m.GetRound(), Index: c.GetIndex()}
	if c.GetIndex() <= n.log.committed {
		n.incoming = nil
		reply.Kind = messages.Kind_KIND_APPEND_REPLY
		reply.Index = n.log.committed
		n.send(reply)
		return
	}
	in := n.incoming
	if in == nil || in.index != c.GetIndex() || in.term != c.GetTerm() {
		in = &incomingSnapshot{index: c.GetIndex(), term: c.GetTerm()}
		n.incoming = in
	}
	if c.GetOffset() == uint64(len(in.data)) {
		in.data = append(in.data, c.GetData()...)
	}
	if uint64(len(in.data)) < c.GetTotal() {
		reply.Hint = uint64(len(in.data))
		n.send(reply)
		return
	}
	n.incoming = nil
	if crc32.Checksum(in.data, castagnoli) != c.GetChecksum() {
		n.send(reply)
		return
	}
	n.install(&Snapshot{Index: c.GetIndex(), Term: c.GetTerm(), Members: c.GetMembers(), Data: in.data})
	reply.Kind = messages.Kind_KIND_APPEND_REPLY
	n.send(reply)
}

func (n *Node) install(s *Snapshot) {
	n.snapshot = s
	n.log.reset(s.Index, s.Term)
	n.members = s.Members
	n.history = nil
	n.truncate = 0
	n.out.Install = s
	n.out.Committed = nil
}

func (n *Node) handleChunkReply(m *messages.Message) {
	p := n.peers[m.GetFrom()]
	if n.role != Leader || p == nil {
		return
	}
	p.answered = max(p.answered, int(m.GetRound()))
	if !p.sending || m.GetIndex() != p.index {
		return
	}
	p.offset = min(m.GetHint(), uint64(len(n.snapshot.Data)))
	n.sendChunk(m.GetFrom(), p)
}
