// Package executor simulates the platform's worker: it announces itself, runs simulated tasks under leases
// and can inject faults. It implements only the worker's side of the protocol.
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

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/entry/recoverer"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/converter"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/registrar"
)

const (
	requestTimeout   = 2 * time.Second
	maxOrderBytes    = 8 << 20
	idlePollInterval = 50 * time.Millisecond
)

// Faults are the faults that a worker can inject. They may be changed while it runs.
type Faults struct {
	FailAll          atomic.Bool  // every task fails
	Unresponsive     atomic.Bool  // no reports are sent, and orders get no reply
	ReportDelay      atomic.Int64 // delay between the end of a task and its report, in nanoseconds
	StallCheckpoints atomic.Bool  // checkpoints never complete
}

// TaskEvent records the actual start or end of a task, for tests that check when the members of a gang ran.
type TaskEvent struct {
	Time        time.Time
	Worker      string
	Incarnation uint64
	Job         string
	Attempt     uint32
	Members     int
	Running     bool // true for a start, false for an end
}

// Options describe a worker.
type Options struct {
	Announcement *messages.Announcement // New sets its address
	Listen       netip.AddrPort
	Entries      []netip.AddrPort
	Timing       registrar.Timing
	Observe      func(TaskEvent) // may be nil
	Log          *zap.Logger
}

// Executor is one running worker.
type Executor struct {
	Faults Faults

	opts            Options
	server          *http.Server
	client          *http.Client
	cancel          context.CancelFunc
	reportDue       chan struct{} // signals that a report is due
	deadlineChanged chan struct{} // signals that the result of Machine.Next has changed
	wait            sync.WaitGroup

	mu              sync.Mutex
	machine         *Machine
	pendingAcks     []*messages.WorkerAck
	leaving         bool
	announcementDue bool
	lastContact     time.Time // when the last acknowledged report was sent, zero before the first
	home            string
	entryIndex      int
}

// New starts a worker that announces itself until an entry accepts the announcement.
func New(opts Options) (*Executor, error) {
	listener, err := net.Listen("tcp", opts.Listen.String())
	if err != nil {
		return nil, fmt.Errorf("listen for worker %s: %w", opts.Announcement.GetName(), err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Executor{
		opts: opts, cancel: cancel, announcementDue: true,
		reportDue: make(chan struct{}, 1), deadlineChanged: make(chan struct{}, 1),
		client: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{}},
	}
	e.machine = NewMachine(int(opts.Announcement.GetSlots()), opts.Timing.Lease, e.observe)
	opts.Announcement.Address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/orders", e.serveOrders)
	recovering := recoverer.New(opts.Log, tally.NoopScope)
	e.server = &http.Server{Handler: recovering.Wrap(mux, recoverer.ReplyError), ReadHeaderTimeout: requestTimeout, ErrorLog: recovering.ErrorLog("orders")}
	e.wait.Go(func() {
		if err := e.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			opts.Log.Error("worker server failed", zap.Error(err))
		}
	})
	e.wait.Go(func() { e.reportLoop(ctx) })
	e.wait.Go(func() { e.advanceLoop(ctx) })
	return e, nil
}

// Leave announces that the worker accepts no new work. It returns once all tasks have ended and their ends
// are reported, or when the context ends.
func (e *Executor) Leave(ctx context.Context) error {
	e.mu.Lock()
	e.leaving, e.announcementDue = true, true
	e.machine.Leave()
	e.mu.Unlock()
	signal(e.reportDue)
	ticker := time.NewTicker(idlePollInterval)
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
	return e.machine.Idle() && len(e.pendingAcks) == 0 && !e.announcementDue
}

// Kill stops the worker and all its tasks immediately, which simulates the loss of its VM.
func (e *Executor) Kill() {
	e.cancel()
	_ = e.server.Close()
	e.mu.Lock()
	e.machine.Kill(time.Now())
	e.mu.Unlock()
	e.wait.Wait()
	e.client.CloseIdleConnections()
}

func (e *Executor) observe(now time.Time, job string, attempt uint32, members int, started bool) {
	if e.opts.Observe == nil {
		return
	}
	e.opts.Observe(TaskEvent{
		Time: now, Worker: e.opts.Announcement.GetName(), Incarnation: e.opts.Announcement.GetIncarnation(),
		Job: job, Attempt: attempt, Members: members, Running: started,
	})
}

// signal wakes the goroutine that receives from c. It does not block, and repeated signals are merged.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (e *Executor) serveOrders(w http.ResponseWriter, r *http.Request) {
	if e.Faults.Unresponsive.Load() {
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
	acks, ok := e.execute(orders)
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
	// If the write fails, the connection is closed and the leader repeats the orders.
	_, _ = w.Write(reply)
}

// execute carries out orders in sequence. ok is false if their term is older than the latest seen.
func (e *Executor) execute(orders *messages.WorkerOrders) ([]*messages.WorkerAck, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.renewIncarnation(time.Now())
	if !e.machine.Admit(orders.GetTerm()) {
		return nil, false
	}
	e.machine.StallCheckpoints = e.Faults.StallCheckpoints.Load()
	var acks []*messages.WorkerAck
	for _, o := range orders.GetOrders() {
		if o.GetIncarnation() != e.opts.Announcement.GetIncarnation() {
			continue
		}
		if a := e.machine.Apply(time.Now(), o); a != nil {
			acks = append(acks, converter.EncodeAck(*a))
		}
	}
	signal(e.deadlineChanged)
	return acks, true
}

// renewIncarnation starts a new incarnation if the worker was disconnected or suspended for longer than the
// duration of its leases. The leader may have declared it lost by then, so late orders to the earlier
// incarnation must not be carried out.
func (e *Executor) renewIncarnation(now time.Time) {
	if e.lastContact.IsZero() || now.Sub(e.lastContact) <= e.opts.Timing.Lease {
		return
	}
	e.machine.Kill(now)
	e.opts.Announcement.Incarnation++
	e.pendingAcks = nil
	e.announcementDue = true
	e.lastContact = time.Time{}
}
