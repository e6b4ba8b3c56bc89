package drainer

import (
	"bufio"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// newBounded returns the addresses of two servers that share a bound.
func newBounded(t *testing.T, limit int, handler http.HandlerFunc) (addresses [2]string, logs *observer.ObservedLogs) {
	t.Helper()
	core, logs := observer.New(zapcore.InfoLevel)
	bound := NewBound(limit, zap.New(core))
	for i := range addresses {
		l, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
		is.New(t).NoErr(err)
		d := New(l, Options{
			Handler: handler, ReadHeaderTimeout: time.Second, Bound: bound, Fail: func(err error) { t.Error(err) }, Log: zap.New(core),
		})
		t.Cleanup(d.Kill)
		addresses[i] = l.Addr().String()
	}
	return addresses, logs
}

// client is a connection of a client.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address string) *client {
	t.Helper()
	c, err := net.Dial("tcp", address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	return &client{c, bufio.NewReader(c)}
}

// send sends a request and returns the status of its response and whether the connection ends with it.
func (c *client) send(text string) (status int, last bool, err error) {
	if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return 0, false, err
	}
	if _, err := io.WriteString(c, text); err != nil {
		return 0, false, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, false, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Close, errors.Join(err, response.Body.Close())
}

// TestSilentConnectionsMakeRoom guards against clients that wait for nothing: connections without a request took all
// descriptors of a process, and new ones stayed in the queue.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	is := is.New(t)
	addresses, logs := newBounded(t, 9, ok) // serves 8
	var silent []*client
	for i := range 8 {
		c := dial(t, addresses[i%2])
		status, _, err := c.send(request)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		silent = append(silent, c)
		time.Sleep(10 * time.Millisecond) // the server notes the end of a request after its response
	}
	time.Sleep(quietTime + 50*time.Millisecond)
	_, _, err := silent[0].send(request) // it is the last one now
	is.NoErr(err)
	for i := range 3 {
		status, _, err := dial(t, addresses[i%2]).send(request)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
	}
	time.Sleep(50 * time.Millisecond) // a request that arrives before the end of its connection is served
	for i, c := range silent {
		_, _, err := c.send(request)
		ended := i >= 1 && i <= 3
		is.Equal(err != nil, ended) // the longest silent
	}
	is.True(logs.FilterMessage("most connections are open").Len() > 0)
}

// TestManySilentConnectionsMakeRoom guards against the same with many more connections than the bound, opened at once.
func TestManySilentConnectionsMakeRoom(t *testing.T) {
	is := is.New(t)
	addresses, _ := newBounded(t, 30, ok)
	var last *client
	for range 150 {
		last = dial(t, addresses[0])
	}
	start := time.Now()
	status, _, err := last.send(request)
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	status, _, err = dial(t, addresses[1]).send(request)
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.True(time.Since(start) < 3*time.Second)
}

// TestRequestsAboveBoundAreRefused guards against requests that wait in the queue of the listener while all connections carry
// requests, and are lost with it.
func TestRequestsAboveBoundAreRefused(t *testing.T) {
	is := is.New(t)
	hold, started := make(chan struct{}), make(chan struct{}, 8)
	addresses, _ := newBounded(t, 9, func(http.ResponseWriter, *http.Request) {
		started <- struct{}{}
		<-hold
	})
	var wait sync.WaitGroup
	for i := range 8 {
		c := dial(t, addresses[i%2])
		wait.Go(func() {
			if status, _, err := c.send(request); err != nil || status != http.StatusOK {
				t.Error(status, err)
			}
		})
	}
	for range 8 {
		<-started
	}
	const body = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}"
	for i := range 40 {
		text := request
		if i%2 > 0 {
			text = body
		}
		start := time.Now()
		status, last, err := dial(t, addresses[i/2%2]).send(text)
		is.NoErr(err)
		is.Equal(status, http.StatusServiceUnavailable)
		is.True(last)
		is.True(time.Since(start) < time.Second)
	}
	close(hold)
	wait.Wait()
}

// TestBoundLosesNoRequest guards against connections that are ended for new ones with a request that has arrived: clients
// beyond the bound keep their connections and send again after a pause.
func TestBoundLosesNoRequest(t *testing.T) {
	is := is.New(t)
	var served, answered atomic.Int64
	addresses, logs := newBounded(t, 20, func(http.ResponseWriter, *http.Request) {
		served.Add(1)
		time.Sleep(time.Millisecond)
	})
	var wait sync.WaitGroup
	end := time.Now().Add(3 * time.Second)
	for i := range 40 {
		wait.Go(func() {
			for time.Now().Before(end) {
				c := dial(t, addresses[i%2])
				status, last, err := c.send(request)
				if err != nil || status != http.StatusOK && status != http.StatusServiceUnavailable {
					t.Error("first request of a connection:", status, err)
				}
				for err == nil {
					if status == http.StatusOK {
						answered.Add(1)
					}
					time.Sleep(rand.N(2 * quietTime))
					if last || time.Now().After(end) {
						break
					}
					status, last, err = c.send(request)
				}
				_ = c.Close()
			}
		})
	}
	wait.Wait()
	t.Logf("%d served, %d answered", served.Load(), answered.Load())
	is.Equal(served.Load(), answered.Load())
	is.Equal(logs.FilterMessage("connection ends with an unanswered request").Len(), 0)
}

// TestIdleTimeoutLosesNoRequest guards against connections that are closed for their idle time with a request that has just
// arrived: the reader's deadline passes while the request is on its way.
func TestIdleTimeoutLosesNoRequest(t *testing.T) {
	is := is.New(t)
	const idleTime = 20 * time.Millisecond
	core, logs := observer.New(zapcore.InfoLevel)
	var served, answered atomic.Int64
	l, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	is.NoErr(err)
	d := New(l, Options{
		Handler:           http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) }),
		ReadHeaderTimeout: time.Second, IdleTimeout: idleTime, Fail: func(err error) { t.Error(err) }, Log: zap.New(core),
	})
	t.Cleanup(d.Kill)
	var wait sync.WaitGroup
	end := time.Now().Add(2 * time.Second)
	for range 20 {
		wait.Go(func() {
			for time.Now().Before(end) {
				c := dial(t, l.Addr().String())
				for {
					if _, _, err := c.send(request); err != nil {
						break
					}
					answered.Add(1)
					time.Sleep(idleTime - time.Millisecond + rand.N(2*time.Millisecond))
				}
				_ = c.Close()
			}
		})
	}
	wait.Wait()
	t.Logf("%d served, %d answered", served.Load(), answered.Load())
	is.Equal(served.Load(), answered.Load())
	is.Equal(logs.FilterMessage("connection ends with an unanswered request").Len(), 0)
}

// TestMaxConnectionsLeavesDescriptors checks that descriptors are left for other daemons and files.
func TestMaxConnectionsLeavesDescriptors(t *testing.T) {
	is := is.New(t)
	is.Equal(MaxConnections(4100), 3310)
	is.Equal(MaxConnections(60), 33)
	is.Equal(MaxConnections(0), 1)
}

// TestBoundOfLargeFleet guards against a leader that ends the connections of its workers in turn: with 4096 descriptors
// it served 2557 connections, and each of 3000 workers holds one for its reports, beside callers.
func TestBoundOfLargeFleet(t *testing.T) {
	is := is.New(t)
	const workers, daemons, callers = 3000, 300, 100
	limit := MaxConnections(4096)
	is.True(NewBound(limit, zap.NewNop()).most >= workers+callers)
	is.True(4096-fileDescriptors-limit >= daemons)
}
