package parser

import (
	"fmt"
	"math"
	"slices"
)

// Limits on a description.
const (
	MaxDescribedSteps = 100
	MaxDescribedTasks = 10_000 // of all steps together
	mbPerGiB          = 1024
)

// Description describes a job of a queue that is to be explained.
type Description struct {
	Queue        string          `json:"queue"`
	Organisation string          `json:"organisation,omitempty"` // none if absent
	Steps        []DescribedStep `json:"steps"`
}

// DescribedStep is a number of identical tasks.
type DescribedStep struct {
	Count        int      `json:"count,omitempty"`        // 1 if absent
	Processors   float64  `json:"processors,omitempty"`   // of each task
	Memory       float64  `json:"memory,omitempty"`       // of each task, in GiB
	Accelerators int      `json:"accelerators,omitempty"` // of each task
	Estimate     Duration `json:"estimate,omitempty"`     // of the run time, 0 if unknown
	After        []int    `json:"after,omitempty"`        // earlier steps that must be completed
	Gang         bool     `json:"gang,omitempty"`         // all tasks run at the same time
	Compact      bool     `json:"compact,omitempty"`      // the tasks slow down in more than one rack
	Label        string   `json:"label,omitempty"`        // required of a worker
	Rack         string   `json:"rack,omitempty"`         // that holds the data
	Spread       int      `json:"spread,omitempty"`       // most tasks on one worker, 0 for no limit
	Checkpoints  bool     `json:"checkpoints,omitempty"`  // a stopped task resumes
	Lasting      bool     `json:"lasting,omitempty"`      // the tasks run until the job is cancelled
}

// Tasks returns the number of tasks of the step.
func (s DescribedStep) Tasks() int { return max(s.Count, 1) }

// Millis returns the processors of a task in thousandths.
func (s DescribedStep) Millis() int64 { return int64(math.Ceil(s.Processors * 1000)) }

// Megabytes returns the memory of a task in MB.
func (s DescribedStep) Megabytes() int64 { return int64(math.Ceil(s.Memory * mbPerGiB)) }

// ParseDescription decodes and validates the description of a job.
func ParseDescription(text []byte) (Description, error) {
	const file = "job"
	var d Description
	if err := decode(file, text, &d); err != nil {
		return Description{}, err
	}
	c := &checker{file: file, text: text}
	c.require(d.Queue != "", "queue", "is missing")
	c.require(len(d.Steps) > 0 && len(d.Steps) <= MaxDescribedSteps, "steps", "has %d steps, want 1 to %d", len(d.Steps), MaxDescribedSteps)
	tasks := 0
	for i, s := range d.Steps {
		s.check(c, fmt.Sprintf("steps[%d].", i), i)
		tasks += s.Tasks()
	}
	c.require(tasks <= MaxDescribedTasks, "steps", "has %d tasks, want at most %d", tasks, MaxDescribedTasks)
	return d, c.result()
}

func (s DescribedStep) check(c *checker, prefix string, index int) {
	c.require(s.Count >= 0 && s.Count <= MaxDescribedTasks, prefix+"count", "is %d, want 1 to %d", s.Count, MaxDescribedTasks)
	c.require(s.Processors >= 0 && s.Processors <= 1024, prefix+"processors", "is %g, want 0 to 1024", s.Processors)
	c.require(s.Memory >= 0 && s.Memory <= 65536, prefix+"memory", "is %g GiB, want 0 to 65536", s.Memory)
	c.require(s.Accelerators >= 0 && s.Accelerators <= 64, prefix+"accelerators", "is %d, want 0 to 64", s.Accelerators)
	c.require(s.Estimate >= 0 && s.Estimate.Std() <= MaxRuntime, prefix+"estimate", "is %s, want 0s to %s", s.Estimate.Std(), MaxRuntime)
	c.require(s.Spread >= 0 && s.Spread <= MaxDescribedTasks, prefix+"spread", "is %d, want 0 to %d", s.Spread, MaxDescribedTasks)
	later := slices.ContainsFunc(s.After, func(n int) bool { return n < 0 || n >= index })
	c.require(!later, prefix+"after", "is %v, want numbers of earlier steps, from 0", s.After)
}
