package pacer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// leader models a leader that handles the reports of a fleet one after the other, beside other work.
type leader struct {
	workers int
	cost    time.Duration // of a report
	other   float64       // cores used by other work
	cores   float64
	backlog time.Duration // work that waits
}

const tick = 100 * time.Millisecond

// run lets a tick pass. The reports of a tick wait for the backlog and, on average, for half of those that arrive
// together with them.
func (l *leader) run(p *Pacer) {
	reports := int(float64(l.workers) * float64(tick) / float64(p.Interval()))
	work := time.Duration(reports) * l.cost
	available := scale(tick, max(l.cores-l.other, 0.01))
	for range reports {
		p.Observe(scale(l.backlog, float64(tick)/float64(available)) + l.cost)
	}
	l.backlog = min(max(l.backlog+work-available, 0), time.Second)
}

// simulate runs a leader and returns how often the interval changed.
func (l *leader) simulate(p *Pacer, now *time.Time, d time.Duration) int {
	changes := 0
	for range d / tick {
		l.run(p)
		*now = now.Add(tick)
		if p.Update(*now, l.workers) {
			changes++
		}
	}
	return changes
}

func newPacer(now time.Time, cores float64) *Pacer {
	return New(Options{Min: 250 * time.Millisecond, Max: 1466 * time.Millisecond, ReportCost: 100 * time.Microsecond, Cores: cores}, now)
}

// TestInterval checks that fleets of different sizes and costs get an interval at which their reports do not wait.
func TestInterval(t *testing.T) {
	for _, c := range []struct {
		name     string
		leader   leader
		min, max time.Duration
	}{
		{"a small fleet reports at the shortest interval", leader{workers: 48, cost: 100 * time.Microsecond, cores: 0.8}, 250 * time.Millisecond, 250 * time.Millisecond},
		{"hundreds of workers too while there is time for it", leader{workers: 1100, cost: 100 * time.Microsecond, cores: 0.96}, 250 * time.Millisecond, 250 * time.Millisecond},
		{"costly reports come less often", leader{workers: 1100, cost: 400 * time.Microsecond, cores: 0.96}, 400 * time.Millisecond, 1466 * time.Millisecond},
		{"other work is left its time", leader{workers: 350, cost: 400 * time.Microsecond, other: 0.3, cores: 0.64}, 350 * time.Millisecond, 1466 * time.Millisecond},
		{"an overloaded leader asks for the longest interval", leader{workers: 6600, cost: 400 * time.Microsecond, cores: 0.96}, 1466 * time.Millisecond, 1466 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_000_000, 0)
			p := newPacer(now, c.leader.cores)
			c.leader.simulate(p, &now, 10*time.Second)
			var sum time.Duration
			const samples = 50
			for range samples {
				c.leader.simulate(p, &now, tick)
				sum += p.Interval()
			}
			is.True(sum/samples >= c.min)
			is.True(sum/samples <= c.max)
		})
	}
}

// TestHysteresis checks that the interval stays as it is while waits lie between the two thresholds.
func TestHysteresis(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	p := newPacer(now, 0.96)
	observe := func(wait time.Duration) bool {
		changed := false
		for range period / tick {
			p.Observe(wait)
			now = now.Add(tick)
			changed = p.Update(now, 350) || changed
		}
		return changed
	}
	is.True(observe(highWait + time.Millisecond))
	is.Equal(p.Interval(), 375*time.Millisecond)
	is.True(!observe(highWait))
	is.True(!observe(lowWait))
	is.True(observe(lowWait - time.Millisecond))
	is.Equal(p.Interval(), 300*time.Millisecond)
}

// TestFirstReportsOfAFleet checks that the interval allows for the size of the fleet. After a change of the leader, or a
// loss of power, all workers report at once, before any wait is observed.
func TestFirstReportsOfAFleet(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	p := newPacer(now, 1)
	p.Update(now, 48)
	is.Equal(p.Interval(), 250*time.Millisecond)
	p.Update(now, 6600)
	is.Equal(p.Interval(), 1320*time.Millisecond)
	for range 20 {
		now = now.Add(period)
		p.Update(now, 6600)
	}
	is.Equal(p.Interval(), 1320*time.Millisecond) // waits that are short at this interval do not shorten it
	now = now.Add(period)
	p.Update(now, 3300)
	is.True(p.Interval() < 1320*time.Millisecond)
}

// TestLoadPeak checks that the interval is lengthened within two seconds of a peak and shortened again after it.
func TestLoadPeak(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	l := &leader{workers: 350, cost: 200 * time.Microsecond, cores: 0.64}
	p := newPacer(now, l.cores)
	l.simulate(p, &now, 5*time.Second)
	is.Equal(p.Interval(), 250*time.Millisecond)
	l.other = 0.5
	l.simulate(p, &now, 2*time.Second)
	is.True(p.Interval() > 450*time.Millisecond)
	l.other = 0
	l.simulate(p, &now, 6*time.Second)
	is.Equal(p.Interval(), 250*time.Millisecond)
}
