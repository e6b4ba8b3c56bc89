package parser

import (
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/job/allocator"
)

// Limits on a job.
const (
	MaxTasks     = 128       // tasks of a gang
	MaxBodyBytes = 256 << 10 // bytes of a request body
	MaxRuntime   = 30 * 24 * time.Hour
	maxKeyLength = 128
)

// Job is a request for a gang of tasks, in the form used by callers and manifests.
type Job struct {
	Service      string   `json:"service"`
	Tasks        int      `json:"tasks,omitempty"`        // gang size, 1 if absent
	Processors   float64  `json:"processors,omitempty"`   // of each task
	Memory       float64  `json:"memory,omitempty"`       // of each task, in GiB
	Accelerators int      `json:"accelerators,omitempty"` // of each task
	Adjacency    string   `json:"adjacency,omitempty"`    // any, place, rack or worker; any if absent
	Place        string   `json:"place,omitempty"`        // the only place to run in
	Prefer       string   `json:"prefer,omitempty"`       // the place to try first
	Runtime      Duration `json:"runtime,omitempty"`      // declared run time, 0 if unknown
	Urgent       bool     `json:"urgent,omitempty"`
	Idempotent   *bool    `json:"idempotent,omitempty"` // true if absent
	Checkpoint   bool     `json:"checkpoint,omitempty"` // tasks can be checkpointed
	Body         []byte   `json:"body,omitempty"`       // passed to the first task; base64 in JSON
}

// IsIdempotent reports whether the job may run again after an attempt that may have started.
func (j Job) IsIdempotent() bool { return j.Idempotent == nil || *j.Idempotent }

// GangSize returns the number of tasks.
func (j Job) GangSize() int { return max(j.Tasks, 1) }

// AllocatorAdjacency returns the adjacency as a value of the allocator.
func (j Job) AllocatorAdjacency() allocator.Adjacency {
	switch j.Adjacency {
	case "place":
		return allocator.SamePlace
	case "rack":
		return allocator.SameRack
	case "worker":
		return allocator.SameWorker
	}
	return allocator.Anywhere
}

// ParseJob decodes and validates a job body.
func ParseJob(text []byte) (Job, error) {
	const file = "job"
	var j Job
	if err := decode(file, text, &j); err != nil {
		return Job{}, err
	}
	c := &checker{file: file, text: text}
	j.check(c, "")
	return j, c.result()
}

func (j Job) check(c *checker, prefix string) {
	c.require(j.Service != "", prefix+"service", "is missing")
	c.require(j.Tasks >= 0 && j.Tasks <= MaxTasks, prefix+"tasks", "is %d, want 1 to %d", j.Tasks, MaxTasks)
	c.require(j.Processors >= 0 && j.Processors <= 1024, prefix+"processors", "is %g, want 0 to 1024", j.Processors)
	c.require(j.Memory >= 0 && j.Memory <= 65536, prefix+"memory", "is %g GiB, want 0 to 65536", j.Memory)
	c.require(j.Accelerators >= 0 && j.Accelerators <= 64, prefix+"accelerators", "is %d, want 0 to 64", j.Accelerators)
	c.require(j.Runtime >= 0 && j.Runtime.Std() <= MaxRuntime, prefix+"runtime", "is %s, want 0s to %s", j.Runtime.Std(), MaxRuntime)
	c.require(len(j.Body) <= MaxBodyBytes, prefix+"body", "has %d bytes, want at most %d", len(j.Body), MaxBodyBytes)
	switch j.Adjacency {
	case "", "any", "place", "rack", "worker":
	default:
		c.require(false, prefix+"adjacency", "is %q, want any, place, rack or worker", j.Adjacency)
	}
}

// ValidKey reports whether a job key is 1 to 128 printable ASCII characters without a slash.
func ValidKey(key string) bool {
	if key == "" || len(key) > maxKeyLength {
		return false
	}
	for _, r := range key {
		if r <= ' ' || r > '~' || r == '/' {
			return false
		}
	}
	return true
}
