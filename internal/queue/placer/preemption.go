package placer

import "time"

// Preemption holds the times that a stop for urgent work takes from the work that is stopped.
type Preemption struct {
	Restore time.Duration // time in which a run that resumes from a checkpoint makes no progress; 0 turns preemption costs off
	Stop    time.Duration // longest time from a stop order to the end of the run
}

// enabled reports whether stops are weighed by more than the unsaved work.
func (p Preemption) enabled() bool { return p.Restore > 0 }
