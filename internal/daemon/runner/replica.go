package runner

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
	"os"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/entry/forwarder"
	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/coordinator"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/report/evaluator"
	"github.com/bluebellgauge/bluebellgauge/internal/report/recorder"
	"github.com/bluebellgauge/bluebellgauge/internal/state/applier"
	"github.com/bluebellgauge/bluebellgauge/internal/state/replicator"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/dispatcher"
)

const (
	leadInterval   = 250 * time.Millisecond // between a leader's looks at what is due
	statusTimeout  = time.Second
	handOverWithin = 2 * time.Second
	folderMode     = 0o700
)

// replica is the part of a daemon that only keepers have.
type replica struct {
	applier    *applier.Applier
	server     *forwarder.Server
	dispatcher *dispatcher.Dispatcher
	history    *recorder.Recorder
	burn       *evaluator.Evaluator
	repair     *repairer
	queues     *coordinator.Coordinator
	log        *zap.Logger
	delivered  tally.Counter
}

func (r *Runner) buildReplica(metrics tally.Scope) error {
	s := r.opts.Settings
	bootstrap := &messages.Members{}
	for _, k := range s.Keepers {
		if s.Late {
			break // only a leader may take this daemon in
		}
		bootstrap.Voters = append(bootstrap.Voters, &messages.Member{Name: k.Name, Place: k.Place, Address: k.Address})
	}
	rep := &replica{log: r.log, burn: evaluator.New(), delivered: metrics.Counter("answers")}
	if err := os.MkdirAll(s.Data, folderMode); err != nil {
		return fmt.Errorf("make data folder: %w", err)
	}
	history, err := recorder.New(s.Data, func(l recorder.Line) { rep.burn.Observe(l.Record) }, func(err error) {
		r.log.Warn("account", zap.Error(err))
	})
	if err != nil {
		return err
	}
	rep.history = history
	rep.dispatcher = dispatcher.New(dispatcher.Options{
		Locate: rep.locate, Report: rep.commitAcks, Metrics: metrics, Log: r.log,
	})
	a, err := applier.New(applier.Options{
		Name: s.Name, Folder: s.Data, Bootstrap: bootstrap, Tick: r.opts.Tick,
		SnapshotEvery: r.opts.Snapshots, Seed: seedOf(s.Name), Now: time.Now,
		Send: r.peers.send, Deliver: rep.deliver, Log: r.log,
	})
	if err != nil {
		rep.dispatcher.Stop()
		return errors.Join(err, history.Close())
	}
	rep.applier = a
	identity := a.Identity()
	r.peers.identity.Store(&identity)
	members := a.Members
	r.peers.stored.Store(&members)
	rep.repair = newRepairer(cmp.Or(r.opts.Voters, len(s.Keepers)), r.opts.RepairAfter)
	rep.server = forwarder.NewServer(forwarder.ServerOptions{
		Replica: a, Timing: r.opts.Timing, Now: time.Now, Address: r.peers.keeperAddress, History: history, Burn: rep.burn,
	})
	rep.queues = r.conduct(rep)
	r.replica = rep
	r.wait.Go(func() { rep.lead(r.ctx) })
	r.wait.Go(func() {
		<-a.Done()
		if err := a.Failure(); err != nil {
			r.fail(err)
		}
	})
	return nil
}

// conduct starts the keeper's part of queues.
func (r *Runner) conduct(rep *replica) *coordinator.Coordinator {
	a, s := rep.applier, r.opts.Settings
	queues := coordinator.New(coordinator.Options{
		Timing: r.opts.Queues.Timing, Address: r.opts.Queues.Address,
		Read: func(ctx context.Context, read func(term uint64, book *tracker.Tracker)) error {
			return a.Read(ctx, func(term uint64, state *scheduler.State) { read(term, state.Queues()) })
		},
		Commit: func(ctx context.Context, change *messages.QueueChange) error {
			_, err := a.Propose(ctx, scheduler.ChangeQueues{Change: change})
			return err
		},
		RedirectError: rep.server.Explain, Wait: coordinator.Wait, Now: time.Now, Wall: time.Now, Metrics: r.opts.Metrics.SubScope("queues"), Log: r.log,
	})
	r.forward.SetLocal(forwarder.Local{
		Address: s.PeeringAddr(), Queues: queues,
		Leader: func() netip.AddrPort {
			name := a.Leader()
			if name == s.Name {
				return s.PeeringAddr()
			}
			address, err := netip.ParseAddrPort(r.peers.keeperAddress(name))
			if err != nil {
				return netip.AddrPort{} // no leader is known, or not its address
			}
			return address
		},
	})
	return queues
}

// seedOf spreads the election times of daemons, the same ones at each start.
func seedOf(name string) uint64 {
	h := fnv.New64a()
	// A hash takes any bytes.
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// deliver hands the orders that follow from an entry to the workers.
func (p *replica) deliver(index, term uint64, leading bool, orders []scheduler.Order) {
	for _, o := range orders {
		if _, ok := o.(scheduler.Answered); ok && leading {
			p.delivered.Inc(1)
		}
	}
	if leading {
		p.dispatcher.Send(term, orders)
	}
	for _, l := range p.history.Append(index, orders) {
		p.burn.Observe(l.Record)
	}
}

func (p *replica) locate(worker string) (netip.AddrPort, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	var address netip.AddrPort
	var known bool
	err := p.applier.ReadStale(ctx, func(s *scheduler.State) {
		info, ok := s.Worker(worker)
		address, known = info.Address, ok
	})
	return address, known && err == nil
}

func (p *replica) commitAcks(ctx context.Context, acks []scheduler.Ack) error {
	_, err := p.applier.Propose(ctx, scheduler.Report{Acks: acks})
	return err
}

// lead does what a leader must do again and again: send unconfirmed orders, and declare workers
// lost whose leases have run out.
func (p *replica) lead(ctx context.Context) {
	ticker := time.NewTicker(leadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.leadOnce(ctx)
		}
	}
}

func (p *replica) leadOnce(ctx context.Context) {
	var orders []scheduler.Order
	var lost []scheduler.WorkerLost
	var leading uint64
	err := p.applier.Read(ctx, func(term uint64, s *scheduler.State) {
		leading = term
		orders = s.Outstanding()
		lost = p.server.Lost(term, s)
	})
	if err != nil {
		return
	}
	p.dispatcher.Send(leading, orders)
	p.repairMembers(ctx, leading)
	for _, l := range lost {
		if _, err := p.applier.Propose(ctx, l); err != nil {
			p.log.Debug("loss not committed", zap.String("worker", l.Worker), zap.Error(err))
			return
		}
	}
}

func (p *replica) status(ctx context.Context) (applier.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return p.applier.Status(ctx)
}

func (p *replica) isLeader(ctx context.Context) bool {
	s, err := p.status(ctx)
	return err == nil && s.Role == replicator.Leader
}

func (p *replica) identity(ctx context.Context) string {
	s, err := p.status(ctx)
	if err != nil {
		return ""
	}
	return s.Identity
}

// handOver passes the leadership on and waits until it has gone.
func (p *replica) handOver(ctx context.Context) {
	deadline := time.Now().Add(handOverWithin)
	for time.Now().Before(deadline) && p.isLeader(ctx) {
		if ok, err := p.applier.Transfer(ctx); err != nil || !ok {
			return
		}
		time.Sleep(drainPoll)
	}
}

func (p *replica) stop() {
	p.queues.Stop()
	p.applier.Stop()
	p.dispatcher.Stop()
	if err := p.history.Close(); err != nil {
		p.log.Warn("close account", zap.Error(err))
	}
}
