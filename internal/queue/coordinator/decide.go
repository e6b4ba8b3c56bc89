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

// decide returns what must be committed now, nil for nothing.
func (c *Coordinator) decide(book *tracker.Tracker) *messages.QueueChange {
	change := &messages.QueueChange{Time: c.opts.Wall().UnixMilli()}
	c.clean(book)
	change.Ends = append(c.lapses(book), c.neverSent(book)...)
	change.Forgets = c.forgets(book)
	if len(change.Ends) == 0 {
		// Ends change what is free; the next pass sees them.
		change.Starts = c.starts(book)
	}
	if len(change.Ends)+len(change.Forgets)+len(change.Starts) == 0 {
		return nil
	}
	return change
}

// lapses returns the lives whose leases have surely run out.
func (c *Coordinator) lapses(book *tracker.Tracker) []*messages.WorkerEnds {
	now := c.opts.Now()
	var list []*messages.WorkerEnds
	book.EachWorker(func(id string, runs map[tracker.RunKey]*messages.Run) {
		w := c.workers[id]
		born := int64(0)
		for _, r := range runs {
			born = max(born, r.GetBorn())
		}
		known := w != nil && w.born >= born
		end := c.opts.Timing.over(c.began, c.opts.Timing.Longest)
		if known && w.leaseEnd.After(end) {
			end = w.leaseEnd
		}
		replaced := known && w.born == born && w.replaced
		heard := known && w.born == born && now.Sub(w.heard) < c.opts.Timing.silentAfter(len(c.workers))
		if !replaced && (heard || now.Before(end)) {
			return // a worker that is heard tells itself what has ended
		}
		c.metrics.lost.Inc(1)
		c.opts.Log.Info("worker lost", zap.String("worker", id), zap.Int64("born", born), zap.Int("runs", len(runs)),
			zap.Time("lease", end), zap.Bool("replaced", replaced))
		if w != nil && w.born == born {
			w.lapsing = true
		}
		list = append(list, &messages.WorkerEnds{Worker: id, Born: born, Over: true})
	})
	slices.SortFunc(list, func(a, b *messages.WorkerEnds) int { return strings.Compare(a.GetWorker(), b.GetWorker()) })
	return list
}

// neverSent returns the ends of starts whose orders never left because the worker fell silent. Only
// this leader could have sent them, so they may go elsewhere at once.
func (c *Coordinator) neverSent(book *tracker.Tracker) []*messages.WorkerEnds {
	now := c.opts.Now()
	var list []*messages.WorkerEnds
	for id, w := range c.workers {
		if w.lapsing || now.Sub(w.heard) < c.opts.Timing.silentAfter(len(c.workers)) {
			continue
		}
		ends := &messages.WorkerEnds{Worker: id, Born: w.born}
		for key, run := range book.RunsOn(id) {
			if _, sent := w.ordered[key]; run.GetBorn() != w.born || sent || w.listed[key] || !c.placed[key] {
				continue
			}
			c.stopping[key] = true // a report that arrives now must not be answered with the start
			ends.Ends = append(ends.Ends, &messages.End{
				Job: key.Job, Occurrence: key.Occurrence, Step: key.Step, Task: key.Task, Number: key.Number, How: tracker.EndRefused,
			})
		}
		if len(ends.Ends) == 0 {
			continue
		}
		c.opts.Log.Info("starts not sent", zap.String("worker", id), zap.Int("starts", len(ends.Ends)), zap.Duration("silent", now.Sub(w.heard)))
		slices.SortFunc(ends.Ends, func(a, b *messages.End) int {
			return tracker.CompareKeys(tracker.EndKeyOf(a), tracker.EndKeyOf(b))
		})
		list = append(list, ends)
	}
	slices.SortFunc(list, func(a, b *messages.WorkerEnds) int { return strings.Compare(a.GetWorker(), b.GetWorker()) })
	return list
}

// forgetWorkers is how long a worker without runs is known that is not heard.
const forgetWorkers = time.Minute

// clean drops what was known of runs whose ends are committed. It must stay until then: a run whose
// end is on its way must not be ordered again.
func (c *Coordinator) clean(book *tracker.Tracker) {
	now := c.opts.Now()
	maps.DeleteFunc(c.workers, func(id string, w *worker) bool {
		return (w.replaced || now.Sub(w.heard) > forgetWorkers) && len(book.RunsOn(id)) == 0
	})
	maps.DeleteFunc(c.proposed, func(id string, _ bool) bool { return book.Job(id) != nil })
	maps.DeleteFunc(c.addresses, func(_, id string) bool { return c.workers[id] == nil })
	over := func(key tracker.RunKey) bool { return !book.IsActive(key) }
	maps.DeleteFunc(c.tracks, func(key tracker.RunKey, _ *track) bool { return over(key) })
	maps.DeleteFunc(c.placed, func(key tracker.RunKey, _ bool) bool { return over(key) })
	maps.DeleteFunc(c.stopping, func(key tracker.RunKey, _ bool) bool { return over(key) })
	for _, w := range c.workers {
		maps.DeleteFunc(w.ordered, func(key tracker.RunKey, _ uint64) bool { return over(key) })
	}
}

// forgets returns ended jobs whose phase need not be known any more.
func (c *Coordinator) forgets(book *tracker.Tracker) []string {
	now := c.opts.Now()
	var list []string
	book.EachJob(func(j *tracker.Job) {
		id := j.Work.GetId()
		if !j.Ended() {
			return
		}
		at, seen := c.ended[id]
		if !seen {
			c.ended[id] = now
			return
		}
		if j.Active() == 0 && now.Sub(at) > c.opts.Timing.Retention {
			list = append(list, id)
			delete(c.ended, id)
			delete(c.ages, id)
			delete(c.suspects, id)
		}
	})
	return list
}

// starts asks the placer what to start, and takes note of what it stops.
func (c *Coordinator) starts(book *tracker.Tracker) []*messages.Run {
	plan := placer.New(c.input(book))
	for _, a := range plan.Stops {
		c.stopping[a.Key] = true
		c.rouse(a.Job.Step(a.Key.Occurrence, a.Key.Step).Tasks[a.Key.Task].Worker)
		c.opts.Log.Info("run is stopped for urgent work", zap.String("request", a.Key.Job), zap.Int32("occurrence", a.Key.Occurrence), zap.Int32("step", a.Key.Step),
			zap.Int32("task", a.Key.Task), zap.Uint32("run", a.Key.Number), zap.Duration("unsaved", a.Unsaved), zap.Duration("remaining", a.Remaining))
	}
	for _, r := range plan.Starts {
		w := c.workers[r.GetWorker()]
		c.opts.Log.Info("run starts", zap.String("request", r.GetJob()), zap.Int32("occurrence", r.GetOccurrence()), zap.Int32("step", r.GetStep()), zap.Int32("task", r.GetTask()),
			zap.Uint32("run", r.GetNumber()), zap.String("worker", r.GetWorker()), zap.Uint64("report", w.sequence),
			zap.Duration("age", c.opts.Now().Sub(w.heard)))
	}
	c.metrics.starts.Inc(int64(len(plan.Starts)))
	c.metrics.evicted.Inc(int64(len(plan.Stops)))
	return plan.Starts
}

// input gathers what the placer decides by.
func (c *Coordinator) input(book *tracker.Tracker) *placer.Input {
	now, wall := c.opts.Now(), c.opts.Wall()
	in := &placer.Input{
		Jobs: book.Open(),
		Age:  func(j *tracker.Job) time.Duration { return now.Sub(c.firstSeen(j)) },
		Guarantee: func(name string) int64 {
			return book.OrganisationByName(name).GetAccelerators()
		},
		Estimate: func(j *tracker.Job, s *tracker.Step) time.Duration { return c.estimate(j, s) },
		Due: func(j *tracker.Job, occurrence int32) bool {
			return j.Work.GetOccurrences() == 0 ||
				wall.UnixMilli() >= j.Work.GetFirst()+int64(occurrence)*j.Work.GetInterval()
		},
		Pool: func(j *tracker.Job) string { return c.poolOf(book, j) },
	}
	aside := map[string]int{} // workers of each pool
	known := map[string]int{}
	for _, w := range c.workers {
		known[w.pool]++
		if w.health.isAside(now) {
			aside[w.pool]++
		}
	}
	for _, w := range c.workers {
		if w.left {
			continue
		}
		v := c.viewOf(book, w, now)
		if aside[w.pool]*mostAside <= known[w.pool] {
			v.Usable = v.Usable && !w.health.isAside(now)
			v.Probed = w.health.isProbed(now)
		}
		in.Workers = append(in.Workers, v)
	}
	sortWorkers(in.Workers)
	return in
}

// poolOf returns the pool that the catalog in force sends a job's queue to. A queue that was
// removed keeps the pool that its jobs were accepted for.
func (c *Coordinator) poolOf(book *tracker.Tracker, j *tracker.Job) string {
	if q := book.QueueByName(j.Work.GetQueue()); q != nil {
		return q.GetPool()
	}
	return j.Work.GetPool()
}

func (c *Coordinator) firstSeen(j *tracker.Job) time.Time {
	at, ok := c.ages[j.Work.GetId()]
	if !ok {
		at = c.opts.Now()
		c.ages[j.Work.GetId()] = at
	}
	return at
}

func (c *Coordinator) estimate(j *tracker.Job, s *tracker.Step) time.Duration {
	return c.estimates.Estimate(j.Work.GetQueue(), "", time.Duration(s.Spec.GetEstimate())*time.Millisecond)
}

// neverEnds stands for the rest of a task that runs until its job is cancelled.
const neverEnds = 1000 * time.Hour

// viewOf returns a worker as the placer sees it.
func (c *Coordinator) viewOf(book *tracker.Tracker, w *worker, now time.Time) *placer.Worker {
	v := &placer.Worker{
		ID: w.id, Born: w.born, Pool: w.pool, Rack: w.rack, Labels: w.labels, Capacity: w.capacity, Free: w.capacity,
		Usable:  !w.leaving && !w.deaf && now.Sub(w.heard) < c.opts.Timing.silentAfter(len(c.workers)) && now.Before(w.leaseEnd),
		Suspect: w.health.isSuspect(now),
	}
	runs := book.RunsOn(w.id)
	for key, r := range runs {
		if r.GetBorn() != w.born {
			continue
		}
		j := book.Job(key.Job)
		s := j.Step(key.Occurrence, key.Step)
		need := placer.Need(s.Spec)
		v.Free = v.Free.Sub(need)
		t := c.tracks[key]
		remaining := t.remaining(now, c.estimate(j, s))
		if s.Spec.GetLasting() {
			remaining = neverEnds
		}
		v.Runs = append(v.Runs, &placer.Active{
			Key: key, Job: j, Step: s, Need: need, Stopping: c.mustStop(j, key),
			Unsaved: t.unsaved(now, s.Spec.GetCheckpoints()), Remaining: remaining,
		})
	}
	for key := range w.listed {
		if r := runs[key]; r != nil && r.GetBorn() == w.born {
			continue
		}
		j := book.Job(key.Job)
		if j == nil || j.Step(key.Occurrence, key.Step) == nil {
			v.Usable = false // what it runs is not known, and so is what is free
			continue
		}
		v.Free = v.Free.Sub(placer.Need(j.Step(key.Occurrence, key.Step).Spec))
	}
	sortRuns(v.Runs)
	return v
}
