package runner

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/entry/forwarder"
	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/state/applier"
	"github.com/bluebellgauge/bluebellgauge/internal/state/filer"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

var (
	lossRuns = flag.Int("loss.runs", 2, "plays of the test that loses disks and power at once")
	lossSeed = flag.Uint64("loss.seed", 1, "first seed of the test that loses disks and power at once")
)

const (
	lossTick        = 8 * time.Millisecond
	lossRepairAfter = 300 * time.Millisecond
	lossRounds      = 10
	lossWriters     = 3
	lossLimit       = 20 * time.Second // for a leader after a start, and for all voters after that
	lossPause       = 2 * time.Millisecond
	lossOperations  = 150 // of a process that is killed at one of them
	lossSync        = 10 * time.Millisecond
	lossStart       = 100 * time.Millisecond // longest time between the starts of two keepers
)

// lossProcess is a process of a keeper.
type lossProcess struct {
	files    *filer.VolatileProcess
	replica  *replica
	identity atomic.Pointer[string] // messages sent before it is set are dropped
	queue    chan *messages.Message
	number   uint64 // of the last heartbeat
	started  int64
}

// lossKeeper is a keeper on a machine that can lose power and its disk.
type lossKeeper struct {
	name    string
	first   *messages.Members // of an empty disk
	folder  string
	machine *filer.Volatile
	process atomic.Pointer[lossProcess] // nil while it is down
}

// lossGroup runs keepers that repair their membership, and writers.
type lossGroup struct {
	t          *testing.T
	seed       uint64
	rng        *rand.Rand
	tolerance  int // disks that may be lost at once
	keepers    []*lossKeeper
	starts     uint64
	isComplete bool // the first members are all voters
	lost       int  // disks since the membership was last whole
	running    sync.WaitGroup

	mu      sync.Mutex
	jobs    map[string]bool // acknowledged, by key
	version uint64          // of the last acknowledged catalog
	taken   chan struct{}   // receives after an acknowledgement
}

func newLossGroup(t *testing.T, seed uint64) *lossGroup {
	t.Helper()
	g := &lossGroup{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 2)), jobs: map[string]bool{}, taken: make(chan struct{}, 1)}
	g.tolerance = 1 + g.rng.IntN(2)
	founders := 3 + 2*g.rng.IntN(g.tolerance)
	g.isComplete = founders == 2*g.tolerance+1
	members := &messages.Members{}
	for i := range founders {
		members.Voters = append(members.Voters, &messages.Member{Name: fmt.Sprint("k", i)})
	}
	for i := range 2*g.tolerance + 1 + g.rng.IntN(3) {
		k := &lossKeeper{name: fmt.Sprint("k", i), first: &messages.Members{}}
		if i < founders {
			k.first = members
		}
		g.replaceDisk(k)
		g.keepers = append(g.keepers, k)
	}
	return g
}

func (g *lossGroup) replaceDisk(k *lossKeeper) {
	k.folder = g.t.TempDir()
	k.machine = filer.NewVolatile(k.folder, g.rng.Uint64())
}

// start starts the keepers that are down, in any order, at once or one after the other. The process of one may be killed at
// one of its disk operations. Syncs take long on some disks.
func (g *lossGroup) start() {
	g.t.Helper()
	limited, atOnce := g.rng.IntN(2*len(g.keepers)), g.rng.IntN(2) == 0
	for _, i := range g.rng.Perm(len(g.keepers)) {
		k, limit := g.keepers[i], -1
		if i == limited {
			limit = g.rng.IntN(lossOperations)
		}
		if k.process.Load() == nil && !atOnce {
			time.Sleep(time.Duration(g.rng.Int64N(int64(lossStart))))
		}
		syncTime := time.Duration(g.rng.IntN(3)) * lossSync / 2
		for k.process.Load() == nil {
			if g.startProcess(k, limit, syncTime) {
				continue
			}
			limit = -1 // it was killed as it started
			if err := k.machine.LosePower(); err != nil {
				g.t.Fatal(err)
			}
		}
	}
}

// startProcess starts the process of a keeper. It returns false if the process was killed meanwhile.
func (g *lossGroup) startProcess(k *lossKeeper, limit int, syncTime time.Duration) bool {
	g.t.Helper()
	p := &lossProcess{files: k.machine.NewProcess(limit), queue: make(chan *messages.Message, peerQueueLen), started: time.Now().UnixNano()}
	slow := func(op filer.Operation, _ string) error {
		if op == filer.OpSync {
			time.Sleep(syncTime)
		}
		return nil
	}
	g.starts++
	a, err := applier.New(applier.Options{
		Name: k.name, Files: filer.Faulty{Files: p.files, Fault: slow}, Folder: k.folder, Bootstrap: k.first, Tick: lossTick, SnapshotEvery: 12,
		Single: true, Seed: g.seed + g.starts, Now: time.Now, Send: p.send, Deliver: func(uint64, uint64, bool, []scheduler.Order) {}, Log: zap.NewNop(),
	})
	if err != nil && p.files.IsKilled() {
		return false
	}
	if err != nil {
		g.t.Fatalf("%s: %v (-loss.seed %d)", k.name, err, g.seed)
	}
	p.replica = &replica{
		applier: a, repair: newRepairer(2*g.tolerance+1, lossRepairAfter, 0), log: zap.NewNop(),
		server: forwarder.NewServer(forwarder.ServerOptions{Replica: a, Now: time.Now, Address: func(string) string { return "" }, Log: zap.NewNop()}),
	}
	identity := a.Identity()
	p.identity.Store(&identity)
	g.running.Go(func() { g.deliver(k.name, p) })
	k.process.Store(p)
	return true
}

func (p *lossProcess) send(list []*messages.Message) {
	for _, m := range list {
		select {
		case p.queue <- m:
		default:
		}
	}
}

// deliver passes on the messages of a process until it has ended.
func (g *lossGroup) deliver(name string, p *lossProcess) {
	for {
		select {
		case <-p.replica.applier.Done():
			return
		case m := <-p.queue:
			g.exchange(name, p, m)
		}
	}
}

func (g *lossGroup) exchange(name string, p *lossProcess, m *messages.Message) {
	i := slices.IndexFunc(g.keepers, func(k *lossKeeper) bool { return k.name == m.GetTo() })
	to := g.keepers[i].process.Load()
	if to == nil || p.files.IsKilled() || to.files.IsKilled() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 4*lossTick)
	defer cancel()
	// A message that isn't accepted is lost.
	_, _ = to.replica.server.Exchange(ctx, &messages.Batch{To: m.GetTo(), From: name, Identity: *p.identity.Load(), Messages: []*messages.Message{m}})
}

// kill ends the process of a keeper.
func (k *lossKeeper) kill() {
	if p := k.process.Swap(nil); p != nil {
		p.files.Kill()
		p.replica.applier.Stop()
	}
}

// strike replaces the disks of as many keepers as are tolerated at that moment, often that of the leader first. The others lose
// power at the same time.
func (g *lossGroup) strike() {
	g.t.Helper()
	leader := g.rng.IntN(len(g.keepers))
	for i, k := range g.keepers {
		if p := k.process.Load(); p != nil && p.replica.applier.Leader() == k.name {
			leader = i
		}
	}
	for _, k := range g.keepers {
		if p := k.process.Load(); p != nil {
			p.files.Kill()
		}
	}
	for _, k := range g.keepers {
		k.kill()
	}
	budget := g.tolerance - g.lost
	if g.rng.IntN(4) == 0 {
		budget = 0
	}
	order := g.rng.Perm(len(g.keepers))
	if g.rng.IntN(3) > 0 {
		order = append([]int{leader}, slices.DeleteFunc(order, func(i int) bool { return i == leader })...)
	}
	for n, i := range order {
		k := g.keepers[i]
		if n < budget {
			g.lost++
			k.first = &messages.Members{}
			g.replaceDisk(k)
			continue
		}
		if err := k.machine.LosePower(); err != nil {
			g.t.Fatal(err)
		}
	}
}

// leader returns the process that holds the lease, nil if there is none.
func (g *lossGroup) leader(ctx context.Context) (p *lossProcess, term uint64) {
	for _, k := range g.keepers {
		p := k.process.Load()
		if p == nil || p.files.IsKilled() {
			continue
		}
		if err := p.replica.applier.Read(ctx, func(current uint64, _ *scheduler.State) { term = current }); err == nil {
			return p, term
		}
	}
	return nil, 0
}

// tend sends the heartbeats of the keepers to the leader, which repairs the membership.
func (g *lossGroup) tend(ctx context.Context) {
	leader, term := g.leader(ctx)
	if leader == nil {
		return
	}
	for _, k := range g.keepers {
		p := k.process.Load()
		if p == nil || p.files.IsKilled() {
			continue
		}
		p.number++
		_, err := leader.replica.server.Sync(ctx, &messages.Beat{
			Daemon: k.name, Identity: p.replica.identity(ctx), Started: p.started, Number: p.number, Full: true,
		})
		if err != nil {
			return // it leads no longer
		}
	}
	leader.replica.repairMembership(ctx, term)
}

// isWhole reports whether all voters have the disks that the membership names, and all entries up to that are committed.
func (g *lossGroup) isWhole(ctx context.Context) bool {
	p, term := g.leader(ctx)
	if p == nil {
		return false
	}
	voters := p.replica.applier.Members().GetVoters()
	if len(voters) != 2*g.tolerance+1 {
		return false
	}
	for _, v := range voters {
		i := slices.IndexFunc(g.keepers, func(k *lossKeeper) bool { return k.name == v.GetName() })
		if other := g.keepers[i].process.Load(); other == nil || *other.identity.Load() != v.GetIdentity() {
			return false
		}
	}
	attempt, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_, err := p.replica.applier.ProposeIn(attempt, term, scheduler.Tick{})
	return err == nil
}

// restartKilled restarts the keepers whose processes were killed at a disk operation, and reports whether there were any.
func (g *lossGroup) restartKilled() bool {
	found := false
	for _, k := range g.keepers {
		if p := k.process.Load(); p != nil && p.files.IsKilled() {
			k.kill()
			found = true
		}
	}
	if found {
		g.start()
	}
	return found
}

// await tends the group until a condition holds.
func (g *lossGroup) await(what string, ok func(ctx context.Context) bool) {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), lossLimit)
	defer cancel()
	for !ok(ctx) {
		if ctx.Err() != nil {
			g.t.Fatalf("%s not within %v: %s (-loss.seed %d)", what, lossLimit, g.describe(), g.seed)
		}
		g.restartKilled()
		g.tend(ctx)
		time.Sleep(lossPause)
	}
}

func (g *lossGroup) describe() string {
	var list []string
	for _, k := range g.keepers {
		p := k.process.Load()
		if p == nil {
			list = append(list, k.name+" down")
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		s, err := p.replica.applier.Status(ctx)
		cancel()
		list = append(list, fmt.Sprintf("%s %v term %d applied %d committed %d voters %v error %v", k.name, s.Role, s.Term, s.Applied, s.Committed, voterNames(s.Members), err))
	}
	return strings.Join(list, "; ")
}

func voterNames(m *messages.Members) []string {
	var names []string
	for _, v := range m.GetVoters() {
		names = append(names, v.GetName()+"/"+v.GetIdentity())
	}
	return names
}

// check checks that the first leader after a loss has all that was acknowledged before.
func (g *lossGroup) check() {
	g.t.Helper()
	g.mu.Lock()
	jobs, version := make([]string, 0, len(g.jobs)), g.version
	for key := range g.jobs {
		jobs = append(jobs, key)
	}
	g.mu.Unlock()
	g.await("a leader", func(ctx context.Context) bool {
		p, _ := g.leader(ctx)
		if p == nil {
			return false
		}
		known, held := map[string]bool{}, uint64(0)
		err := p.replica.applier.Read(ctx, func(_ uint64, s *scheduler.State) {
			for _, j := range s.Jobs("o", true) {
				known[j.Key] = true
			}
			held = s.Queues().Catalog().GetVersion()
		})
		if err != nil {
			return false
		}
		missing := slices.DeleteFunc(slices.Clone(jobs), func(key string) bool { return known[key] })
		if len(missing) > 0 || held < version {
			g.t.Fatalf("the leader lacks %d of %d jobs, and has catalog %d of %d: %s (-loss.seed %d)", len(missing), len(jobs), held, version, g.describe(), g.seed)
		}
		return true
	})
}

// write submits jobs and installs catalogs until the end, and records those that are acknowledged.
func (g *lossGroup) write(writer int, end <-chan struct{}) {
	for n := uint64(1); ; n++ {
		submit := scheduler.Submit{Org: "o", Key: fmt.Sprintf("%d-%d", writer, n)}
		submit.Job.Service = "s"
		var event scheduler.Event = submit
		if writer == 0 {
			event = scheduler.ChangeQueues{Change: &messages.QueueChange{Catalog: &messages.Catalog{Version: n}}}
		}
		for !g.propose(event) {
			select {
			case <-end:
				return
			case <-time.After(lossPause):
			}
		}
		g.mu.Lock()
		if writer == 0 {
			g.version = n
		} else {
			g.jobs[submit.Key] = true
		}
		g.mu.Unlock()
		select {
		case g.taken <- struct{}{}:
		default:
		}
	}
}

func (g *lossGroup) propose(e scheduler.Event) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	p, term := g.leader(ctx)
	if p == nil {
		return false
	}
	_, err := p.replica.applier.ProposeIn(ctx, term, e)
	return err == nil && !p.files.IsKilled() // a process that was killed meanwhile has answered nobody
}

// strikeAtRandom waits for a moment and strikes: right after an acknowledgement, as a process is killed at a disk operation,
// or at any time.
func (g *lossGroup) strikeAtRandom() {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), lossLimit)
	defer cancel()
	end := time.Now().Add(time.Duration(g.rng.IntN(200)) * time.Millisecond)
	atKill, atTaken := g.rng.IntN(2) == 0, g.rng.IntN(2) == 0
	for time.Now().Before(end) {
		g.tend(ctx)
		time.Sleep(lossPause)
		if atKill && slices.ContainsFunc(g.keepers, func(k *lossKeeper) bool { p := k.process.Load(); return p != nil && p.files.IsKilled() }) {
			break
		}
		g.restartKilled()
	}
	if atTaken {
		for len(g.taken) > 0 {
			<-g.taken
		}
		select {
		case <-g.taken:
		case <-time.After(100 * time.Millisecond): // there may be no leader
		}
	}
	g.strike()
}

// TestLostDisksWhileAllOthersLosePower guards against the loss of acknowledged jobs and catalogs, and against a group without
// a leader, when as many disks as are tolerated are lost and all other keepers lose power at the same moment: while entries
// are written, snapshots saved or installed, learners promoted and voters replaced.
func TestLostDisksWhileAllOthersLosePower(t *testing.T) {
	for i := range *lossRuns {
		seed := *lossSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { testLostDisks(t, seed) })
	}
}

func testLostDisks(t *testing.T, seed uint64) {
	g := newLossGroup(t, seed)
	end := make(chan struct{})
	var writers sync.WaitGroup
	defer func() {
		close(end)
		writers.Wait()
		for _, k := range g.keepers {
			k.kill()
		}
		g.running.Wait()
	}()
	g.start()
	manifest := []byte(`{"version": 1, "places": [{"name": "p", "service": "s", "racks": 1, "workers": 1, "slots": 8,
		"processors": 8, "memory": 8}], "organisations": [{"name": "o", "token": "` + fmt.Sprintf("%064d", 0) + `"}]}`)
	g.await("the manifest", func(context.Context) bool { return g.propose(scheduler.ApplyManifest{Text: manifest}) })
	if !g.isComplete {
		g.await("a whole group", g.isWhole)
	}
	for i := range lossWriters {
		writers.Go(func() { g.write(i, end) })
	}
	wiped := 0
	for range lossRounds {
		before := g.lost
		g.strikeAtRandom()
		wiped += g.lost - before
		g.start()
		g.check()
		if g.rng.IntN(3) > 0 {
			g.await("a whole group", g.isWhole)
			g.lost = 0
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	t.Logf("%d keepers, %d disks lost, %d jobs and %d catalogs acknowledged", len(g.keepers), wiped, len(g.jobs), g.version)
}
