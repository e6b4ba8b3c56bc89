// Package forwarder finds the leader for an entry and forwards requests to it. It also contains the server
// that handles requests of other daemons on a replica. The package contains only the communication between
// daemons.
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
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

const (
	initialBackoff   = 20 * time.Millisecond
	maxBackoff       = 300 * time.Millisecond
	leaderMeta       = "leader" // metadata key of the leader's address in an error
	callTimeout      = 2 * time.Second
	heartbeatTimeout = 700 * time.Millisecond // heartbeats only read the state, so another replica can be tried early
)

// ErrNoLeader means that no leader replied in time. The request may have had an effect.
var ErrNoLeader = errors.New("no leader answers")

// Directory provides the addresses of replicas.
type Directory interface {
	// Keepers returns the addresses at which replicas may be reached.
	Keepers() []netip.AddrPort
}

// Forwarder forwards requests to the leader.
type Forwarder struct {
	scheme    string
	client    *http.Client
	directory Directory
	metrics   map[string]callMetrics // by method
	log       *zap.Logger

	mu     sync.Mutex
	leader netip.AddrPort // last known, zero if none
	// confirmed means that leader has replied as the leader. Otherwise another replica named it.
	confirmed bool
	// failedLeader is the address of the last failed call. It is not used even if the local replica still
	// names it as the leader, because a replica that was removed from the membership is not informed of later
	// leaders.
	failedLeader netip.AddrPort
	started      time.Time
	lastReply    time.Time // time of the last reply of any replica, zero before the first
	nextKeeper   int       // index of the replica to try if no leader is known
	inFlight     map[*pendingCall]struct{}
	local        *LocalReplica // nil on a daemon without a replica
}

// pendingCall is a call in flight to a replica.
type pendingCall struct {
	address netip.AddrPort
	cancel  context.CancelCauseFunc
}

// errLeaderChanged is the cause by which calls in flight are cancelled when another replica is found to be
// the leader. They are retried there.
var errLeaderChanged = errors.New("another replica is the leader")

// New returns a forwarder without a known leader. client must send the daemons' credentials.
func New(scheme string, client *http.Client, directory Directory, metrics tally.Scope, log *zap.Logger) *Forwarder {
	return &Forwarder{
		scheme: scheme, client: client, directory: directory, metrics: newMetrics(metrics), log: log, inFlight: map[*pendingCall]struct{}{},
		started: time.Now(),
	}
}

// target returns the address of the next call.
func (f *Forwarder) target() (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if address := f.currentLeader(); address.IsValid() {
		return address, true
	}
	keepers := f.directory.Keepers()
	if len(keepers) == 0 {
		return netip.AddrPort{}, false
	}
	return keepers[f.nextKeeper%len(keepers)], true
}

// currentLeader returns the last known leader, zero if none. The caller must hold the lock.
func (f *Forwarder) currentLeader() netip.AddrPort {
	if f.local != nil {
		// A replica that is a member gets the leader from the consensus protocol.
		if address := f.local.Leader(); address.IsValid() && address != f.failedLeader {
			return address
		}
	}
	return f.leader
}

// recordResult updates the known leader from the result of a call.
func (f *Forwarder) recordResult(address netip.AddrPort, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil || isReply(err) {
		f.lastReply = time.Now()
	}
	if err == nil {
		f.setLeader(address)
		return
	}
	f.failedLeader = address
	if f.leader == address {
		f.leader, f.confirmed = netip.AddrPort{}, false
	}
	f.nextKeeper++
	var te twirp.Error
	if errors.As(err, &te) {
		if hint, parseErr := netip.ParseAddrPort(te.Meta(leaderMeta)); parseErr == nil && hint != address && !f.leader.IsValid() {
			f.leader, f.confirmed = hint, false
		}
	}
}

// setLeader records a replica that has replied as the leader. Calls in flight to other replicas, which may be
// unresponsive, are cancelled. The caller must hold the lock.
func (f *Forwarder) setLeader(address netip.AddrPort) {
	if f.failedLeader == address {
		f.failedLeader = netip.AddrPort{}
	}
	if f.leader == address && f.confirmed {
		return // other calls were cancelled when it was found; scanning thousands on each reply would be slow
	}
	f.leader, f.confirmed = address, true
	for c := range f.inFlight {
		if c.address != address {
			c.cancel(errLeaderChanged)
		}
	}
}

// isReply reports whether an error was returned by a replica. Transport errors have the code Internal.
func isReply(err error) bool {
	var te twirp.Error
	return errors.As(err, &te) && te.Code() == twirp.Unavailable
}

// SinceLastReply returns the time since the last reply of any replica, including the reply that it is not the
// leader, or since the start of the forwarder before the first one.
func (f *Forwarder) SinceLastReply() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastReply.IsZero() {
		return time.Since(f.started)
	}
	return time.Since(f.lastReply)
}

// HasReply reports whether any replica has ever replied.
func (f *Forwarder) HasReply() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.lastReply.IsZero()
}

// call sends a request to the leader and retries until it gets a reply or the context ends. This requires
// that all forwarded requests are idempotent.
func call[T any](ctx context.Context, f *Forwarder, r request, send func(context.Context, netip.AddrPort) (T, error)) (T, error) {
	wait := &backoff.ExponentialBackOff{
		InitialInterval: initialBackoff, MaxInterval: maxBackoff, Multiplier: 1.5, RandomizationFactor: 0.5,
	}
	wait.Reset()
	var zero T
	lines := 0
	for n := 1; ; n++ {
		start := time.Now()
		reply, keeper, err := attempt(ctx, f, r.timeout, send)
		if err == nil {
			return reply, nil
		}
		if isPermanent(err) {
			return zero, err
		}
		failed := failedAttempt{number: n, keeper: keeper, took: time.Since(start), err: err}
		if ctx.Err() == nil {
			lines = f.recordRepeat(r, failed, lines)
		}
		select {
		case <-ctx.Done():
			f.recordGivenUp(ctx, r, failed)
			return zero, fmt.Errorf("%w: %w", ErrNoLeader, err)
		case <-time.After(wait.NextBackOff()):
		}
	}
}

// attempt sends a request once and returns the replica that it was sent to, zero if none is known.
func attempt[T any](
	ctx context.Context, f *Forwarder, timeout time.Duration, send func(context.Context, netip.AddrPort) (T, error),
) (T, netip.AddrPort, error) {
	var zero T
	address, ok := f.target()
	if !ok {
		return zero, address, ErrNoLeader
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	callCtx, cancelCall := context.WithCancelCause(callCtx)
	c := &pendingCall{address: address, cancel: cancelCall}
	reply, err := sendTracked(callCtx, f, c, send)
	// A call that was cancelled, by its caller or on a change of leader, gives no information about the
	// replica.
	moved := errors.Is(context.Cause(callCtx), errLeaderChanged)
	if !errors.Is(ctx.Err(), context.Canceled) && !moved {
		f.recordResult(address, err)
	}
	cancelCall(nil)
	if err != nil && moved {
		err = fmt.Errorf("%w: %w", errLeaderChanged, err)
	}
	return reply, address, err
}

// sendTracked sends a request once. A change of leader cancels it while it is in flight.
func sendTracked[T any](ctx context.Context, f *Forwarder, c *pendingCall, send func(context.Context, netip.AddrPort) (T, error)) (T, error) {
	f.mu.Lock()
	f.inFlight[c] = struct{}{}
	f.mu.Unlock()
	defer func() { // also if the local replica panics
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.inFlight, c)
	}()
	return send(ctx, c.address)
}

func (f *Forwarder) peer(address netip.AddrPort) messages.Peer {
	return messages.NewPeerProtobufClient(f.scheme+"://"+address.String(), f.client)
}

// isPermanent reports whether a retry would fail with the same error.
func isPermanent(err error) bool {
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

// Propose commits an event and returns the scheduler's reply.
func (f *Forwarder) Propose(ctx context.Context, e scheduler.Event) (scheduler.Reply, error) {
	var reply scheduler.Reply
	event, err := scheduler.Encode(time.Time{}, e)
	if err != nil {
		return reply, err
	}
	p := &messages.Proposal{Event: event}
	d, err := call(ctx, f, request{methodPropose, p, callTimeout}, func(ctx context.Context, a netip.AddrPort) (*messages.Decision, error) {
		return f.peer(a).Propose(ctx, p)
	})
	if err != nil {
		return reply, err
	}
	return reply, json.Unmarshal(d.GetBody(), &reply)
}

// Await returns a job as soon as it has its answer, or its current state after the wait.
func (f *Forwarder) Await(ctx context.Context, org, key string, wait time.Duration) (view scheduler.JobView, known bool, err error) {
	deadline := time.Now().Add(wait)
	r := request{methodAwait, &messages.Wait{Organisation: org, Key: key}, wait + callTimeout}
	d, err := call(ctx, f, r, func(ctx context.Context, a netip.AddrPort) (*messages.Decision, error) {
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

// Query returns a view of the leader's state as JSON.
func (f *Forwarder) Query(ctx context.Context, q *messages.Question) (json.RawMessage, error) {
	d, err := call(ctx, f, request{methodQuery, q, callTimeout}, func(ctx context.Context, a netip.AddrPort) (*messages.Decision, error) {
		return f.peer(a).Query(ctx, q)
	})
	return json.RawMessage(d.GetBody()), err
}

// Sync sends a heartbeat without retries and returns the leader's reply.
func (f *Forwarder) Sync(ctx context.Context, b *messages.Beat) (*messages.Orders, error) {
	orders, _, err := attempt(ctx, f, heartbeatTimeout, func(ctx context.Context, a netip.AddrPort) (*messages.Orders, error) {
		return f.peer(a).Sync(ctx, b)
	})
	return orders, err
}

const notLeaderMessage = "not the leader"

// NotLeader returns the error that redirects a caller to the leader. address may be empty.
func NotLeader(address string) error {
	err := twirp.NewError(twirp.Unavailable, notLeaderMessage)
	if address != "" {
		err = err.WithMeta(leaderMeta, address)
	}
	return err
}
