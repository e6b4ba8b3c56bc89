package coordinator

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestHealth checks which failures quarantine a worker, and what ends the quarantine.
func TestHealth(t *testing.T) {
	const long, short = time.Second, 10 * time.Millisecond
	type failure struct {
		job     string
		elapsed time.Duration
	}
	for _, c := range []struct {
		name        string
		failures    []failure
		quarantined bool
	}{
		{"one failure during the work", []failure{{"a", long}}, false},
		{"one job fails with all its tasks", []failure{{"a", long}, {"a", long}, {"a", long}}, false},
		{"two jobs fail in a row", []failure{{"a", long}, {"b", long}}, true},
		{"a run fails immediately", []failure{{"a", short}}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_000_000, 0)
			var h health
			for _, f := range c.failures {
				h.recordFailure(now, f.job, f.elapsed)
			}
			is.Equal(h.isQuarantined(now), c.quarantined)
			is.True(h.isSuspect(now))
			now = now.Add(minQuarantine)
			is.True(!h.isQuarantined(now))
			is.Equal(h.isProbing(now), c.quarantined)
			h.recordFailure(now, "c", short)
			is.True(h.isQuarantined(now))
			h.recordSuccess(now.Add(-time.Second))
			is.True(h.isQuarantined(now)) // a run that began before the failure proves nothing
			h.recordSuccess(now.Add(time.Millisecond))
			is.True(!h.isQuarantined(now) && !h.isProbing(now) && !h.isSuspect(now))
		})
	}
}

// TestFailureOfInheritedRun checks which failures count as immediate. A leader does not know when a run began
// that its predecessor started, so the failure of such a run does not quarantine the worker.
func TestFailureOfInheritedRun(t *testing.T) {
	for _, c := range []struct {
		name        string
		inherited   bool
		quarantined bool
	}{
		{"started by this leader and never listed", false, true},
		{"started by an earlier leader", true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.startRun(t)
			if c.inherited {
				f.leaderTerm++
			}
			f.now = f.now.Add(250 * time.Millisecond)
			f.report(t, 3, func(r *messages.FleetReport) {
				r.Ends = []*messages.NumberedEnd{{Sequence: 1, End: &messages.End{Job: "a", Number: 1, How: tracker.EndFailed}}}
			})
			is.Equal(f.workers["w"].health.isQuarantined(f.now), c.quarantined)
			is.True(f.workers["w"].health.isSuspect(f.now))
		})
	}
}

// TestCautionAfterImmediateFailures checks that only a job with a run that failed as soon as it started waits for
// proven workers. A run that fails during its work is the job's own fault on any worker.
func TestCautionAfterImmediateFailures(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	s := failedWorkers{}
	is.True(s.record(now, "own fault", "w", time.Second))
	is.True(s.record(now, "worker's fault", "w", 0))
	is.True(s.failedAt(now, "own fault").IsZero())
	is.Equal(s.failedAt(now, "worker's fault"), now)
	is.True(s.failedAt(now, "other").IsZero())
	is.True(s.failedAt(now.Add(cautionPeriod), "worker's fault").IsZero())
}

// TestQuarantineIsLimited checks that quarantine is ignored when too many workers are in it. Jobs that always
// fail do so on worker after worker, and must not quarantine the whole fleet.
func TestQuarantineIsLimited(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	usable := func() (n int) {
		for _, v := range f.placerInput(f.state).Workers {
			if v.Usable && !v.Quarantined {
				n++
			}
		}
		return n
	}
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		f.report(t, 1, func(r *messages.FleetReport) { r.Worker = id })
	}
	is.Equal(usable(), 8)
	f.workers["a"].health.recordFailure(f.now, "x", 0)
	f.workers["b"].health.recordFailure(f.now, "x", 0)
	is.Equal(usable(), 6)
	f.workers["c"].health.recordFailure(f.now, "x", 0)
	is.Equal(usable(), 8)
}

// TestFailingServiceSpeaksAgainstNoWorker guards against a service whose every run fails as it starts, and that makes all
// workers suspects by it. Failures on a few workers still speak against these.
func TestFailingServiceSpeaksAgainstNoWorker(t *testing.T) {
	faulty := []string{"r0-w0", "r1-w1", "r2-w2"}
	for _, c := range []struct {
		name  string
		fails func(worker string) bool
		want  int // suspects at the end
	}{
		{"fails everywhere", func(string) bool { return true }, 0},
		{"fails on a few workers", func(worker string) bool { return slices.Contains(faulty, worker) }, len(faulty)},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newRackFleet(4, func(worker string, _ *messages.Run, elapsed time.Duration) string {
				if c.fails(worker) && elapsed >= 50*time.Millisecond {
					return tracker.EndFailed
				}
				return ""
			})
			f.step(t)
			f.add("service", 3, &messages.Step{Count: 16, Processors: 500, Estimate: 60_000, Lasting: true, Spread: 1})
			for range maxSuspectTime * 3 / 2 / testInterval {
				f.step(t)
			}
			suspects := 0
			for _, w := range f.Coordinator.workers {
				if w.health.isSuspect(f.now) || w.health.isQuarantined(f.now) {
					suspects++
				}
			}
			is.Equal(suspects, c.want)
		})
	}
}
