package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	gangMembers     = 64
	checkpointBytes = 120 << 10
	finishTime      = 14 * time.Second
)

// runCheckpoint crashes a worker of a gang that has saved checkpoints, and hands in small jobs beside it.
func runCheckpoint(f *fleet, trouble bool) error {
	keepers, entry, err := f.startCore()
	if err != nil {
		return err
	}
	works := work{
		duration: 12 * time.Second, gang: gangMembers,
		checkpoint: func(n int) string { return strings.Repeat(fmt.Sprintf("%08x", n), checkpointBytes/8) },
	}
	g := newGangs()
	for i := range gangMembers / 8 {
		f.newWorker(fmt.Sprintf("i-%04d", i), []string{"a", "r1-1"}, works, g, keepers)
	}
	if err := f.configure(keepers, configuration(operatorVersion, tenant{"kaje80", []string{firstKey}, 1}), leadTime); err != nil {
		return err
	}
	time.Sleep(time.Until(f.start.Add(leadTime)))
	gang := step{Count: gangMembers, CPU: 1000, Memory: 256, GPU: 1, Estimate: 12000, Checkpointing: true, Gang: true}
	if err := f.submit(entry, "5c0e7a21d94b36f8", firstKey, job(gangSpec, gang)); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	if trouble {
		f.workers[0].crash(4500 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	var jobs []string
	for i := range 5 {
		id := fmt.Sprintf("6c0e7a21d94b36%02d", i)
		if err := f.submit(entry, id, firstKey, job("work", step{Count: 1, CPU: 1000, Memory: 256, Estimate: 12000})); err != nil {
			return err
		}
		jobs = append(jobs, id)
	}
	f.note("callers: no more jobs, waiting for finish_s")
	time.Sleep(finishTime)
	stuck := 0
	for range 10 {
		stuck = 0
		for _, id := range append([]string{"5c0e7a21d94b36f8"}, jobs...) {
			phase, status := f.phase(entry, id, firstKey)
			f.note("caller: job %s: status %d, phase %q, begun on a worker: %v", id, status, phase, f.hasStarted(id))
			if id != "5c0e7a21d94b36f8" && !f.hasStarted(id) {
				stuck++
			}
		}
		time.Sleep(time.Second)
	}
	if stuck > 0 {
		return broken("%d of %d small jobs have not begun on idle workers", stuck, len(jobs))
	}
	return nil
}
