package coordinator

import (
	"slices"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// maxGap bounds by how much a number in a report exceeds the last known one.
const maxGap = 1 << 20

// isCredible reports whether the numbers of a report and of its ends continue those that are known of the worker. A report
// by another writer that does not do so would make all later ones stale, and their ends count as committed.
func isCredible(state *tracker.Tracker, w *worker, r *messages.FleetReport) bool {
	if w != nil && w.born == r.GetBorn() && r.GetSequence() > w.sequence+maxGap {
		return false
	}
	committed := committedSequence(state, r)
	if w != nil && w.born == r.GetBorn() {
		committed = max(committed, w.acknowledged) // the state forgets the incarnation with the loss of its runs
	}
	return !slices.ContainsFunc(r.GetEnds(), func(e *messages.NumberedEnd) bool { return e.GetSequence() > committed+maxGap })
}
