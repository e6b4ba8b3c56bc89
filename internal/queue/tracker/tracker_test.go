package tracker

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/matryer/is"
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

// TestGangEndsWhole checks that one member that is done speaks for its gang, and that several that
// fail in one run count as one failure.
func TestGangEndsWhole(t *testing.T) {
	is := is.New(t)
	b := New()
	b.Apply(&messages.QueueChange{Submits: []*messages.Work{gangJob("j", 2, 2)}})
	b.Apply(&messages.QueueChange{Starts: []*messages.Run{start("j", 0, 1, "w1"), start("j", 1, 1, "w2")}})
	b.Apply(ended("w1", 1, end("j", 0, 1, EndFailed)))
	is.Equal(b.Job("j").Step(0, 0).Failures(0), uint32(1))
	b.Apply(ended("w2", 1, end("j", 1, 1, EndFailed)))
	is.Equal(b.Job("j").Phase, Running) // one run failed, not two
	b.Apply(&messages.QueueChange{Starts: []*messages.Run{start("j", 0, 2, "w1"), start("j", 1, 2, "w2")}})
	b.Apply(ended("w1", 2, end("j", 0, 2, EndDone)))
	is.Equal(b.Job("j").Phase, Completed)
	is.Equal(b.Job("j").Active(), 1) // the other member's room counts until its end is listed
	b.Apply(ended("w2", 2, end("j", 1, 2, EndBroken)))
	is.Equal(b.Job("j").Phase, Completed)
	is.Equal(len(b.Open()), 0)
}

// TestStaleStarts checks that starts which came too late change nothing.
func TestStaleStarts(t *testing.T) {
	is := is.New(t)
	b := New()
	b.Apply(&messages.QueueChange{Submits: []*messages.Work{gangJob("j", 1, 2)}})
	b.Apply(&messages.QueueChange{Starts: []*messages.Run{start("j", 0, 1, "w1")}})
	b.Apply(&messages.QueueChange{Starts: []*messages.Run{start("j", 0, 2, "w2")}}) // one is at work
	is.Equal(len(b.RunsOn("w2")), 0)
	b.Apply(ended("w1", 1, end("j", 0, 1, EndStopped)))
	b.Apply(&messages.QueueChange{Starts: []*messages.Run{start("j", 0, 1, "w2")}}) // its number was used
	is.Equal(len(b.RunsOn("w2")), 0)
	b.Apply(&messages.QueueChange{Cancels: []string{"j"}})
	b.Apply(&messages.QueueChange{Starts: []*messages.Run{start("j", 0, 2, "w2")}})
	is.Equal(len(b.RunsOn("w2")), 0)
}

// TestNewLifeEndsTheOld checks that a later life of a worker ends what ran in the earlier one, and
// that word of the earlier one changes nothing any more.
func TestNewLifeEndsTheOld(t *testing.T) {
	is := is.New(t)
	b := New()
	b.Apply(&messages.QueueChange{Submits: []*messages.Work{gangJob("j", 1, 2)}})
	b.Apply(&messages.QueueChange{Starts: []*messages.Run{start("j", 0, 1, "w1")}})
	b.Apply(&messages.QueueChange{Ends: []*messages.WorkerEnds{{Worker: "w1", Born: 5}}})
	is.Equal(b.Job("j").Active(), 0)
	b.Apply(ended("w1", 9, end("j", 0, 1, EndDone)))
	is.Equal(b.Job("j").Phase, Running)
	life, ok := b.Life("w1")
	is.True(ok)
	is.Equal(life, Life{Born: 5})
}

// TestLaterCatalogWins checks that a version never goes down.
func TestLaterCatalogWins(t *testing.T) {
	is := is.New(t)
	b := New()
	for _, version := range []uint64{3, 7, 5, 7} {
		b.Apply(&messages.QueueChange{Catalog: &messages.Catalog{Version: version, Queues: []*messages.Queue{
			{Name: fmt.Sprint(version), Host: "h", Prefix: "/a/"}, {Name: "long", Host: "h", Prefix: "/a/b/"},
		}}})
	}
	q, rest, ok := b.Queue("h", "/a/x")
	is.True(ok)
	is.Equal(q.GetName(), "7")
	is.Equal(rest, "x")
	q, _, _ = b.Queue("h", "/a/b/x")
	is.Equal(q.GetName(), "long") // the longest prefix
	_, _, ok = b.Queue("other", "/a/x")
	is.Equal(ok, false)
}

// draw returns any change, sensible or not.
func draw(t *rapid.T) *messages.QueueChange {
	job := func() string { return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "job") }
	worker := func() string { return rapid.SampledFrom([]string{"w1", "w2"}).Draw(t, "worker") }
	small := func(name string) int32 { return int32(rapid.IntRange(0, 3).Draw(t, name)) }
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		w := gangJob(job(), small("members")+1, small("attempts"))
		w.Steps[0].Gang = rapid.Bool().Draw(t, "gang")
		w.Steps = append(w.Steps, &messages.Step{Count: 2, After: []int32{0}})
		w.Occurrences = int64(small("occurrences"))
		return &messages.QueueChange{Submits: []*messages.Work{w}}
	case 1:
		return &messages.QueueChange{Cancels: []string{job()}}
	case 2:
		return &messages.QueueChange{Forgets: []string{job()}}
	case 3:
		return &messages.QueueChange{Ends: []*messages.WorkerEnds{{
			Worker: worker(), Born: int64(small("born")), Sequence: uint64(small("sequence")), Over: rapid.Bool().Draw(t, "over"),
		}}}
	case 4:
		c := &messages.QueueChange{}
		for range 4 {
			c.Starts = append(c.Starts, &messages.Run{
				Job: job(), Occurrence: small("k"), Step: small("step") % 2, Task: small("task"), Number: uint32(small("number")) + 1,
				Worker: worker(), Born: int64(small("born")),
			})
		}
		return c
	}
	e := &messages.End{
		Job: job(), Occurrence: small("k"), Step: small("step") % 2, Task: small("task"), Number: uint32(small("number")) + 1, Saved: "s",
		How: rapid.SampledFrom([]string{EndDone, EndFailed, EndStopped, EndLapsed, EndBroken, EndAlone, EndRefused}).Draw(t, "how"),
	}
	return &messages.QueueChange{Ends: []*messages.WorkerEnds{{Worker: worker(), Born: int64(small("born")), Sequence: 1, Ends: []*messages.End{e}}}}
}

// TestAccountHolds applies any changes: the account must not contradict itself, a final phase must
// stay, and a restored account must go on as the original does.
func TestAccountHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New()
		phases := map[string]Phase{}
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			c := draw(t)
			data, err := b.Save()
			if err != nil {
				t.Fatal(err)
			}
			twin, err := Restore(data)
			if err != nil {
				t.Fatal(err)
			}
			b.Apply(c)
			twin.Apply(c)
			if err := b.Check(); err != nil {
				t.Fatal(err)
			}
			one, err := b.Save()
			if err != nil {
				t.Fatal(err)
			}
			other, err := twin.Save()
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(one, other) {
				t.Fatalf("a restored account differs after %v", c)
			}
			b.EachJob(func(j *Job) {
				id := j.Work.GetId()
				if was := phases[id]; (was == Completed || was == Failed || was == Cancelled) && j.Phase != was {
					t.Fatalf("job %s was %s and is %s", id, was, j.Phase)
				}
				phases[id] = j.Phase
			})
			for id := range phases {
				if b.Job(id) == nil {
					delete(phases, id)
				}
			}
		}
	})
}
