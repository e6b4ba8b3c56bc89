package replicator

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestLaggingVoterFollowsNewFolder cuts a voter off while the folder of a standby is replaced, and the standby takes the place
// of a voter that leaves. Then another disk is lost. The voter that was cut off knew only the former folder of the standby,
// refused its requests for votes, and could not win against its log: two voters of three had their disks and no leader.
func TestLaggingVoterFollowsNewFolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWipedCluster(t)
		if w.tolerance != 1 {
			t.Skip("one standby too many")
		}
		calm := func(n int) {
			for range n {
				for range 10 {
					w.tick()
					w.deliverAll()
				}
				w.repair()
			}
		}
		isolate := func(name string) {
			for _, other := range w.names {
				w.blockLink(name, other)
			}
		}
		calm(4)
		isolate("n0")
		w.disks["standby0"], w.initial["standby0"] = &disk{}, &messages.Members{}
		w.identities["standby0"] = fmt.Sprint("new ", w.starts)
		w.restart("standby0")
		calm(4)
		isolate("standby1")
		w.nodes["n1"].Leave()
		w.processOutputs("n1", goOn)
		calm(5)
		w.wipe("n2")
		w.settle()
	})
}

// TestVoteOfTermStaysWithFolder guards against two folders of one name that lead in the same term.
func TestVoteOfTermStaysWithFolder(t *testing.T) {
	is := is.New(t)
	members := &messages.Members{Voters: []*messages.Member{{Name: "n0"}, {Name: "n1"}, {Name: "n2"}}}
	n := New(Options{Name: "n0", ElectionTicks: testElectionTicks, HeartbeatTicks: 2, Seed: 1}, InitialState{Members: members})
	n.Step(&messages.Message{Kind: messages.Kind_KIND_VOTE, From: "n1", Term: 3})
	is.True(n.HasVotedFor(&messages.Message{Kind: messages.Kind_KIND_VOTE, From: "n1", Term: 3}))
	is.True(!n.HasVotedFor(&messages.Message{Kind: messages.Kind_KIND_VOTE, From: "n2", Term: 3}))
	is.True(!n.HasVotedFor(&messages.Message{Kind: messages.Kind_KIND_VOTE, From: "n1", Term: 4}))
}
