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
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// keeperStub serves the catalog like a leader, or redirects to the leader like another replica.
type keeperStub struct {
	messages.Queues
	leader  netip.AddrPort // zero if it is the leader itself
	blocked chan struct{}  // if not nil, requests block until it is closed
	calls   atomic.Int32
}

func (k *keeperStub) Fetch(context.Context, *messages.Lookup) (*messages.Catalog, error) {
	k.calls.Add(1)
	if k.blocked != nil {
		<-k.blocked
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

// TestRemovedKeeperFindsLeader covers a replica that was removed from the membership and is not informed of
// later leaders. Its state names the old leader indefinitely, which redirects each request to the new one.
func TestRemovedKeeperFindsLeader(t *testing.T) {
	is := is.New(t)
	leader := &keeperStub{}
	leaderAddress := serveStub(t, leader)
	former := &keeperStub{leader: leaderAddress}
	formerAddress := serveStub(t, former)
	f := New("http", http.DefaultClient, fixedDirectory{formerAddress}, tally.NoopScope, zap.NewNop())
	f.SetLocalReplica(LocalReplica{Leader: func() netip.AddrPort { return formerAddress }})
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	for range 3 {
		c, err := f.Fetch(ctx)
		is.NoErr(err)
		is.Equal(c.GetVersion(), uint64(7))
	}
	is.True(former.calls.Load() <= 2) // no more calls once the leader has replied
}

// TestCancelledCallKeepsLeader checks that a call cancelled by its caller does not clear the known leader.
func TestCancelledCallKeepsLeader(t *testing.T) {
	is := is.New(t)
	address := serveStub(t, &keeperStub{})
	f := New("http", http.DefaultClient, fixedDirectory{address}, tally.NoopScope, zap.NewNop())
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

// TestCallsMoveFromUnresponsiveLeader covers a leader that loses power with calls in flight. They must be
// retried as soon as any other call has found the new leader.
func TestCallsMoveFromUnresponsiveLeader(t *testing.T) {
	is := is.New(t)
	unresponsive := &keeperStub{blocked: make(chan struct{})}
	unresponsiveAddress := serveStub(t, unresponsive)
	t.Cleanup(func() { close(unresponsive.blocked) })
	newLeader := serveStub(t, &keeperStub{})
	f := New("http", http.DefaultClient, fixedDirectory{unresponsiveAddress}, tally.NoopScope, zap.NewNop())
	f.leader = unresponsiveAddress
	served := make(chan error)
	start := time.Now()
	for range 3 {
		go func() {
			_, err := f.Fetch(context.Background())
			served <- err
		}()
	}
	for pending := 0; pending < 3; time.Sleep(time.Millisecond) {
		f.mu.Lock()
		pending = len(f.inFlight)
		f.mu.Unlock()
	}
	f.mu.Lock()
	f.setLeader(newLeader) // as the reply to a heartbeat does
	f.mu.Unlock()
	for range 3 {
		is.NoErr(<-served)
	}
	is.True(time.Since(start) < callTimeout/2)
}

// TestLateFailureKeepsNewLeader checks that the failure of a call to an earlier leader does not clear the
// leader that was found since.
func TestLateFailureKeepsNewLeader(t *testing.T) {
	is := is.New(t)
	first, second := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	f := New("http", http.DefaultClient, fixedDirectory{first, second}, tally.NoopScope, zap.NewNop())
	f.recordResult(first, nil)
	f.recordResult(second, nil)
	f.recordResult(first, errors.New("request timed out"))
	is.Equal(f.leader, second)
}

// TestCallsMoveAfterRedirect guards against calls that wait for an unresponsive leader until they time out, although another
// call was redirected to the new leader and answered there.
func TestCallsMoveAfterRedirect(t *testing.T) {
	is := is.New(t)
	unresponsive := &keeperStub{blocked: make(chan struct{})}
	unresponsiveAddress := serveStub(t, unresponsive)
	t.Cleanup(func() { close(unresponsive.blocked) })
	follower := serveStub(t, &keeperStub{leader: serveStub(t, &keeperStub{})})
	f := New("http", http.DefaultClient, fixedDirectory{unresponsiveAddress, follower}, tally.NoopScope, zap.NewNop())
	f.recordResult(unresponsiveAddress, nil)
	served := make(chan error)
	start := time.Now()
	for range 3 {
		go func() {
			_, err := f.Fetch(context.Background())
			served <- err
		}()
	}
	for pending := 0; pending < 3; time.Sleep(time.Millisecond) {
		f.mu.Lock()
		pending = len(f.inFlight)
		f.mu.Unlock()
	}
	f.recordResult(unresponsiveAddress, context.DeadlineExceeded) // of a heartbeat
	_, err := f.Fetch(context.Background())
	is.NoErr(err)
	for range 3 {
		is.NoErr(<-served)
	}
	is.True(time.Since(start) < callTimeout/2)
}
