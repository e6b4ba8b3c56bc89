// Package demonstrator runs complete fleets in one process over loopback, submits a mixed load while it
// kills a worker and the leader, and checks the results that callers received against the runs that
// workers recorded.
package demonstrator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/console/client"
	"github.com/bluebellgauge/bluebellgauge/internal/daemon/runner"
	"github.com/bluebellgauge/bluebellgauge/internal/entry/forwarder"
	"github.com/bluebellgauge/bluebellgauge/internal/state/filer"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/executor"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/registrar"
)

const (
	replicas      = 3
	daemons       = 5
	workers       = 12
	slots         = 8
	operatorToken = "operator"
	daemonSecret  = "daemons"
	startTimeout  = 15 * time.Second
	pollInterval  = 50 * time.Millisecond
)

// Timing returns heartbeat and lease times short enough for a failure to be handled within the demonstration.
func Timing() registrar.Timing {
	return registrar.Timing{
		Report: 300 * time.Millisecond, Heartbeat: 200 * time.Millisecond, ContactTimeout: time.Second,
		Grace: time.Second, Lease: 3 * time.Second, Drift: 500 * time.Millisecond,
	}
}

// User describes the fleet of one sample user.
type User struct {
	Name          string
	Service       string
	Places        []string
	Processors    float64
	Memory        float64
	Organisations []string
}

// Users returns the sample users.
func Users() []User {
	return []User{
		{
			Name: "khula-din", Service: "listing-svc", Processors: 128, Memory: 512,
			Places:        []string{"bagmati-patan", "gandaki-lakeside", "lumbini-garden"},
			Organisations: []string{"temples", "tourism", "guides", "translators"},
		},
		{
			Name: "hoang-thach", Service: "cube-report", Processors: 64, Memory: 128,
			Places:        []string{"hanoi-a", "danang-a", "hcmc-a"},
			Organisations: []string{"rigs", "reports", "contractors", "archive"},
		},
	}
}

// Token returns the sample token of an organisation.
func Token(org string) string { return org + "-token" }

// manifest encodes the sample manifest, scaled down to the size of the demonstration fleet.
func (u User) manifest() ([]byte, error) {
	m := parser.Manifest{Version: 1, Checkpoint: parser.Duration(time.Second)}
	m.Objectives = []parser.Objective{{Service: u.Service, Target: 0.99, Within: parser.Duration(10 * time.Minute)}}
	for _, place := range u.Places {
		m.Places = append(m.Places, parser.Place{
			Name: place, Service: u.Service, Racks: 1, Workers: workers / len(u.Places), Slots: slots,
			Processors: u.Processors, Memory: u.Memory, Accelerators: slots,
		})
	}
	guarantees := [][]parser.Guarantee{
		{{Service: u.Service, Slots: 16, Count: 1}},
		{{Service: u.Service, Slots: 8, Count: 2}},
		{{Service: u.Service, Place: u.Places[0], Slots: 8, Count: 1}},
		{{Service: u.Service, Slots: 4, Count: 2}},
	}
	for i, org := range u.Organisations {
		sum := sha256.Sum256([]byte(Token(org)))
		m.Organisations = append(m.Organisations, parser.Organisation{
			Name: org, Token: hex.EncodeToString(sum[:]), Guarantees: guarantees[i],
		})
	}
	return marshalIndent(m)
}

// Fleet is one user's running fleet.
type Fleet struct {
	user    User
	timing  registrar.Timing
	folder  string
	log     *zap.Logger
	daemons []*runner.Runner
	workers []*executor.Executor
	entries []netip.AddrPort
	traces  *traceRecorder
}

// Start starts the fleet of a user with logging disabled.
func Start(user User) (*Fleet, error) { return startFleet(user, zap.NewNop()) }

// Entries returns the addresses at which the daemons accept callers.
func (f *Fleet) Entries() []netip.AddrPort { return f.entries }

// Queues returns the queue service of the first daemon, which forwards calls to the leader.
func (f *Fleet) Queues() *forwarder.Forwarder { return f.daemons[0].Queues() }

// startFleet starts the daemons, applies the manifest and starts the workers.
func startFleet(user User, log *zap.Logger) (*Fleet, error) {
	folder, err := os.MkdirTemp("", "bluebellgauge-demo-")
	if err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
	}
	f := &Fleet{user: user, timing: Timing(), folder: folder, log: log, traces: newTraceRecorder()}
	if err := f.start(); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	settings, err := f.settings()
	if err != nil {
		return err
	}
	for _, s := range settings {
		d, err := runner.New(runner.Options{
			Settings: s, Operator: operatorToken, Secret: daemonSecret, Timing: f.timing,
			Tick: 20 * time.Millisecond, Snapshots: 500, RepairAfter: runner.DefaultRepairAfter, Files: filer.Disk{}, Log: f.log,
		})
		if err != nil {
			return err
		}
		f.daemons = append(f.daemons, d)
		f.entries = append(f.entries, d.Address())
	}
	if err := f.applyManifest(); err != nil {
		return err
	}
	return f.startWorkers()
}

// settings returns the settings of all daemons, with free ports assigned.
func (f *Fleet) settings() ([]*parser.Settings, error) {
	ports, err := FreePorts(2 * daemons)
	if err != nil {
		return nil, err
	}
	var list []*parser.Settings
	var peers []parser.Peer
	for i := range daemons {
		s := &parser.Settings{
			Name: fmt.Sprintf("vm%d", i+1), Place: f.user.Places[i%len(f.user.Places)],
			Listen: ports[2*i].String(), Peering: ports[2*i+1].String(), Drain: parser.Duration(5 * time.Second),
		}
		if i < replicas {
			s.Data = filepath.Join(f.folder, s.Name)
			peers = append(peers, parser.Peer{Name: s.Name, Place: s.Place, Address: s.Peering})
		}
		list = append(list, s)
	}
	for _, s := range list {
		s.Keepers = peers
	}
	return list, nil
}

// Daemon ports are chosen below the ephemeral port range, so that no outgoing connection can take a port
// between its selection here and its use.
const (
	firstPort    = 10_000
	lastPort     = 32_000
	maxPortTries = 1000
)

// FreePorts returns n loopback addresses whose ports are currently unused.
func FreePorts(n int) ([]netip.AddrPort, error) {
	var ports []netip.AddrPort
	var open []net.Listener
	defer func() {
		for _, l := range open {
			_ = l.Close()
		}
	}()
	for range maxPortTries {
		if len(ports) == n {
			return ports, nil
		}
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstPort+rand.IntN(lastPort-firstPort)))
		l, err := net.Listen("tcp", address.String())
		if err != nil {
			continue
		}
		open = append(open, l)
		ports = append(ports, address)
	}
	return nil, fmt.Errorf("found %d free ports of %d in %d tries", len(ports), n, maxPortTries)
}

func (f *Fleet) applyManifest() error {
	text, err := f.user.manifest()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	cl := client.New(f.entries, operatorToken)
	defer cl.Close()
	if _, err := cl.Apply(ctx, text); err != nil {
		return fmt.Errorf("apply manifest: %w", err)
	}
	return nil
}

func (f *Fleet) startWorkers() error {
	for i := range workers {
		place := f.user.Places[i%len(f.user.Places)]
		w, err := executor.New(executor.Options{
			Announcement: &messages.Announcement{
				Name: fmt.Sprintf("w%02d", i+1), Place: place, Rack: "r1", Service: f.user.Service,
				Incarnation: 1, Slots: slots, Connections: 64, Processors: f.user.Processors,
				Memory: f.user.Memory, Accelerators: slots,
			},
			Listen: netip.MustParseAddrPort("127.0.0.1:0"), Entries: f.entries, Timing: f.timing,
			Observe: f.traces.observe, Log: f.log,
		})
		if err != nil {
			return err
		}
		f.workers = append(f.workers, w)
	}
	return f.waitForWorkers()
}

func (f *Fleet) waitForWorkers() error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	cl := client.New(f.entries, operatorToken)
	defer cl.Close()
	for {
		var list []struct{}
		if err := cl.Get(ctx, "/v1/workers", &list); err != nil {
			return err
		}
		if len(list) == workers {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d of %d workers registered within %s", len(list), workers, startTimeout)
		case <-time.After(pollInterval):
		}
	}
}

// killLeader kills the daemon that is currently the leader.
func (f *Fleet) killLeader() error {
	for _, d := range f.daemons {
		if d.IsLeader() {
			d.Kill()
			return nil
		}
	}
	return errors.New("no daemon is the leader")
}

// Stop kills all daemons and workers and removes their files.
func (f *Fleet) Stop() {
	var wait sync.WaitGroup
	for _, w := range f.workers {
		wait.Go(w.Kill)
	}
	for _, d := range f.daemons {
		wait.Go(d.Kill)
	}
	wait.Wait()
	if err := os.RemoveAll(f.folder); err != nil {
		f.log.Warn("remove data folder", zap.Error(err))
	}
}

// Options configure a demonstration.
type Options struct {
	Seed     uint64
	Progress io.Writer // nil for none
	Log      *zap.Logger
}

// Run runs the load on the fleet of each sample user in turn and returns the combined result.
func Run(opts Options) (*Result, error) {
	total := &Result{}
	for i, user := range Users() {
		r, err := runUser(user, opts, opts.Seed+uint64(i)<<32)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", user.Name, err)
		}
		total.merge(r)
	}
	total.computeTotals()
	return total, nil
}
