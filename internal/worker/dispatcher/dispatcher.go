// Package dispatcher carries a leader's orders to workers and brings their acknowledgements
// back. Orders to one worker go out in turn, one request at a time; an order that gets no reply
// is dropped and comes again from the decisions. Only the connection to workers may live here.
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
	maxQueued      = 4096 // orders waiting for one worker
	maxBatch       = 256  // orders in one request
	maxReplyBytes  = 8 << 20
	idleTimeout    = 30 * time.Second
	maxInFlight    = 256 // requests at one time
)

// Options are the dependencies of a dispatcher.
type Options struct {
	// Locate returns the address of a worker.
	Locate func(worker string) (netip.AddrPort, bool)
	// Report commits acknowledgements.
	Report  func(context.Context, []scheduler.Ack) error
	Metrics tally.Scope
	Log     *zap.Logger
}

// Dispatcher sends orders to workers.
type Dispatcher struct {
	opts   Options
	client *http.Client
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup
	permit chan struct{}

	mu     sync.Mutex
	term   uint64
	queues map[string]*queue
}

// queue is the orders for one worker, in turn.
type queue struct {
	waiting []*messages.WorkerOrder
	flying  []*messages.WorkerOrder
}

// New returns a dispatcher without orders.
func New(opts Options) *Dispatcher {
	ctx, cancel := context.WithCancel(context.Background())
	transport := &http.Transport{
		MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout,
	}
	return &Dispatcher{
		opts: opts, ctx: ctx, cancel: cancel,
		client: &http.Client{Transport: transport, Timeout: requestTimeout},
		permit: make(chan struct{}, maxInFlight),
		queues: map[string]*queue{},
	}
}

// Send queues orders under a term. Copies of orders that wait or are under way are dropped, as
// are all orders of earlier terms.
func (d *Dispatcher) Send(term uint64, orders []scheduler.Order) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if term > d.term {
		d.term = term
		for _, q := range d.queues {
			q.waiting = nil
		}
	}
	if term < d.term {
		return
	}
	for _, o := range orders {
		if worker, m, ok := converter.Order(o); ok {
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
	same := func(o *messages.WorkerOrder) bool {
		return o.GetKind() == m.GetKind() && o.GetJob() == m.GetJob() && o.GetAttempt() == m.GetAttempt()
	}
	if len(q.waiting) >= maxQueued || slices.ContainsFunc(q.waiting, same) || slices.ContainsFunc(q.flying, same) {
		return
	}
	q.waiting = append(q.waiting, m)
}

// drain sends what waits for one worker until nothing is left.
func (d *Dispatcher) drain(worker string, q *queue) {
	for {
		term, batch := d.nextBatch(worker, q)
		if batch == nil {
			return
		}
		select {
		case d.permit <- struct{}{}:
		case <-d.ctx.Done():
			return
		}
		err := d.deliver(worker, term, batch)
		<-d.permit
		if err != nil {
			d.opts.Metrics.Counter("orders_failed").Inc(1)
			d.opts.Log.Debug("orders not delivered", zap.String("worker", worker), zap.Error(err))
		}
	}
}

// nextBatch takes the next orders. The queue is dropped when there are none.
func (d *Dispatcher) nextBatch(worker string, q *queue) (uint64, []*messages.WorkerOrder) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(q.waiting) == 0 || d.ctx.Err() != nil {
		delete(d.queues, worker)
		return 0, nil
	}
	n := min(len(q.waiting), maxBatch)
	q.flying = q.waiting[:n]
	q.waiting = slices.Clone(q.waiting[n:])
	return d.term, q.flying
}

func (d *Dispatcher) deliver(worker string, term uint64, batch []*messages.WorkerOrder) error {
	address, ok := d.opts.Locate(worker)
	if !ok {
		return fmt.Errorf("no address")
	}
	reply, err := d.post(address, &messages.WorkerOrders{Term: term, Orders: batch})
	if err != nil {
		return err
	}
	d.opts.Metrics.Counter("orders_sent").Inc(int64(len(batch)))
	acks, err := converter.Acks(worker, batch[0].GetIncarnation(), reply.GetAcks())
	if err != nil || len(acks) == 0 {
		return err
	}
	return d.opts.Report(d.ctx, acks)
}

// post sends one request. Any error closes the connection, so that a silent one is not used
// again.
func (d *Dispatcher) post(address netip.AddrPort, orders *messages.WorkerOrders) (*messages.WorkerAcks, error) {
	body, err := converter.MarshalJSON(orders)
	if err != nil {
		return nil, fmt.Errorf("encode orders: %w", err)
	}
	request, err := http.NewRequestWithContext(d.ctx, http.MethodPost, "http://"+address.String()+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
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

// Stop drops all orders and waits for the requests under way.
func (d *Dispatcher) Stop() {
	d.cancel()
	d.wait.Wait()
	d.client.CloseIdleConnections()
}
