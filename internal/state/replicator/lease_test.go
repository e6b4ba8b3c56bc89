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

func without(names []string, name string) []string {
	var rest []string
	for _, n := range names {
		if n != name {
			rest = append(rest, n)
		}
	}
	return rest
}
