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
