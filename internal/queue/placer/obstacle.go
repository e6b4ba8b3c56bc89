package placer

import "github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"

// Obstacle is why a unit does not start.
type Obstacle string

// The obstacles to a start.
const (
	NoPool           Obstacle = "no pool"           // the catalog names no pool for its queue
	NoCapacity       Obstacle = "no capacity"       // it fits on none of the workers that it may use
	PreferredWorkers Obstacle = "preferred workers" // it waits for workers that it prefers, though it fits on others
	StopsPending     Obstacle = "stops pending"     // runs that have been stopped for it have not ended
	EndsPending      Obstacle = "ends pending"      // runs that are expected to end soon have not ended
	TrialLimit       Obstacle = "trial limit"       // as many trials as the pool may have are under way
	TrialOfJob       Obstacle = "trial of its job"  // another trial of its job is under way
	StartsPending    Obstacle = "starts pending"    // others are starting on the worker that is to try it
	Held             Obstacle = "held"              // it is suspect and workers are being lost, or it is about to be given up
	LikelyGivenUp    Obstacle = "likely given up"   // a task of its step is likely to be given up
	MembersActive    Obstacle = "members active"    // members of its previous run have not ended
	Resting          Obstacle = "resting"           // the next start of a lasting task is delayed
	Evacuated        Obstacle = "evacuated"         // only workers of evacuated data centres have the capacity for it
	PlanFull         Obstacle = "plan full"         // the pass has started as many tasks as fit into one change
	SearchLimit      Obstacle = "search limit"      // the pass has searched for room as long as it may
)

// Blocked is a step of which no task started in a pass, though the turn of one has come, or a lasting step of which any task
// still waits, or such a suspect task of a lasting step.
type Blocked struct {
	Key      StepKey
	Obstacle Obstacle // to the last unit of the step
	Idle     bool     // most of the pool is idle, or the step is a lasting one, which need not wait for that
	Stands   bool     // nothing of the job is known to run
}

// block records the obstacle to a unit of a step.
func (p *pass) block(key StepKey, obstacle Obstacle) { p.obstacles[key] = obstacle }

// listBlocked lists the steps that are blocked after this pass.
func (p *pass) listBlocked() {
	if len(p.obstacles) == 0 {
		return
	}
	starts := map[StepKey]int{}
	for _, r := range p.plan.Starts {
		key := StepKey{Job: r.GetJob(), Occurrence: r.GetOccurrence(), Step: r.GetStep()}
		starts[key]++
		key.Trial = r.GetTask() + 1
		starts[key]++
	}
	for _, j := range p.input.Jobs {
		steps := j.Steps()
		for i := range steps {
			for _, key := range keysOf(j, &steps[i]) {
				if obstacle, ok := p.obstacles[key]; ok && p.isBlocked(key, j, &steps[i], starts[key]) {
					p.plan.Blocked = append(p.plan.Blocked, Blocked{
						Key: key, Obstacle: p.nameObstacle(obstacle, j, &steps[i]), Idle: steps[i].Spec.GetLasting() || p.isPoolIdle(p.input.Pool(j)),
						Stands: !p.running[j],
					})
				}
			}
		}
	}
}

// keysOf returns the keys under which a step, or a task of it, may wait.
func keysOf(j *tracker.Job, s *tracker.Step) []StepKey {
	keys := []StepKey{keyOf(j, s)}
	if s.Spec.GetLasting() && !s.Spec.GetGang() {
		for i := range s.Tasks {
			keys = append(keys, trialKeyOf(j, s, int32(i)))
		}
	}
	return keys
}

// isBlocked reports whether a step is blocked after some of its tasks have started in this pass. Tasks that last wait each
// for itself: restarts of one must not begin the wait of another anew.
func (p *pass) isBlocked(key StepKey, j *tracker.Job, s *tracker.Step, starts int) bool {
	return starts == 0 || key.Trial == 0 && s.Spec.GetLasting() && starts < len(p.waitingTasks(j, s))
}

// nameObstacle returns Evacuated in place of NoCapacity if the step fits on no set of workers, even idle ones, without those of
// evacuated data centres.
func (p *pass) nameObstacle(obstacle Obstacle, j *tracker.Job, s *tracker.Step) Obstacle {
	if obstacle != NoCapacity || !p.evacuated[p.input.Pool(j)] {
		return obstacle
	}
	tasks := 1
	if s.Spec.GetGang() {
		tasks = len(s.Tasks)
	}
	perWorker := tasks
	if spread := int(s.Spec.GetSpread()); spread > 0 {
		perWorker = min(perWorker, spread)
	}
	left, all := 0, 0
	for _, w := range p.input.Workers {
		if w.Pool != p.input.Pool(j) || !w.Usable && !w.Late && !w.Silent || !hasLabel(w, s) {
			continue
		}
		n := w.Capacity.Fits(Need(s.Spec), perWorker)
		if all += n; w.Evacuated {
			continue
		}
		if left += n; left >= tasks {
			return obstacle
		}
	}
	if all < tasks {
		return obstacle
	}
	return Evacuated
}
