package simulator

import (
	"slices"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/placer"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

const (
	waitCheckInterval = 50 * time.Millisecond // between two checks of the waiting jobs
	maxIdleTime       = 3 * time.Second       // for which a job may have nothing running beside idle workers
	maxLastingGap     = 6 * time.Second       // from the last run of a lasting task to the begin of that time
	maxPause          = 2 * time.Second       // between two parts of a wait that add up, for ContinuousWaits
)

// maxLeaseError is by how much longer a leader takes a lease to last than it was granted for.
const maxLeaseError = 500 * time.Millisecond

// wait is the time for which a job, or a lasting task, has had nothing running though it could run.
type wait struct {
	since    time.Time     // zero if it does not wait
	lastRun  time.Time     // end of the last run
	total    time.Duration // for which it has waited since its last run, for ContinuousWaits
	paused   time.Duration // for which it could not run, since it last waited
	reported bool
}

// disturb records a fault that begins or ends. It starts the times of all waits anew.
func (s *Simulator) disturb() { s.disturbedAt = s.now }

// checkWaits checks that no accepted job has nothing running for maxIdleTime though the turn of a task has come, there is
// capacity for it twice over and less than half of the capacity is in use. A lasting task need not wait for the latter.
func (s *Simulator) checkWaits() {
	if s.leader == nil {
		return // its end and the next election are disturbances
	}
	free, idle := s.freeCapacities()
	for _, j := range s.jobs {
		state := s.state.Job(j.id)
		if j.accepted.IsZero() || j.cancelSent || state == nil || state.Ended() {
			continue
		}
		if j.queue.Lasting {
			s.checkLastingTasks(j, state, free)
			continue
		}
		waits := idle && j.running == 0 && !s.hasUnknownRuns(state) && slices.ContainsFunc(state.Steps(), func(step tracker.Step) bool {
			return hasTurn(state, &step) && s.hasRoomTwice(&step, free)
		})
		limit := s.waitLimit(state)
		total := s.observeTotal(&j.wait, waits, state.Active() > 0, limit)
		if s.observeWait(&j.wait, waits, limit) || total {
			s.recordViolation("job %s of %s has had nothing running for %v beside idle workers, %d steps of up to %d tasks, gang %v, up to %d crashes of a task",
				j.id, j.queue.Name, limit, len(j.work.GetSteps()), widest(j.work), j.queue.Gang, mostCrashes(state))
		}
	}
}

// checkLastingTasks checks that each task of a lasting job runs again in time.
func (s *Simulator) checkLastingTasks(j *job, state *tracker.Job, free map[*worker]placer.Vector) {
	for _, step := range state.Steps() {
		for n, t := range step.Tasks {
			key := taskKey(state, &step, int32(n))
			w := s.lastingWaits[key]
			if w == nil {
				w = &wait{lastRun: j.accepted}
				s.lastingWaits[key] = w
			}
			waits := s.activeRuns[key] == 0 && !s.isUnknownRun(state, &step, int32(n)) && s.now.Sub(w.lastRun) >= maxLastingGap && s.hasRoomTwice(&step, free)
			if s.observeWait(w, waits, maxIdleTime) {
				s.recordViolation("lasting task %v has not run for %v, it has %d crashes", key, s.now.Sub(w.lastRun), len(t.Crashes))
			}
		}
	}
}

// observeWait updates a wait. It reports whether the wait has just become longer than the limit.
func (s *Simulator) observeWait(w *wait, waits bool, limit time.Duration) bool {
	if !waits {
		w.since = time.Time{}
		return false
	}
	if w.since.IsZero() {
		w.since = s.now
	}
	since := w.since
	if s.disturbedAt.After(since) {
		since = s.disturbedAt
	}
	if w.reported || s.now.Sub(since) <= limit {
		return false
	}
	w.reported = true
	return true
}

// observeTotal updates the sum of a job's waits since the last start of one of its tasks was decided: it is interrupted, but does
// not begin anew, while half of the capacity or more is in use for less than maxPause. It reports whether the sum has just become
// longer than the limit.
func (s *Simulator) observeTotal(w *wait, waits, started bool, limit time.Duration) bool {
	switch {
	case waits:
		w.total, w.paused = w.total+waitCheckInterval, 0
	case started || w.paused >= maxPause:
		w.total = 0
	default:
		w.paused += waitCheckInterval
	}
	if !s.opts.ContinuousWaits || w.reported || w.total <= limit {
		return false
	}
	w.reported = true
	return true
}

// waitLimit returns for how long a job may have nothing running.
func (s *Simulator) waitLimit(j *tracker.Job) time.Duration {
	if mostCrashes(j) >= tracker.LastTrialCrashes {
		return maxIdleTime + s.opts.LastTrialHold
	}
	return maxIdleTime
}

// recordRunBegin and recordRunEnd update the waits of a job and, if it lasts, of a task.
func (s *Simulator) recordRunBegin(r *run) {
	r.job.running++
	r.job.wait.since = time.Time{}
}

func (s *Simulator) recordRunEnd(r *run) {
	r.job.running--
	if w := s.lastingWaits[r.key.TaskKey]; w != nil {
		w.since, w.lastRun = time.Time{}, s.now
	}
}

// freeCapacities returns the free capacity of the workers on which a leader may start tasks, and whether less than half of
// their capacity is in use. Those of evacuated data centres are none of them. Workers that are out of reach do not count: a leader cannot know whether they are up.
func (s *Simulator) freeCapacities() (free map[*worker]placer.Vector, idle bool) {
	free = make(map[*worker]placer.Vector, len(s.workers))
	total, used := int64(0), int64(0)
	for _, w := range s.workers {
		if w.disconnected() || !w.exitAt.IsZero() || s.state.IsEvacuated(w.place) {
			continue
		}
		v := w.capacity
		for _, r := range w.runs {
			v = v.Sub(placer.Need(r.spec))
		}
		for key, r := range s.state.RunsOn(w.id) {
			if w.runs[key] == nil && r.GetBorn() == w.started { // about to start, or its end has not been committed
				v = v.Sub(placer.Need(s.state.Job(key.Job).Step(key.Occurrence, key.Step).Spec))
			}
		}
		free[w] = v
		total += w.capacity.Weight()
		used += w.capacity.Weight() - v.Weight()
	}
	return free, 2*used < total
}

// hasUnknownRuns reports whether a run of a job may still go on as far as a leader can know.
func (s *Simulator) hasUnknownRuns(j *tracker.Job) bool {
	if j.Active() == 0 {
		return false
	}
	for _, step := range j.Steps() {
		for n := range step.Tasks {
			if s.isUnknownRun(j, &step, int32(n)) {
				return true
			}
		}
	}
	return false
}

// isUnknownRun reports whether a task has a run that may still go on as far as a leader can know: its worker is down or out of
// reach and the lease may not have expired, or an earlier leader has ordered the start. A report without the run may be from
// before that order, held up on its way, and the run may yet begin. So the start is given up after the longest lease.
func (s *Simulator) isUnknownRun(j *tracker.Job, step *tracker.Step, task int32) bool {
	t := &step.Tasks[task]
	if t.Active == 0 {
		return false
	}
	w := s.workers[slices.IndexFunc(s.workers, func(w *worker) bool { return w.id == t.Worker })]
	if w.disconnected() {
		return true
	}
	key := tracker.RunKey{TaskKey: taskKey(j, step, task), Number: t.Number}
	r := s.state.RunsOn(w.id)[key]
	return r.GetBorn() == w.started && r.GetStarted() <= s.electedAt.UnixMilli() && s.now.Sub(s.electedAt) < s.opts.Fleet.MaxLease+maxLeaseError
}

func taskKey(j *tracker.Job, step *tracker.Step, task int32) tracker.TaskKey {
	return tracker.TaskKey{Job: j.Work.GetId(), Occurrence: step.Occurrence, Step: step.Index, Task: task}
}

// hasTurn reports whether the turn of a task of the step has come.
func hasTurn(j *tracker.Job, s *tracker.Step) bool {
	return !s.Done && j.DependenciesDone(s) && slices.ContainsFunc(s.Tasks, func(t tracker.Task) bool { return !t.Done })
}

// hasRoomTwice reports whether there is room for a gang, or for one of several tasks, twice over.
func (s *Simulator) hasRoomTwice(step *tracker.Step, free map[*worker]placer.Vector) bool {
	want := 2
	if step.Spec.GetGang() {
		want *= len(step.Tasks)
	}
	fits := 0
	for w, v := range free {
		if label := step.Spec.GetLabel(); label != "" && !slices.Contains(w.labels(), label) {
			continue
		}
		limit := want
		if spread := int(step.Spec.GetSpread()); spread > 0 {
			limit = spread
			for key := range w.runs {
				if s.state.Job(key.Job).Step(key.Occurrence, key.Step).Spec == step.Spec {
					limit--
				}
			}
		}
		fits += v.Fits(placer.Need(step.Spec), max(limit, 0))
	}
	return fits >= want
}

func widest(w *messages.Work) int32 {
	most := int32(0)
	for _, s := range w.GetSteps() {
		most = max(most, s.GetCount())
	}
	return most
}

func mostCrashes(j *tracker.Job) int {
	most := 0
	for _, s := range j.Steps() {
		for _, t := range s.Tasks {
			most = max(most, len(t.Crashes))
		}
	}
	return most
}
