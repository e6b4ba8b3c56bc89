package applier

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/state/filer"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

var (
	powerRuns = flag.Int("power.runs", 3, "runs of the test that loses power")
	powerSeed = flag.Uint64("power.seed", 1, "first seed of the test that loses power")
)

// powerReplica is a replica whose process can be killed and whose machine can lose power.
type powerReplica struct {
	opts    Options
	disk    *filer.Volatile
	process *filer.VolatileProcess
	applier *Applier // nil while it is down
}

// powerCluster runs three such replicas.
type powerCluster struct {
	t        *testing.T
	rng      *rand.Rand
	replicas []*powerReplica
	mu       sync.Mutex          // held while replicas start and stop
	inboxes  map[string]*Applier // of the replicas that run
}

func newPowerCluster(t *testing.T, seed uint64) *powerCluster {
	t.Helper()
	c := &powerCluster{t: t, rng: rand.New(rand.NewPCG(seed, 0)), inboxes: map[string]*Applier{}}
	members := &messages.Members{Voters: []*messages.Member{{Name: "0"}, {Name: "1"}, {Name: "2"}}}
	for i, m := range members.GetVoters() {
		folder := t.TempDir()
		r := &powerReplica{disk: filer.NewVolatile(folder, seed+uint64(i))}
		r.opts = Options{
			Name: m.GetName(), Folder: folder, Bootstrap: members, Tick: 5 * time.Millisecond, SnapshotEvery: 10, Seed: seed + uint64(i),
			Now: time.Now, Send: func(list []*messages.Message) { c.send(r, list) },
			Deliver: func(uint64, uint64, bool, []scheduler.Order) {}, Log: zap.NewNop(),
		}
		c.replicas = append(c.replicas, r)
	}
	return c
}

// send delivers messages at once, unless a process is down or a queue is full.
func (c *powerCluster) send(from *powerReplica, list []*messages.Message) {
	if from.process.IsKilled() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range list {
		if to := c.inboxes[m.GetTo()]; to != nil {
			select {
			case to.peerInbox <- inputMessages{[]*messages.Message{m}}:
			default:
			}
		}
	}
}

// start starts the replicas that are down. Each is killed at a random operation, which may be one of the start.
func (c *powerCluster) start() {
	for _, r := range c.replicas {
		for r.applier == nil {
			r.process = r.disk.NewProcess(20 + c.rng.IntN(200))
			r.opts.Files = r.process
			a, err := New(r.opts)
			if err != nil && !r.process.IsKilled() {
				c.t.Fatal(err)
			}
			if err == nil {
				r.applier = a
			}
		}
		c.setInbox(r, r.applier)
	}
}

func (c *powerCluster) setInbox(r *powerReplica, a *Applier) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inboxes[r.opts.Name] = a
}

// kill kills a replica's process, and cuts its machine's power if cut is set.
func (c *powerCluster) kill(r *powerReplica, cut bool) {
	r.process.Kill()
	c.setInbox(r, nil)
	if r.applier != nil {
		r.applier.Stop()
		r.applier = nil
	}
	if !cut {
		return
	}
	if err := r.disk.LosePower(); err != nil {
		c.t.Fatal(err)
	}
}

// leader returns a replica that holds the lease, nil if there is none.
func (c *powerCluster) leader(ctx context.Context) *Applier {
	for _, r := range c.replicas {
		if r.applier != nil && !r.process.IsKilled() && r.applier.Read(ctx, func(uint64, *scheduler.State) {}) == nil {
			return r.applier
		}
	}
	return nil
}

// propose commits an event, and restarts processes that are killed meanwhile.
func (c *powerCluster) propose(ctx context.Context, e scheduler.Event) {
	c.t.Helper()
	for ctx.Err() == nil {
		if a := c.leader(ctx); a != nil {
			attempt, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
			_, err := a.Propose(attempt, e)
			cancel()
			if err == nil {
				return
			}
		}
		for _, r := range c.replicas {
			if r.process.IsKilled() {
				c.kill(r, c.rng.IntN(2) == 0)
			}
		}
		c.start()
		time.Sleep(time.Millisecond)
	}
	c.t.Fatal("no proposal was committed")
}

// countJobs returns the number of jobs that the leader knows.
func (c *powerCluster) countJobs(ctx context.Context) int {
	c.t.Helper()
	known := -1
	for known < 0 {
		c.propose(ctx, scheduler.Tick{})
		if a := c.leader(ctx); a != nil {
			_ = a.Read(ctx, func(_ uint64, s *scheduler.State) { known = len(s.Jobs("o", true)) }) // repeated if it fails
		}
	}
	return known
}

// TestAcknowledgedSurvivesPowerLossOfAll kills the processes of three replicas at any operation, one or all at once, with and
// without a loss of power. The next leader must know all jobs that were acknowledged before.
func TestAcknowledgedSurvivesPowerLossOfAll(t *testing.T) {
	for i := range *powerRuns {
		seed := *powerSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { testPowerLossOfAll(t, seed) })
	}
}

func testPowerLossOfAll(t *testing.T, seed uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c := newPowerCluster(t, seed)
	c.start()
	defer func() {
		for _, r := range c.replicas {
			c.kill(r, false)
		}
	}()
	events := testEvents(60)
	c.propose(ctx, events[0])
	for n, e := range events[1:] {
		c.propose(ctx, e)
		if c.rng.IntN(4) > 0 {
			continue
		}
		cut := c.rng.IntN(3) > 0
		for _, r := range c.replicas {
			c.kill(r, cut)
		}
		c.start()
		if known := c.countJobs(ctx); known != n+1 {
			t.Fatalf("the leader knows %d jobs, %d were acknowledged (-power.seed %d)", known, n+1, seed)
		}
	}
}
