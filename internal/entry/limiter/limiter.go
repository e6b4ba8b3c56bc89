// Package limiter bounds what an entry takes in: the rate of each organisation and the number
// of requests at one time. Only admission at the door may live here.
package limiter

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// burstSeconds is how many seconds of an organisation's rate may come at once.
const burstSeconds = 2

// Limiter bounds the requests of one entry.
type Limiter struct {
	permits chan struct{}

	mu    sync.Mutex
	rates map[string]*rate.Limiter
}

// New returns a limiter for a number of requests at one time.
func New(atOnce int) *Limiter {
	return &Limiter{permits: make(chan struct{}, atOnce), rates: map[string]*rate.Limiter{}}
}

// Enter takes a permit without waiting. The caller must call leave once when ok.
func (l *Limiter) Enter() (leave func(), ok bool) {
	select {
	case l.permits <- struct{}{}:
		return func() { <-l.permits }, true
	default:
		return nil, false
	}
}

// InFlight returns the number of requests that hold a permit.
func (l *Limiter) InFlight() int { return len(l.permits) }

// Allow takes one submit off an organisation's rate, 0 for no limit. When it is spent, retry
// says after which time it is worth to try again.
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
