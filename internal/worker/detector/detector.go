// Package detector detects faulty workers and distinguishes them from faulty jobs, which fail on every worker.
// It is deterministic. Its scope is the health records of workers.
package detector

import (
	"maps"
	"slices"
	"time"
)

const (
	failuresToQuarantine = 3           // consecutive failures of distinct jobs
	minProbeDelay        = time.Minute // delay before the first probe; it doubles on each relapse
	maxProbeDelay        = time.Hour
	// Bounds memory: Detector.Jobs is cleared at this size. Keepers of all builds must do so at the same entry, so the bound stays,
	// and Prune keeps the jobs that have ended from reaching it.
	maxFailingJobs = 4096
)

// Record is the health of one worker. Its fields are exported for snapshots.
type Record struct {
	Failed      []string      `json:"failed,omitempty"` // distinct jobs that failed since the last success or probe
	Quarantined bool          `json:"aside,omitempty"`
	ProbeAt     time.Time     `json:"probe,omitzero"` // when a quarantined worker gets work again
	ProbeDelay  time.Duration `json:"wait,omitempty"` // current back-off, 0 if not quarantined since the last success
}

// Detector keeps the health records of all workers.
type Detector struct {
	Workers map[string]*Record  `json:"workers"`
	Jobs    map[string][]string `json:"jobs"` // distinct workers that a job failed on, by job
}

// New returns a detector without records.
func New() *Detector {
	return &Detector{Workers: map[string]*Record{}, Jobs: map[string][]string{}}
}

// Action is what to do with a worker after a job failed on it.
type Action int

// The possible actions.
const (
	Keep Action = iota
	Quarantine
)

// RecordFailure records that a job failed on a worker. Failures of a job that failed on more than one worker are
// attributed to the job and not counted for any worker.
func (d *Detector) RecordFailure(now time.Time, worker, job string) Action {
	d.recordJobFailure(worker, job)
	r := d.record(worker)
	if !slices.Contains(r.Failed, job) {
		r.Failed = append(r.Failed, job)
	}
	if r.Quarantined || d.workerOnlyFailures(r) < d.threshold(r) {
		return Keep
	}
	r.Quarantined = true
	r.ProbeDelay = min(max(2*r.ProbeDelay, minProbeDelay), maxProbeDelay)
	r.ProbeAt = now.Add(r.ProbeDelay)
	return Quarantine
}

// threshold returns the number of failures that quarantine a worker. It is lower for a worker on probation
// after a quarantine.
func (d *Detector) threshold(r *Record) int {
	if r.ProbeDelay > 0 {
		return 1
	}
	return failuresToQuarantine
}

// workerOnlyFailures returns the number of jobs in the record that failed on no other worker.
func (d *Detector) workerOnlyFailures(r *Record) int {
	n := 0
	for _, job := range r.Failed {
		if len(d.Jobs[job]) < 2 {
			n++
		}
	}
	return n
}

// RecordSuccess records that a job succeeded on a worker. It deletes the record of the worker, unless it is
// quarantined.
func (d *Detector) RecordSuccess(worker string) {
	if r := d.Workers[worker]; r != nil && !r.Quarantined {
		delete(d.Workers, worker)
	}
}

// RemoveJob removes a job that will not run again. Jobs that failed on several workers are kept, so that their
// failures stay uncounted, until Prune.
func (d *Detector) RemoveJob(job string) {
	if len(d.Jobs[job]) < 2 {
		delete(d.Jobs, job)
	}
}

// StartDueProbes returns the workers whose probe is due, sorted, and moves them from quarantine to probation.
func (d *Detector) StartDueProbes(now time.Time) []string {
	var due []string
	for name, r := range d.Workers {
		if r.Quarantined && !now.Before(r.ProbeAt) {
			due = append(due, name)
		}
	}
	slices.Sort(due)
	for _, name := range due {
		r := d.Workers[name]
		r.Quarantined = false
		r.Failed = nil
	}
	return due
}

// NextProbe returns when the next probe is due. ok is false when no worker is quarantined.
func (d *Detector) NextProbe() (next time.Time, ok bool) {
	for _, r := range d.Workers {
		if r.Quarantined && (!ok || r.ProbeAt.Before(next)) {
			next, ok = r.ProbeAt, true
		}
	}
	return next, ok
}

// IsQuarantined reports whether the worker is quarantined.
func (d *Detector) IsQuarantined(worker string) bool {
	r := d.Workers[worker]
	return r != nil && r.Quarantined
}

// Removable returns how many records Prune would remove, of workers and of jobs.
func (d *Detector) Removable(joined, ended func(name string) bool) int {
	n := 0
	for name, r := range d.Workers {
		if !r.Quarantined && !joined(name) {
			n++
		}
	}
	for job := range d.Jobs {
		if ended(job) {
			n++
		}
	}
	return n
}

// Prune removes the records of workers that have left the fleet, unless they are quarantined, and what is known of jobs that have
// ended. A job that failed on several workers stays uncounted: its failures are removed from the workers' records too.
func (d *Detector) Prune(joined, ended func(name string) bool) {
	maps.DeleteFunc(d.Workers, func(name string, r *Record) bool { return !r.Quarantined && !joined(name) })
	for _, r := range d.Workers {
		r.Failed = slices.DeleteFunc(r.Failed, func(job string) bool { return len(d.Jobs[job]) >= 2 && ended(job) })
	}
	maps.DeleteFunc(d.Jobs, func(job string, _ []string) bool { return ended(job) })
}

func (d *Detector) record(worker string) *Record {
	r := d.Workers[worker]
	if r == nil {
		r = &Record{}
		d.Workers[worker] = r
	}
	return r
}

func (d *Detector) recordJobFailure(worker, job string) {
	if len(d.Jobs) >= maxFailingJobs {
		clear(d.Jobs)
	}
	if !slices.Contains(d.Jobs[job], worker) {
		d.Jobs[job] = append(d.Jobs[job], worker)
	}
}
