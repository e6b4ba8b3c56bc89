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

// asProgram makes the test binary run as the program.
const asProgram = "BLUEBELLGAUGE_TEST_PLATFORMD"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		os.Exit(run())
	}
	os.Exit(m.Run())
}

// TestSignalDuringStart sends the signal for changed settings while the program still reads them: it
// must not end the process.
func TestSignalDuringStart(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "node.json")
	is.NoErr(syscall.Mkfifo(path, 0o600)) // reading waits until the test writes
	command := exec.Command(os.Args[0])
	command.Env = []string{asProgram + "=1", platform.SettingsVariable + "=" + path}
	is.NoErr(command.Start())
	settings, err := os.OpenFile(path, os.O_WRONLY, 0) // waits until the program reads
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
