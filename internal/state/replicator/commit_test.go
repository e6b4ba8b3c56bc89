package replicator

import (
	"testing"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestOldTermIsNotCommittedAlone has a quorum acknowledge an entry of an earlier term to a new leader. Another
// leader may still overwrite it, so it may be committed only together with an entry of the current term.
func TestOldTermIsNotCommittedAlone(t *testing.T) {
	is := is.New(t)
	members := &messages.Members{Voters: []*messages.Member{{Name: "n0"}, {Name: "n1"}, {Name: "n2"}}}
	n := New(Options{Name: "n0", ElectionTicks: testElectionTicks, HeartbeatTicks: 2, DriftTicks: 1, MaxBatch: 64, ChunkSize: 8}, InitialState{
		HardState: &messages.HardState{Term: 2}, Members: members, Entries: []*messages.Entry{{Index: 1, Term: 1}},
	})
	for n.Role() == Follower {
		n.Tick()
	}
	n.Step(&messages.Message{Kind: messages.Kind_KIND_PREVOTE_REPLY, From: "n1", To: "n0", Term: 3})
	n.Step(&messages.Message{Kind: messages.Kind_KIND_VOTE_REPLY, From: "n1", To: "n0", Term: 3})
	is.Equal(n.Role(), Leader)
	n.TakeOutput()
	n.Synced(&messages.Entry{Index: 2, Term: 3})
	n.Step(&messages.Message{Kind: messages.Kind_KIND_APPEND_REPLY, From: "n1", To: "n0", Term: 3, Index: 1})
	is.Equal(n.Committed(), uint64(0))
	n.Step(&messages.Message{Kind: messages.Kind_KIND_APPEND_REPLY, From: "n1", To: "n0", Term: 3, Index: 2})
	is.Equal(n.Committed(), uint64(2))
}

// TestReplacedEntryIsNotSynced has a new leader replace an entry while its write is in progress. The end of that write says
// nothing about the entry that replaced it, which may not be applied before it is synced itself.
func TestReplacedEntryIsNotSynced(t *testing.T) {
	is := is.New(t)
	members := &messages.Members{Voters: []*messages.Member{{Name: "n0"}, {Name: "n1"}, {Name: "n2"}}}
	n := New(Options{Name: "n0", ElectionTicks: testElectionTicks, HeartbeatTicks: 2, DriftTicks: 1, MaxBatch: 64, ChunkSize: 8}, InitialState{Members: members})
	entry := func(term uint64) *messages.Entry { return &messages.Entry{Index: 1, Term: term} }
	receive := func(term, commit uint64) {
		n.Step(&messages.Message{Kind: messages.Kind_KIND_APPEND, From: "n1", To: "n0", Term: term, Commit: commit, Entries: []*messages.Entry{entry(term)}})
	}
	receive(1, 0)
	first := n.TakeOutput()
	is.Equal(len(first.Entries), 1)
	receive(2, 1)
	n.Synced(first.Entries[0])
	second := n.TakeOutput()
	is.Equal(len(second.Committed), 0)
	is.Equal(len(second.Entries), 1)
	n.Synced(second.Entries[0])
	third := n.TakeOutput()
	is.Equal(len(third.Committed), 1)
	is.Equal(third.Committed[0].GetTerm(), uint64(2))
}
