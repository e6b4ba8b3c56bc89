package simulator

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
)

// Interference is a model of images that slow each other down on one worker. The zero value is for none.
type Interference struct {
	// Factor returns the factor on the run time of an image beside another one, from 1, at a time since the start. For
	// lasting tasks it is on the tail of their response times. Factors of several neighbours multiply.
	Factor func(at time.Duration, image, beside string) float64
	// Interval is the time between changes of Factor, 0 for a factor that does not change.
	Interval time.Duration
	// Ignored switches the leader's learning off.
	Ignored bool
}

const (
	// baseTail is the tail of the response times of a lasting task without neighbours, in milliseconds.
	baseTail = 40
	// tailSpread is the spread of the readings of a tail.
	tailSpread = 0.15
)

// scheduleInterference applies the changes of the model.
func (s *Simulator) scheduleInterference() {
	if i := s.opts.Interference; i.Factor != nil && i.Interval > 0 {
		s.every(i.Interval, func() {
			s.advanceRuns()
			s.interferenceAt = s.now.Sub(s.start)
			for _, w := range s.workers {
				w.rescheduleNeighbours(func(*run) bool { return true })
			}
		})
	}
}

func (s *Simulator) advanceRuns() {
	for _, w := range s.workers {
		for _, r := range w.runs {
			r.advance(w)
		}
	}
}

// interference returns the factor on the run time of a run by its neighbours.
func (s *Simulator) interference(r *run, w *worker) float64 {
	image := r.spec.GetImage()
	if s.opts.Interference.Factor == nil || image == "" || w.runs[r.key] != r {
		return 1
	}
	factors := map[string]float64{}
	for _, other := range w.runs {
		beside := other.spec.GetImage()
		if beside == "" || other == r || !other.started {
			continue
		}
		factors[beside] = s.opts.Interference.Factor(s.interferenceAt, image, beside)
	}
	factor := 1.0
	for _, beside := range slices.Sorted(maps.Keys(factors)) {
		factor *= factors[beside]
	}
	return factor
}

func gangOf(r *run) gangKey { return gangKey{r.key.Job, r.key.Occurrence, r.key.Step, r.key.Number} }

// gangInterference returns the largest factor of a gang's members, as it progresses at the rate of the slowest one.
func (s *Simulator) gangInterference(r *run, g *gang) float64 {
	if s.opts.Interference.Factor == nil {
		return 1
	}
	factor := 1.0
	for task, m := range g.members {
		key := r.key
		key.Task = task
		if member := m.runs[key]; member != nil {
			factor = max(factor, s.interference(member, m))
		}
	}
	return factor
}

// changeCompany brings the runs that the worker's runs affect up to date, changes its runs, and reschedules their ends.
func (w *worker) changeCompany(change func()) {
	s := w.sim
	if s.opts.Interference.Factor == nil {
		change()
		return
	}
	gangs := map[gangKey]bool{}
	for _, r := range w.runs {
		if r.spec.GetGang() {
			gangs[gangOf(r)] = true
		}
	}
	for _, other := range s.workers {
		for _, r := range other.runs {
			if other == w || r.spec.GetGang() && gangs[gangOf(r)] {
				r.advance(other)
			}
		}
	}
	change()
	for _, other := range s.workers {
		other.rescheduleNeighbours(func(r *run) bool { return other == w || r.spec.GetGang() && gangs[gangOf(r)] })
	}
}

// rescheduleNeighbours reschedules the ends of chosen runs.
func (w *worker) rescheduleNeighbours(chosen func(*run) bool) {
	for _, key := range slices.SortedFunc(maps.Keys(w.runs), tracker.CompareKeys) {
		if r := w.runs[key]; r.started && chosen(r) {
			r.scheduleEnd(w)
		}
	}
}

// usage returns what a run reports as its usage: a reading of its tail, 0 without a bound on it.
func (r *run) usage(w *worker) int64 {
	s := w.sim
	if r.spec.GetTail() == 0 || !r.started {
		return 0
	}
	tail := baseTail * s.interference(r, w) * w.slowdown / w.speed
	s.result.TailReadings++
	reading := int64(tail*math.Exp(tailSpread*s.random.NormFloat64()) + 0.5)
	if reading > r.spec.GetTail() {
		s.result.TailsOver++
	}
	return reading
}

// recordTaskTime adds up how long tasks that are done took, and how long they take alone on a worker of speed 1.
func (s *Simulator) recordTaskTime(r *run) {
	if r.restored == 0 && r.spec.GetImage() != "" {
		s.result.TaskTime += s.now.Sub(r.begunAt).Seconds()
		s.result.TaskWork += r.total.Seconds()
	}
}
