package applier

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/state/filer"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

var (
	outageRuns = flag.Int("outage.runs", 2, "plays of the test with slow, full and hanging disks")
	outageSeed = flag.Uint64("outage.seed", 1, "first seed of the test with slow, full and hanging disks")
)

const (
	outageTick   = 20 * time.Millisecond
	outagePeriod = 3 * time.Second // with faults
	// outageLag is how long after the end of all faults a replica may lack what is acknowledged: the longest wait of a suspended
	// replica for its next probe, and elections and writes on a busy machine.
	outageLag     = maxResumeWait + 3*time.Second
	outageWriters = 3
)

// outageDisk is a disk whose operations are slow, refused or held up. The zero value is sound.
type outageDisk struct {
	mu    sync.Mutex
	full  bool
	delay time.Duration
	held  chan struct{} // operations wait until it is closed, nil for none
}

func (d *outageDisk) fault(op filer.Operation, _ string) error {
	d.mu.Lock()
	full, delay, held := d.full, d.delay, d.held
	d.mu.Unlock()
	changes := op == filer.OpWrite || op == filer.OpSync || op == filer.OpRename
	switch {
	case !changes:
	case full:
		return syscall.ENOSPC
	case held != nil:
		<-held
	case op == filer.OpSync:
		time.Sleep(delay)
	}
	return nil
}

// set replaces the fault. Operations that were held up go on.
func (d *outageDisk) set(full bool, delay time.Duration, held chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.held != nil {
		close(d.held)
	}
	d.full, d.delay, d.held = full, delay, held
}

// outageReplica is a replica on such a disk, whose process can be killed and whose machine can lose power.
type outageReplica struct {
	opts    Options
	disk    outageDisk
	machine *filer.Volatile
	process atomic.Pointer[filer.VolatileProcess]
	applier atomic.Pointer[Applier] // nil while it is down
}

// outageCluster runs such replicas and the writers.
type outageCluster struct {
	t        *testing.T
	seed     uint64
	rng      *rand.Rand
	replicas []*outageReplica
	count    atomic.Int64 // of acknowledged jobs
	mu       sync.Mutex
	jobs     map[string]Receipt // acknowledged, by key
	stale    atomic.Int64       // reads with a lease that lacked some
}

func newOutageCluster(t *testing.T, seed uint64) *outageCluster {
	t.Helper()
	c := &outageCluster{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), jobs: map[string]Receipt{}}
	members := &messages.Members{}
	for i := range 3 + 2*c.rng.IntN(2) {
		members.Voters = append(members.Voters, &messages.Member{Name: fmt.Sprint(i)})
	}
	for i, m := range members.GetVoters() {
		folder := t.TempDir()
		r := &outageReplica{machine: filer.NewVolatile(folder, seed+uint64(i))}
		r.opts = Options{
			Name: m.GetName(), Folder: folder, Bootstrap: members, Tick: outageTick, SnapshotEvery: 40, Seed: seed + uint64(i),
			Now: time.Now, Send: func(list []*messages.Message) { c.send(r, list) },
			Deliver: func(uint64, uint64, bool, []scheduler.Order) {}, Log: zap.NewNop(),
		}
		c.replicas = append(c.replicas, r)
	}
	return c
}

// send delivers messages at once, unless a process is down or a queue is full.
func (c *outageCluster) send(from *outageReplica, list []*messages.Message) {
	if from.process.Load().IsKilled() {
		return
	}
	for _, m := range list {
		for _, to := range c.replicas {
			a := to.applier.Load()
			if to.opts.Name != m.GetTo() || a == nil || to.process.Load().IsKilled() {
				continue
			}
			select {
			case a.peerInbox <- inputMessages{[]*messages.Message{m}}:
			default:
			}
		}
	}
}

// start starts a replica that is down. It fails while its disk is full.
func (r *outageReplica) start() error {
	if r.applier.Load() != nil {
		return nil
	}
	p := r.machine.NewProcess(-1)
	r.process.Store(p)
	opts := r.opts
	opts.Files = filer.Faulty{Files: p, Fault: r.disk.fault}
	a, err := New(opts)
	if err == nil {
		r.applier.Store(a)
	}
	return err
}

// startAll ends all faults and starts the replicas that are down.
func (c *outageCluster) startAll() {
	c.t.Helper()
	for _, r := range c.replicas {
		r.disk.set(false, 0, nil)
		if err := r.start(); err != nil {
			c.t.Fatal(err)
		}
	}
}

// kill kills a replica's process, and cuts its machine's power if cut is set.
func (c *outageCluster) kill(r *outageReplica, cut bool) {
	a := r.applier.Swap(nil)
	if a == nil {
		return
	}
	r.process.Load().Kill()
	r.disk.set(false, 0, nil)
	a.Stop()
	if !cut {
		return
	}
	if err := r.machine.LosePower(); err != nil {
		c.t.Error(err)
	}
}

// disrupt draws one fault.
func (c *outageCluster) disrupt() {
	r := c.replicas[c.rng.IntN(len(c.replicas))]
	switch c.rng.IntN(10) {
	case 0, 1, 2:
		r.disk.set(false, 200*time.Millisecond+time.Duration(c.rng.IntN(1000))*time.Millisecond, nil)
	case 3:
		r.disk.set(true, 0, nil)
	case 4:
		r.disk.set(false, 0, make(chan struct{}))
	case 5:
		// Of several machines at once, some lose power.
		for _, other := range c.replicas {
			if other == r || c.rng.IntN(3) == 0 {
				c.kill(other, c.rng.IntN(2) == 0)
			}
		}
	case 6:
		if a := r.applier.Load(); a != nil {
			ctx, cancel := context.WithTimeout(context.Background(), outageTick)
			_ = a.call(ctx, func() error { // it may not lead, or have stopped
				a.node.Transfer()
				return nil
			})
			cancel()
		}
	default:
		r.disk.set(false, 0, nil)
		for _, other := range c.replicas {
			if other.applier.Load() == nil {
				other.disk.set(false, 0, nil) // a start may wait for its disk
				_ = other.start()             // it is repeated at the end
			}
		}
	}
}

// write submits jobs until the end, and records those that are acknowledged. Each read with a lease must show all of them.
func (c *outageCluster) write(writer int, end <-chan struct{}) {
	for n := 0; ; n++ {
		submit := scheduler.Submit{Org: "o", Key: fmt.Sprintf("%d-%d", writer, n)}
		submit.Job.Service = "s"
		for !c.tryWrite(submit.Key, submit) {
			select {
			case <-end:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}
}

func (c *outageCluster) tryWrite(key string, e scheduler.Event) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	for _, r := range c.replicas {
		a := r.applier.Load()
		if a == nil {
			continue
		}
		acknowledged, known, term := c.count.Load(), 0, uint64(0)
		err := a.Read(ctx, func(current uint64, s *scheduler.State) { term, known = current, len(s.Jobs("o", true)) })
		if err != nil {
			continue
		}
		if int64(known) < acknowledged {
			c.stale.Add(1)
		}
		receipt, err := a.ProposeIn(ctx, term, e)
		if err != nil {
			continue
		}
		if key != "" {
			c.mu.Lock()
			c.jobs[key] = receipt
			c.mu.Unlock()
			c.count.Add(1)
		}
		return true
	}
	return false
}

// acknowledged returns the keys of the acknowledged jobs.
func (c *outageCluster) acknowledged() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.jobs))
}

// missing returns the number of jobs that a replica lacks.
func (r *outageReplica) missing(keys []string) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	known := map[string]bool{}
	err := r.applier.Load().ReadStale(ctx, func(s *scheduler.State) {
		for _, j := range s.Jobs("o", true) {
			known[j.Key] = true
		}
	})
	missing := 0
	for _, key := range keys {
		if err != nil || !known[key] {
			missing++
		}
	}
	return missing
}

// checkLag checks that all replicas have the jobs within the bound after a time.
func (c *outageCluster) checkLag(healed time.Time, keys []string) {
	c.t.Helper()
	for _, r := range c.replicas {
		missing, late := r.missing(keys), ""
		for ; missing > 0 && time.Since(healed) < outageLag; missing = r.missing(keys) {
			if late == "" && time.Since(healed) > time.Second {
				late = r.describe()
				c.t.Logf("replica %s lacks %d of %d jobs after 1 s: %s", r.opts.Name, missing, len(keys), late)
			}
			time.Sleep(5 * time.Millisecond)
		}
		if missing > 0 {
			c.t.Errorf("replica %s lacks %d of %d jobs %v after the faults: %s (-outage.seed %d)",
				r.opts.Name, missing, len(keys), time.Since(healed), r.describe(), c.seed)
		}
	}
	c.t.Logf("%d replicas have %d jobs after %v", len(c.replicas), len(keys), time.Since(healed))
}

// describe returns the status of a replica for the log.
func (r *outageReplica) describe() string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	s, err := r.applier.Load().Status(ctx)
	return fmt.Sprintf("%v, leader %q, term %d, applied %d, committed %d, suspended %v, error %v", s.Role, s.Leader, s.Term, s.Applied, s.Committed, s.Suspended, err)
}

// TestOutagesOfDisks guards against acknowledged jobs that a replica lacks for longer than a suspension lasts, or that are lost,
// after slow, full and hanging disks, kills and losses of power.
func TestOutagesOfDisks(t *testing.T) {
	for i := range *outageRuns {
		seed := *outageSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			testOutagesOfDisks(t, seed)
		})
	}
}

func testOutagesOfDisks(t *testing.T, seed uint64) {
	c := newOutageCluster(t, seed)
	c.startAll()
	defer func() {
		for _, r := range c.replicas {
			c.kill(r, false)
		}
	}()
	for deadline := time.Now().Add(20 * time.Second); !c.tryWrite("", testEvents(0)[0]); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no leader")
		}
	}
	end := make(chan struct{})
	var writers sync.WaitGroup
	for i := range outageWriters {
		writers.Go(func() { c.write(i, end) })
	}
	for stop := time.Now().Add(outagePeriod); time.Now().Before(stop); time.Sleep(time.Duration(c.rng.IntN(100)) * time.Millisecond) {
		c.disrupt()
	}
	c.startAll()
	healed := time.Now()
	close(end)
	c.checkLag(healed, c.acknowledged())
	writers.Wait()
	c.checkLag(time.Now(), c.acknowledged())
	if c.stale.Load() > 0 {
		t.Errorf("%d reads with a lease lacked acknowledged jobs (-outage.seed %d)", c.stale.Load(), seed)
	}
}
