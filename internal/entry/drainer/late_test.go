package drainer

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestUnreadRequestIsCarried guards against requests without an answer at the end of a planned stop on a busy machine: a
// connection counted as one without a request until its reader had run, and was closed with a request that the kernel had received.
func TestUnreadRequestIsCarried(t *testing.T) {
	is := is.New(t)
	l, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	client, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = client.Close() })
	accepted, err := l.AcceptTCP()
	is.NoErr(err)
	t.Cleanup(func() { _ = accepted.Close() })
	c := &conn{TCPConn: accepted} // nothing reads it
	is.True(!c.carriesRequest())
	_, err = io.WriteString(client, request)
	is.NoErr(err)
	for unread(accepted) < len(request) {
		time.Sleep(time.Millisecond)
	}
	is.True(c.carriesRequest())
}
