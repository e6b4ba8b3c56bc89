package forwarder

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// LocalReplica describes the replica in the same process, which serves the queue requests.
type LocalReplica struct {
	Address netip.AddrPort        // at which other daemons reach this one
	Leader  func() netip.AddrPort // leader known to the replica, zero if none
	Queues  messages.Queues
}

// SetLocalReplica registers the local replica. Queue requests to its own address are then served in the process.
func (f *Forwarder) SetLocalReplica(l LocalReplica) {
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

// Submit sends a job to the leader and retries until the context ends. The error is ErrNoLeader if the
// outcome is unknown.
func (f *Forwarder) Submit(ctx context.Context, s *messages.Submission) (*messages.Verdict, error) {
	sent, start := false, time.Now()
	return call(ctx, f, request{methodSubmit, s, callTimeout}, func(ctx context.Context, a netip.AddrPort) (*messages.Verdict, error) {
		attempt := &messages.Submission{
			Host: s.GetHost(), Path: s.GetPath(), Key: s.GetKey(), Work: s.GetWork(), Repeated: sent || s.GetRepeated(),
			Age: max(s.GetAge()+time.Since(start).Milliseconds(), 1),
		}
		v, err := f.queues(a).Submit(ctx, attempt)
		sent = sent || err != nil && isOutcomeOpen(err)
		return v, err
	})
}

// Cancel cancels a job on the leader.
func (f *Forwarder) Cancel(ctx context.Context, l *messages.Lookup) (*messages.Verdict, error) {
	return call(ctx, f, request{methodCancel, l, callTimeout}, func(ctx context.Context, a netip.AddrPort) (*messages.Verdict, error) {
		return f.queues(a).Cancel(ctx, l)
	})
}

// Look returns the phase of a job or the length of a queue from the leader.
func (f *Forwarder) Look(ctx context.Context, l *messages.Lookup) (*messages.Verdict, error) {
	return call(ctx, f, request{methodLook, l, callTimeout}, func(ctx context.Context, a netip.AddrPort) (*messages.Verdict, error) {
		return f.queues(a).Look(ctx, l)
	})
}

// Install installs a catalog on the leader.
func (f *Forwarder) Install(ctx context.Context, c *messages.Catalog) (*messages.Verdict, error) {
	return call(ctx, f, request{methodInstall, c, callTimeout}, func(ctx context.Context, a netip.AddrPort) (*messages.Verdict, error) {
		return f.queues(a).Install(ctx, c)
	})
}

// Fetch returns the catalog in force from the leader.
func (f *Forwarder) Fetch(ctx context.Context) (*messages.Catalog, error) {
	l := &messages.Lookup{}
	return call(ctx, f, request{methodFetch, l, callTimeout}, func(ctx context.Context, a netip.AddrPort) (*messages.Catalog, error) {
		return f.queues(a).Fetch(ctx, l)
	})
}

// Evacuate starts or ends the evacuation of a data centre on the leader.
func (f *Forwarder) Evacuate(ctx context.Context, o *messages.EvacuationOrder) (*messages.Verdict, error) {
	return call(ctx, f, request{methodEvacuate, o, callTimeout}, func(ctx context.Context, a netip.AddrPort) (*messages.Verdict, error) {
		return f.queues(a).Evacuate(ctx, o)
	})
}

// Evacuations lists the evacuated data centres from the leader.
func (f *Forwarder) Evacuations(ctx context.Context) (*messages.EvacuationList, error) {
	l := &messages.Lookup{}
	return call(ctx, f, request{methodEvacuations, l, callTimeout}, func(ctx context.Context, a netip.AddrPort) (*messages.EvacuationList, error) {
		return f.queues(a).Evacuations(ctx, l)
	})
}

// Explain asks the leader where a job would start.
func (f *Forwarder) Explain(ctx context.Context, q *messages.ExplainRequest) (*messages.Explanation, error) {
	return call(ctx, f, request{methodExplain, q, callTimeout}, func(ctx context.Context, a netip.AddrPort) (*messages.Explanation, error) {
		return f.queues(a).Explain(ctx, q)
	})
}

// maxReportAttempts bounds the daemons to which a report is sent in turn.
const maxReportAttempts = 3

// Report forwards a worker's report to the leader. It follows a change of leader, as a worker that exits does not send
// its report again; otherwise the worker itself retries through another entry. A replica without a known leader fails
// immediately, because all workers report at the same time while there is none.
func (f *Forwarder) Report(ctx context.Context, r *messages.FleetReport) (*messages.FleetOrders, error) {
	for n := 1; ; n++ {
		if !f.hasLeader() {
			return nil, ErrNoLeader
		}
		orders, _, err := attempt(ctx, f, callTimeout, func(ctx context.Context, a netip.AddrPort) (*messages.FleetOrders, error) {
			return f.queues(a).Report(ctx, r)
		})
		if err == nil || n == maxReportAttempts || !isRedirect(err) {
			return orders, err
		}
	}
}

// isRedirect reports whether an error names another replica as the leader.
func isRedirect(err error) bool {
	var te twirp.Error
	return errors.Is(err, errLeaderChanged) || errors.As(err, &te) && te.Meta(leaderMeta) != ""
}

func (f *Forwarder) hasLeader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.local == nil || f.currentLeader().IsValid()
}
