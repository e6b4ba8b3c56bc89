package placer

import "github.com/bluebellgauge/bluebellgauge/internal/wire/messages"

// Vector holds an amount of each resource.
type Vector struct {
	Processors   int64 // thousandths
	Memory       int64 // MB
	Accelerators int64
}

// Need returns the resources that one task of a step uses.
func Need(s *messages.Step) Vector {
	v := Vector{Processors: s.GetProcessors(), Memory: s.GetMemory(), Accelerators: s.GetAccelerators()}
	if s.GetFiller() {
		v.Processors = 0
	}
	return v
}

// Add returns v + w.
func (v Vector) Add(w Vector) Vector {
	return Vector{v.Processors + w.Processors, v.Memory + w.Memory, v.Accelerators + w.Accelerators}
}

// Sub returns v - w.
func (v Vector) Sub(w Vector) Vector {
	return Vector{v.Processors - w.Processors, v.Memory - w.Memory, v.Accelerators - w.Accelerators}
}

// Times returns v multiplied by n.
func (v Vector) Times(n int) Vector {
	return Vector{v.Processors * int64(n), v.Memory * int64(n), v.Accelerators * int64(n)}
}

// Fits returns how many tasks with the given need fit, at most limit.
func (v Vector) Fits(need Vector, limit int) int {
	n := int64(limit)
	for _, d := range [...][2]int64{
		{v.Processors, need.Processors}, {v.Memory, need.Memory}, {v.Accelerators, need.Accelerators},
	} {
		if d[0] < 0 {
			return 0
		}
		if d[1] > 0 {
			n = min(n, d[0]/d[1])
		}
	}
	return int(max(n, 0))
}

// processorsPerAccelerator is the weight of an accelerator in thousandths of processors. It matches the price
// that users set on lost work.
const processorsPerAccelerator = 8000

// covers reports whether v is at least w in each resource.
func (v Vector) covers(w Vector) bool {
	return v.Processors >= w.Processors && v.Memory >= w.Memory && v.Accelerators >= w.Accelerators
}

// Weight returns the amount as a single figure in thousandths of processors, with memory ignored.
func (v Vector) Weight() int64 { return v.Processors + v.Accelerators*processorsPerAccelerator }
