package forwarder

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// reportStub answers reports like a leader, after released is closed.
type reportStub struct {
	messages.Queues
	received chan uint64
	released chan struct{}
}

func (k *reportStub) Report(_ context.Context, r *messages.FleetReport) (*messages.FleetOrders, error) {
	k.received <- r.GetSequence()
	<-k.released
	return &messages.FleetOrders{}, nil
}

// TestReportMovesToNewLeader guards against a loss of the ends in the last report of a worker that exits: the report is
// under way to an unresponsive leader when another call finds the new one, and nobody sends it there.
func TestReportMovesToNewLeader(t *testing.T) {
	is := is.New(t)
	unresponsive := &reportStub{received: make(chan uint64, 1), released: make(chan struct{})}
	leader := &reportStub{received: make(chan uint64, 1), released: make(chan struct{})}
	close(leader.released)
	serve := func(k *reportStub) netip.AddrPort {
		s := httptest.NewServer(messages.NewQueuesServer(k))
		t.Cleanup(s.Close)
		return netip.MustParseAddrPort(s.Listener.Addr().String())
	}
	former, current := serve(unresponsive), serve(leader)
	t.Cleanup(func() { close(unresponsive.released) })
	f := New("http", http.DefaultClient, fixedDirectory{former}, tally.NoopScope, zap.NewNop())
	f.leader = former
	answered := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 950*time.Millisecond)
	defer cancel()
	go func() {
		_, err := f.Report(ctx, &messages.FleetReport{Worker: "w", Sequence: 7})
		answered <- err
	}()
	is.Equal(<-unresponsive.received, uint64(7))
	f.mu.Lock()
	f.setLeader(current) // as the reply to a heartbeat does
	f.mu.Unlock()
	is.NoErr(<-answered)
	is.Equal(<-leader.received, uint64(7))
}
