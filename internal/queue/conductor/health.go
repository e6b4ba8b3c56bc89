package conductor

import (
	"slices"
	"time"
)

const (
	failuresToSuspect = 2               // distinct jobs that failed on a worker without a success between them
	firstSuspicion    = 3 * time.Second // for which a failing worker gets no work while others have room
	longestSuspicion  = 24 * time.Second
)

// health is what the ends of runs say of a worker.
type health struct {
	jobs      []string // distinct jobs that failed since the last success
	suspectTo time.Time
	wait      time.Duration
}

func (h *health) succeeded(now time.Time) {
	h.jobs = nil
	if now.After(h.suspectTo) {
		h.wait = 0
	}
}

func (h *health) failed(now time.Time, job string) {
	if !slices.Contains(h.jobs, job) {
		h.jobs = append(h.jobs, job)
	}
	if len(h.jobs) < failuresToSuspect || now.Before(h.suspectTo) {
		return
	}
	h.wait = min(max(2*h.wait, firstSuspicion), longestSuspicion)
	h.suspectTo = now.Add(h.wait)
}

func (h *health) isSuspect(now time.Time) bool { return now.Before(h.suspectTo) }
