package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"time"
)

const (
	finishTime   = 14 * time.Second // finish_s
	idleTime     = 3 * time.Second  // without a run, while a task's turn has come
	lastingTime  = 6 * time.Second  // from the last run of a task that lasts until its turn has come again
	lateTime     = 30 * time.Second // until the job can't meet its objective any more
	waitTime     = 65 * time.Second // for the gang of one rack
	gangInterval = 20 * time.Second
)

var fullWorker = map[string]int{"cpu": 128_000, "mem_mb": 524_288, "gpu": 8}

// missingLists: another writer sends one heartbeat of a worker without the lists of runs.
func missingLists(d *deployment, trouble bool) verdict {
	l := newLedger()
	workers := d.startWorkers(4, fullWorker, l)
	if !d.begin() {
		return notRun
	}
	const job = "5c0e7a21d94b36f8"
	steps := []map[string]any{{"count": 3, "cpu": 15000, "mem_mb": 4096, "gpu": 1, "estimated_ms": 8000}}
	if !d.submit(prefix+job, "work 8000 ms", steps) {
		return notRun
	}
	sleep(d.ctx, 3*time.Second)
	if running, _ := l.active(job); running != 3 {
		d.record.add("%d of 3 tasks run", running)
		return notRun
	}
	if trouble {
		for _, w := range workers {
			w.mu.Lock()
			if len(w.running) == 0 {
				w.mu.Unlock()
				continue
			}
			body := w.heartbeat(false)
			w.sequence-- // the worker does not know of it and uses the number itself
			id := w.id
			w.mu.Unlock()
			for _, k := range d.keepers {
				r := call(d.ctx, responseTimeout, "POST", "http://"+k.port(controlPort)+"/v1/instances/"+id+"/heartbeat", nil, body)
				d.record.add("another writer: heartbeat of %s without lists to %s: status %d %v", id, k.name, r.status, shorten(r.err))
				if r.status != 0 {
					break
				}
			}
			break
		}
	}
	for range 120 {
		if text := l.twice(); text != "" {
			d.record.add("TWICE: %s", text)
			sleep(d.ctx, 2*time.Second)
			return broken
		}
		if p, err := d.phase(job); err == nil && p == "completed" {
			return held
		}
		sleep(d.ctx, 250*time.Millisecond)
	}
	return notRun
}

// largeJob: a job of many small tasks comes, which fit on one worker.
func largeJob(d *deployment, trouble bool) verdict {
	l := newLedger()
	d.startWorkers(6, fullWorker, l)
	if !d.begin() {
		return notRun
	}
	const job = "b1907a21d94b36f8"
	count := 100
	if trouble {
		count = 1200
	}
	spec := "work 2000 ms "
	spec += string(bytes.Repeat([]byte("x"), 4000-len(spec)))
	if !d.submit(prefix+job, spec, []map[string]any{{"count": count, "cpu": 100, "mem_mb": 256, "estimated_ms": 2000}}) {
		return notRun
	}
	return d.checkJob(job, count, l)
}

// checkJob asks for a job finishTime after the end of the traffic. It must not wait for idleTime without a run, as there
// is room for it several times over.
func (d *deployment) checkJob(job string, count int, l *ledger) verdict {
	sleep(d.ctx, finishTime)
	idleSince := time.Now()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); sleep(d.ctx, 100*time.Millisecond) {
		running, done := l.active(job)
		if done >= count {
			p, err := d.phase(job)
			d.record.add("job %s: %d tasks done, phase %q %v", job, done, p, err)
			if err == nil && p == "completed" {
				return held
			}
		}
		if running > 0 {
			idleSince = time.Now()
		}
		if done < count && time.Since(idleSince) > idleTime {
			p, err := d.phase(job)
			d.record.add("LOST: job %s has nothing running for %v; %d of %d tasks are done, phase %q %v", job, idleTime, done, count, p, err)
			return broken
		}
	}
	return notRun
}

// unreadableWorker: another writer sends heartbeats whose id holds a byte that is no text.
func unreadableWorker(d *deployment, trouble bool) verdict {
	l := newLedger()
	d.startWorkers(4, fullWorker, l)
	if !d.begin() {
		return notRun
	}
	if trouble {
		d.wait.Go(d.sendUnreadableHeartbeats)
		sleep(d.ctx, 2*time.Second)
	}
	const job = "5c0e7a21d94b36f8"
	if !d.submit(prefix+job, "work 2500 ms", []map[string]any{{"count": 3, "cpu": 15000, "mem_mb": 4096, "gpu": 1, "estimated_ms": 2500}}) {
		return notRun
	}
	return d.checkJob(job, 3, l)
}

// sendUnreadableHeartbeats follows the responses as a worker does, but carries nothing out.
func (d *deployment) sendUnreadableHeartbeats() {
	born, target := time.Now().UnixMilli(), ""
	for n := 1; d.ctx.Err() == nil; n++ {
		body, _ := json.Marshal(map[string]any{ // always encodes
			"service": service, "address": d.network + ".77:8080", "zone": zones[0], "version": "v1", "slots": 8, "phase": "ready",
			"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": 64000, "mem_mb": 262144, "gpu": 8}, "labels": []string{"a", "r1-1"},
			"clock_ms": time.Now().UnixMilli() - born, "born": born, "sequence": n, "running": [][]any{}, "ended_runs": [][]any{},
		})
		address := target
		if address == "" {
			address = d.keepers[n%len(d.keepers)].port(controlPort)
		}
		r := call(d.ctx, responseTimeout, "POST", "http://"+address+"/v1/instances/i-%FF7f3a91c2/heartbeat", nil, body)
		d.record.add("another writer: heartbeat with an unreadable id to %s: status %d %s %v", address, r.status, r.body, shorten(r.err))
		wait := 100 * time.Millisecond
		var o orders
		if target = ""; r.status == 200 && json.Unmarshal(r.body, &o) == nil {
			if o.HeartbeatAddress != nil {
				target = *o.HeartbeatAddress
			}
			if o.RetryAfterMs != nil {
				wait = time.Duration(*o.RetryAfterMs) * time.Millisecond
			}
		}
		sleep(d.ctx, wait)
	}
}

// nestedConfiguration: the operator sends an invalid configuration, of arrays that are not closed.
func nestedConfiguration(d *deployment, trouble bool) verdict {
	l := newLedger()
	d.startWorkers(4, fullWorker, l)
	if !d.begin() {
		return notRun
	}
	const job = "5c0e7a21d94b36f8"
	if !d.submit(prefix+job, "work 8000 ms", []map[string]any{{"count": 3, "cpu": 15000, "mem_mb": 4096, "gpu": 1, "estimated_ms": 8000}}) {
		return notRun
	}
	if trouble {
		ctx, cancel := context.WithTimeout(d.ctx, 75*time.Second)
		defer cancel()
		body := append([]byte(`{"version":2,"routes":`), bytes.Repeat([]byte("["), 1<<20)...)
		d.record.add("operator: final status %d", d.replaceConfiguration(ctx, body))
	} else {
		sleep(d.ctx, finishTime)
	}
	crashing := 0
	for _, k := range d.keepers {
		d.record.add("%s ended by itself %d times", k.name, k.ownEnds())
		if k.ownEnds() >= 3 {
			crashing++
		}
	}
	if crashing*2 >= len(d.keepers) {
		d.record.add("Fault: processes on %d of %d keepers ended by themselves three times or more", crashing, len(d.keepers))
		return broken
	}
	if p, err := d.phase(job); err != nil || p != "completed" {
		d.record.add("job %s: phase %q %v", job, p, err)
		return notRun
	}
	return held
}

// lastingTask: the worker of a task that lasts is lost for good while gangs wait for workers.
func lastingTask(d *deployment, trouble bool) verdict {
	l := newLedger()
	workers := d.startWorkers(8, fullWorker, l)
	if !d.begin() {
		return notRun
	}
	const (
		lasting = "1a57a21d94b36f80"
		batch   = "ba7c421d94b36f80"
		gangs   = "6a96a21d94b36f8" // and one digit
	)
	whole := func(count, estimate int, together bool) []map[string]any {
		return []map[string]any{{"count": count, "cpu": 52_000, "mem_mb": 150_000, "gpu": 8, "estimated_ms": estimate, "gang": together}}
	}
	service := []map[string]any{{"count": 1, "cpu": 52_000, "mem_mb": 150_000, "gpu": 4, "estimated_ms": 60_000, "long_running": true}}
	if !d.submit(tightPrefix+lasting, "work 600000 ms", service) {
		return notRun
	}
	sleep(d.ctx, time.Second)
	if !d.submit(prefix+batch, "work 70000 ms", whole(4, 70_000, false)) {
		return notRun
	}
	sleep(d.ctx, lateTime)
	d.wait.Go(func() {
		for n := 0; d.ctx.Err() == nil; n++ {
			d.submit(fmt.Sprintf("%s%s%x", prefix, gangs, n), "work 20000 ms", whole(6, 20_000, true))
			sleep(d.ctx, gangInterval)
		}
	})
	sleep(d.ctx, 3*time.Second)
	lastRun := time.Now()
	for _, w := range workers {
		w.mu.Lock()
		hosts := w.running[lasting+".0.0.0"] != nil
		w.mu.Unlock()
		if hosts && trouble {
			w.crash(l)
		}
	}
	result := held
	for time.Since(d.record.start) < maxTime-5*time.Second {
		sleep(d.ctx, 100*time.Millisecond)
		if running, _ := l.active(lasting); running > 0 {
			if result == broken {
				break
			}
			lastRun = time.Now()
			continue
		}
		busy, _ := l.active(batch)
		members, _ := l.active(gangs)
		if result == held && time.Since(lastRun) > lastingTime+idleTime {
			free := len(workers) - 1 - busy - members
			d.record.add("LOST: the task that lasts has no run %v after its last run, though %d workers are idle", time.Since(lastRun).Round(time.Millisecond), free)
			if free < 2 {
				return notRun
			}
			result = broken
		}
	}
	if running, _ := l.active(lasting); running == 0 {
		d.record.add("the task has no run %v after its last run", time.Since(lastRun).Round(time.Millisecond))
	} else if result == broken {
		d.record.add("the task runs again %v after its last run", time.Since(lastRun).Round(time.Millisecond))
	}
	return result
}

// reservedWorkers: a gang comes that has to wait for two of eight workers, and then a job of one small task.
func reservedWorkers(d *deployment, trouble bool) verdict {
	l := newLedger()
	workers := d.startWorkers(8, fullWorker, l)
	if !d.begin() {
		return notRun
	}
	const (
		batch = "ba7c421d94b36f80"
		gang  = "6a96a21d94b36f80"
		small = "5a11a21d94b36f80"
	)
	whole := func(count, estimate int, together bool) []map[string]any {
		return []map[string]any{{"count": count, "cpu": 52_000, "mem_mb": 150_000, "gpu": 8, "estimated_ms": estimate, "gang": together}}
	}
	if !d.submit(prefix+batch, "work 75000 ms", whole(2, 75_000, false)) {
		return notRun
	}
	sleep(d.ctx, time.Second)
	if trouble && !d.submit(prefix+gang, "work 20000 ms", whole(7, 20_000, true)) {
		return notRun
	}
	sleep(d.ctx, time.Second)
	if !d.submit(prefix+small, "work 20000 ms", []map[string]any{{"count": 1, "cpu": 15_000, "mem_mb": 4_096, "gpu": 1, "estimated_ms": 90_000}}) {
		return notRun
	}
	accepted, result := time.Now(), held
	for time.Since(accepted) < 80*time.Second {
		sleep(d.ctx, 100*time.Millisecond)
		running, done := l.active(small)
		busy, _ := l.active(batch)
		members, _ := l.active(gang)
		if running+done > 0 {
			d.record.add("the small job has begun %v after its acceptance", time.Since(accepted).Round(time.Millisecond))
			return result
		}
		if result == held && time.Since(accepted) > finishTime+idleTime {
			p, err := d.phase(small)
			d.record.add("LOST: the small job has nothing running %v after the end of the traffic, phase %q %v; %d of %d workers are busy",
				time.Since(accepted).Round(time.Millisecond), p, err, busy+members, len(workers))
			if (busy+members)*2 >= len(workers) {
				return notRun
			}
			result = broken
		}
	}
	return result
}

// gangOfOneRack: a gang comes that is slower on more than one rack, while small tasks that last run in each rack.
func gangOfOneRack(d *deployment, trouble bool) verdict {
	l := newLedger()
	workers := d.startWorkers(4*racks, fullWorker, l)
	if !d.begin() {
		return notRun
	}
	const (
		services = "1a57a21d94b36f8" // and one digit
		gang     = "6a96a21d94b36f80"
	)
	for n := range racks {
		service := []map[string]any{{
			"count": 2, "cpu": 15_000, "mem_mb": 4_096, "gpu": 1, "estimated_ms": 60_000, "long_running": true, "anti_affinity": 1,
			"affinity": fmt.Sprintf("r%d-1", n+1),
		}}
		if trouble && !d.submit(fmt.Sprintf("%s%s%x", prefix, services, n), "work 600000 ms", service) {
			return notRun
		}
	}
	sleep(d.ctx, 3*time.Second)
	members := []map[string]any{{
		"count": 3, "cpu": 52_000, "mem_mb": 150_000, "gpu": 8, "estimated_ms": 5_000, "gang": true, "rack_sensitive": true,
	}}
	if !d.submit(prefix+gang, "work 5000 ms", members) {
		return notRun
	}
	accepted, result := time.Now(), held
	for time.Since(accepted) < waitTime {
		sleep(d.ctx, 100*time.Millisecond)
		running, done := l.active(gang)
		if running+done > 0 {
			d.record.add("the gang has begun %v after its acceptance", time.Since(accepted).Round(time.Millisecond))
			return result
		}
		if result == broken || time.Since(accepted) < finishTime+idleTime {
			continue
		}
		busy := map[string]bool{}
		for _, w := range workers {
			w.mu.Lock()
			if len(w.running) > 0 {
				busy[w.id] = true
			}
			w.mu.Unlock()
		}
		p, err := d.phase(gang)
		d.record.add("LOST: the gang of 3 whole workers has nothing running %v after the end of the traffic, phase %q %v; %d of %d workers run nothing",
			time.Since(accepted).Round(time.Millisecond), p, err, len(workers)-len(busy), len(workers))
		if len(workers)-len(busy) < 6 {
			return notRun
		}
		result = broken
	}
	d.record.add("the gang has not begun %v after its acceptance", time.Since(accepted).Round(time.Millisecond))
	return result
}

// failingService: a task that lasts fails as soon as it starts, each time, beside a job whose task has failed before.
func failingService(d *deployment, trouble bool) verdict {
	l := newLedger()
	d.startWorkers(8, fullWorker, l)
	if !d.begin() {
		return notRun
	}
	const (
		failing = "fa11a21d94b36f80"
		job     = "5c0e7a21d94b36f8"
	)
	service := []map[string]any{{"count": 16, "cpu": 15_000, "mem_mb": 4_096, "gpu": 1, "estimated_ms": 60_000, "long_running": true, "anti_affinity": 2}}
	if trouble && !d.submit(prefix+failing, "work 600000 ms, runs up to 1000000 fail after 50 ms", service) {
		return notRun
	}
	sleep(d.ctx, 5*time.Second)
	// The first two of three attempts fail after 1 s.
	if !d.submit(prefix+job, "work 2500 ms, runs up to 2 fail after 1000 ms", []map[string]any{{"count": 1, "cpu": 15_000, "mem_mb": 4_096, "gpu": 1, "estimated_ms": 2_500}}) {
		return notRun
	}
	accepted := time.Now()
	result := d.checkJob(job, 1, l)
	for result == broken && time.Since(accepted) < waitTime {
		sleep(d.ctx, 100*time.Millisecond)
		if running, done := l.active(job); running+done > 0 {
			d.record.add("the job runs again")
			return result
		}
	}
	return result
}
