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

const answerBound = 60 * time.Second

// campaign sends jobs from many callers and keeps what callers and workers saw.
type campaign struct {
	p    *processes
	mu   sync.Mutex
	runs map[string]map[uint32]bool   // attempts that truly began, by job
	open map[string]map[string]bool   // jobs that run now, by worker
	ends map[string]scheduler.Outcome // by job
	wait sync.WaitGroup
	errs []string
	base time.Duration // least run time of a job
}

func newCampaign(p *processes) *campaign {
	c := &campaign{p: p, runs: map[string]map[uint32]bool{}, open: map[string]map[string]bool{}, ends: map[string]scheduler.Outcome{}, base: 50 * time.Millisecond}
	p.observe = func(t executor.Trace) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.runs[t.Job] == nil {
			c.runs[t.Job] = map[uint32]bool{}
		}
		c.runs[t.Job][t.Attempt] = true
		if c.open[t.Worker] == nil {
			c.open[t.Worker] = map[string]bool{}
		}
		c.open[t.Worker][t.Job] = t.Running
	}
	return c
}

// submit sends jobs, one every so often, each through another first entry.
func (c *campaign) submit(from, until int, every time.Duration, entries []netip.AddrPort) {
	for i := from; i < until; i++ {
		first := append(entries[i%len(entries):len(entries):len(entries)], entries[:i%len(entries)]...)
		c.wait.Go(func() { c.call(i, first) })
		time.Sleep(every)
	}
}

func (c *campaign) call(i int, entries []netip.AddrPort) {
	key := fmt.Sprintf("k%d", i)
	idempotent := i%3 != 0
	job := parser.Job{Service: "s", Tasks: []int{1, 1, 2, 12}[i%4], Accelerators: 1, Adjacency: "any", Idempotent: &idempotent}
	job.Body = fmt.Appendf(nil, `{"run": "%dms", "echo": %q}`, c.base.Milliseconds()+int64(i%5)*100, key)
	ctx, cancel := context.WithTimeout(context.Background(), answerBound)
	defer cancel()
	cl := client.New(entries, orgToken)
	defer cl.Close()
	if _, err := cl.Submit(ctx, key, job); err != nil {
		c.fail("job %s was not taken: %v", key, err)
		return
	}
	view, err := cl.Answer(ctx, key)
	if err != nil || view.Answer == nil {
		c.fail("job %s has no answer: %v", key, err)
		return
	}
	c.judge(key, idempotent, view.Answer)
}

// judge compares an answer with what workers did.
func (c *campaign) judge(key string, idempotent bool, a *scheduler.Answer) {
	var reply struct{ Echo string }
	if a.Outcome == scheduler.Done && (json.Unmarshal(a.Body, &reply) != nil || reply.Echo != key) {
		c.fail("job %s got the answer %q", key, a.Body)
	}
	c.mu.Lock()
	attempts := len(c.runs["org/"+key])
	c.ends["org/"+key] = a.Outcome
	c.mu.Unlock()
	if a.Outcome == scheduler.NotRun && attempts > 0 {
		c.fail("job %s was said not to have run and ran %d times", key, attempts)
	}
	if !idempotent && attempts > 1 {
		c.fail("job %s is not idempotent and ran %d times", key, attempts)
	}
	if a.Outcome == scheduler.Unknown && idempotent {
		c.fail("job %s is idempotent and ended %s", key, a.Outcome)
	}
}

func (c *campaign) fail(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.errs = append(c.errs, fmt.Sprintf(format, args...))
}

func (c *campaign) finish() {
	c.p.tb.Helper()
	c.wait.Wait()
	for _, e := range c.errs {
		c.p.tb.Error(e)
	}
}

// TestKilledDaemons kills the leader, and then an entry, by -9 while callers wait, and starts
// both again from what is on their disks.
func TestKilledDaemons(t *testing.T) {
	p := startProcesses(t, 3, 5)
	c := newCampaign(p)
	p.apply(1, 8)
	p.addWorkers(6, registrar.DefaultTiming())
	c.submit(0, 40, 10*time.Millisecond, p.entries)
	leader := p.leader()
	p.end(leader, os.Kill)
	c.submit(40, 80, 10*time.Millisecond, p.entries)
	p.end(4, os.Kill)
	p.start(leader)
	c.submit(80, 120, 10*time.Millisecond, p.entries)
	p.start(4)
	c.finish()
}

// TestAllRestartedAtOnce kills every daemon by -9 and starts them all again. Answers that were
// given must still stand.
func TestAllRestartedAtOnce(t *testing.T) {
	p := startProcesses(t, 3, 5)
	c := newCampaign(p)
	p.apply(1, 8)
	p.addWorkers(3, registrar.DefaultTiming())
	c.submit(0, 20, time.Millisecond, p.entries)
	c.finish()
	for i := range p.commands {
		p.end(i, os.Kill)
	}
	for i := range p.commands {
		p.start(i)
	}
	c.submit(0, 40, time.Millisecond, p.entries) // the first half again, with the same keys
	c.finish()
	for i := range 20 {
		if n := len(c.runs[fmt.Sprintf("org/k%d", i)]); n > 1 {
			t.Errorf("job k%d ran %d times, though its answer was known", i, n)
		}
	}
}

// TestRollingRestart drains and restarts every daemon in turn under load. No request may be cut.
func TestRollingRestart(t *testing.T) {
	p := startProcesses(t, 3, 5)
	c := newCampaign(p)
	p.apply(1, 8)
	p.addWorkers(6, registrar.DefaultTiming())
	var sent atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range p.commands {
			p.end(i, syscall.SIGTERM)
			p.start(i)
		}
	}()
	for {
		n := int(sent.Add(5))
		c.submit(n-5, n, 20*time.Millisecond, p.entries)
		select {
		case <-done:
			c.finish()
			if n := len(c.runs); n < 20 {
				t.Errorf("only %d jobs ran during the restarts", n)
			}
			return
		default:
		}
	}
}

// TestFrozenWorker stops a worker's process for longer than its leases run, in effect: its
// reports and replies stop while its gangs run. The gang is stopped and run again elsewhere.
func TestFrozenWorker(t *testing.T) {
	p := startProcesses(t, 1, 2)
	c := newCampaign(p)
	p.apply(1, 8)
	p.addWorkers(4, registrar.DefaultTiming())
	c.base = 2 * time.Second
	c.submit(0, 16, time.Millisecond, p.entries)
	p.eventually(20*time.Second, "something runs on the worker", func(context.Context) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.open["w000"]) > 0
	})
	p.workers[0].Faults.Silent.Store(true)
	c.mu.Lock()
	frozen := maps.Clone(c.open["w000"])
	c.mu.Unlock()
	c.finish()
	for job, running := range frozen {
		if running && len(c.runs[job]) < 2 && c.ends[job] != scheduler.Unknown {
			t.Errorf("job %s ran on the frozen worker, then nowhere else, and ended %s", job, c.ends[job])
		}
	}
}

// TestRacingOperators sends equal versions with different contents through all entries at once.
// One of them wins and each is told the truth, also when it asks again.
func TestRacingOperators(t *testing.T) {
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
				if _, again := cl.Apply(ctx, text); (again == nil) != (err == nil) {
					t.Errorf("first told %v, then %v", err, again)
				}
				outcomes[i] = outcome{text, v, err}
			})
		}
		wait.Wait()
		won := 0
		for _, o := range outcomes {
			if o.err == nil {
				won++
			}
		}
		if won != 1 {
			t.Errorf("version %d: %d operators were told that theirs is in force", version, won)
		}
	}
	p.eventually(7*time.Second, "the last version in force at every daemon", func(ctx context.Context) bool {
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

// silentProxy passes connections on until it is told to swallow all that are open then, for
// good and without a word. New connections work.
type silentProxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	open     []*atomic.Bool
}

func newSilentProxy(tb testing.TB, target string) *silentProxy {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	s := &silentProxy{listener: l, target: target}
	go s.serve()
	tb.Cleanup(func() { _ = l.Close() })
	return s
}

func (s *silentProxy) serve() {
	for {
		in, err := s.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", s.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		swallow := &atomic.Bool{}
		s.mu.Lock()
		s.open = append(s.open, swallow)
		s.mu.Unlock()
		go pass(in, out, swallow)
		go pass(out, in, swallow)
	}
}

func pass(from, to net.Conn, swallow *atomic.Bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			if !swallow.Load() {
				_ = to.Close()
			}
			return
		}
		if swallow.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (s *silentProxy) swallowOpen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.open {
		o.Store(true)
	}
}

// TestSilentConnections puts a proxy before each daemon's port for the others, and swallows all
// open connections between daemons for good while callers wait.
func TestSilentConnections(t *testing.T) {
	p := &processes{tb: t, folder: t.TempDir()}
	p.writeSettings(3, 4)
	var proxies []*silentProxy
	peers := p.settings[0].Keepers
	for i := range peers {
		proxy := newSilentProxy(t, peers[i].Address)
		proxies = append(proxies, proxy)
		peers[i].Address = proxy.listener.Addr().String()
	}
	p.rewriteSettings()
	p.commands = make([]*os.Process, 4)
	for i := range p.commands {
		p.start(i)
	}
	t.Cleanup(p.stopAll)
	c := newCampaign(p)
	p.apply(1, 8)
	p.addWorkers(4, registrar.DefaultTiming())
	c.submit(0, 30, 10*time.Millisecond, p.entries)
	for _, proxy := range proxies {
		proxy.swallowOpen()
	}
	c.submit(30, 60, 10*time.Millisecond, p.entries)
	c.finish()
}

// TestRepairedKeepers loses a keeper for good, waits until a standby has taken its place, loses a
// second one right then, and lets the first come back with a wiped disk under its old name.
func TestRepairedKeepers(t *testing.T) {
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
	c := newCampaign(p)
	p.apply(1, 8)
	p.addWorkers(3, registrar.DefaultTiming())
	c.submit(0, 20, time.Millisecond, p.entries)
	p.awaitRole("vm4", "learner")
	first := p.leader()
	p.end(first, os.Kill)
	p.awaitRole("vm4", "voter")
	p.awaitRole(p.settings[first].Name, "")
	second := p.leader()
	p.end(second, os.Kill)
	c.submit(20, 40, time.Millisecond, p.entries)
	c.submit(0, 20, time.Millisecond, p.entries) // known answers, from the keepers that are left
	p.must(os.RemoveAll(p.settings[first].Data))
	p.start(first)
	c.finish()
	for i := range 20 {
		if n := len(c.runs[fmt.Sprintf("org/k%d", i)]); i%3 == 0 && n > 1 {
			t.Errorf("job k%d ran %d times", i, n)
		}
	}
	p.awaitRole(p.settings[first].Name, "voter") // in place of the second one
}

// awaitRole waits until a member has a role, "" for none. A leader counts as a voter.
func (p *processes) awaitRole(name, role string) {
	p.tb.Helper()
	p.eventually(30*time.Second, name+" is "+role, func(ctx context.Context) bool {
		m := p.member(ctx, name)
		return m.known && strings.Replace(m.Role, "leader", "voter", 1) == role
	})
}

// memberState is how the leader lists a member, known when a leader answered.
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

// TestCorruptKeeper flips a bit in the log of a keeper that is down. It must not speak for what it
// no longer knows; it comes back as a learner and is promoted.
func TestCorruptKeeper(t *testing.T) {
	t.Setenv("BLUEBELLGAUGE_TEST_REPAIR", "3s")
	p := startProcesses(t, 3, 4)
	c := newCampaign(p)
	p.apply(1, 8)
	p.addWorkers(2, registrar.DefaultTiming())
	c.submit(0, 10, time.Millisecond, p.entries)
	c.finish()
	var identity string
	p.eventually(20*time.Second, "vm3's identity is noted", func(ctx context.Context) bool {
		identity = p.member(ctx, "vm3").Identity
		return identity != ""
	})
	p.end(2, os.Kill)
	path := filepath.Join(p.settings[2].Data, "log")
	data, err := os.ReadFile(path)
	p.must(err)
	data[len(data)/2] ^= 1
	p.must(os.WriteFile(path, data, 0o600))
	p.start(2)
	p.eventually(20*time.Second, "the log is put aside", func(context.Context) bool {
		_, err := os.Stat(path + ".corrupt")
		return err == nil
	})
	p.eventually(30*time.Second, "vm3 votes with its new disk", func(ctx context.Context) bool {
		m := p.member(ctx, "vm3")
		return m.Role != "" && m.Role != "learner" && m.Identity != "" && m.Identity != identity
	})
	p.end(0, os.Kill) // the two that are left are a quorum only if vm3 counts
	c.submit(10, 20, time.Millisecond, p.entries)
	c.finish()
}

// TestSilentCallers swallows the open connections between callers and an entry for good. Callers
// ask again over new connections, and nothing runs twice for it.
func TestSilentCallers(t *testing.T) {
	p := startProcesses(t, 1, 2)
	c := newCampaign(p)
	p.apply(1, 8)
	p.addWorkers(2, registrar.DefaultTiming())
	proxy := newSilentProxy(t, p.entries[1].String())
	through := []netip.AddrPort{netip.MustParseAddrPort(proxy.listener.Addr().String())}
	c.base = time.Second // so that callers wait for answers when their connections fall silent
	c.submit(0, 9, 10*time.Millisecond, through)
	time.Sleep(200 * time.Millisecond)
	proxy.swallowOpen()
	c.submit(9, 18, 10*time.Millisecond, through)
	c.finish()
}
