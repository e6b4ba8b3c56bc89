package forwarder

import (
	"context"
	"net/netip"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// Local is the part of a keeper that answers on queues.
type Local struct {
	Address netip.AddrPort        // under which other daemons reach this one
	Leader  func() netip.AddrPort // that this keeper knows, zero for none
	Queues  messages.Queues
}

// SetLocal tells the forwarder that it works in a keeper. Calls to the keeper itself stay in the
// process.
func (f *Forwarder) SetLocal(l Local) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.local = &l
}

func (f *Forwarder) queues(address netip.AddrPort) messages.Queues {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.local != nil && f.local.Address == address {
		return f.local.Queues
	}
	return messages.NewQueuesProtobufClient(f.scheme+"://"+address.String(), f.client)
}

// Submit asks the leader to accept a job until the context ends. The error is ErrNoLeader when it
// is not known whether the job was accepted.
func (f *Forwarder) Submit(ctx context.Context, s *messages.Submission) (*messages.Verdict, error) {
	return call(ctx, f, callTimeout, func(ctx context.Context, a netip.AddrPort) (*messages.Verdict, error) {
		return f.queues(a).Submit(ctx, s)
	})
}

// Cancel asks the leader to end a job.
func (f *Forwarder) Cancel(ctx context.Context, l *messages.Lookup) (*messages.Verdict, error) {
	return call(ctx, f, callTimeout, func(ctx context.Context, a netip.AddrPort) (*messages.Verdict, error) {
		return f.queues(a).Cancel(ctx, l)
	})
}

// Look asks the leader for the phase of a job or the length of a queue.
func (f *Forwarder) Look(ctx context.Context, l *messages.Lookup) (*messages.Verdict, error) {
	return call(ctx, f, callTimeout, func(ctx context.Context, a netip.AddrPort) (*messages.Verdict, error) {
		return f.queues(a).Look(ctx, l)
	})
}

// Install asks the leader to put a catalog in force.
func (f *Forwarder) Install(ctx context.Context, c *messages.Catalog) (*messages.Verdict, error) {
	return call(ctx, f, callTimeout, func(ctx context.Context, a netip.AddrPort) (*messages.Verdict, error) {
		return f.queues(a).Install(ctx, c)
	})
}

// Fetch asks the leader for the catalog in force.
func (f *Forwarder) Fetch(ctx context.Context) (*messages.Catalog, error) {
	return call(ctx, f, callTimeout, func(ctx context.Context, a netip.AddrPort) (*messages.Catalog, error) {
		return f.queues(a).Fetch(ctx, &messages.Lookup{})
	})
}

// Report passes a worker's report to the leader, once: the worker itself tries again elsewhere. A
// keeper that knows no leader asks nobody, as all workers come at once while there is none.
func (f *Forwarder) Report(ctx context.Context, r *messages.FleetReport) (*messages.FleetOrders, error) {
	if !f.knowsLeader() {
		return nil, ErrNoLeader
	}
	return attempt(ctx, f, callTimeout, func(ctx context.Context, a netip.AddrPort) (*messages.FleetOrders, error) {
		return f.queues(a).Report(ctx, r)
	})
}

func (f *Forwarder) knowsLeader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.local == nil || f.known().IsValid()
}
