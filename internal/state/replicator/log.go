package replicator

import (
	"google.golang.org/protobuf/proto"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// entryLog holds the log entries after the last snapshot.
type entryLog struct {
	entries    []*messages.Entry
	size       int    // of the entries, in bytes, approximate
	offset     uint64 // index of the last entry covered by the snapshot
	offsetTerm uint64
	committed  uint64
	applying   uint64 // index of the last entry returned by takeCommitted
	syncing    uint64 // index of the last entry returned by takeUnsynced
	synced     uint64
}

func (l *entryLog) last() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index. ok is false if index is outside of the log.
func (l *entryLog) term(index uint64) (term uint64, ok bool) {
	switch {
	case index == l.offset:
		return l.offsetTerm, true
	case index < l.offset || index > l.last():
		return 0, false
	}
	return l.entries[index-l.offset-1].GetTerm(), true
}

// batchFrom returns the entries from index on, limited to about limit bytes but at least one entry.
func (l *entryLog) batchFrom(index uint64, limit int) []*messages.Entry {
	if index > l.last() {
		return nil
	}
	rest := l.entries[index-l.offset-1:]
	size := 0
	for i, e := range rest {
		size += entrySize(e)
		if size > limit && i > 0 {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// entryOverhead is the approximate encoded size of an entry without its data, in bytes.
const entryOverhead = 16

func entrySize(e *messages.Entry) int { return len(e.GetData()) + entryOverhead }

func (l *entryLog) append(e *messages.Entry) {
	l.entries = append(l.entries, e)
	l.size += entrySize(e)
}

func (l *entryLog) truncateFrom(index uint64) {
	for _, e := range l.entries[index-l.offset-1:] {
		l.size -= entrySize(e)
	}
	l.entries = l.entries[: index-l.offset-1 : index-l.offset-1]
	l.syncing = min(l.syncing, index-1)
	l.synced = min(l.synced, index-1)
}

func (l *entryLog) takeUnsynced() []*messages.Entry {
	if l.syncing >= l.last() {
		return nil
	}
	unsynced := l.entries[l.syncing-l.offset:]
	l.syncing = l.last()
	return unsynced[:len(unsynced):len(unsynced)]
}

func (l *entryLog) takeCommitted() []*messages.Entry {
	// An entry is applied only after it is synced locally as well.
	until := min(l.committed, l.synced)
	if until <= l.applying {
		return nil
	}
	ready := l.entries[l.applying-l.offset : until-l.offset]
	l.applying = until
	return ready[:len(ready):len(ready)]
}

func (l *entryLog) compact(index, term uint64) {
	for _, e := range l.entries[:index-l.offset] {
		l.size -= entrySize(e)
	}
	l.entries = append([]*messages.Entry(nil), l.entries[index-l.offset:]...)
	l.offset, l.offsetTerm = index, term
}

func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{
		offset: index, offsetTerm: term, committed: index,
		applying: index, syncing: index, synced: index,
	}
}

// upToDate reports whether a log whose last entry has this index and term is at least as up to date as this log.
func (l *entryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}

// EncodeMembers encodes a membership as the data of an entry.
func EncodeMembers(m *messages.Members) []byte {
	// Marshalling this message cannot fail.
	data, _ := proto.Marshal(m)
	return data
}

// DecodeMembers decodes the data of a membership entry.
func DecodeMembers(data []byte) (*messages.Members, error) {
	m := &messages.Members{}
	err := proto.Unmarshal(data, m)
	return m, err
}
