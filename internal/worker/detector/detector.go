// Package detector tells workers that fail everything from jobs that fail everywhere. It is
// deterministic; only the health records of workers may live here.
package detector

import (
	"slices"
	"time"
)

const (
	failuresToAside = 3 // distinct jobs that failed without a success between them
	firstProbe      = time.Minute
	longestProbe    = time.Hour
	maxJobs         = 4096 // failing jobs remembered
)

// Record is the health of one worker. Its fields are exported for snapshots.
type Record struct {
	Failed []string      `json:"failed,omitempty"` // distinct jobs that failed since the last success
	Aside  bool          `json:"aside,omitempty"`
	Probe  time.Time     `json:"probe,omitzero"` // when an aside worker is tried again
	Wait   time.Duration `json:"wait,omitempty"` // the current back-off
}

// Detector keeps the health of all workers.
type Detector struct {
	Workers map[string]*Record  `json:"workers"`
	Jobs    map[string][]string `json:"jobs"` // failing job to the distinct workers it failed on
}

// New returns a detector that has seen nothing.
func New() *Detector {
	return &Detector{Workers: map[string]*Record{}, Jobs: map[string][]string{}}
}

// Verdict says what a result means for its worker.
type Verdict int

// The verdicts on a worker.
const (
	Keep Verdict = iota
	PutAside
)

// Failed records that a job failed on a worker. A job that failed on more than one worker
// counts against none of them.
func (d *Detector) Failed(now time.Time, worker, job string) Verdict {
	d.noteJob(worker, job)
	r := d.record(worker)
	if !slices.Contains(r.Failed, job) {
		r.Failed = append(r.Failed, job)
	}
	if r.Aside || d.suspicious(r) < d.threshold(r) {
		return Keep
	}
	r.Aside = true
	r.Wait = min(max(2*r.Wait, firstProbe), longestProbe)
	r.Probe = now.Add(r.Wait)
	return PutAside
}

// threshold is lower for a worker that is on probation after a probe.
func (d *Detector) threshold(r *Record) int {
	if r.Wait > 0 {
		return 1
	}
	return failuresToAside
}

// suspicious counts the failed jobs that failed on this worker alone.
func (d *Detector) suspicious(r *Record) int {
	n := 0
	for _, job := range r.Failed {
		if len(d.Jobs[job]) < 2 {
			n++
		}
	}
	return n
}

// Succeeded clears the worker's record.
func (d *Detector) Succeeded(worker string) {
	if r := d.Workers[worker]; r != nil && !r.Aside {
		delete(d.Workers, worker)
	}
}

// Answered forgets a job that will not run again.
func (d *Detector) Answered(job string) {
	if len(d.Jobs[job]) < 2 {
		delete(d.Jobs, job)
	}
}

// Due returns the workers whose probe is due, sorted, and puts them on probation.
func (d *Detector) Due(now time.Time) []string {
	var due []string
	for name, r := range d.Workers {
		if r.Aside && !now.Before(r.Probe) {
			due = append(due, name)
		}
	}
	slices.Sort(due)
	for _, name := range due {
		r := d.Workers[name]
		r.Aside = false
		r.Failed = nil
	}
	return due
}

// NextProbe returns when the next probe is due. ok is false when no worker is aside.
func (d *Detector) NextProbe() (next time.Time, ok bool) {
	for _, r := range d.Workers {
		if r.Aside && (!ok || r.Probe.Before(next)) {
			next, ok = r.Probe, true
		}
	}
	return next, ok
}

// IsAside reports whether the worker is put aside.
func (d *Detector) IsAside(worker string) bool {
	r := d.Workers[worker]
	return r != nil && r.Aside
}

// Forget drops the record of a worker that has left the fleet.
func (d *Detector) Forget(worker string) { delete(d.Workers, worker) }

func (d *Detector) record(worker string) *Record {
	r := d.Workers[worker]
	if r == nil {
		r = &Record{}
		d.Workers[worker] = r
	}
	return r
}

func (d *Detector) noteJob(worker, job string) {
	if len(d.Jobs) >= maxJobs {
		clear(d.Jobs)
	}
	if !slices.Contains(d.Jobs[job], worker) {
		d.Jobs[job] = append(d.Jobs[job], worker)
	}
}
