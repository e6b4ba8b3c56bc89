package scheduler_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
)

const (
	sizePlaces         = 12
	sizeOrgs           = 58
	sizeSlotsPerWorker = 16
	sizeWorkersPerRack = 8
	sizeTasksPerWorker = 14 // tasks running per worker
)

// sizedState is a state with a loaded fleet of a given size.
type sizedState struct {
	state *scheduler.State
	now   time.Time
	jobs  int
}

func newSizedState(workers int) *sizedState {
	z := &sizedState{state: scheduler.New(), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	z.step(scheduler.ApplyManifest{Text: sizedManifest(workers)})
	for i := range workers {
		z.step(scheduler.Announce{Worker: scheduler.WorkerInfo{
			Name: fmt.Sprintf("w%05d", i), Place: fmt.Sprintf("p%02d", i%sizePlaces), Rack: fmt.Sprintf("r%d", i/sizePlaces/sizeWorkersPerRack),
			Service: "s", Incarnation: 1, Slots: sizeSlotsPerWorker, Address: netip.MustParseAddrPort("127.0.0.1:1"),
		}})
	}
	for tasks := 0; tasks < workers*sizeTasksPerWorker; {
		size := []int{1, 2, 8, 16, 64, 128}[z.jobs%6]
		z.submit(size, false)
		tasks += size
	}
	return z
}

func sizedManifest(workers int) []byte {
	m := parser.Manifest{Version: 1, Width: parser.Width{Slots: sizeSlotsPerWorker, Workers: sizeWorkersPerRack}}
	for i := range sizePlaces {
		m.Places = append(m.Places, parser.Place{
			Name: fmt.Sprintf("p%02d", i), Service: "s", Racks: max(workers/sizePlaces/sizeWorkersPerRack, 1), Workers: sizeWorkersPerRack,
			Slots: sizeSlotsPerWorker, Processors: 128, Memory: 512, Accelerators: 8,
		})
	}
	for i := range sizeOrgs {
		name := fmt.Sprintf("org%02d", i)
		sum := sha256.Sum256([]byte(name))
		slots := max(workers*sizeSlotsPerWorker/sizeOrgs/2/16, 1) // half of the fleet is guaranteed
		m.Organisations = append(m.Organisations, parser.Organisation{
			Name: name, Token: hex.EncodeToString(sum[:]), Queue: 10_000,
			Guarantees: []parser.Guarantee{{Service: "s", Slots: 16, Count: slots}},
		})
	}
	text, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return text
}

func (z *sizedState) step(e scheduler.Event) []scheduler.Order {
	z.now = z.now.Add(time.Millisecond)
	return z.state.Step(z.now, e)
}

// submit submits a gang and acknowledges its orders.
func (z *sizedState) submit(tasks int, urgent bool) (id string, orders []scheduler.Order) {
	z.jobs++
	e := scheduler.Submit{Org: fmt.Sprintf("org%02d", z.jobs%sizeOrgs), Key: fmt.Sprintf("k%d", z.jobs), Job: parser.Job{
		Service: "s", Tasks: tasks, Adjacency: "place", Runtime: parser.Duration(2 * time.Hour), Checkpoint: true, Urgent: urgent,
	}}
	orders = z.step(e)
	z.ackOrders(orders)
	return scheduler.JobID(e.Org, e.Key), orders
}

func (z *sizedState) ackOrders(orders []scheduler.Order) {
	var acks []scheduler.Ack
	for _, o := range orders {
		switch o := o.(type) {
		case scheduler.Hold:
			acks = append(acks, ackOf(o.Part, scheduler.AckHeld))
		case scheduler.Start:
			acks = append(acks, ackOf(o.Part, scheduler.AckStarted))
		}
	}
	if len(acks) > 0 {
		z.ackOrders(z.step(scheduler.Report{Acks: acks}))
	}
}

func ackOf(p scheduler.Part, kind scheduler.AckKind) scheduler.Ack {
	return scheduler.Ack{Job: p.Job, Attempt: p.Attempt, Worker: p.Worker, Incarnation: p.Incarnation, Kind: kind}
}

// finish completes the job that the orders belong to.
func (z *sizedState) finish(orders []scheduler.Order) {
	var acks []scheduler.Ack
	for _, o := range orders {
		switch o := o.(type) {
		case scheduler.Start:
			acks = append(acks, ackOf(o.Part, scheduler.AckDone))
		case scheduler.Hold:
			acks = append(acks, ackOf(o.Part, scheduler.AckDone))
		}
	}
	z.ackOrders(z.step(scheduler.Report{Acks: acks}))
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkSize measures time and memory by fleet size, as listed in docs/CAPACITY.md.
func BenchmarkSize(b *testing.B) {
	for _, workers := range []int{48, 500, 2000, 6600} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			before := heapBytes()
			z := newSizedState(workers)
			after := heapBytes()
			var submits, finishes, urgents []float64
			for i := range 300 {
				began := time.Now()
				_, orders := z.submit([]int{1, 4, 16}[i%3], false)
				submits = append(submits, float64(time.Since(began).Microseconds()))
				began = time.Now()
				z.finish(orders)
				finishes = append(finishes, float64(time.Since(began).Microseconds()))
				began = time.Now()
				_, orders = z.submit(8, true)
				urgents = append(urgents, float64(time.Since(began).Microseconds()))
				z.finish(orders)
			}
			began := time.Now()
			data, err := z.state.Save()
			if err != nil {
				b.Fatal(err)
			}
			saving := time.Since(began)
			began = time.Now()
			if _, err := scheduler.Restore(data); err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(workers*sizeTasksPerWorker), "tasks")
			b.ReportMetric(float64(after-before)/1e6, "heap-MB")
			b.ReportMetric(quantile(submits, 0.5), "submit-p50-us")
			b.ReportMetric(quantile(submits, 0.99), "submit-p99-us")
			b.ReportMetric(quantile(urgents, 0.99), "urgent-p99-us")
			b.ReportMetric(quantile(finishes, 0.99), "finish-p99-us")
			b.ReportMetric(float64(len(data))/1e6, "snapshot-MB")
			b.ReportMetric(float64(saving.Milliseconds()), "save-ms")
			b.ReportMetric(float64(time.Since(began).Milliseconds()), "restore-ms")
		})
	}
}
