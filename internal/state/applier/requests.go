package applier

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/state/persister"
	"github.com/bluebellgauge/bluebellgauge/internal/state/replicator"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// Step queues messages from other replicas.
func (a *Applier) Step(ctx context.Context, list []*messages.Message) error {
	return a.enqueueTo(ctx, a.peerInbox, inputMessages{list})
}

// StepUnknown is Step for messages of a leader or a candidate whose data folder is not the one that this replica knows.
func (a *Applier) StepUnknown(ctx context.Context, list []*messages.Message) error {
	return a.enqueueTo(ctx, a.peerInbox, inputUnknown{list})
}

func (a *Applier) enqueue(ctx context.Context, in input) error { return a.enqueueTo(ctx, a.inbox, in) }

func (a *Applier) enqueueTo(ctx context.Context, queue chan<- input, in input) error {
	select {
	case queue <- in:
		return nil
	case <-a.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Receipt identifies the log entry of a proposal. With ErrOutcomeUnknown or ErrStopped it is the entry that was
// appended by this replica, zero if that is not known.
type Receipt struct {
	Index  uint64
	Term   uint64
	Orders []scheduler.Order // that resulted from applying the entry
}

// Propose commits an event and returns its receipt once the event is applied. The event must hold whatever the state is by
// then; ProposeIn is for decisions that depend on it.
func (a *Applier) Propose(ctx context.Context, e scheduler.Event) (Receipt, error) {
	return a.commit(ctx, &proposal{kind: messages.EntryKind_ENTRY_EVENT, event: e, reply: make(chan result, 1)})
}

// ProposeIn is Propose for an event that was decided on what Read showed in a term. In another term the decision may not hold
// any more, even if this replica leads again: other leaders may have decided otherwise, and what this one kept in memory is
// gone. Nothing is appended then, and the error is ErrNotLeader.
func (a *Applier) ProposeIn(ctx context.Context, term uint64, e scheduler.Event) (Receipt, error) {
	return a.commit(ctx, &proposal{kind: messages.EntryKind_ENTRY_EVENT, event: e, decided: term, reply: make(chan result, 1)})
}

func (a *Applier) commit(ctx context.Context, p *proposal) (Receipt, error) {
	if err := a.enqueue(ctx, p); err != nil {
		return Receipt{}, err
	}
	select {
	case r := <-p.reply:
		return r.receipt, r.err
	case <-a.done:
		return Receipt{}, ErrStopped
	case <-ctx.Done():
		return Receipt{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err())
	}
}

// Leader returns the name of the known leader, or "" if none is known. It may be stale.
func (a *Applier) Leader() string { return *a.leader.Load() }

// Read calls read with the term and state of this replica if it is the leader and holds its lease.
func (a *Applier) Read(ctx context.Context, read func(term uint64, state *scheduler.State)) error {
	if a.Leader() != a.opts.Name {
		return ErrNotLeader // fail early without queueing
	}
	return a.call(ctx, func() error {
		if !a.node.HasLease() {
			return ErrNotLeader
		}
		read(a.node.Term(), a.state)
		return nil
	})
}

// ReadStale calls read with the local state of this replica, which may be stale.
func (a *Applier) ReadStale(ctx context.Context, read func(*scheduler.State)) error {
	return a.call(ctx, func() error {
		read(a.state)
		return nil
	})
}

// call runs f on the goroutine that owns the replica and returns its result. f does not run after call has returned.
func (a *Applier) call(ctx context.Context, f func() error) error {
	reply := make(chan error, 1)
	var claimed atomic.Bool // by the run of f, or by the end of the context before it
	run := func() {
		if claimed.CompareAndSwap(false, true) {
			reply <- f()
		}
	}
	if err := a.enqueue(ctx, inputCall{run}); err != nil {
		return err
	}
	select {
	case err := <-reply:
		return err
	case <-a.done:
		return ErrStopped
	case <-ctx.Done():
		if claimed.CompareAndSwap(false, true) {
			return ctx.Err()
		}
		return <-reply
	}
}

// Await returns a job once it has an answer, or its current view when the context ends. An answer is final,
// so one that is already known is returned even by a replica that is not the leader.
func (a *Applier) Await(ctx context.Context, org, key string) (view scheduler.JobView, known bool, err error) {
	answered := make(chan scheduler.JobView, 1)
	err = a.call(ctx, func() error {
		view, known = a.state.Job(org, key)
		if known && view.Answer != nil {
			return nil
		}
		if !a.node.HasLease() {
			return ErrNotLeader
		}
		if known {
			a.waiters[view.ID] = append(a.waiters[view.ID], answered)
		}
		return nil
	})
	if err != nil || !known || view.Answer != nil {
		return view, known, err
	}
	defer a.removeWaiter(view.ID, answered)
	select {
	case view = <-answered:
		return view, true, nil
	case <-a.done:
		return view, true, ErrStopped
	case <-ctx.Done():
		return view, true, nil
	}
}

// removeWaiter unregisters a waiter of Await.
func (a *Applier) removeWaiter(id string, c chan scheduler.JobView) {
	_ = a.enqueue(context.Background(), inputCall{func() {
		list := a.waiters[id]
		for i, w := range list {
			if w == c {
				a.waiters[id] = append(list[:i:i], list[i+1:]...)
			}
		}
		if len(a.waiters[id]) == 0 {
			delete(a.waiters, id)
		}
	}})
}

// Status describes a replica and, on a leader, its peers.
type Status struct {
	Role      replicator.Role
	Leader    string
	Term      uint64
	Lease     bool
	Applied   uint64
	Committed uint64
	Members   *messages.Members
	Identity  string
	Suspended bool // the storage can't be written
	LogBytes  int64
	CaughtUp  []string // on a leader: other members that lack few committed entries and do not leave
	Voters    []VoterStatus
	Leaving   bool   // the daemon stops
	Successor string // to which a leader hands over, "" if to none
}

// VoterStatus describes another voter as the consensus of a leader sees it.
type VoterStatus struct {
	Name    string
	Silence time.Duration // since the sending of the last heartbeat that it has acknowledged, or since its last one if it led before
	Leaving bool          // its daemon stops
}

func (a *Applier) voterStatus() []VoterStatus {
	var list []VoterStatus
	for _, s := range a.node.Successors() {
		list = append(list, VoterStatus{Name: s.Name, Silence: time.Duration(s.Silent) * a.opts.Tick, Leaving: s.Leaving})
	}
	return list
}

// Status returns the state of the replica.
func (a *Applier) Status(ctx context.Context) (Status, error) {
	var s Status
	err := a.call(ctx, func() error {
		s = Status{
			Role: a.node.Role(), Leader: a.node.Leader(), Term: a.node.Term(), Lease: a.node.HasLease(),
			Applied: a.applied, Committed: a.node.Committed(), Members: a.node.Members(),
			Identity: a.storage.Identity(), LogBytes: a.logBytes, Suspended: a.suspended, CaughtUp: a.node.CaughtUp(),
			Voters: a.voterStatus(), Leaving: a.leaving, Successor: a.node.Transferee(),
		}
		return nil
	})
	return s, err
}

// ChangeMembers proposes a new membership that was decided in a term. It returns once the entry is appended to the log, before
// it commits. In another term nothing is appended, and the error is ErrNotLeader.
func (a *Applier) ChangeMembers(ctx context.Context, term uint64, m *messages.Members) error {
	return a.call(ctx, func() error {
		if a.node.Term() != term {
			return ErrNotLeader
		}
		_, err := a.node.ProposeMembers(m, replicator.EncodeMembers)
		return err
	})
}

// Identity returns the random identifier that the data folder got at its creation.
func (a *Applier) Identity() string { return a.storage.Identity() }

// Members returns the membership at the end of this replica's log. The caller must not modify it.
func (a *Applier) Members() *messages.Members { return a.latestMembers.Load() }

// IdentityMatches reports whether messages from a member with this data folder identity may be accepted. A folder that
// was wiped or recreated under a known name is rejected: it has lost the votes and entries that it
// acknowledged.
func (a *Applier) IdentityMatches(name, identity string) bool {
	switch member := replicator.FindMember(a.latestMembers.Load(), name); {
	case member == nil:
		return true
	case member.GetIdentity() == "":
		return persister.IsFirst(identity)
	default:
		return member.GetIdentity() == identity
	}
}

// Done returns a channel that is closed when the replica has stopped, by Stop or after a failure.
func (a *Applier) Done() <-chan struct{} { return a.done }

// Failure returns the error that stopped the replica, or nil after Stop. It may be called only once Done is
// closed.
func (a *Applier) Failure() error { return a.failure }

// Stop stops the replica and waits until it has stopped.
func (a *Applier) Stop() {
	close(a.stop)
	<-a.done
}
