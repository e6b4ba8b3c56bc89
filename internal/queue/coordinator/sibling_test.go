package coordinator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestLastingTaskBesideFailingSibling guards against a lasting task that waits beside idle workers for ever, because each
// restart of another task of its step begins its wait anew.
func TestLastingTaskBesideFailingSibling(t *testing.T) {
	is := is.New(t)
	failing := false
	f := newRackFleet(3, func(_ string, run *messages.Run, elapsed time.Duration) string {
		if failing && run.GetJob() == "service" && run.GetTask() == 0 && elapsed >= shortRunTime+testInterval {
			return tracker.EndFailed
		}
		return ""
	})
	f.step(t)
	f.add("first", 3, &messages.Step{Count: 1, Processors: 8000, Estimate: 600_000, Label: "first"})
	f.step(t)
	f.add("gang", 3, &messages.Step{Count: 6, Processors: 8000, Estimate: 20_000, Label: "first", Gang: true}) // it reserves these workers
	f.step(t)
	f.add("others", 3, &messages.Step{Count: 4, Processors: 8000, Estimate: 600_000})
	f.add("service", 3, &messages.Step{Count: 2, Processors: 8000, Estimate: 600_000, Lasting: true})
	for range 2 * time.Second / testInterval {
		f.step(t)
	}
	service := f.state.Job("service").Step(0, 0)
	lost := service.Tasks[1].Worker
	f.remove(lost)
	failing = true
	absence := time.Duration(0)
	for ; (service.Tasks[1].Worker == lost || service.Tasks[1].Active == 0) && absence < 30*time.Second; absence += testInterval {
		f.step(t)
	}
	is.True(absence <= maxLastingGap)
}
