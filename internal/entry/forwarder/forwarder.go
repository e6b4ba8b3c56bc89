// Package forwarder finds the leader for an entry and passes requests on to it. It also serves
// the requests of other daemons on a leader. Only the way between daemons may live here.
package forwarder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/twitchtv/twirp"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

const (
	firstRetry   = 20 * time.Millisecond
	longestRetry = 300 * time.Millisecond
	leaderMeta   = "leader" // metadata key of the leader's address in an error
	callTimeout  = 2 * time.Second
	beatTimeout  = 700 * time.Millisecond // a beat only reads the state; another keeper is asked soon
)

// ErrNoLeader tells that no leader was found in time.
var ErrNoLeader = errors.New("no leader answers")

// Directory knows the addresses of daemons.
type Directory interface {
	// Keepers returns where keepers may be reached.
	Keepers() []netip.AddrPort
}

// Forwarder passes requests to the leader.
type Forwarder struct {
	scheme    string
	client    *http.Client
	directory Directory

	mu     sync.Mutex
	leader netip.AddrPort // last known, zero for none
	// refuted is a leader that failed a call. The own replica may go on to name it, as a keeper that
	// was removed hears of no successor.
	refuted netip.AddrPort
	spoke   time.Time // when a keeper last answered anything
	next    int       // keeper to ask when no leader is known
	flying  map[*flight]struct{}
	local   *Local // nil on a daemon that is no keeper
}

// flight is a call that waits for a keeper's answer.
type flight struct {
	asked   netip.AddrPort
	abandon context.CancelCauseFunc
}

// errDeposed ends calls to a keeper once another one turns out to lead. They are made again there.
var errDeposed = errors.New("another keeper leads")

// New returns a forwarder that knows no leader yet. client must carry the daemons' credentials.
func New(scheme string, client *http.Client, directory Directory) *Forwarder {
	return &Forwarder{scheme: scheme, client: client, directory: directory, flying: map[*flight]struct{}{}}
}

// target returns the daemon to ask.
func (f *Forwarder) target() (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if address := f.known(); address.IsValid() {
		return address, true
	}
	keepers := f.directory.Keepers()
	if len(keepers) == 0 {
		return netip.AddrPort{}, false
	}
	return keepers[f.next%len(keepers)], true
}

// known returns the leader by what is known, zero for none. The caller holds the lock.
func (f *Forwarder) known() netip.AddrPort {
	if f.local != nil {
		// A keeper that is a member knows the leader itself.
		if address := f.local.Leader(); address.IsValid() && address != f.refuted {
			return address
		}
	}
	return f.leader
}

// learn remembers what a reply says of the leader.
func (f *Forwarder) learn(asked netip.AddrPort, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil || isAnswer(err) {
		f.spoke = time.Now()
	}
	if err == nil {
		f.lead(asked)
		return
	}
	f.refuted = asked
	if f.leader == asked {
		f.leader = netip.AddrPort{}
	}
	f.next++
	var te twirp.Error
	if errors.As(err, &te) {
		if hint, parseErr := netip.ParseAddrPort(te.Meta(leaderMeta)); parseErr == nil && hint != asked && !f.leader.IsValid() {
			f.leader = hint
		}
	}
}

// lead takes note of a keeper that has answered as the leader. Calls that wait for another one, which
// may be dark, are abandoned. The caller holds the lock.
func (f *Forwarder) lead(address netip.AddrPort) {
	if f.refuted == address {
		f.refuted = netip.AddrPort{}
	}
	if f.leader == address {
		return // calls to others ended when it was found; on a leader thousands are under way
	}
	f.leader = address
	for c := range f.flying {
		if c.asked != address {
			c.abandon(errDeposed)
		}
	}
}

// isAnswer reports whether an error was sent by a keeper. Errors of the way to it are internal ones.
func isAnswer(err error) bool {
	var te twirp.Error
	return errors.As(err, &te) && te.Code() == twirp.Unavailable
}

// Silence returns for how long no keeper has answered anything, if only that it does not lead.
func (f *Forwarder) Silence() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.spoke)
}

// call asks the leader until it answers or the context ends. Every request that is passed on
// has the same effect when it arrives twice.
func call[T any](ctx context.Context, f *Forwarder, timeout time.Duration, ask func(context.Context, netip.AddrPort) (T, error)) (T, error) {
	wait := &backoff.ExponentialBackOff{
		InitialInterval: firstRetry, MaxInterval: longestRetry, Multiplier: 1.5, RandomizationFactor: 0.5,
	}
	wait.Reset()
	var zero T
	for {
		reply, err := attempt(ctx, f, timeout, ask)
		if err == nil {
			return reply, nil
		}
		if final(err) {
			return zero, err
		}
		select {
		case <-ctx.Done():
			return zero, fmt.Errorf("%w: %w", ErrNoLeader, err)
		case <-time.After(wait.NextBackOff()):
		}
	}
}

func attempt[T any](ctx context.Context, f *Forwarder, timeout time.Duration, ask func(context.Context, netip.AddrPort) (T, error)) (T, error) {
	var zero T
	address, ok := f.target()
	if !ok {
		return zero, ErrNoLeader
	}
	askCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	askCtx, abandon := context.WithCancelCause(askCtx)
	c := &flight{asked: address, abandon: abandon}
	f.mu.Lock()
	f.flying[c] = struct{}{}
	f.mu.Unlock()
	reply, err := ask(askCtx, address)
	f.mu.Lock()
	delete(f.flying, c)
	f.mu.Unlock()
	// A caller that has gone, or a call that was abandoned, says nothing new of the keeper.
	if !errors.Is(ctx.Err(), context.Canceled) && !errors.Is(context.Cause(askCtx), errDeposed) {
		f.learn(address, err)
	}
	abandon(nil)
	return reply, err
}

func (f *Forwarder) peer(address netip.AddrPort) messages.Peer {
	return messages.NewPeerProtobufClient(f.scheme+"://"+address.String(), f.client)
}

// final reports whether asking again can't help.
func final(err error) bool {
	var te twirp.Error
	if !errors.As(err, &te) {
		return false
	}
	switch te.Code() {
	case twirp.InvalidArgument, twirp.PermissionDenied, twirp.Unauthenticated, twirp.Malformed:
		return true
	default:
		return false
	}
}

// Propose commits an event and returns the reply of the decisions.
func (f *Forwarder) Propose(ctx context.Context, e scheduler.Event) (scheduler.Reply, error) {
	var reply scheduler.Reply
	event, err := scheduler.Encode(time.Time{}, e)
	if err != nil {
		return reply, err
	}
	d, err := call(ctx, f, callTimeout, func(ctx context.Context, a netip.AddrPort) (*messages.Decision, error) {
		return f.peer(a).Propose(ctx, &messages.Proposal{Event: event})
	})
	if err != nil {
		return reply, err
	}
	return reply, json.Unmarshal(d.GetBody(), &reply)
}

// Await returns a job once it has its answer, or as it stands after the wait.
func (f *Forwarder) Await(ctx context.Context, org, key string, wait time.Duration) (view scheduler.JobView, known bool, err error) {
	deadline := time.Now().Add(wait)
	d, err := call(ctx, f, wait+callTimeout, func(ctx context.Context, a netip.AddrPort) (*messages.Decision, error) {
		left := max(time.Until(deadline), 0)
		return f.peer(a).Await(ctx, &messages.Wait{Organisation: org, Key: key, Milliseconds: left.Milliseconds()})
	})
	if err != nil {
		return view, false, err
	}
	if scheduler.Status(d.GetStatus()) == scheduler.StatusUnknown {
		return view, false, nil
	}
	return view, true, json.Unmarshal(d.GetBody(), &view)
}

// Query asks the leader for a view of the state, as JSON.
func (f *Forwarder) Query(ctx context.Context, q *messages.Question) (json.RawMessage, error) {
	d, err := call(ctx, f, callTimeout, func(ctx context.Context, a netip.AddrPort) (*messages.Decision, error) {
		return f.peer(a).Query(ctx, q)
	})
	return json.RawMessage(d.GetBody()), err
}

// Sync sends a beat once and returns the leader's reply.
func (f *Forwarder) Sync(ctx context.Context, b *messages.Beat) (*messages.Orders, error) {
	return attempt(ctx, f, beatTimeout, func(ctx context.Context, a netip.AddrPort) (*messages.Orders, error) {
		return f.peer(a).Sync(ctx, b)
	})
}

// NotLeader is the error by which a daemon points to the leader. address may be empty.
func NotLeader(address string) error {
	err := twirp.NewError(twirp.Unavailable, "not the leader")
	if address != "" {
		err = err.WithMeta(leaderMeta, address)
	}
	return err
}
