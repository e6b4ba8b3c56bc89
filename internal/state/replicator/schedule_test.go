package replicator

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

const (
	testElectionTicks = 6
	maxDeliveries     = 500
)

// link is the one-way network path between two nodes.
type link struct{ from, to string }

// disk holds the synced state of one node.
type disk struct {
	hard     *messages.HardState
	snapshot *Snapshot
	entries  []*messages.Entry
}

// cluster simulates nodes, their disks and the network between them under a randomly drawn schedule.
type cluster struct {
	t             *rapid.T
	names         []string
	nodes         map[string]*Node
	disks         map[string]*disk
	applied       map[string][]*messages.Entry // by node, since its start or snapshot
	writing       map[string]*Output           // by node, whose disk is slow; its write is not synced yet
	snapshotIndex map[string]uint64            // by node, index of the snapshot that applied follows
	members       *messages.Members
	network       []*messages.Message
	leaders       map[uint64]string          // leader and its disk, by term
	committed     map[uint64]*messages.Entry // committed entry by index
	acked         []uint64                   // indexes acknowledged to proposers
	blocked       map[link]bool
	proposed      int
	initial       map[string]*messages.Members // by node, of an empty disk
	current       map[string]*messages.Members // by node, at the last entry in applied
	identities    map[string]string            // by node, of its disk
	senders       map[*messages.Message]string // identity of the disk of a message's sender
}

func newCluster(t *rapid.T, voters, learners int) *cluster {
	c := &cluster{
		t: t, nodes: map[string]*Node{}, disks: map[string]*disk{}, applied: map[string][]*messages.Entry{}, writing: map[string]*Output{},
		snapshotIndex: map[string]uint64{}, members: &messages.Members{}, leaders: map[uint64]string{},
		committed: map[uint64]*messages.Entry{}, blocked: map[link]bool{}, initial: map[string]*messages.Members{},
		current: map[string]*messages.Members{}, identities: map[string]string{}, senders: map[*messages.Message]string{},
	}
	for i := range voters + learners {
		name := fmt.Sprintf("n%d", i)
		c.names = append(c.names, name)
		if i < voters {
			c.members.Voters = append(c.members.Voters, &messages.Member{Name: name})
		} else {
			c.members.Learners = append(c.members.Learners, &messages.Member{Name: name})
		}
	}
	for i, name := range c.names {
		c.disks[name], c.initial[name] = &disk{}, c.members
		c.start(name, uint64(i))
	}
	return c
}

func (c *cluster) start(name string, seed uint64) {
	d := c.disks[name]
	c.nodes[name] = New(Options{
		Name: name, ElectionTicks: testElectionTicks, HeartbeatTicks: 2, DriftTicks: 1, MaxBatch: 64, ChunkSize: 8, Seed: seed,
	}, InitialState{HardState: d.hard, Snapshot: d.snapshot, Members: c.initial[name], Entries: slices.Clone(d.entries)})
	c.applied[name], c.writing[name] = nil, nil
	c.snapshotIndex[name], c.current[name] = 0, c.initial[name]
	if d.snapshot != nil {
		c.snapshotIndex[name], c.current[name] = d.snapshot.Index, d.snapshot.Members
	}
}

// end is how a node may end within processOutputs.
type end int

const (
	goOn     end = iota
	crash        // before the first sync, which loses the unsynced writes
	diskFull     // the same, but the node resigns before
	slow         // the first write is not synced before finishWrite
)

// processOutputs processes all outputs of a node, unless it ends before or waits for its disk.
func (c *cluster) processOutputs(name string, end end) {
	n := c.nodes[name]
	for {
		if c.writing[name] != nil {
			c.send(n.TakeImmediate())
			return
		}
		out := n.TakeOutput()
		if out.Empty() {
			return
		}
		c.send(out.Immediate)
		if end == diskFull {
			c.send(n.Resign())
			c.check()
		}
		if end == crash || end == diskFull {
			c.start(name, uint64(len(c.network)))
			return
		}
		if out.Install != nil {
			c.install(name, out.Install)
		}
		for _, e := range out.Committed {
			c.apply(name, e)
		}
		c.writing[name] = &out
		if end != slow {
			c.sync(name)
		}
	}
}

// finishWrite ends the write of a node with a slow disk, if there is one.
func (c *cluster) finishWrite(name string) {
	if c.writing[name] != nil {
		c.sync(name)
	}
	c.processOutputs(name, goOn)
}

func (c *cluster) install(name string, s *Snapshot) {
	c.disks[name].snapshot, c.disks[name].entries = s, nil
	c.snapshotIndex[name], c.applied[name], c.current[name] = s.Index, nil, s.Members
}

// sync ends the write of a node.
func (c *cluster) sync(name string) {
	d, out := c.disks[name], c.writing[name]
	c.writing[name] = nil
	if out.HardState != nil {
		d.hard = proto.Clone(out.HardState).(*messages.HardState)
	}
	first := uint64(1)
	if d.snapshot != nil {
		first = d.snapshot.Index + 1
	}
	if out.Truncate > 0 {
		d.entries = d.entries[:min(uint64(len(d.entries)), out.Truncate-first)]
	}
	d.entries = append(slices.Clone(d.entries), out.Entries...)
	for i, e := range d.entries {
		if e.GetIndex() != first+uint64(i) {
			c.t.Fatalf("disk of %s holds entry %d at the position of %d", name, e.GetIndex(), first+uint64(i))
		}
	}
	if n := len(out.Entries); n > 0 {
		c.nodes[name].Synced(out.Entries[n-1])
	}
	c.send(out.AfterSync)
}

func (c *cluster) send(list []*messages.Message) {
	for _, m := range list {
		sent := proto.Clone(m).(*messages.Message)
		c.network = append(c.network, sent)
		c.senders[sent] = c.identities[m.GetFrom()]
	}
}

// apply checks that a committed entry is the same on all nodes.
func (c *cluster) apply(name string, e *messages.Entry) {
	want := c.snapshotIndex[name] + uint64(len(c.applied[name])) + 1
	if e.GetIndex() != want {
		c.t.Fatalf("%s applies entry %d, want %d", name, e.GetIndex(), want)
	}
	c.applied[name] = append(c.applied[name], e)
	if e.GetKind() == messages.EntryKind_ENTRY_MEMBERS {
		m, err := DecodeMembers(e.GetData())
		if err != nil {
			c.t.Fatal(err)
		}
		c.current[name] = m
	}
	if other := c.committed[e.GetIndex()]; other != nil && !proto.Equal(other, e) {
		c.t.Fatalf("%s commits %v at index %d, another node committed %v", name, e, e.GetIndex(), other)
	}
	c.committed[e.GetIndex()] = e
}

// check verifies the safety properties: one leader per term, at most one lease, and no acknowledged entry missing
// on the node that holds the lease.
func (c *cluster) check() {
	leases := 0
	for _, name := range c.names {
		n := c.nodes[name]
		if n.Role() == Leader {
			folder := strings.TrimSpace(name + " " + c.identities[name])
			if other := c.leaders[n.Term()]; other != "" && other != folder {
				c.t.Fatalf("%s and %s are both leader in term %d", other, folder, n.Term())
			}
			c.leaders[n.Term()] = folder
		}
		if n.HasLease() {
			leases++
			for _, index := range c.acked {
				if index > n.Committed() {
					c.t.Fatalf("%s holds the lease in term %d but has not committed acknowledged entry %d", name, n.Term(), index)
				}
			}
		}
	}
	if leases > 1 {
		c.t.Fatalf("%d nodes hold a lease at the same time", leases)
	}
}

// tick advances all nodes by one tick. Clock drift between nodes is not simulated; DriftTicks allows for it.
func (c *cluster) tick() {
	for _, name := range c.names {
		c.nodes[name].Tick()
		c.processOutputs(name, goOn)
	}
}

// deliver delivers message i, and keeps it for another delivery if duplicate is set.
func (c *cluster) deliver(i int, duplicate bool) {
	m := c.network[i]
	if !duplicate {
		c.network = slices.Delete(c.network, i, i+1)
		defer delete(c.senders, m)
	}
	if c.blocked[link{m.GetFrom(), m.GetTo()}] || !c.isAccepted(m) {
		return
	}
	c.nodes[m.GetTo()].Step(proto.Clone(m).(*messages.Message))
}

// isAccepted reports whether the receiver accepts a message from the disk of its sender, as forwarder.Server does.
func (c *cluster) isAccepted(m *messages.Message) bool {
	if m.GetKind() == messages.Kind_KIND_APPEND || m.GetKind() == messages.Kind_KIND_SNAPSHOT {
		return true // only an elected leader sends these
	}
	member := FindMember(c.nodes[m.GetTo()].Members(), m.GetFrom())
	if NamesFolder(m, c.senders[m]) && !c.nodes[m.GetTo()].HasVotedFor(m) {
		return true
	}
	switch {
	case member == nil:
		return true
	case member.GetIdentity() == "":
		return !strings.HasPrefix(c.senders[m], "new")
	default:
		return member.GetIdentity() == c.senders[m]
	}
}

// deliverAll delivers the messages in flight and all that result from them in order, like a network with a delay
// far below one tick. It checks safety after each message.
func (c *cluster) deliverAll() {
	for n := 0; len(c.network) > 0 && n < maxDeliveries; n++ {
		to := c.network[0].GetTo()
		c.deliver(0, false)
		c.processOutputs(to, goOn)
		c.check()
	}
}

func (c *cluster) drawNode() string { return rapid.SampledFrom(c.names).Draw(c.t, "node") }

// blockLink blocks the messages between two nodes in both directions.
func (c *cluster) blockLink(a, b string) {
	c.blocked[link{a, b}] = true
	c.blocked[link{b, a}] = true
}

func (c *cluster) propose() {
	for _, name := range c.names {
		n := c.nodes[name]
		if n.Role() != Leader {
			continue
		}
		c.proposed++
		index, ok := n.Propose(messages.EntryKind_ENTRY_EVENT, fmt.Appendf(nil, "v%d", c.proposed))
		if !ok {
			continue
		}
		c.processOutputs(name, goOn)
		if n.Committed() >= index && n.Role() == Leader {
			c.acked = append(c.acked, index)
		}
	}
}

// recordAcked treats all entries committed by current leaders as acknowledged and keeps only the highest index.
func (c *cluster) recordAcked() {
	for _, name := range c.names {
		if n := c.nodes[name]; n.Role() == Leader {
			c.acked = append(c.acked, n.Committed())
		}
	}
	if len(c.acked) > 0 {
		c.acked = []uint64{slices.Max(c.acked)}
	}
}

func (c *cluster) snapshot(name string) {
	n := c.nodes[name]
	index := c.snapshotIndex[name] + uint64(len(c.applied[name]))
	if index == n.log.offset || c.writing[name] != nil || !n.CanCompact(index) {
		return
	}
	s := &Snapshot{Index: index, Term: n.TermAt(index), Members: c.current[name], Data: fmt.Appendf(nil, "state up to %d", index)}
	_, rest := n.Stored(index)
	c.disks[name].snapshot, c.disks[name].entries = s, slices.Clone(rest)
	n.Compact(s)
	c.snapshotIndex[name], c.applied[name] = index, nil
}

// TestSchedules draws message loss, duplication and reordering, partitions, crashes that lose unsynced writes, full
// disks, slow disks, restarts of one or all nodes, snapshots, leadership transfers and nodes that leave, and checks safety
// after each step.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		voters := rapid.SampledFrom([]int{3, 5}).Draw(t, "voters")
		c := newCluster(t, voters, rapid.IntRange(0, 1).Draw(t, "learners"))
		deliver := func(t *rapid.T) {
			c.t = t
			for range rapid.IntRange(1, 12).Draw(t, "messages") {
				if len(c.network) == 0 {
					return
				}
				i := rapid.IntRange(0, len(c.network)-1).Draw(t, "which")
				to := c.network[i].GetTo()
				c.deliver(i, rapid.IntRange(0, 9).Draw(t, "double") == 0)
				end := goOn
				switch {
				case rapid.IntRange(0, 39).Draw(t, "crash") == 0:
					end = crash
				case rapid.IntRange(0, 39).Draw(t, "full") == 39:
					end = diskFull
				case rapid.IntRange(0, 9).Draw(t, "slow") == 9:
					end = slow
				}
				c.processOutputs(to, end)
			}
		}
		inOrder := func(t *rapid.T) {
			c.t = t
			c.deliverAll()
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				c.t = t
				c.recordAcked()
				c.check()
			},
			"tick":     func(t *rapid.T) { c.t = t; c.tick() },
			"ticks":    func(t *rapid.T) { c.t = t; c.tick(); c.tick(); c.tick() },
			"deliver":  deliver,
			"deliver2": deliver,
			"inorder":  inOrder,
			"inorder2": inOrder,
			"propose":  func(t *rapid.T) { c.t = t; c.propose() },
			"lose":     func(*rapid.T) { c.network = nil },
			"cut":      func(t *rapid.T) { c.t = t; c.blockLink(c.drawNode(), c.drawNode()) },
			"isolate": func(t *rapid.T) {
				c.t = t
				name := c.drawNode()
				for _, other := range c.names {
					c.blockLink(name, other)
				}
			},
			"heal":    func(*rapid.T) { clear(c.blocked) },
			"restart": func(t *rapid.T) { c.t = t; c.start(c.drawNode(), rapid.Uint64().Draw(t, "seed")) },
			"restartall": func(t *rapid.T) {
				c.t = t
				seed := rapid.Uint64().Draw(t, "seed")
				for i, name := range c.names {
					c.start(name, seed+uint64(i)) // nodes with equal seeds would campaign at the same ticks for ever
				}
			},
			"full": func(t *rapid.T) {
				c.t = t
				name := c.drawNode()
				c.nodes[name].Propose(messages.EntryKind_ENTRY_EVENT, []byte("not stored"))
				c.processOutputs(name, diskFull)
			},
			"slow": func(t *rapid.T) {
				c.t = t
				for _, name := range c.names {
					c.nodes[name].Propose(messages.EntryKind_ENTRY_EVENT, []byte("stored late"))
					c.processOutputs(name, slow)
				}
			},
			"finish": func(t *rapid.T) { c.t = t; c.finishWrite(c.drawNode()) },
			"stuck": func(t *rapid.T) {
				c.t = t
				name := c.drawNode()
				if c.writing[name] != nil {
					c.send(c.nodes[name].Resign())
				}
			},
			"snapshot": func(t *rapid.T) { c.t = t; c.snapshot(c.drawNode()) },
			"transfer": func(t *rapid.T) {
				c.t = t
				name := c.drawNode()
				c.nodes[name].Transfer()
				c.processOutputs(name, goOn)
			},
			"leave": func(t *rapid.T) { c.t = t; c.leave(c.drawNode()) },
		})
		c.t = t
		c.converge()
	})
}

// converge removes all partitions. The nodes must then elect a leader and commit new proposals.
func (c *cluster) converge() {
	clear(c.blocked)
	for _, name := range c.names {
		c.finishWrite(name)
	}
	before := len(c.committed)
	for range 400 {
		c.tick()
		c.deliverAll()
		c.propose()
		c.recordAcked()
		c.check()
		if len(c.committed) >= before+3 && c.allApplied() {
			return
		}
	}
	c.t.Fatalf("no progress after all partitions were removed: %d entries committed, %d before", len(c.committed), before)
}

func (c *cluster) allApplied() bool {
	for _, name := range c.names {
		if c.snapshotIndex[name]+uint64(len(c.applied[name])) < c.acked[0]-1 {
			return false
		}
	}
	return true
}
