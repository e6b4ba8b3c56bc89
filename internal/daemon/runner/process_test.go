package runner_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/console/client"
	"github.com/bluebellgauge/bluebellgauge/internal/console/demonstrator"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/executor"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/registrar"
)

const (
	operatorToken = "operator-token"
	orgToken      = "org-token"
)

// TestMain runs the test binary as a daemon if the environment names a settings file, so that tests can start
// daemon processes without building the command.
func TestMain(m *testing.M) {
	if path := os.Getenv("BLUEBELLGAUGE_TEST_DAEMON"); path != "" {
		daemonMain(path)
		return
	}
	os.Exit(m.Run())
}

// processes is a fleet of daemons in separate processes, with workers in the test process.
type processes struct {
	tb       testing.TB
	folder   string
	settings []*parser.Settings
	commands []*os.Process
	entries  []netip.AddrPort
	workers  []*executor.Executor
	observe  func(executor.TaskEvent)
}

func startProcesses(tb testing.TB, replicas, daemons int) *processes {
	tb.Helper()
	p := &processes{tb: tb, folder: tb.TempDir()}
	p.writeSettings(replicas, daemons)
	p.commands = make([]*os.Process, daemons)
	for i := range daemons {
		p.start(i)
	}
	tb.Cleanup(p.stopAll)
	return p
}

func (p *processes) writeSettings(replicas, daemons int) {
	p.noError(os.WriteFile(filepath.Join(p.folder, "operator"), []byte(operatorToken), 0o600))
	p.noError(os.WriteFile(filepath.Join(p.folder, "secret"), []byte("secret"), 0o600))
	var peers []parser.Peer
	for i := range daemons {
		s := &parser.Settings{
			Name: fmt.Sprintf("vm%d", i+1), Place: fmt.Sprintf("p%d", i%3+1), Listen: freePort(p.tb), Peering: freePort(p.tb),
			Operator: filepath.Join(p.folder, "operator"), Secret: filepath.Join(p.folder, "secret"),
			Drain: parser.Duration(10 * time.Second), Level: "info", Format: "json",
		}
		if i < replicas {
			s.Data = filepath.Join(p.folder, s.Name)
			peers = append(peers, parser.Peer{Name: s.Name, Place: s.Place, Address: s.Peering})
		}
		p.settings = append(p.settings, s)
		p.entries = append(p.entries, netip.MustParseAddrPort(s.Listen))
	}
	for _, s := range p.settings {
		s.Keepers = peers
	}
	p.rewriteSettings()
}

func (p *processes) rewriteSettings() {
	for _, s := range p.settings {
		text, err := json.Marshal(s)
		p.noError(err)
		p.noError(os.WriteFile(p.path(s), text, 0o600))
	}
}

func (p *processes) path(s *parser.Settings) string { return filepath.Join(p.folder, s.Name+".json") }

func freePort(tb testing.TB) string {
	tb.Helper()
	ports, err := demonstrator.FreePorts(1)
	if err != nil {
		tb.Fatal(err)
	}
	return ports[0].String()
}

func (p *processes) noError(err error) {
	p.tb.Helper()
	if err != nil {
		p.tb.Fatal(err)
	}
}

// start starts a daemon process.
func (p *processes) start(i int) {
	p.tb.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "BLUEBELLGAUGE_TEST_DAEMON="+p.path(p.settings[i]))
	log, err := os.OpenFile(p.path(p.settings[i])+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	p.noError(err)
	cmd.Stderr = log
	p.noError(cmd.Start())
	p.noError(log.Close())
	p.commands[i] = cmd.Process
}

// signalAndWait sends a signal to a daemon and waits for its exit.
func (p *processes) signalAndWait(i int, signal os.Signal) {
	if p.commands[i] == nil {
		return
	}
	_ = p.commands[i].Signal(signal)
	_, _ = p.commands[i].Wait()
	p.commands[i] = nil
}

func (p *processes) stopAll() {
	for _, w := range p.workers {
		w.Kill()
	}
	for i := range p.commands {
		p.signalAndWait(i, os.Kill)
	}
	if p.tb.Failed() {
		p.showLogs()
	}
}

// showLogs prints the end of each daemon's log.
func (p *processes) showLogs() {
	const tail = 2000 // bytes
	for _, s := range p.settings {
		if text, err := os.ReadFile(p.path(s) + ".log"); err == nil {
			p.tb.Logf("%s: ...%s", s.Name, text[max(len(text)-tail, 0):])
		}
	}
}

// apply applies a manifest with one organisation.
func (p *processes) apply(version uint64, slots int) {
	p.tb.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	cl := client.New(p.entries, operatorToken)
	defer cl.Close()
	_, err := cl.Apply(ctx, p.manifest(version, slots))
	p.noError(err)
}

func (p *processes) manifest(version uint64, slots int) []byte {
	sum := sha256.Sum256([]byte(orgToken))
	m := parser.Manifest{Version: version, Checkpoint: parser.Duration(time.Second)}
	for i := range 3 {
		m.Places = append(m.Places, parser.Place{
			Name: fmt.Sprintf("p%d", i+1), Service: "s", Racks: 4, Workers: 8, Slots: slots, Processors: 8, Memory: 8, Accelerators: slots,
		})
	}
	m.Organisations = []parser.Organisation{{Name: "org", Token: hex.EncodeToString(sum[:]), Queue: 20_000}}
	text, err := json.Marshal(m)
	p.noError(err)
	return text
}

// addWorkers starts workers and waits until the leader lists them.
func (p *processes) addWorkers(n int, timing registrar.Timing) {
	p.tb.Helper()
	for range n {
		i := len(p.workers)
		w, err := executor.New(executor.Options{
			Announcement: &messages.Announcement{
				Name: fmt.Sprintf("w%03d", i), Place: fmt.Sprintf("p%d", i%3+1), Rack: fmt.Sprintf("r%d", i/24), Service: "s",
				Incarnation: 1, Slots: 8, Connections: 64, Processors: 8, Memory: 8, Accelerators: 8,
			},
			Listen: netip.MustParseAddrPort("127.0.0.1:0"), Entries: p.entries, Timing: timing, Observe: p.observe, Log: zap.NewNop(),
		})
		p.noError(err)
		p.workers = append(p.workers, w)
	}
	p.eventually(20*time.Second, "workers announced", func(ctx context.Context) bool {
		cl := client.New(p.entries, operatorToken)
		defer cl.Close()
		var list []struct{}
		return cl.Get(ctx, "/v1/workers", &list) == nil && len(list) == len(p.workers)
	})
}

// eventually waits until a condition holds and fails the test after a time-out.
func (p *processes) eventually(timeout time.Duration, what string, ok func(context.Context) bool) {
	p.tb.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for !ok(ctx) {
		select {
		case <-ctx.Done():
			p.tb.Fatalf("timed out after %s: %s", timeout, what)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// leader returns the index of the leading daemon.
func (p *processes) leader() int {
	p.tb.Helper()
	index := -1
	p.eventually(15*time.Second, "a leader", func(ctx context.Context) bool {
		cl := client.New(p.entries, operatorToken)
		defer cl.Close()
		var members []struct{ Name, Role string }
		if cl.Get(ctx, "/v1/members", &members) != nil {
			return false
		}
		for _, m := range members {
			for i, s := range p.settings {
				if m.Role == "leader" && m.Name == s.Name && p.commands[i] != nil {
					index = i
				}
			}
		}
		return index >= 0
	})
	return index
}
