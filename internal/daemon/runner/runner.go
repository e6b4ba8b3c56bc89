// Package runner puts a daemon together from its settings: the entry, and on a VM with a disk
// the replica. It owns the listeners and the order of start and stop; no decisions may live
// here.
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
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/config/provider"
	"github.com/bluebellgauge/bluebellgauge/internal/entry/forwarder"
	"github.com/bluebellgauge/bluebellgauge/internal/entry/router"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/coordinator"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/registrar"
)

const (
	headerTimeout   = 5 * time.Second
	metricsInterval = time.Second
	peerStreams     = 8192 // calls of one daemon at one time: reports whose answers are held must not keep out the consensus
	drainPoll       = 20 * time.Millisecond
	minDrain        = 1500 * time.Millisecond // for the balancer and the workers to notice
)

// Options are what a daemon is built from.
type Options struct {
	Settings  *parser.Settings
	Operator  string // the operators' token
	Secret    string // shared by the daemons
	Timing    registrar.Timing
	Tick      time.Duration // of the consensus
	Snapshots int           // entries between snapshots
	// RepairAfter is how long a keeper may be gone until another one takes its place.
	RepairAfter time.Duration
	Dial        Dial // to other daemons, nil for the network
	Queues      QueueOptions
	// Metrics is filled in by the runner.
	Metrics tally.Scope
	// Voters is the number of keepers that vote, 0 for that of the settings.
	Voters int
	Log    *zap.Logger
}

// QueueOptions are the parameters of queues.
type QueueOptions struct {
	Timing  coordinator.Timing
	Address string // where workers of queues reach this daemon, "" for anywhere
}

// DefaultQueues returns the parameters of queues of a real fleet.
func DefaultQueues() QueueOptions {
	return QueueOptions{
		Timing: coordinator.Timing{
			Lease: 8 * time.Second, MaxLease: 8 * time.Second, MinReportInterval: time.Second, MaxPollTime: 500 * time.Millisecond, MaxContactTimeout: 3 * time.Second,
			Retention: 24 * time.Hour,
		},
	}
}

// Dial opens a connection to another daemon.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// DefaultTick is the tick of the consensus: an election starts after 8 to 16 of them.
const DefaultTick = 100 * time.Millisecond

// DefaultRepairAfter is how long a keeper may be gone until a standby takes its place.
const DefaultRepairAfter = 5 * time.Minute

// DefaultSnapshots is the number of entries between two snapshots.
const DefaultSnapshots = 2000

// Runner is one running daemon.
type Runner struct {
	opts     Options
	log      *zap.Logger
	home     *registrar.Home
	manifest *provider.Provider
	router   *router.Router
	peers    *peering
	forward  *forwarder.Forwarder
	replica  *replica // nil without a data folder
	entry    *http.Server
	peer     *http.Server
	page     *http.Server // of metrics, nil without an address
	closers  []func()

	ctx       context.Context
	cancel    context.CancelFunc
	wait      sync.WaitGroup
	drainOnce sync.Once
	drained   chan struct{}
	stopOnce  sync.Once
	failed    chan error
}

// New starts a daemon. It returns once the listeners are open.
func New(opts Options) (*Runner, error) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Runner{
		opts: opts, log: opts.Log.With(zap.String("daemon", opts.Settings.Name)),
		ctx: ctx, cancel: cancel, drained: make(chan struct{}), failed: make(chan error, 1),
	}
	if err := r.build(); err != nil {
		r.Kill()
		return nil, fmt.Errorf("daemon %s: %w", opts.Settings.Name, err)
	}
	r.wait.Go(r.beatLoop)
	return r, nil
}

func (r *Runner) build() error {
	s := r.opts.Settings
	metrics, report := r.metrics()
	r.home = registrar.NewHome(r.opts.Timing, time.Now)
	r.manifest = provider.New(r.home.Fresh)
	if err := r.serveMetrics(report); err != nil {
		return err
	}
	r.opts.Metrics = metrics
	peers, err := newPeering(r.opts, r.log)
	if err != nil {
		return err
	}
	r.peers = peers
	r.forward = forwarder.New(peers.scheme, peers.client, peers)
	if r.opts.Queues.Timing.Lease == 0 {
		r.opts.Queues = DefaultQueues()
	}
	if s.Data != "" {
		if err := r.buildReplica(metrics); err != nil {
			return err
		}
	}
	r.router = router.New(router.Options{
		Backend: r.forward, Manifest: r.manifest, Home: r.home, Operator: r.opts.Operator,
		Ready: r.ready, Drain: r.Drain, Metrics: metrics, Report: report, Log: r.log,
	})
	return r.listen()
}

func (r *Runner) metrics() (tally.Scope, http.Handler) {
	registry := client.NewRegistry()
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

// Metrics returns where the parts of the daemon count.
func (r *Runner) Metrics() tally.Scope { return r.opts.Metrics }

// serveMetrics opens the address that serves the metrics page alone.
func (r *Runner) serveMetrics(page http.Handler) error {
	if r.opts.Settings.Metrics == "" {
		return nil
	}
	l, err := net.Listen("tcp", r.opts.Settings.Metrics)
	if err != nil {
		return fmt.Errorf("listen for metrics: %w", err)
	}
	m := mux.NewRouter()
	m.Handle("/metrics", page).Methods(http.MethodGet)
	r.page = &http.Server{Handler: m, ReadHeaderTimeout: headerTimeout}
	r.serve(r.page, l)
	return nil
}

func (r *Runner) ready() error {
	if !r.home.Fresh(provider.FreshFor) {
		return errors.New("no word from a leader")
	}
	return nil
}

func (r *Runner) listen() error {
	s := r.opts.Settings
	entry, err := openListener(s.ListenAddr(), s.TLS)
	if err != nil {
		return err
	}
	peer, err := openListener(s.PeeringAddr(), s.Mutual)
	if err != nil {
		return errors.Join(err, entry.Close())
	}
	r.entry = &http.Server{Handler: r.router, ReadHeaderTimeout: headerTimeout}
	r.peer = &http.Server{
		Handler: r.peers.guard(r.peerHandler()), ReadHeaderTimeout: headerTimeout, Protocols: peerProtocols(),
		HTTP2: &http.HTTP2Config{MaxConcurrentStreams: peerStreams},
	}
	r.serve(r.entry, entry)
	r.serve(r.peer, peer)
	return nil
}

func (r *Runner) peerHandler() http.Handler {
	if r.replica == nil {
		return http.NotFoundHandler()
	}
	m := mux.NewRouter()
	m.PathPrefix(messages.PeerPathPrefix).Handler(messages.NewPeerServer(r.replica.server))
	m.PathPrefix(messages.QueuesPathPrefix).Handler(messages.NewQueuesServer(r.replica.queues))
	return m
}

func (r *Runner) serve(server *http.Server, listener net.Listener) {
	r.wait.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
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

// Failed delivers the error that makes the daemon unable to go on.
func (r *Runner) Failed() <-chan error { return r.failed }

// Address returns where callers, operators and workers reach the daemon.
func (r *Runner) Address() netip.AddrPort { return r.opts.Settings.ListenAddr() }

// Queues returns the way to the leader for calls on queues.
func (r *Runner) Queues() *forwarder.Forwarder { return r.forward }

// Fresh reports whether a leader answered this daemon within a bound.
func (r *Runner) Fresh(bound time.Duration) bool { return r.home.Fresh(bound) }

// HandOver passes the leadership on, when this daemon has it.
func (r *Runner) HandOver() {
	if r.replica != nil {
		r.replica.handOver(r.ctx)
	}
}

// AddKeepers tells the daemon of further keepers that it may ask.
func (r *Runner) AddKeepers(list []parser.Peer) {
	var daemons []*messages.Daemon
	for _, k := range list {
		daemons = append(daemons, &messages.Daemon{Name: k.Name, Place: k.Place, Address: k.Address, Keeper: true})
	}
	r.peers.learn(daemons)
}

// IsLeader reports whether the daemon leads now.
func (r *Runner) IsLeader() bool { return r.replica != nil && r.replica.isLeader(r.ctx) }

// beatLoop keeps the daemon and the leader informed of each other.
func (r *Runner) beatLoop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-timer.C:
		}
		began := time.Now()
		timer.Reset(r.beat() - time.Since(began))
	}
}

// beat sends one beat and returns the time from its sending until the next one.
func (r *Runner) beat() time.Duration {
	s := r.opts.Settings
	b := &messages.Beat{Daemon: s.Name, Place: s.Place, Address: s.Peering, Listen: s.Listen, Draining: r.isDraining()}
	if r.replica != nil {
		b.Identity = r.replica.identity(r.ctx)
	}
	r.home.Beat(b)
	sent := time.Now()
	o, err := r.forward.Sync(r.ctx, b)
	if err != nil {
		r.log.Debug("beat not answered", zap.Error(err))
		return r.opts.Timing.Beat
	}
	again := max(time.Duration(o.GetAgain())*time.Millisecond, r.opts.Timing.Beat)
	r.home.Answered(sent, b, o)
	r.peers.learn(o.GetDaemons())
	if len(o.GetManifest()) == 0 {
		return again
	}
	version, err := r.manifest.Install(o.GetManifest())
	if err != nil {
		r.log.Error("manifest refused", zap.Error(err))
		return again
	}
	r.home.SetVersion(version)
	r.log.Info("manifest in force", zap.Uint64("version", version))
	return again
}

func (r *Runner) isDraining() bool {
	select {
	case <-r.drained:
		return true
	default:
		return false
	}
}

// Drain takes the daemon out of the balancer: readiness fails, no new job is taken, and a
// leader hands over. It returns at once.
func (r *Runner) Drain() {
	r.drainOnce.Do(func() {
		close(r.drained)
		r.router.SetDraining()
		r.entry.SetKeepAlivesEnabled(false)
		r.log.Info("draining")
	})
}

// Stop drains the daemon, waits for the requests under way within the bound of the settings,
// and ends it.
func (r *Runner) Stop() {
	r.Drain()
	r.HandOver()
	deadline := time.Now().Add(r.opts.Settings.Drain.Std())
	least := time.Now().Add(min(minDrain, r.opts.Settings.Drain.Std()))
	for time.Now().Before(deadline) && (r.router.InFlight() > 0 || time.Now().Before(least)) {
		time.Sleep(drainPoll)
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(time.Second))
	defer cancel()
	if err := r.entry.Shutdown(ctx); err != nil {
		r.log.Warn("requests were cut at the end of the drain", zap.Error(err))
	}
	r.Kill()
}

// Kill ends the daemon at once, as a lost VM would. It may be called again.
func (r *Runner) Kill() {
	r.stopOnce.Do(func() {
		r.cancel()
		for _, server := range []*http.Server{r.entry, r.peer, r.page} {
			if server != nil {
				_ = server.Close()
			}
		}
		if r.replica != nil {
			r.replica.stop()
		}
		r.wait.Wait()
		if r.peers != nil {
			r.peers.close()
		}
		for _, c := range r.closers {
			c()
		}
	})
}

// ReadToken reads a token from a file, without the space around it.
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
