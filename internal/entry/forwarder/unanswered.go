package forwarder

import (
	"context"
	"errors"
	"net/netip"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// Methods of the services whose calls are forwarded for a caller or an operator.
const (
	methodSubmit      = "Submit"
	methodCancel      = "Cancel"
	methodLook        = "Look"
	methodInstall     = "Install"
	methodFetch       = "Fetch"
	methodEvacuate    = "Evacuate"
	methodEvacuations = "Evacuations"
	methodExplain     = "Explain"
	methodPropose     = "Propose"
	methodAwait       = "Await"
	methodQuery       = "Query"
)

// maxRepeatLines bounds the lines about repetitions of one call.
const maxRepeatLines = 5

// callMetrics are the counters of forwarded calls of one method.
type callMetrics struct {
	repeated tally.Counter // attempts with an open outcome that were repeated
	givenUp  tally.Counter // calls that ended without a reply of the leader
}

func newMetrics(scope tally.Scope) map[string]callMetrics {
	m := map[string]callMetrics{}
	for _, method := range []string{
		methodSubmit, methodCancel, methodLook, methodInstall, methodFetch, methodEvacuate, methodEvacuations, methodExplain, methodPropose, methodAwait, methodQuery,
	} {
		tagged := scope.Tagged(map[string]string{"call": method})
		m[method] = callMetrics{repeated: tagged.Counter("repeated"), givenUp: tagged.Counter("given_up")}
	}
	return m
}

// request describes a call that is forwarded.
type request struct {
	method  string
	message proto.Message
	timeout time.Duration // of an attempt
}

// failedAttempt is an attempt of a call that ended without a reply of the leader.
type failedAttempt struct {
	number int // from 1
	keeper netip.AddrPort
	took   time.Duration
	err    error
}

// recordRepeat counts an attempt that is repeated and may have had an effect, and logs it if there are fewer than
// maxRepeatLines about the call. It returns the number of lines.
func (f *Forwarder) recordRepeat(r request, a failedAttempt, lines int) int {
	if !isOutcomeOpen(a.err) {
		return lines
	}
	f.metrics[r.method].repeated.Inc(1)
	if lines == maxRepeatLines {
		return lines
	}
	f.logAttempt("forwarded call is repeated", r, a)
	return lines + 1
}

// recordGivenUp counts and logs a call whose context has ended.
func (f *Forwarder) recordGivenUp(ctx context.Context, r request, a failedAttempt) {
	f.metrics[r.method].givenUp.Inc(1)
	f.logAttempt("forwarded call is given up", r, a, zap.NamedError("ended", context.Cause(ctx)))
}

func (f *Forwarder) logAttempt(message string, r request, a failedAttempt, fields ...zap.Field) {
	f.log.Warn(message, append(fields, zap.String("call", r.method), zap.String("path", requestPath(r.message)),
		zap.Stringer("keeper", a.keeper), zap.Int("attempt", a.number), zap.Duration("took", a.took), zap.Error(a.err))...)
}

// isOutcomeOpen reports whether a failed call may have had an effect. It had none if nothing was sent, or if the replica
// replied that it is not the leader.
func isOutcomeOpen(err error) bool {
	var te twirp.Error
	if errors.As(err, &te) && te.Code() == twirp.Unavailable && te.Msg() == notLeaderMessage {
		return false
	}
	return !errors.Is(err, ErrNoLeader)
}

// requestPath returns what a request is about: the path of the call for queues, otherwise the organisation and key of the
// job, the version of the catalog, or the kind of the query.
func requestPath(m any) string {
	switch m := m.(type) {
	case *messages.Submission:
		return m.GetPath()
	case *messages.Lookup:
		return m.GetPath()
	case *messages.Catalog:
		return strconv.FormatUint(m.GetVersion(), 10)
	case *messages.EvacuationOrder:
		return m.GetPlace()
	case *messages.Wait:
		return m.GetOrganisation() + "/" + m.GetKey()
	case *messages.Question:
		return m.GetKind()
	case *messages.Proposal:
		if _, event, err := scheduler.Decode(m.GetEvent()); err == nil {
			return eventPath(event)
		}
	}
	return ""
}

func eventPath(event scheduler.Event) string {
	switch e := event.(type) {
	case scheduler.Submit:
		return e.Org + "/" + e.Key
	case scheduler.Cancel:
		return e.Org
	}
	return ""
}

// servedCall is a forwarded call that a replica handles.
type servedCall struct {
	start    time.Time
	path     string
	outcome  string // status of the verdict, "" if there is none
	err      error  // of the handler, or of the write of its reply
	prepared bool   // the handler has returned a reply
	unsent   bool   // the reply could not be written
}

type servedCallKey struct{}

// UnansweredLog returns options for the servers of Peer and Queues that log the calls of callers and operators whose
// connection ended before the reply was written.
func UnansweredLog(log *zap.Logger) []any {
	hooks := &twirp.ServerHooks{
		RequestRouted: func(ctx context.Context) (context.Context, error) {
			if method, _ := twirp.MethodName(ctx); !isForwarded(method) {
				return ctx, nil
			}
			return context.WithValue(ctx, servedCallKey{}, &servedCall{start: time.Now()}), nil
		},
		ResponsePrepared: func(ctx context.Context) context.Context {
			if c := servedCallOf(ctx); c != nil {
				c.prepared = true
			}
			return ctx
		},
		Error: func(ctx context.Context, err twirp.Error) context.Context {
			if c := servedCallOf(ctx); c != nil {
				c.err, c.unsent = err, c.prepared
			}
			return ctx
		},
		ResponseSent: func(ctx context.Context) { logUnanswered(ctx, log) },
	}
	return []any{twirp.WithServerHooks(hooks), twirp.WithServerInterceptors(observeCall)}
}

// observeCall records the request and the outcome of a call.
func observeCall(next twirp.Method) twirp.Method {
	return func(ctx context.Context, request any) (any, error) {
		reply, err := next(ctx, request)
		if c := servedCallOf(ctx); c != nil {
			c.path = requestPath(request)
			if r, ok := reply.(interface{ GetStatus() string }); ok {
				c.outcome = r.GetStatus()
			}
		}
		return reply, err
	}
}

func logUnanswered(ctx context.Context, log *zap.Logger) {
	c := servedCallOf(ctx)
	if c == nil || ctx.Err() == nil && !c.unsent {
		return
	}
	method, _ := twirp.MethodName(ctx)
	log.Warn("forwarded call ended before its reply", zap.String("call", method), zap.String("path", c.path),
		zap.Duration("took", time.Since(c.start)), zap.String("outcome", c.outcome), zap.NamedError("ended", context.Cause(ctx)), zap.Error(c.err))
}

func servedCallOf(ctx context.Context) *servedCall {
	c, _ := ctx.Value(servedCallKey{}).(*servedCall)
	return c
}

// isForwarded reports whether a method is called for a caller or an operator, unlike heartbeats, workers' reports and
// messages of the consensus protocol.
func isForwarded(method string) bool {
	switch method {
	case methodSubmit, methodCancel, methodLook, methodInstall, methodFetch, methodEvacuate, methodEvacuations, methodExplain, methodPropose, methodAwait, methodQuery:
		return true
	}
	return false
}
