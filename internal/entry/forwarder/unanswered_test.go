package forwarder

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// cutServer serves a stub, but closes the connections of the first calls without a reply.
func cutServer(t *testing.T, k messages.Queues, cuts int32) netip.AddrPort {
	t.Helper()
	var calls atomic.Int32
	queues := messages.NewQueuesServer(k)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) <= cuts {
			panic(http.ErrAbortHandler)
		}
		queues.ServeHTTP(w, r)
	}))
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

// observed returns a forwarder with its log lines and a function that returns the value of a counter.
func observed(keepers ...netip.AddrPort) (*Forwarder, *observer.ObservedLogs, func(name, method string) int64) {
	core, lines := observer.New(zap.InfoLevel)
	scope := tally.NewTestScope("", nil)
	f := New("http", http.DefaultClient, fixedDirectory(keepers), scope, zap.New(core))
	return f, lines, func(name, method string) int64 {
		if c := scope.Snapshot().Counters()[name+"+call="+method]; c != nil {
			return c.Value()
		}
		return 0
	}
}

// TestRepeatedCallIsLogged guards against a call that runs twice, or whose first outcome is unknown, and nothing in the
// logs of the entry says that it was sent again.
func TestRepeatedCallIsLogged(t *testing.T) {
	is := is.New(t)
	keeper := cutServer(t, &callStub{}, 1)
	f, lines, counter := observed(keeper)
	v, err := f.Submit(context.Background(), &messages.Submission{Path: "/q/a", Key: "secret"})
	is.NoErr(err)
	is.Equal(v.GetStatus(), "ok")
	list := lines.All()
	is.Equal(len(list), 1)
	is.Equal(list[0].Message, "forwarded call is repeated")
	fields := list[0].ContextMap()
	is.True(fields["took"].(time.Duration) > 0)
	is.True(fields["error"] != "")
	delete(fields, "took")
	delete(fields, "error")
	is.Equal(fields, map[string]any{"call": "Submit", "path": "/q/a", "keeper": keeper.String(), "attempt": int64(1)})
	is.Equal(counter("repeated", "Submit"), int64(1))
	is.Equal(counter("given_up", "Submit"), int64(0))
}

// TestGivenUpCallIsLogged guards against a request without an answer of which the entry does not say where it was sent, and
// against more than a few lines about one call.
func TestGivenUpCallIsLogged(t *testing.T) {
	is := is.New(t)
	keeper := cutServer(t, &callStub{}, 1000)
	f, lines, counter := observed(keeper)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err := f.Cancel(ctx, &messages.Lookup{Path: "/q/a"})
	is.True(err != nil)
	repeats := counter("repeated", "Cancel")
	is.True(repeats > maxRepeatLines)
	is.Equal(lines.FilterMessage("forwarded call is repeated").Len(), maxRepeatLines)
	is.Equal(counter("given_up", "Cancel"), int64(1))
}

// TestCancelledCallIsLogged covers a call whose caller is gone while the keeper handles it.
func TestCancelledCallIsLogged(t *testing.T) {
	is := is.New(t)
	k := &callStub{received: make(chan struct{}, 1)}
	keeper := cutServer(t, k, 0)
	f, lines, counter := observed(keeper)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-k.received
		cancel()
	}()
	_, err := f.Submit(ctx, &messages.Submission{Path: "/q/a"})
	is.True(err != nil)
	list := lines.All()
	is.Equal(len(list), 1)
	is.Equal(list[0].Message, "forwarded call is given up")
	fields := list[0].ContextMap()
	is.Equal(fields["path"], "/q/a")
	is.Equal(fields["keeper"], keeper.String())
	is.Equal(fields["attempt"], int64(1))
	is.Equal(fields["ended"], context.Canceled.Error())
	is.Equal(counter("given_up", "Submit"), int64(1))
}

// TestUnsentCallsAreNotLogged guards against floods of lines: redirects, answered calls and workers' reports, which are
// many, write none.
func TestUnsentCallsAreNotLogged(t *testing.T) {
	is := is.New(t)
	leader := serveStub(t, &keeperStub{})
	former := serveStub(t, &keeperStub{leader: leader})
	f, lines, counter := observed(former)
	_, err := f.Fetch(context.Background())
	is.NoErr(err)
	is.Equal(counter("repeated", "Fetch"), int64(0))
	f, reportLines, _ := observed(cutServer(t, &callStub{}, 1000))
	_, err = f.Report(context.Background(), &messages.FleetReport{})
	is.True(err != nil)
	is.Equal(lines.Len()+reportLines.Len(), 0)
}

// callStub answers calls like a leader. If received is not nil, it reports each call there and answers only once the
// connection has ended.
type callStub struct {
	messages.Queues
	received chan struct{}
	ended    chan struct{} // closed at the end of a report
	verdict  error         // returned instead of a verdict
}

func (k *callStub) wait(ctx context.Context) {
	if k.received != nil {
		k.received <- struct{}{}
		<-ctx.Done()
	}
}

func (k *callStub) Submit(ctx context.Context, _ *messages.Submission) (*messages.Verdict, error) {
	k.wait(ctx)
	if k.verdict != nil {
		return nil, k.verdict
	}
	return &messages.Verdict{Status: "ok"}, nil
}

func (k *callStub) Report(ctx context.Context, _ *messages.FleetReport) (*messages.FleetOrders, error) {
	defer close(k.ended)
	k.wait(ctx)
	return &messages.FleetOrders{}, nil
}

// serveLogged serves a stub as a replica does, over HTTP/2 or HTTP/1.1, and returns its lines and a client.
func serveLogged(t *testing.T, k *callStub, version2 bool) (messages.Queues, *observer.ObservedLogs) {
	t.Helper()
	core, lines := observer.New(zap.InfoLevel)
	protocols := &http.Protocols{}
	protocols.SetHTTP1(!version2)
	protocols.SetUnencryptedHTTP2(version2)
	s := httptest.NewUnstartedServer(messages.NewQueuesServer(k, UnansweredLog(zap.New(core))...))
	s.Config.Protocols = protocols
	s.Start()
	transport := &http.Transport{Protocols: protocols}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		s.Close()
	})
	return messages.NewQueuesProtobufClient(s.URL, &http.Client{Transport: transport}), lines
}

// TestUnansweredCallIsLogged guards against a call that a keeper has carried out, or not, when the connection to the entry
// ends, and nothing in the logs of the keeper says so.
func TestUnansweredCallIsLogged(t *testing.T) {
	for _, c := range []struct {
		name     string
		version2 bool
		verdict  error
		outcome  string
	}{
		{name: "HTTP/2", version2: true, outcome: "ok"},
		{name: "HTTP/1.1", outcome: "ok"},
		{name: "error", version2: true, verdict: NotLeader("")},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			k := &callStub{received: make(chan struct{}, 1), verdict: c.verdict}
			client, lines := serveLogged(t, k, c.version2)
			ctx, cancel := context.WithCancel(context.Background())
			go func() {
				<-k.received
				cancel()
			}()
			_, err := client.Submit(ctx, &messages.Submission{Path: "/q/a", Key: "secret"})
			is.True(err != nil)
			for deadline := time.Now().Add(10 * time.Second); lines.Len() == 0 && time.Now().Before(deadline); {
				time.Sleep(time.Millisecond)
			}
			is.Equal(lines.Len(), 1)
			is.Equal(lines.All()[0].Message, "forwarded call ended before its reply")
			fields := lines.All()[0].ContextMap()
			is.True(fields["took"].(time.Duration) > 0)
			delete(fields, "took")
			want := map[string]any{"call": "Submit", "path": "/q/a", "outcome": c.outcome, "ended": context.Canceled.Error()}
			if c.verdict != nil {
				want["error"] = c.verdict.Error()
			}
			is.Equal(fields, want)
		})
	}
}

// TestAnsweredCallsWriteNoLine guards against floods of lines: answered calls and workers' reports, which are many and end
// with their workers, write none.
func TestAnsweredCallsWriteNoLine(t *testing.T) {
	is := is.New(t)
	for _, verdict := range []error{nil, NotLeader("")} {
		client, lines := serveLogged(t, &callStub{verdict: verdict}, true)
		_, err := client.Submit(context.Background(), &messages.Submission{})
		is.Equal(err != nil, verdict != nil)
		is.Equal(lines.Len(), 0)
	}
	k := &callStub{received: make(chan struct{}, 1), ended: make(chan struct{})}
	client, lines := serveLogged(t, k, true)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-k.received
		cancel()
	}()
	_, err := client.Report(ctx, &messages.FleetReport{})
	is.True(err != nil)
	<-k.ended
	is.Equal(lines.Len(), 0)
}

// brokenWriter refuses the reply of a call, as the connection ends with it.
type brokenWriter struct{ http.ResponseWriter }

func (brokenWriter) Write([]byte) (int, error) { return 0, net.ErrClosed }

// TestRefusedReplyIsLogged covers a connection that ends while the reply is written.
func TestRefusedReplyIsLogged(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zap.InfoLevel)
	queues := messages.NewQueuesServer(&callStub{}, UnansweredLog(zap.New(core))...)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { queues.ServeHTTP(brokenWriter{w}, r) }))
	defer s.Close()
	_, err := messages.NewQueuesProtobufClient(s.URL, http.DefaultClient).Submit(context.Background(), &messages.Submission{Path: "/q/a"})
	is.True(err != nil)
	is.Equal(lines.Len(), 1)
	fields := lines.All()[0].ContextMap()
	is.Equal(fields["outcome"], "ok")
	is.Equal(fields["ended"], nil)
	is.True(fields["error"] != nil)
}

// submitStub does not answer the first attempt of a submission in time.
type submitStub struct {
	messages.Queues
	repeated []bool  // of each attempt
	ages     []int64 // milliseconds, of each attempt
}

func (k *submitStub) Submit(ctx context.Context, s *messages.Submission) (*messages.Verdict, error) {
	k.repeated, k.ages = append(k.repeated, s.GetRepeated()), append(k.ages, s.GetAge())
	if len(k.repeated) == 1 {
		<-ctx.Done()
	}
	return &messages.Verdict{Status: "ok"}, nil
}

// TestRepeatedSubmissionIsMarked guards against a leader that refuses a repeated submission by a catalog that is later than
// its acceptance, as it can't tell it from another call.
func TestRepeatedSubmissionIsMarked(t *testing.T) {
	is := is.New(t)
	stub := &submitStub{}
	server := httptest.NewServer(messages.NewQueuesServer(stub))
	t.Cleanup(server.Close)
	f := New("http", http.DefaultClient, fixedDirectory{netip.MustParseAddrPort(server.Listener.Addr().String())}, tally.NoopScope, zap.NewNop())
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := f.Submit(ctx, &messages.Submission{Path: "/q/a"})
	is.NoErr(err)
	is.Equal(stub.repeated, []bool{false, true})
	is.True(stub.ages[1] >= callTimeout.Milliseconds()) // the first attempt was not answered in time
}
