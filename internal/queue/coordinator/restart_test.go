package coordinator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// maxAbsence is the time from the end of a lasting task's run until it must be able to run again.
const maxAbsence = 6 * time.Second

// TestServiceThatFailsAtOnceRestsBetweenRuns guards against a service that fails as it starts and is started again without
// pause, each time with two changes to the replicated log. A service that was at work returns at once.
func TestServiceThatFailsAtOnceRestsBetweenRuns(t *testing.T) {
	for _, c := range []struct {
		name    string
		fails   time.Duration
		how     string
		minimum uint32 // runs in a minute
		maximum uint32
	}{
		{"fails at once", 50 * time.Millisecond, tracker.EndFailed, 15, 25},
		{"ends at once", 50 * time.Millisecond, tracker.EndDone, 15, 25},
		{"fails after it was at work", 2 * time.Second, tracker.EndFailed, 25, 30},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newRackFleet(1, func(_ string, _ *messages.Run, elapsed time.Duration) string {
				if elapsed >= c.fails {
					return c.how
				}
				return ""
			})
			f.step(t)
			f.add("service", 3, &messages.Step{Count: 1, Processors: 500, Estimate: 60_000, Lasting: true})
			idle := f.longestIdle(t, "service", time.Minute)
			runs := f.state.Job("service").Step(0, 0).Tasks[0].Number
			is.True(runs >= c.minimum)
			is.True(runs <= c.maximum)
			is.True(idle < maxAbsence)
		})
	}
}
