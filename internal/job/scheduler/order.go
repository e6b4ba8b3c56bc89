package scheduler

import "time"

// Order is an output of the scheduler: a command to a worker, the reply to an event, or a notification.
type Order interface{ order() }

// Hold orders a worker to hold slots for its part of a gang.
type Hold struct{ Part }

// Start orders a worker to run its part of a gang. Single is set if no Hold preceded it.
type Start struct {
	Part
	Single bool
}

// Release ends a hold that was not started.
type Release struct{ Part }

// Checkpoint orders a worker to save the progress of its part.
type Checkpoint struct{ Part }

// Stop orders a worker to stop its part of an attempt, or not to start it.
type Stop struct{ Part }

// Reply is the reply to the proposer of the event.
type Reply struct {
	Status  Status
	Reason  string
	Jobs    []JobView
	Version uint64 // manifest version in force
	Text    []byte // manifest in force, on a conflict
}

// Answered notifies that a job has its final answer.
type Answered struct{ Job JobView }

// Installed notifies that a new manifest is in force.
type Installed struct{ Version uint64 }

// Record is an entry of the history of scheduling decisions.
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
	Seconds float64 `json:"seconds,omitempty"` // from submission to answer
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

// Part describes the tasks of one attempt that one worker runs.
type Part struct {
	Worker      string
	Incarnation uint64
	Job         string
	Attempt     uint32
	Rank        int // index of the member in the gang; the member of rank 0 returns the result
	Tasks       int
	Slots       int
	Members     int
	Service     string
	Runtime     time.Duration
	Body        []byte
	Resume      string
}

// Status is the outcome of a request to the scheduler.
type Status string

// The outcomes of a request.
const (
	StatusOK       Status = "ok"
	StatusConflict Status = "conflict" // the key or version exists with different content
	StatusInvalid  Status = "invalid"
	StatusUnknown  Status = "unknown" // unknown job or organisation
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

// Answer is the final answer of a job.
type Answer struct {
	Outcome Outcome   `json:"outcome"`
	Code    string    `json:"code,omitempty"` // reason code, part of the API
	Reason  string    `json:"reason,omitempty"`
	Body    []byte    `json:"body,omitempty"`
	Time    time.Time `json:"time"`
}

// JobView is the public view of a job.
type JobView struct {
	ID        string    `json:"id"`
	Org       string    `json:"organisation"`
	Key       string    `json:"key"`
	Phase     Phase     `json:"phase"`
	Attempt   uint32    `json:"attempt"`
	Mode      string    `json:"mode,omitempty"`
	Workers   []string  `json:"workers,omitempty"`
	Submitted time.Time `json:"submitted"`
	Started   time.Time `json:"started,omitzero"`
	Reason    string    `json:"reason,omitempty"` // why it is waiting
	Answer    *Answer   `json:"answer,omitempty"`
}
