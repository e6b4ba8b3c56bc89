package replicator

import (
	"fmt"
	"hash/crc32"
	"slices"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// progress tracks the replication to one other member.
type progress struct {
	match           uint64
	next            uint64
	probing         bool // the last append was refused; sends one append at a time until one is accepted
	paused          bool // while probing: no append until the next heartbeat or reply
	ackedTick       int  // tick at which the last acknowledged message was sent
	silentSince     int  // the same, or of the leader before: tick of its last message, if it has not answered since
	leaving         bool // its daemon stops, as of its last reply
	sendingSnapshot bool // a snapshot transfer is in progress
	snapshotOffset  uint64
	snapshotIndex   uint64 // index of the snapshot being sent
}

// maxInFlight limits the entries sent to a member but not yet acknowledged.
const maxInFlight = 4096

// sendAppend sends the entries that a member lacks, or a heartbeat without entries. A member that lacks compacted
// entries gets the snapshot instead.
func (n *Node) sendAppend(name string, heartbeat bool) {
	p := n.peers[name]
	if heartbeat {
		p.paused = false
	}
	if p.next <= n.log.offset || p.sendingSnapshot {
		if heartbeat || !p.sendingSnapshot {
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
		m.Entries = n.log.batchFrom(p.next, n.opts.MaxBatch)
		p.paused = p.probing
		if !p.probing {
			p.next += uint64(len(m.Entries))
		}
	}
	n.sendImmediate(m)
}

func (n *Node) handleAppend(m *messages.Message) {
	reply := &messages.Message{Kind: messages.Kind_KIND_APPEND_REPLY, To: m.GetFrom(), Round: m.GetRound(), Leaving: n.leaving}
	if m.GetIndex() < n.log.committed {
		reply.Index = n.log.committed
		n.sendAfterSync(reply)
		return
	}
	if term, ok := n.log.term(m.GetIndex()); !ok || term != m.GetLogterm() {
		reply.Refused = true
		reply.Hint = n.conflictHint(m.GetIndex(), m.GetLogterm())
		n.sendAfterSync(reply)
		return
	}
	n.appendEntries(m.GetEntries())
	reply.Index = m.GetIndex() + uint64(len(m.GetEntries()))
	n.commitTo(min(m.GetCommit(), reply.GetIndex()))
	n.sendAfterSync(reply)
}

// conflictHint returns the last index before the refused one whose term may match the leader's log.
func (n *Node) conflictHint(index, term uint64) uint64 {
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
		for _, added := range entries[i:] {
			n.log.append(added)
			n.adoptMembers(added)
		}
		return
	}
}

func (n *Node) truncateFrom(index uint64) {
	if index <= n.log.committed {
		panic(fmt.Sprintf("truncate log from entry %d: entries up to %d are committed", index, n.log.committed))
	}
	n.dropped += int(n.log.last() + 1 - index)
	n.log.truncateFrom(index)
	for len(n.pendingChanges) > 0 && n.pendingChanges[len(n.pendingChanges)-1].index >= index {
		n.members = n.pendingChanges[len(n.pendingChanges)-1].previous
		n.pendingChanges = n.pendingChanges[:len(n.pendingChanges)-1]
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
	for len(n.pendingChanges) > 0 && n.pendingChanges[0].index <= index {
		n.pendingChanges = n.pendingChanges[1:]
	}
}

// acknowledge records the reply of a member to an append or a chunk.
func (p *progress) acknowledge(m *messages.Message) {
	if round := int(m.GetRound()); round >= p.ackedTick {
		p.ackedTick, p.silentSince, p.leaving = round, round, m.GetLeaving()
	}
}

func (n *Node) handleAppendReply(m *messages.Message) {
	p := n.peers[m.GetFrom()]
	if n.role != Leader || p == nil {
		return
	}
	p.acknowledge(m)
	p.paused = false
	if m.GetRefused() {
		// Ignore a stale refusal of entries that were acknowledged since.
		if m.GetHint() >= p.match && m.GetHint() < n.log.last() {
			p.next = m.GetHint() + 1
			p.probing = true
		}
		return
	}
	p.probing = false
	p.sendingSnapshot = false
	p.match = max(p.match, m.GetIndex())
	p.next = max(p.next, p.match+1)
	n.advanceCommit()
	n.tryTransfer()
	n.handOverIfLeaving()
}

// advanceCommit commits the entries that a quorum has synced. Entries of earlier terms are committed only
// together with an entry of the current term.
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
	if !n.isVoter(n.opts.Name) && len(n.pendingChanges) == 0 {
		// This leader's removal from the voters is committed.
		n.becomeFollower(n.term, "")
	}
}

// incomingSnapshot assembles the chunks of a snapshot.
type incomingSnapshot struct {
	index, term uint64
	data        []byte
}

// Continues reports whether a message of a leader can change nothing that is committed here: an append is accepted only if
// its predecessor is in the log, and a snapshot replaces the log.
func (n *Node) Continues(m *messages.Message) bool {
	if m.GetTerm() < n.term {
		return false
	}
	switch m.GetKind() {
	case messages.Kind_KIND_APPEND:
		return m.GetIndex() >= n.log.committed
	case messages.Kind_KIND_SNAPSHOT:
		return n.log.last() == 0
	default:
		return false
	}
}

// sendChunk sends the next chunk of the latest snapshot to a member that lacks compacted entries.
func (n *Node) sendChunk(name string, p *progress) {
	if n.snapshot == nil {
		return
	}
	if !p.sendingSnapshot || p.snapshotIndex != n.snapshot.Index {
		p.sendingSnapshot, p.snapshotIndex, p.snapshotOffset = true, n.snapshot.Index, 0
	}
	data := n.snapshot.Data
	end := min(p.snapshotOffset+uint64(n.opts.ChunkSize), uint64(len(data)))
	n.sendImmediate(&messages.Message{
		Kind: messages.Kind_KIND_SNAPSHOT, To: name, Round: uint64(n.tick),
		Chunk: &messages.Chunk{
			Index: n.snapshot.Index, Term: n.snapshot.Term, Members: n.snapshot.Members,
			Offset: p.snapshotOffset, Total: uint64(len(data)), Data: data[p.snapshotOffset:end],
			Checksum: crc32.Checksum(data, castagnoli),
		},
	})
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// handleChunk receives a chunk of a snapshot and installs the snapshot once it is complete.
func (n *Node) handleChunk(m *messages.Message) {
	c := m.GetChunk()
	reply := &messages.Message{Kind: messages.Kind_KIND_SNAPSHOT_REPLY, To: m.GetFrom(), Round: m.GetRound(), Index: c.GetIndex(), Leaving: n.leaving}
	// A log that holds the last entry of the snapshot holds all entries before it. Those after it may have been
	// acknowledged, and must be kept.
	if term, ok := n.log.term(c.GetIndex()); ok && term == c.GetTerm() {
		n.commitTo(c.GetIndex())
	}
	if c.GetIndex() <= n.log.committed {
		n.incoming = nil
		reply.Kind = messages.Kind_KIND_APPEND_REPLY
		reply.Index = n.log.committed
		n.sendAfterSync(reply)
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
		n.sendAfterSync(reply)
		return
	}
	n.incoming = nil
	if crc32.Checksum(in.data, castagnoli) != c.GetChecksum() {
		n.sendAfterSync(reply)
		return
	}
	n.install(&Snapshot{Index: c.GetIndex(), Term: c.GetTerm(), Members: c.GetMembers(), Data: in.data})
	reply.Kind = messages.Kind_KIND_APPEND_REPLY
	n.sendAfterSync(reply)
}

func (n *Node) install(s *Snapshot) {
	n.snapshot = s
	if last := n.log.last(); last > s.Index {
		n.dropped += int(last - s.Index)
	}
	n.log.reset(s.Index, s.Term)
	n.members = s.Members
	n.pendingChanges = nil
	n.truncate = 0
	n.out.Install = s
	n.out.Committed = nil
}

func (n *Node) handleChunkReply(m *messages.Message) {
	p := n.peers[m.GetFrom()]
	if n.role != Leader || p == nil {
		return
	}
	p.acknowledge(m)
	if !p.sendingSnapshot || m.GetIndex() != p.snapshotIndex {
		return
	}
	p.snapshotOffset = min(m.GetHint(), uint64(len(n.snapshot.Data)))
	n.sendChunk(m.GetFrom(), p)
}
