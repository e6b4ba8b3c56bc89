package scheduler

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/job/allocator"
)

// Stable codes of the reasons in answers.
const (
	CodeImpossible = "impossible"   // it could not run in the empty fleet
	CodeQueueFull  = "queue-full"   // the organisation's queue is at its limit
	CodeCancelled  = "cancelled"    // by its organisation
	CodeTaskFailed = "task-failed"  // a task ended badly
	CodeWorkerLost = "worker-lost"  // a worker was lost while it may have run
	CodeNotWhole   = "gang-partial" // the gang could not start whole
)

// probeGrant names the trial grant in the declared fleet.
const probeGrant allocator.GrantID = 1

func (s *State) submit(e Submit) {
	if s.manifest == nil || s.manifest.Organisation(e.Org) == nil {
		s.emit(Reply{Status: StatusUnknown, Reason: "no such organisation"})
		return
	}
	s.emit(s.admit(e.Org, e.Key, e.Job))
}

// admit takes in a job, or finds the one that has its key.
func (s *State) admit(org, key string, spec parser.Job) Reply {
	digest := digestOf(spec)
	if known := s.jobs[JobID(org, key)]; known != nil {
		if known.Digest != digest {
			return Reply{Status: StatusConflict, Reason: "the key stands for another job"}
		}
		return Reply{Status: StatusOK, Jobs: []View{s.view(known)}}
	}
	j := &job{
		ID: JobID(org, key), Org: org, Key: key, Digest: digest, Spec: spec,
		Phase: Waiting, Submitted: s.now, Queued: s.now,
	}
	s.jobs[j.ID] = j
	switch {
	case !s.fits(j):
		s.answer(j, Answer{Outcome: NotRun, Code: CodeImpossible, Reason: "it could not run even in the empty fleet"})
	case len(s.waiting[org]) >= s.manifest.Organisation(org).Queue:
		s.answer(j, Answer{Outcome: NotRun, Code: CodeQueueFull, Reason: "the queue of the organisation is full; try later with a new key"})
	default:
		s.enqueue(j)
		s.fresh = append(s.fresh, j)
	}
	return Reply{Status: StatusOK, Jobs: []View{s.view(j)}}
}

// fits reports whether the job could run if the whole declared fleet were empty. It sets the
// job's slots as a side effect.
func (s *State) fits(j *job) bool {
	slots, ok := s.slotsOfTask(j.Spec)
	if !ok {
		return false
	}
	j.Slots = slots
	q := s.request(j)
	q.Avoid = nil
	if s.declared.Place(probeGrant, q).Grant == nil {
		return false
	}
	s.declared.Release(probeGrant)
	return true
}

// slotsOfTask returns how many slots a task needs: its largest share of a slot's processors,
// memory and accelerators, over the least place of the service.
func (s *State) slotsOfTask(spec parser.Job) (int, bool) {
	need := 0
	for _, p := range s.manifest.Places {
		if p.Service != spec.Service || spec.Place != "" && spec.Place != p.Name {
			continue
		}
		n := 1.0
		n = max(n, share(spec.Processors, p.Processors, p.Slots))
		n = max(n, share(spec.Memory, p.Memory, p.Slots))
		n = max(n, share(float64(spec.Accelerators), float64(p.Accelerators), p.Slots))
		if n > float64(p.Slots) {
			continue
		}
		need = max(need, int(math.Ceil(n)))
	}
	return need, need > 0
}

// share returns how many of a worker's slots carry the wanted part of one of its resources.
func share(want, whole float64, slots int) float64 {
	if want == 0 {
		return 0
	}
	if whole == 0 {
		return math.Inf(1)
	}
	return math.Ceil(want / whole * float64(slots))
}

func (s *State) request(j *job) allocator.Request {
	return allocator.Request{
		Org: j.Org, Service: j.Spec.Service, Place: j.Spec.Place, Prefer: j.Spec.Prefer,
		Tasks: j.Spec.GangSize(), Slots: j.Slots, Adjacency: j.Spec.Closeness(),
		Reclaimable: j.reclaimable(), Evict: j.Spec.Urgent, Avoid: j.Avoid,
		End: s.now.Add(s.remaining(j)),
	}
}

// enqueue puts a job into its organisation's queue: urgent jobs first, then by age.
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

// cancel ends jobs. Those whose start was never committed are answered at once.
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
		s.answer(j, Answer{Outcome: NotRun, Code: CodeCancelled, Reason: "cancelled before its start"})
	case Running, Checkpointing:
		s.stop(j, nextCancel, "cancelled")
	case Stopping:
		j.Next = nextCancel
		j.Reason = "cancelled"
	case Complete:
	}
}

// answer records the one final answer of a job. A job of which an earlier attempt ran is never
// said not to have run.
func (s *State) answer(j *job, a Answer) {
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
	s.health.Answered(j.ID)
	s.answered[j.Org] = append(s.answered[j.Org], j.ID)
	s.emit(Answered{s.view(j)})
	s.emit(Record{
		Time: s.now, Kind: "job", Subject: j.ID, Org: j.Org, Text: strings.TrimSpace("answered " + string(a.Outcome) + " " + a.Reason),
		Service: j.Spec.Service, Outcome: a.Outcome, Code: a.Code, Seconds: s.now.Sub(j.Submitted).Seconds(),
	})
	s.trimAnswers(j.Org)
}

// trimAnswers forgets answers that are older than the retention or beyond the limit.
func (s *State) trimAnswers(org string) {
	queue := s.answered[org]
	drop := 0
	for drop < len(queue) {
		old := s.jobs[queue[drop]]
		if len(queue)-drop <= maxAnswers && s.now.Sub(old.Answer.Time) < retention {
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
		delete(s.timed, j.ID)
		return
	}
	s.timed[j.ID] = j
}
