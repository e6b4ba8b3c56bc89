package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const service = "listing-svc"

// cluster holds what all workers share: the jobs' steps and the members of gangs.
type cluster struct {
	fleet  *fleet
	mu     sync.Mutex
	jobs   map[string]*job
	gangs  map[string]map[string]*run // by job, occurrence, step and run
	events []event
	pool   []*worker
}

type event struct {
	at     time.Time
	kind   string // start or the kind of an end
	task   string
	number int
	worker string
}

// job is a job that a client has handed in.
type job struct {
	spec  string
	steps []step
	// work is how long a task of the job works on a sound worker.
	work time.Duration
}

type step struct {
	Count       int    `json:"count"`
	CPU         int    `json:"cpu,omitempty"`
	Memory      int    `json:"mem_mb,omitempty"`
	GPU         int    `json:"gpu,omitempty"`
	Estimate    int    `json:"estimated_ms,omitempty"`
	After       []int  `json:"after,omitempty"`
	Gang        bool   `json:"gang,omitempty"`
	Rack        bool   `json:"rack_sensitive,omitempty"`
	Label       string `json:"requirements,omitempty"`
	Affinity    string `json:"affinity,omitempty"`
	Lasting     bool   `json:"long_running,omitempty"`
	Checkpoints bool   `json:"checkpointing,omitempty"`
	Spread      int    `json:"anti_affinity,omitempty"`
	Miss        int    `json:"allow_miss,omitempty"`
}

// worker is a machine of the service through its lives.
type worker struct {
	cluster *cluster
	id      string
	address string
	labels  []string
	gpu     int

	mu   sync.Mutex
	life *life // nil while it is down
}

// life is a worker from its start to its crash or exit.
type life struct {
	worker   *worker
	born     int64
	started  time.Time
	sequence int
	fence    float64
	ends     []end
	last     int
	running  map[string]*run
	highest  map[string]int
	lease    time.Time
	target   string
	next     int
	wake     chan struct{}
	ctx      context.Context
	cancel   context.CancelFunc
}

type run struct {
	life     *life
	task     string
	number   int
	job      *job
	step     step
	started  time.Time
	worked   time.Duration
	whole    bool // the gang has been complete
	stopping time.Time
	over     string // how another member's end ended it
}

type end struct {
	n      int
	task   string
	number int
	how    string
}

func newCluster(f *fleet) *cluster {
	return &cluster{fleet: f, jobs: map[string]*job{}, gangs: map[string]map[string]*run{}}
}

func (c *cluster) add(id, address string, gpu int, labels ...string) *worker {
	w := &worker{cluster: c, id: id, address: address, labels: labels, gpu: gpu}
	c.pool = append(c.pool, w)
	w.start()
	return w
}

func (w *worker) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &life{
		worker: w, born: time.Now().UnixMilli(), started: time.Now(), running: map[string]*run{}, highest: map[string]int{},
		wake: make(chan struct{}, 1), ctx: ctx, cancel: cancel,
	}
	w.life = l
	w.cluster.fleet.record.add("worker %s starts, born %d", w.id, l.born)
	go l.work()
	go l.beat()
}

// crash ends the life of the worker without notice.
func (w *worker) crash() {
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	l := w.life
	if l == nil {
		return
	}
	l.cancel()
	w.life = nil
	w.cluster.fleet.record.add("worker %s crashes", w.id)
	for _, r := range l.running {
		w.cluster.leaveGang(r)
		w.cluster.events = append(w.cluster.events, event{at: time.Now(), kind: "crashed", task: r.task, number: r.number, worker: w.id})
	}
}

func gangKey(r *run) string {
	return r.task[:strings.LastIndex(r.task, ".")] + "#" + strconv.Itoa(r.number)
}

func (c *cluster) leaveGang(r *run) { delete(c.gangs[gangKey(r)], r.task) }

const tick = 10 * time.Millisecond

// work advances the runs of the worker.
func (l *life) work() {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	before := time.Now()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		l.worker.cluster.mu.Lock()
		l.worker.mu.Lock()
		if l.worker.life == l {
			l.advance(now, now.Sub(before))
		}
		l.worker.mu.Unlock()
		l.worker.cluster.mu.Unlock()
		before = now
	}
}

func (l *life) advance(now time.Time, elapsed time.Duration) {
	if now.After(l.lease) {
		for _, r := range l.running {
			l.finish(r, "lapsed")
		}
		return
	}
	for _, r := range l.running {
		switch {
		case !r.stopping.IsZero():
			if now.Sub(r.stopping) >= stopTime/2 {
				l.finish(r, "stopped")
			}
			continue
		case r.over != "":
			l.finish(r, r.over)
			continue
		case r.step.Gang && !l.isWhole(r, now):
			continue
		}
		r.worked += elapsed
		if !r.step.Lasting && r.worked >= r.job.work {
			l.finish(r, "done")
		}
	}
}

// isWhole reports whether all members of the gang of a run are present.
func (l *life) isWhole(r *run, now time.Time) bool {
	if len(l.worker.cluster.gangs[gangKey(r)]) == r.step.Count {
		r.whole = true
		return true
	}
	switch {
	case r.whole:
		l.finish(r, "broken")
	case now.Sub(r.started) > gangWait:
		l.finish(r, "alone")
	}
	return false
}

// finish ends a run. The caller holds the locks of the cluster and the worker.
func (l *life) finish(r *run, how string) {
	delete(l.running, r.task)
	l.highest[r.task] = max(l.highest[r.task], r.number)
	if r.step.Gang && how == "done" {
		for _, other := range l.worker.cluster.gangs[gangKey(r)] {
			other.over = "done"
		}
	}
	l.worker.cluster.leaveGang(r)
	l.last++
	l.ends = append(l.ends, end{l.last, r.task, r.number, how})
	l.worker.cluster.events = append(l.worker.cluster.events, event{at: time.Now(), kind: how, task: r.task, number: r.number, worker: l.worker.id})
	l.worker.cluster.fleet.record.add("worker %s ends %s run %d: %s", l.worker.id, r.task, r.number, how)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *life) body() []byte {
	w := l.worker
	w.mu.Lock()
	defer w.mu.Unlock()
	l.sequence++
	running, ends := [][]any{}, [][]any{}
	for _, r := range l.running {
		percent := 0
		switch {
		case r.step.Lasting && r.worked > 200*time.Millisecond:
			percent = 100
		case !r.step.Lasting:
			percent = int(100 * r.worked / r.job.work)
		}
		running = append(running, []any{r.task, r.number, "", percent, 0})
	}
	for _, e := range l.ends {
		if len(ends) < 500 {
			ends = append(ends, []any{e.n, e.task, e.number, e.how, ""})
		}
	}
	text, err := json.Marshal(map[string]any{
		"service": service, "address": w.address, "zone": "bagmati-patan", "version": "v1", "slots": 8, "phase": "ready", "cold_remaining_ms": 0,
		"labels": w.labels, "capacity": map[string]int{"cpu": 128000, "mem_mb": 524288, "gpu": w.gpu}, "clock_ms": time.Since(l.started).Milliseconds(),
		"born": l.born, "sequence": l.sequence, "running": running, "ended_runs": ends,
	})
	if err != nil {
		panic(err)
	}
	return text
}

// beat sends heartbeats until the life ends.
func (l *life) beat() {
	w := l.worker
	keepers := w.cluster.fleet.keepers
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for l.ctx.Err() == nil {
		target := l.target
		if target == "" {
			target = keepers[l.next%len(keepers)].control()
			l.next++
		}
		wait, ok := l.send(client, target)
		if !ok {
			l.target, wait = "", 50*time.Millisecond
		}
		select {
		case <-l.ctx.Done():
		case <-l.wake:
			time.Sleep(50 * time.Millisecond)
		case <-time.After(wait):
		}
	}
}

type instructions struct {
	Address string  `json:"heartbeat_address"`
	Hold    *int    `json:"hold_ms"`
	Acked   int     `json:"acked_seq"`
	Fence   float64 `json:"fence_token"`
	Start   [][]any `json:"start_runs"`
	Stop    [][]any `json:"stop_runs"`
	Again   *int    `json:"retry_after_ms"`
}

func (l *life) send(client *http.Client, target string) (time.Duration, bool) {
	body := l.body()
	sent := time.Now()
	ctx, cancel := context.WithTimeout(l.ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+"/v1/instances/"+l.worker.id+"/heartbeat", bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	var in instructions
	if err != nil || resp.StatusCode/100 != 2 || json.Unmarshal(text, &in) != nil || time.Since(sent) > time.Second {
		return 0, false
	}
	l.apply(&in, sent)
	if in.Again != nil {
		return time.Duration(*in.Again) * time.Millisecond, true
	}
	return 1500 * time.Millisecond, true
}

func (l *life) apply(in *instructions, sent time.Time) {
	w := l.worker
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life != l {
		return
	}
	if in.Address != "" {
		l.target = in.Address
	}
	if in.Fence < l.fence {
		return
	}
	l.fence = in.Fence
	l.ends = slices.DeleteFunc(l.ends, func(e end) bool { return e.n <= in.Acked })
	for _, row := range in.Stop {
		l.stopRun(row[0].(string), int(row[1].(float64)))
	}
	if in.Hold == nil {
		return
	}
	if until := sent.Add(min(time.Duration(*in.Hold)*time.Millisecond, holdMax)); until.After(l.lease) {
		l.lease = until
	}
	for _, row := range in.Start {
		l.startRun(row[0].(string), int(row[1].(float64)), row[2].(string))
	}
}

func (l *life) stopRun(task string, number int) {
	l.worker.cluster.fleet.record.add("worker %s is told to stop %s run %d", l.worker.id, task, number)
	l.highest[task] = max(l.highest[task], number)
	if r := l.running[task]; r != nil && r.number <= number && r.stopping.IsZero() {
		r.stopping = time.Now()
	}
}

func (l *life) startRun(task string, number int, spec string) {
	if r := l.running[task]; r != nil && r.number >= number || number <= l.highest[task] {
		return
	}
	w := l.worker
	parts := strings.Split(task, ".")
	j := w.cluster.jobs[parts[0]]
	index, err := strconv.Atoi(parts[2])
	if j == nil || err != nil || index >= len(j.steps) || spec != j.spec {
		w.cluster.fleet.record.add("worker %s is told to start %s run %d, which nobody handed in", w.id, task, number)
		return
	}
	r := &run{life: l, task: task, number: number, job: j, step: j.steps[index], started: time.Now()}
	l.running[task] = r
	if r.step.Gang {
		key := gangKey(r)
		if w.cluster.gangs[key] == nil {
			w.cluster.gangs[key] = map[string]*run{}
		}
		w.cluster.gangs[key][task] = r
	}
	w.cluster.events = append(w.cluster.events, event{at: time.Now(), kind: "start", task: task, number: number, worker: w.id})
	w.cluster.fleet.record.add("worker %s starts %s run %d", w.id, task, number)
}

// submit hands a job in and returns when it was acknowledged.
func (c *cluster) submit(path, id, key string, work time.Duration, steps ...step) (time.Time, error) {
	j := &job{spec: "work " + work.String(), steps: steps, work: work}
	c.mu.Lock()
	c.jobs[id] = j
	c.mu.Unlock()
	status, _ := c.fleet.caller(http.MethodPost, path+id, key, map[string]any{"task_spec": j.spec, "step_specs": steps})
	if status/100 != 2 {
		return time.Time{}, fmt.Errorf("%w: job %s is not accepted", errCannotRun, id)
	}
	return time.Now(), nil
}

// begun returns how many tasks of a job have ever started.
func (c *cluster) begun(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	tasks := map[string]bool{}
	for _, e := range c.events {
		if e.kind == "start" && strings.HasPrefix(e.task, id+".") {
			tasks[e.task] = true
		}
	}
	return len(tasks)
}

// await waits until a condition holds and reports whether it did within the limit.
func await(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}
