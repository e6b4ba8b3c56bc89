package placer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// submitFor submits a job of one step for an organisation.
func submitFor(tr *tracker.Tracker, org, id string, priority int32, s *messages.Step) {
	s.Estimate = 60_000
	tr.Apply(&messages.QueueChange{Submits: []*messages.Work{
		{Id: id, Organisation: org, Priority: priority, Attempts: 3, Objective: 60_000, Steps: []*messages.Step{s}},
	}})
}

// settle runs passes whose stops and starts take effect at once, until one plans nothing. It returns the runs that were
// stopped.
func settle(tr *tracker.Tracker, workers []*Worker, guarantees map[string]int64) (stopped []*ActiveRun) {
	for range 50 {
		in := input(workers, tr)
		in.Guarantee = func(org string) int64 { return guarantees[org] }
		in.Age = func(*tracker.Job) time.Duration { return reclaimDelay }
		plan := NewPlan(in)
		if len(plan.Stops)+len(plan.Starts) == 0 {
			break
		}
		for _, r := range plan.Starts {
			w := workers[slices.IndexFunc(workers, func(w *Worker) bool { return w.ID == r.GetWorker() })]
			tr.Apply(&messages.QueueChange{Starts: []*messages.Run{r}})
			j := tr.Job(r.GetJob())
			s := j.Step(0, 0)
			w.Free = w.Free.Sub(Need(s.Spec))
			w.Runs = append(w.Runs, &ActiveRun{Key: tracker.KeyOf(r), Job: j, Step: s, Need: Need(s.Spec), Unsaved: 1e9, Remaining: 60e9, AtWork: true})
		}
		for _, a := range plan.Stops {
			stopped = append(stopped, a)
			for _, w := range workers {
				i := slices.Index(w.Runs, a)
				if i < 0 {
					continue
				}
				w.Runs = slices.Delete(w.Runs, i, i+1)
				w.Free = w.Free.Add(a.Need)
				tr.Apply(&messages.QueueChange{Ends: []*messages.WorkerEnds{{Worker: w.ID, Born: 1, Ends: []*messages.End{{
					Job: a.Key.Job, Task: a.Key.Task, Number: a.Key.Number, How: tracker.EndStopped,
				}}}}})
			}
		}
	}
	return stopped
}

// TestGuaranteesAreReclaimed guards against accelerators that are guaranteed to an organisation and that others keep: with
// lasting tasks, or with urgent work beyond their own guarantee. Any order of jobs of any kind must leave each
// organisation what its urgent jobs need within its guarantee.
func TestGuaranteesAreReclaimed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := tracker.New()
		workers := fleet(rapid.IntRange(2, 6).Draw(t, "workers"))
		size := rapid.SampledFrom([]int64{1, 2, 4, 8}).Draw(t, "accelerators") // of an urgent task
		perOrg := 8 * int64(len(workers)) / 2 / size * size
		guarantees := map[string]int64{"a": perOrg, "b": perOrg}
		for i := range rapid.IntRange(1, 8).Draw(t, "jobs") {
			org := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "organisation")
			priority := rapid.Int32Range(0, 2).Draw(t, "priority")
			s := &messages.Step{
				Count: rapid.Int32Range(1, 12).Draw(t, "count"), Processors: 100, Accelerators: size,
				Gang: rapid.Bool().Draw(t, "gang"), Lasting: rapid.Bool().Draw(t, "lasting"),
			}
			if priority > 0 {
				s.Accelerators = rapid.Int64Range(1, 8).Draw(t, "lower accelerators")
			}
			submitFor(tr, org, fmt.Sprintf("job%02d", i), priority, s)
			settle(tr, workers, guarantees)
		}
		demand := map[string]int64{}
		for _, j := range tr.Open() {
			if isUrgent(j) {
				demand[j.Work.GetOrganisation()] += accelerators(j)
			}
		}
		for _, j := range tr.Open() {
			org := j.Work.GetOrganisation()
			if isUrgent(j) && demand[org] <= guarantees[org] && j.Active() < int(j.Work.GetSteps()[0].GetCount()) {
				t.Fatalf("%s of %s has %d of %d tasks at work, though its organisation needs %d of %d accelerators", j.Work.GetId(), org,
					j.Active(), j.Work.GetSteps()[0].GetCount(), demand[org], guarantees[org])
			}
		}
	})
}

// TestReclaimBearsAbsence guards against a guarantee that takes more tasks of a service away at one time than it bears.
func TestReclaimBearsAbsence(t *testing.T) {
	is := is.New(t)
	tr := tracker.New()
	workers := fleet(4)
	guarantees := map[string]int64{"a": 16, "b": 16}
	submitFor(tr, "b", "service", 2, &messages.Step{Count: 4, Processors: 100, Accelerators: 8, Lasting: true, Absent: 1})
	settle(tr, workers, guarantees)
	is.Equal(tr.Job("service").Active(), 4)
	submitFor(tr, "a", "urgent", 0, &messages.Step{Count: 2, Processors: 100, Accelerators: 8})
	is.Equal(len(settle(tr, workers, guarantees)), 1)
	is.Equal(tr.Job("service").Active(), 3)
	is.Equal(tr.Job("urgent").Active(), 1)
}

// TestReclaimTakesOtherWorkFirst guards against a service that is stopped though other work could make room.
func TestReclaimTakesOtherWorkFirst(t *testing.T) {
	is := is.New(t)
	tr := tracker.New()
	workers := fleet(2)
	guarantees := map[string]int64{"a": 8}
	submitFor(tr, "b", "service", 2, &messages.Step{Count: 1, Processors: 100, Accelerators: 8, Lasting: true})
	submitFor(tr, "b", "batch", 1, &messages.Step{Count: 8, Processors: 100, Accelerators: 1})
	settle(tr, workers, guarantees)
	submitFor(tr, "a", "urgent", 0, &messages.Step{Count: 1, Processors: 100, Accelerators: 8})
	for _, a := range settle(tr, workers, guarantees) {
		is.Equal(a.Key.Job, "batch")
	}
	is.Equal(tr.Job("urgent").Active(), 1)
}

// TestReclaimLeavesOthersTheirGuarantee guards against an organisation that loses all that is guaranteed to it because it has
// asked for more.
func TestReclaimLeavesOthersTheirGuarantee(t *testing.T) {
	for _, serviceFirst := range []bool{false, true} {
		is := is.New(t)
		tr := tracker.New()
		workers := fleet(3)
		guarantees := map[string]int64{"a": 8, "c": 16}
		service := func() {
			submitFor(tr, "b", "service", 2, &messages.Step{Count: 1, Processors: 100, Accelerators: 8, Lasting: true})
			settle(tr, workers, guarantees)
		}
		if serviceFirst {
			service()
		}
		for _, id := range []string{"a1", "a2"} { // twice the guarantee
			submitFor(tr, "a", id, 0, &messages.Step{Count: 1, Processors: 100, Accelerators: 8})
			settle(tr, workers, guarantees)
		}
		if !serviceFirst {
			service()
		}
		submitFor(tr, "c", "claim", 0, &messages.Step{Count: 2, Processors: 100, Accelerators: 8})
		settle(tr, workers, guarantees)
		is.Equal(tr.Job("claim").Active(), 2)
		is.Equal(tr.Job("a1").Active()+tr.Job("a2").Active(), 1)
		is.Equal(tr.Job("service").Active(), 0)
	}
}

// TestReclaimIsForAcceleratorsOnly guards against work without accelerators, for which nothing can be guaranteed, that stops
// services and urgent work of others.
func TestReclaimIsForAcceleratorsOnly(t *testing.T) {
	is := is.New(t)
	tr := tracker.New()
	workers := fleet(1)
	submitFor(tr, "b", "service", 2, &messages.Step{Count: 1, Processors: 64_000, Lasting: true})
	settle(tr, workers, nil)
	submitFor(tr, "nobody", "urgent", 0, &messages.Step{Count: 1, Processors: 1000})
	is.Equal(len(settle(tr, workers, nil)), 0)
}

// TestReclaimFromGangOnOneWorker guards against a lasting gang that is not stopped for a guarantee because its members on one
// worker count as absent for each other.
func TestReclaimFromGangOnOneWorker(t *testing.T) {
	is := is.New(t)
	tr := tracker.New()
	workers := fleet(1)
	guarantees := map[string]int64{"a": 8}
	submitFor(tr, "b", "service", 2, &messages.Step{Count: 2, Processors: 100, Accelerators: 4, Gang: true, Lasting: true, Absent: 2})
	settle(tr, workers, guarantees)
	submitFor(tr, "a", "urgent", 0, &messages.Step{Count: 1, Processors: 100, Accelerators: 8})
	is.Equal(len(settle(tr, workers, guarantees)), 2)
	is.Equal(tr.Job("urgent").Active(), 1)
}

// TestReclaimSparesHigherPriority guards against runs of a queue with a negative priority, which goes before 0, that are stopped
// again and again for urgent work within its guarantee.
func TestReclaimSparesHigherPriority(t *testing.T) {
	for _, lasting := range []bool{false, true} {
		is := is.New(t)
		tr := tracker.New()
		workers := fleet(1)
		guarantees := map[string]int64{"a": 8}
		submitFor(tr, "b", "first", -1, &messages.Step{Count: 1, Processors: 100, Accelerators: 8, Lasting: lasting})
		settle(tr, workers, guarantees)
		submitFor(tr, "a", "urgent", 0, &messages.Step{Count: 1, Processors: 100, Accelerators: 8})
		is.Equal(len(settle(tr, workers, guarantees)), 0)
	}
}

// TestReclaimBearsAbsenceOfUrgentService guards against a service of priority 0 of which more tasks are stopped than may be away
// (AVAIL, bothstopped).
func TestReclaimBearsAbsenceOfUrgentService(t *testing.T) {
	is := is.New(t)
	tr := tracker.New()
	workers := fleet(2)
	guarantees := map[string]int64{"a": 16}
	submitFor(tr, "b", "service", 0, &messages.Step{Count: 2, Processors: 100, Accelerators: 8, Lasting: true, Absent: 1})
	settle(tr, workers, guarantees)
	is.Equal(tr.Job("service").Active(), 2)
	submitFor(tr, "a", "urgent", 0, &messages.Step{Count: 2, Processors: 100, Accelerators: 8})
	is.Equal(len(settle(tr, workers, guarantees)), 1)
	is.Equal(tr.Job("service").Active(), 1)
}

// TestReclaimAwaitsStartups guards against a task of a service that is stopped while another one, which was stopped before, has not
// finished its startup (AVAIL, allowmiss).
func TestReclaimAwaitsStartups(t *testing.T) {
	for _, atWork := range []bool{true, false} {
		is := is.New(t)
		tr := tracker.New()
		workers := fleet(2)
		submitFor(tr, "b", "service", 2, &messages.Step{Count: 2, Processors: 100, Accelerators: 8, Lasting: true, Absent: 1})
		occupy(tr, "service", workers...)
		workers[0].Runs[0].AtWork = atWork
		submitFor(tr, "a", "urgent", 0, &messages.Step{Count: 1, Processors: 100, Accelerators: 8, Label: "a"})
		workers[1].Labels = []string{"a"}
		in := input(workers, tr)
		in.Age = func(*tracker.Job) time.Duration { return reclaimDelay }
		is.Equal(len(NewPlan(in).Stops) == 1, atWork)
	}
}
