package scheduler

import (
	"crypto/sha256"
	"encoding/json"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/job/allocator"
)

// Phase is the phase of a job's life cycle.
type Phase string

// The phases of a job.
const (
	Waiting       Phase = "waiting"       // no grant, or only a reservation
	Reclaiming    Phase = "reclaiming"    // granted slots that other jobs still have to vacate
	Holding       Phase = "holding"       // members hold their slots, nothing is running
	Running       Phase = "running"       // the start is committed
	Checkpointing Phase = "checkpointing" // running while progress is saved
	Stopping      Phase = "stopping"      // being stopped on every member
	Complete      Phase = "answered"      // has its final answer
)

// stopCause is why an attempt is stopping. It decides what follows when it has ended on every member.
type stopCause string

const (
	causeEvicted   stopCause = "requeue" // its slots were reclaimed
	causeFailed    stopCause = "failed"
	causeCancelled stopCause = "cancel"
	causeLost      stopCause = "lost"
	causeRefused   stopCause = "refused"
)

// MemberState is the last known state of one member of an attempt.
type MemberState string

// The states of a member.
const (
	Ordered      MemberState = "ordered" // an order may be in flight
	Held         MemberState = "held"
	Started      MemberState = "started"
	Checkpointed MemberState = "saved" // still running
	MemberDone   MemberState = "done"
	MemberFailed MemberState = "failed"
	Stopped      MemberState = "stopped"    // ran and ended early
	NotStarted   MemberState = "notstarted" // confirmed that it has not run and will not
	MemberLost   MemberState = "lost"       // its lease has expired; it may have run
)

func (m MemberState) terminal() bool {
	switch m {
	case MemberDone, MemberFailed, Stopped, NotStarted, MemberLost:
		return true
	default:
		return false
	}
}

func (m MemberState) ran() bool {
	switch m {
	case Started, Checkpointed, MemberDone, MemberFailed, Stopped:
		return true
	default:
		return false
	}
}

// Member is one worker's share of an attempt.
type Member struct {
	Worker      string        `json:"worker"`
	Incarnation uint64        `json:"incarnation"`
	Tasks       int           `json:"tasks"`
	Slots       int           `json:"slots"`
	State       MemberState   `json:"state"`
	Reason      string        `json:"reason,omitempty"`
	Progress    time.Duration `json:"progress,omitempty"`
	Resume      string        `json:"resume,omitempty"`
}

// job is a submitted job with its current attempt. Fields are exported for snapshots.
type job struct {
	ID             string            `json:"id"`
	Org            string            `json:"org"`
	Key            string            `json:"key"`
	Digest         [32]byte          `json:"digest"`
	Spec           parser.Job        `json:"spec"`
	Slots          int               `json:"slots"` // per task
	Phase          Phase             `json:"phase"`
	StopCause      stopCause         `json:"next,omitempty"`
	Attempt        uint32            `json:"attempt"`
	Grant          allocator.GrantID `json:"grant,omitempty"`
	Members        []Member          `json:"members,omitempty"`
	Submitted      time.Time         `json:"submitted"`
	Queued         time.Time         `json:"queued"` // when it was last queued
	Started        time.Time         `json:"begun,omitzero"`
	CheckpointedAt time.Time         `json:"savedat,omitzero"`
	Deadline       time.Time         `json:"deadline,omitzero"`
	Progress       time.Duration     `json:"progress,omitempty"`
	Resume         string            `json:"resume,omitempty"`
	Avoid          []string          `json:"avoid,omitempty"`
	Ran            bool              `json:"ran,omitempty"`      // an earlier attempt ran or may have run
	Refusals       int               `json:"refusals,omitempty"` // consecutive
	NotBefore      time.Time         `json:"notbefore,omitzero"` // end of the back-off after refusals
	Failures       int               `json:"failures,omitempty"`
	Losses         int               `json:"losses,omitempty"`
	Reason         string            `json:"reason,omitempty"`
	Body           []byte            `json:"body,omitempty"` // result of the member of rank 0
	Answer         *Answer           `json:"answer,omitempty"`
}

// JobID returns the ID of a job, which is unique across organisations.
func JobID(org, key string) string { return org + "/" + key }

func specDigest(spec parser.Job) [32]byte {
	// Encoding can't fail, as a parsed job holds only plain values.
	text, _ := json.Marshal(spec)
	return sha256.Sum256(text)
}

func (j *job) reclaimable() bool { return j.Spec.IsIdempotent() }

func (j *job) totalSlots() int { return j.Spec.GangSize() * j.Slots }

func (j *job) member(worker string, incarnation uint64) *Member {
	for i := range j.Members {
		m := &j.Members[i]
		if m.Worker == worker && m.Incarnation == incarnation {
			return m
		}
	}
	return nil
}

func (j *job) allMembers(match func(MemberState) bool) bool {
	for _, m := range j.Members {
		if !match(m.State) {
			return false
		}
	}
	return true
}

func (j *job) anyMember(match func(MemberState) bool) bool {
	for _, m := range j.Members {
		if match(m.State) {
			return true
		}
	}
	return false
}

func (j *job) part(rank int) Part {
	m := j.Members[rank]
	return Part{
		Worker: m.Worker, Incarnation: m.Incarnation, Job: j.ID, Attempt: j.Attempt,
		Rank: rank, Tasks: m.Tasks, Slots: m.Slots, Members: len(j.Members),
		Service: j.Spec.Service, Runtime: j.Spec.Runtime.Std(), Body: j.Spec.Body, Resume: j.Resume,
	}
}

// view returns the public view of a job.
func (s *State) view(j *job) JobView {
	v := JobView{
		ID: j.ID, Org: j.Org, Key: j.Key, Phase: j.Phase, Attempt: j.Attempt,
		Submitted: j.Submitted, Started: j.Started, Reason: j.Reason, Answer: j.Answer,
	}
	if g := s.fleet.Grant(j.Grant); g != nil {
		v.Mode = g.Mode.String()
	}
	for _, m := range j.Members {
		v.Workers = append(v.Workers, m.Worker)
	}
	return v
}
