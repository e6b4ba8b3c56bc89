package simulator

import (
	"maps"
	"slices"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
)

const (
	maxCrashDelay    = 10 * time.Millisecond // from the start of a deadly task to the crash of its worker
	minRestartTime   = 2 * time.Second       // from such a crash to the start of the next incarnation
	maxRestartTime   = 8 * time.Second
	longRestartShare = 0.2 // of these restarts, which take longer than the lease
	maxCrashes       = 3   // under a task, after which its starts are limited
	maxStartsAfter   = 2   // starts of a task after maxCrashes
	minGiveUpCrashes = 2   // workers that have crashed under a task before its job may fail for that
)

// deadlyTask is a task that crashes each worker soon after it has started there.
type deadlyTask struct {
	key         tracker.TaskKey
	crashes     int // workers that crashed while they ran it, for any reason
	startsAfter int // starts after maxCrashes
}

// drawDeadlyTask draws whether a job has a deadly task, and which. It returns nil if there is none.
func (s *Simulator) drawDeadlyTask(j *job) *deadlyTask {
	if j.queue.Deadly == 0 || s.random.Float64() >= j.queue.Deadly {
		return nil
	}
	step := s.random.IntN(len(j.work.GetSteps()))
	task := s.random.Int32N(j.work.GetSteps()[step].GetCount())
	return &deadlyTask{key: tracker.TaskKey{Job: j.id, Step: int32(step), Task: task}}
}

// isDeadly reports whether a run crashes its worker.
func (r *run) isDeadly() bool { return r.job.deadly != nil && r.job.deadly.key == r.key.TaskKey }

// startDeadly checks the limit on the starts of a deadly task and schedules the crash of its worker.
func (w *worker) startDeadly(r *run) {
	s, d := w.sim, r.job.deadly
	if d.crashes >= maxCrashes {
		d.startsAfter++
	}
	if d.startsAfter == maxStartsAfter+1 {
		s.recordViolation("task %v starts on %s, %d starts after %d workers have crashed under it", d.key, w.id, d.startsAfter, maxCrashes)
	}
	incarnation := w.incarnation
	s.after(time.Duration(s.random.Int64N(int64(maxCrashDelay))), func() {
		if w.incarnation != incarnation || !w.up || w.runs[r.key] != r {
			return
		}
		r.advance(w)
		before := s.result.LostWork + r.lostWork(tracker.EndExpired)
		s.result.DeadlyCrashes++
		w.crash()
		s.result.LostBeside += s.result.LostWork - before
		restart := minRestartTime + time.Duration(s.random.Int64N(int64(maxRestartTime-minRestartTime)))
		if s.random.Float64() < longRestartShare {
			restart += s.opts.Fleet.MaxLease
		}
		w.restartAfter(restart)
	})
}

// crash ends the worker without a report and counts that for the deadly tasks that it runs.
func (w *worker) crash() {
	for _, key := range slices.SortedFunc(maps.Keys(w.runs), tracker.CompareKeys) {
		if r := w.runs[key]; r.isDeadly() {
			r.job.deadly.crashes++
			w.sim.startFaultsAfterCrash(r.job.deadly.crashes)
		}
	}
	w.exit()
}

// startFaultsAfterCrash schedules the faults that follow the n-th crash under a task.
func (s *Simulator) startFaultsAfterCrash(n int) {
	for i, f := range s.opts.Faults {
		if f.AfterCrashes == n && !s.triggered[i] {
			s.triggered[i] = true
			s.after(f.Start, func() { s.startFault(f) })
		}
	}
}

// recordFailure records a run that ended as failed.
func (j *job) recordFailure(r *run) {
	key := r.key.TaskKey
	if r.spec.GetGang() {
		key.Task = 0
	}
	if j.failedRuns == nil {
		j.failedRuns = map[tracker.TaskKey]map[uint32]bool{}
	}
	if j.failedRuns[key] == nil {
		j.failedRuns[key] = map[uint32]bool{}
	}
	j.failedRuns[key][r.key.Number] = true
}

// attemptsUsed reports whether a task or gang of the job has failed as often as it may, as on failing workers.
func (j *job) attemptsUsed() bool {
	for _, runs := range j.failedRuns {
		if len(runs) >= int(j.queue.Attempts) {
			return true
		}
	}
	return false
}

// checkFailedPhase checks that a job reported as failed has used up its attempts or has a deadly task under
// which workers have crashed.
func (s *Simulator) checkFailedPhase(j *job) {
	switch {
	case j.deadly != nil && j.deadly.crashes >= minGiveUpCrashes:
		s.result.GivenUp++
	case j.attemptsUsed():
	case j.deadly != nil:
		s.recordViolation("job %s of %s is reported as failed after %d crashes under its deadly task", j.id, j.queue.Name, j.deadly.crashes)
	default:
		s.recordViolation("job %s of %s, which cannot fail, is reported as failed", j.id, j.queue.Name)
	}
}

// checkDeadlyJobsEnded checks that all accepted jobs with a deadly task have ended.
func (s *Simulator) checkDeadlyJobsEnded() {
	for _, j := range s.jobs {
		if j.deadly != nil && !j.accepted.IsZero() && j.phase != tracker.Failed && j.phase != tracker.Cancelled {
			s.recordViolation("job %s of %s has not ended, %d workers have crashed under its deadly task", j.id, j.queue.Name, j.deadly.crashes)
		}
	}
}
