package simulator

import "time"

// maxPollTime is the long-poll limit in the daemon's settings on the users' platform.
const maxPollTime = 500 * time.Millisecond

// Reports returns the fleet and the load of a lab whose reports need accelerators: wide gangs of large
// members mixed with narrow tasks. scale multiplies the arrival rates.
func Reports(scale float64) (Fleet, Load) {
	fleet := Fleet{
		Workers: 48, WorkersPerRack: 8, Processors: 64_000, Memory: 131_072, Accelerators: 8, Speeds: []float64{0.8, 1, 1.25},
		MaxLease: 6 * time.Second, MaxStopTime: 200 * time.Millisecond, CheckpointInterval: time.Second, RestoreTime: 600 * time.Millisecond,
		MaxPollTime: maxPollTime,
	}
	return fleet, load(scale, 1, [3]float64{0.858, 1.92, 1.06}, [3]float64{4, 3, 12})
}

// Listings returns the fleet and the load of a listings service, which has larger workers and wider steps.
// scale multiplies the arrival rates.
func Listings(scale float64) (Fleet, Load) {
	fleet := Fleet{
		Workers: 48, WorkersPerRack: 8, Processors: 128_000, Memory: 524_288, Accelerators: 8, Speeds: []float64{0.8, 1, 1.25},
		MaxLease: 10 * time.Second, MaxStopTime: 400 * time.Millisecond, CheckpointInterval: 2 * time.Second, RestoreTime: 100 * time.Millisecond,
		MaxPollTime: maxPollTime,
	}
	return fleet, load(scale, 2, [3]float64{0.627, 1.91, 0.738}, [3]float64{5, 3, 16})
}

// load returns the load of the three queues that both services have: long gangs, short urgent gangs and wide
// steps of small tasks. size multiplies the processors and the memory of the tasks.
func load(scale float64, size int64, rates, widths [3]float64) Load {
	return Load{
		Organisations: 4, Guaranteed: 60, Duration: 34 * time.Second,
		Queues: []Queue{
			{
				Name: "long", Rate: rates[0] * scale, Priority: 1, Attempts: 2, Stretch: 3, Target: 2 * time.Second, Value: 3, LateValue: 0.9,
				Work: 8500 * time.Millisecond, WorkSpread: 0.3, MaxWork: 11 * time.Second, Steps: 1, Width: widths[0], WidthSpread: 0.8, MaxWidth: int(6 * widths[0]),
				Processors: 26_000 * size, Memory: 53_000 * size, Accelerators: []int64{1, 2, 4, 8, 8}, Gang: true, Compact: 0.6, Checkpoints: 0.45,
				EstimateSpread: 0.2, TaskSpread: 0.15, FailureRate: 0.02, AlwaysFailing: 0.01, Cancelled: 0.05,
			},
			{
				Name: "urgent", Rate: rates[1] * scale, Priority: 0, Attempts: 4, Stretch: 1.5, Target: time.Second, Value: 4, LateValue: 0.8,
				Work: 2500 * time.Millisecond, WorkSpread: 0.5, MaxWork: 8 * time.Second, Steps: 1, Width: widths[1], WidthSpread: 0.8, MaxWidth: int(6 * widths[1]),
				Processors: 7500 * size, Memory: 11_000 * size, Accelerators: []int64{1, 2, 4, 8, 8}, Gang: true, Compact: 0.8,
				EstimateSpread: 0.2, TaskSpread: 0.15, FailureRate: 0.02,
			},
			{
				Name: "wide", Rate: rates[2] * scale, Priority: 2, Attempts: 3, Stretch: 3, Target: 4 * time.Second, Value: 1, LateValue: 0.3,
				Work: 6100 * time.Millisecond, WorkSpread: 0.3, MaxWork: 11 * time.Second, Steps: 1.3, Width: widths[2], WidthSpread: 0.8, MaxWidth: int(6 * widths[2]),
				Processors: 5600 * size, Memory: 11_000 * size, Accelerators: []int64{1}, Checkpoints: 0.45,
				EstimateSpread: 0.9, TaskSpread: 0.15, FailureRate: 0.05, AlwaysFailing: 0.01, Cancelled: 0.15,
			},
		},
	}
}

// Racks returns the fleet and the load of a large pool with racks of 12 workers, in which waves of urgent compact gangs meet
// larger gangs and wide steps, with a tail of long tasks. scale multiplies the arrival rates.
func Racks(scale float64) (Fleet, Load) {
	fleet := Fleet{
		Workers: 350, WorkersPerRack: 12, Processors: 128_000, Memory: 262_144, Accelerators: 8, Speeds: []float64{0.9, 1, 1.1},
		MaxLease: 6 * time.Second, MaxStopTime: 200 * time.Millisecond, CheckpointInterval: 2 * time.Second, RestoreTime: 600 * time.Millisecond,
		MaxPollTime: maxPollTime,
	}
	load := load(scale, 1, [3]float64{2.28, 7.75, 1.43}, [3]float64{13, 5.4, 39})
	load.Organisations, load.Guaranteed = 10, 140
	load.WavePeriod, load.WaveDepth = 8*time.Second, 0.5
	long, urgent, wide := &load.Queues[0], &load.Queues[1], &load.Queues[2]
	long.Processors, long.Memory, long.Work, long.MaxWork = 52_000, 110_000, 5800*time.Millisecond, 9*time.Second
	urgent.Processors, urgent.Memory, urgent.Work = 15_000, 31_000, 2100*time.Millisecond
	wide.Processors, wide.Memory, wide.Work, wide.Steps = 11_000, 16_000, 8100*time.Millisecond, 1
	for i := range load.Queues {
		load.Queues[i].LongShare, load.Queues[i].LongFactor = 0.03, 7
	}
	return fleet, load
}
