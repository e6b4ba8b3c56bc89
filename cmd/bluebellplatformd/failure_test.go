package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFailedReplica guards against calls without an answer when a daemon can't go on, here because its log has been replaced while
// its disk was full: the process ended at once, under the calls that it had read in part.
func TestFailedReplica(t *testing.T) {
	is := is.New(t)
	g := startGroup(t, 1)
	k := g.keepers[0]
	is.True(g.change(30*time.Second) < 30*time.Second)
	connection, err := net.Dial("tcp", k.control.String())
	is.NoErr(err)
	defer func() { _ = connection.Close() }()
	const body = `{"version":99,"services":[{"name":"s"}],"routes":[],"tenants":[]}`
	_, err = fmt.Fprintf(connection, "POST /v1/configuration/replace HTTP/1.1\r\nHost: k\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:9])
	is.NoErr(err)
	k.fill("write /log")
	g.change(time.Second)
	is.NoErr(os.Remove(filepath.Join(k.folder, "data", "log")))
	k.fill("none")
	for deadline := time.Now().Add(20 * time.Second); k.count("daemon failed") == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the daemon does not fail")
		}
	}
	_, err = fmt.Fprint(connection, body[9:])
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	select {
	case <-k.exited:
		is.Equal(k.command.ProcessState.ExitCode(), exitFailure)
	case <-time.After(3 * time.Second):
		t.Fatal("the process does not end")
	}
}
