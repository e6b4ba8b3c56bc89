// Package executor is a stand-in for the platform's worker: it announces itself, runs pretended
// tasks under leases, and can be told to misbehave. Only the worker's side of the protocol may
// live here.
package executor

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/converter"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/registrar"
)

const (
	requestTimeout = 2 * time.Second
	maxOrderBytes  = 8 << 20
	idlePoll       = 50 * time.Millisecond
)

// Faults are the ways in which a worker can misbehave. They may be changed while it runs.
type Faults struct {
	FailAll    atomic.Bool  // every task ends badly
	Silent     atomic.Bool  // no reports leave, and orders get no reply
	LateAnswer atomic.Int64 // nanoseconds between the end of a task and its report
	KeepSaving atomic.Bool  // checkpoints never complete
}

// Trace is something that truly happened to a member of a gang, as a test wants to know it.
type Trace struct {
	Time        time.Time
	Worker      string
	Incarnation uint64
	Job         string
	Attempt     uint32
	Members     int
	Running     bool // began, or ended
}

// Options describe a worker.
type Options struct {
	Announcement *messages.Announcement // the address is filled in
	Listen       netip.AddrPort
	Entries      []netip.AddrPort
	Timing       registrar.Timing
	Observe      func(Trace) // may be nil
	Log          *zap.Logger
}

// Executor is one running worker.
type Executor struct {
	Faults Faults

	opts   Options
	server *http.Server
	client *http.Client
	cancel context.CancelFunc
	kick   chan struct{} // a report is due
	rearm  chan struct{} // the machine's next time has changed
	wait   sync.WaitGroup

	mu       sync.Mutex
	machine  *Machine
	outbox   []*messages.WorkerAck
	leaving  bool
	announce bool
	heard    time.Time // sending of the last report that a home confirmed, zero before the first
	home     string
	entry    int
}

// New starts a worker that announces itself until an entry takes it.
func New(opts Options) (*Executor, error) {
	listener, err := net.Listen("tcp", opts.Listen.String())
	if err != nil {
		return nil, fmt.Errorf("worker %s: %w", opts.Announcement.GetName(), err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Executor{
		opts: opts, cancel: cancel, announce: true,
		kick: make(chan struct{}, 1), rearm: make(chan struct{}, 1),
		client: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{}},
	}
	e.machine = NewMachine(int(opts.Announcement.GetSlots()), opts.Timing.Lease, e.trace)
	opts.Announcement.Address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/orders", e.serveOrders)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: requestTimeout}
	e.wait.Go(func() {
		if err := e.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			opts.Log.Error("worker stops serving", zap.Error(err))
		}
	})
	e.wait.Go(func() { e.reportLoop(ctx) })
	e.wait.Go(func() { e.advanceLoop(ctx) })
	return e, nil
}

// Leave announces that the worker takes no new work, and returns once its tasks have ended and
// their ends are reported, or when the context ends.
func (e *Executor) Leave(ctx context.Context) error {
	e.mu.Lock()
	e.leaving, e.announce = true, true
	e.machine.Leave()
	e.mu.Unlock()
	signal(e.kick)
	ticker := time.NewTicker(idlePoll)
	defer ticker.Stop()
	for !e.idle() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (e *Executor) idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.Idle() && len(e.outbox) == 0 && !e.announce
}

// Kill ends the worker at once, with all its tasks, as a lost VM would.
func (e *Executor) Kill() {
	e.cancel()
	_ = e.server.Close()
	e.mu.Lock()
	e.machine.Kill(time.Now())
	e.mu.Unlock()
	e.wait.Wait()
	e.client.CloseIdleConnections()
}

func (e *Executor) trace(now time.Time, job string, attempt uint32, members int, began bool) {
	if e.opts.Observe == nil {
		return
	}
	e.opts.Observe(Trace{
		Time: now, Worker: e.opts.Announcement.GetName(), Incarnation: e.opts.Announcement.GetIncarnation(),
		Job: job, Attempt: attempt, Members: members, Running: began,
	})
}

// signal sets a flag that another goroutine waits for.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (e *Executor) serveOrders(w http.ResponseWriter, r *http.Request) {
	if e.Faults.Silent.Load() {
		<-r.Context().Done()
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxOrderBytes))
	orders := &messages.WorkerOrders{}
	if err == nil {
		err = converter.UnmarshalJSON(body, orders)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	acks, ok := e.carryOut(orders)
	if !ok {
		http.Error(w, "orders of an earlier term", http.StatusConflict)
		return
	}
	reply, err := converter.MarshalJSON(&messages.WorkerAcks{Acks: acks})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// The caller has gone when the reply can't be written; it will ask again.
	_, _ = w.Write(reply)
}

// carryOut runs orders in turn. It refuses all orders of a term before the latest seen.
func (e *Executor) carryOut(orders *messages.WorkerOrders) ([]*messages.WorkerAck, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.renewIncarnation(time.Now())
	if !e.machine.Admit(orders.GetTerm()) {
		return nil, false
	}
	e.machine.KeepSaving = e.Faults.KeepSaving.Load()
	var acks []*messages.WorkerAck
	for _, o := range orders.GetOrders() {
		if o.GetIncarnation() != e.opts.Announcement.GetIncarnation() {
			continue
		}
		if a := e.machine.Obey(time.Now(), o); a != nil {
			acks = append(acks, converter.Ack(*a))
		}
	}
	signal(e.rearm)
	return acks, true
}

// renewIncarnation gives the worker a new incarnation when it was cut off, or frozen, for longer
// than its leases run. By then it has been declared lost, and orders to the earlier incarnation
// that arrive late must not be carried out.
func (e *Executor) renewIncarnation(now time.Time) {
	if e.heard.IsZero() || now.Sub(e.heard) <= e.opts.Timing.Lease {
		return
	}
	e.machine.Kill(now)
	e.opts.Announcement.Incarnation++
	e.outbox = nil
	e.announce = true
	e.heard = time.Time{}
}
