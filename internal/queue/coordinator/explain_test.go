package coordinator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/placer"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

func (f *fixture) explained(t *testing.T, q *messages.ExplainRequest) *messages.Explanation {
	t.Helper()
	e, err := f.Explain(context.Background(), q)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// describe describes a job with one step for the queue of low priority.
func describe(s *messages.Step) *messages.ExplainRequest {
	return &messages.ExplainRequest{Queue: "q", Organisation: "one", Steps: []*messages.Step{s}}
}

// placed reports the worker with a rack and a place.
func placed(r *messages.FleetReport) { r.Rack, r.Place = "r1", "north" }

// newBusyFixture returns a fixture whose only worker is full with a run of low priority that is at work.
func newBusyFixture(t *testing.T) *fixture {
	t.Helper()
	f := newFixture()
	f.state.Apply(&messages.QueueChange{Submits: []*messages.Work{{
		Id: "low", Queue: "q", Pool: "p", Attempts: 2, Priority: 1, Steps: []*messages.Step{{Count: 1, Processors: 8000, Estimate: 60_000}},
	}}})
	f.report(t, 1, placed)
	f.Pass(context.Background())
	starts := f.report(t, 2, placed).GetStarts()
	if len(starts) != 1 {
		t.Fatalf("%d starts, want 1", len(starts))
	}
	for sequence := range uint64(4) {
		f.now = f.now.Add(250 * time.Millisecond)
		f.report(t, 3+sequence, func(r *messages.FleetReport) {
			placed(r)
			r.Running = []*messages.Running{{Run: starts[0].GetRun(), Percent: 1}}
		})
	}
	return f
}

// TestExplainStart guards against an explanation that names other starts than those of the next pass.
func TestExplainStart(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.report(t, 1, placed)
	q := describe(&messages.Step{Count: 10, Processors: 1000, Estimate: 1000})
	q.Steps = append(q.Steps, &messages.Step{Count: 2, Processors: 1000, After: []int32{0}})
	e := f.explained(t, q)
	is.Equal(e.GetVerdict().GetStatus(), StatusOK)
	is.Equal(len(e.GetStarts()), 8) // the worker has 8 processors
	s := e.GetStarts()[0]
	is.Equal([]string{s.GetWorker(), s.GetRack(), s.GetPlace()}, []string{"w", "r1", "north"})
	is.Equal(len(e.GetWaits()), 2)
	is.Equal(e.GetWaits()[0].GetTasks(), int32(2)) // the rest of a step that starts in part
	is.Equal(e.GetWaits()[0].GetObstacle(), string(placer.NoCapacity))
	is.Equal(e.GetWaits()[1].GetObstacle(), obstacleEarlierSteps)
	v, err := f.Submit(context.Background(), &messages.Submission{Host: "h", Path: "/q/a", Key: "k1", Work: &messages.Work{Steps: q.GetSteps()}})
	is.NoErr(err)
	is.Equal(v.GetStatus(), StatusOK)
	f.Pass(context.Background())
	is.Equal(len(f.state.RunsOn("w")), len(e.GetStarts()))
}

// TestExplainWait guards against a job that is explained as if the work before it did not exist.
func TestExplainWait(t *testing.T) {
	is := is.New(t)
	f := newBusyFixture(t)
	e := f.explained(t, describe(&messages.Step{Count: 1, Processors: 1000, Estimate: 1000}))
	is.Equal(len(e.GetStarts())+len(e.GetStops()), 0)
	is.Equal(len(e.GetWaits()), 1)
	is.Equal(e.GetWaits()[0].GetObstacle(), string(placer.NoCapacity))
}

// TestExplainStops guards against an explanation without the runs that an urgent job stops, and against one that attributes
// the stops for another job to this one.
func TestExplainStops(t *testing.T) {
	is := is.New(t)
	f := newBusyFixture(t)
	q := &messages.ExplainRequest{Queue: "open", Steps: []*messages.Step{{Count: 1, Processors: 1000, Estimate: 1000}}}
	e := f.explained(t, q)
	is.Equal(len(e.GetStops()), 1)
	is.Equal([]string{e.GetStops()[0].GetJob(), e.GetStops()[0].GetWorker()}, []string{"low", "w"})
	is.Equal(e.GetWaits()[0].GetObstacle(), string(placer.StopsPending))
	is.Equal(f.submit(t, "/open/first", ""), StatusOK)
	is.Equal(len(f.explained(t, &messages.ExplainRequest{Job: "first"}).GetStops()), 1)
	is.Equal(len(f.explained(t, q).GetStops()), 0) // the run stops for the job that was accepted before
}

// TestExplainRefusals guards against descriptions that admission refuses, or that would panic the leader, but are planned.
func TestExplainRefusals(t *testing.T) {
	f := newFixture()
	f.report(t, 1, placed)
	f.now = f.now.Add(fleetDiscoveryTime)
	f.report(t, 2, placed)
	step := &messages.Step{Count: 1, Processors: 1000}
	for _, c := range []struct {
		name string
		q    *messages.ExplainRequest
		want string
	}{
		{"unknown queue", &messages.ExplainRequest{Queue: "none", Steps: []*messages.Step{step}}, StatusNoQueue},
		{"unknown job", &messages.ExplainRequest{Job: "none"}, StatusUnknown},
		{"no organisation", &messages.ExplainRequest{Queue: "q", Steps: []*messages.Step{step}}, StatusNoKey},
		{"unknown organisation", &messages.ExplainRequest{Queue: "q", Organisation: "x", Steps: []*messages.Step{step}}, StatusInvalid},
		{"advised queue", &messages.ExplainRequest{Queue: "advised", Steps: []*messages.Step{step}}, StatusMismatch},
		{"beyond the fleet", describe(&messages.Step{Count: 1, Processors: 9000}), StatusRefused},
		{"no steps", &messages.ExplainRequest{Queue: "q", Organisation: "one"}, StatusInvalid},
		{"negative count", describe(&messages.Step{Count: -1}), StatusInvalid},
		{"too many tasks", describe(&messages.Step{Count: maxDescribedTasks + 1}), StatusInvalid},
		{"negative memory", describe(&messages.Step{Count: 1, Memory: -1}), StatusInvalid},
		{"after itself", describe(&messages.Step{Count: 1, After: []int32{0}}), StatusInvalid},
		{"too many urgent tasks", &messages.ExplainRequest{Queue: "open", Steps: []*messages.Step{{Count: maxDescribedUrgent + 1}}}, StatusInvalid},
		{"as many in a gang", &messages.ExplainRequest{Queue: "open", Steps: []*messages.Step{{Count: maxDescribedUrgent + 1, Gang: true}}}, StatusOK},
		{"fits", describe(step), StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			if v := f.explained(t, c.q).GetVerdict(); v.GetStatus() != c.want {
				t.Errorf("status %q (%s), want %q", v.GetStatus(), v.GetReason(), c.want)
			}
		})
	}
}

// TestExplainKnownJob guards against a known job that is planned beside itself, and against starts for one that has ended.
func TestExplainKnownJob(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	is.Equal(f.submit(t, "/q/a", "k1"), StatusOK)
	f.report(t, 1, placed)
	e := f.explained(t, &messages.ExplainRequest{Job: "a"})
	is.Equal(e.GetVerdict().GetPhase(), string(tracker.Pending))
	is.Equal(len(e.GetStarts()), 1)
	f.Pass(context.Background())
	e = f.explained(t, &messages.ExplainRequest{Job: "a"})
	is.Equal(e.GetVerdict().GetPhase(), string(tracker.Running))
	is.Equal(len(e.GetStarts())+len(e.GetWaits()), 0)
	_, err := f.Cancel(context.Background(), &messages.Lookup{Host: "h", Path: "/q/a", Key: "k1"})
	is.NoErr(err)
	is.Equal(f.explained(t, &messages.ExplainRequest{Job: "a"}).GetVerdict().GetPhase(), string(tracker.Cancelled))
}

// memory renders what the leader remembers between passes and what is replicated.
func (f *fixture) memory(t *testing.T) string {
	t.Helper()
	saved, err := f.state.Save()
	if err != nil {
		t.Fatal(err)
	}
	text := fmt.Sprintf("%x %d %v %v %v %v %v %v %v %v %v %v %v %v", saved, f.index, f.proposed, f.progress, f.committedStarts, f.stopping, f.verdicts,
		f.deferrals, f.idleWaits, f.waits, f.restarts, f.seenAt, f.endedAt, f.begun)
	text += fmt.Sprintf(" %v %v %v %v wake %d", f.failedWorkers, f.lossAt, f.interference.updatedAt, len(f.state.Open()), len(f.wake))
	for id, w := range f.workers {
		text += fmt.Sprintf(" %s: %v %v %v %v %d", id, w.startOrders, w.withheld, w.listed, w.health, w.sequence)
	}
	return text
}

// TestExplainChangesNothing guards against an explanation that leaves a trace in the leader or alters its next plan: stops that
// are marked, ages that begin, jobs that appear in the list of open ones, log lines.
func TestExplainChangesNothing(t *testing.T) {
	is := is.New(t)
	plan := func(explain bool) []string {
		f := newBusyFixture(t)
		is.Equal(f.submit(t, "/open/urgent", ""), StatusOK) // stops a run, and is seen by no pass yet
		is.Equal(f.submit(t, "/q/later", "k1"), StatusOK)
		<-f.wake
		logs := f.observe()
		before, lines := f.memory(t), logs.Len()
		open := f.state.Open()
		if explain {
			for range 3 {
				f.explained(t, &messages.ExplainRequest{Queue: "open", Steps: []*messages.Step{{Count: 2, Processors: 4000, Estimate: 1000}}})
				f.explained(t, describe(&messages.Step{Count: 1, Processors: 1000, Gang: true}))
				f.explained(t, &messages.ExplainRequest{Job: "urgent"})
			}
		}
		is.Equal(f.memory(t), before)
		is.Equal(logs.Len(), lines)
		for _, j := range open[:cap(open)] {
			is.True(j == nil || j.Work.GetId() != describedID) // the list of the state was not appended to
		}
		f.now = f.now.Add(100 * time.Millisecond)
		change := f.decide(f.state)
		text, err := proto.MarshalOptions{Deterministic: true}.Marshal(&messages.QueueChange{Starts: change.GetStarts(), Ends: change.GetEnds()})
		is.NoErr(err)
		return []string{string(text), fmt.Sprint(f.stopping), fmt.Sprint(f.seenAt)}
	}
	is.Equal(plan(true), plan(false))
}
