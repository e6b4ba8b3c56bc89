package estimator

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestEstimateIsCorrected(t *testing.T) {
	is := is.New(t)
	e := New()
	is.Equal(e.Estimate("o", "s", time.Minute), time.Minute) // no samples
	is.Equal(e.Estimate("o", "s", 0), defaultRuntime)
	for range minSamples {
		e.Observe("o", "s", time.Minute, 3*time.Minute)
	}
	is.Equal(e.Estimate("o", "s", 2*time.Minute), 6*time.Minute)
	is.Equal(e.Estimate("o", "s", 0), 3*time.Minute)
	is.Equal(e.Estimate("other", "s", time.Minute), time.Minute)
	e.Observe("o", "s", time.Minute, 300*time.Hour) // one outlier doesn't change the quantile
	is.Equal(e.Estimate("o", "s", time.Minute), 3*time.Minute)
	for range maxSamples {
		e.Observe("o", "s", time.Minute, 30*time.Second)
	}
	is.Equal(e.Estimate("o", "s", time.Minute), 30*time.Second) // old samples were dropped
}
