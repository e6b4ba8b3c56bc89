// Package drainer serves HTTP and stops without leaving a request unanswered: it tells clients to close their
// connections, answers what they have sent until then, and closes only connections that carry no request.
package drainer

import (
	"context"
	"crypto/tls"
	"errors"
	"log"
	"math"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

const (
	// RefuseTime is the time before the end of a stop at which a server should refuse connections, so that the requests of
	// those that it has accepted are answered.
	RefuseTime = 600 * time.Millisecond
	// retireTime is the time before the end of a stop from which connections without a request are closed.
	retireTime = 500 * time.Millisecond
	// abortTime is the time before the end of a stop at which the contexts of the requests in progress are cancelled, so
	// that they are still answered.
	abortTime = 200 * time.Millisecond
	// overtime is the time after the end of a stop for which it waits for the answers to requests that have been cancelled, as
	// their handlers may be late on a busy machine.
	overtime = 300 * time.Millisecond
	// quietTime is the time without a request after which a connection may be closed.
	quietTime = 200 * time.Millisecond
	// handshakeTime is the time for handshakes in progress to complete before a listener is closed.
	handshakeTime = 100 * time.Millisecond
	pollInterval  = 10 * time.Millisecond
	// unreadBodyTime is the time for the rest of a body to arrive that no handler reads.
	unreadBodyTime = time.Second
	// acceptLogInterval is the least time between lines about connections that could not be accepted.
	acceptLogInterval = time.Second
	// maxHeaderBytes bounds the memory of requests that are not read yet.
	maxHeaderBytes = 16 << 10
)

// ErrStopping is the cause by which the contexts of requests in progress end shortly before the end of a stop.
var ErrStopping = errors.New("the server stops")

// Options are the dependencies of a server.
type Options struct {
	Handler           http.Handler
	ReadHeaderTimeout time.Duration
	IdleTimeout       time.Duration // of connections without a request, 0 for no limit
	TLS               *tls.Config   // nil for plain connections
	// Bound is shared by all servers of a process, nil for no limit.
	Bound *Bound
	// Refuse responds to the requests on connections above the bound, which are not served; nil responds with status 503.
	Refuse http.HandlerFunc
	// Fail receives the error that ends the server, unless it was stopped.
	Fail func(error)
	// ErrorLog receives what the HTTP server reports; nil is the standard logger.
	ErrorLog *log.Logger
	Metrics  tally.Scope // nil for none
	Log      *zap.Logger
}

// Drainer is a running HTTP server.
type Drainer struct {
	opts     Options
	server   *http.Server
	listener *net.TCPListener
	abort    context.CancelCauseFunc
	stage    atomic.Int32 // a stage
	stopping atomic.Bool
	served   chan struct{} // closed once no connection is accepted any more

	acceptErrors tally.Counter
	openConns    tally.Gauge

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New starts a server on a listener of Listen, which it closes on Stop and Kill.
func New(listener *net.TCPListener, opts Options) *Drainer {
	ctx, abort := context.WithCancelCause(context.Background())
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	if opts.Bound == nil {
		opts.Bound = NewBound(math.MaxInt32, opts.Log)
	}
	if opts.Refuse == nil {
		opts.Refuse = refuse
	}
	d := &Drainer{
		opts: opts, listener: listener, abort: abort, served: make(chan struct{}), conns: map[*conn]struct{}{},
		acceptErrors: opts.Metrics.Counter("accept_errors"), openConns: opts.Metrics.Gauge("connections"),
	}
	d.server = &http.Server{
		Handler: http.HandlerFunc(d.serveHTTP), ReadHeaderTimeout: opts.ReadHeaderTimeout, IdleTimeout: opts.IdleTimeout, ErrorLog: opts.ErrorLog,
		MaxHeaderBytes: maxHeaderBytes, DisableGeneralOptionsHandler: true, // which would read a body beside the handler
		BaseContext: func(net.Listener) context.Context { return ctx },
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, unwrap(c))
		},
		ConnState: setState,
	}
	var accepting net.Listener = Tolerant{&acceptor{Drainer: d}}
	if opts.TLS != nil {
		accepting = tls.NewListener(accepting, opts.TLS)
	}
	go func() {
		defer close(d.served)
		if err := d.server.Serve(accepting); !d.stopping.Load() {
			opts.Fail(err)
		}
	}()
	return d
}

// connKey is the key of a request's *conn in its context.
type connKey struct{}

func (d *Drainer) serveHTTP(w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(connKey{}).(*conn)
	r = c.begin(r)
	defer c.finish()
	served := d.opts.Bound.serves(c)
	if c.endsWithResponse() || !served {
		w.Header().Set("Connection", "close")
	}
	if served {
		d.opts.Handler.ServeHTTP(w, r)
	} else {
		d.opts.Refuse(w, r)
	}
	if c.hasUnreadBody(r) {
		// net/http reads the rest before it responds. Only connections that were hijacked have no deadlines.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTime))
	}
}

func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Retry-After", "1")
	http.Error(w, "too many connections", http.StatusServiceUnavailable)
}

// Drain ends each connection with its next response, or where further requests have arrived, with the last one. It does not block.
func (d *Drainer) Drain() { d.enter(draining) }

// Stop drains the servers of a process and returns once all clients have left, at the latest at end, or overtime later while
// a connection carries a request. From refuse on, or once no
// connection is open at any of them, no connection is accepted. Shortly before end the connections without a request are
// closed, and then the contexts of requests that are still in progress are cancelled with ErrStopping, so that they are
// answered.
func Stop(refuse, end time.Time, servers ...*Drainer) {
	isOpen := func(d *Drainer) bool { return d.open() > 0 }
	for _, d := range servers {
		d.Drain()
	}
	for slices.ContainsFunc(servers, isOpen) && time.Now().Before(refuse) {
		time.Sleep(pollInterval)
	}
	refuseAll(servers)
	for _, d := range servers {
		timer := time.AfterFunc(time.Until(end.Add(-abortTime)), func() {
			d.enter(aborting)
			d.abort(ErrStopping)
		})
		defer timer.Stop()
	}
	for _, d := range servers {
		d.stopListening() // may wait for the pause of net/http after an error of accept
	}
	for slices.ContainsFunc(servers, isOpen) && time.Now().Before(end) {
		if time.Until(end) <= retireTime {
			for _, d := range servers {
				d.retire()
			}
		}
		time.Sleep(pollInterval)
	}
	for slices.ContainsFunc(servers, (*Drainer).carriesRequests) && time.Now().Before(end.Add(overtime)) {
		time.Sleep(pollInterval)
	}
	for _, d := range servers {
		d.Kill()
	}
}

// carriesRequests reports whether a connection carries a request.
func (d *Drainer) carriesRequests() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		if c.carriesRequest() {
			return true
		}
	}
	return false
}

// Kill closes all connections at once.
func (d *Drainer) Kill() {
	d.enter(closing)
	d.stopping.Store(true)
	_ = d.server.Close() // connections still open are dropped
	_ = d.listener.Close()
	<-d.served
	d.abort(ErrStopping)
}

func (d *Drainer) open() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.conns)
}

// retire ends the connections that carry no request.
func (d *Drainer) retire() {
	d.enter(retiring)
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		c.retire()
	}
}

// refuseAll makes the kernel refuse new connections, where it can, and gives handshakes in progress time to complete.
func refuseAll(servers []*Drainer) {
	var errs []error
	for _, d := range servers {
		d.enter(refusing)
		errs = append(errs, refuseConnects(d.listener))
	}
	if err := errors.Join(errs...); err != nil {
		servers[0].opts.Log.Info("connections are refused without a filter", zap.Error(err))
		return
	}
	time.Sleep(handshakeTime)
}

// stopListening returns once no connection is accepted any more.
func (d *Drainer) stopListening() {
	d.stopping.Store(true)
	_ = d.listener.SetDeadline(time.Unix(1, 0)) // wakes Accept; fails only on a closed listener
	<-d.served
	_ = d.listener.Close() // it listens no more
}

// acceptor accepts the connections of a server.
type acceptor struct {
	*Drainer
	stopped bool           // the socket does not listen any more
	queued  []*net.TCPConn // accepted before that
	errors  int            // connections that could not be accepted
	logged  time.Time      // time of the last line about them
}

// Accept implements net.Listener.
func (a *acceptor) Accept() (net.Conn, error) {
	t, err := a.accept()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	c := &conn{TCPConn: t, drainer: a.Drainer, opened: now, quietSince: now}
	a.opts.Bound.admit(c)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conns[c] = struct{}{}
	a.openConns.Update(float64(len(a.conns)))
	return c, nil
}

func (a *acceptor) accept() (*net.TCPConn, error) {
	if !a.stopped {
		t, err := a.acceptNext()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return t, err
		}
		a.stopped = true
		if a.queued, err = acceptQueued(a.listener); err != nil {
			a.opts.Log.Warn("queue of the listener not accepted whole", zap.Int("accepted", len(a.queued)), zap.Error(err))
		}
	}
	if len(a.queued) == 0 {
		return nil, net.ErrClosed
	}
	t := a.queued[0]
	a.queued = a.queued[1:]
	return t, nil
}

// acceptNext accepts a connection once the bound permits it and the process has a descriptor.
func (a *acceptor) acceptNext() (*net.TCPConn, error) {
	for {
		for a.opts.Bound.isFull() && !a.stopping.Load() {
			a.opts.Bound.makeRoom()
			time.Sleep(pollInterval)
		}
		t, err := a.listener.AcceptTCP()
		a.recordAccept(err)
		if !errors.Is(err, unix.EMFILE) && !errors.Is(err, unix.ENFILE) {
			return t, err
		}
		a.opts.Bound.shedOne()
		time.Sleep(pollInterval)
	}
}

// recordAccept counts and logs a connection that could not be accepted, as when the process has no free descriptor.
func (a *acceptor) recordAccept(err error) {
	if err == nil || errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	a.acceptErrors.Inc(1)
	a.errors++
	if now := time.Now(); now.Sub(a.logged) >= acceptLogInterval {
		a.logged = now
		a.opts.Log.Warn("connection not accepted", zap.Stringer("address", a.Addr()), zap.Int("errors", a.errors),
			zap.Int("open", a.open()), zap.Error(err))
	}
}

// Close implements net.Listener.
func (a *acceptor) Close() error { return a.listener.Close() }

// Addr implements net.Listener.
func (a *acceptor) Addr() net.Addr { return a.listener.Addr() }
