package replicator

import (
	"hash/crc32"
	"testing"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestDelayedSnapshotKeepsEntries guards against a loss of committed entries: a snapshot arrives after entries that follow
// it, which the replica has acknowledged and drops.
func TestDelayedSnapshotKeepsEntries(t *testing.T) {
	is := is.New(t)
	members := &messages.Members{Voters: []*messages.Member{{Name: "0"}, {Name: "1"}, {Name: "2"}}}
	n := New(Options{Name: "0", ElectionTicks: 6, HeartbeatTicks: 2, DriftTicks: 1, MaxBatch: 1 << 20, ChunkSize: 1 << 20}, InitialState{Members: members})
	step := func(m *messages.Message) (replies []*messages.Message, dropped int) {
		m.From, m.To, m.Term = "1", "0", 1
		n.Step(m)
		for {
			out := n.TakeOutput()
			if out.Empty() {
				return replies, dropped
			}
			if k := len(out.Entries); k > 0 {
				n.Synced(out.Entries[k-1])
			}
			replies, dropped = append(replies, out.AfterSync...), dropped+out.Dropped
		}
	}
	var entries []*messages.Entry
	for i := uint64(1); i <= 5; i++ {
		entries = append(entries, &messages.Entry{Index: i, Term: 1})
	}
	replies, _ := step(&messages.Message{Kind: messages.Kind_KIND_APPEND, Entries: entries})
	is.Equal(len(replies), 1)
	is.Equal(replies[0].GetIndex(), uint64(5)) // acknowledged

	data := []byte("state of entry 3")
	replies, dropped := step(&messages.Message{Kind: messages.Kind_KIND_SNAPSHOT, Chunk: &messages.Chunk{
		Index: 3, Term: 1, Members: members, Total: uint64(len(data)), Data: data, Checksum: crc32.Checksum(data, castagnoli),
	}})
	is.Equal(dropped, 0)
	is.Equal(n.log.last(), uint64(5))
	is.Equal(n.Committed(), uint64(3))
	is.Equal(len(replies), 1)
	is.Equal(replies[0].GetKind(), messages.Kind_KIND_APPEND_REPLY)
	is.Equal(replies[0].GetIndex(), uint64(3))
}
