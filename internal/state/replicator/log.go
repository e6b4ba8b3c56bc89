package replicator

import (
	"google.golang.org/protobuf/proto"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// entryLog is the part of the log after the last snapshot.
type entryLog struct {
	entries    []*messages.Entry
	offset     uint64 // index of the last entry in the snapshot
	offsetTerm uint64
	committed  uint64
	given      uint64 // last entry given out to be applied
	taken      uint64 // last entry given out to be synced
	synced     uint64
}

func (l *entryLog) last() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at an index. ok is false outside of the log.
func (l *entryLog) term(index uint64) (term uint64, ok bool) {
	switch {
	case index == l.offset:
		return l.offsetTerm, true
	case index < l.offset || index > l.last():
		return 0, false
	}
	return l.entries[index-l.offset-1].GetTerm(), true
}

// from returns the entries from an index on, up to a number of bytes but at least one.
func (l *entryLog) from(index uint64, limit int) []*messages.Entry {
	if index > l.last() {
		return nil
	}
	rest := l.entries[index-l.offset-1:]
	size := 0
	for i, e := range rest {
		size += len(e.GetData()) + entryOverhead
		if size > limit && i > 0 {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// entryOverhead is about how many bytes an entry takes besides its data.
const entryOverhead = 16

func (l *entryLog) truncateFrom(index uint64) {
	l.entries = l.entries[: index-l.offset-1 : index-l.offset-1]
	l.taken = min(l.taken, index-1)
	l.synced = min(l.synced, index-1)
}

func (l *entryLog) takeUnsynced() []*messages.Entry {
	if l.taken >= l.last() {
		return nil
	}
	fresh := l.entries[l.taken-l.offset:]
	l.taken = l.last()
	return fresh[:len(fresh):len(fresh)]
}

func (l *entryLog) takeCommitted() []*messages.Entry {
	// An entry is applied only once it is on this node's own disk as well.
	until := min(l.committed, l.synced)
	if until <= l.given {
		return nil
	}
	ready := l.entries[l.given-l.offset : until-l.offset]
	l.given = until
	return ready[:len(ready):len(ready)]
}

func (l *entryLog) compact(index, term uint64) {
	l.entries = append([]*messages.Entry(nil), l.entries[index-l.offset:]...)
	l.offset, l.offsetTerm = index, term
}

func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{
		offset: index, offsetTerm: term, committed: index,
		given: index, taken: index, synced: index,
	}
}

// upToDate reports whether a log that ends with the entry is at least as new as this one.
func (l *entryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}

// EncodeMembers writes a membership as the data of an entry.
func EncodeMembers(m *messages.Members) []byte {
	// A message of plain fields can't fail to encode.
	data, _ := proto.Marshal(m)
	return data
}

// DecodeMembers reads the data of a membership entry.
func DecodeMembers(data []byte) (*messages.Members, error) {
	m := &messages.Members{}
	err := proto.Unmarshal(data, m)
	return m, err
}
