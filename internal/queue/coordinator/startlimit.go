package coordinator

import (
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/placer"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// startShare of the largest entry is for the starts of one pass. The encoding of an entry with starts that inherit their
// checkpoints takes a third more.
const startShare = 0.5

// limitStarts returns the first starts of a plan that fit into an entry of the log. A gang is taken as a whole or left for a
// later pass. If it doesn't fit into an entry of its own, as each member carries the checkpoint, its members inherit the
// checkpoint from the state.
func (c *Coordinator) limitStarts(state *tracker.Tracker, starts []*messages.Run) []*messages.Run {
	limit := int(float64(c.opts.MaxMessage) * startShare)
	if limit == 0 {
		return starts
	}
	size := 0
	var list []*messages.Run
	previous := c.outdatedFor
	c.outdatedFor = map[placer.StepKey]string{}
	for _, group := range groupStarts(state, starts) {
		groupSize := sizeOf(group)
		if groupSize > limit {
			if !c.inheritCheckpoints(group, groupSize, previous) {
				continue
			}
			groupSize = sizeOf(group)
		}
		if size+groupSize > limit && len(list) > 0 {
			c.opts.Log.Info("starts are left for the next pass", zap.Int("starts", len(starts)-len(list)), zap.Int("bytes", size))
			break
		}
		size += groupSize
		list = append(list, group...)
	}
	return list
}

// inheritCheckpoints takes the checkpoints out of the starts of a group. It reports false while a keeper in contact is of a
// build that does not know such starts. The previous pass logged the gangs in logged, with the keeper.
func (c *Coordinator) inheritCheckpoints(group []*messages.Run, size int, logged map[placer.StepKey]string) bool {
	key := tracker.KeyOf(group[0])
	step := placer.StepKey{Job: key.Job, Occurrence: key.Occurrence, Step: key.Step}
	fields := []zap.Field{
		zap.String("request", key.Job), zap.Int32("occurrence", key.Occurrence), zap.Int32("step", key.Step), zap.Int("starts", len(group)), zap.Int("bytes", size),
	}
	if c.opts.OutdatedKeeper != nil {
		if name := c.opts.OutdatedKeeper(c.term); name != "" {
			if logged[step] != name {
				c.opts.Log.Warn("gang waits: its checkpoints do not fit into a log entry of an earlier build", append(fields, zap.String("keeper", name))...)
			}
			c.outdatedFor[step] = name
			return false
		}
	}
	c.opts.Log.Info("gang inherits its checkpoint", fields...)
	for _, r := range group {
		r.Inherits, r.Saved = true, ""
	}
	return true
}

// groupStarts returns the starts of each gang together, and each other start alone, in the order of the plan.
func groupStarts(state *tracker.Tracker, starts []*messages.Run) [][]*messages.Run {
	var groups [][]*messages.Run
	for i := 0; i < len(starts); {
		end := i + 1
		for first := starts[i]; end < len(starts) && isSameGang(state, first, starts[end]); end++ {
		}
		groups = append(groups, starts[i:end])
		i = end
	}
	return groups
}

func isSameGang(state *tracker.Tracker, a, b *messages.Run) bool {
	return a.GetJob() == b.GetJob() && a.GetOccurrence() == b.GetOccurrence() && a.GetStep() == b.GetStep() &&
		state.Job(a.GetJob()).Step(a.GetOccurrence(), a.GetStep()).Spec.GetGang()
}

func sizeOf(group []*messages.Run) int {
	size := 0
	for _, r := range group {
		size += proto.Size(r) + runOverhead
	}
	return size
}

// runOverhead is the most that the tag and the length of a run take in an entry, and the fields that are set later.
const runOverhead = 24
