package applier

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/state/filer"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestWipedFirstVoterIsRefused replaces the disk of a first voter. A replica that has not learned the identity of the old
// disk accepted its votes, so that a leader could be elected without the entries that the old disk acknowledged.
func TestWipedFirstVoterIsRefused(t *testing.T) {
	is := is.New(t)
	start := func(name string, members *messages.Members) *Applier {
		a, err := New(Options{
			Name: name, Files: filer.Disk{}, Folder: t.TempDir(), Bootstrap: members, Tick: time.Second, SnapshotEvery: 1000,
			Now: time.Now, Send: func([]*messages.Message) {}, Deliver: func(uint64, uint64, bool, []scheduler.Order) {}, Log: zap.NewNop(),
		})
		is.NoErr(err)
		t.Cleanup(a.Stop)
		return a
	}
	first := &messages.Members{Voters: []*messages.Member{{Name: "0"}, {Name: "1"}, {Name: "2"}}}
	a := start("0", first)
	is.True(a.IdentityMatches("1", start("1", first).Identity()))
	is.True(!a.IdentityMatches("1", start("1", &messages.Members{}).Identity()))
	is.True(a.IdentityMatches("standby", start("standby", &messages.Members{}).Identity()))
}
