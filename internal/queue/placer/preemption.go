package placer

import "time"

// Preemption holds the times that a stop for urgent work takes from the work that is stopped.
type Preemption struct {
	Restore time.Duration // time in which a run that resumes from a checkpoint makes no progress; 0 turns preemption costs off
	Stop    time.Duration // longest time from a stop order to the end of the run
}

// Enabled reports whether stops are weighed by more than the unsaved work.
func (p Preemption) Enabled() bool { return p.Restore > 0 }

// lostTime returns the run time that a stop of the run would waste.
func (p Preemption) lostTime(a *ActiveRun) time.Duration {
	switch {
	case !p.Enabled():
		return a.Unsaved
	case a.Step.Spec.GetCheckpoints():
		// The stop writes a checkpoint, but the time in which the gang formed or the run resumed is spent again.
		return a.Unsaved + p.Restore + min(a.Held, p.Restore)
	}
	// A leader that has just been elected has seen the run for less time than it has lasted.
	return max(a.Unsaved, a.Held)
}
