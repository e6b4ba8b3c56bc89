// Package pacer sets the interval between the reports of a worker to what the leader can handle. Short intervals let
// starts and stops reach the workers early; the cost of the reports grows with the fleet.
package pacer

import "time"

const (
	period      = 500 * time.Millisecond // between two adaptations
	targetUse   = 0.5                    // share of the processor that reports may be expected to take
	highWait    = 50 * time.Millisecond  // mean wait of reports from which the interval is lengthened
	lowWait     = 25 * time.Millisecond  // below which it is shortened; hysteresis keeps it steady in between
	increase    = 1.5                    // factor on the interval in one period
	maxIncrease = 2.0                    // factor if the wait is more than twice highWait
	decrease    = 0.8                    // factor on the interval in one period
)

// Options are the bounds of a pacer.
type Options struct {
	Min, Max   time.Duration // of the interval
	ReportCost time.Duration // expected processor time of one report
	Cores      float64       // processor time per second that the process may use, 0 for unknown
}

// Pacer holds the current interval. It is not safe for concurrent use.
type Pacer struct {
	opts      Options
	interval  time.Duration
	adaptedAt time.Time
	reports   int           // since adaptedAt
	waited    time.Duration // by all of them
	wait      time.Duration // mean in the last period
}

// New returns a pacer for a leader that starts now.
func New(opts Options, now time.Time) *Pacer {
	return &Pacer{opts: opts, interval: opts.Min, adaptedAt: now}
}

// Interval returns the time between two reports of a worker.
func (p *Pacer) Interval() time.Duration { return p.interval }

// Wait returns the mean wait of the reports in the last period.
func (p *Pacer) Wait() time.Duration { return p.wait }

// Observe records how long a report waited between its arrival and its processing.
func (p *Pacer) Observe(wait time.Duration) {
	p.reports++
	p.waited += wait
}

// Update adapts the interval to the size of the fleet and to the waits observed. It reports whether the interval
// changed. The interval is never shorter than the expected cost of the fleet's reports allows: an overload shows in
// the waits only once workers give up and report to all replicas in turn.
func (p *Pacer) Update(now time.Time, workers int) bool {
	before := p.interval
	shortest := p.clamp(p.expected(workers))
	p.interval = max(p.interval, shortest)
	if now.Sub(p.adaptedAt) < period {
		return p.interval != before
	}
	p.wait = p.waited / time.Duration(max(p.reports, 1))
	p.adaptedAt, p.reports, p.waited = now, 0, 0
	switch {
	case p.wait > 2*highWait:
		p.interval = p.clamp(scale(p.interval, maxIncrease))
	case p.wait > highWait:
		p.interval = p.clamp(scale(p.interval, increase))
	case p.wait < lowWait:
		p.interval = max(shortest, scale(p.interval, decrease))
	}
	return p.interval != before
}

// expected returns the interval at which the reports of a fleet take the target share of the processor.
func (p *Pacer) expected(workers int) time.Duration {
	if p.opts.Cores <= 0 {
		return p.opts.Min
	}
	return scale(p.opts.ReportCost, float64(workers)/(p.opts.Cores*targetUse))
}

func (p *Pacer) clamp(d time.Duration) time.Duration { return max(p.opts.Min, min(d, p.opts.Max)) }

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
