package coordinator

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/placer"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
)

const (
	// accountInterval is the time between two samples of what jobs wait for.
	accountInterval = 500 * time.Millisecond
	// usageLineInterval is the time between two lines about the use of a pool.
	usageLineInterval = 5 * time.Second
	// maxEndLines bounds the lines about ended jobs in a linePeriod.
	maxEndLines = 100
)

// account is where the time of a job has gone in this term. The times are summed over tasks.
type account struct {
	running time.Duration
	waiting map[placer.Obstacle]time.Duration
	stops   int           // of its runs, for urgent work
	stopped time.Duration // for which these runs had lasted
}

// usage is the use of a pool by priority.
type usage struct {
	capacity, free placer.Vector
	inUse          map[int32]placer.Vector
	stopping       placer.Vector // part of inUse
	waiting        map[int32]int // tasks
}

// accountOf returns the account of a job, a new one if there is none.
func (c *Coordinator) accountOf(id string) *account {
	a := c.accounts[id]
	if a == nil {
		a = &account{waiting: map[placer.Obstacle]time.Duration{}}
		c.accounts[id] = a
	}
	return a
}

// recordAccounts adds the time since the last sample to the accounts of the open jobs, and logs the use of the pools.
func (c *Coordinator) recordAccounts(in *placer.Input, plan placer.Plan) {
	now := c.opts.Now()
	elapsed := now.Sub(c.accountedAt)
	if elapsed < accountInterval {
		return
	}
	if c.accountedAt.IsZero() {
		elapsed = 0
	}
	c.accountedAt = now
	pools := usageOf(in.Workers)
	for _, j := range in.Jobs {
		if j.Ended() {
			continue
		}
		a := c.accountOf(j.Work.GetId())
		steps := j.Steps()
		for i := range steps {
			if steps[i].Done || !in.Due(j, steps[i].Occurrence) || !j.DependenciesDone(&steps[i]) {
				continue
			}
			key := placer.StepKey{Job: j.Work.GetId(), Occurrence: steps[i].Occurrence, Step: steps[i].Index}
			running, waiting := countTasks(&steps[i])
			a.running += elapsed * time.Duration(running)
			if waiting == 0 {
				continue
			}
			a.waiting[plan.Obstacles[key]] += elapsed * time.Duration(waiting)
			if u := pools[in.Pool(j)]; u != nil {
				u.waiting[j.Work.GetPriority()] += waiting
			}
		}
	}
	if now.Sub(c.usageLoggedAt) >= usageLineInterval {
		c.usageLoggedAt = now
		c.logUsage(pools)
	}
}

// countTasks returns how many tasks of a step run, and how many could but do not.
func countTasks(s *tracker.Step) (running, waiting int) {
	for i := range s.Tasks {
		switch t := &s.Tasks[i]; {
		case t.Active > 0:
			running++
		case !t.Done:
			waiting++
		}
	}
	return running, waiting
}

func usageOf(workers []*placer.Worker) map[string]*usage {
	pools := map[string]*usage{}
	for _, w := range workers {
		if !w.Usable && !w.Late {
			continue
		}
		u := pools[w.Pool]
		if u == nil {
			u = &usage{inUse: map[int32]placer.Vector{}, waiting: map[int32]int{}}
			pools[w.Pool] = u
		}
		u.capacity, u.free = u.capacity.Add(w.Capacity), u.free.Add(w.Free)
		for _, a := range w.Runs {
			priority := a.Job.Work.GetPriority()
			u.inUse[priority] = u.inUse[priority].Add(a.Need)
			if a.Stopping {
				u.stopping = u.stopping.Add(a.Need)
			}
		}
	}
	return pools
}

// logUsage logs for each pool what runs of each priority use, and how many tasks of it wait.
func (c *Coordinator) logUsage(pools map[string]*usage) {
	for _, pool := range slices.Sorted(maps.Keys(pools)) {
		u := pools[pool]
		if len(u.inUse)+len(u.waiting) == 0 {
			continue
		}
		priorities := maps.Clone(u.waiting)
		for p := range u.inUse {
			priorities[p] += 0
		}
		var numbers []int32
		var accelerators, processors []int64
		var waiting []int
		for _, p := range slices.Sorted(maps.Keys(priorities)) {
			numbers, accelerators, processors = append(numbers, p), append(accelerators, u.inUse[p].Accelerators), append(processors, u.inUse[p].Processors)
			waiting = append(waiting, u.waiting[p])
		}
		c.opts.Log.Info("pool in use", zap.String("pool", pool), zap.Int64("accelerators", u.capacity.Accelerators), zap.Int64("free", u.free.Accelerators),
			zap.Int64("stopping", u.stopping.Accelerators), zap.Int32s("priorities", numbers), zap.Int64s("used", accelerators), zap.Int64s("processors", processors),
			zap.Ints("waiting", waiting))
	}
}

// recordStop adds a run that is stopped for urgent work to the account of its job.
func (c *Coordinator) recordStop(run *placer.ActiveRun) {
	a := c.accountOf(run.Key.Job)
	a.stops++
	a.stopped += run.Held
}

// logEnded logs where the time of a job has gone that has ended in this term.
func (c *Coordinator) logEnded(j *tracker.Job) {
	id := j.Work.GetId()
	a := c.accountOf(id)
	delete(c.accounts, id)
	if _, open := c.seenAt[id]; !open || !c.endLog.allows(c.opts.Now(), maxEndLines) {
		return
	}
	fields := []zap.Field{
		zap.String("request", id), zap.String("queue", j.Work.GetQueue()), zap.Int32("priority", j.Work.GetPriority()), zap.String("phase", string(j.Phase)),
		zap.Int64("objective", j.Work.GetObjective()), zap.Int64("took", j.EndedAt-j.Work.GetAccepted()), zap.Duration("running", a.running),
		zap.Int("stops", a.stops), zap.Duration("stopped", a.stopped),
	}
	var waits []zap.Field
	for _, o := range slices.Sorted(maps.Keys(a.waiting)) {
		waits = append(waits, zap.Duration(string(o), a.waiting[o]))
	}
	c.opts.Log.Info("job ended", append(fields, zap.Dict("waiting", waits...))...)
}
