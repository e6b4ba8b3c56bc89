package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	callers    = 24
	callTime   = 400 * time.Millisecond // of callers before the freeze
	freezeTime = 3 * time.Second
	lastTrial  = 90 * time.Second // from the start
	maxOrders  = 8                // of the operator, in progress at once
	orderGap   = 100 * time.Millisecond
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
	f.quiet.Store(true) // the lines would be too many
	for trial := 0; time.Since(f.start) < lastTrial; trial++ {
		key := fmt.Sprintf("key-%d", trial)
		next := fmt.Sprintf("key-%d", trial+1)
		version += 2
		text := configuration(version, tenant{"kaje80", []string{firstKey, next}, 1})
		tried := &attempts{statuses: map[string][]int{}}
		var wait sync.WaitGroup
		end := make(chan struct{})
		for c := range callers {
			wait.Go(func() { f.handIn(entry, key, trial, c, tried, end) })
		}
		time.Sleep(callTime)
		if err := f.revokeDuringFreeze(keepers, text, trouble); err != nil {
			close(end)
			return err
		}
		close(end)
		wait.Wait()
		if err := f.findRejected(tried); err != nil {
			return err
		}
	}
	return nil
}

// handIn hands in jobs one after the other until the key is refused.
func (f *fleet) handIn(entry *daemon, key string, trial, caller int, tried *attempts, end <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{}}
	body := job("work", step{Count: 1, CPU: 100, Memory: 16, Estimate: 1000})
	for n := 0; ; n++ {
		id := fmt.Sprintf("%04x%04x%08x", trial, caller, n)
		for range 5 {
			a := call(client, http.MethodPost, jobURL(entry, id), host, key, body, callerTimeout)
			tried.add(id, a.status)
			if a.status == http.StatusUnauthorized {
				return
			}
			if a.status != 0 && a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		select {
		case <-end:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// revokeDuringFreeze freezes the leader for some seconds, and lets the operator send a configuration without the key meanwhile. It
// returns when the machine no longer counts as lost.
func (f *fleet) revokeDuringFreeze(keepers []*daemon, text []byte, trouble bool) error {
	leader := f.workers[0].lastLeader()
	index := slices.IndexFunc(keepers, func(d *daemon) bool { return d.at(controlPort) == leader })
	if index < 0 {
		return fmt.Errorf("no daemon is at %q", leader)
	}
	others := slices.Delete(slices.Clone(keepers), index, index+1)
	frozen := time.Now()
	if trouble {
		f.note("platform: %s, which leads, is frozen", keepers[index].name)
		keepers[index].signal(syscall.SIGSTOP)
		defer keepers[index].signal(syscall.SIGCONT)
	}
	if !f.sendOften(others, text) {
		return errors.New("no configuration was acknowledged")
	}
	if trouble {
		time.Sleep(time.Until(frozen.Add(freezeTime)))
		keepers[index].signal(syscall.SIGCONT)
		f.note("platform: %s goes on", keepers[index].name)
	}
	time.Sleep(catchUpTime)
	return nil
}

// sendOften sends a configuration to the daemons in turn, again and again without waiting for the response, until one of them
// acknowledges it.
func (f *fleet) sendOften(keepers []*daemon, text []byte) bool {
	var wait sync.WaitGroup
	defer wait.Wait()
	acknowledged, slots := make(chan struct{}, 1), make(chan struct{}, maxOrders)
	limit := time.After(leadTime)
	for n := 0; ; n++ {
		select {
		case slots <- struct{}{}:
			d := keepers[n%len(keepers)]
			wait.Go(func() {
				defer func() { <-slots }()
				a := call(noPool, http.MethodPost, "http://"+d.at(controlPort)+"/v1/configuration/replace", "", "", text, operatorTimeout)
				if a.status != http.StatusOK {
					return
				}
				select {
				case acknowledged <- struct{}{}:
					f.note("operator: configuration acknowledged by %s", d.name)
				default:
				}
			})
		default:
		}
		select {
		case <-acknowledged:
			return true
		case <-limit:
			return false
		case <-time.After(orderGap):
		}
	}
}

// findRejected looks for jobs of which every attempt was rejected and which have begun on a worker.
func (f *fleet) findRejected(tried *attempts) error {
	tried.mu.Lock()
	defer tried.mu.Unlock()
	accepted, rejected, unclear := 0, 0, 0
	var run []string
	for id, list := range tried.statuses {
		switch {
		case slices.Contains(list, http.StatusOK):
			accepted++
		case slices.ContainsFunc(list, func(status int) bool { return status != http.StatusUnauthorized }):
			unclear++
		default:
			rejected++
			if f.hasStarted(id) {
				run = append(run, id)
				f.note("job %s: attempts %v, and it has begun on a worker", id, list)
			}
		}
	}
	f.note("callers: %d jobs accepted, %d rejected with 401, %d without a clear answer; %d of the rejected ones have begun", accepted, rejected, unclear, len(run))
	if len(run) > 0 {
		return broken("%d jobs run though each attempt to hand them in was rejected", len(run))
	}
	return nil
}
