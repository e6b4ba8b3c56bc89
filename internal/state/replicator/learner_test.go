package replicator

import (
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestLearnerWithLongestLogCampaigns replays what spec/members.pml found: a leader is cut off with the uncommitted promotion of
// a learner, the next one reaches only that learner with its first entry and then loses its disk. The learner refuses its vote to
// the two voters that are left, as its log is longer, and they were without a leader for good.
func TestLearnerWithLongestLogCampaigns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 3, 1)
		c.converge()
		first := leaseHolder(c)
		if first == "" {
			t.Skip("no leader holds a lease after the warm-up")
		}
		for _, name := range without(c.names, first) {
			c.blockLink(first, name)
		}
		n := c.nodes[first]
		next := proto.Clone(n.Members()).(*messages.Members)
		next.Voters, next.Learners = append(next.Voters, next.Learners[0]), nil
		if _, err := n.ProposeMembers(next, EncodeMembers); err != nil {
			t.Skip(err)
		}
		c.processOutputs(first, goOn)
		second := reachOnlyLearner(c, first)
		if second == "" {
			t.Skip("no second leader")
		}
		clear(c.blocked)
		for _, name := range without(c.names, second) {
			c.blockLink(second, name) // its disk is lost
		}
		for range 40 * testElectionTicks {
			c.tick()
			c.deliverAll()
			if leader := leaseHolder(c); leader != "" && leader != second && c.nodes[leader].isVoter(leader) {
				return
			}
		}
		t.Fatalf("no leader without %s", second)
	})
}

// reachOnlyLearner runs the cluster until a leader other than the first one is elected, whose first entry reaches only the
// learner n3, and returns its name.
func reachOnlyLearner(c *cluster, first string) string {
	for range 10 * testElectionTicks {
		c.tick()
		for n := 0; len(c.network) > 0 && n < maxDeliveries; n++ {
			to := c.network[0].GetTo()
			c.deliver(0, false)
			c.processOutputs(to, goOn)
			i := slices.IndexFunc(c.names, func(name string) bool { return name != first && c.nodes[name].Role() == Leader })
			if i < 0 {
				continue
			}
			c.blockLink(c.names[i], without(without(c.names[:3], first), c.names[i])[0])
			for range testElectionTicks / 2 {
				c.tick()
				c.deliverAll()
			}
			return c.names[i]
		}
	}
	return ""
}
