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
	is.Equal(d.Failed(now, "w", "a"), Keep)
	is.Equal(d.Failed(now, "w", "a"), Keep) // a repeated failure of the same job is not counted
	is.Equal(d.Failed(now, "w", "b"), Keep)
	is.Equal(d.Failed(now, "w", "c"), PutAside)
	is.Equal(len(d.Due(now.Add(minProbeDelay-1))), 0)
	is.Equal(d.Due(now.Add(minProbeDelay)), []string{"w"})
	is.Equal(d.Failed(now, "w", "d"), PutAside) // one failure is enough on probation
	next, ok := d.NextProbe()
	is.True(ok)
	is.Equal(next, now.Add(2*minProbeDelay))
	d.Due(next)
	d.Succeeded("w")
	is.Equal(d.Failed(now, "w", "e"), Keep) // the success deleted the record
}

// TestPoisonJobsQuarantineNoWorker runs jobs that fail on every worker. No worker may be quarantined for them.
func TestPoisonJobsQuarantineNoWorker(t *testing.T) {
	is := is.New(t)
	d := New()
	for i := range 50 {
		for _, poison := range []string{"a", "b", "c", "d"} {
			d.Failed(time.Unix(0, 0), "other", poison)
			is.Equal(d.Failed(time.Unix(0, 0), fmt.Sprint("w", i), poison), Keep)
		}
	}
}
