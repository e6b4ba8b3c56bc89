package replicator

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// leave tells a node that its daemon stops.
func (c *cluster) leave(name string) {
	c.nodes[name].Leave()
	c.processOutputs(name, goOn)
}

// run advances the cluster by some ticks, with proposals on the way.
func (c *cluster) run(ticks int) {
	for range ticks {
		c.tick()
		c.propose()
		c.deliverAll()
	}
}

// holder returns the node that holds the lease, "" if none does.
func (c *cluster) holder() string {
	for _, name := range c.names {
		if c.nodes[name].HasLease() {
			return name
		}
	}
	return ""
}

// newLedCluster returns a cluster in which a node holds the lease.
func newLedCluster(t *rapid.T, voters int) (c *cluster, leader string) {
	c = newCluster(t, voters, 0)
	c.converge()
	c.run(2 * testElectionTicks)
	if leader = c.holder(); leader == "" {
		t.Skip("no leader holds a lease after the warm-up")
	}
	return c, leader
}

// TestLeavingVotersPassLeadOn guards against a leader that leaves and hands over to a voter that leaves too, which then
// kept the lead to its end.
func TestLeavingVotersPassLeadOn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, first := newLedCluster(t, 5)
		if rapid.Bool().Draw(t, "follower first") {
			first = rapid.SampledFrom(without(c.names, first)).Draw(t, "first")
		}
		c.leave(first)
		c.run(rapid.IntRange(0, 3*testElectionTicks).Draw(t, "between"))
		second := c.holder()
		if second == "" || second == first {
			second = rapid.SampledFrom(without(c.names, first)).Draw(t, "second")
		}
		c.leave(second)
		for tick := range 6 * testElectionTicks {
			c.run(1)
			for _, name := range []string{first, second} {
				// The first replies in a term tell its leader who leaves.
				if n := c.nodes[name]; n.Role() == Leader && tick > 1 {
					t.Fatalf("%s leads %d ticks after it left", name, tick)
				}
			}
		}
		if c.holder() == "" {
			t.Fatal("no node holds the lease")
		}
	})
}

// TestLeavingVotersKeepLead guards against voters that all leave and hand the lead over to each other in turn.
func TestLeavingVotersKeepLead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, leader := newLedCluster(t, rapid.SampledFrom([]int{3, 5}).Draw(t, "voters"))
		for _, name := range without(c.names, leader) {
			c.leave(name)
		}
		c.run(2)
		c.leave(leader)
		term := c.nodes[leader].Term()
		for range 6 * testElectionTicks {
			c.run(1)
			if !c.nodes[leader].HasLease() || c.nodes[leader].Term() != term {
				t.Fatalf("%s, which nobody can succeed, lost the lead of term %d", leader, term)
			}
		}
	})
}

// TestLeavingVoterWithLongestLogLeads guards against a group without a leader: of three voters the leader has failed, and
// only the one that leaves has all committed entries.
func TestLeavingVoterWithLongestLogLeads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, leader := newLedCluster(t, 3)
		others := without(c.names, leader)
		c.blockLink(leader, others[1])
		c.propose()
		c.deliverAll()
		c.leave(others[0])
		for _, name := range others {
			c.blockLink(leader, name)
		}
		for range 12 * testElectionTicks {
			c.run(1)
			if c.holder() == others[0] || c.holder() == others[1] {
				return
			}
		}
		t.Fatal("no voter leads")
	})
}

// TestLeavingVoterCampaignsLast guards against a voter that leaves and is elected though others could lead.
func TestLeavingVoterCampaignsLast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, leader := newLedCluster(t, 5)
		others := without(c.names, leader)
		leaving := rapid.SampledFrom(others).Draw(t, "leaving")
		c.leave(leaving)
		c.run(2)
		term := c.nodes[leader].Term()
		for _, name := range others {
			c.blockLink(leader, name)
		}
		for range 8 * testElectionTicks {
			c.tick()
			c.deliverAll()
			for elected, name := range c.leaders {
				if elected > term && name == leaving {
					t.Fatalf("%s leaves and was elected", leaving)
				}
			}
			if slices.Contains(without(others, leaving), c.holder()) {
				return
			}
		}
		t.Fatal("no voter leads")
	})
}

// TestRestartedVoterLeavesNoMore guards against a voter that is never chosen again after a stop.
func TestRestartedVoterLeavesNoMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, leader := newLedCluster(t, 3)
		others := without(c.names, leader)
		for _, name := range others {
			c.leave(name)
		}
		c.run(2)
		c.start(others[0], rapid.Uint64().Draw(t, "seed"))
		c.run(2 * testElectionTicks)
		c.leave(leader)
		c.run(2)
		if !c.nodes[others[0]].HasLease() {
			t.Fatalf("the lead of %s was not handed over to %s", leader, others[0])
		}
	})
}

// TestLeavingVoterOfOldBuild guards against a voter that keeps the lead when it gets it from a leader whose build does not
// know that voters leave.
func TestLeavingVoterOfOldBuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, leader := newLedCluster(t, 5)
		leaving := rapid.SampledFrom(without(c.names, leader)).Draw(t, "leaving")
		c.leave(leaving)
		c.run(2)
		// A leader of an old build does not read the field of the replies.
		c.nodes[leader].peers[leaving].leaving = false
		c.nodes[leader].transferTo(leaving)
		c.processOutputs(leader, goOn)
		c.deliverAll()
		if holder := c.holder(); holder == "" || holder == leaving {
			t.Fatalf("%q holds the lease", holder)
		}
	})
}

// TestTransferPrefersSoundVoters checks the choice of a successor.
func TestTransferPrefersSoundVoters(t *testing.T) {
	names := []string{"a", "b", "c"}
	for _, test := range []struct {
		peers    [3]progress
		transfer string // "" for none
		resign   string
	}{
		{[3]progress{{match: 9}, {match: 8}, {match: 9}}, "a", "a"},
		{[3]progress{{match: 9, leaving: true}, {match: 8}, {match: 7}}, "b", "b"},
		{[3]progress{{match: 9}, {match: 9, ackedTick: 2}, {match: 9, ackedTick: 1}}, "b", "b"},
		{[3]progress{{match: 9, leaving: true}, {match: 9, ackedTick: -100}, {match: 8, leaving: true}}, "", "a"},
	} {
		t.Run(fmt.Sprint(test.peers), func(t *testing.T) {
			members := &messages.Members{Voters: []*messages.Member{{Name: "self"}}}
			for _, name := range names {
				members.Voters = append(members.Voters, &messages.Member{Name: name})
			}
			n := New(Options{Name: "self", ElectionTicks: testElectionTicks}, InitialState{Members: members})
			n.campaign(Candidate, false)
			n.becomeLeader()
			for i, name := range names {
				n.peers[name] = &test.peers[i]
			}
			n.Transfer()
			if n.Transferee() != test.transfer {
				t.Errorf("transfer to %q, want %q", n.Transferee(), test.transfer)
			}
			if list := n.Resign(); len(list) != 1 || list[0].GetTo() != test.resign {
				t.Errorf("resigns for %v, want %s", list, test.resign)
			}
		})
	}
}
