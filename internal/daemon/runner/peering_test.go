package runner

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestStoredMembersAreReachable restarts a replica whose settings list other replicas than the membership in its log,
// without a leader. It must find the addresses in its log, or a group whose membership has changed cannot form a
// quorum after all of its members were down.
func TestStoredMembersAreReachable(t *testing.T) {
	is := is.New(t)
	stored := func() *messages.Members {
		return &messages.Members{Voters: []*messages.Member{
			{Name: "vm1", Address: "127.0.0.1:7001"}, {Name: "vm4", Address: "127.0.0.1:7004"},
		}}
	}
	p := &peering{replicas: []*messages.Member{{Name: "vm1", Address: "127.0.0.1:7001"}, {Name: "vm2", Address: "127.0.0.1:7002"}}}
	is.Equal(p.replicaAddress("vm4"), "")
	p.storedMembers.Store(&stored)
	is.Equal(p.replicaAddress("vm4"), "127.0.0.1:7004")
	is.Equal(p.Keepers(), []netip.AddrPort{
		netip.MustParseAddrPort("127.0.0.1:7001"), netip.MustParseAddrPort("127.0.0.1:7002"), netip.MustParseAddrPort("127.0.0.1:7004"),
	})
}
