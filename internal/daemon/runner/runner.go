// Package runner assembles a daemon from its settings: the entry and, if a data folder is configured, a
// replica of the replicated state. It owns the listeners and the order of startup and shutdown. It contains no
// scheduling logic.
package runner

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
	client "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/config/provider"
	"github.com/bluebellgauge/bluebellgauge/internal/entry/drainer"
	"github.com/bluebellgauge/bluebellgauge/internal/entry/forwarder"
	"github.com/bluebellgauge/bluebellgauge/internal/entry/recoverer"
	"github.com/bluebellgauge/bluebellgauge/internal/entry/router"
	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/coordinator"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/placer"
	"github.com/bluebellgauge/bluebellgauge/internal/state/filer"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/registrar"
)

const (
	headerTimeout     = 5 * time.Second
	metricsInterval   = time.Second
	maxPeerStreams    = 8192 // concurrent calls per daemon; consensus messages must not wait behind long polls of worker reports
	drainPollInterval = 20 * time.Millisecond
	minDrainTime      = 1500 * time.Millisecond // until the load balancer and the workers have noticed the drain
	idleWait          = 3 * time.Second         // for the next request on connections that clients keep open
)

// Options are the settings and dependencies of a daemon.
type Options struct {
	Settings  *parser.Settings
	Operator  string // the operators' token
	Secret    string // shared by all daemons
	Timing    registrar.Timing
	Tick      time.Duration // unit of the consensus timers
	Snapshots int           // entries between snapshots
	// SnapshotBytes is the size of the entries between snapshots, 0 for DefaultSnapshotBytes.
	SnapshotBytes int
	// RepairAfter is how long a replica may be out of contact before another one replaces it.
	RepairAfter time.Duration
	// ReplaceAfter is how long a voter may acknowledge nothing before a learner that is caught up replaces it; 0 means RepairAfter.
	ReplaceAfter time.Duration
	Dial         Dial        // connects to other daemons; nil dials directly
	Files        filer.Files // holds the data folder
	Queues       QueueOptions
	// Metrics is set by New.
	Metrics tally.Scope
	// Voters is the target number of voting replicas; 0 takes the number of replicas in the settings.
	Voters int
	// Single means that replaced data folders join the group as settings with Late say, and never start another one.
	Single bool
	// Descriptors is the number of descriptors that the process may have, 0 for the limit of the system.
	Descriptors int
	Log         *zap.Logger
}

// QueueOptions are the parameters of queue coordination.
type QueueOptions struct {
	Timing  coordinator.Timing
	Address string  // at which queue workers should report while this daemon leads; "" for any replica
	Cores   float64 // processor time per second that the daemon may use; 0 for all cores
	// RackFactor is the run time of a compact gang across racks as a multiple of that in a single rack.
	RackFactor float64
	// Places are the data centres that the settings name. Without any, a leader takes all names for known until the workers have had
	// time to report.
	Places []string
	// Preemption is what stops for urgent work cost; the zero value counts only unsaved work.
	Preemption placer.Preemption
}

// DefaultQueueOptions returns the queue parameters for production.
func DefaultQueueOptions() QueueOptions {
	return QueueOptions{
		Timing: coordinator.Timing{
			Lease: 8 * time.Second, MaxLease: 8 * time.Second, MinReportInterval: time.Second, MaxPollTime: 500 * time.Millisecond, MaxContactTimeout: 3 * time.Second,
			Retention: 24 * time.Hour,
		},
		RackFactor: DefaultRackFactor,
	}
}

// DefaultRackFactor is the run time of a compact gang across racks as a multiple of that in a single rack.
const DefaultRackFactor = 3

// Dial opens a connection to another daemon.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// DefaultTick is the unit of the consensus timers. The election timeout is 8 to 16 ticks.
const DefaultTick = 100 * time.Millisecond

// DefaultRepairAfter is how long a replica may be out of contact before a standby replaces it.
const DefaultRepairAfter = 5 * time.Minute

// DefaultSnapshots is the number of log entries between snapshots.
const DefaultSnapshots = 2000

// DefaultSnapshotBytes is the size of the log entries between snapshots.
const DefaultSnapshotBytes = 16 << 20

// Runner is one running daemon.
type Runner struct {
	opts          Options
	started       time.Time
	heartbeats    uint64 // number of the last heartbeat
	log           *zap.Logger
	recoverer     *recoverer.Recoverer
	bound         *drainer.Bound
	registrar     *registrar.Home
	manifest      *provider.Provider
	router        *router.Router
	peering       *peering
	forwarder     *forwarder.Forwarder
	replica       *replica // nil without a data folder
	entry         *drainer.Drainer
	peerServer    *http.Server
	metricsServer *http.Server // nil without a metrics address
	closers       []func()

	ctx       context.Context
	cancel    context.CancelFunc
	wait      sync.WaitGroup
	drainOnce sync.Once
	draining  chan struct{}
	stopOnce  sync.Once
	failed    chan error
}

// New starts a daemon and returns once its listeners are open.
func New(opts Options) (*Runner, error) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Runner{
		opts: opts, started: time.Now(), log: opts.Log.With(zap.String("daemon", opts.Settings.Name)),
		ctx: ctx, cancel: cancel, draining: make(chan struct{}), failed: make(chan error, 1),
	}
	if err := r.build(); err != nil {
		r.Kill()
		return nil, fmt.Errorf("daemon %s: %w", opts.Settings.Name, err)
	}
	r.wait.Go(r.heartbeatLoop)
	return r, nil
}

func (r *Runner) build() error {
	s := r.opts.Settings
	metrics, metricsHandler := r.newMetrics()
	r.recoverer = recoverer.New(r.log, metrics.SubScope("http"))
	if err := r.newBound(); err != nil {
		return err
	}
	r.registrar = registrar.NewHome(r.opts.Timing, time.Now)
	r.manifest = provider.New(r.registrar.Fresh)
	if err := r.serveMetrics(metricsHandler); err != nil {
		return err
	}
	r.opts.Metrics = metrics
	peers, err := newPeering(r.opts, r.log)
	if err != nil {
		return err
	}
	r.peering = peers
	r.forwarder = forwarder.New(peers.scheme, peers.client, peers, metrics.SubScope("forwarded"), r.log)
	if r.opts.Queues.Timing.Lease == 0 {
		r.opts.Queues = DefaultQueueOptions()
		r.opts.Queues.Places = settingsPlaces(s)
	}
	if s.Data != "" {
		if err := r.buildReplica(metrics); err != nil {
			return err
		}
	}
	r.router = router.New(router.Options{
		Backend: r.forwarder, Manifest: r.manifest, Home: r.registrar, Operator: r.opts.Operator,
		Ready: r.ready, Drain: r.Drain, Metrics: metrics, MetricsHandler: metricsHandler, Log: r.log,
	})
	return r.listen()
}

func (r *Runner) newMetrics() (tally.Scope, http.Handler) {
	registry := client.NewRegistry()
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{})) // read when the page is requested
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "bluebellgauge", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, metricsInterval)
	r.closers = append(r.closers, func() {
		if err := closer.Close(); err != nil {
			r.log.Warn("close metrics", zap.Error(err))
		}
	})
	return scope, reporter.HTTPHandler()
}

// newBound bounds the connections of clients so that descriptors are left for other daemons, files and the log.
func (r *Runner) newBound() error {
	limit, err := drainer.Descriptors()
	if err != nil {
		return err
	}
	if r.opts.Descriptors > 0 {
		limit = min(limit, r.opts.Descriptors)
	}
	r.bound = drainer.NewBound(drainer.MaxConnections(limit), r.log)
	return nil
}

// Bound returns the bound of the connections of clients, which all HTTP servers of the process share.
func (r *Runner) Bound() *drainer.Bound { return r.bound }

// Metrics returns the root metrics scope of the daemon.
func (r *Runner) Metrics() tally.Scope { return r.opts.Metrics }

// ServerMetrics returns the metrics scope of an HTTP server of the process.
func (r *Runner) ServerMetrics(server string) tally.Scope {
	return r.opts.Metrics.SubScope("http").Tagged(map[string]string{"server": server})
}

// Recoverer returns the recoverer for all HTTP servers of the process.
func (r *Runner) Recoverer() *recoverer.Recoverer { return r.recoverer }

// serveMetrics serves the metrics page at its own address, if one is configured.
func (r *Runner) serveMetrics(handler http.Handler) error {
	if r.opts.Settings.Metrics == "" {
		return nil
	}
	l, err := net.Listen("tcp", r.opts.Settings.Metrics)
	if err != nil {
		return fmt.Errorf("listen for metrics: %w", err)
	}
	m := mux.NewRouter()
	m.Handle("/metrics", handler).Methods(http.MethodGet)
	r.metricsServer = &http.Server{Handler: r.recoverer.Wrap(m, recoverer.ReplyError), ReadHeaderTimeout: headerTimeout, ErrorLog: r.recoverer.ErrorLog("metrics")}
	r.serve(r.metricsServer, l)
	return nil
}

func (r *Runner) ready() error {
	if !r.registrar.Fresh(provider.MaxStaleness) {
		return errors.New("no recent response from a leader")
	}
	return nil
}

func (r *Runner) listen() error {
	s := r.opts.Settings
	entry, encryption, err := listenTCP(s.ListenAddr(), s.TLS)
	if err != nil {
		return err
	}
	peer, err := openListener(s.PeeringAddr(), s.Mutual)
	if err != nil {
		return errors.Join(err, entry.Close())
	}
	r.entry = drainer.New(entry, drainer.Options{
		Handler: r.recoverer.Wrap(r.router, router.ReplyPanicked), ReadHeaderTimeout: headerTimeout, TLS: encryption, Fail: r.fail,
		Bound: r.bound, Refuse: router.RefuseConnection, ErrorLog: r.recoverer.ErrorLog("api"), Metrics: r.ServerMetrics("api"), Log: r.log,
	})
	r.peerServer = &http.Server{
		Handler: r.recoverer.Wrap(r.peering.requireSecret(r.peerHandler()), recoverer.ReplyError), ReadHeaderTimeout: headerTimeout, Protocols: peerProtocols(),
		ErrorLog: r.recoverer.ErrorLog("peers"), HTTP2: &http.HTTP2Config{MaxConcurrentStreams: maxPeerStreams},
	}
	r.serve(r.peerServer, peer)
	return nil
}

func (r *Runner) peerHandler() http.Handler {
	if r.replica == nil {
		return http.NotFoundHandler()
	}
	unanswered := forwarder.UnansweredLog(r.log)
	m := mux.NewRouter()
	m.PathPrefix(messages.PeerPathPrefix).Handler(messages.NewPeerServer(r.replica.server, unanswered...))
	m.PathPrefix(messages.QueuesPathPrefix).Handler(messages.NewQueuesServer(r.replica.queues, unanswered...))
	return m
}

func (r *Runner) serve(server *http.Server, listener net.Listener) {
	r.wait.Go(func() {
		if err := server.Serve(drainer.Tolerant{Listener: listener}); !errors.Is(err, http.ErrServerClosed) {
			r.fail(err)
		}
	})
}

func (r *Runner) fail(err error) {
	select {
	case r.failed <- err:
	default:
	}
}

// Failed returns a channel that receives the error after which the daemon cannot continue.
func (r *Runner) Failed() <-chan error { return r.failed }

// Address returns the address at which callers, operators and workers reach the daemon.
func (r *Runner) Address() netip.AddrPort { return r.opts.Settings.ListenAddr() }

// Queues returns the forwarder of queue calls to the leader.
func (r *Runner) Queues() *forwarder.Forwarder { return r.forwarder }

// Fresh reports whether a leader has responded to this daemon within the given time.
func (r *Runner) Fresh(bound time.Duration) bool { return r.registrar.Fresh(bound) }

// TransferLeadership transfers the leadership if this daemon is the leader. It gives up at end.
func (r *Runner) TransferLeadership(end time.Time) {
	if r.replica != nil {
		r.replica.transferLeadership(r.ctx, end)
	}
}

// AddReplicas adds replicas that the daemon may contact.
func (r *Runner) AddReplicas(list []parser.Peer) {
	var daemons []*messages.Daemon
	for _, p := range list {
		daemons = append(daemons, &messages.Daemon{Name: p.Name, Place: p.Place, Address: p.Address, Keeper: true})
	}
	r.peering.updateReplicas(daemons)
}

// IsLeader reports whether the daemon is the current leader.
func (r *Runner) IsLeader() bool { return r.replica != nil && r.replica.isLeader(r.ctx) }

// heartbeatLoop exchanges heartbeats with the leader until the daemon stops.
func (r *Runner) heartbeatLoop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-timer.C:
		}
		start := time.Now()
		timer.Reset(r.heartbeat() - time.Since(start))
	}
}

// heartbeat sends one heartbeat, applies the response and returns the interval from its start to the next one.
func (r *Runner) heartbeat() time.Duration {
	s := r.opts.Settings
	r.heartbeats++
	b := &messages.Beat{
		Daemon: s.Name, Place: s.Place, Address: s.Peering, Listen: s.Listen, Draining: r.isDraining(),
		Started: r.started.UnixNano(), Number: r.heartbeats, Format: scheduler.EntryFormat,
	}
	if r.replica != nil {
		b.Identity = r.replica.identity(r.ctx)
	}
	r.registrar.FillHeartbeat(b)
	sent := time.Now()
	o, err := r.forwarder.Sync(r.ctx, b)
	if err != nil {
		r.log.Debug("heartbeat failed", zap.Error(err))
		return r.opts.Timing.Heartbeat
	}
	interval := max(time.Duration(o.GetAgain())*time.Millisecond, r.opts.Timing.Heartbeat)
	r.registrar.HandleReply(sent, b, o)
	r.peering.updateReplicas(o.GetDaemons())
	if len(o.GetManifest()) == 0 {
		return interval
	}
	version, err := r.manifest.Install(o.GetManifest())
	if err != nil {
		r.log.Error("received invalid manifest", zap.Error(err))
		return interval
	}
	r.registrar.SetVersion(version)
	r.log.Info("manifest installed", zap.Uint64("version", version))
	return interval
}

func (r *Runner) isDraining() bool {
	select {
	case <-r.draining:
		return true
	default:
		return false
	}
}

// Drain takes the daemon out of load balancing: the readiness check fails, new jobs are rejected, and the replica hands over
// the leadership whenever it has it. It does not block.
func (r *Runner) Drain() {
	r.drainOnce.Do(func() {
		close(r.draining)
		r.router.SetDraining()
		r.entry.Drain()
		if r.replica != nil {
			r.replica.applier.Leave()
		}
		r.log.Info("draining")
	})
}

// Stop drains the daemon, transfers the leadership, waits for requests in flight up to the drain time of the
// settings, and shuts the daemon down.
func (r *Runner) Stop() {
	r.Drain()
	r.TransferLeadership(time.Now().Add(transferTimeout))
	deadline := time.Now().Add(r.opts.Settings.Drain.Std())
	earliest := time.Now().Add(min(minDrainTime, r.opts.Settings.Drain.Std()))
	for time.Now().Before(deadline) && (r.router.InFlight() > 0 || time.Now().Before(earliest)) {
		time.Sleep(drainPollInterval)
	}
	now := time.Now()
	if last := now.Add(idleWait); last.Before(deadline) {
		deadline = last
	}
	drainer.Stop(now, deadline.Add(drainer.RefuseTime), r.entry)
	r.Kill()
}

// Kill stops the daemon without draining, as a VM failure would. Further calls have no effect.
func (r *Runner) Kill() {
	r.stopOnce.Do(func() {
		r.cancel()
		if r.entry != nil {
			r.entry.Kill()
		}
		for _, server := range []*http.Server{r.peerServer, r.metricsServer} {
			if server != nil {
				_ = server.Close()
			}
		}
		if r.replica != nil {
			r.replica.stop()
		}
		r.wait.Wait()
		if r.peering != nil {
			r.peering.close()
		}
		for _, closer := range r.closers {
			closer()
		}
	})
}

// ReadToken reads a token from a file and trims surrounding white space.
func ReadToken(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("read token: %w", err)
	}
	token := strings.TrimSpace(string(text))
	if token == "" {
		return "", fmt.Errorf("read token: %s is empty", path)
	}
	return token, nil
}
