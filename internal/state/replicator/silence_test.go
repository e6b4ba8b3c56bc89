package replicator

import (
	"testing"

	"pgregory.net/rapid"
)

// TestSilenceOfFormerLeader cuts a leader off. The next leader must count its silence from its last message on: counted from
// the start of the term, the time of the election came on top of the time until a lost leader was replaced. A former leader
// that answers must count as heard.
func TestSilenceOfFormerLeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.SampledFrom([]int{3, 5}).Draw(t, "voters"), 0)
		c.converge()
		former := leaseHolder(c)
		if former == "" {
			t.Skip("no leader holds a lease after the warm-up")
		}
		for _, name := range without(c.names, former) {
			c.blockLink(former, name)
		}
		ticks := 0
		for next := former; next == former || next == ""; next = leaseHolder(c) {
			if ticks++; ticks > 10*testElectionTicks {
				t.Skip("no other leader")
			}
			c.tick()
			c.deliverAll()
		}
		next := leaseHolder(c)
		for _, s := range c.nodes[next].Successors() {
			if s.Name == former && s.Silent < ticks-testElectionTicks/2 {
				t.Fatalf("%s counts as silent for %d ticks, %d after it was cut off", former, s.Silent, ticks)
			}
			if s.Name != former && s.Silent > testElectionTicks {
				t.Fatalf("%s counts as silent for %d ticks, but answers", s.Name, s.Silent)
			}
		}
		clear(c.blocked)
		for range 2 * testElectionTicks {
			c.tick()
			c.deliverAll()
		}
		for _, s := range c.nodes[leaseHolder(c)].Successors() {
			if s.Silent > testElectionTicks {
				t.Fatalf("%s counts as silent for %d ticks after all links were restored", s.Name, s.Silent)
			}
		}
	})
}

func leaseHolder(c *cluster) string {
	for _, name := range c.names {
		if c.nodes[name].HasLease() {
			return name
		}
	}
	return ""
}
