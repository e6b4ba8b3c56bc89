package coordinator

import (
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
)

const (
	minSuspectTime    = 3 * time.Second // a suspect worker gets no work while others have capacity
	maxSuspectTime    = 24 * time.Second
	jobFaultThreshold = 3 // distinct workers on which a job fails before the failures count against the job

	quarantineThreshold  = 2               // failure score from which a worker is quarantined
	minQuarantine        = 2 * time.Second // a quarantined worker gets no work
	maxQuarantine        = 16 * time.Second
	probePeriod          = 6 * time.Second         // time to find a probe task; after it the worker is only a suspect
	immediateFailureTime = 150 * time.Millisecond  // a run that fails within it did not begin its work
	cautionPeriod        = 8 * time.Second         // after an immediate failure, for which a job's last attempt needs proven workers
	provenPeriod         = 1500 * time.Millisecond // for which a started run speaks for its worker
	quarantineDivisor    = 4                       // quarantine is ignored above one in this many workers, as failures then indicate faulty jobs
)

// health rates a worker by the ends of its runs.
type health struct {
	failureScore    int    // since the last success
	lastJob         string // job of the last failure
	lastFailure     time.Time
	provenAt        time.Time // when a run that this leader ordered was last seen at work
	suspectUntil    time.Time
	suspectTime     time.Duration
	quarantineUntil time.Time
	quarantineTime  time.Duration
}

// recordSuccess clears the failures if the run that succeeded began after the last one. Runs that a worker began
// while it was sound may still succeed after it has started to fail all others.
func (h *health) recordSuccess(began time.Time) {
	if began.After(h.lastFailure) {
		*h = health{provenAt: h.provenAt}
	}
}

// recordFailure counts a failure against the worker. Few runs fail by themselves, so a single failure makes
// the worker a suspect, and each further one doubles the time. A run that fails immediately, or failures of
// two jobs in a row, quarantine the worker: one that fails every run is free again at once and would
// otherwise attract one job after another.
func (h *health) recordFailure(now time.Time, job string, elapsed time.Duration) {
	h.suspectTime = min(max(2*h.suspectTime, minSuspectTime), maxSuspectTime)
	h.suspectUntil = now.Add(h.suspectTime)
	switch {
	case elapsed < immediateFailureTime:
		h.failureScore += quarantineThreshold
	case job != h.lastJob:
		h.failureScore++
	}
	h.lastJob, h.lastFailure = job, now
	if h.failureScore >= quarantineThreshold && !h.isQuarantined(now) {
		h.quarantineTime = min(max(2*h.quarantineTime, minQuarantine), maxQuarantine)
		h.quarantineUntil = now.Add(h.quarantineTime)
	}
}

// provenLately returns when a run that this leader ordered was last seen at work, zero if that is too long ago.
func (h *health) provenLately(now time.Time) time.Time {
	if now.Sub(h.provenAt) >= provenPeriod {
		return time.Time{}
	}
	return h.provenAt
}

func (h *health) isSuspect(now time.Time) bool { return now.Before(h.suspectUntil) }

// isQuarantined reports whether the worker must get no work.
func (h *health) isQuarantined(now time.Time) bool { return now.Before(h.quarantineUntil) }

// isProbing reports whether the worker gets one task at a time, to test whether it has recovered.
func (h *health) isProbing(now time.Time) bool {
	return h.failureScore >= quarantineThreshold && !h.isQuarantined(now) && now.Before(h.quarantineUntil.Add(probePeriod))
}

// failedWorkers holds the workers on which each job has failed, by job.
type failedWorkers map[string]*jobFailures

// jobFailures are the failures of the runs of a job.
type jobFailures struct {
	workers     map[string]time.Time // last failure of the job, by worker
	immediateAt time.Time            // last failure of a run that did not begin its work
}

// record adds a failure. It reports whether the worker is more likely than the job to be the cause.
func (s failedWorkers) record(now time.Time, job, worker string, elapsed time.Duration) bool {
	if s[job] == nil {
		s[job] = &jobFailures{workers: map[string]time.Time{}}
	}
	if elapsed < immediateFailureTime {
		s[job].immediateAt = now
	}
	s[job].workers[worker] = now
	return elapsed < immediateFailureTime || len(s[job].workers) < jobFaultThreshold
}

// lately returns the workers on which a job has failed within maxSuspectTime.
func (s failedWorkers) lately(now time.Time, job string) map[string]bool {
	workers := map[string]bool{}
	if s[job] == nil {
		return workers
	}
	for id, at := range s[job].workers {
		if now.Sub(at) < maxSuspectTime {
			workers[id] = true
		}
	}
	return workers
}

// failsEverywhere reports whether a job has lately failed on several workers, and on more than it is at work on elsewhere.
// Then its failures say nothing about a worker, however soon they come: a worker that fails all runs fails those of a sound
// job, which is at work on others.
func (c *Coordinator) failsEverywhere(j *tracker.Job) bool {
	failed := c.failedWorkers.lately(c.opts.Now(), j.Work.GetId())
	if len(failed) < jobFaultThreshold {
		return false
	}
	sound := map[string]bool{}
	steps := j.Steps()
	for i := range steps {
		for _, t := range steps[i].Tasks {
			if t.Active == 0 || failed[t.Worker] {
				continue
			}
			if sound[t.Worker] = true; len(sound) >= len(failed) {
				return false
			}
		}
	}
	return true
}

// failedAt returns when a run of a job last failed immediately, zero if not within cautionPeriod.
func (s failedWorkers) failedAt(now time.Time, job string) time.Time {
	if s[job] == nil || now.Sub(s[job].immediateAt) >= cautionPeriod {
		return time.Time{}
	}
	return s[job].immediateAt
}
