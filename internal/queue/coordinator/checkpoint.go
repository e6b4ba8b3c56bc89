package coordinator

import (
	"slices"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// maxCheckpointBytes limits the checkpoints of lost runs in one change, which must fit into an entry of the log.
const maxCheckpointBytes = 1 << 20

// checkpointEnds returns the ends of the runs of a lost incarnation that have listed a checkpoint, so that their tasks resume
// from it. The checkpoints take no more than the given number of bytes. A run that may have crashed the worker is left out:
// it has saved nothing since its start, and such an end would clear its task of suspicion.
func (c *Coordinator) checkpointEnds(state *tracker.Tracker, id string, born int64, limit int) []*messages.End {
	var ends []*messages.End
	for key, r := range state.RunsOn(id) {
		if r.GetBorn() != born || !c.progress[key].hasSurvived() {
			continue
		}
		checkpoint := c.lastCheckpoint(state, r)
		if checkpoint == "" || len(checkpoint) > limit {
			continue
		}
		limit -= len(checkpoint)
		ends = append(ends, &messages.End{
			Job: key.Job, Occurrence: key.Occurrence, Step: key.Step, Task: key.Task, Number: key.Number,
			How: tracker.EndExpired, Saved: checkpoint,
		})
	}
	slices.SortFunc(ends, func(a, b *messages.End) int { return tracker.CompareKeys(tracker.EndKeyOf(a), tracker.EndKeyOf(b)) })
	return ends
}

// lastCheckpoint returns the last checkpoint that a run, or any member of its gang, has listed, "" if there is none that is
// later than those in the state.
func (c *Coordinator) lastCheckpoint(state *tracker.Tracker, r *messages.Run) string {
	key := tracker.KeyOf(r)
	s := state.Job(key.Job).Step(key.Occurrence, key.Step)
	if !s.Spec.GetGang() {
		return c.progress[key].saved
	}
	if _, committed := s.NextRun(key.Task); committed != r.GetSaved() {
		return "" // a member that has ended since has saved a later one
	}
	var last runProgress
	for task := range s.Tasks {
		key.Task = int32(task)
		if t := c.progress[key]; t != nil && t.saved != "" && t.savedAt.After(last.savedAt) {
			last = *t
		}
	}
	return last.saved
}

// checkpointBytes returns the size of the checkpoints of ends.
func checkpointBytes(ends []*messages.End) int {
	n := 0
	for _, e := range ends {
		n += len(e.GetSaved())
	}
	return n
}
