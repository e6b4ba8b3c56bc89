package placer

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// fullFleet returns n workers with eight runs each, which leave no accelerator, of jobs of an organisation with a priority.
func fullFleet(n int, priority int32, lasting bool) ([]*Worker, *tracker.Tracker) {
	workers, tr := fleet(n), tracker.New()
	const perJob = 10_000
	for first := 0; first < n; first += perJob / 8 {
		id := fmt.Sprintf("running%d", first)
		list := workers[first:min(first+perJob/8, n)]
		submitFor(tr, "running", id, priority, &messages.Step{
			Count: int32(8 * len(list)), Processors: 1000, Accelerators: 1, Lasting: lasting, Absent: int32(len(list)),
		})
		j := tr.Job(id)
		s := j.Step(0, 0)
		var starts []*messages.Run
		for i := range 8 * len(list) {
			w := list[i/8]
			r := &messages.Run{Job: id, Task: int32(i), Number: 1, Worker: w.ID, Born: w.Started}
			starts = append(starts, r)
			w.Free = w.Free.Sub(Need(s.Spec))
			w.Runs = append(w.Runs, &ActiveRun{
				Key: tracker.KeyOf(r), Job: j, Step: s, Need: Need(s.Spec), Unsaved: time.Duration(i%97) * time.Second / 10,
				Remaining: time.Duration(i%61) * time.Second, AtWork: true,
			})
		}
		tr.Apply(&messages.QueueChange{Starts: starts})
	}
	return workers, tr
}

// queuedLoads are loads that do not fit on full workers.
var queuedLoads = []queuedLoad{
	{"urgent tasks of one job", func(tr *tracker.Tracker) {
		submit(tr, "urgent", 0, &messages.Step{Count: 10_000, Processors: 1000, Accelerators: 1})
	}},
	{"urgent tasks of one job with a spread limit", func(tr *tracker.Tracker) {
		submit(tr, "urgent", 0, &messages.Step{Count: 10_000, Processors: 1000, Accelerators: 1, Spread: 3})
	}},
	{"urgent jobs", func(tr *tracker.Tracker) {
		submitMany(tr, 10_000, 0, func(int) *messages.Step { return &messages.Step{Count: 1, Processors: 1000, Accelerators: 1} })
	}},
	{"urgent jobs of many sizes", func(tr *tracker.Tracker) {
		submitMany(tr, 10_000, 0, func(i int) *messages.Step { return mixedStep(i, false) })
	}},
	{"urgent gangs", func(tr *tracker.Tracker) {
		submitMany(tr, 2_000, 0, func(int) *messages.Step {
			return &messages.Step{Count: 5, Processors: 1000, Accelerators: 1, Gang: true}
		})
	}},
	{"urgent compact gangs", func(tr *tracker.Tracker) {
		submitMany(tr, 2_000, 0, func(int) *messages.Step {
			return &messages.Step{Count: 5, Processors: 1000, Accelerators: 1, Gang: true, Compact: true}
		})
	}},
	{"gangs", func(tr *tracker.Tracker) {
		submitMany(tr, 2_000, 1, func(int) *messages.Step {
			return &messages.Step{Count: 13, Processors: 1000, Accelerators: 1, Gang: true}
		})
	}},
	{"jobs", func(tr *tracker.Tracker) {
		submitMany(tr, 10_000, 1, func(int) *messages.Step { return &messages.Step{Count: 39, Processors: 1000, Accelerators: 1} })
	}},
	{"jobs and gangs of many sizes", func(tr *tracker.Tracker) {
		submitMany(tr, 10_000, 1, func(i int) *messages.Step { return mixedStep(i, i%3 == 0) })
	}},
}

// reclaimLoads are loads that evict what is evicted for guarantees alone.
var reclaimLoads = []queuedLoad{
	{"guaranteed tasks", submitGuaranteed},
	{"guaranteed gangs", func(tr *tracker.Tracker) {
		for i := range 2_000 {
			submitFor(tr, "guaranteed", fmt.Sprintf("queued%d", i), 0, &messages.Step{Count: 5, Processors: 1000, Accelerators: 1, Gang: true})
		}
	}},
}

type queuedLoad struct {
	name   string
	submit func(*tracker.Tracker)
}

func submitGuaranteed(tr *tracker.Tracker) {
	submitFor(tr, "guaranteed", "urgent", 0, &messages.Step{Count: 10_000, Processors: 1000, Accelerators: 1})
}

func submitMany(tr *tracker.Tracker, n int, priority int32, step func(int) *messages.Step) {
	for i := range n {
		submit(tr, fmt.Sprintf("queued%d", i), priority, step(i))
	}
}

// mixedStep returns steps of many sizes, none of which fits without an accelerator.
func mixedStep(i int, gang bool) *messages.Step {
	s := &messages.Step{
		Count: 1, Processors: int64(500 + i*7919%9000), Memory: int64(100 + i*104729%5000), Accelerators: int64(1 + i%5), Estimate: int64(500 + i%3000),
	}
	if s.Gang = gang; gang {
		s.Count, s.Compact = int32(2+i%20), i%2 == 0
	}
	return s
}

// cpuTime returns the processor time that the process has used. Other processes distort it less than the time of the clock.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkQueuedLoad measures a pass over full workers with loads that wait, and the next pass, while what the first one
// stopped has not ended. A pass is to take less than 0.5 s with 350 workers and 2 s with 6,600.
func BenchmarkQueuedLoad(b *testing.B) {
	for _, n := range []int{350, 2000, 6600} {
		for _, running := range []struct {
			name     string
			priority int32
			lasting  bool
			loads    []queuedLoad
		}{
			{"low", 2, false, queuedLoads},
			{"urgent", 0, false, reclaimLoads},
			{"lasting", 2, true, reclaimLoads},
		} {
			for _, load := range running.loads {
				b.Run(fmt.Sprintf("workers=%d/running=%s/%s", n, running.name, load.name), func(b *testing.B) {
					workers, tr := fullFleet(n, running.priority, running.lasting)
					load.submit(tr)
					measurePasses(b, workers, tr)
				})
			}
		}
	}
}

// BenchmarkIdlePool measures a pass over idle workers with more work than it may place at once.
func BenchmarkIdlePool(b *testing.B) {
	for _, n := range []int{350, 2000, 6600} {
		for _, load := range queuedLoads {
			b.Run(fmt.Sprintf("workers=%d/%s", n, load.name), func(b *testing.B) {
				workers, tr := fleet(n), tracker.New()
				load.submit(tr)
				var elapsed, cpu time.Duration
				starts := 0
				for b.Loop() {
					start, before := time.Now(), cpuTime()
					starts = len(NewPlan(input(workers, tr)).Starts)
					elapsed, cpu = elapsed+time.Since(start), cpu+cpuTime()-before
				}
				b.ReportMetric(elapsed.Seconds()/float64(b.N), "s/op")
				b.ReportMetric(cpu.Seconds()/float64(b.N), "cpu-s/op")
				b.ReportMetric(float64(starts), "starts")
			})
		}
	}
}

func measurePasses(b *testing.B, workers []*Worker, tr *tracker.Tracker) {
	plan := func() (Plan, time.Duration, time.Duration) {
		in := input(workers, tr)
		in.Age = func(*tracker.Job) time.Duration { return reclaimDelay }
		in.Guarantee = func(organisation string) int64 {
			if organisation == "guaranteed" {
				return 10_000
			}
			return 0
		}
		runtime.GC()
		start, cpu := time.Now(), cpuTime()
		p := NewPlan(in)
		return p, time.Since(start), cpuTime() - cpu
	}
	var first, next, firstCPU, nextCPU time.Duration
	stops := 0
	for b.Loop() {
		p, elapsed, cpu := plan()
		first, firstCPU, stops = first+elapsed, firstCPU+cpu, len(p.Stops)
		q, elapsed, cpu := plan()
		next, nextCPU = next+elapsed, nextCPU+cpu
		unmarkStops(p)
		unmarkStops(q)
	}
	b.ReportMetric(first.Seconds()/float64(b.N), "first-s/op")
	b.ReportMetric(firstCPU.Seconds()/float64(b.N), "first-cpu-s/op")
	b.ReportMetric(next.Seconds()/float64(b.N), "next-s/op")
	b.ReportMetric(nextCPU.Seconds()/float64(b.N), "next-cpu-s/op")
	b.ReportMetric(float64(stops), "stops")
}
