package replicator

import (
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

const (
	testElection  = 6
	maxDeliveries = 500
)

// link is the way from one node to another.
type link struct{ from, to string }

// replicaDisk is what one node has synced.
type replicaDisk struct {
	hard     *messages.HardState
	snapshot *Snapshot
	entries  []*messages.Entry
}

// cluster runs nodes under a schedule that a test draws.
type cluster struct {
	t       *rapid.T
	names   []string
	nodes   map[string]*Node
	disks   map[string]*replicaDisk
	applied map[string][]*messages.Entry // by node, from its start or snapshot
	base    map[string]uint64            // index of the snapshot under applied
	members *messages.Members
	network []*messages.Message
	leaders map[uint64]string          // term to its leader
	chosen  map[uint64]*messages.Entry // committed entries by index
	acked   []uint64                   // indexes whose proposals were confirmed
	cut     map[link]bool
	value   int
}

func newCluster(t *rapid.T, voters, learners int) *cluster {
	c := &cluster{
		t: t, nodes: map[string]*Node{}, disks: map[string]*replicaDisk{}, applied: map[string][]*messages.Entry{},
		base: map[string]uint64{}, members: &messages.Members{}, leaders: map[uint64]string{},
		chosen: map[uint64]*messages.Entry{}, cut: map[link]bool{},
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
		c.disks[name] = &replicaDisk{}
		c.start(name, uint64(i))
	}
	return c
}

func (c *cluster) start(name string, seed uint64) {
	d := c.disks[name]
	c.nodes[name] = New(Options{
		Name: name, ElectionTicks: testElection, HeartbeatTicks: 2, DriftTicks: 1, MaxBatch: 64, ChunkSize: 8, Seed: seed,
	}, Initial{Hard: d.hard, Snapshot: d.snapshot, Members: c.members, Entries: slices.Clone(d.entries)})
	c.applied[name] = nil
	c.base[name] = 0
	if d.snapshot != nil {
		c.base[name] = d.snapshot.Index
	}
}

// settle carries out all that a node asks for. When crash is set the node dies before the sync
// and loses what it had not synced.
func (c *cluster) settle(name string, crash bool) {
	n := c.nodes[name]
	for {
		out := n.Take()
		if out.Empty() {
			return
		}
		c.send(out.Early)
		if crash {
			c.start(name, uint64(len(c.network)))
			return
		}
		c.sync(name, &out)
		c.send(out.Late)
		for _, e := range out.Committed {
			c.apply(name, e)
		}
	}
}

func (c *cluster) sync(name string, out *Output) {
	d := c.disks[name]
	if out.Install != nil {
		d.snapshot, d.entries = out.Install, nil
		c.base[name], c.applied[name] = out.Install.Index, nil
	}
	if out.Hard != nil {
		d.hard = proto.Clone(out.Hard).(*messages.HardState)
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
			c.t.Fatalf("disk of %s holds entry %d at place of %d", name, e.GetIndex(), first+uint64(i))
		}
	}
	if n := len(out.Entries); n > 0 {
		c.nodes[name].Synced(out.Entries[n-1].GetIndex())
	}
}

func (c *cluster) send(list []*messages.Message) {
	for _, m := range list {
		c.network = append(c.network, proto.Clone(m).(*messages.Message))
	}
}

// apply checks that a committed entry is the one that all others have at its index.
func (c *cluster) apply(name string, e *messages.Entry) {
	want := c.base[name] + uint64(len(c.applied[name])) + 1
	if e.GetIndex() != want {
		c.t.Fatalf("%s applies entry %d, want %d", name, e.GetIndex(), want)
	}
	c.applied[name] = append(c.applied[name], e)
	if known := c.chosen[e.GetIndex()]; known != nil && !proto.Equal(known, e) {
		c.t.Fatalf("%s commits %v at index %d, another node %v", name, e, e.GetIndex(), known)
	}
	c.chosen[e.GetIndex()] = e
}

// check compares what the nodes say of themselves.
func (c *cluster) check() {
	leases := 0
	for _, name := range c.names {
		n := c.nodes[name]
		if n.Role() == Leader {
			if other := c.leaders[n.Term()]; other != "" && other != name {
				c.t.Fatalf("%s and %s lead in term %d", other, name, n.Term())
			}
			c.leaders[n.Term()] = name
		}
		if n.HasLease() {
			leases++
			for _, index := range c.acked {
				if index > n.Committed() {
					c.t.Fatalf("%s holds the lease of term %d and lacks confirmed entry %d", name, n.Term(), index)
				}
			}
		}
	}
	if leases > 1 {
		c.t.Fatalf("%d nodes hold a lease at one time", leases)
	}
}

// tick lets time pass alike for all nodes; drift between them is the subject of the lease bound.
func (c *cluster) tick() {
	for _, name := range c.names {
		c.nodes[name].Tick()
		c.settle(name, false)
	}
}

func (c *cluster) deliver(i int, keep bool) {
	m := c.network[i]
	if !keep {
		c.network = slices.Delete(c.network, i, i+1)
	}
	if c.cut[link{m.GetFrom(), m.GetTo()}] {
		return
	}
	c.nodes[m.GetTo()].Step(proto.Clone(m).(*messages.Message))
}

// deliverAll delivers what is under way and what follows from it, in order, as a network does
// that is much faster than a tick. It checks after each message.
func (c *cluster) deliverAll() {
	for n := 0; len(c.network) > 0 && n < maxDeliveries; n++ {
		to := c.network[0].GetTo()
		c.deliver(0, false)
		c.settle(to, false)
		c.check()
	}
}

func (c *cluster) draw() string { return rapid.SampledFrom(c.names).Draw(c.t, "node") }

// cutLink cuts two nodes from each other, in both directions.
func (c *cluster) cutLink(a, b string) {
	c.cut[link{a, b}] = true
	c.cut[link{b, a}] = true
}

func (c *cluster) propose() {
	for _, name := range c.names {
		n := c.nodes[name]
		if n.Role() != Leader {
			continue
		}
		c.value++
		index, ok := n.Propose(messages.EntryKind_ENTRY_EVENT, fmt.Appendf(nil, "v%d", c.value))
		if !ok {
			continue
		}
		c.settle(name, false)
		if n.Committed() >= index && n.Role() == Leader {
			c.acked = append(c.acked, index)
		}
	}
}

// noteAcked confirms what a leader has committed of its own.
func (c *cluster) noteAcked() {
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
	index := c.base[name] + uint64(len(c.applied[name]))
	if index == n.log.offset {
		return
	}
	s := &Snapshot{Index: index, Term: n.TermAt(index), Members: c.members, Data: fmt.Appendf(nil, "state up to %d", index)}
	_, rest := n.Stored(index)
	c.disks[name].snapshot, c.disks[name].entries = s, slices.Clone(rest)
	n.Compact(s)
	c.base[name], c.applied[name] = index, nil
}

// TestSchedules draws loss, doubling, reordering, cuts, crashes that lose unsynced writes,
// restarts, snapshots and handovers, and checks safety after each step.
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
				c.settle(to, rapid.IntRange(0, 39).Draw(t, "crash") == 0)
			}
		}
		inOrder := func(t *rapid.T) {
			c.t = t
			c.deliverAll()
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				c.t = t
				c.noteAcked()
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
			"cut":      func(t *rapid.T) { c.t = t; c.cutLink(c.draw(), c.draw()) },
			"isolate": func(t *rapid.T) {
				c.t = t
				name := c.draw()
				for _, other := range c.names {
					c.cutLink(name, other)
				}
			},
			"heal":     func(*rapid.T) { clear(c.cut) },
			"restart":  func(t *rapid.T) { c.t = t; c.start(c.draw(), rapid.Uint64().Draw(t, "seed")) },
			"snapshot": func(t *rapid.T) { c.t = t; c.snapshot(c.draw()) },
			"transfer": func(t *rapid.T) { c.t = t; name := c.draw(); c.nodes[name].Transfer(); c.settle(name, false) },
		})
		c.t = t
		c.converge()
	})
}

// converge heals everything; the nodes must then elect a leader and commit what is proposed.
func (c *cluster) converge() {
	clear(c.cut)
	before := len(c.chosen)
	for range 400 {
		c.tick()
		c.deliverAll()
		c.propose()
		c.noteAcked()
		c.check()
		if len(c.chosen) >= before+3 && c.allApplied() {
			return
		}
	}
	c.t.Fatalf("no progress after everything was healed: %d entries committed, %d before", len(c.chosen), before)
}

func (c *cluster) allApplied() bool {
	for _, name := range c.names {
		if c.base[name]+uint64(len(c.applied[name])) < c.acked[0]-1 {
			return false
		}
	}
	return true
}
