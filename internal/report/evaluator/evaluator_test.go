package evaluator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
)

func TestBurnOverWindows(t *testing.T) {
	is := is.New(t)
	e := New()
	now := time.Date(2026, 1, 4, 0, 0, 0, 0, time.UTC)
	observe := func(ago time.Duration, n int, outcome scheduler.Outcome, code string, seconds float64) {
		for range n {
			e.Observe(scheduler.Record{Time: now.Add(-ago), Org: "o", Service: "s", Outcome: outcome, Code: code, Seconds: seconds})
		}
	}
	observe(100*time.Hour, 50, scheduler.Failed, "", 1) // older than every window
	observe(5*time.Hour, 90, scheduler.Done, "", 1)
	observe(4*time.Hour, 8, scheduler.Done, "", 31) // beyond the 30 s of the objective
	observe(time.Minute, 5, scheduler.NotRun, scheduler.CodeImpossible, 0)
	observe(time.Minute, 5, scheduler.NotRun, scheduler.CodeCancelled, 0)
	observe(time.Minute, 1, scheduler.Unknown, "", 1)
	observe(time.Minute, 1, scheduler.NotRun, scheduler.CodeQueueFull, 0)
	rows := e.Report(now, []parser.Objective{
		{Service: "s", Target: 0.9, Within: parser.Duration(30 * time.Second)},
		{Service: "s", Organisation: "other", Target: 0.9, Within: parser.Duration(30 * time.Second)},
	})
	is.Equal(len(rows), 8)
	is.Equal(rows[0].Jobs, 2) // 5 minutes
	is.Equal(rows[0].Bad, 2)
	is.True(rows[0].Burn > 9.99 && rows[0].Burn < 10.01)
	is.Equal(rows[2].Jobs, 100) // 6 hours
	is.Equal(rows[2].Bad, 10)
	is.True(rows[2].Burn > 0.99 && rows[2].Burn < 1.01)
	is.Equal(rows[7].Jobs, 0) // another organisation
	is.Equal(rows[7].Budget, 1.0)
}
