package simulator

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/placer"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// worker is a simulated worker.
type worker struct {
	sim      *Simulator
	id, rack string
	place    string // its data centre
	speed    float64

	up            bool
	started       int64 // ms since the epoch
	incarnation   int
	sequence      uint64
	fence         uint64
	leaseEnd      time.Time // zero before the first lease
	runs          map[tracker.RunKey]*run
	pendingEnds   []*messages.NumberedEnd
	endTimes      map[uint64]time.Time // by the sequence number of the end
	lastEnd       uint64
	lastEndedRun  map[tracker.TaskKey]uint32 // highest number of a run that was stopped or ended here
	reporting     bool                       // a report is in flight
	endPending    bool                       // an end was added after the last report was sent
	reportVersion int                        // of the scheduled report; events of earlier versions are ignored

	exitAt    time.Time // of a worker that has announced its exit, zero for none
	downUntil time.Time // earliest restart

	capacity        placer.Vector // as reported
	fullCapacity    placer.Vector // without faults
	capacityFactors []float64     // of the active faults
	pastCapacities  []pastCapacity
	grown           bool      // the capacity has grown since the last report
	growthReported  time.Time // when a grown capacity was first reported, zero if a run has started since

	crashed, partitioned, unreachable, failing, stuck int // active faults of each kind
	slowdown                                          float64
}

// clockPercent is the rate of the workers' clocks in percent of real time.
const clockPercent = 98

type gangKey struct {
	job        string
	occurrence int32
	step       int32
	number     uint32
}

// gang is one run of a gang. members holds the workers that have received their member, by task.
type gang struct {
	members map[int32]*worker
	ended   bool
}

func (s *Simulator) addWorkers() {
	f := s.opts.Fleet
	for i := range f.Workers {
		w := &worker{
			sim: s, id: fmt.Sprintf("w%03d", i), rack: fmt.Sprintf("r%d", i/max(f.WorkersPerRack, 1)),
			speed: f.Speeds[s.random.IntN(len(f.Speeds))], slowdown: 1,
			fullCapacity: placer.Vector{Processors: f.Processors, Memory: f.Memory, Accelerators: f.Accelerators},
		}
		w.place = f.placeOf(i / max(f.WorkersPerRack, 1))
		w.capacity = w.fullCapacity
		s.workers = append(s.workers, w)
		s.after(time.Duration(s.random.IntN(300))*time.Millisecond, w.restart)
	}
}

// start begins a new incarnation.
func (w *worker) start() {
	w.disturbByCrash()
	w.up = true
	w.incarnation++
	w.started = w.sim.now.UnixMilli()
	w.sequence, w.lastEnd, w.fence = 0, 0, 0
	w.leaseEnd, w.exitAt = time.Time{}, time.Time{}
	w.runs = map[tracker.RunKey]*run{}
	w.lastEndedRun = map[tracker.TaskKey]uint32{}
	w.pendingEnds, w.reporting, w.endPending = nil, false, false
	w.endTimes = map[uint64]time.Time{}
	w.scheduleReport(0)
}

// restart starts the worker unless it is up or a fault still keeps it down.
func (w *worker) restart() {
	if !w.up && w.crashed == 0 && !w.sim.now.Before(w.downUntil) {
		w.start()
	}
}

// restartAfter restarts the worker, which has exited, not before d has passed.
func (w *worker) restartAfter(d time.Duration) {
	if at := w.sim.now.Add(d); at.After(w.downUntil) {
		w.downUntil = at
	}
	w.sim.after(d, w.restart)
}

// scheduleReport schedules the next report in place of the one scheduled before.
func (w *worker) scheduleReport(d time.Duration) {
	w.reportVersion++
	version, incarnation := w.reportVersion, w.incarnation
	w.sim.after(d, func() {
		if w.reportVersion == version && w.incarnation == incarnation && w.up {
			w.report()
		}
	})
}

// labels returns the labels that the worker reports.
func (w *worker) labels() []string { return []string{"a", w.rack} }

func (w *worker) report() {
	w.expireLease()
	w.sequence++
	w.reporting = true
	w.endPending = false
	w.reportGrowth()
	report := &messages.FleetReport{
		Worker: w.id, Born: w.started, Sequence: w.sequence, Pool: poolName, Place: w.place, Rack: w.rack, Labels: w.labels(),
		Processors: w.capacity.Processors, Memory: w.capacity.Memory, Accelerators: w.capacity.Accelerators,
		Clock: (w.sim.now.UnixMilli() - w.started) * clockPercent / 100,
	}
	if !w.exitAt.IsZero() {
		report.Leaving, report.Remaining = true, w.exitAt.Sub(w.sim.now).Milliseconds()
	}
	for _, key := range slices.SortedFunc(maps.Keys(w.runs), tracker.CompareKeys) {
		r := w.runs[key]
		r.advance(w)
		report.Running = append(report.Running, &messages.Running{
			Run: &messages.Run{
				Job: key.Job, Occurrence: key.Occurrence, Step: key.Step, Task: key.Task, Number: key.Number, Saved: r.checkpointTag,
			},
			Percent: r.percent(), Usage: r.usage(w),
		})
	}
	report.Ends = append(report.Ends, w.pendingEnds[:min(len(w.pendingEnds), 500)]...)
	sent, incarnation, sequence := w.sim.now, w.incarnation, w.sequence
	w.sim.after(reportTimeout, func() { w.abandonReport(incarnation, sequence) })
	if w.partitioned > 0 {
		return
	}
	w.sim.after(linkDelay, func() {
		if w.sim.leader == nil {
			return
		}
		leader := w.sim.leader
		w.sim.spawn(func() {
			orders, err := leader.Report(context.Background(), report)
			if err != nil {
				return
			}
			w.sim.after(linkDelay, func() {
				if w.partitioned > 0 || w.unreachable > 0 || w.incarnation != incarnation || !w.up || w.sequence != sequence || !w.reporting {
					return
				}
				w.handleOrders(orders, sent)
			})
		})
	})
}

// abandonReport gives up a report that was not answered in time and schedules the next one.
func (w *worker) abandonReport(incarnation int, sequence uint64) {
	if w.incarnation == incarnation && w.up && w.sequence == sequence && w.reporting {
		w.reporting = false
		w.scheduleReport(reportDelay)
	}
}

// handleOrders applies the response to a report.
func (w *worker) handleOrders(orders *messages.FleetOrders, sent time.Time) {
	w.reporting = false
	next := time.Duration(orders.GetAgain()) * time.Millisecond
	if w.endPending || next == 0 {
		next = reportDelay
	}
	w.scheduleReport(next)
	if orders.GetTerm() < w.fence {
		return
	}
	w.fence = orders.GetTerm()
	w.pendingEnds = slices.DeleteFunc(w.pendingEnds, func(e *messages.NumberedEnd) bool {
		if e.GetSequence() <= orders.GetAcknowledged() {
			// An end from before the lease expiry that is acknowledged only after it does not count: the
			// leader may have ended the incarnation by then without it.
			if !w.sim.now.After(w.leaseEnd) || !w.endTimes[e.GetSequence()].Before(w.leaseEnd) {
				w.sim.recordAcknowledged(e.GetEnd())
			}
			return true
		}
		return false
	})
	if orders.GetLease() > 0 {
		lease := min(time.Duration(orders.GetLease())*time.Millisecond, w.sim.opts.Fleet.MaxLease)
		// The worker's clock may run 2 % slow, so the lease may last that much longer.
		leaseEnd := sent.Add(lease + lease*2/100)
		if leaseEnd.After(w.leaseEnd) {
			w.leaseEnd = leaseEnd
		}
		incarnation := w.incarnation
		w.sim.after(leaseEnd.Sub(w.sim.now)+time.Millisecond, func() {
			if w.incarnation == incarnation && w.up {
				w.expireLease()
			}
		})
		for _, order := range orders.GetStarts() {
			w.startRun(order)
		}
	}
	for _, stop := range orders.GetStops() {
		w.stopRun(tracker.KeyOf(stop))
	}
}

// expireLease ends all runs if the lease has expired.
func (w *worker) expireLease() {
	if w.leaseEnd.IsZero() || !w.sim.now.After(w.leaseEnd) {
		return
	}
	for _, key := range slices.SortedFunc(maps.Keys(w.runs), tracker.CompareKeys) {
		w.endRun(key, tracker.EndExpired)
	}
}

func (w *worker) startRun(order *messages.StartOrder) {
	s, message := w.sim, order.GetRun()
	key := tracker.KeyOf(message)
	if w.runs[key] != nil {
		return
	}
	if key.Number <= w.lastEndedRun[key.TaskKey] {
		return
	}
	j := s.jobsByID[key.Job]
	if j == nil {
		s.recordViolation("worker %s got a start order for run %v of an unknown job", w.id, key)
		return
	}
	spec := j.work.GetSteps()[key.Step]
	r := &run{key: key, spec: spec, job: j, received: s.now, advancedAt: s.now, total: j.durations[key.Step][key.Task]}
	if message.GetSaved() != "" {
		if ms, err := strconv.Atoi(message.GetSaved()); err == nil {
			r.done = time.Duration(ms) * time.Millisecond
			r.restored, r.checkpoint, r.checkpointTag = r.done, r.done, message.GetSaved()
		}
	}
	if j.alwaysFails || s.random.Float64() < j.queue.FailureRate {
		r.failAt = r.done + time.Duration(s.random.Float64()*float64(r.total-r.done))
	}
	s.checkStart(w, r)
	s.checkPlace(w, r)
	w.runs[key] = r
	w.checkCapacity()
	w.recordGrowthUsed()
	s.activeRuns[key.TaskKey]++
	s.recordRunBegin(r)
	s.result.Runs++
	if w.failing > 0 {
		w.endRun(key, tracker.EndFailed)
		return
	}
	if r.isDeadly() {
		w.startDeadly(r)
	}
	if spec.GetGang() {
		s.joinGang(w, r)
		return
	}
	r.start(w)
}

// joinGang adds a member to its gang, which starts once all members are present. A member whose gang is
// incomplete after gangTimeout ends.
func (s *Simulator) joinGang(w *worker, r *run) {
	key := gangKey{r.key.Job, r.key.Occurrence, r.key.Step, r.key.Number}
	g := s.gangs[key]
	if g == nil {
		g = &gang{members: map[int32]*worker{}}
		s.gangs[key] = g
	}
	g.members[r.key.Task] = w
	incarnation := w.incarnation
	s.after(gangTimeout, func() {
		if w.incarnation == incarnation && w.runs[r.key] == r && !r.started {
			if !w.disconnected() {
				s.result.GangTimeouts++
			}
			w.endRun(r.key, tracker.EndGangIncomplete)
		}
	})
	if len(g.members) < int(r.spec.GetCount()) || g.ended {
		return
	}
	for _, task := range slices.Sorted(maps.Keys(g.members)) {
		m := g.members[task]
		k := r.key
		k.Task = task
		if other := m.runs[k]; other != nil {
			other.start(m)
		}
	}
}

// disconnected reports whether the worker and a leader cannot exchange messages.
func (w *worker) disconnected() bool {
	return w.partitioned > 0 || w.unreachable > 0 || !w.up || w.sim.leader == nil
}

func (w *worker) stopRun(key tracker.RunKey) {
	r := w.runs[key]
	if r == nil {
		w.lastEndedRun[key.TaskKey] = max(w.lastEndedRun[key.TaskKey], key.Number)
		return
	}
	if r.stopping {
		return
	}
	r.stopping = true
	incarnation := w.incarnation
	w.sim.after(time.Duration(w.sim.random.Int64N(int64(w.sim.opts.Fleet.MaxStopTime)+1)), func() {
		if w.incarnation == incarnation && w.up && w.runs[key] == r {
			r.advance(w)
			if r.spec.GetCheckpoints() {
				r.saveCheckpoint(r.done)
			}
			w.endRun(key, tracker.EndStopped)
		}
	})
}

// endRun removes a run from the worker and queues its end for the next report.
func (w *worker) endRun(key tracker.RunKey, how string) {
	s, r := w.sim, w.runs[key]
	if r == nil {
		return // already ended with its gang
	}
	r.advance(w)
	w.changeCompany(func() { delete(w.runs, key) })
	if how == tracker.EndDone {
		s.recordDone(r)
		s.recordTaskTime(r)
	}
	s.activeRuns[key.TaskKey]--
	s.recordRunEnd(r)
	if how == tracker.EndFailed {
		r.job.recordFailure(r)
	}
	w.lastEndedRun[key.TaskKey] = max(w.lastEndedRun[key.TaskKey], key.Number)
	w.lastEnd++
	w.endTimes[w.lastEnd] = s.now
	w.pendingEnds = append(w.pendingEnds, &messages.NumberedEnd{Sequence: w.lastEnd, End: &messages.End{
		Job: key.Job, Occurrence: key.Occurrence, Step: key.Step, Task: key.Task, Number: key.Number, How: how, Saved: r.checkpointTag,
	}})
	s.countEnd(r, how)
	if !w.reporting {
		w.scheduleReport(reportDelay)
	}
	w.endPending = true
	if r.spec.GetGang() {
		s.endGang(r, how)
	}
}

// endGang ends the other members of a gang after one has ended.
func (s *Simulator) endGang(r *run, how string) {
	g := s.gangs[gangKey{r.key.Job, r.key.Occurrence, r.key.Step, r.key.Number}]
	if g == nil || g.ended {
		return
	}
	g.ended = true
	if how != tracker.EndDone {
		how = tracker.EndGangEnded
	}
	for _, task := range slices.Sorted(maps.Keys(g.members)) {
		m := g.members[task]
		k := r.key
		k.Task = task
		if m.up && m.runs[k] != nil {
			m.endRun(k, how)
		}
	}
}

// disturbByCrash records that the worker exits, or starts.
func (w *worker) disturbByCrash() {
	if !w.sim.opts.ContinuousWaits {
		w.sim.disturb()
	}
}

// startFault applies a fault to the worker.
func (w *worker) startFault(f Fault) {
	switch f.Kind {
	case Crash:
		w.crashed++
		w.crash()
	case Leave:
		w.exitAt = w.sim.now.Add(f.Duration)
	case Partition:
		w.partitioned++
	case Unreachable:
		w.unreachable++
	case Slow:
		w.advanceAll()
		w.slowdown *= f.Slowdown
		w.rescheduleEnds()
	case Failing:
		w.failing++
	case Stuck:
		w.advanceAll()
		w.stuck++
		w.rescheduleEnds()
	case Resize:
		w.capacityFactors = append(w.capacityFactors, f.Capacity)
		w.resize()
	case LeaderChange, UnknownOutcome, Evacuate:
	}
}

// exit ends the worker and all its runs without a report.
func (w *worker) exit() {
	if !w.up {
		return
	}
	w.disturbByCrash()
	w.up = false
	for _, key := range slices.SortedFunc(maps.Keys(w.runs), tracker.CompareKeys) {
		lost := w.runs[key]
		lost.advance(w)
		w.changeCompany(func() { delete(w.runs, key) })
		w.sim.activeRuns[key.TaskKey]--
		w.sim.recordRunEnd(lost)
		w.sim.countEnd(lost, tracker.EndExpired)
		if lost.spec.GetGang() {
			w.sim.endGang(lost, tracker.EndExpired)
		}
	}
}

// restartDelay is the time from the exit of a worker that has left to the start of its successor.
const restartDelay = 4 * time.Second

// leave sends an exit notice and exits.
func (w *worker) leave() {
	if !w.up {
		return // it has crashed
	}
	if leader := w.sim.leader; leader != nil && w.partitioned == 0 {
		notice := &messages.FleetReport{Worker: w.id, Born: w.started, Left: true}
		w.sim.spawn(func() {
			// A notice that is not answered is not repeated; the lease ends the runs.
			_, _ = leader.Report(context.Background(), notice)
		})
	}
	w.exit()
	w.restartAfter(restartDelay)
}

// endFault removes a fault from the worker.
func (w *worker) endFault(f Fault) {
	if f.Kind == Crash {
		w.disturbByCrash()
	} else {
		w.sim.disturb()
	}
	switch f.Kind {
	case Crash:
		w.crashed--
		w.restart()
	case Leave:
		w.leave()
	case Partition:
		w.partitioned--
	case Unreachable:
		w.unreachable--
	case Slow:
		w.advanceAll()
		w.slowdown /= f.Slowdown
		w.rescheduleEnds()
	case Failing:
		w.failing--
	case Stuck:
		w.advanceAll()
		w.stuck--
		w.rescheduleEnds()
	case Resize:
		w.removeCapacityFactor(f.Capacity)
	case LeaderChange, UnknownOutcome, Evacuate:
	}
}

// advanceAll updates the runs on all workers to the current time, before the speed of a worker changes.
func (w *worker) advanceAll() {
	for _, other := range w.sim.workers {
		for _, r := range other.runs {
			r.advance(other)
		}
	}
}
