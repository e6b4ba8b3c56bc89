package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/job/allocator"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/detector"
)

// beginAttempt begins an attempt on a grant that is ready. A gang on a single worker starts at once; on several
// workers, each first has to hold its slots.
func (s *State) beginAttempt(j *job) {
	s.dequeue(j)
	g := s.fleet.Grant(j.Grant)
	j.Attempt++
	j.Reason = ""
	j.StopCause = ""
	j.Body = nil
	j.Members = s.membersOf(g, j.Slots)
	j.Started = time.Time{}
	if len(j.Members) == 1 {
		s.startAttempt(j)
		return
	}
	j.Phase = Holding
	s.markUnconfirmed(j)
	s.setDeadline(j, s.now.Add(holdTimeout))
	for rank := range j.Members {
		s.emit(Hold{j.part(rank)})
	}
}

// membersOf merges the parts of a grant by worker.
func (s *State) membersOf(g *allocator.Grant, taskSlots int) []Member {
	var members []Member
	for _, part := range g.Parts {
		i := slices.IndexFunc(members, func(m Member) bool { return m.Worker == part.Worker })
		if i < 0 {
			incarnation := s.workers[part.Worker].Incarnation
			members = append(members, Member{Worker: part.Worker, Incarnation: incarnation, State: Ordered})
			i = len(members) - 1
		}
		members[i].Slots += part.Slots
		members[i].Tasks = members[i].Slots / taskSlots
	}
	return members
}

// startAttempt commits the start of an attempt. From then on the job may have run.
func (s *State) startAttempt(j *job) {
	j.Phase = Running
	s.markUnconfirmed(j)
	s.setDeadline(j, time.Time{})
	j.CheckpointedAt = s.now
	for rank := range j.Members {
		s.emit(Start{Part: j.part(rank), Single: len(j.Members) == 1})
	}
	mode := s.fleet.Grant(j.Grant).Mode
	s.record("job", j.ID, j.Org, "attempt %d starts on %d workers, %s", j.Attempt, len(j.Members), mode)
}

// applyReport applies the acknowledgements of workers.
func (s *State) applyReport(e Report) {
	for _, a := range e.Acks {
		s.applyAck(a)
	}
}

// applyAck applies one acknowledgement. It ignores late and duplicate ones: those for another attempt, from
// another incarnation, or for a member that has already ended.
func (s *State) applyAck(a Ack) {
	j := s.jobs[a.Job]
	if j == nil || j.Answer != nil || j.Attempt != a.Attempt {
		return
	}
	m := j.member(a.Worker, a.Incarnation)
	if m == nil || m.State.terminal() {
		return
	}
	switch a.Kind {
	case AckHeld:
		s.memberHeld(j, m)
	case AckRefused:
		s.memberRefused(j, m, a)
	case AckStarted:
		s.memberStarted(j, m)
	case AckCheckpointed:
		s.memberCheckpointed(j, m, a)
	case AckStopped:
		m.State = Stopped
		s.memberEnded(j, causeLost, "stopped by its worker: "+a.Reason)
	case AckDone:
		s.memberDone(j, m, a)
	case AckFailed:
		m.State = MemberFailed
		m.Reason = a.Reason
		s.memberEnded(j, causeFailed, a.Reason)
	}
}

func (s *State) memberHeld(j *job, m *Member) {
	if j.Phase != Holding || m.State != Ordered {
		return
	}
	m.State = Held
	if j.allMembers(func(m MemberState) bool { return m == Held }) {
		s.startAttempt(j)
	}
}

func (s *State) memberRefused(j *job, m *Member, a Ack) {
	switch j.Phase {
	case Holding:
		s.avoidWorker(j, a.Worker)
		s.withdraw(j)
		s.backOff(j)
		s.requeue(j, fmt.Sprintf("worker %s refused: %s", a.Worker, a.Reason))
	case Running, Checkpointing, Stopping:
		if m.State.ran() {
			m.State = Stopped
			s.memberEnded(j, causeLost, "worker "+a.Worker+" ended it: "+a.Reason)
			return
		}
		m.State = NotStarted
		s.avoidWorker(j, a.Worker)
		s.memberEnded(j, causeRefused, fmt.Sprintf("worker %s refused: %s", a.Worker, a.Reason))
	case Waiting, Reclaiming, Complete:
	}
}

func (s *State) memberStarted(j *job, m *Member) {
	if m.State.ran() || j.Phase == Holding {
		return
	}
	m.State = Started
	if j.Started.IsZero() && j.allMembers(MemberState.ran) {
		j.Refusals = 0
		j.Started = s.now
		j.CheckpointedAt = s.now
	}
}

func (s *State) memberCheckpointed(j *job, m *Member, a Ack) {
	m.Progress = a.Progress
	m.Resume = a.Resume
	switch j.Phase {
	case Running:
		m.State = Started
	case Checkpointing:
		m.State = Checkpointed
	case Waiting, Reclaiming, Holding, Stopping, Complete:
		return
	}
	s.saveProgress(j)
	if j.Phase == Checkpointing && j.allMembers(isCheckpointedOrTerminal) {
		s.stopAttempt(j, causeEvicted, j.Reason)
	}
}

func isCheckpointedOrTerminal(m MemberState) bool { return m == Checkpointed || m.terminal() }

// saveProgress sets the progress of the job to the least progress that any member has checkpointed.
func (s *State) saveProgress(j *job) {
	least := j.Members[0].Progress
	for _, m := range j.Members {
		least = min(least, m.Progress)
	}
	if least > j.Progress {
		j.Progress = least
		j.Resume = j.Members[0].Resume
		j.CheckpointedAt = s.now
	}
}

func (s *State) memberDone(j *job, m *Member, a Ack) {
	m.State = MemberDone
	if m == &j.Members[0] {
		j.Body = a.Body
	}
	if j.Started.IsZero() {
		j.Started = j.CheckpointedAt
	}
	s.memberEnded(j, j.StopCause, j.Reason)
}

// memberEnded handles the end of one member. If it ended early, the other members are stopped.
func (s *State) memberEnded(j *job, cause stopCause, reason string) {
	early := j.anyMember(func(m MemberState) bool { return m.terminal() && m != MemberDone })
	switch {
	case j.Phase == Stopping && cause == causeFailed && j.StopCause != causeCancelled:
		j.StopCause, j.Reason = cause, reason
	case early && (j.Phase == Running || j.Phase == Checkpointing):
		s.stopAttempt(j, cause, reason)
	}
	if j.allMembers(MemberState.terminal) {
		s.finishAttempt(j)
	} else if j.Phase == Checkpointing && j.allMembers(isCheckpointedOrTerminal) {
		s.stopAttempt(j, causeEvicted, j.Reason)
	}
}

// stopAttempt stops an attempt on every member that may still be running.
func (s *State) stopAttempt(j *job, cause stopCause, reason string) {
	j.Phase = Stopping
	s.markUnconfirmed(j)
	j.StopCause = cause
	j.Reason = reason
	s.setDeadline(j, time.Time{})
	for rank, m := range j.Members {
		if !m.State.terminal() {
			s.emit(Stop{j.part(rank)})
		}
	}
}

// finishAttempt answers or requeues a job once its attempt has ended on every member.
func (s *State) finishAttempt(j *job) {
	s.recordWorkerHealth(j)
	ran := j.anyMember(MemberState.ran)
	lost := j.anyMember(func(m MemberState) bool { return m == MemberLost })
	j.Ran = j.Ran || ran || lost
	s.release(j)
	switch {
	case j.allMembers(func(m MemberState) bool { return m == MemberDone }):
		s.observeRuntime(j)
		s.setAnswer(j, Answer{Outcome: Done, Body: j.Body})
	case j.StopCause == causeCancelled:
		s.setAnswer(j, cancelledAnswer(ran, lost, j.reclaimable()))
	case !ran && !lost:
		s.backOff(j)
		s.requeue(j, j.Reason)
	case !j.reclaimable():
		s.setAnswer(j, nonIdempotentAnswer(j, ran, lost))
	default:
		s.retry(j, lost)
	}
}

func cancelledAnswer(ran, lost, idempotent bool) Answer {
	switch {
	case ran:
		return Answer{Outcome: Failed, Code: CodeCancelled, Reason: "cancelled while it ran"}
	case lost && !idempotent:
		return Answer{Outcome: Unknown, Code: CodeWorkerLost, Reason: "cancelled, and its worker was lost after the start order"}
	case lost:
		return Answer{Outcome: Failed, Code: CodeCancelled, Reason: "cancelled after its start order"}
	}
	return Answer{Outcome: NotRun, Code: CodeCancelled, Reason: "cancelled before its start"}
}

// nonIdempotentAnswer returns the answer to a non-idempotent job whose only attempt ended early.
func nonIdempotentAnswer(j *job, ran, lost bool) Answer {
	switch {
	case j.StopCause == causeFailed:
		return Answer{Outcome: Failed, Code: CodeTaskFailed, Reason: j.Reason}
	case lost:
		return Answer{Outcome: Unknown, Code: CodeWorkerLost, Reason: "a worker was lost after the start order"}
	case ran:
		return Answer{Outcome: Failed, Code: CodePartialGang, Reason: j.Reason}
	}
	return Answer{Outcome: NotRun, Reason: j.Reason}
}

// retry requeues an idempotent job, or answers it once maxFailures or maxLosses is reached.
func (s *State) retry(j *job, lost bool) {
	switch {
	case j.StopCause == causeFailed:
		j.Failures++
	case lost || j.StopCause == causeLost:
		j.Losses++
	}
	switch {
	case j.Failures >= maxFailures:
		s.setAnswer(j, Answer{Outcome: Failed, Code: CodeTaskFailed, Reason: j.Reason})
	case j.Losses >= maxLosses:
		s.setAnswer(j, Answer{Outcome: Failed, Code: CodeWorkerLost, Reason: j.Reason})
	default:
		s.requeue(j, j.Reason)
	}
}

// backOff delays the next attempt of a job that workers refused. Without it, a worker that disagrees with the
// scheduler on its free slots would fill the replicated log with attempts.
func (s *State) backOff(j *job) {
	wait := min(minBackoff<<min(j.Refusals, 10), maxBackoff)
	j.Refusals++
	j.NotBefore = s.now.Add(wait)
	if s.retryAt.IsZero() || j.NotBefore.Before(s.retryAt) {
		s.retryAt = j.NotBefore
	}
}

// requeue returns a job without a grant to the queue. The job keeps its age. It is answered instead if the
// manifest has changed since the job was placed and no longer has the capacity for it.
func (s *State) requeue(j *job, reason string) {
	j.Members = nil
	j.Reason = reason
	j.StopCause = ""
	j.Queued = s.now
	j.Started = time.Time{}
	s.setDeadline(j, time.Time{})
	if !s.isPlaceable(j) {
		s.rejectJob(j)
		return
	}
	s.enqueue(j)
	s.capacityChanged = true
	s.record("job", j.ID, j.Org, "requeued: %s", reason)
}

// withdraw releases a grant under which nothing was started. It does not update the phase: the caller must
// requeue or answer the job.
func (s *State) withdraw(j *job) {
	s.dequeue(j)
	for rank := range j.Members {
		s.emit(Release{j.part(rank)})
	}
	j.Members = nil
	s.setDeadline(j, time.Time{})
	s.release(j)
}

// release ends the grant of a job and begins the jobs that were waiting for its slots.
func (s *State) release(j *job) {
	if j.Grant == 0 {
		return
	}
	if g := s.fleet.Grant(j.Grant); g != nil {
		s.usedSlots[j.Org] -= g.SlotCount()
		if s.usedSlots[j.Org] == 0 {
			delete(s.usedSlots, j.Org)
		}
	}
	id := j.Grant
	j.Grant = 0
	delete(s.byGrant, id)
	s.capacityChanged = true
	for _, ready := range s.fleet.Release(id) {
		next := s.byGrant[ready]
		if place := s.evacuatedPlace(s.fleet.Grant(ready)); place != "" {
			s.withdrawEvacuated(next, place)
			continue
		}
		s.beginAttempt(next)
	}
}

// recordWorkerHealth passes the successes and failures of members to the failure detector.
func (s *State) recordWorkerHealth(j *job) {
	for _, m := range j.Members {
		switch m.State {
		case MemberDone:
			s.health.RecordSuccess(m.Worker)
		case MemberFailed:
			s.avoidWorker(j, m.Worker)
			if s.health.RecordFailure(s.now, m.Worker, j.ID) == detector.Quarantine {
				s.fleet.SetUsable(m.Worker, false)
				s.record("worker", m.Worker, "", "quarantined: distinct jobs failed on this worker and on no other")
			}
		case Ordered, Held, Started, Checkpointed, Stopped, NotStarted, MemberLost:
		}
	}
}

func (s *State) avoidWorker(j *job, name string) {
	if slices.Contains(j.Avoid, name) {
		return
	}
	if len(j.Avoid) == maxAvoidedWorkers {
		j.Avoid = j.Avoid[1:]
	}
	j.Avoid = append(slices.Clone(j.Avoid), name)
}

// observeRuntime updates the run-time estimates with the run time of a completed job.
func (s *State) observeRuntime(j *job) {
	if j.Started.IsZero() {
		return
	}
	actual := s.now.Sub(j.Started) + j.Progress
	s.estimates.Observe(j.Org, j.Spec.Service, j.Spec.Runtime.Std(), actual)
}

// handleDeadlines handles expired deadlines of jobs, quarantines that are due for a probe, and due passes.
func (s *State) handleDeadlines() {
	for _, j := range s.dueJobs() {
		switch j.Phase {
		case Holding:
			for _, m := range j.Members {
				if m.State == Ordered {
					s.avoidWorker(j, m.Worker)
				}
			}
			s.withdraw(j)
			s.backOff(j)
			s.requeue(j, "a member did not answer in time")
		case Checkpointing:
			s.stopAttempt(j, causeEvicted, j.Reason)
		case Running:
			s.stopUnconfirmed(j)
		case Waiting, Reclaiming, Stopping, Complete:
			s.setDeadline(j, time.Time{})
		}
	}
	for _, name := range s.health.StartDueProbes(s.now) {
		if w := s.workers[name]; w != nil && s.isUsable(w) {
			s.fleet.SetUsable(name, true)
			s.capacityChanged = true
			s.record("worker", name, "", "back in service for a probe")
		}
	}
	if !s.nextPass.IsZero() && !s.now.Before(s.nextPass) {
		s.capacityChanged = true
	}
	if !s.retryAt.IsZero() && !s.now.Before(s.retryAt) {
		s.capacityChanged = true
		s.retryAt = time.Time{}
	}
}

func (s *State) dueJobs() []*job {
	var due []*job
	for _, j := range s.withDeadline {
		if !s.now.Before(j.Deadline) {
			due = append(due, j)
		}
	}
	slices.SortFunc(due, compareJobs)
	return due
}
