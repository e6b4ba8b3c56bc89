// Package profiler learns which images slow each other down on one worker. It compares the rate of a run with the rate of
// the same run shortly before or after, in company that differs by one image. It does no input or output, and is bounded in
// size whatever images jobs name.
package profiler

import (
	"math"
	"slices"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
)

// Bounds of the memory, at which the state takes 41 MB.
const (
	maxPairs    = 1024
	maxSamples  = 64     // of a pair
	maxWorkers  = 20_000 // that are observed
	maxRuns     = 50_000 // that are observed
	maxCompany  = 8      // images on one worker; nothing is learned there with more
	maxImage    = 256    // bytes of a name; longer ones are treated like runs without an image
	maxRunsEach = 64     // runs on one worker; nothing is learned there with more
)

const (
	// workerRetention is how long a worker that sends no reports is kept.
	workerRetention = 10 * time.Second
	// maxInterval is the longest time between two reports over which a rate is measured.
	maxInterval = 5 * time.Second
	// maxGap is the longest time between two stretches that are compared.
	maxGap = 3 * time.Second
	// minPoints is the progress in percent expected of a stretch that is compared. Reports round to whole percents,
	// which at 4 is an error of about a tenth.
	minPoints = 4
	// enoughPoints is the expected progress from which a stretch is compared before it ends.
	enoughPoints = 8
	// stallPoints is the expected progress from which a run without any is taken to be stalled.
	stallPoints = 4
	// maxUnevenness is the ratio of the rates in two parts of a stretch from which on it is not compared: the rate has changed
	// for another reason than the company, such as a worker that becomes slow.
	maxUnevenness = 1.5
	// minReadings is the number of readings of a tail in a stretch that is compared.
	minReadings = 2
	// tailWindow is the time over which a worker measures a tail.
	tailWindow = 500 * time.Millisecond
	// maxRatio bounds a single sample, so that an odd one weighs little.
	maxRatio = 4
)

// Run is a run in a report of a worker.
type Run struct {
	Key     tracker.RunKey
	Image   string // "" for none
	Gang    bool
	Percent int32
	// Tail is the tail of the response times of a lasting task with a bound on it, 0 for unknown or for another task.
	Tail int64
}

// Report is the list of runs in one report of a worker.
type Report struct {
	Worker string
	Born   int64 // start of its incarnation
	// Clock is the time of the report on a clock that does not include the delay of the report.
	Clock time.Duration
	Runs  []Run
}

// Profiler is the state. It is not safe for concurrent use.
type Profiler struct {
	workers map[string]*worker
	runs    int
	pairs   map[pairKey]*pair
	active  map[pairKey]float64 // slowdowns of the pairs that interfere
	images  map[string]bool     // in these pairs
}

// New returns a profiler that has learned nothing.
func New() *Profiler {
	return &Profiler{workers: map[string]*worker{}, pairs: map[pairKey]*pair{}, active: map[pairKey]float64{}, images: map[string]bool{}}
}

// worker holds what the last report of a worker listed.
type worker struct {
	born   int64
	clock  time.Duration
	seenAt time.Time
	runs   map[tracker.RunKey]*track
}

// track is the observation of one run.
type track struct {
	image   string
	gang    bool
	percent int32
	moving  bool // the percentage has changed since the run was first listed
	spoiled bool // the run has stalled or its reports contradict each other, so its rates say nothing
	since   time.Duration
	current stretch
	before  stretch // the last one that was long enough, without a company if there is none
}

// stretch is a time during which the company of a run did not change.
type stretch struct {
	company    []string // images of the other runs on the worker, sorted, "" for those without one
	valid      bool
	start, end time.Duration
	seconds    float64
	points     float64 // percent
	window     part    // the last part, of minPoints
	slowest    float64 // lowest rate of a part, in percent a second, 0 before the first one
	fastest    float64
	idle       float64 // seconds without progress at its end
	readings   int     // of the tail
	logTail    float64 // sum of the logarithms of the readings
	compared   bool
}

// part is a part of a stretch.
type part struct{ seconds, points float64 }

// Observe records a report. Reports of one worker have to be in order.
func (p *Profiler) Observe(now time.Time, r Report) {
	w := p.workers[r.Worker]
	images, ok := companyImages(r.Runs)
	if !ok {
		p.forget(r.Worker)
		return
	}
	if w == nil {
		if len(p.workers) >= maxWorkers || len(images) == 0 || len(images) == 1 && images[""] > 0 {
			return
		}
		w = &worker{born: r.Born, runs: map[tracker.RunKey]*track{}}
		p.workers[r.Worker] = w
	}
	elapsed := r.Clock - w.clock
	if w.born != r.Born || elapsed <= 0 || elapsed > maxInterval {
		p.runs -= len(w.runs)
		clear(w.runs)
	}
	w.born, w.clock, w.seenAt = r.Born, r.Clock, now
	p.dropEnded(now, r.Worker, w, r.Runs)
	for _, run := range r.Runs {
		if nameOf(run.Image) != "" {
			p.observeRun(now, r, w, run, companyOf(run, r.Runs, images), elapsed)
		}
	}
	if len(w.runs) == 0 {
		p.forget(r.Worker)
	}
}

// observeRun records a run in a report.
func (p *Profiler) observeRun(now time.Time, r Report, w *worker, run Run, company []string, elapsed time.Duration) {
	t := w.runs[run.Key]
	switch {
	case t == nil:
		if p.runs < maxRuns {
			p.runs++
			w.runs[run.Key] = newTrack(run, company, r.Clock)
		}
	case !slices.Equal(company, t.current.company):
		// The time since the last report is partly of the one company, partly of the other.
		p.change(now, r.Worker, run.Key, t, company, r.Clock)
		t.percent, t.since = run.Percent, r.Clock
	default:
		t.advance(run, elapsed, r.Clock)
		if t.current.isLong(t, enoughPoints) {
			p.compare(now, r.Worker, run.Key, t)
		}
	}
}

// Observes reports whether runs with images were on a worker at its last report.
func (p *Profiler) Observes(worker string) bool { return p.workers[worker] != nil }

// dropEnded removes the runs that are no longer listed, and compares their last stretches.
func (p *Profiler) dropEnded(now time.Time, id string, w *worker, runs []Run) {
	listed := make(map[tracker.RunKey]bool, len(runs))
	for _, r := range runs {
		listed[r.Key] = true
	}
	var ended []tracker.RunKey
	for key := range w.runs {
		if !listed[key] {
			ended = append(ended, key)
		}
	}
	slices.SortFunc(ended, tracker.CompareKeys)
	for _, key := range ended {
		p.compare(now, id, key, w.runs[key])
		delete(w.runs, key)
		p.runs--
	}
}

// forget drops what the last report of a worker listed.
func (p *Profiler) forget(id string) {
	if w := p.workers[id]; w != nil {
		p.runs -= len(w.runs)
		delete(p.workers, id)
	}
}

// nameOf returns the name under which an image is known here, "" for none.
func nameOf(image string) string {
	if len(image) > maxImage {
		return ""
	}
	return image
}

// companyImages counts the runs by image. It reports false if there are too many for anything to be learned.
func companyImages(runs []Run) (map[string]int, bool) {
	if len(runs) > maxRunsEach {
		return nil, false
	}
	images := map[string]int{}
	for _, r := range runs {
		images[nameOf(r.Image)]++
	}
	return images, len(images) <= maxCompany
}

// companyOf returns the images of the other runs on the worker. Members of one gang start and end together, so they are no
// company to each other.
func companyOf(run Run, runs []Run, images map[string]int) []string {
	own := 1
	if run.Gang {
		own = 0
		for _, other := range runs {
			if sameGang(run, other) {
				own++
			}
		}
	}
	list := make([]string, 0, len(images))
	for image, n := range images {
		if image != nameOf(run.Image) || n > own {
			list = append(list, image)
		}
	}
	slices.Sort(list)
	return list
}

func sameGang(a, b Run) bool {
	a.Key.Task, b.Key.Task = 0, 0
	return a.Gang && b.Gang && a.Key == b.Key
}

func newTrack(run Run, company []string, clock time.Duration) *track {
	return &track{
		image: nameOf(run.Image), gang: run.Gang, percent: run.Percent, since: clock,
		current: stretch{company: company, valid: true, start: clock, end: clock},
	}
}

// advance adds the time since the last report, in which the company was the same.
func (t *track) advance(run Run, elapsed, clock time.Duration) {
	s := &t.current
	s.end = clock
	if run.Tail > 0 && clock-t.since >= tailWindow {
		s.readings++
		s.logTail += math.Log(float64(run.Tail))
	}
	progress := run.Percent - t.percent
	t.percent = run.Percent
	switch {
	case progress < 0:
		t.spoiled = true // two writers, or a false report
	case run.Percent >= 100:
	case !t.moving:
		// A run that waits for its gang, or restores a checkpoint, has not begun. The first progress is of a part of the time.
		t.moving = progress > 0
	default:
		s.add(elapsed.Seconds(), float64(progress))
		rate := t.rate()
		if s.idle*rate >= stallPoints {
			t.spoiled = true
		}
		s.closePart(rate)
	}
}

// closePart ends the last part of the stretch once it is long enough. The rates allow for the rounding of the percentage.
func (s *stretch) closePart(rate float64) {
	w := s.window
	if w.seconds*rate < minPoints {
		return
	}
	slow, fast := (w.points+0.5)/w.seconds, (w.points-0.5)/w.seconds
	if s.slowest == 0 || slow < s.slowest {
		s.slowest = slow
	}
	s.fastest = max(s.fastest, fast)
	s.window = part{}
}

// isUneven reports whether the rate has changed within the stretch.
func (s *stretch) isUneven() bool { return s.fastest > maxUnevenness*s.slowest }

func (s *stretch) add(seconds, points float64) {
	s.seconds += seconds
	s.points += points
	s.window.seconds += seconds
	s.window.points += points
	s.idle += seconds
	if points > 0 {
		s.idle = 0
	}
}

// rate returns the rate of the run over the stretches at hand, in percent a second.
func (t *track) rate() float64 {
	seconds := t.before.seconds + t.current.seconds
	if seconds == 0 {
		return 0
	}
	return (t.before.points + t.current.points) / seconds
}

// isLong reports whether the stretch is long enough to be compared. The expected progress decides, as the actual one would
// leave out the slow stretches.
func (s *stretch) isLong(t *track, points float64) bool {
	return s.valid && (s.readings >= minReadings || s.seconds*t.rate() >= points)
}

// change ends the current stretch of a run and begins one in other company.
func (p *Profiler) change(now time.Time, id string, key tracker.RunKey, t *track, company []string, clock time.Duration) {
	p.compare(now, id, key, t)
	if t.current.isLong(t, minPoints) {
		t.before = t.current
	}
	t.current = stretch{company: company, valid: true, start: clock, end: clock}
}

// compare compares the current stretch of a run with the one before it, once.
func (p *Profiler) compare(now time.Time, id string, key tracker.RunKey, t *track) {
	a, b := &t.before, &t.current
	if t.spoiled || b.compared || !a.valid || b.start-a.end > maxGap || !a.isLong(t, minPoints) || !b.isLong(t, minPoints) || a.isUneven() || b.isUneven() {
		return
	}
	image, arrived, ok := difference(a.company, b.company)
	if !ok || image == "" {
		return
	}
	b.compared = true
	change, ok := slowdownBetween(a, b)
	if !ok {
		return
	}
	if !arrived {
		change = -change
	}
	limit := math.Log(maxRatio)
	p.addSample(pairKey{t.image, image}, newSample(now, id, key, t.gang, arrived, min(max(change, -limit), limit)))
}

// slowdownBetween returns the logarithm of the factor by which the run is slower in the second stretch.
func slowdownBetween(a, b *stretch) (float64, bool) {
	if a.readings >= minReadings && b.readings >= minReadings {
		return b.logTail/float64(b.readings) - a.logTail/float64(a.readings), true
	}
	if a.seconds == 0 || b.seconds == 0 || a.points+b.points == 0 {
		return 0, false
	}
	// A quarter of a percent keeps the ratio finite.
	return math.Log((a.points + 0.25) / a.seconds * b.seconds / (b.points + 0.25)), true
}

// difference returns the only image that is in one of two companies, and whether it is in the second one.
func difference(a, b []string) (image string, arrived, ok bool) {
	n := 0
	for _, v := range a {
		if !slices.Contains(b, v) {
			image, arrived = v, false
			n++
		}
	}
	for _, v := range b {
		if !slices.Contains(a, v) {
			image, arrived = v, true
			n++
		}
	}
	return image, arrived, n == 1
}
