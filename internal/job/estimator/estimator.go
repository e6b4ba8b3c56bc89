// Package estimator corrects declared run times by earlier run times of the same organisation and service. It
// is deterministic. Its scope is the statistics of run times.
package estimator

import (
	"slices"
	"time"
)

const (
	maxSamples     = 32               // kept for each organisation and service
	quantile       = 0.75             // of the samples, used as the estimate
	minSamples     = 4                // needed for a correction
	defaultRuntime = 10 * time.Minute // estimate without a declared time or samples
	minRuntime     = 10 * time.Millisecond
	maxRatio       = 100.0 // bounds of the ratio of actual to declared time
	minRatio       = 0.01
	sampleUnit     = time.Second // of Series.Seconds
)

// Series holds the samples of recent run times of one organisation and service, oldest first.
type Series struct {
	Ratios  []float64 `json:"ratios,omitempty"`  // actual over declared run time
	Seconds []float64 `json:"seconds,omitempty"` // actual run time

	cachedRatio, cachedSeconds float64 // cached quantiles of Ratios and Seconds, 0 if not computed
}

// Estimator keeps one series per organisation and service. Its fields are exported for snapshots.
type Estimator struct {
	Series map[string]*Series `json:"series"`
}

// New returns an estimator without samples.
func New() *Estimator { return &Estimator{Series: map[string]*Series{}} }

func seriesKey(org, service string) string { return org + "/" + service }

// Observe records the actual run time of a finished job. declared is 0 when unknown.
func (e *Estimator) Observe(org, service string, declared, actual time.Duration) {
	key := seriesKey(org, service)
	s := e.Series[key]
	if s == nil {
		s = &Series{}
		e.Series[key] = s
	}
	s.cachedRatio, s.cachedSeconds = 0, 0
	s.Seconds = appendSample(s.Seconds, actual.Seconds())
	if declared > 0 {
		ratio := float64(actual) / float64(declared)
		s.Ratios = appendSample(s.Ratios, min(max(ratio, minRatio), maxRatio))
	}
}

// Estimate returns the expected run time of a job. A declared time is scaled by a quantile of earlier ratios;
// without one, the result is a quantile of earlier run times.
func (e *Estimator) Estimate(org, service string, declared time.Duration) time.Duration {
	s := e.Series[seriesKey(org, service)]
	switch {
	case s == nil:
	case declared > 0 && len(s.Ratios) >= minSamples:
		return max(time.Duration(float64(declared)*s.ratioQuantile()), minRuntime)
	case declared == 0 && len(s.Seconds) >= minSamples:
		return max(time.Duration(s.secondsQuantile()*float64(sampleUnit)), minRuntime)
	}
	if declared > 0 {
		return declared
	}
	return defaultRuntime
}

func (s *Series) ratioQuantile() float64 {
	if s.cachedRatio == 0 {
		s.cachedRatio = quantileOf(s.Ratios)
	}
	return s.cachedRatio
}

func (s *Series) secondsQuantile() float64 {
	if s.cachedSeconds == 0 {
		s.cachedSeconds = quantileOf(s.Seconds)
	}
	return s.cachedSeconds
}

// appendSample appends a sample and drops the oldest one when the series is full.
func appendSample(samples []float64, v float64) []float64 {
	if len(samples) == maxSamples {
		copy(samples, samples[1:])
		samples = samples[:maxSamples-1]
	}
	return append(samples, v)
}

func quantileOf(samples []float64) float64 {
	sorted := slices.Sorted(slices.Values(samples))
	return sorted[int(quantile*float64(len(sorted)-1)+0.5)]
}
