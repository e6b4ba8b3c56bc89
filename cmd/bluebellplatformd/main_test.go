package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/platform"
)

// runMainVariable names the environment variable that makes the test binary run the command.
const runMainVariable = "BLUEBELLGAUGE_TEST_PLATFORMD"

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		os.Exit(run(testDisk()))
	}
	os.Exit(m.Run())
}

// TestSignalDuringStart checks that a SIGHUP during the first read of the settings does not end the process.
func TestSignalDuringStart(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "node.json")
	is.NoErr(syscall.Mkfifo(path, 0o600)) // the command blocks on reading it
	command := exec.Command(os.Args[0])
	command.Env = []string{runMainVariable + "=1", platform.SettingsVariable + "=" + path}
	is.NoErr(command.Start())
	settings, err := os.OpenFile(path, os.O_WRONLY, 0) // blocks until the command opens it
	is.NoErr(err)
	is.NoErr(command.Process.Signal(syscall.SIGHUP))
	time.Sleep(50 * time.Millisecond)
	_, err = settings.WriteString("no settings")
	is.NoErr(err)
	is.NoErr(settings.Close())
	var ended *exec.ExitError
	is.True(errors.As(command.Wait(), &ended))
	is.Equal(ended.ExitCode(), exitSettings)
}

// TestStopSignalBehindReloadSignal guards against a lost SIGTERM: it was dropped while a SIGHUP waited to be handled, and the
// process was killed at the end of the grace period with all its requests.
func TestStopSignalBehindReloadSignal(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "node.json")
	is.NoErr(syscall.Mkfifo(path, 0o600)) // the command blocks on reading it
	command := exec.Command(os.Args[0])
	command.Env = []string{runMainVariable + "=1", platform.SettingsVariable + "=" + path}
	is.NoErr(command.Start())
	exited := make(chan error, 1)
	go func() { exited <- command.Wait() }()
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // blocks until the command opens it
	is.NoErr(err)
	for _, s := range []os.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		is.NoErr(command.Process.Signal(s))
		time.Sleep(50 * time.Millisecond)
	}
	settings := []byte(`{"ip":"127.83.2.1","zone":"z","internal_ports":[7000,7015],"seed_nodes":["127.83.2.2:8526"],
		"listen_addrs":{"frontend":"127.83.2.1:8521"},"bounds":{"grace_s":1.5}}`)
	is.NoErr(os.WriteFile(path+".new", settings, 0o600))
	is.NoErr(os.Rename(path+".new", path)) // for later reads
	_, err = pipe.Write(settings)
	is.NoErr(err)
	is.NoErr(pipe.Close())
	select {
	case err := <-exited:
		is.NoErr(err)
	case <-time.After(10 * time.Second):
		_ = command.Process.Kill()
		t.Fatal("the process does not stop: ", <-exited)
	}
}
