package runner_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/console/client"
	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/executor"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/registrar"
)

const answerTimeout = 60 * time.Second

// workload submits jobs from concurrent callers and records the answers and the attempts that workers ran.
type workload struct {
	fleet      *processes
	mu         sync.Mutex
	runs       map[string]map[uint32]bool   // attempts that workers started, by job
	running    map[string]map[string]bool   // jobs, by worker; true while they run
	outcomes   map[string]scheduler.Outcome // by job
	wait       sync.WaitGroup
	errs       []string
	minRunTime time.Duration // minimum run time of a job
}

func newWorkload(p *processes) *workload {
	w := &workload{fleet: p, runs: map[string]map[uint32]bool{}, running: map[string]map[string]bool{}, outcomes: map[string]scheduler.Outcome{}, minRunTime: 50 * time.Millisecond}
	p.observe = func(t executor.TaskEvent) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.runs[t.Job] == nil {
			w.runs[t.Job] = map[uint32]bool{}
		}
		w.runs[t.Job][t.Attempt] = true
		if w.running[t.Worker] == nil {
			w.running[t.Worker] = map[string]bool{}
		}
		w.running[t.Worker][t.Job] = t.Running
	}
	return w
}

// submit submits jobs at a fixed interval. The entry that each job tries first rotates.
func (w *workload) submit(from, until int, interval time.Duration, entries []netip.AddrPort) {
	for i := from; i < until; i++ {
		rotated := append(entries[i%len(entries):len(entries):len(entries)], entries[:i%len(entries)]...)
		w.wait.Go(func() { w.runJob(i, rotated) })
		time.Sleep(interval)
	}
}

func (w *workload) runJob(i int, entries []netip.AddrPort) {
	key := fmt.Sprintf("k%d", i)
	idempotent := i%3 != 0
	job := parser.Job{Service: "s", Tasks: []int{1, 1, 2, 12}[i%4], Accelerators: 1, Adjacency: "any", Idempotent: &idempotent}
	job.Body = fmt.Appendf(nil, `{"run": "%dms", "echo": %q}`, w.minRunTime.Milliseconds()+int64(i%5)*100, key)
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	cl := client.New(entries, orgToken)
	defer cl.Close()
	if _, err := cl.Submit(ctx, key, job); err != nil {
		w.fail("submit job %s: %v", key, err)
		return
	}
	view, err := cl.Answer(ctx, key)
	if err != nil || view.Answer == nil {
		w.fail("job %s got no answer: %v", key, err)
		return
	}
	w.checkAnswer(key, idempotent, view.Answer)
}

// checkAnswer compares an answer with the attempts that workers ran.
func (w *workload) checkAnswer(key string, idempotent bool, a *scheduler.Answer) {
	var reply struct{ Echo string }
	if a.Outcome == scheduler.Done && (json.Unmarshal(a.Body, &reply) != nil || reply.Echo != key) {
		w.fail("job %s got the answer body %q", key, a.Body)
	}
	w.mu.Lock()
	attempts := len(w.runs["org/"+key])
	w.outcomes["org/"+key] = a.Outcome
	w.mu.Unlock()
	if a.Outcome == scheduler.NotRun && attempts > 0 {
		w.fail("job %s was answered as not run but ran %d times", key, attempts)
	}
	if !idempotent && attempts > 1 {
		w.fail("job %s is not idempotent but ran %d times", key, attempts)
	}
	if a.Outcome == scheduler.Unknown && idempotent {
		w.fail("job %s is idempotent but its outcome is %s", key, a.Outcome)
	}
}

func (w *workload) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.errs = append(w.errs, fmt.Sprintf(format, args...))
}

func (w *workload) waitAndReport() {
	w.fleet.tb.Helper()
	w.wait.Wait()
	for _, e := range w.errs {
		w.fleet.tb.Error(e)
	}
}

// TestKilledDaemons kills the leader and then an entry with SIGKILL while callers wait for answers, and restarts
// both from their disks.
func TestKilledDaemons(t *testing.T) {
	p := startProcesses(t, 3, 5)
	w := newWorkload(p)
	p.apply(1, 8)
	p.addWorkers(6, registrar.DefaultTiming())
	w.submit(0, 40, 10*time.Millisecond, p.entries)
	leader := p.leader()
	p.signalAndWait(leader, os.Kill)
	w.submit(40, 80, 10*time.Millisecond, p.entries)
	p.signalAndWait(4, os.Kill)
	p.start(leader)
	w.submit(80, 120, 10*time.Millisecond, p.entries)
	p.start(4)
	w.waitAndReport()
}

// TestSimultaneousRestart kills all daemons with SIGKILL and restarts them. Answers that were already returned must
// not change.
func TestSimultaneousRestart(t *testing.T) {
	p := startProcesses(t, 3, 5)
	w := newWorkload(p)
	p.apply(1, 8)
	p.addWorkers(3, registrar.DefaultTiming())
	w.submit(0, 20, time.Millisecond, p.entries)
	w.waitAndReport()
	for i := range p.commands {
		p.signalAndWait(i, os.Kill)
	}
	for i := range p.commands {
		p.start(i)
	}
	w.submit(0, 40, time.Millisecond, p.entries) // the first 20 repeat earlier keys
	w.waitAndReport()
	for i := range 20 {
		if n := len(w.runs[fmt.Sprintf("org/k%d", i)]); n > 1 {
			t.Errorf("job k%d ran %d times although it had already been answered", i, n)
		}
	}
}

// TestRollingRestart drains and restarts each daemon in turn under load. No request may be aborted.
func TestRollingRestart(t *testing.T) {
	p := startProcesses(t, 3, 5)
	w := newWorkload(p)
	p.apply(1, 8)
	p.addWorkers(6, registrar.DefaultTiming())
	var sent atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range p.commands {
			p.signalAndWait(i, syscall.SIGTERM)
			p.start(i)
		}
	}()
	for {
		n := int(sent.Add(5))
		w.submit(n-5, n, 20*time.Millisecond, p.entries)
		select {
		case <-done:
			w.waitAndReport()
			if n := len(w.runs); n < 20 {
				t.Errorf("only %d jobs ran during the restarts", n)
			}
			return
		default:
		}
	}
}

// TestUnresponsiveWorker simulates a worker process that is suspended for longer than its leases: reports and
// replies stop while gangs run on it. The gangs must be stopped and rerun on other workers.
func TestUnresponsiveWorker(t *testing.T) {
	p := startProcesses(t, 1, 2)
	w := newWorkload(p)
	p.apply(1, 8)
	p.addWorkers(4, registrar.DefaultTiming())
	w.minRunTime = 2 * time.Second
	w.submit(0, 16, time.Millisecond, p.entries)
	p.eventually(20*time.Second, "a job runs on the worker", func(context.Context) bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return len(w.running["w000"]) > 0
	})
	p.workers[0].Faults.Unresponsive.Store(true)
	w.mu.Lock()
	interrupted := maps.Clone(w.running["w000"])
	w.mu.Unlock()
	w.waitAndReport()
	for job, running := range interrupted {
		if running && len(w.runs[job]) < 2 && w.outcomes[job] != scheduler.Unknown {
			t.Errorf("job %s ran only on the unresponsive worker and its outcome is %s", job, w.outcomes[job])
		}
	}
}

// TestConcurrentApplies applies manifests with the same version and different contents through all entries at once.
// Exactly one must succeed, and a retry must get the same result as the first request.
func TestConcurrentApplies(t *testing.T) {
	p := startProcesses(t, 3, 5)
	p.apply(1, 8)
	type outcome struct {
		text    []byte
		version uint64
		err     error
	}
	for version := uint64(2); version < 6; version++ {
		outcomes := make([]outcome, len(p.entries))
		var wait sync.WaitGroup
		for i, entry := range p.entries {
			wait.Go(func() {
				text := p.manifest(version, 1+i%8)
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				defer cancel()
				cl := client.New([]netip.AddrPort{entry}, operatorToken)
				defer cl.Close()
				v, err := cl.Apply(ctx, text)
				if _, retryErr := cl.Apply(ctx, text); (retryErr == nil) != (err == nil) {
					t.Errorf("first request returned %v, retry returned %v", err, retryErr)
				}
				outcomes[i] = outcome{text, v, err}
			})
		}
		wait.Wait()
		succeeded := 0
		for _, o := range outcomes {
			if o.err == nil {
				succeeded++
			}
		}
		if succeeded != 1 {
			t.Errorf("version %d: %d requests succeeded, want 1", version, succeeded)
		}
	}
	p.eventually(7*time.Second, "the last version is in force at every daemon", func(ctx context.Context) bool {
		cl := client.New(p.entries, operatorToken)
		defer cl.Close()
		var daemons []struct{ Version uint64 }
		if cl.Get(ctx, "/v1/rollout", &daemons) != nil || len(daemons) != len(p.entries) {
			return false
		}
		for _, d := range daemons {
			if d.Version != 5 {
				return false
			}
		}
		return true
	})
}

// blackholeProxy forwards TCP connections. blackholeOpen makes it discard all further data on the connections that
// are open at that time without closing them; new connections work.
type blackholeProxy struct {
	listener    net.Listener
	target      string
	mu          sync.Mutex
	connections []*atomic.Bool
}

func newBlackholeProxy(tb testing.TB, target string) *blackholeProxy {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	p := &blackholeProxy{listener: l, target: target}
	go p.serve()
	tb.Cleanup(func() { _ = l.Close() })
	return p
}

func (p *blackholeProxy) serve() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		blackholed := &atomic.Bool{}
		p.mu.Lock()
		p.connections = append(p.connections, blackholed)
		p.mu.Unlock()
		go forward(in, out, blackholed)
		go forward(out, in, blackholed)
	}
}

func forward(from, to net.Conn, blackholed *atomic.Bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			if !blackholed.Load() {
				_ = to.Close()
			}
			return
		}
		if blackholed.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *blackholeProxy) blackholeOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, blackholed := range p.connections {
		blackholed.Store(true)
	}
}

// TestBlackholedPeerConnections puts a proxy in front of the peering port of each replica and blackholes all open
// connections between daemons while callers wait for answers.
func TestBlackholedPeerConnections(t *testing.T) {
	p := &processes{tb: t, folder: t.TempDir()}
	p.writeSettings(3, 4)
	var proxies []*blackholeProxy
	peers := p.settings[0].Keepers
	for i := range peers {
		proxy := newBlackholeProxy(t, peers[i].Address)
		proxies = append(proxies, proxy)
		peers[i].Address = proxy.listener.Addr().String()
	}
	p.rewriteSettings()
	p.commands = make([]*os.Process, 4)
	for i := range p.commands {
		p.start(i)
	}
	t.Cleanup(p.stopAll)
	w := newWorkload(p)
	p.apply(1, 8)
	p.addWorkers(4, registrar.DefaultTiming())
	w.submit(0, 30, 10*time.Millisecond, p.entries)
	for _, proxy := range proxies {
		proxy.blackholeOpen()
	}
	w.submit(30, 60, 10*time.Millisecond, p.entries)
	w.waitAndReport()
}

// TestMembershipRepair kills a replica, waits until a standby has replaced it, kills a second one immediately
// afterwards, and restarts the first under its old name with a wiped disk.
func TestMembershipRepair(t *testing.T) {
	t.Setenv("BLUEBELLGAUGE_TEST_REPAIR", "2s")
	p := &processes{tb: t, folder: t.TempDir()}
	p.writeSettings(3, 5)
	p.settings[3].Data = filepath.Join(p.folder, "standby")
	p.rewriteSettings()
	p.commands = make([]*os.Process, 5)
	for i := range p.commands {
		p.start(i)
	}
	t.Cleanup(p.stopAll)
	w := newWorkload(p)
	p.apply(1, 8)
	p.addWorkers(3, registrar.DefaultTiming())
	w.submit(0, 20, time.Millisecond, p.entries)
	p.awaitRole("vm4", "learner")
	first := p.leader()
	p.signalAndWait(first, os.Kill)
	p.awaitRole("vm4", "voter")
	p.awaitRole(p.settings[first].Name, "")
	second := p.leader()
	p.signalAndWait(second, os.Kill)
	w.submit(20, 40, time.Millisecond, p.entries)
	w.submit(0, 20, time.Millisecond, p.entries) // already answered; served by the remaining replicas
	p.noError(os.RemoveAll(p.settings[first].Data))
	p.start(first)
	w.waitAndReport()
	for i := range 20 {
		if n := len(w.runs[fmt.Sprintf("org/k%d", i)]); i%3 == 0 && n > 1 {
			t.Errorf("job k%d ran %d times", i, n)
		}
	}
	p.awaitRole(p.settings[first].Name, "voter") // replaces the second one
}

// awaitRole waits until a member has a role; "" means that it is not a member. A leader counts as a voter.
func (p *processes) awaitRole(name, role string) {
	p.tb.Helper()
	p.eventually(30*time.Second, name+" is "+role, func(ctx context.Context) bool {
		m := p.member(ctx, name)
		return m.known && strings.Replace(m.Role, "leader", "voter", 1) == role
	})
}

// memberState is a member as listed by the leader. known is false if no leader responded.
type memberState struct {
	Name, Role, Identity string
	known                bool
}

func (p *processes) member(ctx context.Context, name string) memberState {
	cl := client.New(p.entries, operatorToken)
	defer cl.Close()
	var members []memberState
	if cl.Get(ctx, "/v1/members", &members) != nil {
		return memberState{}
	}
	for _, m := range members {
		if m.Name == name {
			m.known = true
			return m
		}
	}
	return memberState{known: true}
}

// TestCorruptReplicaLog flips a bit in the log of a stopped replica. The replica must not vote with an incomplete log;
// it rejoins as a learner and is promoted.
func TestCorruptReplicaLog(t *testing.T) {
	t.Setenv("BLUEBELLGAUGE_TEST_REPAIR", "3s")
	p := startProcesses(t, 3, 4)
	w := newWorkload(p)
	p.apply(1, 8)
	p.addWorkers(2, registrar.DefaultTiming())
	w.submit(0, 10, time.Millisecond, p.entries)
	w.waitAndReport()
	var identity string
	p.eventually(20*time.Second, "vm3's identity is recorded", func(ctx context.Context) bool {
		identity = p.member(ctx, "vm3").Identity
		return identity != ""
	})
	p.signalAndWait(2, os.Kill)
	path := filepath.Join(p.settings[2].Data, "log")
	data, err := os.ReadFile(path)
	p.noError(err)
	data[len(data)/2] ^= 1
	p.noError(os.WriteFile(path, data, 0o600))
	p.start(2)
	p.eventually(20*time.Second, "the corrupt log is moved away", func(context.Context) bool {
		_, err := os.Stat(path + ".corrupt")
		return err == nil
	})
	p.eventually(30*time.Second, "vm3 votes with its new identity", func(ctx context.Context) bool {
		m := p.member(ctx, "vm3")
		return m.Role != "" && m.Role != "learner" && m.Identity != "" && m.Identity != identity
	})
	p.signalAndWait(0, os.Kill) // the remaining two form a quorum only if vm3 votes
	w.submit(10, 20, time.Millisecond, p.entries)
	w.waitAndReport()
}

// TestBlackholedCallerConnections blackholes the open connections between callers and an entry. Callers must retry
// over new connections, and no job may run twice because of that.
func TestBlackholedCallerConnections(t *testing.T) {
	p := startProcesses(t, 1, 2)
	w := newWorkload(p)
	p.apply(1, 8)
	p.addWorkers(2, registrar.DefaultTiming())
	proxy := newBlackholeProxy(t, p.entries[1].String())
	proxied := []netip.AddrPort{netip.MustParseAddrPort(proxy.listener.Addr().String())}
	w.minRunTime = time.Second // callers must still be waiting when their connections are blackholed
	w.submit(0, 9, 10*time.Millisecond, proxied)
	time.Sleep(200 * time.Millisecond)
	proxy.blackholeOpen()
	w.submit(9, 18, 10*time.Millisecond, proxied)
	w.waitAndReport()
}
