package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// callers hand in one job each in a trial. The site has 3.3 jobs a second, 9.2 in its largest burst.
	callers       = 9
	maxFreezeWait = 4 * time.Millisecond // from the calls to the freeze
	maxOrderWait  = 900 * time.Millisecond
	freezeTime    = 3 * time.Second
	lastTrial     = 90 * time.Second // from the start
	minBackoff    = 100 * time.Millisecond
)

// attempts are the statuses of all attempts to hand a job in, by job.
type attempts struct {
	mu       sync.Mutex
	statuses map[string][]int
}

func (a *attempts) add(id string, status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.statuses[id] = append(a.statuses[id], status)
}

// runRejected takes a key away while the leader is frozen, and looks for jobs that run though all attempts to hand them in
// were rejected.
func runRejected(f *fleet, trouble bool) error {
	keepers, entry, err := f.startCore()
	if err != nil {
		return err
	}
	for i := range 8 {
		f.newWorker(fmt.Sprintf("i-%04d", i), []string{"a", "r1-1"}, work{duration: time.Second}, newGangs(), keepers)
	}
	version := operatorVersion
	if err := f.configure(keepers, configuration(version, tenant{"kaje80", []string{firstKey, "key-0"}, 1}), leadTime); err != nil {
		return err
	}
	time.Sleep(time.Until(f.start.Add(leadTime)))
	for trial := 0; time.Since(f.start) < lastTrial; trial++ {
		version += 2
		text := configuration(version, tenant{"kaje80", []string{firstKey, fmt.Sprintf("key-%d", trial+1)}, 1})
		if err := f.runTrial(keepers, entry, trial, text, trouble); err != nil {
			return err
		}
	}
	return nil
}

// runTrial lets the callers hand in their jobs, freezes the leader for some seconds and lets the operator take the callers' key
// away. It returns when the machine no longer counts as lost.
func (f *fleet) runTrial(keepers []*daemon, entry *daemon, trial int, text []byte, trouble bool) error {
	leader := f.workers[0].lastLeader()
	index := slices.IndexFunc(keepers, func(d *daemon) bool { return d.at(controlPort) == leader })
	if index < 0 {
		return fmt.Errorf("no daemon is at %q", leader)
	}
	tried := &attempts{statuses: map[string][]int{}}
	var wait sync.WaitGroup
	for c := range callers {
		wait.Go(func() { f.handIn(entry, fmt.Sprintf("key-%d", trial), fmt.Sprintf("%08x%08x", trial, c), tried) })
	}
	time.Sleep(rand.N(maxFreezeWait))
	frozen := time.Now()
	if trouble {
		keepers[index].signal(syscall.SIGSTOP)
		f.note("platform: %s, which leads, is frozen", keepers[index].name)
		defer keepers[index].signal(syscall.SIGCONT)
	}
	time.Sleep(rand.N(maxOrderWait))
	if !f.order(slices.Delete(slices.Clone(keepers), index, index+1), text) {
		return errors.New("no configuration was acknowledged")
	}
	if trouble {
		time.Sleep(time.Until(frozen.Add(freezeTime)))
		keepers[index].signal(syscall.SIGCONT)
		f.note("platform: %s goes on", keepers[index].name)
	}
	time.Sleep(catchUpTime)
	wait.Wait()
	return f.findRejected(tried)
}

// order sends a configuration to one daemon after the other until one acknowledges it: after a failure or a second without a
// response it goes on to the next one, with increasing backoff.
func (f *fleet) order(keepers []*daemon, text []byte) bool {
	backoff := minBackoff
	for n := 0; n < 8; n++ {
		d := keepers[n%len(keepers)]
		a := call(noPool, http.MethodPost, "http://"+d.at(controlPort)+"/v1/configuration/replace", "", "", text, operatorTimeout)
		f.note("operator: configuration sent to %s: %d", d.name, a.status)
		if a.status == http.StatusOK {
			return true
		}
		time.Sleep(backoff)
		backoff *= 2
	}
	return false
}

// handIn hands in a job until there is a clear answer. The caller waits as Retry-After of an open outcome says.
func (f *fleet) handIn(entry *daemon, key, id string, tried *attempts) {
	body := job("work", step{Count: 1, CPU: 100, Memory: 16, Estimate: 1000})
	for range 5 {
		a := call(noPool, http.MethodPost, jobURL(entry, id), host, key, body, callerTimeout)
		tried.add(id, a.status)
		f.note("caller: job %s handed in with %s: %d", id, key, a.status)
		if a.status != 0 && a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout {
			return
		}
		time.Sleep(time.Second)
	}
}

// findRejected looks for jobs of which every attempt was rejected and which have begun on a worker.
func (f *fleet) findRejected(tried *attempts) error {
	tried.mu.Lock()
	defer tried.mu.Unlock()
	run := 0
	for id, list := range tried.statuses {
		rejected := !slices.ContainsFunc(list, func(status int) bool { return status != http.StatusUnauthorized })
		if rejected && f.hasStarted(id) {
			run++
			f.note("job %s: attempts %v, and it has begun on a worker", id, list)
		}
	}
	if run > 0 {
		return broken("%d jobs run though each attempt to hand them in was rejected", run)
	}
	return nil
}
