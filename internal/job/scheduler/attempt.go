package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/job/allocator"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/detector"
)

// begin starts an attempt on a grant that is ready. A gang on one worker starts in one step; a
// larger one first holds room on every member.
func (s *State) begin(j *job) {
	s.dequeue(j)
	g := s.fleet.Grant(j.Grant)
	j.Attempt++
	j.Reason = ""
	j.Next = ""
	j.Body = nil
	j.Members = s.membersOf(g, j.Slots)
	j.Begun = time.Time{}
	if len(j.Members) == 1 {
		s.start(j)
		return
	}
	j.Phase = Holding
	s.sent(j)
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

// start commits the start of an attempt. From here on the job may have run.
func (s *State) start(j *job) {
	j.Phase = Running
	s.sent(j)
	s.setDeadline(j, time.Time{})
	j.SavedAt = s.now
	for rank := range j.Members {
		s.emit(Start{Part: j.part(rank), Single: len(j.Members) == 1})
	}
	mode := s.fleet.Grant(j.Grant).Mode
	s.record("job", j.ID, j.Org, "attempt %d starts on %d workers, %s", j.Attempt, len(j.Members), mode)
}

// report takes in what workers said.
func (s *State) report(e Report) {
	for _, a := range e.Acks {
		s.acknowledge(a)
	}
}

// acknowledge applies one worker's word. Words on other attempts, from other incarnations, or
// after the member's end are late or doubled and change nothing.
func (s *State) acknowledge(a Ack) {
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
		s.held(j, m)
	case AckRefused:
		s.refused(j, m, a)
	case AckStarted:
		s.started(j, m)
	case AckCheckpointed:
		s.checkpointed(j, m, a)
	case AckStopped:
		m.State = Stopped
		s.memberEnded(j, nextLost, "stopped by its worker: "+a.Reason)
	case AckDone:
		s.memberDone(j, m, a)
	case AckFailed:
		m.State = MemberFailed
		m.Reason = a.Reason
		s.memberEnded(j, nextFailed, a.Reason)
	}
}

func (s *State) held(j *job, m *Member) {
	if j.Phase != Holding || m.State != Ordered {
		return
	}
	m.State = Held
	if j.allMembers(func(m MemberState) bool { return m == Held }) {
		s.start(j)
	}
}

func (s *State) refused(j *job, m *Member, a Ack) {
	switch j.Phase {
	case Holding:
		s.avoid(j, a.Worker)
		s.withdraw(j)
		s.backOff(j)
		s.requeue(j, fmt.Sprintf("worker %s refused: %s", a.Worker, a.Reason))
	case Running, Checkpointing, Stopping:
		if m.State.ran() {
			m.State = Stopped
			s.memberEnded(j, nextLost, "worker "+a.Worker+" ended it: "+a.Reason)
			return
		}
		m.State = NotStarted
		s.avoid(j, a.Worker)
		s.memberEnded(j, nextRefused, fmt.Sprintf("worker %s refused: %s", a.Worker, a.Reason))
	case Waiting, Reclaiming, Complete:
	}
}

func (s *State) started(j *job, m *Member) {
	if m.State.ran() || j.Phase == Holding {
		return
	}
	m.State = Started
	if j.Begun.IsZero() && j.allMembers(MemberState.ran) {
		j.Refusals = 0
		j.Begun = s.now
		j.SavedAt = s.now
	}
}

func (s *State) checkpointed(j *job, m *Member, a Ack) {
	m.Progress = a.Progress
	m.Resume = a.Resume
	switch j.Phase {
	case Running:
		m.State = Started
	case Checkpointing:
		m.State = Saved
	case Waiting, Reclaiming, Holding, Stopping, Complete:
		return
	}
	s.saveProgress(j)
	if j.Phase == Checkpointing && j.allMembers(savedOrEnded) {
		s.stop(j, nextRequeue, j.Reason)
	}
}

func savedOrEnded(m MemberState) bool { return m == Saved || m.terminal() }

// saveProgress takes the least progress that all members have saved.
func (s *State) saveProgress(j *job) {
	least := j.Members[0].Progress
	for _, m := range j.Members {
		least = min(least, m.Progress)
	}
	if least > j.Progress {
		j.Progress = least
		j.Resume = j.Members[0].Resume
		j.SavedAt = s.now
	}
}

func (s *State) memberDone(j *job, m *Member, a Ack) {
	m.State = MemberDone
	if m == &j.Members[0] {
		j.Body = a.Body
	}
	if j.Begun.IsZero() {
		j.Begun = j.SavedAt
	}
	s.memberEnded(j, j.Next, j.Reason)
}

// memberEnded follows the end of one member. An early end stops the other members.
func (s *State) memberEnded(j *job, then next, reason string) {
	early := j.anyMember(func(m MemberState) bool { return m.terminal() && m != MemberDone })
	switch {
	case j.Phase == Stopping && then == nextFailed && j.Next != nextCancel:
		j.Next, j.Reason = then, reason
	case early && (j.Phase == Running || j.Phase == Checkpointing):
		s.stop(j, then, reason)
	}
	if j.allMembers(MemberState.terminal) {
		s.conclude(j)
	} else if j.Phase == Checkpointing && j.allMembers(savedOrEnded) {
		s.stop(j, nextRequeue, j.Reason)
	}
}

// stop ends an attempt early on every member that still may run.
func (s *State) stop(j *job, then next, reason string) {
	j.Phase = Stopping
	s.sent(j)
	j.Next = then
	j.Reason = reason
	s.setDeadline(j, time.Time{})
	for rank, m := range j.Members {
		if !m.State.terminal() {
			s.emit(Stop{j.part(rank)})
		}
	}
}

// conclude decides what follows once an attempt has ended on every member.
func (s *State) conclude(j *job) {
	s.judgeWorkers(j)
	ran := j.anyMember(MemberState.ran)
	lost := j.anyMember(func(m MemberState) bool { return m == MemberLost })
	j.Ran = j.Ran || ran || lost
	s.release(j)
	switch {
	case j.allMembers(func(m MemberState) bool { return m == MemberDone }):
		s.observe(j)
		s.answer(j, Answer{Outcome: Done, Body: j.Body})
	case j.Next == nextCancel:
		s.answer(j, cancelled(ran, lost, j.reclaimable()))
	case !ran && !lost:
		s.backOff(j)
		s.requeue(j, j.Reason)
	case !j.reclaimable():
		s.answer(j, endedOnce(j, ran, lost))
	default:
		s.retry(j, lost)
	}
}

func cancelled(ran, lost, idempotent bool) Answer {
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

// endedOnce answers a non-idempotent job whose only attempt ended early.
func endedOnce(j *job, ran, lost bool) Answer {
	switch {
	case j.Next == nextFailed:
		return Answer{Outcome: Failed, Code: CodeTaskFailed, Reason: j.Reason}
	case lost:
		return Answer{Outcome: Unknown, Code: CodeWorkerLost, Reason: "a worker was lost after the start order"}
	case ran:
		return Answer{Outcome: Failed, Code: CodeNotWhole, Reason: j.Reason}
	}
	return Answer{Outcome: NotRun, Reason: j.Reason}
}

// retry queues an idempotent job again, within its bounds.
func (s *State) retry(j *job, lost bool) {
	switch {
	case j.Next == nextFailed:
		j.Failures++
	case lost || j.Next == nextLost:
		j.Losses++
	}
	switch {
	case j.Failures >= maxFailures:
		s.answer(j, Answer{Outcome: Failed, Code: CodeTaskFailed, Reason: j.Reason})
	case j.Losses >= maxLosses:
		s.answer(j, Answer{Outcome: Failed, Code: CodeWorkerLost, Reason: j.Reason})
	default:
		s.requeue(j, j.Reason)
	}
}

// backOff keeps a job that workers refused from being tried again at once, so that a worker and
// the decisions that disagree on its slots don't fill the log.
func (s *State) backOff(j *job) {
	wait := min(firstBackoff<<min(j.Refusals, 10), longestBackoff)
	j.Refusals++
	j.NotBefore = s.now.Add(wait)
	if s.retryAt.IsZero() || j.NotBefore.Before(s.retryAt) {
		s.retryAt = j.NotBefore
	}
}

// requeue puts a job without a grant back into the queue, with its age. The manifest may have
// changed since the job was placed, so that it has no room for it any more.
func (s *State) requeue(j *job, reason string) {
	j.Members = nil
	j.Reason = reason
	j.Next = ""
	j.Queued = s.now
	j.Begun = time.Time{}
	s.setDeadline(j, time.Time{})
	if !s.mayRun(j) {
		s.refuseNow(j)
		return
	}
	s.enqueue(j)
	s.freed = true
	s.record("job", j.ID, j.Org, "queued again: %s", reason)
}

// withdraw gives up a grant under which nothing was started. The job is left without a phase
// of its own; the caller queues or answers it.
func (s *State) withdraw(j *job) {
	s.dequeue(j)
	for rank := range j.Members {
		s.emit(Release{j.part(rank)})
	}
	j.Members = nil
	s.setDeadline(j, time.Time{})
	s.release(j)
}

// release ends the job's grant and begins the jobs that waited for its room.
func (s *State) release(j *job) {
	if j.Grant == 0 {
		return
	}
	if g := s.fleet.Grant(j.Grant); g != nil {
		s.usage[j.Org] -= g.SlotCount()
		if s.usage[j.Org] == 0 {
			delete(s.usage, j.Org)
		}
	}
	id := j.Grant
	j.Grant = 0
	delete(s.byGrant, id)
	s.freed = true
	for _, ready := range s.fleet.Release(id) {
		s.begin(s.byGrant[ready])
	}
}

// judgeWorkers tells the detector of good and bad ends.
func (s *State) judgeWorkers(j *job) {
	for _, m := range j.Members {
		switch m.State {
		case MemberDone:
			s.health.Succeeded(m.Worker)
		case MemberFailed:
			s.avoid(j, m.Worker)
			if s.health.Failed(s.now, m.Worker, j.ID) == detector.PutAside {
				s.fleet.SetUsable(m.Worker, false)
				s.record("worker", m.Worker, "", "put aside: distinct jobs failed here and nowhere else")
			}
		case Ordered, Held, Started, Saved, Stopped, NotStarted, MemberLost:
		}
	}
}

func (s *State) avoid(j *job, name string) {
	if slices.Contains(j.Avoid, name) {
		return
	}
	if len(j.Avoid) == maxAvoid {
		j.Avoid = j.Avoid[1:]
	}
	j.Avoid = append(slices.Clone(j.Avoid), name)
}

// observe feeds the run time of a job that ran in one go to the estimates.
func (s *State) observe(j *job) {
	if j.Begun.IsZero() {
		return
	}
	actual := s.now.Sub(j.Begun) + j.Progress
	s.estimates.Observe(j.Org, j.Spec.Service, j.Spec.Runtime.Std(), actual)
}

// expire acts on deadlines that have passed.
func (s *State) expire() {
	for _, j := range s.dueJobs() {
		switch j.Phase {
		case Holding:
			for _, m := range j.Members {
				if m.State == Ordered {
					s.avoid(j, m.Worker)
				}
			}
			s.withdraw(j)
			s.backOff(j)
			s.requeue(j, "a member did not answer in time")
		case Checkpointing:
			s.stop(j, nextRequeue, j.Reason)
		case Waiting, Reclaiming, Running, Stopping, Complete:
			s.setDeadline(j, time.Time{})
		}
	}
	for _, name := range s.health.Due(s.now) {
		if w := s.workers[name]; w != nil && !w.Gone && !w.Leaving {
			s.fleet.SetUsable(name, true)
			s.freed = true
			s.record("worker", name, "", "tried again")
		}
	}
	if !s.nextPass.IsZero() && !s.now.Before(s.nextPass) {
		s.freed = true
	}
	if !s.retryAt.IsZero() && !s.now.Before(s.retryAt) {
		s.freed = true
		s.retryAt = time.Time{}
	}
}

func (s *State) dueJobs() []*job {
	var due []*job
	for _, j := range s.timed {
		if !s.now.Before(j.Deadline) {
			due = append(due, j)
		}
	}
	slices.SortFunc(due, compareJobs)
	return due
}
