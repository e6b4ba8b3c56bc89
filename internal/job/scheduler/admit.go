package scheduler

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/job/allocator"
)

// Codes that identify the reason of an answer. They are part of the API.
const (
	CodeImpossible  = "impossible"   // would not fit even in an empty fleet
	CodeQueueFull   = "queue-full"   // the organisation's queue is at its limit
	CodeCancelled   = "cancelled"    // cancelled by its organisation
	CodeTaskFailed  = "task-failed"  // a task failed
	CodeWorkerLost  = "worker-lost"  // a worker was lost while the job may have been running
	CodePartialGang = "gang-partial" // not all members of the gang could start
)

// trialGrant is the ID of the temporary grant with which fitsEmptyFleet tests the declared fleet.
const trialGrant allocator.GrantID = 1

func (s *State) submit(e Submit) {
	if s.manifest == nil || s.manifest.Organisation(e.Org) == nil {
		s.emit(Reply{Status: StatusUnknown, Reason: "no such organisation"})
		return
	}
	s.emit(s.admit(e.Org, e.Key, e.Job))
}

// admit adds a job, or returns the existing job with the same key.
func (s *State) admit(org, key string, spec parser.Job) Reply {
	digest := specDigest(spec)
	if known := s.jobs[JobID(org, key)]; known != nil {
		if known.Digest != digest {
			return Reply{Status: StatusConflict, Reason: "the key stands for another job"}
		}
		return Reply{Status: StatusOK, Jobs: []JobView{s.view(known)}}
	}
	j := &job{
		ID: JobID(org, key), Org: org, Key: key, Digest: digest, Spec: spec,
		Phase: Waiting, Submitted: s.now, Queued: s.now,
	}
	s.jobs[j.ID] = j
	switch {
	case !s.fitsEmptyFleet(j):
		s.setAnswer(j, Answer{Outcome: NotRun, Code: CodeImpossible, Reason: "it could not run even in the empty fleet"})
	case len(s.waiting[org]) >= s.manifest.Organisation(org).Queue:
		s.setAnswer(j, Answer{Outcome: NotRun, Code: CodeQueueFull, Reason: "the queue of the organisation is full; try later with a new key"})
	default:
		s.enqueue(j)
		s.newJobs = append(s.newJobs, j)
	}
	return Reply{Status: StatusOK, Jobs: []JobView{s.view(j)}}
}

// fitsEmptyFleet reports whether the job would fit if the whole declared fleet were empty. As a side effect it
// sets the slots of the job.
func (s *State) fitsEmptyFleet(j *job) bool {
	slots, ok := s.slotsPerTask(j.Spec)
	if !ok {
		return false
	}
	j.Slots = slots
	q := s.request(j)
	q.Avoid = nil
	if s.declaredFleet.Place(trialGrant, q).Grant == nil {
		return false
	}
	s.declaredFleet.Release(trialGrant)
	return true
}

// slotsPerTask returns how many slots a task needs for its processors, memory and accelerators: the largest
// number over the places of the service whose workers can run it. The second result is false if there is none.
func (s *State) slotsPerTask(spec parser.Job) (int, bool) {
	need := 0
	for _, p := range s.manifest.Places {
		if p.Service != spec.Service || spec.Place != "" && spec.Place != p.Name {
			continue
		}
		n := 1.0
		n = max(n, slotsForResource(spec.Processors, p.Processors, p.Slots))
		n = max(n, slotsForResource(spec.Memory, p.Memory, p.Slots))
		n = max(n, slotsForResource(float64(spec.Accelerators), float64(p.Accelerators), p.Slots))
		if n > float64(p.Slots) {
			continue
		}
		need = max(need, int(math.Ceil(n)))
	}
	return need, need > 0
}

// slotsForResource returns how many slots of a worker hold the requested amount of one resource.
func slotsForResource(want, total float64, slots int) float64 {
	if want == 0 {
		return 0
	}
	if total == 0 {
		return math.Inf(1)
	}
	return math.Ceil(want / total * float64(slots))
}

func (s *State) request(j *job) allocator.Request {
	return allocator.Request{
		Org: j.Org, Service: j.Spec.Service, Place: j.Spec.Place, Prefer: j.Spec.Prefer,
		Tasks: j.Spec.GangSize(), Slots: j.Slots, Adjacency: j.Spec.AllocatorAdjacency(),
		Reclaimable: j.reclaimable(), Evict: j.Spec.Urgent, Avoid: j.Avoid,
		End: s.now.Add(s.remainingRuntime(j)),
	}
}

// enqueue inserts a job into the queue of its organisation: urgent jobs first, then by age.
func (s *State) enqueue(j *job) {
	j.Phase = Waiting
	queue := s.waiting[j.Org]
	i, _ := slices.BinarySearchFunc(queue, j, compareJobs)
	s.waiting[j.Org] = slices.Insert(queue, i, j)
	if s.nextPass.IsZero() {
		s.nextPass = s.now.Add(passInterval)
	}
}

func (s *State) dequeue(j *job) {
	queue := s.waiting[j.Org]
	if i, ok := slices.BinarySearchFunc(queue, j, compareJobs); ok {
		s.waiting[j.Org] = slices.Delete(queue, i, i+1)
	}
	if len(s.waiting[j.Org]) == 0 {
		delete(s.waiting, j.Org)
	}
}

func compareJobs(a, b *job) int {
	if a.Spec.Urgent != b.Spec.Urgent {
		if a.Spec.Urgent {
			return -1
		}
		return 1
	}
	if n := a.Submitted.Compare(b.Submitted); n != 0 {
		return n
	}
	switch {
	case a.ID < b.ID:
		return -1
	case a.ID > b.ID:
		return 1
	}
	return 0
}

// cancel cancels jobs. Jobs whose start was not committed are answered at once.
func (s *State) cancel(e Cancel) {
	reply := Reply{Status: StatusOK}
	for _, key := range e.Keys {
		j := s.jobs[JobID(e.Org, key)]
		if j == nil {
			reply.Status = StatusUnknown
			reply.Reason = "no such job: " + key
			continue
		}
		s.cancelJob(j)
		reply.Jobs = append(reply.Jobs, s.view(j))
	}
	s.emit(reply)
}

func (s *State) cancelJob(j *job) {
	switch j.Phase {
	case Waiting, Reclaiming, Holding:
		s.withdraw(j)
		s.setAnswer(j, Answer{Outcome: NotRun, Code: CodeCancelled, Reason: "cancelled before its start"})
	case Running, Checkpointing:
		s.stopAttempt(j, causeCancelled, "cancelled")
	case Stopping:
		j.StopCause = causeCancelled
		j.Reason = "cancelled"
	case Complete:
	}
}

// setAnswer records the final answer of a job. NotRun becomes Failed if an earlier attempt ran.
func (s *State) setAnswer(j *job, a Answer) {
	if a.Outcome == NotRun && j.Ran {
		a.Outcome = Failed
		a.Reason += ", after an earlier attempt had run in part"
	}
	a.Time = s.now
	j.Answer = &a
	j.Phase = Complete
	j.Members = nil
	j.Spec.Body = nil
	j.Body = nil
	s.setDeadline(j, time.Time{})
	s.health.RemoveJob(j.ID)
	s.answered[j.Org] = append(s.answered[j.Org], j.ID)
	s.emit(Answered{s.view(j)})
	s.emit(Record{
		Time: s.now, Kind: "job", Subject: j.ID, Org: j.Org, Text: strings.TrimSpace("answered " + string(a.Outcome) + " " + a.Reason),
		Service: j.Spec.Service, Outcome: a.Outcome, Code: a.Code, Seconds: s.now.Sub(j.Submitted).Seconds(),
	})
	s.trimAnswers(j.Org)
}

// trimAnswers deletes answered jobs that are older than answerRetention or exceed maxAnswers.
func (s *State) trimAnswers(org string) {
	queue := s.answered[org]
	drop := 0
	for drop < len(queue) {
		old := s.jobs[queue[drop]]
		if len(queue)-drop <= maxAnswers && s.now.Sub(old.Answer.Time) < answerRetention {
			break
		}
		delete(s.jobs, queue[drop])
		drop++
	}
	s.answered[org] = queue[drop:]
}

func (s *State) setDeadline(j *job, t time.Time) {
	j.Deadline = t
	if t.IsZero() {
		delete(s.withDeadline, j.ID)
		return
	}
	s.withDeadline[j.ID] = j
}
