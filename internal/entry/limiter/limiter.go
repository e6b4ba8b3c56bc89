// Package limiter implements admission control for an entry: a rate limit per organisation and a limit on
// concurrent requests.
package limiter

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// burstSeconds is the burst size of an organisation, in seconds of its rate.
const burstSeconds = 2

// Limiter limits the requests to one entry.
type Limiter struct {
	permits chan struct{}

	mu    sync.Mutex
	rates map[string]*rate.Limiter
}

// New returns a limiter that admits maxConcurrent requests at a time.
func New(maxConcurrent int) *Limiter {
	return &Limiter{permits: make(chan struct{}, maxConcurrent), rates: map[string]*rate.Limiter{}}
}

// Acquire takes a permit without blocking. If ok, the caller must call release exactly once.
func (l *Limiter) Acquire() (release func(), ok bool) {
	select {
	case l.permits <- struct{}{}:
		return func() { <-l.permits }, true
	default:
		return nil, false
	}
}

// InFlight returns the number of requests that hold a permit.
func (l *Limiter) InFlight() int { return len(l.permits) }

// Allow reports whether a submission is within an organisation's rate, where 0 means unlimited. If not, retry
// is the time after which the next one will be.
func (l *Limiter) Allow(org string, perSecond float64) (retry time.Duration, ok bool) {
	if perSecond == 0 {
		return 0, true
	}
	l.mu.Lock()
	r := l.rates[org]
	burst := max(int(perSecond*burstSeconds), 1)
	if r == nil || r.Limit() != rate.Limit(perSecond) {
		r = rate.NewLimiter(rate.Limit(perSecond), burst)
		l.rates[org] = r
	}
	l.mu.Unlock()
	reservation := r.Reserve()
	if wait := reservation.Delay(); wait > 0 {
		reservation.Cancel()
		return wait, false
	}
	return 0, true
}
