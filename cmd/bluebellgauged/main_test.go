package main

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/console/demonstrator"
)

const (
	// runMainVariable names the environment variable with the settings file on which the test binary runs the command.
	runMainVariable = "BLUEBELLGAUGE_TEST_GAUGED"

	startTime   = 10 * time.Second
	answerTime  = 5 * time.Second
	outageTime  = 2 * time.Second
	callerCount = 8
	callPause   = time.Millisecond
	stopTime    = 8 * time.Second
	refusing    = "/dev/full" // refuses every write
)

func TestMain(m *testing.M) {
	if path := os.Getenv(runMainVariable); path != "" {
		os.Args = []string{os.Args[0], "-s", path}
		os.Exit(run())
	}
	os.Exit(m.Run())
}

// daemon is the command, run as the only keeper of a fleet.
type daemon struct {
	t       *testing.T
	address string
	command *exec.Cmd
	exited  chan struct{}
}

func startDaemon(t *testing.T, output *os.File) *daemon {
	t.Helper()
	is := is.New(t)
	ports, err := demonstrator.FreePorts(2)
	is.NoErr(err)
	folder := t.TempDir()
	token := filepath.Join(folder, "token")
	is.NoErr(os.WriteFile(token, []byte("token"), 0o600))
	s := parser.Settings{
		Name: "vm1", Place: "p1", Listen: ports[0].String(), Peering: ports[1].String(), Data: filepath.Join(folder, "data"),
		Keepers:  []parser.Peer{{Name: "vm1", Place: "p1", Address: ports[1].String()}},
		Operator: token, Secret: token, Drain: parser.Duration(2 * time.Second), Level: "debug", Format: "json", // refused calls write a line
	}
	text, err := json.Marshal(s)
	is.NoErr(err)
	path := filepath.Join(folder, "settings.json")
	is.NoErr(os.WriteFile(path, text, 0o600))
	d := &daemon{t: t, address: s.Listen, command: exec.Command(os.Args[0]), exited: make(chan struct{})}
	d.command.Env = append(os.Environ(), runMainVariable+"="+path)
	d.command.Stdout, d.command.Stderr = output, output
	is.NoErr(d.command.Start())
	is.NoErr(output.Close()) // the process has its own descriptors
	go func() {
		defer close(d.exited)
		_ = d.command.Wait() // the exit code is read from the command
	}()
	t.Cleanup(func() {
		_ = d.command.Process.Kill() // it may have exited
		<-d.exited
	})
	for deadline := time.Now().Add(startTime); d.call("/readyz") != http.StatusOK; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the daemon does not become ready")
		}
	}
	return d
}

// call returns the status of the answer to one call, 0 without one.
func (d *daemon) call(path string) int {
	c := http.Client{Timeout: answerTime}
	response, err := c.Get("http://" + d.address + path)
	if err != nil {
		return 0
	}
	_ = response.Body.Close() // nothing is read from it
	return response.StatusCode
}

// callFor sends calls that write a log line each, and returns how many had no answer.
func (d *daemon) callFor(duration time.Duration) (unanswered int) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	for range callerCount {
		wait.Go(func() {
			for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(callPause) {
				if d.call("/v1/jobs/unknown") == 0 {
					mu.Lock()
					unanswered++
					mu.Unlock()
				}
			}
		})
	}
	wait.Wait()
	return unanswered
}

// stop sends a signal and checks that the process ends in order.
func (d *daemon) stop(s os.Signal) {
	d.t.Helper()
	is := is.New(d.t)
	is.NoErr(d.command.Process.Signal(s))
	select {
	case <-d.exited:
		is.Equal(d.command.ProcessState.ExitCode(), 0)
	case <-time.After(stopTime):
		d.t.Fatal("the process does not stop")
	}
}

// TestFailedOutput guards against a daemon that ends, answers no calls or does not stop because the output of its log fails: one
// whose reader had gone ended by SIGPIPE, and one whose reader stalled answered no call that writes a line.
func TestFailedOutput(t *testing.T) {
	for _, name := range []string{"reader gone", "reader stalled", "disk full"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, output, err := os.Pipe()
			is.NoErr(err)
			defer func() { _ = r.Close() }()              // open while the process runs
			go func() { _, _ = io.Copy(io.Discard, r) }() // ends at the deadline
			if name == "disk full" {
				is.NoErr(output.Close())
				output, err = os.OpenFile(refusing, os.O_WRONLY, 0)
				is.NoErr(err)
			}
			d := startDaemon(t, output)
			is.NoErr(r.SetReadDeadline(time.Unix(1, 0)))
			if name == "reader gone" {
				is.NoErr(r.Close())
			}
			is.Equal(d.callFor(outageTime), 0)
			d.stop(syscall.SIGTERM)
		})
	}
}

// TestSignals guards against a daemon that ends at once by SIGHUP, which it did not handle, or by SIGQUIT.
func TestSignals(t *testing.T) {
	for _, stop := range []os.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGQUIT} {
		t.Run(stop.String(), func(t *testing.T) {
			is := is.New(t)
			output, err := os.Create(filepath.Join(t.TempDir(), "log"))
			is.NoErr(err)
			d := startDaemon(t, output)
			for _, s := range []os.Signal{syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGALRM} {
				is.NoErr(d.command.Process.Signal(s))
				time.Sleep(50 * time.Millisecond)
			}
			is.Equal(d.call("/readyz"), http.StatusOK)
			d.stop(stop)
		})
	}
}
