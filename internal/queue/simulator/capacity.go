package simulator

import (
	"slices"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/placer"
)

// capacityGrace is how long a capacity that has shrunk still counts for starts: the users' contact_ms and one
// report interval.
const capacityGrace = 4*time.Second + maxPollTime

// pastCapacity is a capacity that a worker had until some time.
type pastCapacity struct {
	capacity placer.Vector
	until    time.Time
}

// resize sets the capacity by the active faults. Runs that no longer fit continue.
func (w *worker) resize() {
	factor := 1.0
	for _, f := range w.capacityFactors {
		factor *= f
	}
	before := w.capacity
	w.capacity = placer.Vector{
		Processors:   int64(float64(w.fullCapacity.Processors) * factor),
		Memory:       int64(float64(w.fullCapacity.Memory) * factor),
		Accelerators: int64(float64(w.fullCapacity.Accelerators) * factor),
	}
	w.pastCapacities = slices.DeleteFunc(w.pastCapacities, func(p pastCapacity) bool { return w.sim.now.Sub(p.until) > capacityGrace })
	w.pastCapacities = append(w.pastCapacities, pastCapacity{before, w.sim.now})
	w.grown, w.growthReported = w.capacity.Weight() > before.Weight(), time.Time{}
}

// removeCapacityFactor ends a Resize fault.
func (w *worker) removeCapacityFactor(factor float64) {
	if i := slices.Index(w.capacityFactors, factor); i >= 0 {
		w.capacityFactors = slices.Delete(w.capacityFactors, i, i+1)
	}
	w.resize()
}

// reportGrowth records that a report shows a capacity that has grown.
func (w *worker) reportGrowth() {
	if w.grown && w.partitioned == 0 {
		w.grown, w.growthReported = false, w.sim.now
		w.sim.result.Growths++
	}
}

// recordGrowthUsed records the first start after a reported growth.
func (w *worker) recordGrowthUsed() {
	if !w.growthReported.IsZero() {
		w.sim.result.GrowthDelays = append(w.sim.result.GrowthDelays, w.sim.now.Sub(w.growthReported))
		w.growthReported = time.Time{}
	}
}

// checkCapacity checks that the runs fit into the largest capacity that still counts.
func (w *worker) checkCapacity() {
	free := w.capacity
	for _, p := range w.pastCapacities {
		if w.sim.now.Sub(p.until) <= capacityGrace {
			free.Processors = max(free.Processors, p.capacity.Processors)
			free.Memory = max(free.Memory, p.capacity.Memory)
			free.Accelerators = max(free.Accelerators, p.capacity.Accelerators)
		}
	}
	for _, r := range w.runs {
		free = free.Sub(placer.Need(r.spec))
	}
	if free.Processors < 0 || free.Memory < 0 || free.Accelerators < 0 {
		w.sim.recordViolation("worker %s is over capacity: free resources are %+v", w.id, free)
	}
}
