package applier

import (
	"context"
	"fmt"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/state/replicator"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// Step takes in messages from other replicas.
func (a *Applier) Step(ctx context.Context, list []*messages.Message) error {
	return a.putInto(ctx, a.exchange, inputMessages{list})
}

func (a *Applier) put(ctx context.Context, in input) error { return a.putInto(ctx, a.inbox, in) }

func (a *Applier) putInto(ctx context.Context, box chan<- input, in input) error {
	select {
	case box <- in:
		return nil
	case <-a.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Propose commits an event and returns what followed from it.
func (a *Applier) Propose(ctx context.Context, e scheduler.Event) ([]scheduler.Order, error) {
	return a.commit(ctx, &proposal{kind: messages.EntryKind_ENTRY_EVENT, event: e, reply: make(chan result, 1)})
}

func (a *Applier) commit(ctx context.Context, p *proposal) ([]scheduler.Order, error) {
	if err := a.put(ctx, p); err != nil {
		return nil, err
	}
	select {
	case r := <-p.reply:
		return r.orders, r.err
	case <-a.done:
		return nil, ErrStopped
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrUnsure, ctx.Err())
	}
}

// Leader returns the name of the leader that this replica knows, "" for none. It may be behind.
func (a *Applier) Leader() string { return *a.leader.Load() }

// Read runs a function on the state of a leader that holds its lease, and on its term.
func (a *Applier) Read(ctx context.Context, read func(term uint64, state *scheduler.State)) error {
	if a.Leader() != a.opts.Name {
		return ErrNotLeader // without a place in the queue of the one that could do nothing else
	}
	return a.call(ctx, func() error {
		if !a.node.HasLease() {
			return ErrNotLeader
		}
		read(a.node.Term(), a.state)
		return nil
	})
}

// Peek runs a function on this replica's state, which may be behind.
func (a *Applier) Peek(ctx context.Context, read func(*scheduler.State)) error {
	return a.call(ctx, func() error {
		read(a.state)
		return nil
	})
}

func (a *Applier) call(ctx context.Context, f func() error) error {
	reply := make(chan error, 1)
	if err := a.put(ctx, inputCall{func() { reply <- f() }}); err != nil {
		return err
	}
	select {
	case err := <-reply:
		return err
	case <-a.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Await returns a job once it has its answer, or as it stands when the context ends. A final
// answer never changes, so one that is known is right even from a replica that is behind.
func (a *Applier) Await(ctx context.Context, org, key string) (view scheduler.View, known bool, err error) {
	answered := make(chan scheduler.View, 1)
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
	defer a.forget(view.ID, answered)
	select {
	case view = <-answered:
		return view, true, nil
	case <-a.done:
		return view, true, ErrStopped
	case <-ctx.Done():
		return view, true, nil
	}
}

// forget drops a wait that has ended.
func (a *Applier) forget(id string, c chan scheduler.View) {
	_ = a.put(context.Background(), inputCall{func() {
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

// Status is what a replica knows of itself and of the others.
type Status struct {
	Role      replicator.Role
	Leader    string
	Term      uint64
	Lease     bool
	Applied   uint64
	Committed uint64
	Members   *messages.Members
	Identity  string
	LogBytes  int64
	CaughtUp  []string // members that have nearly all committed entries, on a leader
}

// Status returns the state of the replica.
func (a *Applier) Status(ctx context.Context) (Status, error) {
	var s Status
	err := a.call(ctx, func() error {
		s = Status{
			Role: a.node.Role(), Leader: a.node.Leader(), Term: a.node.Term(), Lease: a.node.HasLease(),
			Applied: a.applied, Committed: a.node.Committed(), Members: a.node.Members(),
			Identity: a.keeper.Identity(), LogBytes: a.keeper.Size(), CaughtUp: a.node.CaughtUp(),
		}
		return nil
	})
	return s, err
}

// ChangeMembers proposes a new membership. It returns once the change is in the log.
func (a *Applier) ChangeMembers(ctx context.Context, m *messages.Members) error {
	return a.call(ctx, func() error {
		_, err := a.node.ProposeMembers(m, replicator.EncodeMembers)
		return err
	})
}

// Transfer hands the leadership over. It reports false when there is nobody to take it.
func (a *Applier) Transfer(ctx context.Context) (bool, error) {
	var ok bool
	err := a.call(ctx, func() error {
		ok = a.node.Transfer()
		return nil
	})
	return ok, err
}

// Identity returns the name that the data folder was given when it was made.
func (a *Applier) Identity() string { return a.keeper.Identity() }

// Members returns the membership at the end of this replica's log. The caller must not change it.
func (a *Applier) Members() *messages.Members { return a.current.Load() }

// Knows reports whether a data folder may speak for a member. A folder that was wiped or brought
// back under a used name may not: it has forgotten what it voted for and confirmed.
func (a *Applier) Knows(name, identity string) bool {
	k := replicator.FindMember(a.current.Load(), name)
	return k == nil || k.GetIdentity() == "" || k.GetIdentity() == identity
}

// Done is closed when the replica has stopped, on request or after a failed write.
func (a *Applier) Done() <-chan struct{} { return a.done }

// Failure returns why the replica stopped by itself, nil otherwise. It may be called once Done
// is closed.
func (a *Applier) Failure() error { return a.failure }

// Stop ends the replica and waits for it.
func (a *Applier) Stop() {
	close(a.stop)
	<-a.done
}
