package scheduler_test

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
)

// benchUser is the fleet and load of one user of the benchmark.
type benchUser struct {
	name, service string
	weigh         string
	places        []string
	orgs          []string
	guarantees    [][]parser.Guarantee
	jobs          func(r *rand.Rand, u benchUser) []arrival
}

// arrival is one job of a load with its actual run time.
type arrival struct {
	at    time.Duration
	event scheduler.Submit
	run   time.Duration
}

const (
	fleetSlots     = 3 * 2 * 8 * 8
	maxReclaimTime = 5*time.Second + 2*time.Second // checkpoint deadline and 2 s of margin
	targetLoad     = 0.8
)

func benchUsers() []benchUser {
	khula := benchUser{
		name: "KhulaDin", weigh: "fragmentation", service: "listing-svc", places: []string{"bagmati-patan", "gandaki-lakeside", "lumbini-garden"},
		orgs: []string{"temples", "tourism", "guides", "translators", "wards"}, jobs: batchLoad,
	}
	hoang := benchUser{
		name: "HoangThach", weigh: "completion", service: "cube-report", places: []string{"hanoi-a", "danang-a", "hcmc-a"},
		orgs: []string{"rigs", "reports", "contractors", "archive", "audit"}, jobs: peakLoad,
	}
	for _, u := range []*benchUser{&khula, &hoang} {
		u.guarantees = [][]parser.Guarantee{
			{{Service: u.service, Slots: 64, Count: 1}, {Service: u.service, Slots: 8, Count: 4}},
			{{Service: u.service, Slots: 8, Count: 8}},
			{{Service: u.service, Place: u.places[0], Slots: 8, Count: 4}},
			{{Service: u.service, Slots: 8, Count: 2}, {Service: u.service, Slots: 2, Count: 4}},
			{{Service: u.service, Slots: 16, Count: 1}},
		}
	}
	return []benchUser{khula, hoang}
}

func (u benchUser) manifest() []byte {
	m := parser.Manifest{Version: 1, Weigh: u.weigh}
	for _, place := range u.places {
		m.Places = append(m.Places, parser.Place{
			Name: place, Service: u.service, Racks: 2, Workers: 8, Slots: 8, Processors: 128, Memory: 512, Accelerators: 8,
		})
	}
	for i, org := range u.orgs {
		sum := sha256.Sum256([]byte(org))
		m.Organisations = append(m.Organisations, parser.Organisation{Name: org, Token: hex.EncodeToString(sum[:]), Queue: 100_000, Guarantees: u.guarantees[i]})
	}
	text, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return text
}

// randomJob returns a random job. Its declared run time is off by a factor of up to five.
func (u benchUser) randomJob(r *rand.Rand, i int, tasks, accelerators int, adjacency string, run time.Duration) arrival {
	declared := time.Duration(float64(run) * math.Exp((r.Float64()*2-1)*math.Log(5)))
	job := parser.Job{
		Service: u.service, Tasks: tasks, Accelerators: accelerators, Adjacency: adjacency,
		Runtime: parser.Duration(declared), Checkpoint: r.IntN(2) == 0, Urgent: r.IntN(20) == 0,
	}
	job.Body = fmt.Appendf(nil, `{"run": "%dms"}`, run.Milliseconds())
	if r.IntN(20) == 0 {
		job.Accelerators = 9 // can never run
	}
	// A few large organisations submit most jobs.
	org := u.orgs[[]int{0, 0, 0, 0, 1, 1, 1, 2, 2, 3}[r.IntN(10)]]
	return arrival{event: scheduler.Submit{Org: org, Key: fmt.Sprintf("j%05d", i), Job: job}, run: run}
}

// assignArrivals sets the arrival times so that the load of the fleet is targetLoad.
func assignArrivals(list []arrival, at func(x float64) float64) []arrival {
	work := 0.0
	for _, a := range list {
		if a.event.Job.Accelerators < 9 {
			work += a.run.Seconds() * float64(a.event.Job.GangSize()*a.event.Job.Accelerators)
		}
	}
	span := work / fleetSlots / targetLoad
	for i := range list {
		x := (float64(i) + 0.5) / float64(len(list))
		list[i].at = time.Duration(at(x) * span * float64(time.Second))
	}
	slices.SortStableFunc(list, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return list
}

// batchLoad returns many small jobs and large gangs that need adjacent workers.
func batchLoad(r *rand.Rand, u benchUser) []arrival {
	var list []arrival
	for i := range 1500 {
		switch k := r.IntN(100); {
		case k < 8:
			list = append(list, u.randomJob(r, i, []int{32, 48, 64}[r.IntN(3)], 1, "rack", minutes(r, 20, 90)))
		case k < 20:
			list = append(list, u.randomJob(r, i, []int{8, 16}[r.IntN(2)], 1, "place", minutes(r, 10, 60)))
		default:
			list = append(list, u.randomJob(r, i, []int{1, 1, 2, 4}[r.IntN(4)], 1+r.IntN(2), "worker", minutes(r, 2, 30)))
		}
	}
	return addReclaims(assignArrivals(list, func(x float64) float64 { return x }), u)
}

// peakLoad returns small and medium jobs that arrive in two peaks.
func peakLoad(r *rand.Rand, u benchUser) []arrival {
	var list []arrival
	for i := range 3000 {
		switch k := r.IntN(100); {
		case k < 3:
			list = append(list, u.randomJob(r, i, 32, 1, "place", minutes(r, 5, 20)))
		case k < 15:
			list = append(list, u.randomJob(r, i, []int{8, 16}[r.IntN(2)], 1, "place", minutes(r, 3, 15)))
		default:
			list = append(list, u.randomJob(r, i, []int{1, 1, 2, 4}[r.IntN(4)], 1, "worker", minutes(r, 1, 10)))
		}
	}
	return addReclaims(assignArrivals(list, func(x float64) float64 { return x - 0.07*math.Sin(4*math.Pi*x) }), u)
}

// addReclaims adds an organisation that is mostly idle and periodically requests its whole guarantee.
func addReclaims(list []arrival, u benchUser) []arrival {
	const gap, run = 6 * time.Minute, 2 * time.Minute
	span := list[len(list)-1].at
	for i := 1; time.Duration(i)*gap < span; i++ {
		job := parser.Job{Service: u.service, Tasks: 16, Accelerators: 1, Adjacency: "rack", Runtime: parser.Duration(run)}
		event := scheduler.Submit{Org: u.orgs[4], Key: fmt.Sprintf("reclaim%04d", i), Job: job}
		list = append(list, arrival{at: time.Duration(i) * gap, event: event, run: run})
	}
	slices.SortStableFunc(list, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return list
}

func minutes(r *rand.Rand, least, most int) time.Duration {
	return time.Duration(float64(time.Minute) * float64(least) * math.Pow(float64(most)/float64(least), r.Float64()))
}

// results holds the measurements of one load under one policy.
type results struct {
	done               int
	completion, starts []float64 // seconds
	slowdown           float64
	stranded, free     float64 // slot-seconds
	busy               float64
	maxGangWait        float64 // of gangs of 32 tasks or more, seconds
	urgent, entitled   []float64
	missedReclaims     int
	lowerBound         float64
	steps              int
}

// measure runs one load under one policy and returns its results.
func measure(tb testing.TB, u benchUser, p policy, seed uint64) *results {
	list := u.jobs(rand.New(rand.NewPCG(seed, 7)), u)
	d := newDriver(p, seed)
	m := &measurement{driver: d, user: u, results: &results{lowerBound: lowerBound(list)}, jobs: map[string]*arrival{}, entitled: map[string]bool{}, unanswered: map[string]int{}}
	d.afterStep = m.observe
	d.step(scheduler.ApplyManifest{Text: u.manifest()})
	fleet := fleetOf(u.places, u.service, 2, 8, 8)
	for _, w := range fleet {
		d.addWorker(w)
	}
	began := d.now
	for i := range list {
		a := &list[i]
		d.at(began.Add(a.at), func() { m.submit(a) })
	}
	last := list[len(list)-1].at
	m.injectFaults(began, last, list, fleet)
	d.runUntil(began.Add(last + 48*time.Hour))
	if len(d.answers) != len(list) {
		tb.Fatalf("%d of %d jobs have an answer", len(d.answers), len(list))
	}
	d.requireNoViolations(tb)
	m.summarise(list)
	return m.results
}

// injectFaults makes two workers fail all jobs, kills a rack for 20 minutes and cancels 60 jobs.
func (m *measurement) injectFaults(began time.Time, span time.Duration, list []arrival, fleet []scheduler.WorkerInfo) {
	d := m.driver
	d.at(began.Add(span/5), func() {
		d.workers[fleet[3].Name].machine.FailAll = true
		d.workers[fleet[30].Name].machine.FailAll = true
	})
	d.at(began.Add(span/3), func() {
		for _, w := range fleet[8:16] {
			d.kill(w.Name)
		}
	})
	d.at(began.Add(span/3+20*time.Minute), func() {
		for _, w := range fleet[8:16] {
			d.addWorker(w)
		}
	})
	d.at(began.Add(span/2), func() {
		for _, a := range list[len(list)/2-60 : len(list)/2] {
			m.cancelled++
			d.step(scheduler.Cancel{Org: a.event.Org, Keys: []string{a.event.Key}})
		}
	})
}

type measurement struct {
	driver     *driver
	user       benchUser
	results    *results
	jobs       map[string]*arrival
	entitled   map[string]bool
	unanswered map[string]int // by organisation
	last       time.Time
	cancelled  int
}

// submit submits a job and notes whether its organisation is entitled to slots at once: if it has no other job
// and the job fits into one cell of its guarantee.
func (m *measurement) submit(a *arrival) {
	id := scheduler.JobID(a.event.Org, a.event.Key)
	m.jobs[id] = a
	width := a.event.Job.GangSize() * a.event.Job.Accelerators
	largest := 0
	for _, g := range m.user.guarantees[slices.Index(m.user.orgs, a.event.Org)] {
		largest = max(largest, g.Slots)
	}
	// While a rack is down, guarantees may be at risk; the scheduler reports that and need not fulfil them.
	m.entitled[id] = m.unanswered[a.event.Org] == 0 && width <= largest && a.event.Job.Accelerators < 9 && m.allAlive()
	m.unanswered[a.event.Org]++
	m.driver.step(a.event)
}

func (m *measurement) allAlive() bool {
	for _, w := range m.driver.workers {
		if !w.alive {
			return false
		}
	}
	return true
}

// observe integrates the utilisation of the fleet over time.
func (m *measurement) observe(_ scheduler.Event, orders []scheduler.Order) {
	m.results.steps++
	for _, o := range orders {
		if a, ok := o.(scheduler.Answered); ok {
			m.unanswered[a.Job.Org]--
		}
	}
	now := m.driver.now
	dt := now.Sub(m.last).Seconds()
	if m.last.IsZero() || dt <= 0 {
		m.last = now
		return
	}
	m.last = now
	for _, w := range m.driver.workers {
		if !w.alive {
			continue
		}
		used := w.machine.Used()
		free := w.info.Slots - used
		m.results.free += dt * float64(free)
		m.results.busy += dt * float64(used)
		if used > 0 {
			m.results.stranded += dt * float64(free)
		}
	}
}

func (m *measurement) summarise(list []arrival) {
	f := m.results
	for i := range list {
		a := &list[i]
		id := scheduler.JobID(a.event.Org, a.event.Key)
		v := m.driver.answers[id]
		if v.Answer.Outcome != scheduler.Done {
			continue
		}
		f.done++
		took := v.Answer.Time.Sub(v.Submitted).Seconds()
		f.completion = append(f.completion, took)
		f.slowdown += took / max(a.run.Seconds(), 1)
		wait := m.driver.runs[id][0].start.Sub(v.Submitted).Seconds()
		f.starts = append(f.starts, wait)
		if a.event.Job.GangSize() >= 32 {
			f.maxGangWait = max(f.maxGangWait, wait)
		}
		if a.event.Job.Urgent {
			f.urgent = append(f.urgent, wait)
		}
		if m.entitled[id] {
			f.entitled = append(f.entitled, wait)
			if wait > maxReclaimTime.Seconds() {
				f.missedReclaims++
			}
		}
	}
	f.slowdown /= float64(max(f.done, 1))
}

// lowerBound returns a lower bound of the mean completion time under any policy. It is the larger of the mean run
// time and the mean completion time of shortest-remaining-work-first, which is optimal, on one machine with the
// speed of the whole fleet.
func lowerBound(list []arrival) float64 {
	var jobs []arrival
	for _, a := range list {
		if a.event.Job.Accelerators < 9 {
			jobs = append(jobs, a)
		}
	}
	var active []float64 // remaining work, slot-seconds
	now, total, runs := 0.0, 0.0, 0.0
	next := 0
	for next < len(jobs) || len(active) > 0 {
		until := math.Inf(1)
		if next < len(jobs) {
			until = jobs[next].at.Seconds()
		}
		for len(active) > 0 {
			i := 0
			for k := range active {
				if active[k] < active[i] {
					i = k
				}
			}
			need := active[i] / fleetSlots
			if now+need > until {
				active[i] -= (until - now) * fleetSlots
				break
			}
			now += need
			total += now
			active = slices.Delete(active, i, i+1)
		}
		if next < len(jobs) {
			a := jobs[next]
			now = max(now, until)
			runs += a.run.Seconds()
			width := float64(a.event.Job.GangSize() * a.event.Job.Accelerators)
			active = append(active, a.run.Seconds()*width)
			next++
		}
	}
	for _, a := range jobs {
		total -= a.at.Seconds()
	}
	return max(total, runs) / float64(len(jobs))
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v
	}
	return sum / float64(max(len(list), 1))
}

func quantile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[int(q*float64(len(sorted)-1)+0.5)]
}

func (f *results) report(b *testing.B) {
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(f.done), "done")
	b.ReportMetric(mean(f.completion), "mean-s")
	b.ReportMetric(quantile(f.completion, 0.99), "p99-s")
	b.ReportMetric(mean(f.completion)/f.lowerBound, "x-bound")
	b.ReportMetric(f.slowdown, "slowdown")
	b.ReportMetric(f.stranded/max(f.free, 1), "fragmentation")
	b.ReportMetric(f.busy/(f.busy+f.free), "use")
	b.ReportMetric(f.maxGangWait, "gang32-wait-s")
	b.ReportMetric(quantile(f.urgent, 0.99), "urgent-p99-s")
	b.ReportMetric(quantile(f.entitled, 0.99), "reclaim-p99-s")
	b.ReportMetric(float64(len(f.entitled)), "entitled")
	b.ReportMetric(float64(f.missedReclaims), "broken")
}

// BenchmarkPolicy compares the scheduler with the baselines.
func BenchmarkPolicy(b *testing.B) {
	policies := []struct {
		name string
		make func() policy
	}{
		{"bluebellgauge", func() policy { return scheduler.New() }},
		{"bestfit", func() policy { return newBaseline(true) }},
		{"naive", func() policy { return newBaseline(false) }},
	}
	for _, u := range benchUsers() {
		for _, p := range policies {
			b.Run(u.name+"/"+p.name, func(b *testing.B) {
				for range b.N {
					measure(b, u, p.make(), 1).report(b)
				}
			})
		}
	}
}
