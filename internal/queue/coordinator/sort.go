package coordinator

import (
	"cmp"
	"slices"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/placer"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
)

func sortWorkers(list []*placer.Worker) {
	slices.SortFunc(list, func(a, b *placer.Worker) int { return cmp.Compare(a.ID, b.ID) })
}

func sortRuns(list []*placer.ActiveRun) {
	slices.SortFunc(list, func(a, b *placer.ActiveRun) int {
		return cmp.Or(cmp.Compare(a.Job.Sequence, b.Job.Sequence), tracker.CompareKeys(a.Key, b.Key))
	})
}
