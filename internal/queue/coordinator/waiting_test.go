package coordinator

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/placer"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

const (
	arrivalTime = 12 * time.Second // in which jobs come and workers are lost
	calmTime    = 3 * time.Second  // after it, until a job may no longer wait beside idle workers
	checkTime   = 23 * time.Second // for which that is checked

	workerProcessors = 8000 // of each worker of a fixture
)

// plannedJob is a job of a drawn load.
type plannedJob struct {
	id       string
	step     *messages.Step
	priority int32
	at       time.Duration
	length   time.Duration // of its runs
	failures uint32        // runs of each task that fail first
	failTime time.Duration
}

func drawJob(t *rapid.T, id string) *plannedJob {
	duration := func(most int, name string) time.Duration {
		return time.Duration(rapid.IntRange(1, most).Draw(t, name)) * 100 * time.Millisecond
	}
	j := &plannedJob{id: id, at: duration(120, "at"), length: duration(400, "length"), failTime: duration(10, "failTime")}
	j.priority = int32(rapid.IntRange(0, 2).Draw(t, "priority"))
	j.failures = uint32(rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "failures"))
	j.step = &messages.Step{
		Count:      int32(rapid.IntRange(1, 6).Draw(t, "count")),
		Processors: int64(rapid.SampledFrom([]int{500, 2000, 4000, 8000}).Draw(t, "processors")),
		Estimate:   duration(600, "estimate").Milliseconds(),
		Gang:       rapid.Bool().Draw(t, "gang"), Compact: rapid.Bool().Draw(t, "compact"),
		Spread: int32(rapid.SampledFrom([]int{0, 0, 1, 2}).Draw(t, "spread")),
		Label:  rapid.SampledFrom([]string{"", "", "first"}).Draw(t, "label"),
	}
	if rapid.IntRange(0, 3).Draw(t, "lasting") == 0 {
		j.step.Lasting, j.step.Gang = true, false
	}
	return j
}

// idleTimes measures how long tasks have waited beside idle workers.
type idleTimes struct {
	fleet   *rackFleet
	lastRun map[tracker.TaskKey]time.Time
	since   map[tracker.TaskKey]time.Time
}

// observe returns the longest time for which a job, or a task of a lasting one, has had nothing running though a task's
// turn has come, there is capacity for it twice over, and less than half of the capacity is in use.
func (i *idleTimes) observe() (time.Duration, string) {
	f := i.fleet
	longest, what := time.Duration(0), ""
	used, workers := f.used()
	idlePool := 2*used < int64(workers)*workerProcessors
	for _, j := range f.state.Open() {
		s := j.Step(0, 0)
		for n := range s.Tasks {
			key := tracker.TaskKey{Job: j.Work.GetId(), Task: int32(n)}
			if s.Tasks[n].Active > 0 {
				i.lastRun[key] = f.now
			}
			lasting := s.Spec.GetLasting()
			waits := !j.Ended() && !s.Tasks[n].Done && s.Tasks[n].Active == 0 && (lasting || j.Active() == 0)
			if lasting {
				waits = waits && f.now.Sub(i.lastRun[key]) >= maxLastingGap-maxIdleTime
			} else {
				waits = waits && idlePool
			}
			if !waits || !f.hasRoomTwice(s) {
				delete(i.since, key)
				continue
			}
			if i.since[key].IsZero() {
				i.since[key] = f.now
			}
			if idle := f.now.Sub(i.since[key]); idle > longest {
				longest, what = idle, fmt.Sprintf("task %d of %s", n, j.Work)
			}
		}
	}
	return longest, what
}

// used returns the processors in use on the workers that are not evacuated, and the number of these.
func (f *rackFleet) used() (total int64, workers int) {
	for _, id := range f.workers {
		if !f.isEvacuated(id) {
			total += f.usedOn(id)
			workers++
		}
	}
	return total, workers
}

func (f *rackFleet) isEvacuated(id string) bool { return f.state.IsEvacuated(f.place[rackOf(id)]) }

func (f *rackFleet) usedOn(id string) int64 {
	total := int64(0)
	for key := range f.state.RunsOn(id) {
		total += f.state.Job(key.Job).Step(0, 0).Spec.GetProcessors()
	}
	return total
}

// hasRoomTwice reports whether there is room for a gang, or for one of several tasks, twice over.
func (f *rackFleet) hasRoomTwice(s *tracker.Step) bool {
	want := 2
	if s.Spec.GetGang() {
		want = 2 * len(s.Tasks)
	}
	fits := 0
	for _, id := range f.workers {
		if s.Spec.GetLabel() != "" && !isFirst(id) || f.isEvacuated(id) {
			continue
		}
		limit := want
		if spread := int(s.Spec.GetSpread()); spread > 0 {
			limit = spread
			for key := range f.state.RunsOn(id) {
				if f.state.Job(key.Job).Step(0, 0) == s {
					limit--
				}
			}
		}
		free := placer.Vector{Processors: workerProcessors - f.usedOn(id)}
		fits += free.Fits(placer.Need(s.Spec), max(limit, 0))
	}
	return fits >= want
}

// TestNoJobWaitsBesideIdleWorkers guards against work that waits for a condition which other work can keep from ever being
// true: an empty rack, workers that nothing speaks against, workers that are not reserved. Random gangs, lasting tasks,
// failures, losses of workers, crashes after which they start again, and evacuations of racks, some of which last, come
// first. The loads are the same in each run unless -rapid.seed draws others.
func TestNoJobWaitsBesideIdleWorkers(outer *testing.T) {
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		if err := seed.Value.Set("1"); err != nil {
			outer.Fatal(err)
		}
	}
	rapid.Check(outer, func(t *rapid.T) {
		var jobs []*plannedJob
		for n := range rapid.IntRange(1, 10).Draw(t, "jobs") {
			jobs = append(jobs, drawJob(t, fmt.Sprintf("j%d", n)))
		}
		f := newRackFleet(rapid.IntRange(2, 4).Draw(t, "racks"), func(_ string, run *messages.Run, elapsed time.Duration) string {
			j := jobs[slices.IndexFunc(jobs, func(j *plannedJob) bool { return j.id == run.GetJob() })]
			switch {
			case (run.GetNumber() <= j.failures || j.step.GetLasting() && j.failures == 2) && elapsed >= j.failTime:
				return tracker.EndFailed
			case !j.step.GetLasting() && elapsed >= j.length:
				return tracker.EndDone
			}
			return ""
		})
		losses := map[int]bool{}
		for range rapid.IntRange(0, 3).Draw(t, "losses") {
			losses[rapid.IntRange(1, int(arrivalTime/testInterval)).Draw(t, "loss")] = true
		}
		restarts := map[int]int{} // how many workers restart
		for range rapid.IntRange(0, 4).Draw(t, "storms") {
			first, period := rapid.IntRange(1, int(arrivalTime/testInterval)).Draw(t, "storm"), rapid.IntRange(8, 60).Draw(t, "period")
			share := rapid.IntRange(1, len(f.workers)).Draw(t, "restarting")
			for n := range rapid.IntRange(1, 6).Draw(t, "crashes") {
				if at := first + n*period; at <= int(arrivalTime/testInterval) {
					restarts[at] = max(restarts[at], share)
				}
			}
		}
		evacuations := map[int][]*messages.EvacuationOrder{}
		for range rapid.IntRange(0, 3).Draw(t, "evacuations") {
			at := rapid.IntRange(1, int(arrivalTime/testInterval)).Draw(t, "evacuation")
			o := &messages.EvacuationOrder{Place: fmt.Sprintf("r%d", rapid.IntRange(0, 1).Draw(t, "rack"))}
			evacuations[at] = append(evacuations[at], o)
			if length := rapid.IntRange(0, 80).Draw(t, "evacuated"); length > 0 && at+length <= int(arrivalTime/testInterval) {
				evacuations[at+length] = append(evacuations[at+length], &messages.EvacuationOrder{Place: o.GetPlace(), Over: true})
			}
		}
		f.place = map[string]string{"r0": "r0", "r1": "r1"}
		idle := &idleTimes{fleet: f, lastRun: map[tracker.TaskKey]time.Time{}, since: map[tracker.TaskKey]time.Time{}}
		for n := range int((arrivalTime + calmTime + checkTime) / testInterval) {
			elapsed := time.Duration(n) * testInterval
			for _, j := range jobs {
				if j.at == elapsed {
					f.state.Apply(&messages.QueueChange{Submits: []*messages.Work{{
						Id: j.id, Queue: "q", Pool: "p", Priority: j.priority, Attempts: 3, Objective: 20_000, Steps: []*messages.Step{j.step},
					}}})
				}
			}
			for _, o := range evacuations[n] {
				f.order(outer, o.GetPlace(), o.GetOver())
			}
			if losses[n] {
				f.workers = f.workers[1:]
			}
			for i := range restarts[n] {
				f.restart(f.workers[(n+i)%len(f.workers)])
			}
			f.step(outer)
			if longest, what := idle.observe(); elapsed > arrivalTime+calmTime && longest > maxIdleTime {
				used, workers := f.used()
				t.Fatalf("%v after the start: %s has waited for %v, %d of %d processors are in use", elapsed, what, longest, used, workers*workerProcessors)
			}
		}
	})
}
