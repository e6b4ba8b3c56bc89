package main

import (
	"io"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

const (
	pipeBytes   = 4096 // of the kernel's buffer
	outageTime  = 2 * time.Second
	signalPause = 10 * time.Millisecond
	refusing    = "/dev/full" // refuses every write
)

// outage is a failure of the output of a process's log.
type outage struct {
	name string
	// start returns the output, and a function that makes it fail.
	start func(k *keeper) (output *os.File, fail func())
}

func outages(t *testing.T) []outage {
	t.Helper()
	is := is.New(t)
	return []outage{
		{"reader gone", func(k *keeper) (*os.File, func()) {
			r, w, err := os.Pipe()
			is.NoErr(err)
			go func() { _, _ = io.Copy(k, r) }() // ends when r is closed
			return w, func() { is.NoErr(r.Close()) }
		}},
		{"reader stalled", func(k *keeper) (*os.File, func()) {
			r, w, err := os.Pipe()
			is.NoErr(err)
			_, err = unix.FcntlInt(w.Fd(), unix.F_SETPIPE_SZ, pipeBytes)
			is.NoErr(err)
			t.Cleanup(func() { _ = r.Close() })  // open while the process runs
			go func() { _, _ = io.Copy(k, r) }() // ends at the deadline
			return w, func() { is.NoErr(r.SetReadDeadline(time.Unix(1, 0))) }
		}},
		{"disk full", func(*keeper) (*os.File, func()) {
			f, err := os.OpenFile(refusing, os.O_WRONLY, 0)
			is.NoErr(err)
			return f, func() {}
		}},
	}
}

// runOn starts the process with its standard output and standard error on the output of an outage, and returns a function
// that makes them fail.
func (k *keeper) runOn(o outage) (fail func()) {
	is := is.New(k.t)
	output, fail := o.start(k)
	k.output = output
	k.run()
	is.NoErr(output.Close()) // the process has its own descriptors
	return fail
}

// TestFailedOutput guards against processes that end, or do not stop in time, because the output of their log fails: one whose
// reader had gone ended by SIGPIPE with all requests that it had read, and one whose reader stalled stayed until SIGKILL.
func TestFailedOutput(t *testing.T) {
	for _, role := range []string{"entry", "keeper"} {
		for _, o := range outages(t) {
			t.Run(role+", "+o.name, func(t *testing.T) { testFailedOutput(t, role, o) })
		}
	}
}

func testFailedOutput(t *testing.T, role string, o outage) {
	t.Helper()
	is := is.New(t)
	g := startGroup(t, 1)
	entry := startEntry(t, g, testAddress(100))
	g.routes = `{"name":"q","host":"` + entry.control.String() + `","path_prefix":"/q/","type":"non_idempotent","timeout_ms":3000,` +
		`"service":"s","max_attempts":3,"stretch":3,"public":true}`
	disturbed, grace := entry, 6*time.Second
	if role == "keeper" {
		disturbed, grace = g.keepers[0], 1500*time.Millisecond
	}
	disturbed.kill()
	fail := disturbed.runOn(o)
	is.True(g.change(30*time.Second) < 30*time.Second)
	c := newCallers(t, entry)
	c.during(func() {
		time.Sleep(outageTime / 4)
		fail()
		for end := time.Now().Add(outageTime); time.Now().Before(end); time.Sleep(signalPause) {
			_ = disturbed.command.Process.Signal(syscall.SIGHUP) // writes a line; the process may have exited
		}
	})
	select {
	case <-disturbed.exited:
		t.Fatalf("the process has ended: %v; answers %v", disturbed.command.ProcessState, c.answers)
	default:
	}
	c.check()
	is.NoErr(disturbed.command.Process.Signal(syscall.SIGTERM))
	select {
	case <-disturbed.exited:
		is.Equal(disturbed.command.ProcessState.ExitCode(), 0)
	case <-time.After(grace):
		t.Fatal("the process does not stop within its grace period")
	}
}
