package forwarder

import (
	"context"
	"net/netip"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// SetLocal names the part of this very daemon that answers on queues, and the address under which
// other daemons reach it. Calls to that address stay in the process.
func (f *Forwarder) SetLocal(address netip.AddrPort, local messages.Queues) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.own, f.local = address, local
}

func (f *Forwarder) queues(address netip.AddrPort) messages.Queues {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.local != nil && f.own == address {
		return f.local
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

// Report passes a worker's report to the leader.
func (f *Forwarder) Report(ctx context.Context, r *messages.FleetReport) (*messages.FleetOrders, error) {
	return call(ctx, f, callTimeout, func(ctx context.Context, a netip.AddrPort) (*messages.FleetOrders, error) {
		return f.queues(a).Report(ctx, r)
	})
}
