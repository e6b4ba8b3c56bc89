package forwarder

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
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
	dark   chan struct{}  // not nil for a keeper that does not answer until it is closed
	asked  atomic.Int32
}

func (k *keeperStub) Fetch(context.Context, *messages.Lookup) (*messages.Catalog, error) {
	k.asked.Add(1)
	if k.dark != nil {
		<-k.dark
	}
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
	is.True(deposed.asked.Load() <= 2) // it is not asked again once the leader has answered
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

// TestCallsLeaveADarkLeader is the pattern of a leader that loses power while calls wait for it: they
// are made again as soon as any other call has found its successor.
func TestCallsLeaveADarkLeader(t *testing.T) {
	is := is.New(t)
	dark := &keeperStub{dark: make(chan struct{})}
	darkAddress := serveStub(t, dark)
	t.Cleanup(func() { close(dark.dark) })
	successor := serveStub(t, &keeperStub{})
	f := New("http", http.DefaultClient, fixedDirectory{darkAddress})
	f.leader = darkAddress
	served := make(chan error)
	began := time.Now()
	for range 3 {
		go func() {
			_, err := f.Fetch(context.Background())
			served <- err
		}()
	}
	for flying := 0; flying < 3; time.Sleep(time.Millisecond) {
		f.mu.Lock()
		flying = len(f.flying)
		f.mu.Unlock()
	}
	f.mu.Lock()
	f.lead(successor) // as the answer to a beat does
	f.mu.Unlock()
	for range 3 {
		is.NoErr(<-served)
	}
	is.True(time.Since(began) < callTimeout/2)
}

// TestLateFailureKeepsTheSuccessor checks that the failure of a call to an earlier leader does not make
// the one that was found since forgotten.
func TestLateFailureKeepsTheSuccessor(t *testing.T) {
	is := is.New(t)
	first, second := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	f := New("http", http.DefaultClient, fixedDirectory{first, second})
	f.learn(first, nil)
	f.learn(second, nil)
	f.learn(first, errors.New("no answer in time"))
	is.Equal(f.leader, second)
}
