package tracker

import (
	"bytes"
	"cmp"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

func gangJob(id string, members, attempts int32) *messages.Work {
	return &messages.Work{Id: id, Queue: "q", Attempts: attempts, Steps: []*messages.Step{{Count: members, Gang: true}}}
}

func start(job string, task int32, number uint32, worker string) *messages.Run {
	return &messages.Run{Job: job, Task: task, Number: number, Worker: worker, Born: 1}
}

func ended(worker string, sequence uint64, ends ...*messages.End) *messages.QueueChange {
	return &messages.QueueChange{Ends: []*messages.WorkerEnds{{Worker: worker, Born: 1, Sequence: sequence, Ends: ends}}}
}

func end(job string, task int32, number uint32, how string) *messages.End {
	return &messages.End{Job: job, Task: task, Number: number, How: how}
}

// TestGangCompletionAndFailures checks that a gang is complete when one member is done, and that several
// failed members of one run count as one failure.
func TestGangCompletionAndFailures(t *testing.T) {
	is := is.New(t)
	tr := New()
	tr.Apply(&messages.QueueChange{Submits: []*messages.Work{gangJob("j", 2, 2)}})
	tr.Apply(&messages.QueueChange{Starts: []*messages.Run{start("j", 0, 1, "w1"), start("j", 1, 1, "w2")}})
	tr.Apply(ended("w1", 1, end("j", 0, 1, EndFailed)))
	is.Equal(tr.Job("j").Step(0, 0).Failures(0), uint32(1))
	tr.Apply(ended("w2", 1, end("j", 1, 1, EndFailed)))
	is.Equal(tr.Job("j").Phase, Running) // both failures belong to one run
	tr.Apply(&messages.QueueChange{Starts: []*messages.Run{start("j", 0, 2, "w1"), start("j", 1, 2, "w2")}})
	tr.Apply(ended("w1", 2, end("j", 0, 2, EndDone)))
	is.Equal(tr.Job("j").Phase, Completed)
	is.Equal(tr.Job("j").Active(), 1) // the other member occupies its worker until its end is reported
	tr.Apply(ended("w2", 2, end("j", 1, 2, EndGangEnded)))
	is.Equal(tr.Job("j").Phase, Completed)
	is.Equal(len(tr.Open()), 0)
}

// TestStaleStarts checks that starts overtaken by other changes are ignored.
func TestStaleStarts(t *testing.T) {
	is := is.New(t)
	tr := New()
	tr.Apply(&messages.QueueChange{Submits: []*messages.Work{gangJob("j", 1, 2)}})
	tr.Apply(&messages.QueueChange{Starts: []*messages.Run{start("j", 0, 1, "w1")}})
	tr.Apply(&messages.QueueChange{Starts: []*messages.Run{start("j", 0, 2, "w2")}}) // a run is active
	is.Equal(len(tr.RunsOn("w2")), 0)
	tr.Apply(ended("w1", 1, end("j", 0, 1, EndStopped)))
	tr.Apply(&messages.QueueChange{Starts: []*messages.Run{start("j", 0, 1, "w2")}}) // the number is already used
	is.Equal(len(tr.RunsOn("w2")), 0)
	tr.Apply(&messages.QueueChange{Cancels: []string{"j"}})
	tr.Apply(&messages.QueueChange{Starts: []*messages.Run{start("j", 0, 2, "w2")}})
	is.Equal(len(tr.RunsOn("w2")), 0)
}

// TestNewIncarnationEndsEarlierRuns checks that a new incarnation of a worker ends the runs of the earlier
// one, and that late reports of the earlier one are ignored.
func TestNewIncarnationEndsEarlierRuns(t *testing.T) {
	is := is.New(t)
	tr := New()
	tr.Apply(&messages.QueueChange{Submits: []*messages.Work{gangJob("j", 1, 2)}})
	tr.Apply(&messages.QueueChange{Starts: []*messages.Run{start("j", 0, 1, "w1")}})
	tr.Apply(&messages.QueueChange{Ends: []*messages.WorkerEnds{{Worker: "w1", Born: 5}}})
	is.Equal(tr.Job("j").Active(), 0)
	tr.Apply(ended("w1", 9, end("j", 0, 1, EndDone)))
	is.Equal(tr.Job("j").Phase, Running)
	incarnation, ok := tr.Incarnation("w1")
	is.True(ok)
	is.Equal(incarnation, Incarnation{Started: 5})
}

// TestCatalogVersionNeverDecreases checks that a catalog with an earlier version does not replace a later
// one.
func TestCatalogVersionNeverDecreases(t *testing.T) {
	is := is.New(t)
	tr := New()
	for _, version := range []uint64{3, 7, 5, 7} {
		tr.Apply(&messages.QueueChange{Catalog: &messages.Catalog{Version: version, Queues: []*messages.Queue{
			{Name: fmt.Sprint(version), Host: "h", Prefix: "/a/"}, {Name: "long", Host: "h", Prefix: "/a/b/"},
		}}})
	}
	q, rest, ok := tr.Queue("h", "/a/x")
	is.True(ok)
	is.Equal(q.GetName(), "7")
	is.Equal(rest, "x")
	q, _, _ = tr.Queue("h", "/a/b/x")
	is.Equal(q.GetName(), "long") // the longest prefix
	_, _, ok = tr.Queue("other", "/a/x")
	is.Equal(ok, false)
}

// drawChange returns a random change, valid or not.
func drawChange(t *rapid.T) *messages.QueueChange {
	job := func() string { return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "job") }
	worker := func() string { return rapid.SampledFrom([]string{"w1", "w2"}).Draw(t, "worker") }
	smallInt := func(name string) int32 { return int32(rapid.IntRange(0, 3).Draw(t, name)) }
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		w := gangJob(job(), smallInt("members")+1, smallInt("attempts"))
		w.Steps[0].Gang = rapid.Bool().Draw(t, "gang")
		w.Steps = append(w.Steps, &messages.Step{Count: 2, After: []int32{0}})
		w.Occurrences = int64(smallInt("occurrences"))
		return &messages.QueueChange{Submits: []*messages.Work{w}}
	case 1:
		return &messages.QueueChange{Cancels: []string{job()}}
	case 2:
		return &messages.QueueChange{Forgets: []string{job()}}
	case 3:
		return &messages.QueueChange{Ends: []*messages.WorkerEnds{{
			Worker: worker(), Born: int64(smallInt("born")), Sequence: uint64(smallInt("sequence")), Over: rapid.Bool().Draw(t, "over"),
		}}}
	case 4:
		c := &messages.QueueChange{}
		for range 4 {
			c.Starts = append(c.Starts, &messages.Run{
				Job: job(), Occurrence: smallInt("k"), Step: smallInt("step") % 2, Task: smallInt("task"), Number: uint32(smallInt("number")) + 1,
				Worker: worker(), Born: int64(smallInt("born")),
			})
		}
		return c
	}
	e := &messages.End{
		Job: job(), Occurrence: smallInt("k"), Step: smallInt("step") % 2, Task: smallInt("task"), Number: uint32(smallInt("number")) + 1, Saved: "s",
		How: rapid.SampledFrom([]string{EndDone, EndFailed, EndStopped, EndExpired, EndGangEnded, EndGangIncomplete, EndRefused, EndRecovered}).Draw(t, "how"),
	}
	return &messages.QueueChange{Ends: []*messages.WorkerEnds{{Worker: worker(), Born: int64(smallInt("born")), Sequence: 1, Ends: []*messages.End{e}}}}
}

// TestTrackerInvariants applies random changes. The state must stay consistent, a final phase must not
// change, and a state restored from a snapshot must change in the same way as the original.
func TestTrackerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := New()
		phases := map[string]Phase{}
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			c := drawChange(t)
			data, err := tr.Save()
			if err != nil {
				t.Fatal(err)
			}
			restored, err := Restore(data)
			if err != nil {
				t.Fatal(err)
			}
			tr.Apply(c)
			restored.Apply(c)
			if err := tr.Check(); err != nil {
				t.Fatal(err)
			}
			want, err := tr.Save()
			if err != nil {
				t.Fatal(err)
			}
			got, err := restored.Save()
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(want, got) {
				t.Fatalf("restored state differs from the original after %v", c)
			}
			tr.EachJob(func(j *Job) {
				id := j.Work.GetId()
				if previous := phases[id]; (previous == Completed || previous == Failed || previous == Cancelled) && j.Phase != previous {
					t.Fatalf("job %s changed from final phase %s to %s", id, previous, j.Phase)
				}
				phases[id] = j.Phase
			})
			for id := range phases {
				if tr.Job(id) == nil {
					delete(phases, id)
				}
			}
		}
	})
}

// damagedSnapshots returns snapshots with each index and count out of range, and the field that the error must name, "" for one
// that is sound.
func damagedSnapshots() []damagedSnapshot {
	job := func(change func(*messages.JobState)) *messages.QueueState {
		j := &messages.JobState{
			Work:  &messages.Work{Id: "j", Steps: []*messages.Step{{Count: 1}}},
			Steps: []*messages.StepState{{Tasks: []*messages.TaskState{{}}}},
		}
		change(j)
		return &messages.QueueState{Jobs: []*messages.JobState{j}}
	}
	run := func(runs ...*messages.Run) *messages.QueueState {
		s := job(func(*messages.JobState) {})
		for _, r := range runs {
			r.Job, r.Worker = "j", cmp.Or(r.GetWorker(), "w")
			s.Runs = append(s.Runs, r)
		}
		return s
	}
	manySteps := func(j *messages.JobState) {
		j.Work.Occurrences, j.Work.Steps = 1<<20, nil
		for range 4096 {
			j.Work.Steps = append(j.Work.Steps, &messages.Step{Count: math.MaxInt32})
		}
	}
	twice := job(func(*messages.JobState) {})
	twice.Jobs = append(twice.Jobs, twice.Jobs[0])
	return []damagedSnapshot{
		{"a run of the task", run(&messages.Run{}), ""},
		{"a run of a negative task", run(&messages.Run{Task: -1}), "runs[0].task"},
		{"a run of a negative step", run(&messages.Run{Step: -1}), "runs[0].step"},
		{"a run of a step that does not exist", run(&messages.Run{Step: 1}), "runs[0].step"},
		{"a run of a negative occurrence", run(&messages.Run{Occurrence: -1}), "runs[0].occurrence"},
		{"a run of an occurrence that does not exist", run(&messages.Run{Occurrence: 1}), "runs[0].occurrence"},
		{"a run of a task that does not exist", run(&messages.Run{Task: 1}), "runs[0].task"},
		{"the same run twice", run(&messages.Run{}, &messages.Run{}), "runs[1].task"},
		{"two runs of a task on two workers", run(&messages.Run{}, &messages.Run{Number: 2, Worker: "v"}), "runs[1].task"},
		{"a negative number of tasks", job(func(j *messages.JobState) { j.Work.Steps[0].Count = -1 }), "jobs[0].work.steps[0].count"},
		{"too many tasks", job(func(j *messages.JobState) { j.Work.Steps[0].Count = math.MaxInt32 }), "jobs[0].work.steps[0].count"},
		{"too many occurrences", job(func(j *messages.JobState) { j.Work.Occurrences = 1 << 40 }), "jobs[0].work.occurrences"},
		{"a number of tasks and occurrences beyond 64 bits", job(manySteps), "jobs[0].work.steps[0].count"},
		{"a task is missing", job(func(j *messages.JobState) { j.Steps[0].Tasks = nil }), "jobs[0].steps[0].tasks"},
		{"a step is missing", job(func(j *messages.JobState) { j.Steps = nil }), "jobs[0].steps"},
		{"a job is listed twice", twice, "jobs[1].work.id"},
	}
}

type damagedSnapshot struct {
	name  string
	state *messages.QueueState
	field string
}

// TestDamagedSnapshot guards against a snapshot with indices or counts out of range that ends the process, exhausts its
// memory or is restored as an inconsistent state. It must be an error that names the field and the job.
func TestDamagedSnapshot(t *testing.T) {
	for _, c := range damagedSnapshots() {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			data, err := proto.Marshal(c.state)
			is.NoErr(err)
			_, err = Restore(data)
			is.Equal(err == nil, c.field == "")
			if err != nil {
				is.True(strings.HasPrefix(err.Error(), "restore queues: "+c.field+": "))
				is.True(strings.Contains(err.Error(), "job j "))
			}
		})
	}
}

// TestRestoredWorkers guards against decisions that differ after a restore: the worker of a task is not in the snapshot, so
// only tasks with an active run may have one.
func TestRestoredWorkers(t *testing.T) {
	is := is.New(t)
	tr := New()
	tr.Apply(&messages.QueueChange{Submits: []*messages.Work{{Id: "j", Attempts: 3, Steps: []*messages.Step{{Count: 3}}}}})
	tr.Apply(&messages.QueueChange{Starts: []*messages.Run{start("j", 0, 1, "w1"), start("j", 1, 1, "w1")}})
	tr.Apply(ended("w1", 1, end("j", 1, 1, EndFailed)))
	data, err := tr.Save()
	is.NoErr(err)
	restored, err := Restore(data)
	is.NoErr(err)
	is.Equal(restored.Job("j").Step(0, 0).Tasks, tr.Job("j").Step(0, 0).Tasks)
	is.Equal(tr.Job("j").Step(0, 0).Tasks[0].Worker, "w1")
}

// FuzzRestore checks that no snapshot takes the process down, also when the restored state is read and its runs end, and that
// a restored state is consistent.
func FuzzRestore(f *testing.F) {
	tr := New()
	tr.Apply(&messages.QueueChange{Submits: []*messages.Work{gangJob("j", 2, 2)}})
	tr.Apply(&messages.QueueChange{Starts: []*messages.Run{start("j", 0, 1, "w1"), start("j", 1, 1, "w2")}})
	data, err := tr.Save()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	tr.Apply(&messages.QueueChange{Ends: []*messages.WorkerEnds{{
		Worker: "w1", Born: 1, Over: true, Crashes: []*messages.Crash{{Job: "j", Number: 1, Alone: true}},
	}}})
	if data, err = tr.Save(); err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	for _, c := range damagedSnapshots() {
		if data, err = proto.Marshal(c.state); err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		restored, err := Restore(data)
		if err != nil {
			return
		}
		if err := restored.Check(); err != nil {
			t.Fatal(err)
		}
		restored.EachSuspect(func(TaskKey, *Job, *Task) {})
		restored.EachJob(func(j *Job) {
			for i := range j.Steps() {
				j.DependenciesDone(&j.Steps()[i])
			}
		})
		change := &messages.QueueChange{}
		restored.EachWorker(func(worker string, runs map[RunKey]*messages.Run) {
			for key, r := range runs {
				change.Ends = append(change.Ends, &messages.WorkerEnds{Worker: worker, Born: r.GetBorn(), Ends: []*messages.End{
					{Job: key.Job, Occurrence: key.Occurrence, Step: key.Step, Task: key.Task, Number: key.Number, How: EndDone},
				}})
			}
		})
		restored.Apply(change)
		if err := restored.Check(); err != nil {
			t.Fatal(err)
		}
		saved, err := restored.Save()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Restore(saved); err != nil {
			t.Fatal(err)
		}
	})
}

// TestCrashesAreKept guards against crashes that a snapshot forgets, and against crashes that stay with a task that has
// been at work since.
func TestCrashesAreKept(t *testing.T) {
	is := is.New(t)
	tr := New()
	tr.Apply(&messages.QueueChange{Submits: []*messages.Work{{Id: "j", Attempts: 2, Steps: []*messages.Step{{Count: 2}}}}})
	tr.Apply(&messages.QueueChange{Starts: []*messages.Run{start("j", 1, 1, "w1")}})
	lost := &messages.WorkerEnds{Worker: "w1", Born: 1, Over: true, Crashes: []*messages.Crash{
		{Job: "j", Task: 1, Number: 1, Alone: true},
		{Job: "j", Task: 0, Number: 1}, // was not running
	}}
	tr.Apply(&messages.QueueChange{Time: 7, Ends: []*messages.WorkerEnds{lost}})
	data, err := tr.Save()
	is.NoErr(err)
	tr, err = Restore(data)
	is.NoErr(err)
	suspects := func() int {
		n := 0
		tr.EachSuspect(func(key TaskKey, _ *Job, task *Task) {
			is.Equal(key, TaskKey{Job: "j", Task: 1})
			is.Equal(task.Crashes, []Crash{{Worker: "w1", Time: 7, Alone: true}})
			n++
		})
		return n
	}
	is.Equal(suspects(), 1)
	for n, how := range []string{EndRefused, EndFailed} {
		number := uint32(n) + 2
		tr.Apply(&messages.QueueChange{Starts: []*messages.Run{start("j", 1, number, "w2")}})
		tr.Apply(ended("w2", uint64(number), end("j", 1, number, how)))
		is.Equal(suspects(), 1) // the task may not have started
	}
	tr.Apply(&messages.QueueChange{Starts: []*messages.Run{start("j", 1, 4, "w2")}})
	tr.Apply(ended("w2", 4, end("j", 1, 4, EndStopped)))
	is.Equal(suspects(), 0)
}

// TestFailureEndsJobInEachBuild guards against a job that is given up and yet goes on in daemons of the build before,
// which do not know the field: they cancel it.
func TestFailureEndsJobInEachBuild(t *testing.T) {
	for _, c := range []struct {
		failures []string
		want     Phase
	}{{[]string{"j"}, Failed}, {nil, Cancelled}} {
		is := is.New(t)
		tr := New()
		tr.Apply(&messages.QueueChange{Submits: []*messages.Work{gangJob("j", 1, 2)}})
		tr.Apply(&messages.QueueChange{Failures: c.failures, Cancels: []string{"j", "unknown"}})
		is.Equal(tr.Job("j").Phase, c.want)
		is.Equal(len(tr.Open()), 0)
	}
}
