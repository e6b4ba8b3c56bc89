package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// TestSignals guards against requests without an answer when a terminal or a supervisor sends signals: SIGQUIT ended the
// process at once. Each signal to stop ends it in order, also when it is repeated, and others do not end it.
func TestSignals(t *testing.T) {
	for _, stop := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGQUIT} {
		t.Run(unix.SignalName(stop), func(t *testing.T) {
			is := is.New(t)
			g := startGroup(t, 1)
			is.True(g.change(30*time.Second) < 30*time.Second)
			k := g.keepers[0]
			connection, err := net.Dial("tcp", k.control.String())
			is.NoErr(err)
			defer func() { _ = connection.Close() }()
			const body = `{"version":9,"services":[{"name":"s"}],"routes":[],"tenants":[]}`
			_, err = fmt.Fprintf(connection, "POST /v1/configuration/replace HTTP/1.1\r\nHost: k\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:9])
			is.NoErr(err)
			for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGALRM, syscall.SIGPIPE, stop, stop} {
				time.Sleep(50 * time.Millisecond)
				is.NoErr(k.command.Process.Signal(s))
			}
			time.Sleep(50 * time.Millisecond)
			_, err = fmt.Fprint(connection, body[9:])
			is.NoErr(err)
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			is.Equal(response.StatusCode, http.StatusOK)
			<-k.exited
			is.Equal(k.command.ProcessState.ExitCode(), 0)
			is.Equal(k.count(`"signal":"SIGHUP"`), 1)
			is.Equal(k.count(`"signal":"`+unix.SignalName(stop)), 1)
			is.True(strings.Contains(k.log.String(), `"msg":"stopped"`))
		})
	}
}
