package drainer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sys/unix"
)

const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

func newServer(t *testing.T, handler http.HandlerFunc) (*Drainer, string, *observer.ObservedLogs) {
	t.Helper()
	l, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	is.New(t).NoErr(err)
	core, logs := observer.New(zapcore.InfoLevel)
	d := New(l, Options{Handler: handler, ReadHeaderTimeout: time.Second, Fail: func(err error) { t.Error(err) }, Log: zap.New(core)})
	t.Cleanup(d.Kill)
	return d, l.Addr().String(), logs
}

func ok(http.ResponseWriter, *http.Request) {}

// TestStopEndsWithLastClient checks that a stop ends as soon as no connection is open, and that connections in the queue of
// the listener are served.
func TestStopEndsWithLastClient(t *testing.T) {
	is := is.New(t)
	d, address, _ := newServer(t, ok)
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	go func() {
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(c, request)
	}()
	start := time.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		Stop(start.Add(10*time.Second), start.Add(12*time.Second), d)
	}()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.True(response.Close) // the client was asked to leave
	is.NoErr(c.Close())
	<-done
	is.True(time.Since(start) < 5*time.Second)
}

// TestStopWaitsForAllServers guards against connections that are refused by a process that goes on to serve others: a server
// without a connection stopped to listen while another one of the process waited for its clients.
func TestStopWaitsForAllServers(t *testing.T) {
	is := is.New(t)
	first, address, _ := newServer(t, ok)
	second, other, _ := newServer(t, ok)
	c, err := net.Dial("tcp", other)
	is.NoErr(err)
	_, err = io.WriteString(c, request)
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil) // the connection is accepted
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	start := time.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		Stop(start.Add(5*time.Second), start.Add(6*time.Second), first, second)
	}()
	time.Sleep(300 * time.Millisecond)
	late, err := net.Dial("tcp", address)
	is.NoErr(err)
	is.NoErr(late.Close())
	is.NoErr(c.Close())
	<-done
}

// TestStopRefusesConnections checks that a server that stops accepts no connections once it refuses them, and that one that
// it has accepted keeps its time to send a request.
func TestStopRefusesConnections(t *testing.T) {
	is := is.New(t)
	d, address, _ := newServer(t, ok)
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	start := time.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		Stop(start, start.Add(2*time.Second), d)
	}()
	time.Sleep(400 * time.Millisecond)
	_, err = net.DialTimeout("tcp", address, 200*time.Millisecond)
	is.True(err != nil)
	_, err = io.WriteString(c, request)
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	<-done
	is.NoErr(c.Close())
}

// TestRefusedConnectsLeaveNoQueue guards against connections that are reset between the last accept and the end of listening:
// while the kernel refuses new ones, none is queued.
func TestRefusedConnectsLeaveNoQueue(t *testing.T) {
	is := is.New(t)
	l, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	is.NoErr(err)
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // closed at the end of the test
			}
			accepted <- c
		}
	}()
	before, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	is.NoErr(refuseConnects(l))
	_, err = net.DialTimeout("tcp", l.Addr().String(), 300*time.Millisecond)
	is.True(err != nil)
	_, err = io.WriteString(before, "x") // a connection from before goes on
	is.NoErr(err)
	c := <-accepted
	_, err = c.Read(make([]byte, 1))
	is.NoErr(err)
	is.Equal(len(accepted), 0)
	is.NoErr(errors.Join(c.Close(), before.Close(), l.Close()))
}

// TestStopCancelsRequests checks that requests in progress learn of the end of a stop in time for a response.
func TestStopCancelsRequests(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{})
	d, address, logs := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		if errors.Is(context.Cause(r.Context()), ErrStopping) {
			w.WriteHeader(http.StatusBadGateway)
		}
	})
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	_, err = io.WriteString(c, request)
	is.NoErr(err)
	<-started
	go Stop(time.Now(), time.Now().Add(time.Second), d)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusBadGateway)
	is.Equal(logs.FilterMessage("connection ends with an unanswered request").Len(), 0)
	is.NoErr(c.Close())
}

// TestStopWaitsForLateAnswers guards against a request that is cut at the end of a stop while its handler, which has been
// cancelled, writes the response: on a busy machine that may take longer than abortTime.
func TestStopWaitsForLateAnswers(t *testing.T) {
	is := is.New(t)
	begun := make(chan struct{})
	d, address, logs := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
		time.Sleep(abortTime + overtime/2)
		w.WriteHeader(http.StatusBadGateway)
	})
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, request)
	is.NoErr(err)
	<-begun
	end := time.Now().Add(RefuseTime)
	go Stop(time.Now(), end, d)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	is.Equal(response.StatusCode, http.StatusBadGateway)
	is.Equal(logs.FilterMessage("connection ends with an unanswered request").Len(), 0)
}

// TestStopLeavesSilentHandlers guards against a stop that waits without end for a handler that ignores its cancellation.
func TestStopLeavesSilentHandlers(t *testing.T) {
	is := is.New(t)
	begun, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	d, address, _ := newServer(t, func(http.ResponseWriter, *http.Request) {
		close(begun)
		<-release
	})
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, request)
	is.NoErr(err)
	<-begun
	end := time.Now().Add(RefuseTime)
	Stop(time.Now(), end, d)
	is.True(time.Since(end) >= overtime)
	is.True(time.Since(end) < overtime+time.Second)
}

// TestUnansweredRequestIsLogged checks that a connection that ends with a request in progress is logged with the request.
func TestUnansweredRequestIsLogged(t *testing.T) {
	is := is.New(t)
	started, hold := make(chan struct{}), make(chan struct{})
	d, address, logs := newServer(t, func(http.ResponseWriter, *http.Request) {
		close(started)
		<-hold
	})
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	_, err = io.WriteString(c, request)
	is.NoErr(err)
	<-started
	d.Kill()
	close(hold)
	entries := logs.FilterMessage("connection ends with an unanswered request").All()
	is.Equal(len(entries), 1)
	is.Equal(entries[0].ContextMap()["path"], "/")
	is.Equal(entries[0].ContextMap()["read"], true)
	is.NoErr(c.Close())
}

// useDescriptors leaves the process without a free descriptor, and returns a function that restores its limit.
func useDescriptors(t *testing.T) (release func()) {
	t.Helper()
	is := is.New(t)
	var before unix.Rlimit
	is.NoErr(unix.Getrlimit(unix.RLIMIT_NOFILE, &before))
	first, err := unix.Dup(0)
	is.NoErr(err)
	is.NoErr(unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(first) + 1, Max: before.Max}))
	held := []int{first}
	for n, err := unix.Dup(0); err == nil; n, err = unix.Dup(0) {
		held = append(held, n)
	}
	return sync.OnceFunc(func() {
		for _, n := range held {
			is.NoErr(unix.Close(n))
		}
		is.NoErr(unix.Setrlimit(unix.RLIMIT_NOFILE, &before))
	})
}

// TestAcceptErrorsAreLogged guards against clients that wait for a process without free descriptors, and nothing in its log or
// its metrics says so.
func TestAcceptErrorsAreLogged(t *testing.T) {
	is := is.New(t)
	d, address, logs := newServer(t, ok)
	client, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	is.NoErr(err)
	defer func() { is.NoErr(unix.Close(client)) }()
	release := useDescriptors(t)
	defer release()
	at := netip.MustParseAddrPort(address)
	is.NoErr(unix.Connect(client, &unix.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()})) // waits in the queue
	for logs.FilterMessage("connection not accepted").Len() == 0 {
		time.Sleep(time.Millisecond)
	}
	fields := logs.FilterMessage("connection not accepted").All()[0].ContextMap()
	is.Equal(fields["address"], address)
	is.Equal(fields["errors"], int64(1))
	is.True(strings.Contains(fields["error"].(string), "too many open files"))
	release()
	for d.open() == 0 { // it is accepted now
		time.Sleep(time.Millisecond)
	}
	is.True(logs.FilterMessage("connection not accepted").Len() < 3)
}

// TestCutRequestsAreDistinguished guards against requests that are cut without a line in the log, or with one that does not
// tell a slow client from a stop: a response that was written in part only was not logged.
func TestCutRequestsAreDistinguished(t *testing.T) {
	const post = "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab"
	for _, test := range []struct {
		name     string
		sent     []string
		leave    bool // the client leaves before the server ends
		expected map[string]any
	}{
		{"header in part", []string{request[:9]}, false, map[string]any{"read": false, "body": false, "unread": false, "stage": "closing"}},
		{"header in part, client leaves", []string{request[:9]}, true, map[string]any{"read": false, "ended": "EOF", "stage": "serving"}},
		{"body in part", []string{post}, false, map[string]any{"path": "/p", "read": true, "body": false, "written": int64(0)}},
		{"second request in part", []string{request, post}, false, map[string]any{"path": "/p", "read": true, "body": false, "ended": nil}},
		{"response in part", []string{request}, false, map[string]any{"path": "/", "read": true, "body": true, "stage": "closing"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d, address, logs := newServer(t, func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.ReadAll(r.Body); err == nil && test.name == "response in part" {
					_, _ = w.Write(make([]byte, 64<<20)) // more than the socket holds
				}
			})
			c, err := net.Dial("tcp", address)
			is.NoErr(err)
			for _, text := range test.sent {
				_, err = io.WriteString(c, text)
				is.NoErr(err)
				time.Sleep(100 * time.Millisecond)
			}
			if test.name == "response in part" {
				_, err := io.ReadFull(c, make([]byte, 1)) // it has begun
				is.NoErr(err)
				time.Sleep(100 * time.Millisecond)
			}
			if test.leave {
				is.NoErr(c.Close())
				time.Sleep(100 * time.Millisecond)
			}
			d.Kill()
			entries := logs.FilterMessage("connection ends with an unanswered request").All()
			is.Equal(len(entries), 1)
			fields := entries[0].ContextMap()
			for name, value := range test.expected {
				is.Equal(fields[name], value)
			}
			if test.name == "response in part" {
				is.True(fields["written"].(int64) > 0)
			}
			_ = c.Close() // it may have been closed
		})
	}
}

// TestLargeHeader guards against a process that is killed for its memory: each connection could hold 1 MiB of a header. A longer one
// than allowed is answered before it is read.
func TestLargeHeader(t *testing.T) {
	is := is.New(t)
	_, address, _ := newServer(t, ok)
	for size, want := range map[int]int{8 << 10: http.StatusOK, 64 << 10: http.StatusRequestHeaderFieldsTooLarge} {
		r, err := http.NewRequest(http.MethodGet, "http://"+address, nil)
		is.NoErr(err)
		r.Header.Set("X-Text", strings.Repeat("x", size))
		response, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(response.StatusCode, want)
	}
	http.DefaultClient.CloseIdleConnections()
}

// TestStopEndsPipelining guards against a client that is never told to close its connection, as it always has another request
// on the way, and is cut at the end of the stop.
func TestStopEndsPipelining(t *testing.T) {
	is := is.New(t)
	d, address, _ := newServer(t, func(http.ResponseWriter, *http.Request) { time.Sleep(5 * time.Millisecond) })
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, strings.Repeat(request, 4))
	is.NoErr(err)
	told := make(chan bool, 1)
	go func() {
		reader := bufio.NewReader(c)
		for {
			response, err := http.ReadResponse(reader, nil)
			if err != nil || response.Close {
				told <- err == nil
				return
			}
			_ = response.Body.Close() // empty
			_, _ = io.WriteString(c, request)
		}
	}()
	start := time.Now()
	Stop(start.Add(300*time.Millisecond), start.Add(time.Second), d)
	is.True(<-told)
}

// TestUnreadBodyDelaysNoResponse guards against a request without an answer: its handler does not read the body, of which the
// client sends a part only.
func TestUnreadBodyDelaysNoResponse(t *testing.T) {
	for _, target := range []string{"DELETE /", "OPTIONS *"} {
		t.Run(target, func(t *testing.T) {
			is := is.New(t)
			_, address, _ := newServer(t, ok)
			c, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer func() { _ = c.Close() }()
			_, err = io.WriteString(c, target+" HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n{}")
			is.NoErr(err)
			is.NoErr(c.SetReadDeadline(time.Now().Add(5 * time.Second)))
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			is.NoErr(response.Body.Close())
		})
	}
}

// TestLinesBehindBody guards against a connection that counts as busy until the end of a stop: the client has sent a line end
// behind a body.
func TestLinesBehindBody(t *testing.T) {
	is := is.New(t)
	d, address, logs := newServer(t, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.ReadAll(r.Body) })
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}\r\n")
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	start := time.Now()
	Stop(start.Add(100*time.Millisecond), start.Add(2*time.Second), d)
	is.True(time.Since(start) < 1900*time.Millisecond)
	is.Equal(logs.FilterMessage("connection ends with an unanswered request").Len(), 0)
}
