package scheduler_test

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
)

// baseline is a simple policy for comparison: first come, first served on the free slots of workers, without
// guarantees, borrowing, checkpoints or estimates.
type baseline struct {
	bestFit bool // prefer the fullest worker that fits, and let later jobs overtake a waiting one
	workers map[string]*baseWorker
	names   []string
	queue   []*baseJob
	running map[string]*baseJob
}

type baseWorker struct {
	info  scheduler.WorkerInfo
	free  int
	alive bool
}

type baseJob struct {
	id           string
	org          string
	spec         parser.Job
	slots        int
	attempt      uint32
	submitted    time.Time
	parts        []scheduler.Part
	endedWorkers map[string]bool
	failure      string
	body         []byte
	losses       int
}

func newBaseline(bestFit bool) *baseline {
	return &baseline{bestFit: bestFit, workers: map[string]*baseWorker{}, running: map[string]*baseJob{}}
}

// Step implements policy.
func (b *baseline) Step(now time.Time, e scheduler.Event) []scheduler.Order {
	var orders []scheduler.Order
	switch e := e.(type) {
	case scheduler.Announce:
		b.announce(e.Worker)
	case scheduler.WorkerLost:
		orders = b.lose(e.Worker)
	case scheduler.Submit:
		orders = b.submit(now, e)
	case scheduler.Cancel:
		orders = b.cancel(now, e)
	case scheduler.Report:
		for _, a := range e.Acks {
			orders = append(orders, b.ack(now, a)...)
		}
	case scheduler.ApplyManifest, scheduler.Tick:
	}
	return append(orders, b.schedule()...)
}

// Next implements policy.
func (b *baseline) Next() (time.Time, bool) { return time.Time{}, false }

// Outstanding implements policy. It is empty, as the benchmarks lose no messages.
func (b *baseline) Outstanding() []scheduler.Order { return nil }

func (b *baseline) announce(info scheduler.WorkerInfo) {
	b.workers[info.Name] = &baseWorker{info: info, free: info.Slots, alive: true}
	if !slices.Contains(b.names, info.Name) {
		b.names = append(b.names, info.Name)
		slices.Sort(b.names)
	}
}

func (b *baseline) submit(now time.Time, e scheduler.Submit) []scheduler.Order {
	j := &baseJob{id: scheduler.JobID(e.Org, e.Key), org: e.Org, spec: e.Job, slots: max(e.Job.Accelerators, 1), submitted: now}
	if j.slots > 8 || j.spec.GangSize() > 128 {
		return b.answer(now, j, scheduler.NotRun)
	}
	b.queue = append(b.queue, j)
	return nil
}

func (b *baseline) answer(now time.Time, j *baseJob, outcome scheduler.Outcome) []scheduler.Order {
	return []scheduler.Order{scheduler.Answered{Job: scheduler.JobView{
		ID: j.id, Org: j.org, Submitted: j.submitted, Answer: &scheduler.Answer{Outcome: outcome, Body: j.body, Time: now},
	}}}
}

func (b *baseline) cancel(now time.Time, e scheduler.Cancel) []scheduler.Order {
	var orders []scheduler.Order
	for _, key := range e.Keys {
		id := scheduler.JobID(e.Org, key)
		if i := slices.IndexFunc(b.queue, func(j *baseJob) bool { return j.id == id }); i >= 0 {
			orders = append(orders, b.answer(now, b.queue[i], scheduler.NotRun)...)
			b.queue = slices.Delete(b.queue, i, i+1)
			continue
		}
		if j := b.running[id]; j != nil {
			j.failure = "cancelled"
			orders = append(orders, b.stopRemaining(j)...)
		}
	}
	return orders
}

func (b *baseline) stopRemaining(j *baseJob) []scheduler.Order {
	var orders []scheduler.Order
	for _, p := range j.parts {
		if !j.endedWorkers[p.Worker] {
			orders = append(orders, scheduler.Stop{Part: p})
		}
	}
	return orders
}

func (b *baseline) ack(now time.Time, a scheduler.Ack) []scheduler.Order {
	j := b.running[a.Job]
	if j == nil || j.attempt != a.Attempt || j.endedWorkers[a.Worker] {
		return nil
	}
	switch a.Kind {
	case scheduler.AckStarted, scheduler.AckHeld, scheduler.AckCheckpointed:
		return nil
	case scheduler.AckFailed, scheduler.AckRefused, scheduler.AckStopped:
		if j.failure == "" {
			j.failure = a.Reason
		}
	case scheduler.AckDone:
	}
	return b.partEnded(now, j, a.Worker)
}

func (b *baseline) partEnded(now time.Time, j *baseJob, worker string) []scheduler.Order {
	j.endedWorkers[worker] = true
	for _, p := range j.parts {
		if p.Worker == worker && b.workers[worker].alive {
			b.workers[worker].free += p.Slots
		}
	}
	if len(j.endedWorkers) < len(j.parts) {
		if j.failure != "" {
			return b.stopRemaining(j)
		}
		return nil
	}
	delete(b.running, j.id)
	switch {
	case j.failure == "":
		return b.answer(now, j, scheduler.Done)
	case j.failure == "lost", j.failure == "worker fault" && j.losses < 3:
		j.failure = ""
		j.losses++
		b.queue = slices.Insert(b.queue, 0, j)
		return nil
	}
	return b.answer(now, j, scheduler.Failed)
}

func (b *baseline) lose(worker string) []scheduler.Order {
	b.workers[worker].alive = false
	var orders []scheduler.Order
	for _, id := range sortedKeys(b.running) {
		j := b.running[id]
		if slices.ContainsFunc(j.parts, func(p scheduler.Part) bool { return p.Worker == worker }) && !j.endedWorkers[worker] {
			j.failure = "lost"
			orders = append(orders, b.partEnded(time.Time{}, j, worker)...)
		}
	}
	return orders
}

// schedule starts the jobs that fit, in order of arrival.
func (b *baseline) schedule() []scheduler.Order {
	var orders []scheduler.Order
	var waiting []*baseJob
	for i, j := range b.queue {
		parts := b.place(j)
		if parts == nil {
			waiting = append(waiting, j)
			if !b.bestFit {
				waiting = append(waiting, b.queue[i+1:]...)
				break
			}
			continue
		}
		orders = append(orders, b.start(j, parts)...)
	}
	b.queue = waiting
	return orders
}

func (b *baseline) start(j *baseJob, parts []scheduler.Part) []scheduler.Order {
	j.attempt++
	j.parts = parts
	j.endedWorkers = map[string]bool{}
	b.running[j.id] = j
	var orders []scheduler.Order
	for rank := range parts {
		p := &parts[rank]
		p.Job, p.Attempt, p.Rank, p.Members = j.id, j.attempt, rank, len(parts)
		p.Runtime, p.Body, p.Service = j.spec.Runtime.Std(), j.spec.Body, j.spec.Service
		b.workers[p.Worker].free -= p.Slots
		orders = append(orders, scheduler.Start{Part: *p, Single: true})
	}
	return orders
}

// place finds workers that satisfy the adjacency of the job: in one rack, in one place or anywhere.
func (b *baseline) place(j *baseJob) []scheduler.Part {
	groups := map[string][]*baseWorker{}
	for _, name := range b.names {
		w := b.workers[name]
		key := ""
		switch j.spec.Adjacency {
		case "place":
			key = w.info.Place
		case "rack":
			key = w.info.Place + "/" + w.info.Rack
		case "worker":
			key = name
		}
		if w.alive && w.free >= j.slots {
			groups[key] = append(groups[key], w)
		}
	}
	for _, key := range sortedKeys(groups) {
		if parts := b.fill(j, groups[key]); parts != nil {
			return parts
		}
	}
	return nil
}

func (b *baseline) fill(j *baseJob, list []*baseWorker) []scheduler.Part {
	if b.bestFit {
		slices.SortStableFunc(list, func(x, y *baseWorker) int { return cmp.Compare(x.free, y.free) })
	}
	left := j.spec.GangSize()
	var parts []scheduler.Part
	for _, w := range list {
		n := min(left, w.free/j.slots)
		if n > 0 {
			parts = append(parts, scheduler.Part{Worker: w.info.Name, Incarnation: w.info.Incarnation, Tasks: n, Slots: n * j.slots})
			left -= n
		}
		if left == 0 {
			return parts
		}
	}
	return nil
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
