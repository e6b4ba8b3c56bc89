package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestDoubtOutlivesLeader guards against a job that is given up because a new leader does not know of the unexplained losses
// for which its predecessor was about to try the task again.
func TestDoubtOutlivesLeader(t *testing.T) {
	for crashes := uint32(3); crashes <= 5; crashes++ {
		t.Run(fmt.Sprintf("%d crashes", crashes), func(t *testing.T) {
			f := newPoweredFleet(t, 8)
			for range 44 {
				f.step(t)
			}
			f.submitJobs(1, &messages.Step{Count: 1, Processors: 1000, Estimate: 60_000})
			for number := uint32(1); number <= crashes; number++ {
				f.state.Apply(&messages.QueueChange{Starts: []*messages.Run{{Job: "j00", Number: number, Worker: "x", Born: 1}}})
				f.state.Apply(&messages.QueueChange{Ends: []*messages.WorkerEnds{{
					Worker: "x", Born: 1, Over: true, Crashes: []*messages.Crash{{Job: "j00", Number: number, Alone: number > 1}},
				}}})
			}
			f.step(t)
			f.restart(f.workers[0])
			f.step(t)
			f.leaderTerm++
			for begin := f.now; f.now.Sub(begin) < 8*time.Second; {
				f.step(t)
			}
			is := is.New(t)
			is.Equal(f.state.Job("j00").Phase == tracker.Failed, crashes == 5) // five are too many whatever the doubt
			is.Equal(f.runningJobs()["j00"], crashes < 5)
		})
	}
}
