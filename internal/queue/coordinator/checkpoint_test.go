package coordinator

import (
	"context"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// submitCheckpointed submits the job "a" with one step that writes checkpoints, and starts it on the worker "w", which has
// sent two reports.
func (f *fixture) submitCheckpointed(t *testing.T, step *messages.Step) []*messages.StartOrder {
	t.Helper()
	step.Checkpoints, step.Processors, step.Estimate = true, 1000, 60_000
	f.state.Apply(&messages.QueueChange{Submits: []*messages.Work{{Id: "a", Queue: "q", Pool: "p", Attempts: 3, Steps: []*messages.Step{step}}}})
	f.report(t, 1, nil)
	f.Pass(context.Background())
	return f.report(t, 2, nil).GetStarts()
}

// listSaved sends a report that lists runs of the job "a", by task, with their checkpoints.
func (f *fixture) listSaved(t *testing.T, worker string, sequence uint64, number uint32, saved map[int32]string) {
	t.Helper()
	f.report(t, sequence, func(r *messages.FleetReport) {
		r.Worker, r.Address = worker, worker+":1"
		for task, checkpoint := range saved {
			r.Running = append(r.Running, &messages.Running{Run: &messages.Run{Job: "a", Task: task, Number: number, Saved: checkpoint}, Percent: 50})
		}
	})
}

// TestLostRunsResumeFromCheckpoints guards against runs that start from the beginning after the loss of a worker that had
// listed a checkpoint of them.
func TestLostRunsResumeFromCheckpoints(t *testing.T) {
	for name, lose := range map[string]func(*fixture){
		"lease expires": func(f *fixture) { f.now = f.now.Add(7 * time.Second) },
		"replaced at its address": func(f *fixture) {
			f.report(t, 1, func(r *messages.FleetReport) { r.Worker, r.Born, r.Address = "successor", 6, "w:1" })
		},
		"restarts": func(f *fixture) { f.report(t, 1, func(r *messages.FleetReport) { r.Born, r.Address = 6, "w:1" }) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			is.Equal(len(f.submitCheckpointed(t, &messages.Step{Count: 1})), 1)
			f.listSaved(t, "w", 3, 1, map[int32]string{0: "first"})
			f.now = f.now.Add(time.Second)
			f.listSaved(t, "w", 4, 1, map[int32]string{0: "second"})
			lose(f)
			f.report(t, 1, func(r *messages.FleetReport) { r.Worker = "next" })
			f.Pass(context.Background())
			f.Pass(context.Background()) // starts wait for the pass after a loss
			var runs []*messages.Run
			f.state.EachWorker(func(_ string, active map[tracker.RunKey]*messages.Run) {
				runs = slices.AppendSeq(runs, maps.Values(active))
			})
			is.Equal(len(runs), 1)
			is.Equal(runs[0].GetNumber(), uint32(2))
			is.Equal(runs[0].GetSaved(), "second")
			is.Equal(len(f.state.Job("a").Step(0, 0).Tasks[0].Crashes), 0) // it was at work for long enough
		})
	}
}

// TestCheckpointsOfLostRunsAreLimited guards against a loss that is never committed, as it does not fit into an entry of the
// log.
func TestCheckpointsOfLostRunsAreLimited(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	is.Equal(len(f.submitCheckpointed(t, &messages.Step{Count: 3})), 3)
	large := strings.Repeat("x", maxCheckpointBytes/2)
	for i := range uint64(2) {
		f.listSaved(t, "w", 3+i, 1, map[int32]string{0: large, 1: large, 2: large})
		f.now = f.now.Add(time.Second)
	}
	f.now = f.now.Add(7 * time.Second)
	f.Pass(context.Background())
	is.Equal(f.state.Job("a").Active(), 0)
	resumed := 0
	for task := range int32(3) {
		if _, checkpoint := f.state.Job("a").Step(0, 0).NextRun(task); checkpoint == large {
			resumed++
		}
	}
	is.Equal(resumed, 2)
}

// TestStartingRunsAreSuspectsWithCheckpoints guards against a task that crashes its workers as it resumes and is cleared by
// the checkpoint that it started with.
func TestStartingRunsAreSuspectsWithCheckpoints(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	is.Equal(len(f.submitCheckpointed(t, &messages.Step{Count: 1})), 1)
	f.listSaved(t, "w", 3, 1, map[int32]string{0: "first"})
	f.now = f.now.Add(survivalTime / 2)
	f.listSaved(t, "w", 4, 1, map[int32]string{0: "first"})
	f.now = f.now.Add(7 * time.Second)
	f.Pass(context.Background())
	is.Equal(f.state.Job("a").Active(), 0)
	is.Equal(len(f.state.Job("a").Step(0, 0).Tasks[0].Crashes), 1)
}

// TestLostGangResumesFromItsLastCheckpoint guards against a gang that goes back to an older checkpoint than one that
// another member has listed or ended with.
func TestLostGangResumesFromItsLastCheckpoint(t *testing.T) {
	for name, c := range map[string]struct {
		ended string // checkpoint with which the other member ends before the loss is known, "" if it does not end
		want  string
	}{
		"listed": {"", "second"},
		"ended":  {"third", "third"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.report(t, 1, func(r *messages.FleetReport) { r.Worker = "other" })
			f.submitCheckpointed(t, &messages.Step{Count: 8, Gang: true, Spread: 4})
			is.Equal(f.state.Job("a").Active(), 8)
			tasks := map[string]int32{} // one by worker
			for task, s := range f.state.Job("a").Step(0, 0).Tasks {
				tasks[s.Worker] = int32(task)
			}
			is.Equal(len(tasks), 2)
			f.report(t, 2, func(r *messages.FleetReport) { r.Worker = "other" })
			f.listSaved(t, "other", 3, 1, map[int32]string{tasks["other"]: "first"})
			f.listSaved(t, "w", 3, 1, map[int32]string{tasks["w"]: "first"})
			f.now = f.now.Add(time.Second)
			f.listSaved(t, "other", 4, 1, map[int32]string{tasks["other"]: "second"})
			f.listSaved(t, "w", 4, 1, map[int32]string{tasks["w"]: "first"})
			if c.ended != "" {
				f.report(t, 5, func(r *messages.FleetReport) {
					r.Worker = "other"
					r.Ends = []*messages.NumberedEnd{{Sequence: 1, End: &messages.End{
						Job: "a", Task: tasks["other"], Number: 1, How: tracker.EndGangEnded, Saved: c.ended,
					}}}
				})
			}
			f.now = f.now.Add(7 * time.Second)
			f.Pass(context.Background())
			is.Equal(f.state.Job("a").Active(), 0)
			_, checkpoint := f.state.Job("a").Step(0, 0).NextRun(0)
			is.Equal(checkpoint, c.want)
		})
	}
}
