package replicator

import (
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// wipedCluster is a cluster whose nodes lose disks, and whose leader repairs the membership as runner does.
type wipedCluster struct {
	*cluster
	tolerance int // disks that may be lost at once
	starts    int
	lost      int // disks since the membership was last whole
}

func newWipedCluster(t *rapid.T) *wipedCluster {
	w := &wipedCluster{tolerance: rapid.IntRange(1, 2).Draw(t, "tolerance")}
	w.cluster = newCluster(t, 3, 0)
	for i := range 2 * w.tolerance {
		name := fmt.Sprintf("standby%d", i)
		w.names = append(w.names, name)
		w.disks[name], w.initial[name] = &disk{}, &messages.Members{}
		w.start(name, uint64(100+i))
	}
	for _, name := range w.names {
		w.identities[name] = "first-" + name
	}
	return w
}

// wipe replaces the disk of a node, if that is tolerated.
func (w *wipedCluster) wipe(name string) {
	if w.isWhole() {
		w.lost = 0
	}
	if w.lost == w.tolerance || w.lost == 0 && !w.isWhole() {
		return
	}
	w.lost++
	w.disks[name], w.initial[name] = &disk{}, &messages.Members{}
	w.identities[name] = fmt.Sprint("new ", w.starts)
	w.restart(name)
}

// restart starts a node with another seed than any other: nodes with equal seeds would campaign at the same ticks for ever.
func (w *wipedCluster) restart(name string) {
	w.starts++
	w.start(name, uint64(1000+w.starts))
}

// strike replaces disks, if that is tolerated, while all other nodes lose power and with it the writes that aren't synced.
func (w *wipedCluster) strike() {
	wiped := map[string]bool{}
	for range rapid.IntRange(0, w.tolerance).Draw(w.t, "disks") {
		name := w.drawNode()
		if !wiped[name] {
			w.wipe(name)
		}
		wiped[name] = true
	}
	for _, name := range w.names {
		if !wiped[name] {
			w.restart(name)
		}
	}
}

// isWhole reports whether a leader with a lease has committed a membership with all voters, none of which has lost its
// disk.
func (w *wipedCluster) isWhole() bool {
	for _, name := range w.names {
		n := w.nodes[name]
		if n.HasLease() && len(n.pendingChanges) == 0 {
			// A voter more than wanted costs no tolerance.
			return len(n.members.GetVoters()) >= 2*w.tolerance+1 &&
				!slices.ContainsFunc(n.members.GetVoters(), w.isReplaced)
		}
	}
	return false
}

func (w *wipedCluster) isReplaced(m *messages.Member) bool {
	if m.GetIdentity() == "" {
		return w.identities[m.GetName()] != "first-"+m.GetName()
	}
	return w.identities[m.GetName()] != m.GetIdentity()
}

// repair makes the next membership change of each leader.
func (w *wipedCluster) repair() {
	for _, name := range w.names {
		n := w.nodes[name]
		if !n.HasLease() {
			continue
		}
		next := proto.Clone(n.members).(*messages.Members)
		w.plan(n, next)
		if !proto.Equal(next, n.members) {
			_, _ = n.ProposeMembers(next, EncodeMembers) // refused while another change is pending
			w.processOutputs(name, goOn)
		}
	}
}

// plan changes a membership as the leader sees the other nodes.
func (w *wipedCluster) plan(n *Node, m *messages.Members) {
	seen := func(name string) bool { return name == n.opts.Name || !w.blocked[link{name, n.opts.Name}] }
	replaced := func(m *messages.Member) bool {
		return seen(m.GetName()) && w.isReplaced(m)
	}
	for _, v := range m.GetVoters() {
		if v.GetIdentity() == "" && seen(v.GetName()) && !w.isReplaced(v) {
			v.Identity = w.identities[v.GetName()]
		}
	}
	var added []*messages.Member
	for _, name := range w.names {
		if FindMember(m, name) == nil && seen(name) && !w.nodes[name].leaving {
			added = append(added, &messages.Member{Name: name, Identity: w.identities[name]})
		}
	}
	m.Learners = append(slices.DeleteFunc(m.GetLearners(), replaced), added...)
	voter := slices.IndexFunc(m.GetVoters(), replaced)
	lost := voter >= 0
	if !lost {
		voter = slices.IndexFunc(m.GetVoters(), func(v *messages.Member) bool { p := n.peers[v.GetName()]; return p != nil && p.leaving })
	}
	if voter >= 0 && len(m.GetVoters()) > 2*w.tolerance+1 {
		m.Voters = slices.Delete(m.Voters, voter, voter+1)
		return
	}
	learner := slices.IndexFunc(m.GetLearners(), func(l *messages.Member) bool { return slices.Contains(n.CaughtUp(), l.GetName()) })
	if learner >= 0 && (voter >= 0 || len(m.GetVoters()) < 2*w.tolerance+1) {
		m.Voters = append(m.Voters, m.Learners[learner])
		m.Learners = slices.Delete(m.Learners, learner, learner+1)
		return
	}
	if lost && len(m.GetVoters()) >= 2*w.tolerance+1 {
		m.Voters = slices.Delete(m.Voters, voter, voter+1)
	}
}

// retire replaces the machine of a node that leaves by one with an empty disk, once a leader has committed a membership
// without it. That disk counts as no loss.
func (w *wipedCluster) retire(name string) {
	for _, other := range w.names {
		n := w.nodes[other]
		if w.nodes[name].leaving && n.HasLease() && len(n.pendingChanges) == 0 && findMember(n.members.GetVoters(), name) == nil {
			w.disks[name], w.initial[name] = &disk{}, &messages.Members{}
			w.identities[name] = fmt.Sprint("new ", w.starts)
			w.restart(name)
			return
		}
	}
}

// settle removes all partitions, and starts the nodes again that leave. The cluster must become whole again, with all that was acknowledged.
func (w *wipedCluster) settle() {
	clear(w.blocked)
	for _, name := range w.names {
		w.finishWrite(name)
		if w.nodes[name].leaving {
			w.restart(name)
		}
	}
	for range 600 {
		w.tick()
		w.deliverAll()
		w.repair()
		w.propose()
		w.recordAcked()
		w.check()
		if w.isWhole() {
			return
		}
	}
	w.t.Fatalf("the membership is not whole after all partitions were removed: %v", w.nodes[w.names[0]].members)
}

// TestWipedDisks draws lost disks, as many at once as are tolerated, beside planned replacements, partitions, restarts, slow writes, losses of power of
// all other nodes, lost messages and the changes of the membership that follow. What was acknowledged must stay, and the group
// must find back to all its voters.
func TestWipedDisks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWipedCluster(t)
		// act is an action on the cluster that draws from the current step.
		act := func(run func()) func(*rapid.T) {
			return func(t *rapid.T) {
				w.t = t
				run()
			}
		}
		deliver := act(func() {
			for range rapid.IntRange(1, 30).Draw(w.t, "messages") {
				if len(w.network) == 0 {
					return
				}
				i := rapid.IntRange(0, min(len(w.network)-1, 5)).Draw(w.t, "which")
				to := w.network[i].GetTo()
				w.deliver(i, rapid.IntRange(0, 19).Draw(w.t, "double") == 0)
				w.processOutputs(to, rapid.SampledFrom([]end{goOn, goOn, goOn, slow}).Draw(w.t, "write"))
			}
		})
		calm := act(func() {
			for range 10 {
				w.tick()
				w.deliverAll()
			}
			w.repair()
		})
		t.Repeat(map[string]func(*rapid.T){
			"":        act(func() { w.recordAcked(); w.check() }),
			"tick":    act(w.tick),
			"deliver": deliver,
			"inorder": act(w.deliverAll),
			"calm":    calm,
			"calm2":   calm,
			"propose": act(w.propose),
			"repair":  act(w.repair),
			"lose":    act(func() { w.network = nil }),
			"isolate": act(func() {
				name := w.drawNode()
				for _, other := range w.names {
					w.blockLink(name, other)
				}
			}),
			"heal":    act(func() { clear(w.blocked) }),
			"restart": act(func() { w.restart(w.drawNode()) }),
			"restartall": act(func() {
				for _, name := range w.names {
					w.restart(name)
				}
			}),
			"snapshot": act(func() { w.snapshot(w.drawNode()) }),
			"transfer": act(func() {
				name := w.drawNode()
				w.nodes[name].Transfer()
				w.processOutputs(name, goOn)
			}),
			"leave": act(func() {
				name := w.drawNode()
				w.nodes[name].Leave()
				w.processOutputs(name, goOn)
			}),
			"retire": act(func() {
				for _, name := range w.names {
					w.retire(name)
				}
			}),
			"wipe":   act(func() { w.wipe(w.drawNode()) }),
			"wipe2":  act(func() { w.wipe(w.drawNode()) }),
			"strike": act(w.strike),
			"slow": act(func() {
				for _, name := range w.names {
					if rapid.Bool().Draw(w.t, "slow") {
						w.nodes[name].Propose(messages.EntryKind_ENTRY_EVENT, []byte("stored late"))
						w.processOutputs(name, slow)
					}
				}
			}),
			"finish": act(func() { w.finishWrite(w.drawNode()) }),
		})
		w.t = t
		w.settle()
	})
}
