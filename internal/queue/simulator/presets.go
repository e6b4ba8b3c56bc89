package simulator

import "time"

// holdAnswers is what the daemon's settings on the users' platform say.
const holdAnswers = 500 * time.Millisecond

// Reports returns the fleet and the load of a lab whose reports wait for accelerators: wide gangs
// of large members beside narrow tasks. scale multiplies the arrivals.
func Reports(scale float64) (Fleet, Load) {
	fleet := Fleet{
		Workers: 48, PerRack: 8, Processors: 64_000, Memory: 131_072, Accelerators: 8, Speeds: []float64{0.8, 1, 1.25},
		Lease: 6 * time.Second, Stop: 200 * time.Millisecond, Checkpoint: time.Second, Restore: 600 * time.Millisecond,
		Hold: holdAnswers,
	}
	return fleet, load(scale, 1, [3]float64{0.858, 1.92, 1.06}, [3]float64{4, 3, 12})
}

// Listings returns the fleet and the load of a listings service: larger workers, wider steps.
func Listings(scale float64) (Fleet, Load) {
	fleet := Fleet{
		Workers: 48, PerRack: 8, Processors: 128_000, Memory: 524_288, Accelerators: 8, Speeds: []float64{0.8, 1, 1.25},
		Lease: 10 * time.Second, Stop: 400 * time.Millisecond, Checkpoint: 2 * time.Second, Restore: 100 * time.Millisecond,
		Hold: holdAnswers,
	}
	return fleet, load(scale, 2, [3]float64{0.627, 1.91, 0.738}, [3]float64{5, 3, 16})
}

// load returns the three kinds of job that both services have: long gangs, short urgent gangs and
// wide steps of small tasks.
func load(scale float64, size int64, rates, widths [3]float64) Load {
	return Load{
		Organisations: 4, Guaranteed: 60, Length: 34 * time.Second,
		Queues: []Queue{
			{
				Name: "long", PerSecond: rates[0] * scale, Priority: 1, Attempts: 2, Stretch: 3, Target: 2 * time.Second, Worth: 3, Late: 0.9,
				Work: 8500 * time.Millisecond, WorkSpread: 0.3, WorkMost: 11 * time.Second, Steps: 1, Width: widths[0], WidthSpread: 0.8, WidthMost: int(6 * widths[0]),
				Processors: 26_000 * size, Memory: 53_000 * size, Accelerators: []int64{1, 2, 4, 8, 8}, Gang: true, Compact: 0.6, Checkpoints: 0.45,
				EstimateOff: 0.2, Uneven: 0.15, Failing: 0.02, Hopeless: 0.01, Cancelled: 0.05,
			},
			{
				Name: "urgent", PerSecond: rates[1] * scale, Priority: 0, Attempts: 4, Stretch: 1.5, Target: time.Second, Worth: 4, Late: 0.8,
				Work: 2500 * time.Millisecond, WorkSpread: 0.5, WorkMost: 8 * time.Second, Steps: 1, Width: widths[1], WidthSpread: 0.8, WidthMost: int(6 * widths[1]),
				Processors: 7500 * size, Memory: 11_000 * size, Accelerators: []int64{1, 2, 4, 8, 8}, Gang: true, Compact: 0.8,
				EstimateOff: 0.2, Uneven: 0.15, Failing: 0.02,
			},
			{
				Name: "wide", PerSecond: rates[2] * scale, Priority: 2, Attempts: 3, Stretch: 3, Target: 4 * time.Second, Worth: 1, Late: 0.3,
				Work: 6100 * time.Millisecond, WorkSpread: 0.3, WorkMost: 11 * time.Second, Steps: 1.3, Width: widths[2], WidthSpread: 0.8, WidthMost: int(6 * widths[2]),
				Processors: 5600 * size, Memory: 11_000 * size, Accelerators: []int64{1}, Checkpoints: 0.45,
				EstimateOff: 0.9, Uneven: 0.15, Failing: 0.05, Hopeless: 0.01, Cancelled: 0.15,
			},
		},
	}
}
