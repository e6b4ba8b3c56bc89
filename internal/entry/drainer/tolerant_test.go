package drainer

import (
	"errors"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// failingListener returns errors before its connections.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return l.Listener.Accept()
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
}

// TestAcceptErrors guards against a server that ends, and its process with it, when accept fails for lack of kernel memory or
// because of one connection.
func TestAcceptErrors(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{Handler: http.HandlerFunc(ok)}
	served := make(chan error, 1)
	go func() { served <- server.Serve(Tolerant{&failingListener{l, passingErrors()[:4]}}) }()
	client := &http.Client{Timeout: 5 * time.Second}
	response, err := client.Get("http://" + l.Addr().String())
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.NoErr(server.Close())
	is.Equal(<-served, http.ErrServerClosed)
	_, err = Tolerant{&failingListener{l, []error{unix.EBADF}}}.Accept()
	var passing passingError
	is.True(!errors.As(err, &passing))
}
