package coordinator

import (
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/placer"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// describedID is the ID of a described job during its plan. No accepted job has it, as paths hold no NUL.
const describedID = "\x00described"

// Bounds on a described job, as the leader processes no reports while it plans.
const (
	maxDescribedSteps = 100
	maxDescribedTasks = 10_000
	// maxDescribedUrgent is for tasks that may each stop others: 10,000 of them took 14 s on 2000 full workers.
	maxDescribedUrgent = 256
)

// Obstacles of steps that the placer does not consider yet.
const (
	obstacleEarlierSteps = "earlier steps" // steps that it depends on are not completed
	obstacleNotDue       = "not due"       // its occurrence is not due
)

// Explain returns what the next pass would decide about a job. It commits, logs and records nothing.
func (c *Coordinator) Explain(ctx context.Context, q *messages.ExplainRequest) (*messages.Explanation, error) {
	var e *messages.Explanation
	if err := c.read(ctx, func(state *tracker.Tracker) { e = c.explain(state, q) }); err != nil {
		return nil, c.opts.RedirectError(ctx, err)
	}
	return e, nil
}

func (c *Coordinator) explain(state *tracker.Tracker, q *messages.ExplainRequest) *messages.Explanation {
	in := c.placerInput(state)
	// The ages of a pass record when a job is first seen.
	now := c.opts.Now()
	in.Age = func(j *tracker.Job) time.Duration {
		if at, ok := c.seenAt[j.Work.GetId()]; ok {
			return now.Sub(at)
		}
		return 0
	}
	if id := q.GetJob(); id != "" {
		j := state.Job(id)
		if j == nil {
			return &messages.Explanation{Verdict: &messages.Verdict{Status: StatusUnknown, Reason: "no such job"}}
		}
		return c.explainJob(in, j)
	}
	work, refusal := c.describedWork(state, q)
	if refusal != nil {
		return &messages.Explanation{Verdict: refusal}
	}
	j := tracker.NewJob(work, math.MaxUint64)
	in.Jobs = append(slices.Clone(in.Jobs), j) // the list belongs to the state
	return c.explainJob(in, j)
}

// describedWork returns the work of a described job as its admission would set it, or the refusal.
func (c *Coordinator) describedWork(state *tracker.Tracker, q *messages.ExplainRequest) (*messages.Work, *messages.Verdict) {
	if state.Catalog() == nil {
		return nil, &messages.Verdict{Status: StatusEmpty, Reason: "no catalog is in force yet"}
	}
	queue := state.QueueByName(q.GetQueue())
	if queue == nil {
		return nil, &messages.Verdict{Status: StatusNoQueue, Reason: "no queue has this name"}
	}
	if reason := checkDescribed(q.GetSteps(), queue.GetPriority() == 0); reason != "" {
		return nil, &messages.Verdict{Status: StatusInvalid, Reason: reason}
	}
	switch name := q.GetOrganisation(); {
	case name != "" && state.OrganisationByName(name) == nil:
		return nil, &messages.Verdict{Status: StatusInvalid, Reason: "no organisation has this name"}
	case name == "" && !queue.GetPublic():
		return nil, &messages.Verdict{Status: StatusNoKey, Reason: "the queue accepts jobs of organisations only"}
	case queue.GetAdvised():
		return nil, &messages.Verdict{Status: StatusMismatch, Reason: "the queue's workers are chosen by an outside service, which is not supported"}
	}
	work := &messages.Work{
		Id: describedID, Queue: queue.GetName(), Organisation: q.GetOrganisation(), Pool: queue.GetPool(), Priority: queue.GetPriority(),
		Attempts: queue.GetAttempts(), Accepted: c.opts.Wall().UnixMilli(),
	}
	for _, s := range q.GetSteps() {
		work.Steps = append(work.Steps, proto.Clone(s).(*messages.Step))
	}
	work.Objective = objective(queue, work).Milliseconds()
	if refusal := c.refuseTooLarge(work); refusal != nil {
		return nil, refusal
	}
	if reason := c.capacityShortfall(work); reason != "" {
		return nil, &messages.Verdict{Status: StatusRefused, Reason: reason, Retry: noCapacityRetryAfter.Milliseconds()}
	}
	return work, nil
}

// checkDescribed returns what is wrong with the steps of a described job, "" if nothing is.
func checkDescribed(steps []*messages.Step, urgent bool) string {
	if len(steps) == 0 || len(steps) > maxDescribedSteps {
		return fmt.Sprintf("steps: %d given, want 1 to %d", len(steps), maxDescribedSteps)
	}
	tasks, single := 0, 0
	for i, s := range steps {
		if s.GetCount() < 1 || s.GetCount() > maxDescribedTasks {
			return fmt.Sprintf("step %d: count is %d, want 1 to %d", i, s.GetCount(), maxDescribedTasks)
		}
		tasks += int(s.GetCount())
		if !s.GetGang() {
			single += int(s.GetCount())
		}
		if min(s.GetProcessors(), s.GetMemory(), s.GetAccelerators(), s.GetEstimate(), int64(s.GetSpread())) < 0 {
			return fmt.Sprintf("step %d: processors, memory, accelerators, estimate and spread must not be negative", i)
		}
		for _, dependency := range s.GetAfter() {
			if dependency < 0 || int(dependency) >= i {
				return fmt.Sprintf("step %d: after names step %d, want an earlier step", i, dependency)
			}
		}
	}
	if tasks > maxDescribedTasks {
		return fmt.Sprintf("steps: %d tasks, want at most %d", tasks, maxDescribedTasks)
	}
	if urgent && single > maxDescribedUrgent {
		return fmt.Sprintf("steps: %d tasks outside of gangs, want at most %d for an urgent queue", single, maxDescribedUrgent)
	}
	return ""
}

// explainJob runs the placer and returns its decisions about one job.
func (c *Coordinator) explainJob(in *placer.Input, j *tracker.Job) *messages.Explanation {
	e := &messages.Explanation{Verdict: &messages.Verdict{Status: StatusOK, Phase: string(j.Phase)}}
	if j.Ended() {
		return e
	}
	id := j.Work.GetId()
	plan := placer.NewPlan(in)
	for _, r := range plan.Starts {
		if r.GetJob() != id {
			continue
		}
		w := c.workers[r.GetWorker()]
		e.Starts = append(e.Starts, &messages.ExplainedStart{
			Occurrence: r.GetOccurrence(), Step: r.GetStep(), Task: r.GetTask(), Worker: w.id, Rack: w.rack, Place: w.place,
		})
	}
	for i, a := range plan.Stops {
		if plan.StoppedFor[i].Job != id {
			continue
		}
		e.Stops = append(e.Stops, &messages.ExplainedStop{
			Job: a.Key.Job, Occurrence: a.Key.Occurrence, Step: a.Key.Step, Task: a.Key.Task,
			Worker: a.Job.Step(a.Key.Occurrence, a.Key.Step).Tasks[a.Key.Task].Worker,
		})
	}
	e.Waits = stepWaits(in, plan, j)
	return e
}

// stepWaits returns the waits of a job after a plan.
func stepWaits(in *placer.Input, plan placer.Plan, j *tracker.Job) []*messages.ExplainedWait {
	starts := map[placer.StepKey]int32{}
	for _, r := range plan.Starts {
		starts[placer.StepKey{Job: r.GetJob(), Occurrence: r.GetOccurrence(), Step: r.GetStep()}]++
	}
	prefers := map[placer.StepKey]string{}
	for _, d := range plan.Deferred {
		prefers[d.Key] = d.Preferred
	}
	var list []*messages.ExplainedWait
	add := func(key placer.StepKey, tasks int32, obstacle string) {
		list = append(list, &messages.ExplainedWait{
			Occurrence: key.Occurrence, Step: key.Step, Trial: key.Trial, Tasks: tasks, Obstacle: obstacle, Prefers: prefers[key],
		})
	}
	obstacles := maps.Clone(plan.Obstacles)
	for _, b := range plan.Blocked {
		obstacles[b.Key] = b.Obstacle
		if b.Key.Job == j.Work.GetId() && b.Key.Trial > 0 {
			add(b.Key, 1, string(b.Obstacle))
		}
	}
	steps := j.Steps()
	for i := range steps {
		key := placer.StepKey{Job: j.Work.GetId(), Occurrence: steps[i].Occurrence, Step: steps[i].Index}
		if tasks := idleTasks(&steps[i]) - starts[key]; tasks > 0 {
			add(key, tasks, stepObstacle(in, j, &steps[i], obstacles[key]))
		}
	}
	return list
}

// idleTasks returns the number of tasks of a step that are neither done nor running.
func idleTasks(s *tracker.Step) int32 {
	n := int32(0)
	for i := range s.Tasks {
		if !s.Tasks[i].Done && s.Tasks[i].Active == 0 {
			n++
		}
	}
	return n
}

// stepObstacle returns the obstacle to a step, or why its turn has not come.
func stepObstacle(in *placer.Input, j *tracker.Job, s *tracker.Step, planned placer.Obstacle) string {
	switch {
	case !in.Due(j, s.Occurrence):
		return obstacleNotDue
	case !j.DependenciesDone(s):
		return obstacleEarlierSteps
	}
	return string(planned)
}
