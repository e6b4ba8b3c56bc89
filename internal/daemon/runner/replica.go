package runner

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
	"runtime"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/entry/forwarder"
	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/coordinator"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/report/evaluator"
	"github.com/bluebellgauge/bluebellgauge/internal/report/recorder"
	"github.com/bluebellgauge/bluebellgauge/internal/state/applier"
	"github.com/bluebellgauge/bluebellgauge/internal/state/filer"
	"github.com/bluebellgauge/bluebellgauge/internal/state/persister"
	"github.com/bluebellgauge/bluebellgauge/internal/state/replicator"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/dispatcher"
)

const (
	leaderInterval  = 250 * time.Millisecond // between runs of the leader's periodic tasks
	statusTimeout   = time.Second
	transferTimeout = 2 * time.Second
)

// replica holds the components that only daemons with a data folder have.
type replica struct {
	applier    *applier.Applier
	server     *forwarder.Server
	dispatcher *dispatcher.Dispatcher
	history    *recorder.Recorder
	burn       *evaluator.Evaluator
	repair     *repairer
	queues     *coordinator.Coordinator
	log        *zap.Logger
	answered   tally.Counter
}

func (r *Runner) buildReplica(metrics tally.Scope) error {
	s := r.opts.Settings
	bootstrap := &messages.Members{}
	for _, peer := range s.Keepers {
		if s.Late {
			break // joins only through a membership change by a leader
		}
		bootstrap.Voters = append(bootstrap.Voters, &messages.Member{Name: peer.Name, Place: peer.Place, Address: peer.Address})
	}
	rep := &replica{log: r.log, burn: evaluator.New(), answered: metrics.Counter("answers")}
	if err := filer.MakeFolder(r.opts.Files, s.Data); err != nil {
		return fmt.Errorf("create data folder: %w", err)
	}
	rep.history = recorder.New(r.opts.Files, s.Data, func(l recorder.Line) { rep.burn.Observe(l.Record) }, func(err error) {
		r.log.Warn("history failed", zap.Error(err))
	})
	rep.dispatcher = dispatcher.New(dispatcher.Options{
		Locate: rep.workerAddress, Report: rep.commitAcks, Metrics: metrics, Log: r.log,
	})
	a, err := applier.New(applier.Options{
		Name: s.Name, Files: r.opts.Files, Folder: s.Data, Bootstrap: bootstrap, Tick: r.opts.Tick,
		SnapshotEvery: r.opts.Snapshots, SnapshotBytes: cmp.Or(r.opts.SnapshotBytes, DefaultSnapshotBytes), Seed: electionSeed(s.Name), Now: time.Now,
		Single: r.opts.Single, Send: r.peering.send, Deliver: rep.deliver, Log: r.log,
	})
	if err != nil {
		rep.dispatcher.Stop()
		return errors.Join(err, rep.history.Close())
	}
	rep.applier = a
	identity := a.Identity()
	r.peering.identity.Store(&identity)
	members := a.Members
	r.peering.storedMembers.Store(&members)
	rep.repair = newRepairer(cmp.Or(r.opts.Voters, len(s.Keepers)), r.opts.RepairAfter, r.opts.ReplaceAfter)
	rep.server = forwarder.NewServer(forwarder.ServerOptions{
		Replica: a, Timing: r.opts.Timing, Now: time.Now, Address: r.peering.replicaAddress, History: rep.history, Burn: rep.burn, Log: r.log,
	})
	rep.queues = r.startCoordinator(rep)
	r.replica = rep
	r.wait.Go(func() { rep.leaderLoop(r.ctx) })
	r.wait.Go(func() {
		<-a.Done()
		if err := a.Failure(); err != nil {
			r.fail(err)
		}
	})
	return nil
}

// entryMargin is the room in a log entry for what goes with a job or a catalog, in bytes.
const entryMargin = 4 << 10

// startCoordinator starts the queue coordinator of a replica and routes local queue calls to it.
func (r *Runner) startCoordinator(rep *replica) *coordinator.Coordinator {
	a, s := rep.applier, r.opts.Settings
	var current *scheduler.State // during Read
	queues := coordinator.New(coordinator.Options{
		Timing: r.opts.Queues.Timing, Address: r.opts.Queues.Address,
		Read: func(ctx context.Context, read func(term uint64, state *tracker.Tracker)) error {
			return a.Read(ctx, func(term uint64, state *scheduler.State) {
				current = state
				defer func() { current = nil }()
				read(term, state.Queues())
			})
		},
		Commit: func(ctx context.Context, term uint64, change *messages.QueueChange) (applier.Receipt, error) {
			return a.ProposeIn(ctx, term, scheduler.ChangeQueues{Change: change})
		},
		RedirectError: rep.server.RedirectError, Wait: coordinator.Wait, Now: time.Now, Wall: time.Now, Metrics: r.opts.Metrics.SubScope("queues"), Log: r.log,
		Cores: cmp.Or(r.opts.Queues.Cores, float64(runtime.GOMAXPROCS(0))), RackFactor: r.opts.Queues.RackFactor,
		MaxMessage: persister.MaxEntryBytes - entryMargin, Places: r.opts.Queues.Places, OutdatedKeeper: rep.server.OutdatedKeeper,
		KnowsPlace: func(term uint64, place string) bool {
			return current.HasPlace(place) || rep.server.HasDaemonIn(term, place)
		},
		Preemption: r.opts.Queues.Preemption,
	})
	r.forwarder.SetLocalReplica(forwarder.LocalReplica{
		Address: s.PeeringAddr(), Queues: queues,
		Leader: func() netip.AddrPort {
			name := a.Leader()
			if name == s.Name {
				return s.PeeringAddr()
			}
			address, err := netip.ParseAddrPort(r.peering.replicaAddress(name))
			if err != nil {
				return netip.AddrPort{} // the leader or its address is unknown
			}
			return address
		},
	})
	return queues
}

// settingsPlaces returns the places that the settings of a daemon name.
func settingsPlaces(s *parser.Settings) []string {
	places := []string{s.Place}
	for _, k := range s.Keepers {
		places = append(places, k.Place)
	}
	return places
}

// electionSeed derives the seed of the randomized election timeouts from the daemon's name, so that it differs
// between daemons and stays the same across restarts.
func electionSeed(name string) uint64 {
	h := fnv.New64a()
	// Write to a hash never returns an error.
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// deliver receives the orders that result from an applied entry. On the leader it sends them to the workers; every
// replica records them in its history.
func (p *replica) deliver(index, term uint64, leading bool, orders []scheduler.Order) {
	for _, o := range orders {
		if _, ok := o.(scheduler.Answered); ok && leading {
			p.answered.Inc(1)
		}
	}
	if leading {
		p.dispatcher.Send(term, orders)
	}
	for _, l := range p.history.Append(index, orders) {
		p.burn.Observe(l.Record)
	}
}

func (p *replica) workerAddress(worker string) (netip.AddrPort, bool) {
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

// leaderLoop runs the leader's periodic tasks: it resends unacknowledged orders, repairs the membership and
// declares workers lost whose leases have expired.
func (p *replica) leaderLoop(ctx context.Context) {
	ticker := time.NewTicker(leaderInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.runLeaderTasks(ctx)
		}
	}
}

func (p *replica) runLeaderTasks(ctx context.Context) {
	var orders []scheduler.Order
	var lost []scheduler.WorkerLost
	var leaderTerm uint64
	var removable int
	err := p.applier.Read(ctx, func(term uint64, s *scheduler.State) {
		leaderTerm = term
		removable = s.RemovableHealth()
		orders = s.Outstanding()
		lost = p.server.Lost(term, s)
	})
	if err != nil {
		return
	}
	p.dispatcher.Send(leaderTerm, orders)
	p.repairMembership(ctx, leaderTerm)
	for _, l := range lost {
		if _, err := p.applier.ProposeIn(ctx, leaderTerm, l); err != nil {
			p.log.Debug("commit of worker loss failed", zap.String("worker", l.Worker), zap.Error(err))
			return
		}
	}
	if removable > 0 {
		p.pruneHealth(ctx, leaderTerm, removable)
	}
}

// pruneHealth removes health records that are no longer needed, unless a member of the group may be of a build that refuses
// the entry.
func (p *replica) pruneHealth(ctx context.Context, term uint64, records int) {
	s, err := p.status(ctx)
	if err != nil || !p.server.AllApply(term, slices.Concat(s.Members.GetVoters(), s.Members.GetLearners())) {
		return
	}
	if _, err := p.applier.ProposeIn(ctx, term, scheduler.PruneHealth{}); err != nil {
		p.log.Debug("commit of removed health records failed", zap.Error(err))
		return
	}
	p.log.Info("health records are removed", zap.Int("records", records), zap.Int("format", scheduler.EntryFormat))
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

// identity returns the identity of the data folder, or "" while the replica can't take part: then another one may have
// to replace it.
func (p *replica) identity(ctx context.Context) string {
	s, err := p.status(ctx)
	if err != nil || s.Suspended {
		return ""
	}
	return s.Identity
}

// transferLeadership makes the replica hand over the leadership whenever it has it. It waits, up to transferTimeout and until
// end, while a transfer is in progress.
func (p *replica) transferLeadership(ctx context.Context, end time.Time) {
	p.applier.Leave()
	if limit := time.Now().Add(transferTimeout); limit.Before(end) {
		end = limit
	}
	for time.Now().Before(end) {
		s, err := p.status(ctx)
		if err != nil || s.Leaving && s.Successor == "" {
			return
		}
		time.Sleep(drainPollInterval)
	}
}

func (p *replica) stop() {
	p.queues.Stop()
	p.applier.Stop()
	p.dispatcher.Stop()
	if err := p.history.Close(); err != nil {
		p.log.Warn("close history", zap.Error(err))
	}
}
