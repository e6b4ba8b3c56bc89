package coordinator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/placer"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestIdleWaitIsInterrupted guards against a wait beside idle workers that begins anew with each pass in which half of the pool is
// in use, or with each start that comes to nothing, and against one that goes on after the pool was busy for long.
func TestIdleWaitIsInterrupted(t *testing.T) {
	for _, c := range []struct {
		name         string
		idle, others time.Duration // lengths of the two in turn
		blocked      bool          // the step is blocked in the others, in which half of the pool is in use
		want         time.Duration
	}{
		{"busy passes", 400 * time.Millisecond, 400 * time.Millisecond, true, 2 * time.Second},
		{"starts that come to nothing", time.Second, 500 * time.Millisecond, false, 5 * time.Second},
		{"busy for long", time.Second, 4 * time.Second, true, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			is.Equal(f.submit(t, "/q/a", "k1"), StatusOK)
			f.state.Job("a").Step(0, 0).Tasks[0].Crashes = []tracker.Crash{{Worker: "w"}}
			key := placer.StepKey{Job: "a"}
			pass := func(length time.Duration, blocked ...placer.Blocked) {
				for at := time.Duration(0); at < length; at += 50 * time.Millisecond {
					f.recordBlocked(f.state, placer.Plan{Blocked: blocked})
					f.now = f.now.Add(50 * time.Millisecond)
				}
			}
			for n := range 5 {
				if n > 0 && c.blocked {
					pass(c.others, placer.Blocked{Key: key})
				} else if n > 0 {
					pass(c.others)
				}
				pass(c.idle, placer.Blocked{Key: key, Idle: true})
			}
			is.True(f.waitOf(key).Idle >= c.want-100*time.Millisecond)
			is.True(f.waitOf(key).Idle <= c.want+300*time.Millisecond)
		})
	}
}

// TestRunAtWorkEndsIdleWait guards against a step that keeps an old wait, and so drops its preferences, after a run of it was at work.
func TestRunAtWorkEndsIdleWait(t *testing.T) {
	f := newCrashFixture(t, "a")
	key := placer.StepKey{Job: "a"}
	born := f.now.Add(-time.Minute)
	runs := f.begin(t, "w0", born)
	f.is.Equal(len(runs), 1)
	f.state.Job("a").Step(0, 0).Tasks[0].Crashes = []tracker.Crash{{Worker: "v"}}
	f.idleWaits[key] = idleWait{total: time.Minute, at: f.now}
	for _, want := range []time.Duration{time.Minute, time.Minute, 0} {
		f.now = f.now.Add(300 * time.Millisecond)
		f.reportFrom(t, "w0", born, listing(runs))
		f.Pass(context.Background())
		f.is.Equal(f.waitOf(key).Idle, want)
	}
}

// TestCrashWavesHoldNoTaskForLong guards against a task that has lost its workers a few times and is held for as long as a part of
// the others crashes again and again.
func TestCrashWavesHoldNoTaskForLong(t *testing.T) {
	for _, crashes := range []int{2, 3} {
		t.Run(fmt.Sprint(crashes), func(t *testing.T) {
			f := newPoweredFleet(t, 12)
			for range 40 {
				f.step(t)
			}
			wave := func(n int) {
				if n%4 != 0 {
					return
				}
				for i := range 4 {
					if w := f.workers[(n+i)%len(f.workers)]; len(w.running) == 0 {
						f.restart(w)
					}
				}
			}
			for n := range 24 {
				wave(n)
				f.step(t)
			}
			f.state.Apply(&messages.QueueChange{Submits: []*messages.Work{{
				Id: "a", Queue: "q", Pool: "p", Priority: 1, Attempts: 3, Steps: []*messages.Step{{Count: 1, Processors: 5000, Estimate: 60_000}},
			}}})
			f.crashAll(1, crashes)
			begin := f.now
			for n := 0; len(f.runningJobs()) == 0 && f.now.Sub(begin) < 30*time.Second; n++ {
				wave(n)
				f.step(t)
			}
			if waited := f.now.Sub(begin); waited >= maxIdleTime {
				t.Errorf("the task has waited for %v", waited)
			}
		})
	}
}

// TestStopEndsIdleWait guards against a step that has waited long beside idle workers, starts regardless of what is reserved, is
// stopped for urgent work and starts there again, without end: 7,426 of 8,274 runs were stopped in a run of TestSoakCrashingTasks.
func TestStopEndsIdleWait(t *testing.T) {
	is := is.New(t)
	f := newBusyFixture(t)
	key := placer.StepKey{Job: "low"}
	f.idleWaits[key] = idleWait{total: time.Minute, at: f.now}
	f.state.Apply(&messages.QueueChange{Submits: []*messages.Work{{
		Id: "urgent", Queue: "q", Pool: "p", Attempts: 2, Steps: []*messages.Step{{Count: 1, Processors: 8000, Estimate: 1000}},
	}}})
	f.report(t, 7, placed)
	clear(f.progress) // the run has just started
	f.Pass(context.Background())
	is.Equal(len(f.stopping), 1)
	is.Equal(f.waitOf(key).Idle, time.Duration(0))
}
