package coordinator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/placer"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// BenchmarkSize measures a pass and a report at the fleet sizes of docs/CAPACITY.md, with 14 tasks on each
// worker and 50 waiting jobs.
func BenchmarkSize(b *testing.B) {
	for _, n := range []int{48, 350, 6600} {
		f := newFixture()
		var starts []*messages.Run
		for i := range n {
			r := &messages.FleetReport{
				Worker: fmt.Sprintf("w%d", i), Born: 5, Sequence: 1, Pool: "p", Rack: fmt.Sprintf("r%d", i/8),
				Processors: 14_000, Memory: 128_000, Accelerators: 8,
			}
			if _, err := f.Report(context.Background(), r); err != nil {
				b.Fatal(err)
			}
			id := fmt.Sprintf("job%d", i)
			f.state.Apply(&messages.QueueChange{Submits: []*messages.Work{{
				Id: id, Queue: "q", Priority: 1, Steps: []*messages.Step{{Count: 14, Processors: 1000, Estimate: 10_000}},
			}}})
			for k := range int32(14) {
				starts = append(starts, &messages.Run{Job: id, Task: k, Number: 1, Worker: r.GetWorker(), Born: 5})
			}
		}
		f.state.Apply(&messages.QueueChange{Starts: starts})
		for i := range 50 {
			f.state.Apply(&messages.QueueChange{Submits: []*messages.Work{{
				Id: fmt.Sprintf("waiting%d", i), Queue: "q", Priority: int32(i % 3),
				Steps: []*messages.Step{{Count: 8, Processors: 4000, Accelerators: 2, Gang: true, Compact: true, Estimate: 5000}},
			}}})
		}
		b.Run(fmt.Sprintf("pass/workers=%d", n), func(b *testing.B) {
			for b.Loop() {
				f.decide(f.state)
				clear(f.stopping)
			}
		})
		b.Run(fmt.Sprintf("pass-preemption/workers=%d", n), func(b *testing.B) {
			f.opts.Preemption = placer.Preemption{Restore: 600 * time.Millisecond, Stop: 200 * time.Millisecond}
			for b.Loop() {
				f.decide(f.state)
				clear(f.stopping)
			}
			f.opts.Preemption = placer.Preemption{}
		})
		b.Run(fmt.Sprintf("report/workers=%d", n), func(b *testing.B) {
			sequence := uint64(1)
			for b.Loop() {
				sequence++
				r := &messages.FleetReport{Worker: "w0", Born: 5, Sequence: sequence, Pool: "p", Rack: "r0", Processors: 14_000, Memory: 128_000, Accelerators: 8}
				for _, run := range starts[:14] {
					r.Running = append(r.Running, &messages.Running{Run: run, Percent: 50})
				}
				if _, err := f.Report(context.Background(), r); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
