package coordinator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestLongWorkClearsSuspicion guards against an innocent task that is given up for crashes hours apart: between them
// it has been at work each time, but no run of it has ended other than with its worker.
func TestLongWorkClearsSuspicion(t *testing.T) {
	f := newCrashFixture(t, "a")
	lose := func(worker string) {
		f.now = f.now.Add(100 * time.Millisecond)
		f.reportFrom(t, worker, f.now, func(r *messages.FleetReport) { r.Processors = 0 })
		f.Pass(context.Background())
	}
	for i := range 3 {
		f.is.Equal(len(f.begin(t, fmt.Sprintf("w%d", i), f.now.Add(-time.Minute))), 1)
		lose(fmt.Sprintf("w%d", i))
		if f.state.Job("a").Ended() {
			t.Fatalf("job is %s after %d crashes as it started, and an hour at work after each other one", f.state.Job("a").Phase, i+1)
		}
		born := f.now.Add(-time.Minute)
		runs := f.begin(t, fmt.Sprintf("w%d", i+3), born)
		f.is.Equal(len(runs), 1)
		for range 3600 {
			f.now = f.now.Add(time.Second)
			f.reportFrom(t, fmt.Sprintf("w%d", i+3), born, listing(runs))
			f.Pass(context.Background())
		}
		lose(fmt.Sprintf("w%d", i+3))
	}
}

// standIn is a worker that starts what it is told to.
type standIn struct {
	id      string
	address string
	labels  []string
	born    time.Time
	up      bool
	running []*messages.Run
}

// poweredFleet is a fleet of workers that lose power together.
type poweredFleet struct {
	*crashFixture
	workers []*standIn
}

func newPoweredFleet(t *testing.T, n int) *poweredFleet {
	f := &poweredFleet{crashFixture: newCrashFixture(t)}
	for i := range n {
		id := fmt.Sprintf("w%02d", i)
		f.workers = append(f.workers, &standIn{id: id, address: "10.0.0.1:" + id, born: f.now.Add(-time.Minute), up: true})
	}
	return f
}

// stepInterval is the time between two reports of a worker of a poweredFleet.
const stepInterval = 250 * time.Millisecond

// step lets all workers report and the leader decide. It returns the number of tasks at work.
func (f *poweredFleet) step(t *testing.T) int {
	f.now = f.now.Add(stepInterval)
	n := 0
	for _, w := range f.workers {
		if !w.up {
			continue
		}
		f.sequence++
		o := f.report(t, f.sequence, func(r *messages.FleetReport) {
			r.Worker, r.Born, r.Address, r.Labels = w.id, w.born.UnixMilli(), w.address, w.labels
			listing(w.running)(r)
		})
		for _, s := range o.GetStarts() {
			w.running = append(w.running, s.GetRun())
		}
		n += len(w.running)
	}
	f.Pass(context.Background())
	return n
}

// losePower ends all workers and starts them again two seconds later.
func (f *poweredFleet) losePower(t *testing.T) {
	for _, w := range f.workers {
		w.up, w.running = false, nil
	}
	for range 8 {
		f.step(t)
	}
	for _, w := range f.workers {
		w.up, w.born = true, f.now
	}
}

func (f *poweredFleet) submitLasting(tasks int32) {
	f.state.Apply(&messages.QueueChange{Submits: []*messages.Work{{
		Id: "a", Queue: "q", Pool: "p", Priority: 1, Attempts: 3,
		Steps: []*messages.Step{{Count: tasks, Processors: 5000, Lasting: true, Estimate: 1000}},
	}}})
}

// maxLastingGap is the 6 s and the 3 s after which a task that lasts counts as lost while there is capacity.
const maxLastingGap = 9 * time.Second

func (f *poweredFleet) checkAllAtWork(t *testing.T, want int) {
	t.Helper()
	back := f.now
	first := time.Duration(-1)
	for f.now.Sub(back) < time.Minute {
		n := f.step(t)
		if n > 0 && first < 0 {
			first = f.now.Sub(back)
		}
		if n == want {
			break
		}
	}
	if took := f.now.Sub(back); took > maxLastingGap {
		t.Errorf("first of %d tasks is at work %v after the workers are back, all of them after %v, want %v; job %s", want, first, took, maxLastingGap, f.state.Job("a").Phase)
	}
}

// TestLastingTasksReturnAfterPowerLoss guards against lasting tasks that wait for one another's trials though the
// service is idle: all were starting when all workers lost power.
func TestLastingTasksReturnAfterPowerLoss(t *testing.T) {
	f := newPoweredFleet(t, 24)
	f.submitLasting(12)
	for f.step(t) < 12 {
	}
	f.losePower(t)
	f.checkAllAtWork(t, 12)
}

// TestLastingTaskReturnsAfterSecondPowerLoss guards against a task that waits for workers that have been up for long
// when there are none, as after a loss of power.
func TestLastingTaskReturnsAfterSecondPowerLoss(t *testing.T) {
	f := newPoweredFleet(t, 24)
	f.submitLasting(1)
	for f.step(t) < 1 {
	}
	f.losePower(t)
	for f.step(t) < 1 {
	}
	f.losePower(t)
	f.checkAllAtWork(t, 1)
}

// TestPowerLossesFailNoLastingJob guards against a lasting job that is given up after a few losses of power days apart.
func TestPowerLossesFailNoLastingJob(t *testing.T) {
	f := newPoweredFleet(t, 24)
	f.submitLasting(1)
	for i := range 5 {
		for n := 0; f.step(t) < 1 && n < 240; n++ {
		}
		f.losePower(t)
		for range 240 {
			f.step(t)
		}
		if f.state.Job("a").Ended() {
			t.Fatalf("job is %s after %d losses of power, a minute at work after each", f.state.Job("a").Phase, i+1)
		}
		f.losePower(t) // this one while the task is at work
	}
}

// TestCrashOfWorkerWithFastClockCounts guards against a worker whose clock is ahead: it is young for ever, so that its
// crashes never speak against a task alone, and a task with two crashes never starts on it.
func TestCrashOfWorkerWithFastClockCounts(t *testing.T) {
	t.Run("evidence", func(t *testing.T) {
		f := newCrashFixture(t, "a")
		born := f.now.Add(time.Hour)
		for range 100 {
			f.reportFrom(t, "w1", born, nil)
			f.now = f.now.Add(250 * time.Millisecond)
		}
		f.Pass(context.Background())
		f.is.Equal(len(f.reportFrom(t, "w1", born, nil).GetStarts()), 1)
		f.now = f.now.Add(100 * time.Millisecond)
		f.reportFrom(t, "w1", born.Add(time.Minute), nil)
		f.is.Equal(len(f.crashesOf("a")), 1)
		f.is.True(f.crashesOf("a")[0].Alone) // the leader has known the worker for 25 s
	})
	t.Run("trial", func(t *testing.T) {
		f := newPoweredFleet(t, 4)
		for _, w := range f.workers {
			w.born = f.now.Add(time.Hour)
		}
		f.submitLasting(1)
		for n := range uint32(2) {
			f.state.Apply(&messages.QueueChange{Starts: []*messages.Run{{Job: "a", Number: n + 1, Worker: "x", Born: 1}}})
			f.state.Apply(&messages.QueueChange{Ends: []*messages.WorkerEnds{{
				Worker: "x", Born: 1, Over: true, Crashes: []*messages.Crash{{Job: "a", Number: n + 1}},
			}}})
		}
		for range 40 {
			f.step(t)
		}
		f.checkAllAtWork(t, 1)
	})
}

// TestRunListedOnceToNewLeaderMayCrashItsWorker guards against a deadly task without evidence: its run is listed once,
// to a new leader, by the last report before the crash.
func TestRunListedOnceToNewLeaderMayCrashItsWorker(t *testing.T) {
	f := newCrashFixture(t, "a")
	for i := range 6 {
		worker, born := fmt.Sprintf("w%d", i), f.now.Add(-time.Minute)
		runs := f.begin(t, worker, born)
		if len(runs) == 0 {
			return
		}
		f.leaderTerm++
		f.now = f.now.Add(10 * time.Millisecond)
		f.reportFrom(t, worker, born, listing(runs))
		f.now = f.now.Add(3 * time.Second)
		f.reportFrom(t, worker, f.now, func(r *messages.FleetReport) { r.Processors = 0 })
		f.Pass(context.Background())
	}
	t.Errorf("a task has started six times, 10 ms before the crash of a worker each time; %d crashes recorded", len(f.crashesOf("a")))
}

// TestYoungWorkerIsNotOldByAClockStep guards against evidence that a stepped clock makes: a leader whose clock is ahead
// must not take a young worker for an old one.
func TestYoungWorkerIsNotOldByAClockStep(t *testing.T) {
	f := newCrashFixture(t, "a")
	born := f.now
	f.reportFrom(t, "w1", born, nil)
	wall := f.now.Add(time.Hour)
	f.opts.Wall = func() time.Time { return wall }
	f.Pass(context.Background())
	f.is.Equal(len(f.reportFrom(t, "w1", born, nil).GetStarts()), 1)
	f.now = f.now.Add(100 * time.Millisecond)
	f.reportFrom(t, "w1", f.now, nil)
	f.is.Equal(len(f.crashesOf("a")), 1)
	f.is.True(!f.crashesOf("a")[0].Alone) // the worker had been up for 100 ms
}
