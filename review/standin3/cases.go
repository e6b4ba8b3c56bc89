package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	northKey = "d4a3hwrr6x73d3zji9n7"
	southKey = "3hh2b9wu3fexd9dnn2ct"
)

func (c *cluster) workers(count, perRack, gpu int) {
	for i := range count {
		c.add(fmt.Sprintf("i-%d", i+1), fmt.Sprintf("10.128.0.%d:8080", i+1), gpu, "a", fmt.Sprintf("r1-%d", 1+i/perRack))
	}
	time.Sleep(11 * time.Second) // the leader has known all workers for a while, and no start of theirs is near
}

// awaitReclaim hands in an urgent job of the tenant north, within its guarantee, and checks RECLAIM.
func (c *cluster) awaitReclaim(watch time.Duration, s step) (string, error) {
	const id = "00000000000000aa"
	acked, err := c.submit("/urgent/", id, northKey, 2*time.Second, s)
	if err != nil {
		return "", err
	}
	if await(time.Until(acked.Add(reclaim)), func() bool { return c.begun(id) == s.Count }) {
		return "", nil
	}
	atBound := c.begun(id)
	late := "not"
	if await(watch, func() bool { return c.begun(id) == s.Count }) {
		late = fmt.Sprintf("%.1f s after the acknowledgement", time.Since(acked).Seconds())
	}
	return fmt.Sprintf("RECLAIM: %d of %d tasks had begun %v after the acknowledgement; all began %s (watched for %.0f s, phase %q)",
		atBound, s.Count, reclaim, late, time.Since(acked).Seconds(), c.fleet.phase("/urgent/"+id, northKey)), nil
}

// share is the fleet and the guarantees of the cases on RECLAIM: 40 GPUs, of which 24 are guaranteed.
func (c *cluster) share() error {
	if err := c.fleet.configure(configuration(1, 4, tenant{"north", northKey, 16}, tenant{"south", southKey, 8})); err != nil {
		return err
	}
	c.workers(5, 8, 8)
	return nil
}

// fill hands in a job of the tenant south and waits until all its tasks have begun.
func (c *cluster) fill(path, id string, work time.Duration, s step) error {
	if _, err := c.submit(path, id, southKey, work, s); err != nil {
		return err
	}
	if !await(5*time.Second, func() bool { return c.begun(id) == s.Count }) {
		return fmt.Errorf("%w: %d of %d tasks of the job that fills the service have begun", errCannotRun, c.begun(id), s.Count)
	}
	return nil
}

var urgentStep = step{Count: 2, CPU: 15000, Memory: 79000, GPU: 8, Estimate: 2500}

// urgentBeyond: urgent jobs of another tenant use what was idle, far beyond its guarantee.
func urgentBeyond(c *cluster, trouble bool) (string, error) {
	if err := c.share(); err != nil {
		return "", err
	}
	s := step{Count: 1, CPU: 15000, Memory: 79000, GPU: 8, Estimate: 100_000}
	if trouble {
		s.Count = 5
	}
	if err := c.fill("/urgent/", "00000000000000bb", 100*time.Second, s); err != nil {
		return "", err
	}
	time.Sleep(5 * time.Second)
	return c.awaitReclaim(40*time.Second, urgentStep)
}

// lasting: tasks that last, of the lowest priority, use what was idle.
func lasting(c *cluster, trouble bool) (string, error) {
	if err := c.share(); err != nil {
		return "", err
	}
	s := step{Count: 1, CPU: 15000, Memory: 79000, GPU: 8, Estimate: 2500, Lasting: true, Miss: 4}
	if trouble {
		s.Count = 5
	}
	if err := c.fill("/nightly/", "00000000000000bb", time.Hour, s); err != nil {
		return "", err
	}
	time.Sleep(5 * time.Second)
	return c.awaitReclaim(60*time.Second, urgentStep)
}

// apart: a worker crashes just after the tasks of a step have begun, of which one may run on a worker.
func apart(c *cluster, trouble bool) (string, error) {
	if err := c.fleet.configure(configuration(1, 4, tenant{"north", northKey, 16}, tenant{"south", southKey, 8})); err != nil {
		return "", err
	}
	const workers = 8
	c.workers(workers, 4, 8)
	const id = "00000000000000aa"
	s := step{Count: workers + 2, CPU: 2000, Memory: 4000, GPU: 1, Estimate: 20_000, Spread: 1}
	if _, err := c.submit("/nightly/", id, northKey, 20*time.Second, s); err != nil {
		return "", err
	}
	if !await(5*time.Second, func() bool { return c.begun(id) == workers }) {
		return "", errCannotRun
	}
	if trouble {
		time.Sleep(300 * time.Millisecond)
		c.pool[0].crash()
		time.Sleep(2500 * time.Millisecond)
		c.pool[0].start()
	}
	time.Sleep(12 * time.Second)
	return c.findNeighbours(id, s.Spread), nil
}

// findNeighbours returns the first start on a worker beyond a number of tasks of a job.
func (c *cluster) findNeighbours(id string, most int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	running := map[string]map[string]bool{} // tasks by worker
	for _, e := range c.events {
		if !strings.HasPrefix(e.task, id+".") {
			continue
		}
		if running[e.worker] == nil {
			running[e.worker] = map[string]bool{}
		}
		if e.kind != "start" {
			delete(running[e.worker], e.task)
			continue
		}
		if running[e.worker][e.task] = true; len(running[e.worker]) > most {
			return fmt.Sprintf("ROUTE: %s run %d started on %s, which then ran %d tasks of the step; anti_affinity is %d",
				e.task, e.number, e.worker, len(running[e.worker]), most)
		}
	}
	return ""
}
