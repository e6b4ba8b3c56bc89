package scheduler

import "time"

// Order is something the decisions ask the outside to do or to know.
type Order interface{ order() }

// Hold asks a worker to keep room for its part of a gang.
type Hold struct{ Part }

// Start asks a worker to run its part of a gang. Single says that no hold went before.
type Start struct {
	Part
	Single bool
}

// Release ends a hold that was never started.
type Release struct{ Part }

// Checkpoint asks a worker to save progress.
type Checkpoint struct{ Part }

// Stop asks a worker to end its part of an attempt, or never to start it.
type Stop struct{ Part }

// Reply answers the proposer of the event.
type Reply struct {
	Status  Status
	Reason  string
	Jobs    []View
	Version uint64 // manifest version in force
	Text    []byte // manifest in force, on a conflict
}

// Answered tells that a job has its final answer.
type Answered struct{ Job View }

// Installed tells that a new manifest is in force.
type Installed struct{ Version uint64 }

// Record is a line for the account of what was decided and why.
type Record struct {
	Time    time.Time `json:"time"`
	Kind    string    `json:"kind"` // job, worker, manifest or organisation
	Subject string    `json:"subject"`
	Org     string    `json:"org,omitempty"`
	Text    string    `json:"text"`
	// Service, Outcome, Code and Seconds are set when a job is answered.
	Service string  `json:"service,omitempty"`
	Outcome Outcome `json:"outcome,omitempty"`
	Code    string  `json:"code,omitempty"`
	Seconds float64 `json:"seconds,omitempty"` // from the submit to the answer
}

func (Hold) order()       {}
func (Start) order()      {}
func (Release) order()    {}
func (Checkpoint) order() {}
func (Stop) order()       {}
func (Reply) order()      {}
func (Answered) order()   {}
func (Installed) order()  {}
func (Record) order()     {}

// Part names one worker's share of one attempt.
type Part struct {
	Worker      string
	Incarnation uint64
	Job         string
	Attempt     uint32
	Rank        int // place of the member in the gang; the member of rank 0 gives the answer
	Tasks       int
	Slots       int
	Members     int
	Service     string
	Runtime     time.Duration
	Body        []byte
	Resume      string
}

// Status is the outcome of a request to the decisions.
type Status string

// The outcomes of a request.
const (
	StatusOK       Status = "ok"
	StatusConflict Status = "conflict" // the key or version stands with other content
	StatusInvalid  Status = "invalid"
	StatusUnknown  Status = "unknown" // no such job or organisation
)

// Outcome is the kind of a final answer.
type Outcome string

// The outcomes of a job.
const (
	Done    Outcome = "done"
	Failed  Outcome = "failed"
	NotRun  Outcome = "notrun"
	Unknown Outcome = "unknown"
)

// Answer is the one final answer of a job.
type Answer struct {
	Outcome Outcome   `json:"outcome"`
	Code    string    `json:"code,omitempty"` // stable name of the reason
	Reason  string    `json:"reason,omitempty"`
	Body    []byte    `json:"body,omitempty"`
	Time    time.Time `json:"time"`
}

// View is what others may see of a job.
type View struct {
	ID        string    `json:"id"`
	Org       string    `json:"organisation"`
	Key       string    `json:"key"`
	Phase     Phase     `json:"phase"`
	Attempt   uint32    `json:"attempt"`
	Mode      string    `json:"mode,omitempty"`
	Workers   []string  `json:"workers,omitempty"`
	Submitted time.Time `json:"submitted"`
	Started   time.Time `json:"started,omitzero"`
	Reason    string    `json:"reason,omitempty"` // why it waits
	Answer    *Answer   `json:"answer,omitempty"`
}
