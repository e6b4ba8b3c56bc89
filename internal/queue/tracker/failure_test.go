package tracker

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestEndsCountOnce guards against a job that fails without cause, as one failed run counts twice, or one that ended in
// another way counts at all. Its tasks have two attempts.
func TestEndsCountOnce(t *testing.T) {
	failed, later := end("j", 0, 1, EndFailed), end("j", 0, 2, EndFailed)
	recovered, other := end("j", 0, 1, EndRecovered), end("j", 1, 1, EndFailed)
	restart := &messages.QueueChange{Starts: []*messages.Run{start("j", 0, 2, "w3")}}
	listed := func(worker string, born int64, over bool, ends ...*messages.End) *messages.QueueChange {
		return &messages.QueueChange{Ends: []*messages.WorkerEnds{{Worker: worker, Born: born, Sequence: 1, Over: over, Ends: ends}}}
	}
	for _, test := range []struct {
		name     string
		gang     bool
		changes  []*messages.QueueChange
		failures uint32
		phase    Phase
	}{
		{"listed again", false, []*messages.QueueChange{ended("w1", 1, failed), ended("w1", 1, failed), ended("w1", 2, failed)}, 1, Running},
		{"listed twice at once", false, []*messages.QueueChange{ended("w1", 1, failed, failed)}, 1, Running},
		{"listed again after a restart of the task", false, []*messages.QueueChange{ended("w1", 1, failed), restart, ended("w1", 1, failed)}, 1, Running},
		{"listed by another worker", false, []*messages.QueueChange{ended("w2", 1, failed), ended("w3", 1, failed)}, 0, Running},
		{"listed by the next incarnation", false, []*messages.QueueChange{listed("w1", 2, false, failed), listed("w1", 2, false, failed)}, 0, Running},
		{"listed after the loss of the worker", false, []*messages.QueueChange{listed("w1", 1, true), ended("w1", 1, failed)}, 0, Running},
		{"listed with the loss of the worker", false, []*messages.QueueChange{listed("w1", 1, true, failed), listed("w1", 1, true, failed)}, 1, Running},
		{"stopped, then failed", false, []*messages.QueueChange{ended("w1", 1, end("j", 0, 1, EndStopped)), ended("w1", 2, failed)}, 0, Running},
		{"refused, then failed", false, []*messages.QueueChange{ended("w1", 1, end("j", 0, 1, EndRefused)), ended("w1", 2, failed)}, 0, Running},
		{"failed, then recovered", false, []*messages.QueueChange{ended("w1", 1, failed), restart, ended("w1", 2, recovered), ended("w3", 1, later)}, 1, Running},
		{"members of one run", true, []*messages.QueueChange{ended("w1", 1, failed), ended("w2", 1, other)}, 1, Running},
		{"members of one run, one of them twice", true, []*messages.QueueChange{ended("w1", 1, failed, failed), ended("w2", 1, other), ended("w1", 1, failed)}, 1, Running},
		{"a member fails, the others end with it", true, []*messages.QueueChange{ended("w1", 1, failed), ended("w2", 1, end("j", 1, 1, EndGangEnded))}, 1, Running},
		{"no member fails", true, []*messages.QueueChange{ended("w1", 1, end("j", 0, 1, EndGangIncomplete)), ended("w2", 1, end("j", 1, 1, EndGangEnded))}, 0, Running},
		{"two runs", false, []*messages.QueueChange{ended("w1", 1, failed), restart, ended("w3", 1, later)}, 2, Failed},
	} {
		t.Run(test.name, func(t *testing.T) {
			for restores := range 2 {
				is := is.New(t)
				tr := New()
				w := gangJob("j", 2, 2)
				w.Steps[0].Gang = test.gang
				tr.Apply(&messages.QueueChange{Submits: []*messages.Work{w}})
				tr.Apply(&messages.QueueChange{Starts: []*messages.Run{start("j", 0, 1, "w1"), start("j", 1, 1, "w2")}})
				for _, c := range test.changes {
					tr.Apply(c)
					if restores > 0 {
						data, err := tr.Save()
						is.NoErr(err)
						tr, err = Restore(data)
						is.NoErr(err)
					}
				}
				is.Equal(tr.Job("j").Step(0, 0).Failures(0), test.failures)
				is.Equal(tr.Job("j").Phase, test.phase)
			}
		})
	}
}

// failureModel holds the numbers of the runs of each task, or gang, that have ended as failed.
type failureModel map[TaskKey][]uint32

// keyFor returns the key of a task, or of its gang.
func (failureModel) keyFor(key TaskKey, s *Step) TaskKey {
	if s.Spec.GetGang() {
		key.Task = 0
	}
	return key
}

// record records an end of an active run that is about to be applied.
func (m failureModel) record(tr *Tracker, e *messages.WorkerEnds) {
	key := EndKeyOf(e.GetEnds()[0])
	r := tr.RunsOn(e.GetWorker())[key]
	incarnation, known := tr.Incarnation(e.GetWorker())
	if r == nil || r.GetBorn() != e.GetBorn() || known && incarnation.Started > e.GetBorn() || e.GetEnds()[0].GetHow() != EndFailed {
		return
	}
	s := tr.Job(key.Job).Step(key.Occurrence, key.Step)
	if s.Done || s.Tasks[key.Task].Done {
		return
	}
	if task := m.keyFor(key.TaskKey, s); !slices.Contains(m[task], key.Number) {
		m[task] = append(m[task], key.Number)
	}
}

// drawRun returns an active run, nil if there is none.
func drawRun(t *rapid.T, tr *Tracker) *messages.Run {
	var list []*messages.Run
	tr.EachWorker(func(_ string, runs map[RunKey]*messages.Run) {
		for _, r := range runs {
			list = append(list, r)
		}
	})
	if len(list) == 0 {
		return nil
	}
	slices.SortFunc(list, compareRuns)
	return rapid.SampledFrom(list).Draw(t, "run")
}

const gangStep = 1

// isActive reports whether any task of a step of the job "j" is running.
func (t *Tracker) isActive(step int32) bool {
	return slices.ContainsFunc(t.Job("j").Step(0, step).Tasks, func(task Task) bool { return task.Active > 0 })
}

// TestFailedJobsHaveFailedRuns guards against a job that fails without cause, or goes on without limit: random starts, ends,
// losses and repetitions of ends. The failures of each task are the runs that have ended as failed, and the job has failed
// only if those of one task are as many as its attempts.
func TestFailedJobsHaveFailedRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr, model := New(), failureModel{}
		tr.Apply(&messages.QueueChange{Submits: []*messages.Work{{Id: "j", Attempts: 2, Steps: []*messages.Step{{Count: 3}, gangStep: {Count: 2, Gang: true}}}}})
		var past []*messages.WorkerEnds
		for range rapid.IntRange(1, 80).Draw(t, "changes") {
			c := &messages.QueueChange{}
			r := drawRun(t, tr)
			switch kind := rapid.IntRange(0, 5).Draw(t, "kind"); {
			case kind < 2:
				step, worker := int32(rapid.IntRange(0, 1).Draw(t, "step")), rapid.SampledFrom([]string{"w1", "w2"}).Draw(t, "worker")
				incarnation, _ := tr.Incarnation(worker)
				if step == gangStep && tr.isActive(step) {
					continue // the placer starts a gang again once all members have ended
				}
				for task := range tr.Job("j").Step(0, step).Tasks {
					number, _ := tr.Job("j").Step(0, step).NextRun(int32(task))
					c.Starts = append(c.Starts, &messages.Run{Job: "j", Step: step, Task: int32(task), Number: number, Worker: worker, Born: max(incarnation.Started, 1)})
				}
			case kind == 2 && r != nil:
				c.Ends = []*messages.WorkerEnds{{Worker: r.GetWorker(), Born: r.GetBorn() + int64(rapid.IntRange(0, 1).Draw(t, "later")), Over: true}}
			case kind == 3 && len(past) > 0:
				e := rapid.SampledFrom(past).Draw(t, "past")
				c.Ends = []*messages.WorkerEnds{e}
			case r != nil:
				how := rapid.SampledFrom([]string{EndFailed, EndFailed, EndFailed, EndStopped, EndExpired, EndGangEnded, EndRefused, EndDone, EndRecovered}).Draw(t, "how")
				e := &messages.End{Job: "j", Step: r.GetStep(), Task: r.GetTask(), Number: r.GetNumber(), How: how}
				c.Ends = []*messages.WorkerEnds{{Worker: r.GetWorker(), Born: r.GetBorn(), Sequence: 1, Ends: []*messages.End{e, e}[:rapid.IntRange(1, 2).Draw(t, "listed")]}}
				past = append(past, c.Ends[0])
			}
			for _, e := range c.Ends {
				if len(e.GetEnds()) > 0 {
					model.record(tr, e)
				}
			}
			tr.Apply(c)
			exhausted := false
			steps := tr.Job("j").Steps()
			for i := range steps {
				for k := range steps[i].Tasks {
					runs := model[model.keyFor(TaskKey{"j", 0, int32(i), int32(k)}, &steps[i])]
					if got := steps[i].Failures(int32(k)); got != uint32(len(runs)) {
						t.Fatalf("task %d of step %d has %d failures, want %d, after %v", k, i, got, len(runs), c)
					}
					exhausted = exhausted || len(runs) >= 2
				}
			}
			if failed := tr.Job("j").Phase == Failed; failed != exhausted {
				t.Fatalf("failed = %v, want %v, after %v", failed, exhausted, c)
			}
		}
	})
}
