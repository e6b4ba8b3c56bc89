package replicator

import (
	"testing"

	"pgregory.net/rapid"
)

// TestRestartedVoterKeepsLease breaks the link between the leader and one follower and restarts the other one
// repeatedly. A restarted node does not remember its last contact with the leader, but must not vote for the
// disconnected node while the leader may hold its lease.
func TestRestartedVoterKeepsLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 3, 0)
		c.converge()
		for range 2 * testElectionTicks {
			c.tick()
			c.deliverAll()
		}
		leader := ""
		for _, name := range c.names {
			if c.nodes[name].HasLease() {
				leader = name
			}
		}
		if leader == "" {
			t.Skip("no leader holds a lease after the warm-up")
		}
		i := rapid.IntRange(0, 1).Draw(t, "which")
		others := without(c.names, leader)
		disconnected, restarted := others[i], others[1-i]
		c.blockLink(leader, disconnected)
		for round := range 60 {
			c.tick()
			c.deliverAll()
			if round%3 == 0 {
				c.start(restarted, rapid.Uint64().Draw(t, "seed"))
			}
		}
	})
}

// TestRestartedLeaderResumes checks that after a restart of all nodes the former leader is elected again without
// the wait that restarted voters owe to an unknown leader's lease.
func TestRestartedLeaderResumes(t *testing.T) {
	for _, voters := range []int{3, 5} {
		rapid.Check(t, func(t *rapid.T) {
			c := newCluster(t, voters, 0)
			c.converge()
			leader := ""
			for _, name := range c.names {
				if c.nodes[name].HasLease() {
					leader = name
				}
			}
			if leader == "" {
				t.Skip("no leader holds a lease after the warm-up")
			}
			delay := rapid.IntRange(0, 3).Draw(t, "delay") // ticks after which the other nodes start
			c.network = nil
			for _, name := range c.names {
				c.start(name, rapid.Uint64().Draw(t, "seed"))
				if name != leader {
					c.blockLink(leader, name)
				}
			}
			for tick := range testElectionTicks {
				if tick == delay {
					clear(c.blocked)
				}
				c.tick()
				c.deliverAll()
			}
			if !c.nodes[leader].HasLease() {
				t.Fatalf("%s does not lead again after %d ticks", leader, testElectionTicks)
			}
		})
	}
}

// TestFormerLeaderRespectsSuccessor checks that a restarted leader is not elected by a voter that has followed a
// later leader, whose lease may be valid.
func TestFormerLeaderRespectsSuccessor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 3, 0)
		c.converge()
		former := ""
		for _, name := range c.names {
			if c.nodes[name].HasLease() {
				former = name
			}
		}
		if former == "" {
			t.Skip("no leader holds a lease after the warm-up")
		}
		others := without(c.names, former)
		c.blockLink(former, others[0])
		c.blockLink(former, others[1])
		for range 4 * testElectionTicks {
			c.tick()
			c.deliverAll()
		}
		successor := others[0]
		if c.nodes[others[1]].HasLease() {
			successor = others[1]
		}
		if !c.nodes[successor].HasLease() {
			t.Skip("no successor was elected")
		}
		// The former leader gets the successor's entries and then reaches only the other voter.
		clear(c.blocked)
		for range testElectionTicks {
			c.tick()
			c.deliverAll()
		}
		c.blockLink(former, successor)
		c.start(former, rapid.Uint64().Draw(t, "seed"))
		for range 4 * testElectionTicks {
			c.tick()
			c.deliverAll()
			if !c.nodes[successor].HasLease() {
				t.Fatalf("%s lost the leadership to a former leader", successor)
			}
		}
	})
}

func without(names []string, name string) []string {
	var rest []string
	for _, n := range names {
		if n != name {
			rest = append(rest, n)
		}
	}
	return rest
}
