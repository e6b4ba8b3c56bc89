package coordinator

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/placer"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
)

// relocate stops lasting runs on workers of evacuated data centres, so that their tasks start elsewhere. Of each step at most
// as many tasks are away at a time as the step allows, at least one, and runs are stopped only while other workers have room for
// two tasks of the step.
func (c *Coordinator) relocate(state *tracker.Tracker) {
	runs := c.relocatableRuns(state)
	if len(runs) == 0 {
		return
	}
	room := c.newRoom(state)
	for len(runs) > 0 {
		first := runs[0]
		n := 1
		for n < len(runs) && runs[n].step == first.step {
			n++
		}
		c.relocateStep(state, room, runs[:n])
		runs = runs[n:]
	}
}

// lastingRun is a run of a lasting task that is at work.
type lastingRun struct {
	key    tracker.RunKey
	job    *tracker.Job
	step   *tracker.Step
	worker *worker
}

// relocatableRuns returns the lasting runs at work on workers of evacuated data centres, by step.
func (c *Coordinator) relocatableRuns(state *tracker.Tracker) []lastingRun {
	var list []lastingRun
	for id, w := range c.workers {
		if !state.IsEvacuated(w.place) {
			continue
		}
		for key := range state.RunsOn(id) {
			j := state.Job(key.Job)
			if s := j.Step(key.Occurrence, key.Step); s.Spec.GetLasting() && c.isAtWork(state, j, s, key.Task) {
				list = append(list, lastingRun{key, j, s, w})
			}
		}
	}
	slices.SortFunc(list, func(a, b lastingRun) int {
		return cmp.Or(cmp.Compare(a.job.Sequence, b.job.Sequence), tracker.CompareKeys(a.key, b.key))
	})
	return list
}

// isAtWork reports whether a task has a run that its worker lists, and that is not to stop.
func (c *Coordinator) isAtWork(state *tracker.Tracker, j *tracker.Job, s *tracker.Step, task int32) bool {
	t := &s.Tasks[task]
	w := c.workers[t.Worker]
	if t.Active == 0 || w == nil || w.left || c.isSilent(w, c.opts.Now()) {
		return false
	}
	key := runKeyOf(j, s, task)
	run := state.RunsOn(w.id)[key]
	return run != nil && run.GetBorn() == w.born && w.listed[key] && !c.mustStop(j, key)
}

func runKeyOf(j *tracker.Job, s *tracker.Step, task int32) tracker.RunKey {
	key := tracker.TaskKey{Job: j.Work.GetId(), Occurrence: s.Occurrence, Step: s.Index, Task: task}
	return tracker.RunKey{TaskKey: key, Number: s.Tasks[task].Number}
}

// relocateStep stops some of the runs of a step that are at work on workers of evacuated data centres. A gang is stopped as a
// whole, as it can't work without a member.
func (c *Coordinator) relocateStep(state *tracker.Tracker, room *room, runs []lastingRun) {
	j, s := runs[0].job, runs[0].step
	away := 0
	for i := range s.Tasks {
		if !s.Tasks[i].Done && !c.isAtWork(state, j, s, int32(i)) {
			away++
		}
	}
	pool := c.poolOf(state, j)
	if s.Spec.GetGang() {
		if away == 0 && room.fits(pool, s, len(runs)+1) >= len(runs)+1 {
			room.take(pool, s, len(runs))
			for i := range s.Tasks {
				c.relocateRun(lastingRun{runKeyOf(j, s, int32(i)), j, s, c.workers[s.Tasks[i].Worker]})
			}
		}
		return
	}
	for i := range min(max(int(s.Spec.GetAbsent()), 1)-away, len(runs)) {
		if room.fits(pool, s, minRelocationRoom) < minRelocationRoom {
			return
		}
		room.take(pool, s, 1)
		c.relocateRun(runs[i])
	}
}

// minRelocationRoom is the number of tasks of a step for which other workers must have room when one is moved.
const minRelocationRoom = 2

func (c *Coordinator) relocateRun(r lastingRun) {
	c.stopping[r.key] = true
	c.wakeWorker(r.worker.id)
	c.metrics.evacuationMoves.Inc(1)
	c.opts.Log.Info("lasting run is moved from an evacuated data centre", zap.String("request", r.key.Job), zap.Int32("occurrence", r.key.Occurrence),
		zap.Int32("step", r.key.Step), zap.Int32("task", r.key.Task), zap.Uint32("run", r.key.Number), zap.String("worker", r.worker.id),
		zap.String("place", r.worker.place), zap.Uint64("report", r.worker.sequence))
}

// room is the free capacity of the workers that may start tasks.
type room struct {
	workers []*placer.Worker
	free    map[*placer.Worker]placer.Vector
}

// newRoom returns the free capacity without what lasting tasks that wait for a start, or that are being moved, are about to use.
func (c *Coordinator) newRoom(state *tracker.Tracker) *room {
	r := &room{free: map[*placer.Worker]placer.Vector{}}
	for _, w := range c.placerInput(state).Workers {
		if w.Usable && !w.Evacuated && !w.Quarantined {
			r.workers = append(r.workers, w)
			r.free[w] = w.Free
		}
	}
	for _, j := range state.Open() {
		steps := j.Steps()
		for i := range steps {
			s := &steps[i]
			if j.Ended() || s.Done || !s.Spec.GetLasting() || !j.DependenciesDone(s) {
				continue
			}
			moving := 0
			for task := range s.Tasks {
				if t := &s.Tasks[task]; !t.Done && (t.Active == 0 || c.stopping[runKeyOf(j, s, int32(task))]) {
					moving++
				}
			}
			r.take(c.poolOf(state, j), s, moving)
		}
	}
	return r
}

// tasksOn returns how many tasks of a step fit on a worker, at most limit.
func (r *room) tasksOn(w *placer.Worker, pool string, s *tracker.Step, limit int) int {
	label := s.Spec.GetLabel()
	if w.Pool != pool || label != "" && !slices.Contains(w.Labels, label) {
		return 0
	}
	if spread := int(s.Spec.GetSpread()); spread > 0 {
		for _, a := range w.Runs {
			if a.Step == s {
				spread--
			}
		}
		limit = min(limit, max(spread, 0))
	}
	return r.free[w].Fits(placer.Need(s.Spec), limit)
}

// fits returns how many tasks of a step fit, at most limit.
func (r *room) fits(pool string, s *tracker.Step, limit int) int {
	n := 0
	for _, w := range r.workers {
		if n >= limit {
			break
		}
		n += r.tasksOn(w, pool, s, limit-n)
	}
	return n
}

// take deducts tasks of a step, as far as they fit.
func (r *room) take(pool string, s *tracker.Step, tasks int) {
	need := placer.Need(s.Spec)
	for _, w := range r.workers {
		if tasks <= 0 {
			return
		}
		n := r.tasksOn(w, pool, s, tasks)
		r.free[w] = r.free[w].Sub(need.Times(n))
		tasks -= n
	}
}

// remainder is what was last logged about the workers outside of evacuated data centres.
type remainder struct {
	none     bool // there are no workers
	exceeded bool // the guarantees exceed the accelerators
}

// checkRemainder logs a warning when no worker is left outside of evacuated data centres, or when the guarantees of all
// organisations exceed the accelerators there.
func (c *Coordinator) checkRemainder(state *tracker.Tracker) {
	evacuations := len(state.Evacuations())
	c.metrics.evacuatedPlaces.Update(float64(evacuations))
	if evacuations == 0 {
		c.remainder = remainder{}
		return
	}
	if c.opts.Now().Sub(c.termStart) < fleetDiscoveryTime {
		return // not all workers may have reported
	}
	workers, accelerators, guaranteed := 0, int64(0), int64(0)
	for _, w := range c.workers {
		if !state.IsEvacuated(w.place) && !w.left {
			workers++
			accelerators += w.capacity.Accelerators
		}
	}
	for _, o := range state.Catalog().GetOrganisations() {
		guaranteed += o.GetAccelerators()
	}
	now := remainder{none: workers == 0, exceeded: guaranteed > accelerators}
	fields := []zap.Field{zap.Int("evacuations", evacuations), zap.Int("workers", workers), zap.Int64("accelerators", accelerators), zap.Int64("guaranteed", guaranteed)}
	if now.none && !c.remainder.none {
		c.opts.Log.Warn("no worker is left outside of evacuated data centres", fields...)
	}
	if now.exceeded && !c.remainder.exceeded {
		c.opts.Log.Warn("guarantees exceed what is left", fields...)
	}
	c.remainder = now
}

// isSilent reports whether a worker is out of contact, so that its runs may have ended.
func (c *Coordinator) isSilent(w *worker, now time.Time) bool {
	return now.Sub(w.lastContact) >= c.opts.Timing.contactTimeout(w.interval) || !now.Before(w.leaseEnd)
}
