package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/state/filer"
	"github.com/bluebellgauge/bluebellgauge/platform"
)

// fullVariable names the environment variable with the path of a file that describes the operations that the
// command's disk has no space for: an operation and the end of a path as in "write /log". A path alone stands for all
// operations. Without that file there is space for all. After the word "slow" and a duration, the operations are not
// refused but take as long.
const fullVariable = "BLUEBELLGAUGE_TEST_FULL"

// testDisk returns the disk of the command when it is run by a test.
func testDisk() filer.Files {
	path := os.Getenv(fullVariable)
	if path == "" {
		return filer.Disk{}
	}
	return filer.Faulty{Files: filer.Disk{}, Fault: func(op filer.Operation, file string) error {
		text, err := os.ReadFile(path)
		refused, delay := cutDelay(string(text))
		kind, suffix, one := strings.Cut(refused, " ")
		if !one {
			kind, suffix = op.String(), kind
		}
		affected := err == nil && kind == op.String() && strings.HasSuffix(file, suffix)
		if affected && delay == 0 {
			return syscall.ENOSPC
		}
		if affected {
			time.Sleep(delay)
		}
		return nil
	}}
}

// cutDelay returns the operations that a text names and how long they take, 0 if they are refused.
func cutDelay(text string) (operations string, delay time.Duration) {
	rest, slow := strings.CutPrefix(text, "slow ")
	if !slow {
		return text, 0
	}
	duration, operations, _ := strings.Cut(rest, " ")
	delay, err := time.ParseDuration(duration)
	if err != nil {
		panic("delay of a disk: " + err.Error())
	}
	return operations, delay
}

// testAddress returns an address that no other test process uses at this time, as the ports are fixed.
func testAddress(host byte) netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(128 + pid>>8%64), byte(pid), host})
}

// printedBytes is how much of a keeper's log is printed when a test fails.
const printedBytes = 8 << 10

// keeper is the command, run as a keeper of a system or, without a disk, as an entry.
type keeper struct {
	t       *testing.T
	folder  string
	control netip.AddrPort // of workers and operators
	command *exec.Cmd
	exited  chan struct{}
	output  *os.File // of the process, nil to keep its log
	binary  string   // of the command, "" for the test's own

	mu   sync.Mutex
	log  bytes.Buffer
	past int // times that processes before this one became the leader
}

// Write appends to the log.
func (k *keeper) Write(text []byte) (int, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.log.Write(text)
}

func (k *keeper) count(text string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return strings.Count(k.log.String(), text)
}

// startKeeper starts the command, as the only keeper of a system, on a disk without space for the given operations.
func startKeeper(t *testing.T, refused string) *keeper {
	t.Helper()
	return startKeeperOf(t, []netip.Addr{testAddress(1)}, 0, refused)
}

// startKeeperOf starts one of the keepers of a system.
func startKeeperOf(t *testing.T, addresses []netip.Addr, index int, refused string) *keeper {
	t.Helper()
	is := is.New(t)
	address := addresses[index]
	k := &keeper{t: t, folder: t.TempDir(), control: netip.AddrPortFrom(address, 8526)}
	var seeds []string
	for _, a := range addresses {
		seeds = append(seeds, netip.AddrPortFrom(a, 8526).String())
	}
	settings, err := json.Marshal(map[string]any{
		"node_name": address.String(), "role": "core", "ip": address.String(), "zone": "z", "bootstrap": true, "data_dir": filepath.Join(k.folder, "data"),
		"listen_addrs": map[string]string{"control_plane": k.control.String()}, "internal_ports": []int{7000, 7015},
		"seed_nodes": seeds, "bounds": map[string]any{"grace_s": 1.5}, "fault_tolerance": map[string]any{"machines": len(addresses) / 2},
	})
	is.NoErr(err)
	is.NoErr(os.WriteFile(k.settingsPath(), settings, 0o600))
	k.fill(refused)
	k.run()
	t.Cleanup(func() {
		k.kill()
		if t.Failed() {
			text := k.log.String()
			t.Logf("end of the log of %s:\n%s", k.control, text[max(0, len(text)-printedBytes):])
		}
	})
	return k
}

// run starts the process on the settings and the disk that it had.
func (k *keeper) run() {
	is := is.New(k.t)
	command, exited := exec.Command(cmp.Or(k.binary, os.Args[0])), make(chan struct{})
	command.Env = []string{runMainVariable + "=1", platform.SettingsVariable + "=" + k.settingsPath(), fullVariable + "=" + k.fullPath()}
	command.Stdout, command.Stderr = k, k
	if k.output != nil {
		command.Stdout, command.Stderr = k.output, k.output
		// The time to stop is measured, and the race detector sleeps for 1 s before a process ends.
		command.Env = append(command.Env, "GORACE=atexit_sleep_ms=0")
	}
	is.NoErr(command.Start())
	k.command, k.exited = command, exited
	go func() {
		defer close(exited)
		_ = command.Wait() // the exit code is read from the command
	}()
}

// kill ends the process with SIGKILL.
func (k *keeper) kill() {
	_ = k.command.Process.Kill() // it may have exited
	<-k.exited
}

func (k *keeper) settingsPath() string { return filepath.Join(k.folder, "node.json") }

func (k *keeper) fullPath() string { return filepath.Join(k.folder, "full") }

// fill takes the space for the given operations, and frees that for others.
func (k *keeper) fill(refused string) {
	is := is.New(k.t)
	is.NoErr(os.WriteFile(k.fullPath()+".new", []byte(refused), 0o600))
	is.NoErr(os.Rename(k.fullPath()+".new", k.fullPath()))
}

// stays checks that the process does not exit for a while.
func (k *keeper) stays() {
	k.t.Helper()
	select {
	case <-k.exited:
		k.t.Fatalf("exited with code %d:\n%s", k.command.ProcessState.ExitCode(), k.log.String())
	case <-time.After(2500 * time.Millisecond):
	}
}

// stop sends SIGTERM and checks that the process ends with code 0.
func (k *keeper) stop() {
	k.t.Helper()
	is := is.New(k.t)
	is.NoErr(k.command.Process.Signal(syscall.SIGTERM))
	<-k.exited
	is.Equal(k.command.ProcessState.ExitCode(), 0)
}

// TestFullDiskOfKeeper fills the disk of a keeper before it starts, while it creates its log, and when it first
// appends to it. The process ended by itself with code 1: when the log could not be created, and once there was
// space again after a failed append. It must stay, lead when there is space, and report each change once.
func TestFullDiskOfKeeper(t *testing.T) {
	is := is.New(t)
	k := startKeeper(t, "")
	k.stays()
	is.Equal(k.count("no space left on device"), 1)
	k.fill("/log.new")
	k.stays()
	k.fill("write /log")
	k.stays()
	is.Equal(k.count("leads queues"), 0)
	is.NoErr(os.Remove(k.fullPath()))
	for deadline := time.Now().Add(10 * time.Second); k.count("leads queues") == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("does not lead:\n%s", k.log.String())
		}
	}
	k.stop()
}

// TestStopOfKeeperOnFullDisk stops a keeper whose disk is full, before and after its start. Its exit code was 1 after
// a failed append.
func TestStopOfKeeperOnFullDisk(t *testing.T) {
	for _, refused := range []string{"", "/log.new", "write /log"} {
		t.Run(refused, func(t *testing.T) {
			k := startKeeper(t, refused)
			k.stays()
			k.stop()
		})
	}
}
