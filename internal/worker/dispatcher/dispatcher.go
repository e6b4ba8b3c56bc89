// Package dispatcher sends the leader's orders to workers and reports their acknowledgements. Orders to one
// worker are sent in sequence, one request at a time. An order without a reply is dropped; the scheduler
// issues it again. The package contains only the transport to workers.
package dispatcher

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/converter"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

const (
	requestTimeout = 1500 * time.Millisecond
	maxPending     = 4096 // queued orders per worker
	maxBatch       = 256  // orders per request
	maxReplyBytes  = 8 << 20
	idleTimeout    = 30 * time.Second
	maxInFlight    = 256 // concurrent requests to all workers
)

// Options are the dependencies of a dispatcher.
type Options struct {
	// Locate returns the address of a worker.
	Locate func(worker string) (netip.AddrPort, bool)
	// Report commits acknowledgements to the replicated log.
	Report  func(context.Context, []scheduler.Ack) error
	Metrics tally.Scope
	Log     *zap.Logger
}

// Dispatcher sends orders to workers.
type Dispatcher struct {
	opts    Options
	client  *http.Client
	ctx     context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup
	permits chan struct{}

	mu     sync.Mutex
	term   uint64
	queues map[string]*queue
}

// queue holds the orders for one worker in sending order.
type queue struct {
	pending  []*messages.WorkerOrder
	inFlight []*messages.WorkerOrder
}

// New returns a dispatcher without orders.
func New(opts Options) *Dispatcher {
	ctx, cancel := context.WithCancel(context.Background())
	transport := &http.Transport{
		MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout,
	}
	return &Dispatcher{
		opts: opts, ctx: ctx, cancel: cancel,
		client:  &http.Client{Transport: transport, Timeout: requestTimeout},
		permits: make(chan struct{}, maxInFlight),
		queues:  map[string]*queue{},
	}
}

// Send queues orders issued in a term. Duplicates of orders that are pending or in flight are dropped, as are
// all pending orders of earlier terms.
func (d *Dispatcher) Send(term uint64, orders []scheduler.Order) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if term > d.term {
		d.term = term
		for _, q := range d.queues {
			q.pending = nil
		}
	}
	if term < d.term {
		return
	}
	for _, o := range orders {
		if worker, m, ok := converter.EncodeOrder(o); ok {
			d.enqueue(worker, m)
		}
	}
}

func (d *Dispatcher) enqueue(worker string, m *messages.WorkerOrder) {
	q := d.queues[worker]
	if q == nil {
		q = &queue{}
		d.queues[worker] = q
		d.wait.Go(func() { d.drain(worker, q) })
	}
	duplicate := func(o *messages.WorkerOrder) bool {
		return o.GetKind() == m.GetKind() && o.GetJob() == m.GetJob() && o.GetAttempt() == m.GetAttempt()
	}
	if len(q.pending) >= maxPending || slices.ContainsFunc(q.pending, duplicate) || slices.ContainsFunc(q.inFlight, duplicate) {
		return
	}
	q.pending = append(q.pending, m)
}

// drain sends the pending orders of one worker until its queue is empty.
func (d *Dispatcher) drain(worker string, q *queue) {
	for {
		term, batch := d.nextBatch(worker, q)
		if batch == nil {
			return
		}
		select {
		case d.permits <- struct{}{}:
		case <-d.ctx.Done():
			return
		}
		err := d.deliver(worker, term, batch)
		<-d.permits
		if err != nil {
			d.opts.Metrics.Counter("orders_failed").Inc(1)
			d.opts.Log.Debug("failed to deliver orders", zap.String("worker", worker), zap.Error(err))
		}
	}
}

// nextBatch removes the next orders from the queue and marks them as in flight. An empty queue is deleted.
func (d *Dispatcher) nextBatch(worker string, q *queue) (uint64, []*messages.WorkerOrder) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(q.pending) == 0 || d.ctx.Err() != nil {
		delete(d.queues, worker)
		return 0, nil
	}
	n := min(len(q.pending), maxBatch)
	q.inFlight = q.pending[:n]
	q.pending = slices.Clone(q.pending[n:])
	return d.term, q.inFlight
}

func (d *Dispatcher) deliver(worker string, term uint64, batch []*messages.WorkerOrder) error {
	address, ok := d.opts.Locate(worker)
	if !ok {
		return fmt.Errorf("address of worker is unknown")
	}
	reply, err := d.post(address, &messages.WorkerOrders{Term: term, Orders: batch})
	if err != nil {
		return err
	}
	d.opts.Metrics.Counter("orders_sent").Inc(int64(len(batch)))
	acks, err := converter.DecodeAcks(worker, 0, reply.GetAcks()) // withIncarnations sets the incarnation
	if err != nil {
		return err
	}
	if acks = withIncarnations(acks, batch); len(acks) == 0 {
		return nil
	}
	return d.opts.Report(d.ctx, acks)
}

// attempt identifies the part of an attempt that a worker was ordered to run.
type attempt struct {
	job    string
	number uint32
}

// withIncarnations sets the incarnation of each acknowledgement to that of its order, as a batch may have orders for several
// incarnations of a worker. What acknowledges no order of the batch is left out.
func withIncarnations(acks []scheduler.Ack, batch []*messages.WorkerOrder) []scheduler.Ack {
	incarnations := map[attempt]uint64{}
	for _, o := range batch {
		incarnations[attempt{o.GetJob(), o.GetAttempt()}] = o.GetIncarnation() // an attempt is for one incarnation
	}
	known := acks[:0]
	for _, a := range acks {
		incarnation, ok := incarnations[attempt{a.Job, a.Attempt}]
		if a.Incarnation = incarnation; ok {
			known = append(known, a)
		}
	}
	return known
}

// post sends one request. Any error closes the connection, so that a connection without replies is not
// reused.
func (d *Dispatcher) post(address netip.AddrPort, orders *messages.WorkerOrders) (*messages.WorkerAcks, error) {
	body, err := converter.MarshalJSON(orders)
	if err != nil {
		return nil, fmt.Errorf("encode orders: %w", err)
	}
	request, err := http.NewRequestWithContext(d.ctx, http.MethodPost, "http://"+address.String()+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := d.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %s", response.Status, bytes.TrimSpace(text))
	}
	acks := &messages.WorkerAcks{}
	return acks, converter.UnmarshalJSON(text, acks)
}

// Stop drops all orders, cancels the requests in flight and waits for them to return.
func (d *Dispatcher) Stop() {
	d.cancel()
	d.wait.Wait()
	d.client.CloseIdleConnections()
}
