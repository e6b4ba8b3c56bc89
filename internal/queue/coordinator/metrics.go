package coordinator

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
)

// metrics are the counters and histograms of the coordinator.
type metrics struct {
	submits   map[string]tally.Counter // by verdict status
	ends      map[string]tally.Counter // by the way a run ended
	starts    tally.Counter
	evicted   tally.Counter // runs preempted by urgent work
	awaited   tally.Counter // urgent steps that waited for runs to end by themselves instead of stopping some
	evacuated tally.Counter // runs moved from leaving workers
	// evacuationMoves counts lasting runs that were stopped on workers of evacuated data centres.
	evacuationMoves tally.Counter
	evacuatedPlaces tally.Gauge   // data centres that are evacuated, on the leader
	lost            tally.Counter // worker incarnations that were replaced or whose leases expired
	crashes         tally.Counter // runs that had just started when their worker was lost
	givenUp         tally.Counter // jobs with a task that crashes its workers
	// unknownEnds counts reported ends of runs that are not in the replicated state, such as those that were lost before.
	unknownEnds tally.Counter
	reports     tally.Counter
	ignored     map[string]tally.Counter // reports that were ignored, by the reason
	ignoredEnds map[string]tally.Counter // ends in them that were not committed before
	pass        tally.Histogram
	commit      tally.Histogram
	// interferingPairs is the number of pairs of images of which one slows the other down, as far as this leader knows.
	interferingPairs tally.Gauge
	startsApart      tally.Counter // starts that would be on another worker if no images interfered
}

// buckets range from a pass over an idle fleet to the longest limit for an acknowledgement.
func buckets() tally.DurationBuckets {
	return tally.MustMakeExponentialDurationBuckets(100*time.Microsecond, 2, 16)
}

func newMetrics(scope tally.Scope) metrics {
	m := metrics{
		submits: map[string]tally.Counter{}, ends: map[string]tally.Counter{},
		evacuationMoves: scope.Counter("evacuation_moves"), evacuatedPlaces: scope.Gauge("evacuated_places"),
		starts: scope.Counter("starts"), evicted: scope.Counter("evicted"), awaited: scope.Counter("awaited_ends"),
		evacuated: scope.Counter("evacuated"), lost: scope.Counter("lost_workers"),
		crashes: scope.Counter("crashes"), givenUp: scope.Counter("given_up"), reports: scope.Counter("reports"), unknownEnds: scope.Counter("unknown_ends"),
		ignored: map[string]tally.Counter{}, ignoredEnds: map[string]tally.Counter{},
		pass: scope.Histogram("pass_seconds", buckets()), commit: scope.Histogram("commit_seconds", buckets()),
		interferingPairs: scope.Gauge("interfering_pairs"), startsApart: scope.Counter("starts_apart"),
	}
	for _, status := range []string{StatusOK, StatusRefused, StatusNoQueue, StatusNoKey, StatusUnknown, StatusEmpty, StatusMismatch, StatusConflict, StatusTooLarge} {
		m.submits[status] = scope.Tagged(map[string]string{"status": status}).Counter("submits")
	}
	for _, how := range []string{
		tracker.EndDone, tracker.EndFailed, tracker.EndStopped, tracker.EndExpired, tracker.EndGangEnded, tracker.EndGangIncomplete, tracker.EndRefused, tracker.EndRecovered,
	} {
		m.ends[how] = scope.Tagged(map[string]string{"how": how}).Counter("ends")
	}
	for _, reason := range []string{ignoredUnknownPool, ignoredStale, ignoredNotCredible, ignoredReplaced} {
		tagged := scope.Tagged(map[string]string{"reason": reason})
		m.ignored[reason], m.ignoredEnds[reason] = tagged.Counter("ignored_reports"), tagged.Counter("ignored_ends")
	}
	return m
}

// count increments a counter if it exists. Workers may report ends of an unknown kind.
func count(counters map[string]tally.Counter, name string) {
	if c := counters[name]; c != nil {
		c.Inc(1)
	}
}
