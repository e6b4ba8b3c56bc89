package detector

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestFaultyWorkerIsQuarantinedAndProbed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	d := New()
	is.Equal(d.RecordFailure(now, "w", "a"), Keep)
	is.Equal(d.RecordFailure(now, "w", "a"), Keep) // a repeated failure of the same job is not counted
	is.Equal(d.RecordFailure(now, "w", "b"), Keep)
	is.Equal(d.RecordFailure(now, "w", "c"), Quarantine)
	is.Equal(len(d.StartDueProbes(now.Add(minProbeDelay-1))), 0)
	is.Equal(d.StartDueProbes(now.Add(minProbeDelay)), []string{"w"})
	is.Equal(d.RecordFailure(now, "w", "d"), Quarantine) // one failure is enough on probation
	next, ok := d.NextProbe()
	is.True(ok)
	is.Equal(next, now.Add(2*minProbeDelay))
	d.StartDueProbes(next)
	d.RecordSuccess("w")
	is.Equal(d.RecordFailure(now, "w", "e"), Keep) // the success deleted the record
}

// TestPoisonJobsQuarantineNoWorker runs jobs that fail on every worker. No worker may be quarantined for them.
func TestPoisonJobsQuarantineNoWorker(t *testing.T) {
	is := is.New(t)
	d := New()
	for i := range 50 {
		for _, poison := range []string{"a", "b", "c", "d"} {
			d.RecordFailure(time.Unix(0, 0), "other", poison)
			is.Equal(d.RecordFailure(time.Unix(0, 0), fmt.Sprint("w", i), poison), Keep)
		}
	}
}

// TestPruneKeepsMemoryBounded guards against records of workers that joined, failed a job and left, and of jobs that ended, which
// were kept for ever. At 4096 jobs all were cleared, and then the failures of ended bad jobs counted against their workers.
func TestPruneKeepsMemoryBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	d := New()
	ended := map[string]bool{}
	joined := map[string]bool{"w": true, "v": true}
	for i := range 2 * maxFailingJobs {
		poison := fmt.Sprint("poison", i)
		d.RecordFailure(now, "v", poison)
		is.Equal(d.RecordFailure(now, "w", poison), Keep)
		d.RecordFailure(now, fmt.Sprint("gone", i), poison)
		ended[poison] = true
		d.RemoveJob(poison)
		if i%128 == 0 && d.Removable(in(joined), in(ended)) >= 256 {
			d.Prune(in(joined), in(ended))
		}
	}
	is.True(len(d.Workers) <= 512)
	is.True(len(d.Jobs) <= 512)
	is.True(len(d.Workers["w"].Failed) <= 512)
	// One more failure of its own is not the third.
	is.Equal(d.RecordFailure(now, "w", "a"), Keep)
	is.Equal(d.RecordFailure(now, "w", "b"), Keep)
}

// TestPruneKeepsWhatCounts guards against a quarantine that ends, or failures that no longer count, when records are removed.
func TestPruneKeepsWhatCounts(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	d := New()
	for _, job := range []string{"a", "b", "c"} {
		d.RecordFailure(now, "gone", job)
		d.RecordFailure(now, "gone-2", job+"2")
	}
	is.True(d.IsQuarantined("gone"))
	d.RecordFailure(now, "v", "bad") // still runs
	d.RecordFailure(now, "w", "bad")
	d.RecordFailure(now, "w", "d")
	d.RecordFailure(now, "w", "e")
	ended := map[string]bool{"a": true, "b": true, "c": true, "d": true, "e": true}
	for job := range ended {
		d.RemoveJob(job)
	}
	d.Prune(in(map[string]bool{"w": true, "v": true}), in(ended))
	is.True(d.IsQuarantined("gone"))
	is.Equal(d.RecordFailure(now, "w", "f"), Quarantine) // the third of its own, beside the bad job
	is.Equal(len(d.StartDueProbes(now.Add(minProbeDelay))), 3)
	d.Prune(in(map[string]bool{"w": true}), in(ended))
	is.Equal(len(d.Workers), 1)
}

func in(set map[string]bool) func(string) bool { return func(name string) bool { return set[name] } }
