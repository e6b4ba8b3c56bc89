package profiler

import (
	"cmp"
	"hash/maphash"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
)

const (
	// sampleRetention is how long a sample counts.
	sampleRetention = 30 * time.Second
	// halfLife is the time after which a sample counts half, as interference may change within seconds.
	halfLife = 8 * time.Second
	// fadeTime is how long a pair counts as interfering after its last sample. Pairs that are kept apart yield no samples.
	fadeTime = 20 * time.Second
	// mergePeriod is the time within which samples of one worker stem from the same start or end of a neighbour.
	mergePeriod = 2 * time.Second
	// minSlowdown is the least slowdown of an interfering pair.
	minSlowdown = 1.1
	// minClusters, minSamplesEach and minEvidenceRuns are the evidence needed: workers (a gang is one, as all its members
	// progress at one rate), of these after an arrival and after a departure of the neighbour, and runs.
	minClusters     = 6
	minSamplesEach  = 2
	minEvidenceRuns = 6
	// confidence is the number of standard errors by which the estimate has to exceed minSlowdown, as dozens of pairs are
	// judged anew with each sample, and keepConfidence the number for a pair that is known to interfere.
	confidence     = 3.5
	keepConfidence = 1
	// minSpread and priorWeight are the least spread of samples that is assumed beside that of a pair's own samples, and its
	// weight in samples, as a few samples may agree by chance. The spread of all pairs counts if it is larger.
	minSpread   = 0.25
	priorWeight = 6
)

// pairKey is a pair of images: runs of the first are compared with and without the second beside them.
type pairKey struct{ image, beside string }

// sample is the logarithm of the factor by which a run was slower beside a neighbour than without it.
type sample struct {
	at      time.Time
	cluster uint64 // worker, or gang
	worker  uint64
	run     uint64
	arrived bool // the neighbour came, as opposed to left
	value   float64
	merged  int // samples in value
}

type pair struct {
	samples     []sample
	changed     bool // since the last evaluation
	interfering bool
	slowdown    float64
	lastSample  time.Time
	conclusive  time.Time // of the last sample that was evaluated beside samples of both kinds
	// squares and freedom are the sum of the squares of the samples around their means, and its degrees of freedom, at the
	// last evaluation.
	squares, freedom float64
}

var seed = maphash.MakeSeed()

func newSample(now time.Time, worker string, key tracker.RunKey, gang, arrived bool, value float64) sample {
	s := sample{at: now, worker: maphash.String(seed, worker), arrived: arrived, value: value, merged: 1}
	s.cluster = s.worker
	if gang {
		key.Task = 0
	}
	s.run = maphash.Comparable(seed, key)
	if gang {
		s.cluster = s.run
	}
	return s
}

// addSample adds a sample of a pair. Samples of one cluster that stem from the same event count as one.
func (p *Profiler) addSample(key pairKey, s sample) {
	q := p.pairs[key]
	if q == nil {
		if len(p.pairs) >= maxPairs {
			p.evictPair()
		}
		q = &pair{}
		p.pairs[key] = q
	}
	q.changed, q.lastSample = true, s.at
	for i := range q.samples {
		o := &q.samples[i]
		if o.cluster == s.cluster && o.arrived == s.arrived && s.at.Sub(o.at) < mergePeriod {
			o.value = (o.value*float64(o.merged) + s.value) / float64(o.merged+1)
			o.merged++
			return
		}
	}
	if len(q.samples) == maxSamples {
		q.samples = slices.Delete(q.samples, 0, 1)
	}
	q.samples = append(q.samples, s)
}

// evictPair removes the pair about which the least is known, so that many new names do not displace what has been learned.
func (p *Profiler) evictPair() {
	var worst pairKey
	var least *pair
	for key, q := range p.pairs {
		if least == nil || cmp.Or(compareBool(q.interfering, least.interfering), cmp.Compare(len(q.samples), len(least.samples)),
			q.lastSample.Compare(least.lastSample), comparePairs(key, worst)) < 0 {
			worst, least = key, q
		}
	}
	delete(p.pairs, worst)
	if least.interfering {
		p.rebuild()
	}
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Change is a pair that interferes from now on, or no longer does.
type Change struct {
	Image, Beside string
	Interfering   bool
	Slowdown      float64 // factor on the run time of Image, or on its tail
	Samples       int
}

// Update evaluates what has been observed, and drops what is too old. It returns the changes.
func (p *Profiler) Update(now time.Time) []Change {
	for id, w := range p.workers {
		if now.Sub(w.seenAt) > workerRetention {
			p.forget(id)
		}
	}
	for _, q := range p.pairs {
		if q.changed {
			q.updateSpread(now)
		}
	}
	spread := p.spread()
	var changes []Change
	for key, q := range p.pairs {
		q.samples = slices.DeleteFunc(q.samples, func(s sample) bool { return now.Sub(s.at) > sampleRetention })
		if !q.changed && !q.interfering {
			if len(q.samples) == 0 {
				delete(p.pairs, key)
			}
			continue
		}
		before := q.interfering
		q.evaluate(now, spread)
		if q.interfering != before {
			changes = append(changes, Change{key.image, key.beside, q.interfering, q.slowdown, len(q.samples)})
		}
	}
	if len(changes) > 0 || len(p.active) > 0 {
		p.rebuild()
	}
	slices.SortFunc(changes, func(a, b Change) int { return comparePairs(pairKey{a.Image, a.Beside}, pairKey{b.Image, b.Beside}) })
	return changes
}

func (p *Profiler) rebuild() {
	clear(p.active)
	clear(p.images)
	for key, q := range p.pairs {
		if q.interfering {
			p.active[key] = q.slowdown
			p.images[key.image], p.images[key.beside] = true, true
		}
	}
}

// spread returns the spread of the samples of all pairs around the means of their pairs. It is large while workers become
// slow and fast again, so that more evidence is needed then.
func (p *Profiler) spread() float64 {
	var squares, freedom float64
	for _, key := range slices.SortedFunc(maps.Keys(p.pairs), comparePairs) { // the sum depends on the order
		squares += p.pairs[key].squares
		freedom += p.pairs[key].freedom
	}
	if freedom == 0 {
		return minSpread
	}
	return max(minSpread, math.Sqrt(squares/freedom))
}

func comparePairs(a, b pairKey) int {
	return cmp.Or(cmp.Compare(a.image, b.image), cmp.Compare(a.beside, b.beside))
}

// evaluate decides whether the pair interferes. Arrivals and departures of the neighbour weigh the same, whatever their
// numbers, so that a rate that falls or rises by itself, as on a worker that becomes slow, cancels out.
func (q *pair) evaluate(now time.Time, spread float64) {
	changed := q.changed
	q.changed = false
	if q.interfering && now.Sub(q.conclusive) > fadeTime {
		q.interfering = false
		return
	}
	arrivals, departures := q.estimate(now, true, spread), q.estimate(now, false, spread)
	if arrivals.clusters < minSamplesEach || departures.clusters < minSamplesEach {
		return
	}
	if changed {
		q.conclusive = q.lastSample
	}
	mean := (arrivals.mean + departures.mean) / 2
	deviation := math.Sqrt(arrivals.variance+departures.variance) / 2
	threshold := math.Log(minSlowdown)
	if q.interfering {
		q.interfering = mean-keepConfidence*deviation >= threshold
	} else {
		q.interfering = mean-confidence*deviation >= threshold && q.hasEvidence(threshold)
	}
	q.slowdown = math.Exp(mean)
}

// hasEvidence reports whether the samples stem from enough runs and workers, and whether two thirds of the workers agree.
func (q *pair) hasEvidence(threshold float64) bool {
	type sum struct{ value, n float64 }
	clusters, workers, runs := map[uint64]sum{}, map[uint64]bool{}, map[uint64]bool{}
	for _, s := range q.samples {
		c := clusters[s.cluster]
		clusters[s.cluster] = sum{c.value + s.value, c.n + 1}
		workers[s.worker], runs[s.run] = true, true
	}
	agree := 0
	for _, c := range clusters {
		if c.value/c.n >= threshold {
			agree++
		}
	}
	return min(len(clusters), len(workers)) >= minClusters && len(runs) >= minEvidenceRuns && 3*agree >= 2*len(clusters)
}

// estimate is the mean of the samples after arrivals or after departures.
type estimate struct {
	mean, variance float64 // variance of the mean
	deviations     float64 // mean square around the mean
	clusters       int
}

// updateSpread computes squares and freedom.
func (q *pair) updateSpread(now time.Time) {
	q.squares, q.freedom = 0, 0
	for _, arrived := range []bool{true, false} {
		if e := q.estimate(now, arrived, 0); e.clusters > 1 {
			q.squares += e.deviations * float64(e.clusters)
			q.freedom += float64(e.clusters - 1)
		}
	}
}

// clusterSum is the weighted sum of the samples of a cluster.
type clusterSum struct {
	cluster             uint64
	sum, weight, newest float64
}

// estimate computes the mean over clusters, each of which counts once, so that one worker with odd reports decides nothing.
func (q *pair) estimate(now time.Time, arrived bool, spread float64) estimate {
	clusters := make([]clusterSum, 0, len(q.samples))
	for _, s := range q.samples {
		if s.arrived != arrived {
			continue
		}
		i := slices.IndexFunc(clusters, func(c clusterSum) bool { return c.cluster == s.cluster })
		if i < 0 {
			i = len(clusters)
			clusters = append(clusters, clusterSum{cluster: s.cluster})
		}
		c := &clusters[i]
		weight := math.Exp2(-now.Sub(s.at).Seconds() / halfLife.Seconds())
		c.sum += weight * s.value
		c.weight += weight
		c.newest = max(c.newest, weight)
	}
	e := estimate{clusters: len(clusters)}
	if e.clusters == 0 {
		return e
	}
	var sum, weights, squares float64
	for _, c := range clusters {
		sum += c.newest * c.sum / c.weight
		weights += c.newest
		squares += c.newest * c.newest
	}
	e.mean = sum / weights
	for _, c := range clusters {
		d := c.sum/c.weight - e.mean
		e.deviations += c.newest / weights * d * d
	}
	// The variance around the mean of n samples, with that of the prior beside it.
	n := weights * weights / squares
	e.variance = (e.deviations*n + priorWeight*spread*spread) / (n - 1 + priorWeight) / n
	return e
}

// Interfering returns the number of pairs that interfere.
func (p *Profiler) Interfering() int { return len(p.active) }

// Involves reports whether an image is in a pair that interferes.
func (p *Profiler) Involves(image string) bool { return p.images[image] }

// Slowdown returns the factor on the run time of either image beside the other, the larger one, 1 for none.
func (p *Profiler) Slowdown(a, b string) float64 {
	return max(1, p.active[pairKey{a, b}], p.active[pairKey{b, a}])
}
