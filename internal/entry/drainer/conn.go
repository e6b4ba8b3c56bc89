package drainer

import (
	"container/list"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// conn is a connection that knows whether it carries a request.
type conn struct {
	*net.TCPConn
	drainer *Drainer
	opened  time.Time

	mu         sync.Mutex
	busy       bool      // has read bytes since the last response, or a handler runs
	quietSince time.Time // end of the last response, or the start of the connection
	retiring   bool      // ends unless a request arrives
	streams    bool      // of HTTP/2, whose frames need not belong to a request
	handlers   int       // running
	reading    bool      // has read bytes of a request that has no handler yet
	method     string    // of the last request with a handler
	path       string
	bodyRead   bool   // of that request
	writes     int    // in progress
	written    int    // bytes of the response to that request
	framer     framer // not used for TLS
	ended      error  // of the last read or write that failed
	closed     bool

	above atomic.Bool // the bound was reached when it was accepted

	// The fields below are guarded by the lock of the server's bound.
	silence  *list.Element // nil while it carries a request
	leaving  bool          // ended for a new connection
	released bool
}

// unwrap returns the conn below a connection of the HTTP server.
func unwrap(c net.Conn) *conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	return c.(*conn) // Accept returns no other type
}

// setState is the ConnState hook of the HTTP server.
func setState(n net.Conn, state http.ConnState) {
	c := unwrap(n)
	t, encrypted := n.(*tls.Conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.busy = true
		c.streams = encrypted && t.ConnectionState().NegotiatedProtocol == "h2"
		c.drainer.opts.Bound.setActive(c)
	case http.StateIdle:
		c.busy = c.framer.surplus(0) > 0
		c.reading, c.quietSince = c.busy, time.Now()
		if !c.busy {
			c.drainer.opts.Bound.setSilent(c)
		}
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

// Read implements net.Conn. A connection without a request ends with the error of its deadline, unless one has arrived.
func (c *conn) Read(p []byte) (int, error) {
	if n := c.takePending(p); n > 0 {
		return n, nil
	}
	for {
		n, err := c.TCPConn.Read(p)
		if n > 0 {
			return c.received(p[:n]), err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.revive() {
			c.note(err)
			return n, err
		}
	}
}

// note keeps the error of a read or write.
func (c *conn) note(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writes++
	c.mu.Unlock()
	n, err := c.TCPConn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes--
	c.written += n
	if err != nil {
		c.ended = err
	}
	return n, err
}

// body is the body of a request. It tells the connection when it was read whole.
type body struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (b body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.conn.mu.Lock()
		defer b.conn.mu.Unlock()
		b.conn.bodyRead = true
	}
	return n, err
}

// takePending passes on bytes that were read before.
func (c *conn) takePending(p []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.framer.pending) == 0 {
		return 0
	}
	c.noteRequest()
	return c.framer.take(p)
}

// received notes that bytes were read, and returns how many of them may be passed on.
func (c *conn) received(p []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams {
		return len(p)
	}
	c.noteRequest()
	if c.drainer.opts.TLS != nil {
		return len(p)
	}
	return c.framer.split(p)
}

// noteRequest notes that bytes of a request arrive. The caller must hold the lock.
func (c *conn) noteRequest() {
	c.busy = true
	// The bytes of a TLS connection need not belong to a request.
	c.reading = c.reading || c.handlers == 0 && c.drainer.opts.TLS == nil
	if c.retiring {
		c.unretire()
	}
}

// hasSurplus reports whether the client has sent requests behind the last one that was handled. Over TLS it cannot know. The
// caller must hold the lock.
func (c *conn) hasSurplus() bool {
	return c.drainer.opts.TLS == nil && c.framer.surplus(unread(c.TCPConn)) > 0
}

// endsWithResponse reports whether the client is to be told to close the connection: not before the last of the requests that
// it has sent, as the HTTP server handles none after that, unless the stop is about to end.
func (c *conn) endsWithResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.drainer.isDraining() && (stage(c.drainer.stage.Load()) >= aborting || !c.hasSurplus())
}

// revive reports whether a connection without a request, whose read has timed out, has bytes to read after all. It then
// carries a request and stays. Otherwise it takes no further bytes: a request that arrives between this look and the close
// would have been acknowledged to the client's kernel and reset unread.
func (c *conn) revive() bool {
	if !c.isEnding() {
		return false
	}
	if unread(c.TCPConn) == 0 {
		if err := refuseData(c.TCPConn); err == nil {
			time.Sleep(deliveryTime)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || unread(c.TCPConn) == 0 {
		return false
	}
	acceptData(c.TCPConn)
	c.unretire()
	return true
}

// isEnding reports whether the connection ends for a lack of requests.
func (c *conn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retiring || !c.busy && !c.streams
}

// unretire gives the request that has arrived time to be read. The caller must hold the lock.
func (c *conn) unretire() {
	c.retiring = false
	var deadline time.Time
	if limit := c.drainer.opts.ReadHeaderTimeout; limit > 0 {
		deadline = time.Now().Add(limit)
	}
	_ = c.SetReadDeadline(deadline) // fails only on a closed connection
}

// retire ends the connection if it carries no request: its reader, which is the only one to know whether a request has
// arrived, is woken by a deadline. It reports whether it carries none so far.
func (c *conn) retire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || c.closed || time.Since(c.quietSince) < quietTime {
		return false
	}
	c.retiring = true
	_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
	return true
}

// carriesRequest reports whether the connection carries a request without a whole response. Bytes that its reader has not yet
// read may be one.
func (c *conn) carriesRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && (c.busy || unread(c.TCPConn) > 0)
}

// begin notes that a handler starts, and returns the request for it.
func (c *conn) begin(r *http.Request) *http.Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handlers++
	c.reading = false
	c.method, c.path, c.bodyRead, c.written = r.Method, r.URL.Path, r.ContentLength == 0, 0
	c.ended = nil // the HTTP server ends its read ahead by a timeout
	c.framer.begin(r.ContentLength)
	r = r.WithContext(r.Context()) // the HTTP server inspects the body of its own copy
	r.Body = body{r.Body, c}
	return r
}

// finish notes that a handler has returned.
func (c *conn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handlers--
}

// hasUnreadBody reports whether the handler of a request has returned before the end of its body.
func (c *conn) hasUnreadBody(r *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return r.ContentLength != 0 && !c.bodyRead
}

// Close implements net.Conn. It logs a request without a whole response.
func (c *conn) Close() error {
	c.drainer.forget(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.logUnanswered()
	}
	c.closed = true
	return c.TCPConn.Close()
}

// logUnanswered logs the request that the connection carries at its end. The caller must hold the lock.
func (c *conn) logUnanswered() {
	handled := c.handlers > 0 || c.writes > 0
	surplus := !c.reading && c.hasSurplus()
	if !handled && !c.reading && !surplus {
		return
	}
	c.drainer.opts.Log.Warn("connection ends with an unanswered request", zap.Stringer("peer", c.RemoteAddr()),
		zap.String("method", c.method), zap.String("path", c.path), zap.Bool("read", handled), zap.Bool("body", handled && c.bodyRead),
		zap.Bool("unread", surplus), zap.Int("written", c.written), zap.NamedError("ended", c.ended), zap.Duration("open", time.Since(c.opened)),
		zap.Bool("stopping", c.drainer.isDraining()), zap.Stringer("stage", stage(c.drainer.stage.Load())))
}

func (d *Drainer) forget(c *conn) {
	d.opts.Bound.release(c)
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.conns, c)
	d.openConns.Update(float64(len(d.conns)))
}
