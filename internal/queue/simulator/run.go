package simulator

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// run is an active run of a task: executing, or waiting for the other members of its gang.
type run struct {
	key           tracker.RunKey
	spec          *messages.Step
	job           *job
	received      time.Time
	started       bool
	stopping      bool
	done          time.Duration // work done up to advancedAt
	advancedAt    time.Time
	total         time.Duration
	checkpoint    time.Duration
	checkpointTag string
	restored      time.Duration // work done by earlier runs, restored from a checkpoint
	failAt        time.Duration // work after which the run fails, 0 if it does not
	begunAt       time.Time     // of the execution
	endVersion    int           // of the scheduled end; events of earlier versions are ignored
}

// start begins execution, after the restore time if there is a checkpoint, and schedules the end.
func (r *run) start(w *worker) {
	w.changeCompany(func() {
		r.started = true
		r.advancedAt, r.begunAt = w.sim.now, w.sim.now
		if r.restored > 0 {
			r.advancedAt = r.advancedAt.Add(w.sim.opts.Fleet.RestoreTime)
		}
	})
	r.scheduleEnd(w)
}

// rate returns the work done per unit of time.
func (r *run) rate(w *worker) float64 {
	if w.stuck > 0 {
		return 0
	}
	rate := w.speed / w.slowdown
	if !r.spec.GetGang() {
		return rate / w.sim.distance(r, w) / w.sim.interference(r, w)
	}
	// A gang runs at the speed of its slowest member. A compact gang is slower if it spans racks.
	g := w.sim.gangs[gangKey{r.key.Job, r.key.Occurrence, r.key.Step, r.key.Number}]
	racks := map[string]bool{}
	for _, m := range g.members {
		racks[m.rack] = true
		if m.stuck > 0 {
			return 0
		}
		rate = min(rate, m.speed/m.slowdown)
	}
	rate /= w.sim.gangInterference(r, g)
	if r.spec.GetCompact() && len(racks) > 1 {
		return rate / crossRackSlowdown
	}
	return rate / w.sim.distance(r, w)
}

// distance returns the factor by which a run is slowed down outside of the rack it asks for.
func (s *Simulator) distance(r *run, w *worker) float64 {
	if rack := r.spec.GetRack(); rack != "" && rack != w.rack {
		return crossRackSlowdown
	}
	return 1
}

// advance updates the work done, and the periodic checkpoint, to the current time.
func (r *run) advance(w *worker) {
	if !r.started || !w.sim.now.After(r.advancedAt) {
		return
	}
	r.done = min(r.total, r.done+time.Duration(float64(w.sim.now.Sub(r.advancedAt))*r.rate(w)))
	r.advancedAt = w.sim.now
	if interval := w.sim.opts.Fleet.CheckpointInterval; r.spec.GetCheckpoints() && interval > 0 && r.done-r.checkpoint >= interval {
		r.saveCheckpoint(r.checkpoint + (r.done-r.checkpoint)/interval*interval)
	}
}

func (r *run) saveCheckpoint(done time.Duration) {
	r.checkpoint = done
	r.checkpointTag = strconv.Itoa(int(done.Milliseconds()))
}

// scheduleEnd schedules the end of the run at its current rate. It replaces the end scheduled before; a run
// that makes no progress has none.
func (r *run) scheduleEnd(w *worker) {
	r.endVersion++
	version, incarnation := r.endVersion, w.incarnation
	rate := r.rate(w)
	if rate == 0 {
		return
	}
	target, how := r.total, tracker.EndDone
	switch {
	case r.failAt > 0:
		target, how = r.failAt, tracker.EndFailed
	case r.spec.GetLasting():
		return // it runs until it is stopped
	}
	delay := r.advancedAt.Sub(w.sim.now) + time.Duration(float64(max(target-r.done, 0))/rate)
	w.sim.after(max(delay, 0), func() {
		if r.endVersion == version && w.incarnation == incarnation && w.up && w.runs[r.key] == r {
			r.advance(w)
			w.endRun(r.key, how)
		}
	})
}

// rescheduleEnds reschedules the ends of the runs on all workers after the speed of one worker has changed,
// as gang members on other workers are affected too.
func (w *worker) rescheduleEnds() {
	for _, other := range w.sim.workers {
		for _, key := range slices.SortedFunc(maps.Keys(other.runs), tracker.CompareKeys) {
			if r := other.runs[key]; r.started {
				r.scheduleEnd(other)
			}
		}
	}
}

// percent returns the progress as a worker reports it. A lasting task has no end, so its progress is complete as it begins.
func (r *run) percent() int32 {
	if r.spec.GetLasting() && r.started {
		return 100
	}
	return int32(100 * r.done / max(r.total, 1))
}
