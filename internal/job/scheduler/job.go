package scheduler

import (
	"crypto/sha256"
	"encoding/json"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/job/allocator"
)

// Phase is where a job stands.
type Phase string

// The phases of a job.
const (
	Waiting       Phase = "waiting"       // no room is promised yet, or only a soft claim
	Reclaiming    Phase = "reclaiming"    // room is chosen, other work must leave it first
	Holding       Phase = "holding"       // members keep room, nothing runs
	Running       Phase = "running"       // the start is committed
	Checkpointing Phase = "checkpointing" // runs on while its progress is saved
	Stopping      Phase = "stopping"      // ends early on every member
	Complete      Phase = "answered"      // the final answer stands
)

// next says what follows when an attempt that is stopping has ended everywhere.
type next string

const (
	nextRequeue next = "requeue" // its room was taken back
	nextFailed  next = "failed"
	nextCancel  next = "cancel"
	nextLost    next = "lost"
	nextRefused next = "refused"
)

// MemberState is what is known of one member of an attempt.
type MemberState string

// The states of a member.
const (
	Ordered      MemberState = "ordered" // an order may be under way
	Held         MemberState = "held"
	Started      MemberState = "started"
	Saved        MemberState = "saved" // checkpointed, still running
	MemberDone   MemberState = "done"
	MemberFailed MemberState = "failed"
	Stopped      MemberState = "stopped"    // ran and ended early
	NotStarted   MemberState = "notstarted" // proved that it never ran and never will
	MemberLost   MemberState = "lost"       // its lease has run out; it may have run
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
	case Started, Saved, MemberDone, MemberFailed, Stopped:
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

// job is one request with its attempts. Fields are exported for snapshots.
type job struct {
	ID        string            `json:"id"`
	Org       string            `json:"org"`
	Key       string            `json:"key"`
	Digest    [32]byte          `json:"digest"`
	Spec      parser.Job        `json:"spec"`
	Slots     int               `json:"slots"` // of each task
	Phase     Phase             `json:"phase"`
	Next      next              `json:"next,omitempty"`
	Attempt   uint32            `json:"attempt"`
	Grant     allocator.GrantID `json:"grant,omitempty"`
	Members   []Member          `json:"members,omitempty"`
	Submitted time.Time         `json:"submitted"`
	Queued    time.Time         `json:"queued"` // when it began to wait this time
	Begun     time.Time         `json:"begun,omitzero"`
	SavedAt   time.Time         `json:"savedat,omitzero"`
	Deadline  time.Time         `json:"deadline,omitzero"`
	Progress  time.Duration     `json:"progress,omitempty"`
	Resume    string            `json:"resume,omitempty"`
	Avoid     []string          `json:"avoid,omitempty"`
	Ran       bool              `json:"ran,omitempty"`      // an earlier attempt ran, or may have
	Refusals  int               `json:"refusals,omitempty"` // in a row
	NotBefore time.Time         `json:"notbefore,omitzero"` // back-off after refusals
	Failures  int               `json:"failures,omitempty"`
	Losses    int               `json:"losses,omitempty"`
	Reason    string            `json:"reason,omitempty"`
	Body      []byte            `json:"body,omitempty"` // what the first member gave
	Answer    *Answer           `json:"answer,omitempty"`
}

// JobID returns the name of a job across all organisations.
func JobID(org, key string) string { return org + "/" + key }

func digestOf(spec parser.Job) [32]byte {
	// A parsed job holds only plain values, so encoding can't fail.
	text, _ := json.Marshal(spec)
	return sha256.Sum256(text)
}

func (j *job) reclaimable() bool { return j.Spec.IsIdempotent() }

func (j *job) width() int { return j.Spec.GangSize() * j.Slots }

func (j *job) member(worker string, incarnation uint64) *Member {
	for i := range j.Members {
		m := &j.Members[i]
		if m.Worker == worker && m.Incarnation == incarnation {
			return m
		}
	}
	return nil
}

func (j *job) allMembers(is func(MemberState) bool) bool {
	for _, m := range j.Members {
		if !is(m.State) {
			return false
		}
	}
	return true
}

func (j *job) anyMember(is func(MemberState) bool) bool {
	for _, m := range j.Members {
		if is(m.State) {
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

// view copies what others may see.
func (s *State) view(j *job) View {
	v := View{
		ID: j.ID, Org: j.Org, Key: j.Key, Phase: j.Phase, Attempt: j.Attempt,
		Submitted: j.Submitted, Started: j.Begun, Reason: j.Reason, Answer: j.Answer,
	}
	if g := s.fleet.Grant(j.Grant); g != nil {
		v.Mode = g.Mode.String()
	}
	for _, m := range j.Members {
		v.Workers = append(v.Workers, m.Worker)
	}
	return v
}
