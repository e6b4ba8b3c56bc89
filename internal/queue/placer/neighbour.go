package placer

import (
	"cmp"
	"slices"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
)

// minSlowdown is the least slowdown for which a unit prefers another worker.
const minSlowdown = 1.1

// neighbours caches what a unit and the runs on workers do to each other.
type neighbours struct {
	step      *tracker.Step
	slowdown  func(s *tracker.Step, w *Worker) float64
	beside    float64             // of a task beside another one of the unit
	slowdowns []neighbourSlowdown // by index of the worker
	workers   int                 // number of all workers
	visit     func(int)           // counts the work
	seen      bool                // there is a worker with interference, or the tasks of the unit interfere
	apart     bool                // the worker selected last is another one than if no images interfered
}

// neighbourSlowdown is a cached slowdown, 0 for none. It holds until another task starts on the worker, or a run there is stopped.
type neighbourSlowdown struct {
	begun, stops int
	value        float64
}

// newNeighbours returns the cache for a unit, nil if no images interfere.
func (p *pass) newNeighbours(s *tracker.Step) *neighbours {
	if p.input.Slowdown == nil || s.Spec.GetImage() == "" {
		return nil
	}
	n := &neighbours{step: s, slowdown: p.input.Slowdown, workers: p.workers, visit: p.visit}
	n.beside = n.ask(&Worker{Runs: []*ActiveRun{{Step: s}}})
	return n
}

// ask returns the slowdown on a worker, 1 if it is not significant.
func (n *neighbours) ask(w *Worker) float64 {
	n.visit(visitsPerNeighbour * (1 + len(w.Runs)))
	value := n.slowdown(n.step, w)
	if value < minSlowdown {
		return 1
	}
	n.seen = true
	return value
}

// recordNeighbour records that a task of the unit starts on the worker, for later units and tasks of the pass.
func (p *pass) recordNeighbour(u *unit, c *candidate) {
	if p.input.Slowdown != nil && u.step.Spec.GetImage() != "" {
		c.begun = append(c.begun, &ActiveRun{Job: u.job, Step: u.step, Need: u.need})
	}
}

// slowdown returns the slowdown of a task of the unit on the worker, or of the runs there, 1 if none is significant. Runs that
// are being stopped do not count.
func (u *unit) slowdown(c *candidate) float64 {
	n := u.neighbours
	if n == nil {
		return 1
	}
	if n.slowdowns == nil {
		n.slowdowns = make([]neighbourSlowdown, n.workers) // only for units that fit somewhere
	}
	known := &n.slowdowns[c.index]
	if known.value > 0 && known.begun == len(c.begun) && known.stops == c.stops {
		return known.value
	}
	w := c.Worker
	if len(c.begun) > 0 || slices.ContainsFunc(c.Runs, isStopping) {
		v := *c.Worker
		v.Runs = slices.DeleteFunc(slices.Concat(c.Runs, c.begun), isStopping)
		w = &v
	}
	*known = neighbourSlowdown{len(c.begun), c.stops, n.ask(w)}
	return known.value
}

func isStopping(a *ActiveRun) bool { return a.Stopping }

// compareSlowdowns orders workers by the slowdown of a task of the unit, or of the runs there.
func (u *unit) compareSlowdowns(a, b *candidate) int {
	if u.neighbours == nil {
		return 0
	}
	return cmp.Compare(u.slowdown(a), u.slowdown(b))
}

// slowdownOf returns the largest slowdown in allocations. A gang runs at the rate of its slowest member.
func (u *unit) slowdownOf(allocations []allocation) float64 {
	slowdown := 1.0
	if u.neighbours == nil {
		return slowdown
	}
	for _, a := range allocations {
		if slowdown = max(slowdown, u.slowdown(a.candidate)); a.members > 1 {
			slowdown = max(slowdown, u.neighbours.beside)
		}
	}
	return slowdown
}

// packApart allocates all members on workers without interference. It returns the given allocations if they do not fit there,
// or only on workers to which others are preferred for other reasons.
func (u *unit) packApart(domain []*candidate, free func(*candidate) Vector, allocations []allocation) []allocation {
	limit := u.maxPerWorker(len(u.tasks))
	if u.neighbours.beside > 1 {
		limit = 1
	}
	quiet := slices.DeleteFunc(slices.Clone(domain), func(c *candidate) bool { return u.slowdown(c) > 1 })
	apart, ok := u.packAll(quiet, free, limit)
	if !ok || u.compareDoubts(apart, allocations) > 0 {
		return allocations
	}
	return apart
}

// compareDoubts compares allocations by what goes before interference in the order of preference.
func (u *unit) compareDoubts(a, b []allocation) int {
	count := func(list []allocation, doubtful func(*candidate) bool) int {
		n := 0
		for _, v := range list {
			if doubtful(v.candidate) {
				n += v.members
			}
		}
		return n
	}
	rack := u.step.Spec.GetRack()
	for _, doubtful := range []func(*candidate) bool{
		func(c *candidate) bool { return c.Suspect },
		func(c *candidate) bool { return c.closed },
		func(c *candidate) bool { return rack != "" && c.Rack != rack },
		func(c *candidate) bool { return c.Cold },
	} {
		if order := cmp.Compare(count(a, doubtful), count(b, doubtful)); order != 0 {
			return order
		}
	}
	return 0
}

// regardless returns the unit for placement as if no images interfered.
func (u *unit) regardless() *unit {
	v := *u
	v.neighbours = nil
	return &v
}

// recordChoice records whether the worker selected for a single task is another one than if no images interfered.
func (u *unit) recordChoice(selected, regardless *candidate) {
	if u.neighbours != nil {
		u.neighbours.apart = selected != regardless
	}
}

// membersKeptApart returns how many members of a gang would start on other workers if no images interfered.
func (p *pass) membersKeptApart(u *unit, domains [][]*candidate, allocations []allocation) int {
	if len(allocations) == 0 || u.neighbours == nil || !u.neighbours.seen {
		return 0
	}
	others := map[*candidate]int{}
	for _, a := range p.fitGang(u.regardless(), domains) {
		others[a.candidate] = a.members
	}
	n := 0
	for _, a := range allocations {
		n += max(a.members-others[a.candidate], 0)
	}
	return n
}
