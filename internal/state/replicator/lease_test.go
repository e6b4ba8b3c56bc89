package replicator

import (
	"testing"

	"pgregory.net/rapid"
)

// TestRestartedVoterKeepsLease cuts one node off from the leader only and restarts the third one
// again and again: it has forgotten when it heard the leader, and must not help the cut-off node
// to be elected while the leader still holds its lease.
func TestRestartedVoterKeepsLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 3, 0)
		c.converge()
		for range 2 * testElection {
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
			t.Skip("the last step ended without a lease")
		}
		i := rapid.IntRange(0, 1).Draw(t, "which")
		others := without(c.names, leader)
		away, between := others[i], others[1-i]
		c.cutLink(leader, away)
		for round := range 60 {
			c.tick()
			c.deliverAll()
			if round%3 == 0 {
				c.start(between, rapid.Uint64().Draw(t, "seed"))
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
