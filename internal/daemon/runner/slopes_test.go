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

// usage is what one process has used so far.
type usage struct {
	cpu   time.Duration
	bytes uint64 // read and written, sockets and files together
	rss   uint64 // bytes
}

const clockTick = 10 * time.Millisecond // of /proc

func usageOf(tb testing.TB, pid int) usage {
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

// BenchmarkIdleDaemons measures what control costs while no job runs, against the number of
// workers: three keepers and three entries as real processes, figures of the leader and of the
// mean of the diskless entries.
func BenchmarkIdleDaemons(b *testing.B) {
	const span = 8 * time.Second
	for _, workers := range []int{0, 24, 48, 96} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			p := startProcesses(b, 3, 6)
			p.apply(1, 8)
			p.addWorkers(workers, registrar.DefaultTiming())
			time.Sleep(2 * time.Second)
			leader := p.leader()
			var before, after [6]usage
			for i, c := range p.commands {
				before[i] = usageOf(b, c.Pid)
			}
			time.Sleep(span)
			for i, c := range p.commands {
				after[i] = usageOf(b, c.Pid)
			}
			cpu := func(i int) float64 { return 100 * (after[i].cpu - before[i].cpu).Seconds() / span.Seconds() }
			bytes := func(i int) float64 { return float64(after[i].bytes-before[i].bytes) / span.Seconds() }
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

// BenchmarkEmptyJob measures the path of a job without run time, from its submit to its answer,
// through a diskless entry: with one keeper, with three, and with three that are 12 ms apart one
// way.
func BenchmarkEmptyJob(b *testing.B) {
	const jobs = 200
	for _, setting := range []struct {
		keepers int
		delay   string
	}{{1, ""}, {3, ""}, {3, "12ms"}} {
		b.Run(fmt.Sprintf("keepers=%d/delay=%s", setting.keepers, setting.delay), func(b *testing.B) {
			b.Setenv("BLUEBELLGAUGE_TEST_DELAY", setting.delay)
			p := startProcesses(b, setting.keepers, setting.keepers+1)
			p.apply(1, 8)
			p.addWorkers(2, registrar.DefaultTiming())
			time.Sleep(2 * time.Second)
			cl := client.New(p.entries[setting.keepers:], orgToken)
			defer cl.Close()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			var took []time.Duration
			for i := range jobs {
				key := fmt.Sprintf("k%d", i)
				began := time.Now()
				_, err := cl.Submit(ctx, key, parser.Job{Service: "s", Body: []byte(`{"run": "0s"}`)})
				p.must(err)
				_, err = cl.Answer(ctx, key)
				p.must(err)
				took = append(took, time.Since(began))
			}
			slices.Sort(took)
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(took[jobs/2].Microseconds())/1000, "p50-ms")
			b.ReportMetric(float64(took[jobs*99/100].Microseconds())/1000, "p99-ms")
		})
	}
}

// BenchmarkElection measures the time without a leader after the leader is killed by -9, as an
// operator sees it.
func BenchmarkElection(b *testing.B) {
	var took []time.Duration
	for range 10 {
		p := startProcesses(b, 3, 3)
		p.apply(1, 8)
		leader := p.leader()
		p.end(leader, os.Kill)
		began := time.Now()
		p.apply(2, 8)
		took = append(took, time.Since(began))
		p.stopAll()
	}
	slices.Sort(took)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(took[len(took)/2].Seconds(), "p50-s")
	b.ReportMetric(took[len(took)-1].Seconds(), "max-s")
}
