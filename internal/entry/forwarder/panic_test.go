package forwarder

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/entry/recoverer"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// panickingQueues panics on its first submission.
type panickingQueues struct {
	callStub
	calls atomic.Int32
}

func (q *panickingQueues) Submit(context.Context, *messages.Submission) (*messages.Verdict, error) {
	if q.calls.Add(1) == 1 {
		panic("no room")
	}
	return &messages.Verdict{Status: "ok"}, nil
}

// TestPanicOnKeeperLeavesOutcomeOpen guards against a call that is refused for good, or not sent again, after a panic on the
// keeper that may have come after the call took effect.
func TestPanicOnKeeperLeavesOutcomeOpen(t *testing.T) {
	for name, wrap := range map[string]func(http.Handler) http.Handler{
		"queues": func(queues http.Handler) http.Handler { return queues },
		"before": func(queues http.Handler) http.Handler {
			var calls atomic.Int32
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if calls.Add(1) == 1 {
					panic("no room")
				}
				queues.ServeHTTP(w, r)
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			recovering := recoverer.New(zap.NewNop(), tally.NoopScope)
			q := &panickingQueues{}
			s := httptest.NewUnstartedServer(recovering.Wrap(wrap(messages.NewQueuesServer(q)), recoverer.ReplyError))
			s.Config.Protocols, s.Config.ErrorLog = new(http.Protocols), recovering.ErrorLog("peers")
			s.Config.Protocols.SetUnencryptedHTTP2(true)
			s.Start()
			t.Cleanup(s.Close)
			f, lines, repeated := observed(netip.MustParseAddrPort(s.Listener.Addr().String()))
			f.client = &http.Client{Transport: &http.Transport{Protocols: s.Config.Protocols}}
			v, err := f.Submit(context.Background(), &messages.Submission{Path: "/q/a"})
			is.NoErr(err)
			is.Equal(v.GetStatus(), "ok")
			is.True(lines.FilterMessage("forwarded call is repeated").Len() > 0)
			is.True(repeated("repeated", methodSubmit) > 0)
		})
	}
}
