package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Times of a worker.
const (
	beatInterval = 1500 * time.Millisecond // without an instruction
	beatTimeout  = time.Second             // for a response, later ones are dropped
	endDelay     = 50 * time.Millisecond   // from an end to the next beat
	checkpointed = 2 * time.Second         // work for each checkpoint
	pulse        = 20 * time.Millisecond
)

// work says what a task of the stand-ins does.
type work struct {
	duration   time.Duration
	checkpoint func(n int) string // the n-th checkpoint, nil for none
	gang       int                // members of each gang
}

// gangSpec is the task_spec of tasks that work as a gang.
const gangSpec = "gang"

// worker is a stand-in for a worker of the platform. One value lives on through crashes.
type worker struct {
	fleet   *fleet
	id      string
	labels  []string
	works   work
	gangs   *gangs
	address string
	stop    chan struct{}
	ended   sync.WaitGroup
	client  *http.Client
	wake    chan struct{} // for a beat at once

	mu      sync.Mutex
	keepers []*daemon // that it may call
	cut     bool      // cut off from all daemons; it runs on
	down    bool      // crashed
	born    time.Time
	beats   int
	fence   int64
	lease   time.Time
	runs    map[string]*taskRun
	highest map[string]int // last number of a task that has ended or was stopped here
	ends    []endRow
	lastEnd int
	leader  string         // address that the last response named
	started map[string]int // starts by task, in all lives
}

// taskRun is a run on a worker.
type taskRun struct {
	task   string
	number int
	began  time.Time // of the work, zero for a member that waits
	since  time.Time // start of the run
	saves  int
	gang   bool
	saved  string
}

// endRow is an end that is not acknowledged.
type endRow struct {
	number int
	task   string
	run    int
	how    string
	saved  string
}

// newWorker adds and starts a worker.
func (f *fleet) newWorker(id string, labels []string, works work, g *gangs, keepers []*daemon) *worker {
	w := &worker{
		fleet: f, id: id, labels: labels, works: works, gangs: g, address: fmt.Sprintf("10.128.0.%d:8080", len(f.workers)+1), stop: make(chan struct{}),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}, keepers: keepers, wake: make(chan struct{}, 1),
		started: map[string]int{},
	}
	w.reset()
	f.workers = append(f.workers, w)
	w.ended.Go(w.beatLoop)
	w.ended.Go(w.workLoop)
	return w
}

// reset begins a new life, which knows nothing of before. The caller must hold the lock, or be the only one to know the worker.
func (w *worker) reset() {
	w.born, w.beats, w.fence, w.lease = time.Now(), 0, 0, time.Time{}
	w.runs, w.highest, w.ends, w.lastEnd = map[string]*taskRun{}, map[string]int{}, nil, 0
}

// crash ends the worker for a time. It then starts again with the same id, and runs nothing.
func (w *worker) crash(downtime time.Duration) {
	w.mu.Lock()
	lost := len(w.runs)
	for _, r := range w.runs {
		w.gangs.end(r, "lost")
	}
	w.down = true
	w.reset()
	w.mu.Unlock()
	w.fleet.note("worker %s crashes with %d runs", w.id, lost)
	time.Sleep(downtime)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reset()
	w.down = false
	w.fleet.note("worker %s starts again", w.id)
}

// setCut cuts the worker off from all daemons, or ends that. Bytes are held up without a reset meanwhile.
func (w *worker) setCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
	w.fleet.note("worker %s cut off: %v", w.id, cut)
}

func (w *worker) end() {
	close(w.stop)
	w.ended.Wait()
}

func (w *worker) beatLoop() {
	next, preferred := 0, ""
	for {
		pause := 200 * time.Millisecond
		if body, life, ok := w.heartbeat(); ok {
			target := preferred
			if target == "" {
				target = w.keepers[next%len(w.keepers)].at(controlPort)
			}
			sent := time.Now()
			a := call(w.client, http.MethodPost, "http://"+target+"/v1/instances/"+w.id+"/heartbeat", "", "", body, beatTimeout)
			if in, ok := w.accept(a, life, sent); ok {
				pause = beatInterval
				if in.Again > 0 {
					pause = time.Duration(in.Again) * time.Millisecond
				}
				if in.Address != "" {
					preferred = in.Address
				}
			} else {
				preferred = ""
				next++
				pause = 50 * time.Millisecond
			}
		}
		select {
		case <-w.stop:
			return
		case <-w.wake:
		case <-time.After(pause):
		}
	}
}

// heartbeat returns the next beat and the life that sends it. ok is false while the worker can't send.
func (w *worker) heartbeat() (body []byte, life time.Time, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut || w.down {
		return nil, w.born, false
	}
	w.beats++
	running, ends := []any{}, []any{}
	for _, r := range w.runs {
		running = append(running, []any{r.task, r.number, r.saved, w.percent(r)})
	}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		ends = append(ends, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	body, err := json.Marshal(map[string]any{
		"service": service, "address": w.address, "zone": "bagmati-patan", "version": "v1", "slots": 8, "phase": "ready", "cold_remaining_ms": 0,
		"capacity": map[string]int{"cpu": 128000, "mem_mb": 524288, "gpu": 8}, "labels": w.labels, "clock_ms": time.Since(w.born).Milliseconds(),
		"sequence": w.beats, "born": w.born.UnixMilli(), "running": running, "ended_runs": ends,
	})
	return body, w.born, err == nil
}

func (w *worker) percent(r *taskRun) int {
	if r.began.IsZero() {
		return 0
	}
	return min(int(100*time.Since(r.began)/w.works.duration), 99)
}

// instructions is the response to a beat.
type instructions struct {
	Hold    int64               `json:"hold_ms"`
	Acked   int                 `json:"acked_seq"`
	Fence   int64               `json:"fence_token"`
	Again   int                 `json:"retry_after_ms"`
	Address string              `json:"heartbeat_address"`
	Starts  [][]json.RawMessage `json:"start_runs"`
	Stops   [][]json.RawMessage `json:"stop_runs"`
}

// accept carries out the response to a beat. ok is false if there is none that counts.
func (w *worker) accept(a answer, life, sent time.Time) (in instructions, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a.status/100 != 2 || w.cut || w.down || w.born != life || json.Unmarshal(a.body, &in) != nil {
		return in, false
	}
	if in.Fence < w.fence {
		return in, true
	}
	w.fence = in.Fence
	if in.Address != "" {
		w.leader = in.Address
	}
	w.acknowledge(in.Acked)
	for _, row := range in.Stops {
		if task, number, _, _, ok := parseRow(row); ok {
			w.stopRun(task, number)
		}
	}
	if in.Hold <= 0 {
		return in, true
	}
	if lease := sent.Add(min(time.Duration(in.Hold)*time.Millisecond, maxHold)); lease.After(w.lease) {
		w.lease = lease
	}
	for _, row := range in.Starts {
		if task, number, spec, saved, ok := parseRow(row); ok {
			w.startRun(task, number, spec, saved)
		}
	}
	return in, true
}

// parseRow reads the task and the number of a row, and the text and the checkpoint of a start.
func parseRow(row []json.RawMessage) (task string, number int, spec, saved string, ok bool) {
	if len(row) < 2 || json.Unmarshal(row[0], &task) != nil || json.Unmarshal(row[1], &number) != nil {
		return "", 0, "", "", false
	}
	if len(row) > 3 && (json.Unmarshal(row[2], &spec) != nil || json.Unmarshal(row[3], &saved) != nil) {
		return "", 0, "", "", false
	}
	return task, number, spec, saved, true
}

func (w *worker) acknowledge(number int) {
	for len(w.ends) > 0 && w.ends[0].number <= number {
		w.ends = w.ends[1:]
	}
}

// noteRun writes a line about a run to the record.
func (w *worker) noteRun(format string, args ...any) {
	if !w.fleet.quiet.Load() {
		w.fleet.note(format, args...)
	}
}

func (w *worker) startRun(task string, number int, spec, saved string) {
	if r := w.runs[task]; r != nil && r.number == number {
		return
	}
	if w.runs[task] != nil || number <= w.highest[task] {
		w.noteRun("worker %s refuses %s run %d", w.id, task, number)
		w.addEnd(&taskRun{task: task, number: number}, "refused")
		return
	}
	r := &taskRun{task: task, number: number, since: time.Now(), saved: saved, gang: spec == gangSpec}
	w.runs[task] = r
	w.started[task]++
	w.noteRun("worker %s starts %s run %d, checkpoint of %d bytes", w.id, task, number, len(saved))
	if !r.gang {
		r.began = time.Now()
		return
	}
	w.gangs.join(r)
}

func (w *worker) stopRun(task string, number int) {
	w.highest[task] = max(w.highest[task], number)
	if r := w.runs[task]; r != nil && r.number == number {
		w.finish(r, "stopped")
	}
}

// finish ends a run.
func (w *worker) finish(r *taskRun, how string) {
	delete(w.runs, r.task)
	w.gangs.end(r, how)
	w.addEnd(r, how)
	w.noteRun("worker %s: %s run %d ends %s", w.id, r.task, r.number, how)
	time.AfterFunc(endDelay, func() {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	})
}

func (w *worker) addEnd(r *taskRun, how string) {
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, endRow{w.lastEnd, r.task, r.number, how, r.saved})
}

// workLoop lets the runs work, saves checkpoints and ends runs.
func (w *worker) workLoop() {
	ticker := time.NewTicker(pulse)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
			w.workOn()
		}
	}
}

func (w *worker) workOn() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, r := range w.runs {
		switch {
		case now.After(w.lease):
			w.finish(r, "lapsed")
			continue
		case r.gang:
			var how string
			if r.began, how = w.gangs.state(r, w.works.gang); how != "" {
				w.finish(r, how)
				continue
			}
			if r.began.IsZero() && now.Sub(r.since) > gangWait {
				w.finish(r, "alone")
				continue
			}
		}
		if r.began.IsZero() {
			continue
		}
		if n := int(now.Sub(r.began) / checkpointed); w.works.checkpoint != nil && n > r.saves {
			r.saves, r.saved = n, w.works.checkpoint(n)
		}
		if now.Sub(r.began) >= w.works.duration {
			w.finish(r, "done")
		}
	}
}

// hasStarted reports whether the worker has ever started a task of a job.
func (w *worker) hasStarted(job string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task := range w.started {
		if strings.HasPrefix(task, job+".") {
			return true
		}
	}
	return false
}

// lastLeader returns the address that the last response to a beat named for later beats.
func (w *worker) lastLeader() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leader
}

// hasStarted reports whether any worker has started a task of a job.
func (f *fleet) hasStarted(job string) bool {
	return slices.ContainsFunc(f.workers, func(w *worker) bool { return w.hasStarted(job) })
}
