package forwarder

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/twitchtv/twirp"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// keeperStub answers questions on the catalog as a keeper does that leads, or that knows who does.
type keeperStub struct {
	messages.Queues
	leader netip.AddrPort // zero when it leads itself
	asked  int
}

func (k *keeperStub) Fetch(context.Context, *messages.Lookup) (*messages.Catalog, error) {
	k.asked++
	if k.leader.IsValid() {
		return nil, twirp.Unavailable.Error("not the leader").WithMeta(leaderMeta, k.leader.String())
	}
	return &messages.Catalog{Version: 7}, nil
}

type fixedDirectory []netip.AddrPort

func (d fixedDirectory) Keepers() []netip.AddrPort { return d }

func serveStub(t *testing.T, k *keeperStub) netip.AddrPort {
	t.Helper()
	s := httptest.NewServer(messages.NewQueuesServer(k))
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

// TestRemovedKeeperFindsTheLeader is the pattern of a keeper that was removed from the membership and
// hears of no later leader: its own replica names the old one for ever, which answers that another one
// leads.
func TestRemovedKeeperFindsTheLeader(t *testing.T) {
	is := is.New(t)
	leader := &keeperStub{}
	leaderAddress := serveStub(t, leader)
	deposed := &keeperStub{leader: leaderAddress}
	deposedAddress := serveStub(t, deposed)
	f := New("http", http.DefaultClient, fixedDirectory{deposedAddress})
	f.SetLocal(Local{Leader: func() netip.AddrPort { return deposedAddress }})
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	for range 3 {
		c, err := f.Fetch(ctx)
		is.NoErr(err)
		is.Equal(c.GetVersion(), uint64(7))
	}
	is.True(deposed.asked <= 2) // it is not asked again once the leader has answered
}

// TestGoneCallerRefutesNoLeader checks that a caller that leaves takes nothing from what is known.
func TestGoneCallerRefutesNoLeader(t *testing.T) {
	is := is.New(t)
	address := serveStub(t, &keeperStub{})
	f := New("http", http.DefaultClient, fixedDirectory{address})
	_, err := f.Fetch(context.Background())
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = f.Fetch(ctx)
	is.True(err != nil)
	f.mu.Lock()
	defer f.mu.Unlock()
	is.Equal(f.leader, address)
}
