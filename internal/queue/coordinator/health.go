package coordinator

import "time"

const (
	firstSuspicion   = 3 * time.Second // for which a failing worker gets no work while others have room
	longestSuspicion = 24 * time.Second
	workersToAcquit  = 3 // distinct workers that a job failed on until it is taken to be at fault itself

	pointsToPutAside = 2               // of evidence since the last success
	firstAside       = 2 * time.Second // for which a bad worker gets no work at all
	longestAside     = 16 * time.Second
	probeFor         = 6 * time.Second        // after which a worker that no probe was found for is a suspect again
	atOnce           = 150 * time.Millisecond // in which a run fails that its worker did not even begin
	mostAside        = 4                      // the part of the workers, one in so many, beyond which their failures say more of the jobs
)

// health is what the ends of runs say of a worker.
type health struct {
	points    int    // of evidence against it since the last success
	job       string // that the last failure was of
	suspectTo time.Time
	wait      time.Duration
	asideTo   time.Time
	aside     time.Duration
}

func (h *health) succeeded() { *h = health{} }

// failed takes note of a failure that speaks against the worker. Few runs fail by themselves, so one
// failure is enough to prefer others for a while; each further one doubles the time. A run that fails
// at once, or failures of two jobs in a row, put the worker aside: a worker that fails all that it
// starts has room again at once, and would draw in one job after the other.
func (h *health) failed(now time.Time, job string, elapsed time.Duration) {
	h.wait = min(max(2*h.wait, firstSuspicion), longestSuspicion)
	h.suspectTo = now.Add(h.wait)
	switch {
	case elapsed < atOnce:
		h.points += pointsToPutAside
	case job != h.job:
		h.points++
	}
	h.job = job
	if h.points >= pointsToPutAside && !h.isAside(now) {
		h.aside = min(max(2*h.aside, firstAside), longestAside)
		h.asideTo = now.Add(h.aside)
	}
}

func (h *health) isSuspect(now time.Time) bool { return now.Before(h.suspectTo) }

// isAside reports whether the worker gets no work.
func (h *health) isAside(now time.Time) bool { return now.Before(h.asideTo) }

// isProbed reports whether the worker gets one task at a time, to find out whether it is sound again.
func (h *health) isProbed(now time.Time) bool {
	return h.points >= pointsToPutAside && !h.isAside(now) && now.Before(h.asideTo.Add(probeFor))
}

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
