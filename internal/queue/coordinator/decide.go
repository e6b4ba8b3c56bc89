package coordinator

import (
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/placer"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// decide returns the change to commit now, nil if there is none.
func (c *Coordinator) decide(state *tracker.Tracker) *messages.QueueChange {
	change := &messages.QueueChange{Time: c.opts.Wall().UnixMilli()}
	c.prune(state)
	if c.pacer.Update(c.opts.Now(), len(c.workers)) {
		c.opts.Log.Info("report interval", zap.Duration("interval", c.pacer.Interval()), zap.Int("workers", len(c.workers)), zap.Duration("wait", c.pacer.Wait()))
	}
	c.evacuate(state)
	c.relocate(state)
	c.checkRemainder(state)
	c.updateInterference()
	change.Ends = append(c.expiredWorkers(state), c.unsentStarts(state)...)
	change.Forgets = c.expiredJobs(state)
	c.observeRestarts(state)
	change.Failures = c.giveUps(state)
	change.Cancels = change.Failures
	change.Survivals = c.survivals(state)
	if len(change.Ends)+len(change.Failures) == 0 {
		// Ends free capacity that is not visible before they are applied, so starts wait for the next pass.
		change.Starts = c.planStarts(state)
	}
	for _, r := range change.Starts {
		r.Started = change.Time
	}
	if len(change.Ends)+len(change.Forgets)+len(change.Failures)+len(change.Survivals)+len(change.Starts) == 0 {
		// Last, as ends delay starts.
		if change.Ends = c.goneIncarnations(state); len(change.Ends) == 0 {
			return nil
		}
	}
	return change
}

const (
	// maxRemovedIncarnations bounds the size of the entry that removes the incarnations of workers that have gone.
	maxRemovedIncarnations = 256
	// goneCheckInterval is the time between two searches for them, each of which looks at all workers.
	goneCheckInterval = time.Second
)

// goneIncarnations returns the ends of committed incarnations whose workers have no runs and have not reported for
// workerRetention. An incarnation is committed with the first end that it reports, also if it was removed before with its last
// runs and the report came late. A worker that returns lists its ends again, which has no effect on runs that have ended.
func (c *Coordinator) goneIncarnations(state *tracker.Tracker) []*messages.WorkerEnds {
	now := c.opts.Now()
	if now.Sub(c.termStart) <= workerRetention || now.Sub(c.goneCheckedAt) < goneCheckInterval {
		return nil // in the first minute workers may not have found this leader yet
	}
	c.goneCheckedAt = now
	var list []*messages.WorkerEnds
	state.EachIncarnation(func(id string, incarnation tracker.Incarnation) {
		// The ends of a worker with more of them would not be credible if it returned.
		if incarnation.Sequence > maxGap/2 || c.workers[id] != nil || len(state.RunsOn(id)) > 0 {
			return
		}
		list = append(list, &messages.WorkerEnds{Worker: id, Born: incarnation.Started, Over: true})
	})
	if len(list) == 0 {
		return nil
	}
	slices.SortFunc(list, func(a, b *messages.WorkerEnds) int { return strings.Compare(a.GetWorker(), b.GetWorker()) })
	list = list[:min(len(list), maxRemovedIncarnations)]
	c.opts.Log.Info("incarnations of workers that have gone are removed", zap.Int("workers", len(list)), zap.String("first", list[0].GetWorker()))
	return list
}

// expiredWorkers returns the worker incarnations whose leases have expired or that have been replaced.
func (c *Coordinator) expiredWorkers(state *tracker.Tracker) []*messages.WorkerEnds {
	var list []*messages.WorkerEnds
	checkpointLimit := maxCheckpointBytes
	state.EachWorker(func(id string, runs map[tracker.RunKey]*messages.Run) {
		born := int64(0)
		for _, r := range runs {
			born = max(born, r.GetBorn())
		}
		// The end of an earlier incarnation than the committed one would be without effect.
		if incarnation, known := state.Incarnation(id); known {
			born = max(born, incarnation.Started)
		}
		expiry, replaced, lost := c.isLost(id, born)
		if !lost {
			return
		}
		c.metrics.lost.Inc(1)
		c.opts.Log.Info("worker lost", zap.String("worker", id), zap.Int64("born", born), zap.Int("runs", len(runs)),
			zap.Time("lease", expiry), zap.Bool("replaced", replaced))
		w := c.workers[id]
		if w != nil && w.born != born {
			w = w.previousAt(born)
		}
		ends := c.checkpointEnds(state, id, born, checkpointLimit)
		checkpointLimit -= checkpointBytes(ends)
		list = append(list, &messages.WorkerEnds{Worker: id, Born: born, Ends: ends, Over: true, Crashes: c.crashes(state, id, born, w, replaced)})
		if w != nil {
			w.expiring = true
		}
	})
	slices.SortFunc(list, func(a, b *messages.WorkerEnds) int { return strings.Compare(a.GetWorker(), b.GetWorker()) })
	return list
}

// isLost reports whether the runs of an incarnation have ended with it, because its leases have expired or because
// another worker has replaced it. A worker in contact reports its own ends.
func (c *Coordinator) isLost(id string, born int64) (expiry time.Time, replaced, lost bool) {
	now := c.opts.Now()
	w := c.workers[id]
	known := w != nil && w.born >= born
	expiry = c.opts.Timing.leaseExpiry(c.termStart, c.opts.Timing.MaxLease)
	if known && w.leaseEnd.After(expiry) {
		expiry = w.leaseEnd
	}
	replaced = known && w.born == born && w.replaced
	inContact := known && w.born == born && now.Sub(w.lastContact) < c.opts.Timing.contactTimeout(w.interval)
	return expiry, replaced, replaced || !inContact && !now.Before(expiry)
}

// unsentStarts returns the ends of starts whose orders were not sent because the worker stopped reporting, or its data
// centre was evacuated. Only this leader could have sent them, so the tasks may be started elsewhere without waiting for a lease.
func (c *Coordinator) unsentStarts(state *tracker.Tracker) []*messages.WorkerEnds {
	now := c.opts.Now()
	var list []*messages.WorkerEnds
	for id, w := range c.workers {
		evacuated := state.IsEvacuated(w.place)
		if w.expiring || !evacuated && now.Sub(w.lastContact) < c.opts.Timing.contactTimeout(w.interval) {
			continue
		}
		ends := &messages.WorkerEnds{Worker: id, Born: w.born}
		for key, run := range state.RunsOn(id) {
			if _, sent := w.startOrders[key]; run.GetBorn() != w.born || sent || w.listed[key] || !c.committedStarts[key] {
				continue
			}
			c.stopping[key] = true // the response to a late report must not contain the start
			if evacuated {
				c.logWithheld(w, key)
			}
			ends.Ends = append(ends.Ends, &messages.End{
				Job: key.Job, Occurrence: key.Occurrence, Step: key.Step, Task: key.Task, Number: key.Number, How: tracker.EndRefused,
			})
		}
		if len(ends.Ends) == 0 {
			continue
		}
		c.opts.Log.Info("starts not sent", zap.String("worker", id), zap.Int("starts", len(ends.Ends)), zap.Bool("evacuated", evacuated),
			zap.Duration("silent", now.Sub(w.lastContact)))
		slices.SortFunc(ends.Ends, func(a, b *messages.End) int {
			return tracker.CompareKeys(tracker.EndKeyOf(a), tracker.EndKeyOf(b))
		})
		list = append(list, ends)
	}
	slices.SortFunc(list, func(a, b *messages.WorkerEnds) int { return strings.Compare(a.GetWorker(), b.GetWorker()) })
	return list
}

// workerRetention is how long a worker without runs is kept after its last report.
const workerRetention = time.Minute

// prune removes the data of workers, jobs and runs that are no longer needed. Data of a run is kept until
// the end of the run is committed, as a run whose end is being committed must not be ordered again.
func (c *Coordinator) prune(state *tracker.Tracker) {
	now := c.opts.Now()
	maps.DeleteFunc(c.workers, func(id string, w *worker) bool {
		return (w.replaced || now.Sub(w.lastContact) > workerRetention) && len(state.RunsOn(id)) == 0
	})
	maps.DeleteFunc(c.proposed, func(id string, _ *messages.Work) bool { return state.Job(id) != nil })
	maps.DeleteFunc(c.begun, func(id string, _ bool) bool { return state.Job(id) == nil || state.Job(id).Ended() })
	maps.DeleteFunc(c.addresses, func(_, id string) bool { return c.workers[id] == nil })
	ended := func(key tracker.RunKey) bool { return !state.IsActive(key) }
	maps.DeleteFunc(c.progress, func(key tracker.RunKey, _ *runProgress) bool { return ended(key) })
	maps.DeleteFunc(c.committedStarts, func(key tracker.RunKey, _ bool) bool { return ended(key) })
	maps.DeleteFunc(c.stopping, func(key tracker.RunKey, _ bool) bool { return ended(key) })
	over := func(key tracker.TaskKey) bool {
		j := state.Job(key.Job)
		return j == nil || j.Ended()
	}
	maps.DeleteFunc(c.verdicts, func(key tracker.TaskKey, _ verdict) bool { return over(key) })
	maps.DeleteFunc(c.restarts, func(key tracker.TaskKey, _ restart) bool { return over(key) })
	c.pruneDeferrals(state)
	for _, w := range c.workers {
		maps.DeleteFunc(w.startOrders, func(key tracker.RunKey, _ uint64) bool { return ended(key) })
		maps.DeleteFunc(w.withheld, func(key tracker.RunKey, _ bool) bool { return ended(key) })
	}
}

// expiredJobs returns the ended jobs whose retention time is over.
func (c *Coordinator) expiredJobs(state *tracker.Tracker) []string {
	now := c.opts.Now()
	var list []string
	state.EachJob(func(j *tracker.Job) {
		id := j.Work.GetId()
		if !j.Ended() {
			return
		}
		at, seen := c.endedAt[id]
		if !seen {
			c.endedAt[id] = now
			c.logEnded(j)
			return
		}
		if j.Active() == 0 && now.Sub(at) > c.opts.Timing.Retention {
			list = append(list, id)
			delete(c.endedAt, id)
			delete(c.seenAt, id)
			delete(c.failedWorkers, id)
		}
	})
	return list
}

// planStarts returns the runs that the placer starts, and marks those that it preempts for stopping.
func (c *Coordinator) planStarts(state *tracker.Tracker) []*messages.Run {
	in := c.placerInput(state)
	plan := placer.NewPlan(in)
	c.recordAccounts(in, plan)
	c.recordResume(plan.Resume)
	plan.Starts = c.limitStarts(state, plan.Starts) // first, as a step whose start is left out waits on
	c.recordDeferrals(plan)
	c.recordBlocked(state, plan)
	for _, a := range plan.Stops {
		c.stopping[a.Key] = true
		c.endIdleWait(a.Key)
		c.recordStop(a)
		c.wakeWorker(a.Job.Step(a.Key.Occurrence, a.Key.Step).Tasks[a.Key.Task].Worker)
		c.opts.Log.Info("run is stopped for urgent work", zap.String("request", a.Key.Job), zap.Int32("occurrence", a.Key.Occurrence), zap.Int32("step", a.Key.Step),
			zap.Int32("task", a.Key.Task), zap.Uint32("run", a.Key.Number), zap.Duration("unsaved", a.Unsaved), zap.Duration("remaining", a.Remaining),
			zap.Duration("held", a.Held))
	}
	for _, r := range plan.Starts {
		w := c.workers[r.GetWorker()]
		c.opts.Log.Info("run starts", zap.String("request", r.GetJob()), zap.Int32("occurrence", r.GetOccurrence()), zap.Int32("step", r.GetStep()), zap.Int32("task", r.GetTask()),
			zap.Uint32("run", r.GetNumber()), zap.String("worker", r.GetWorker()), zap.Uint64("report", w.sequence),
			zap.Duration("age", c.opts.Now().Sub(w.lastContact)))
	}
	c.metrics.starts.Inc(int64(len(plan.Starts)))
	c.metrics.evicted.Inc(int64(len(plan.Stops)))
	c.metrics.startsApart.Inc(int64(plan.Apart))
	return plan.Starts
}

// recordResume records where the next pass goes on, and logs when passes begin and cease to leave units out.
func (c *Coordinator) recordResume(key placer.StepKey) {
	limited, before := key != placer.StepKey{}, c.resume != placer.StepKey{}
	c.resume = key
	if limited == before {
		return
	}
	if !limited {
		c.opts.Log.Info("passes search for all units")
		return
	}
	c.opts.Log.Info("passes leave units out, as the search takes too long", zap.String("next", key.Job), zap.Int32("occurrence", key.Occurrence),
		zap.Int32("step", key.Step))
}

// placerInput returns the input of the placer: open jobs, workers and estimates.
func (c *Coordinator) placerInput(state *tracker.Tracker) *placer.Input {
	now, wall := c.opts.Now(), c.opts.Wall()
	in := &placer.Input{
		Jobs: state.Open(),
		Age:  func(j *tracker.Job) time.Duration { return now.Sub(c.firstSeen(j)) },
		Guarantee: func(name string) int64 {
			return state.OrganisationByName(name).GetAccelerators()
		},
		Estimate: func(j *tracker.Job, s *tracker.Step) time.Duration { return c.estimate(j, s) },
		Due: func(j *tracker.Job, occurrence int32) bool {
			return j.Work.GetOccurrences() == 0 ||
				wall.UnixMilli() >= j.Work.GetFirst()+int64(occurrence)*j.Work.GetInterval()
		},
		Pool:     func(j *tracker.Job) string { return c.poolOf(state, j) },
		Held:     c.isHeld,
		Resting:  c.isResting,
		FailedAt: func(j *tracker.Job) time.Time { return c.failedWorkers.failedAt(now, j.Work.GetId()) },
		Resume:   c.resume,
		Waited:   c.waitOf, RackFactor: c.opts.RackFactor, Preemption: c.opts.Preemption, Slowdown: c.slowdown(),
	}
	quarantined := map[string]int{} // number of workers by pool
	total := map[string]int{}
	for _, w := range c.workers {
		if state.IsEvacuated(w.place) {
			continue
		}
		total[w.pool]++
		if w.health.isQuarantined(now) {
			quarantined[w.pool]++
		}
	}
	for _, w := range c.workers {
		if w.left {
			continue
		}
		v := c.workerView(state, w, now)
		if quarantined[w.pool]*quarantineDivisor <= total[w.pool] {
			v.Quarantined = w.health.isQuarantined(now)
			v.Probed = w.health.isProbing(now)
		}
		in.Workers = append(in.Workers, v)
	}
	sortWorkers(in.Workers)
	return in
}

// poolOf returns the pool of a job's queue in the current catalog. If the queue was removed, it returns the
// pool for which the job was accepted.
func (c *Coordinator) poolOf(state *tracker.Tracker, j *tracker.Job) string {
	if q := state.QueueByName(j.Work.GetQueue()); q != nil {
		return q.GetPool()
	}
	return j.Work.GetPool()
}

func (c *Coordinator) firstSeen(j *tracker.Job) time.Time {
	at, ok := c.seenAt[j.Work.GetId()]
	if !ok {
		at = c.opts.Now()
		c.seenAt[j.Work.GetId()] = at
	}
	return at
}

func (c *Coordinator) estimate(j *tracker.Job, s *tracker.Step) time.Duration {
	return c.estimator.Estimate(j.Work.GetQueue(), "", time.Duration(s.Spec.GetEstimate())*time.Millisecond)
}

// unboundedRemaining is the remaining time of a task that runs until its job is cancelled.
const unboundedRemaining = 1000 * time.Hour

// heldFor returns the time since the start of a run was committed, by the clocks of the leaders then and now. It is 0 for starts
// of builds that recorded no time.
func (c *Coordinator) heldFor(r *messages.Run) time.Duration {
	if r.GetStarted() == 0 {
		return 0
	}
	return max(c.opts.Wall().Sub(time.UnixMilli(r.GetStarted())), 0)
}

// workerView returns the placer's input for a worker.
func (c *Coordinator) workerView(state *tracker.Tracker, w *worker, now time.Time) *placer.Worker {
	silent := c.isSilent(w, now)
	sound := !w.leaving && state.Pools()[w.pool] != nil && !silent
	v := &placer.Worker{
		ID: w.id, Started: w.born, Pool: w.pool, Rack: w.rack, Labels: w.labels, Capacity: w.capacity, Free: w.capacity,
		Usable: sound && !w.unreachable, Late: sound && w.unreachable, Silent: silent,
		Suspect: w.health.isSuspect(now), ProvenAt: w.health.provenLately(now), Young: w.age() < minWorkerAge,
		Evacuated: state.IsEvacuated(w.place), Cold: now.Before(w.coldUntil),
	}
	runs := state.RunsOn(w.id)
	for key, r := range runs {
		if r.GetBorn() != w.born {
			continue
		}
		j := state.Job(key.Job)
		s := j.Step(key.Occurrence, key.Step)
		need := placer.Need(s.Spec)
		v.Free = v.Free.Sub(need)
		t := c.progress[key]
		remaining := t.remaining(now, c.estimate(j, s))
		if s.Spec.GetLasting() {
			remaining = unboundedRemaining
		}
		v.Runs = append(v.Runs, &placer.ActiveRun{
			Key: key, Job: j, Step: s, Need: need, Stopping: c.mustStop(j, key),
			Unsaved: t.unsaved(now, s.Spec.GetCheckpoints()), Remaining: remaining, Starting: !t.hasSurvived(),
			Held: c.heldFor(r), AtWork: s.Spec.GetLasting() && t.isComplete(),
		})
	}
	for key := range w.listed {
		if r := runs[key]; r != nil && r.GetBorn() == w.born {
			continue
		}
		j := state.Job(key.Job)
		if j == nil || j.Step(key.Occurrence, key.Step) == nil {
			v.Usable, v.Late = false, false // it lists an unknown run, so its free capacity is unknown
			continue
		}
		v.Free = v.Free.Sub(placer.Need(j.Step(key.Occurrence, key.Step).Spec))
	}
	sortRuns(v.Runs)
	return v
}
