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

// policy is the subject of a driver: the scheduler, or a baseline for comparison.
type policy interface {
	Step(now time.Time, e scheduler.Event) []scheduler.Order
	Next() (time.Time, bool)
	Outstanding() []scheduler.Order
}

const resendInterval = 250 * time.Millisecond

// evacuationTimeout is the time after an order after which nothing may start in an evacuated place.
const evacuationTimeout = 5 * time.Second

// driver runs a policy against simulated workers on a virtual clock.
type driver struct {
	now             time.Time
	policy          policy
	random          *rand.Rand
	timing          registrar.Timing
	queue           eventQueue
	sequence        int
	workers         map[string]*fakeWorker
	resendScheduled bool
	tickAt          time.Time

	delay         func() time.Duration // of a message
	lossRate      float64              // probability that an order or acknowledgement is lost
	duplicateRate float64              // probability that one is delivered twice

	answers      map[string]scheduler.JobView
	runs         map[string][]run // parts that the workers ran, by job
	running      map[runKey]int   // index into runs of the parts that are running
	violations   []string         // violated invariants that the driver itself detected
	leavingSince map[string]time.Time
	evacuated    map[string]time.Time // since when, by place
	afterStep    func(scheduler.Event, []scheduler.Order)
	idempotent   func(job string) bool
}

// run is one part that a worker ran.
type run struct {
	worker  string
	attempt uint32
	members int
	start   time.Time
	end     time.Time // zero while it is running
}

type runKey struct {
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
		workers: map[string]*fakeWorker{}, answers: map[string]scheduler.JobView{}, runs: map[string][]run{},
		running: map[runKey]int{}, leavingSince: map[string]time.Time{}, evacuated: map[string]time.Time{},
		delay:     func() time.Duration { return time.Millisecond },
		afterStep: func(scheduler.Event, []scheduler.Order) {}, idempotent: func(string) bool { return true },
	}
}

type timedEvent struct {
	at       time.Time
	sequence int
	run      func()
}

type eventQueue []timedEvent

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(timedEvent)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (d *driver) at(when time.Time, action func()) {
	d.sequence++
	heap.Push(&d.queue, timedEvent{when, d.sequence, action})
}

func (d *driver) schedule(wait time.Duration, action func()) { d.at(d.now.Add(wait), action) }

// runUntil advances the virtual clock to end.
func (d *driver) runUntil(end time.Time) {
	for len(d.queue) > 0 && !d.queue[0].at.After(end) {
		next := heap.Pop(&d.queue).(timedEvent)
		if next.at.After(d.now) {
			d.now = next.at
		}
		next.run()
	}
	d.now = end
}

// step applies one event and sends the resulting orders.
func (d *driver) step(e scheduler.Event) []scheduler.Order {
	orders := d.policy.Step(d.now, e)
	d.sendOrders(orders)
	for _, o := range orders {
		if a, ok := o.(scheduler.Answered); ok {
			d.answered(a.Job)
		}
	}
	d.afterStep(e, orders)
	d.scheduleTimers()
	return orders
}

func (d *driver) answered(v scheduler.JobView) {
	if _, ok := d.answers[v.ID]; ok {
		d.violation("job %s was answered twice", v.ID)
	}
	d.answers[v.ID] = v
}

func (d *driver) violation(format string, args ...any) {
	d.violations = append(d.violations, fmt.Sprintf(format, args...))
}

// scheduleTimers schedules the next tick and the next resend of unacknowledged orders.
func (d *driver) scheduleTimers() {
	if next, ok := d.policy.Next(); ok && (d.tickAt.IsZero() || next.Before(d.tickAt)) {
		d.tickAt = next
		d.at(next, func() {
			if d.tickAt.Equal(next) {
				d.tickAt = time.Time{}
				d.step(scheduler.Tick{})
			}
		})
	}
	if d.resendScheduled || len(d.policy.Outstanding()) == 0 {
		return
	}
	d.resendScheduled = true
	d.schedule(resendInterval, func() {
		d.resendScheduled = false
		d.sendOrders(d.policy.Outstanding())
		d.scheduleTimers()
	})
}

func (d *driver) sendOrders(orders []scheduler.Order) {
	for _, o := range orders {
		name, m, ok := converter.EncodeOrder(o)
		if !ok {
			continue
		}
		d.transmit(func() { d.deliver(name, m) })
	}
}

// transmit delivers one message with the delay, loss and duplication of the driver.
func (d *driver) transmit(action func()) {
	copies := 1
	if d.random.Float64() < d.duplicateRate {
		copies = 2
	}
	for range copies {
		if d.random.Float64() >= d.lossRate {
			d.schedule(d.delay(), action)
		}
	}
}

func (d *driver) deliver(name string, m *messages.WorkerOrder) {
	w := d.workers[name]
	if w == nil || !w.alive || w.info.Incarnation != m.GetIncarnation() {
		return
	}
	d.advance(w)
	if a := w.machine.Apply(d.now, m); a != nil {
		d.transmit(func() { d.ack(w, *a) })
	}
	d.wake(w)
}

func (d *driver) ack(w *fakeWorker, a scheduler.Ack) {
	a.Worker, a.Incarnation = w.info.Name, w.info.Incarnation
	d.step(scheduler.Report{Acks: []scheduler.Ack{a}})
}

// advance ends the parts that are due on a worker. Their final acknowledgements are never lost, as a real worker
// resends them.
func (d *driver) advance(w *fakeWorker) {
	for _, a := range w.machine.Advance(d.now) {
		d.schedule(d.delay(), func() {
			if w.alive {
				d.ack(w, a)
			}
		})
		if d.random.Float64() < d.duplicateRate {
			d.schedule(d.delay()+d.delay(), func() { d.ack(w, a) })
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

// renew renews the leases of a running worker directly, as the driver has no daemons that would do so.
func (d *driver) renew(w *fakeWorker) {
	w.machine.Renew(w.machine.Running(), d.now.Add(d.timing.Lease))
}

// evacuate starts or ends the evacuation of a place.
func (d *driver) evacuate(place string, over bool) {
	if over {
		delete(d.evacuated, place)
	} else if _, ok := d.evacuated[place]; !ok {
		d.evacuated[place] = d.now
	}
	order := &messages.EvacuationOrder{Place: place, Over: over, By: "operator"}
	d.step(scheduler.ChangeQueues{Change: &messages.QueueChange{Time: d.now.UnixMilli(), Evacuations: []*messages.EvacuationOrder{order}}})
}

// addWorker starts or restarts a worker.
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

// kill kills a worker. It is reported lost once its leases have expired.
func (d *driver) kill(name string) {
	w := d.workers[name]
	if w == nil || !w.alive {
		return
	}
	w.alive = false
	w.machine.Kill(d.now)
	lost := scheduler.WorkerLost{Worker: name, Incarnation: w.info.Incarnation}
	d.schedule(d.timing.LostAfter(), func() { d.step(lost) })
}

func (d *driver) observe(now time.Time, worker, job string, attempt uint32, members int, began bool) {
	key := runKey{worker, job, attempt}
	if !began {
		if i, ok := d.running[key]; ok {
			d.runs[job][i].end = now
			delete(d.running, key)
		}
		return
	}
	if since, ok := d.leavingSince[worker]; ok && now.Sub(since) > 2*time.Second {
		d.violation("job %s started on %s %s after the worker announced that it is leaving", job, worker, now.Sub(since))
	}
	// Only the start of a job that is not idempotent may be ordered until it is confirmed.
	if since, ok := d.evacuated[d.workers[worker].info.Place]; ok && d.idempotent(job) && now.Sub(since) > evacuationTimeout {
		d.violation("job %s started on %s %s after the evacuation of its place", job, worker, now.Sub(since))
	}
	d.runs[job] = append(d.runs[job], run{worker: worker, attempt: attempt, members: members, start: now})
	d.running[key] = len(d.runs[job]) - 1
}

// fleetOf returns workers for the given number of racks in each place.
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

func (d *driver) requireNoViolations(t testing.TB) {
	t.Helper()
	for _, f := range d.violations {
		t.Error(f)
	}
}
