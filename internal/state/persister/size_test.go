package persister

import (
	"testing"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/state/filer"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestLargestEntry guards against an entry that is written and acknowledged, but counts as damage when the log is read
// again.
func TestLargestEntry(t *testing.T) {
	for _, c := range []struct {
		name  string
		bytes int
	}{
		{"the largest that is proposed", MaxEntryBytes},
		{"the largest body of an earlier version", 16 << 20},
		{"twice that, decoded", 32 << 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			folder := t.TempDir()
			members := &messages.Members{Voters: []*messages.Member{{Name: "a"}}}
			p, _, err := Open(filer.Disk{}, folder, "a", members)
			is.NoErr(err)
			err = p.Append(0, nil, []*messages.Entry{{Index: 1, Term: 1, Data: make([]byte, c.bytes)}})
			is.NoErr(p.Close())
			if err != nil {
				return // it was not acknowledged
			}
			_, initial, err := Open(filer.Disk{}, folder, "a", members)
			is.NoErr(err)
			is.Equal(len(initial.Entries), 1)
		})
	}
}
