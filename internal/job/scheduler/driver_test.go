package scheduler_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/converter"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/executor"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/registrar"
)

// policy is what the driver drives: the decisions, or a baseline to compare them with.
type policy interface {
	Step(now time.Time, e scheduler.Event) []scheduler.Order
	Next() (time.Time, bool)
	Outstanding() []scheduler.Order
}

const resendInterval = 250 * time.Millisecond

// driver runs a policy against worker machines on a virtual clock.
type driver struct {
	now     time.Time
	policy  policy
	random  *rand.Rand
	timing  registrar.Timing
	queue   timeQueue
	serial  int
	workers map[string]*fakeWorker
	resend  bool
	tickAt  time.Time

	delay  func() time.Duration // of one message
	lossy  float64              // share of orders and acknowledgements that are lost
	double float64              // share of them that arrive twice

	answers map[string]scheduler.View
	runs    map[string][]run // what truly ran, by job
	open    map[partKey]int  // index into runs of parts that run now
	faults  []string         // broken promises that the driver itself has seen
	leftAt  map[string]time.Time
	after   func(scheduler.Event, []scheduler.Order)
}

// run is one part that truly ran.
type run struct {
	worker  string
	attempt uint32
	members int
	from    time.Time
	to      time.Time // zero while it runs
}

type partKey struct {
	worker, job string
	attempt     uint32
}

type fakeWorker struct {
	info    scheduler.WorkerInfo
	machine *executor.Machine
	alive   bool
	wakeAt  time.Time
}

func newDriver(p policy, seed uint64) *driver {
	return &driver{
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), policy: p,
		random: rand.New(rand.NewPCG(seed, 1)), timing: registrar.DefaultTiming(),
		workers: map[string]*fakeWorker{}, answers: map[string]scheduler.View{}, runs: map[string][]run{},
		open: map[partKey]int{}, leftAt: map[string]time.Time{},
		delay: func() time.Duration { return time.Millisecond },
		after: func(scheduler.Event, []scheduler.Order) {},
	}
}

type timed struct {
	at     time.Time
	serial int
	do     func()
}

type timeQueue []timed

func (q timeQueue) Len() int { return len(q) }

func (q timeQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].serial < q[j].serial
}

func (q timeQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *timeQueue) Push(x any) { *q = append(*q, x.(timed)) }

func (q *timeQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (d *driver) at(when time.Time, do func()) {
	d.serial++
	heap.Push(&d.queue, timed{when, d.serial, do})
}

func (d *driver) in(wait time.Duration, do func()) { d.at(d.now.Add(wait), do) }

// runUntil lets the virtual clock run.
func (d *driver) runUntil(end time.Time) {
	for len(d.queue) > 0 && !d.queue[0].at.After(end) {
		next := heap.Pop(&d.queue).(timed)
		if next.at.After(d.now) {
			d.now = next.at
		}
		next.do()
	}
	d.now = end
}

// step feeds one event and carries out what follows.
func (d *driver) step(e scheduler.Event) []scheduler.Order {
	orders := d.policy.Step(d.now, e)
	d.carryOut(orders)
	for _, o := range orders {
		if a, ok := o.(scheduler.Answered); ok {
			d.answered(a.Job)
		}
	}
	d.after(e, orders)
	d.arm()
	return orders
}

func (d *driver) answered(v scheduler.View) {
	if _, ok := d.answers[v.ID]; ok {
		d.fault("job %s was answered twice", v.ID)
	}
	d.answers[v.ID] = v
}

func (d *driver) fault(format string, args ...any) {
	d.faults = append(d.faults, fmt.Sprintf(format, args...))
}

// arm schedules the next tick and the next sending of unconfirmed orders.
func (d *driver) arm() {
	if next, ok := d.policy.Next(); ok && (d.tickAt.IsZero() || next.Before(d.tickAt)) {
		d.tickAt = next
		d.at(next, func() {
			if d.tickAt.Equal(next) {
				d.tickAt = time.Time{}
				d.step(scheduler.Tick{})
			}
		})
	}
	if d.resend || len(d.policy.Outstanding()) == 0 {
		return
	}
	d.resend = true
	d.in(resendInterval, func() {
		d.resend = false
		d.carryOut(d.policy.Outstanding())
		d.arm()
	})
}

func (d *driver) carryOut(orders []scheduler.Order) {
	for _, o := range orders {
		name, m, ok := converter.Order(o)
		if !ok {
			continue
		}
		d.transmit(func() { d.deliver(name, m) })
	}
}

// transmit carries one message with the driver's delay, loss and doubling.
func (d *driver) transmit(do func()) {
	copies := 1
	if d.random.Float64() < d.double {
		copies = 2
	}
	for range copies {
		if d.random.Float64() >= d.lossy {
			d.in(d.delay(), do)
		}
	}
}

func (d *driver) deliver(name string, m *messages.WorkerOrder) {
	w := d.workers[name]
	if w == nil || !w.alive || w.info.Incarnation != m.GetIncarnation() {
		return
	}
	d.advance(w)
	if a := w.machine.Obey(d.now, m); a != nil {
		d.transmit(func() { d.ack(w, *a) })
	}
	d.wake(w)
}

func (d *driver) ack(w *fakeWorker, a scheduler.Ack) {
	a.Worker, a.Incarnation = w.info.Name, w.info.Incarnation
	d.step(scheduler.Report{Acks: []scheduler.Ack{a}})
}

// advance ends what is due on a worker. Final words are repeated until they arrive.
func (d *driver) advance(w *fakeWorker) {
	for _, a := range w.machine.Advance(d.now) {
		d.in(d.delay(), func() {
			if w.alive {
				d.ack(w, a)
			}
		})
		if d.random.Float64() < d.double {
			d.in(d.delay()+d.delay(), func() { d.ack(w, a) })
		}
	}
}

func (d *driver) wake(w *fakeWorker) {
	next, ok := w.machine.Next()
	if !ok || !w.wakeAt.IsZero() && !next.Before(w.wakeAt) {
		return
	}
	w.wakeAt = next
	d.at(next, func() {
		if !w.wakeAt.Equal(next) {
			return
		}
		w.wakeAt = time.Time{}
		if w.alive {
			d.renew(w)
			d.advance(w)
			d.wake(w)
		}
	})
}

// renew keeps the leases of a living worker; homes are no part of this driver.
func (d *driver) renew(w *fakeWorker) {
	w.machine.Renew(w.machine.Running(), d.now.Add(d.timing.Lease))
}

// addWorker starts a worker, or starts it anew.
func (d *driver) addWorker(info scheduler.WorkerInfo) {
	if old := d.workers[info.Name]; old != nil {
		info.Incarnation = old.info.Incarnation + 1
	}
	info.Address = netip.MustParseAddrPort("127.0.0.1:1")
	w := &fakeWorker{info: info, alive: true}
	w.machine = executor.NewMachine(info.Slots, d.timing.Lease, func(now time.Time, job string, attempt uint32, members int, began bool) {
		d.observe(now, info.Name, job, attempt, members, began)
	})
	d.workers[info.Name] = w
	d.step(scheduler.Announce{Worker: info})
}

// kill loses a worker. Its leases run out before it is declared lost.
func (d *driver) kill(name string) {
	w := d.workers[name]
	if w == nil || !w.alive {
		return
	}
	w.alive = false
	w.machine.Kill(d.now)
	lost := scheduler.Lost{Worker: name, Incarnation: w.info.Incarnation}
	d.in(d.timing.LostAfter(), func() { d.step(lost) })
}

func (d *driver) observe(now time.Time, worker, job string, attempt uint32, members int, began bool) {
	key := partKey{worker, job, attempt}
	if !began {
		if i, ok := d.open[key]; ok {
			d.runs[job][i].to = now
			delete(d.open, key)
		}
		return
	}
	if left, ok := d.leftAt[worker]; ok && now.Sub(left) > 2*time.Second {
		d.fault("job %s began on %s %s after it said it leaves", job, worker, now.Sub(left))
	}
	d.runs[job] = append(d.runs[job], run{worker: worker, attempt: attempt, members: members, from: now})
	d.open[key] = len(d.runs[job]) - 1
}

// fleetOf describes workers in racks over places.
func fleetOf(places []string, service string, racks, perRack, slots int) []scheduler.WorkerInfo {
	var list []scheduler.WorkerInfo
	for _, place := range places {
		for r := range racks {
			for w := range perRack {
				list = append(list, scheduler.WorkerInfo{
					Name: fmt.Sprintf("%s-%d-%d", place, r, w), Place: place, Rack: fmt.Sprintf("r%d", r),
					Service: service, Incarnation: 1, Slots: slots, Connections: 64,
				})
			}
		}
	}
	return list
}

func (d *driver) requireNoFaults(t testing.TB) {
	t.Helper()
	for _, f := range d.faults {
		t.Error(f)
	}
}
