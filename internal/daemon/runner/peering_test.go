package runner

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestStoredKeepersAreFound restarts a keeper whose settings name other keepers than its membership
// does, with no leader to learn from. It must reach those that its log names, or a group that has
// changed its members never meets again after all of them were down.
func TestStoredKeepersAreFound(t *testing.T) {
	is := is.New(t)
	stored := func() *messages.Members {
		return &messages.Members{Voters: []*messages.Member{
			{Name: "vm1", Address: "127.0.0.1:7001"}, {Name: "vm4", Address: "127.0.0.1:7004"},
		}}
	}
	p := &peering{keepers: []*messages.Member{{Name: "vm1", Address: "127.0.0.1:7001"}, {Name: "vm2", Address: "127.0.0.1:7002"}}}
	is.Equal(p.keeperAddress("vm4"), "")
	p.stored.Store(&stored)
	is.Equal(p.keeperAddress("vm4"), "127.0.0.1:7004")
	is.Equal(p.Keepers(), []netip.AddrPort{
		netip.MustParseAddrPort("127.0.0.1:7001"), netip.MustParseAddrPort("127.0.0.1:7002"), netip.MustParseAddrPort("127.0.0.1:7004"),
	})
}
