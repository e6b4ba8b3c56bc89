package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	operatorVersion = 7
	firstKey        = "d4a3hwrr6x73d3zji9n7"
	// calmTime is the time between the end of the machine that is replaced and the loss of the other one's disk.
	calmTime = 3 * time.Second
)

// runReplaced replaces a machine of the core as planned and then lets another one lose its disk, each of them after the time
// for which the one before counts as lost. Then the configuration and a job must still be there.
func runReplaced(f *fleet, trouble bool) error {
	keepers, entry, err := f.startCore()
	if err != nil {
		return err
	}
	for i := range 4 {
		f.newWorker(fmt.Sprintf("i-%04d", i), []string{"a", "r1-1"}, work{duration: 20 * time.Second}, newGangs(), keepers)
	}
	if err := f.configure(keepers, configuration(operatorVersion, tenant{"kaje80", []string{firstKey}, 1}), leadTime); err != nil {
		return err
	}
	time.Sleep(time.Until(f.start.Add(leadTime)))
	if err := f.submit(entry, "5c0e7a21d94b36f8", firstKey, job("work", step{Count: 2, CPU: 1000, Memory: 256, Estimate: 20000})); err != nil {
		return err
	}
	core := keepers
	if trouble {
		if core, err = f.replaceAndWipe(keepers); err != nil {
			return err
		}
	}
	f.note("platform: all machines are up, waiting for recovery_s")
	time.Sleep(recoveryTime)
	return f.readBack(core, entry, 30*time.Second)
}

// replaceAndWipe replaces the first keeper, new machine first, and wipes the second one. It returns the machines of the core.
func (f *fleet) replaceAndWipe(keepers []*daemon) ([]*daemon, error) {
	leaving, wiped, calm := keepers[0], keepers[1], keepers[2]
	added := f.newDaemon("core-4", 4, true)
	if err := added.run(keepers, false); err != nil {
		return nil, err
	}
	started := time.Now()
	time.Sleep(time.Second)
	f.note("platform: SIGTERM to %s, which is removed", leaving.name)
	leaving.signal(syscall.SIGTERM)
	if !leaving.awaitExit(graceTime) {
		f.note("platform: SIGKILL to %s", leaving.name)
		leaving.kill()
	}
	f.note("platform: %s has ended", leaving.name)
	if err := leaving.wipe(); err != nil {
		return nil, err
	}
	time.Sleep(max(time.Until(started.Add(catchUpTime)), calmTime))
	f.note("platform: %s started %.1f s ago; %s loses power and its disk", added.name, time.Since(started).Seconds(), wiped.name)
	wiped.kill()
	if err := wiped.wipe(); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	core := []*daemon{wiped, calm, added}
	return core, wiped.run(core, false)
}

// readBack asks for the configuration and for the job for some time, and hands in another job.
func (f *fleet) readBack(core []*daemon, entry *daemon, limit time.Duration) error {
	reads, answers, older, phases := 0, 0, 0, 0
	for end := time.Now().Add(limit); time.Now().Before(end) && (answers == 0 || phases == 0); time.Sleep(500 * time.Millisecond) {
		for _, d := range core {
			version, status := f.readVersion(d)
			f.note("operator: read at %s: status %d, version %d", d.name, status, version)
			reads++
			if status == http.StatusOK {
				answers++
			}
			if status == http.StatusOK && version < operatorVersion {
				older++
			}
		}
		phase, status := f.phase(entry, "5c0e7a21d94b36f8", firstKey)
		f.note("caller: job 5c0e7a21d94b36f8: status %d, phase %q", status, phase)
		if status == http.StatusOK {
			phases++
		}
	}
	if answers == 0 || older > 0 || phases == 0 {
		return broken("of %d reads of the configuration %d were answered, %d with an older version; the job was shown %d times", reads, answers, older, phases)
	}
	return nil
}
