package coordinator

import (
	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// waitingJobs returns the number of accepted jobs of a queue of which no run is known to have begun. A decided start does not
// count: its order may never reach the worker. After a change of the leader, a job whose only runs were lost with their workers
// counts as waiting again.
func (c *Coordinator) waitingJobs(state *tracker.Tracker, queue string) int {
	n := 0
	for _, j := range state.Open() {
		if j.Work.GetQueue() == queue && !j.Ended() && !c.hasBegun(j) {
			n++
		}
	}
	return n
}

func (c *Coordinator) hasBegun(j *tracker.Job) bool {
	return j.Phase != tracker.Pending && (c.begun[j.Work.GetId()] || j.HasRun())
}

// recordBegun notes the jobs of which a worker reports a run, or its end.
func (c *Coordinator) recordBegun(state *tracker.Tracker, r *messages.FleetReport) {
	for _, l := range r.GetRunning() {
		if id := l.GetRun().GetJob(); state.Job(id) != nil {
			c.begun[id] = true
		}
	}
	for _, e := range r.GetEnds() {
		if id := e.GetEnd().GetJob(); e.GetEnd().GetHow() != tracker.EndRefused && state.Job(id) != nil {
			c.begun[id] = true
		}
	}
}
