package runner_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/console/client"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/registrar"
)

// usage is the cumulative CPU time and I/O of a process, and its resident memory.
type usage struct {
	cpu   time.Duration
	bytes uint64 // read and written, on sockets and files
	rss   uint64 // bytes
}

const clockTick = 10 * time.Millisecond // unit of CPU times in /proc

func readUsage(tb testing.TB, pid int) usage {
	tb.Helper()
	var u usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		tb.Fatal(err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	for _, i := range []int{11, 12} {
		n, err := strconv.Atoi(fields[i])
		if err != nil {
			tb.Fatal(err)
		}
		u.cpu += time.Duration(n) * clockTick
	}
	pages, err := strconv.ParseUint(fields[21], 10, 64)
	if err != nil {
		tb.Fatal(err)
	}
	u.rss = pages * uint64(os.Getpagesize())
	io, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		tb.Fatal(err)
	}
	for line := range strings.SplitSeq(string(io), "\n") {
		name, value, _ := strings.Cut(line, ": ")
		if name == "rchar" || name == "wchar" {
			n, err := strconv.ParseUint(value, 10, 64)
			if err != nil {
				tb.Fatal(err)
			}
			u.bytes += n
		}
	}
	return u
}

// BenchmarkIdleDaemons measures the resource usage of daemons by number of workers while no job runs. The fleet has
// three replicas and three diskless entries in separate processes; it reports the usage of the leader and the mean
// over the diskless entries, and the memory of the first of them.
func BenchmarkIdleDaemons(b *testing.B) {
	const interval = 8 * time.Second
	for _, workers := range []int{0, 24, 48, 96} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			p := startProcesses(b, 3, 6)
			p.apply(1, 8)
			p.addWorkers(workers, registrar.DefaultTiming())
			time.Sleep(2 * time.Second)
			leader := p.leader()
			var before, after [6]usage
			for i, c := range p.commands {
				before[i] = readUsage(b, c.Pid)
			}
			time.Sleep(interval)
			for i, c := range p.commands {
				after[i] = readUsage(b, c.Pid)
			}
			cpu := func(i int) float64 { return 100 * (after[i].cpu - before[i].cpu).Seconds() / interval.Seconds() }
			bytes := func(i int) float64 { return float64(after[i].bytes-before[i].bytes) / interval.Seconds() }
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(cpu(leader), "leader-cpu-%")
			b.ReportMetric(bytes(leader), "leader-B/s")
			b.ReportMetric(float64(after[leader].rss)/1e6, "leader-MB")
			b.ReportMetric((cpu(3)+cpu(4)+cpu(5))/3, "entry-cpu-%")
			b.ReportMetric((bytes(3)+bytes(4)+bytes(5))/3, "entry-B/s")
			b.ReportMetric(float64(after[3].rss)/1e6, "entry-MB")
		})
	}
}

// BenchmarkEmptyJob measures the latency from submission to answer of a job without run time through a diskless
// entry: with one replica, with three, and with three and a one-way delay of 12 ms between daemons.
func BenchmarkEmptyJob(b *testing.B) {
	const jobs = 200
	for _, config := range []struct {
		replicas int
		delay    string
	}{{1, ""}, {3, ""}, {3, "12ms"}} {
		b.Run(fmt.Sprintf("keepers=%d/delay=%s", config.replicas, config.delay), func(b *testing.B) {
			b.Setenv("BLUEBELLGAUGE_TEST_DELAY", config.delay)
			p := startProcesses(b, config.replicas, config.replicas+1)
			p.apply(1, 8)
			p.addWorkers(2, registrar.DefaultTiming())
			time.Sleep(2 * time.Second)
			cl := client.New(p.entries[config.replicas:], orgToken)
			defer cl.Close()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			var latencies []time.Duration
			for i := range jobs {
				key := fmt.Sprintf("k%d", i)
				start := time.Now()
				_, err := cl.Submit(ctx, key, parser.Job{Service: "s", Body: []byte(`{"run": "0s"}`)})
				p.noError(err)
				_, err = cl.Answer(ctx, key)
				p.noError(err)
				latencies = append(latencies, time.Since(start))
			}
			slices.Sort(latencies)
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(latencies[jobs/2].Microseconds())/1000, "p50-ms")
			b.ReportMetric(float64(latencies[jobs*99/100].Microseconds())/1000, "p99-ms")
		})
	}
}

// BenchmarkElection measures the time from killing the leader until an operator's request succeeds.
func BenchmarkElection(b *testing.B) {
	var latencies []time.Duration
	for range 10 {
		p := startProcesses(b, 3, 3)
		p.apply(1, 8)
		leader := p.leader()
		p.signalAndWait(leader, os.Kill)
		start := time.Now()
		p.apply(2, 8)
		latencies = append(latencies, time.Since(start))
		p.stopAll()
	}
	slices.Sort(latencies)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(latencies[len(latencies)/2].Seconds(), "p50-s")
	b.ReportMetric(latencies[len(latencies)-1].Seconds(), "max-s")
}
