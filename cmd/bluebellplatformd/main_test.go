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
