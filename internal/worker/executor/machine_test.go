package executor

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestDelayedHoldOfFinishedTask guards against a second run of a job that is not idempotent: a copy of a hold order that
// arrived after the end of the task was refused, which says that nothing has run.
func TestDelayedHoldOfFinishedTask(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	m := NewMachine(4, time.Second, func(time.Time, string, uint32, int, bool) {})
	order := func(kind string) *scheduler.Ack {
		return m.Apply(now, &messages.WorkerOrder{Kind: kind, Job: "a/k", Attempt: 1, Members: 2, Tasks: 1, Slots: 2})
	}
	is.Equal(order("hold").Kind, scheduler.AckHeld)
	is.Equal(order("start").Kind, scheduler.AckStarted)
	is.Equal(order("hold").Kind, scheduler.AckHeld) // while it runs
	is.Equal(len(m.Advance(now)), 1)                // its run time is zero
	is.Equal(order("hold").Kind, scheduler.AckDone)
}
