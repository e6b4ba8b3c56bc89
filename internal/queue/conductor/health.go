package conductor

import "time"

const (
	firstSuspicion   = 3 * time.Second // for which a failing worker gets no work while others have room
	longestSuspicion = 24 * time.Second
	workersToAcquit  = 3 // distinct workers that a job failed on until it is taken to be at fault itself
)

// health is what the ends of runs say of a worker.
type health struct {
	failures  int // since the last success
	suspectTo time.Time
	wait      time.Duration
}

func (h *health) succeeded() {
	h.failures = 0
	h.wait = 0
	h.suspectTo = time.Time{}
}

// failed takes note of a failure that speaks against the worker. Few runs fail by themselves, so one
// failure is enough to prefer others for a while; each further one doubles the time.
func (h *health) failed(now time.Time) {
	h.failures++
	h.wait = min(max(2*h.wait, firstSuspicion), longestSuspicion)
	h.suspectTo = now.Add(h.wait)
}

func (h *health) isSuspect(now time.Time) bool { return now.Before(h.suspectTo) }

// suspects holds, for each job with failures, the workers it failed on.
type suspects map[string]map[string]bool

// blame takes note of a failure. It reports whether the worker is more likely at fault than the job.
func (s suspects) blame(job, worker string) bool {
	if s[job] == nil {
		s[job] = map[string]bool{}
	}
	s[job][worker] = true
	return len(s[job]) < workersToAcquit
}
