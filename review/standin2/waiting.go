package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// cutTime is how long the worker is cut off, both ways.
const cutTime = 6 * time.Second

// runWaiting cuts a worker off, hands in jobs that only this worker can run, and asks how many wait.
func runWaiting(f *fleet, trouble bool) error {
	keepers, entry, err := f.startCore()
	if err != nil {
		return err
	}
	var only *worker
	for i, kind := range []string{"a", "a", "a", "b"} {
		only = f.newWorker(fmt.Sprintf("i-%04d", i), []string{kind, "r1-1"}, work{duration: 20 * time.Second}, newGangs(), keepers)
	}
	if err := f.configure(keepers, configuration(operatorVersion, tenant{"kaje80", []string{firstKey}, 1}), leadTime); err != nil {
		return err
	}
	time.Sleep(time.Until(f.start.Add(leadTime)))
	if trouble {
		only.setCut(true)
		cut := time.AfterFunc(cutTime, func() { only.setCut(false) })
		defer cut.Stop()
	}
	var jobs []string
	for i := range 6 {
		id := fmt.Sprintf("5c0e7a21d94b36%02d", i)
		if err := f.submit(entry, id, firstKey, job("work", step{Count: 1, CPU: 1000, Memory: 256, Estimate: 20000, Requirements: "b"})); err != nil {
			return err
		}
		jobs = append(jobs, id)
	}
	time.Sleep(visibleTime + 2*time.Second + 100*time.Millisecond)
	wrong := 0
	for range 3 {
		waiting, status := f.waiting(entry)
		pending := 0
		for _, id := range jobs {
			if !f.hasStarted(id) {
				pending++
			}
		}
		f.note("caller: status %d, waiting %d; %d jobs have not begun on any worker", status, waiting, pending)
		if status == http.StatusOK && 2*waiting < pending {
			wrong++
		}
		time.Sleep(200 * time.Millisecond)
	}
	if wrong > 0 {
		return broken("%d answers gave fewer than half of the jobs that have not begun as waiting", wrong)
	}
	return nil
}

// waiting asks for the number of waiting jobs of the queue.
func (f *fleet) waiting(entry *daemon) (n, status int) {
	a := call(noPool, http.MethodGet, jobURL(entry, ""), host, firstKey, nil, callerTimeout)
	var s struct {
		Waiting int `json:"waiting"`
	}
	if a.status != http.StatusOK || json.Unmarshal(a.body, &s) != nil {
		return 0, 0
	}
	return s.Waiting, a.status
}
