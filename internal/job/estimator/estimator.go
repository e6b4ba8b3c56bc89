// Package estimator corrects declared run times by what the same organisation and service
// showed before. It is deterministic; only the statistics of run times may live here.
package estimator

import (
	"slices"
	"time"
)

const (
	window          = 32   // samples kept for each organisation and service
	quantile        = 0.75 // of the ratio between actual and declared time
	minSamples      = 4
	defaultRuntime  = 10 * time.Minute
	minimumRuntime  = 10 * time.Millisecond
	maxRatio        = 100.0
	minRatio        = 0.01
	undeclaredScale = time.Second
)

// Series holds the recent run times of one organisation and service.
type Series struct {
	Ratios  []float64 `json:"ratios,omitempty"`  // actual over declared
	Seconds []float64 `json:"seconds,omitempty"` // actual

	ratio, second float64 // quantiles of the above, 0 until they are needed
}

// Estimator keeps one series for each organisation and service. Its fields are exported for
// snapshots.
type Estimator struct {
	Series map[string]*Series `json:"series"`
}

// New returns an estimator that has seen nothing.
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
	s.ratio, s.second = 0, 0
	s.Seconds = push(s.Seconds, actual.Seconds())
	if declared > 0 {
		ratio := float64(actual) / float64(declared)
		s.Ratios = push(s.Ratios, min(max(ratio, minRatio), maxRatio))
	}
}

// Estimate returns the corrected run time of a job. A declared time is scaled by a quantile of
// earlier ratios; an unknown one is a quantile of earlier run times.
func (e *Estimator) Estimate(org, service string, declared time.Duration) time.Duration {
	s := e.Series[seriesKey(org, service)]
	switch {
	case s == nil:
	case declared > 0 && len(s.Ratios) >= minSamples:
		return max(time.Duration(float64(declared)*s.ratioQuantile()), minimumRuntime)
	case declared == 0 && len(s.Seconds) >= minSamples:
		return max(time.Duration(s.secondQuantile()*float64(undeclaredScale)), minimumRuntime)
	}
	if declared > 0 {
		return declared
	}
	return defaultRuntime
}

func (s *Series) ratioQuantile() float64 {
	if s.ratio == 0 {
		s.ratio = quantileOf(s.Ratios)
	}
	return s.ratio
}

func (s *Series) secondQuantile() float64 {
	if s.second == 0 {
		s.second = quantileOf(s.Seconds)
	}
	return s.second
}

func push(samples []float64, v float64) []float64 {
	if len(samples) == window {
		copy(samples, samples[1:])
		samples = samples[:window-1]
	}
	return append(samples, v)
}

func quantileOf(samples []float64) float64 {
	sorted := slices.Sorted(slices.Values(samples))
	return sorted[int(quantile*float64(len(sorted)-1)+0.5)]
}
