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

// worker is one modelled worker.
type worker struct {
	s        *Simulator
	index    int
	id, rack string
	speed    float64
	capacity placer.Vector

	up       bool
	born     int64
	life     int
	sequence uint64
	fence    uint64
	lease    time.Time // zero before the first one
	runs     map[tracker.RunKey]*run
	ends     []*messages.NumberedEnd
	endTimes map[uint64]time.Time // by the number of the end
	nextEnd  uint64
	buried   map[tracker.TaskKey]uint32 // highest run that was stopped or ended here
	calling  bool
	eager    bool // an end waits to be reported
	beat     int  // number of the planned report, to drop the ones that were planned before

	cut, deaf, failing, stuck int
	slow                      float64
}

// clockPercent is how fast the workers' clocks run.
const clockPercent = 98

type gangKey struct {
	job        string
	occurrence int32
	step       int32
	number     uint32
}

// gang is the members of one run of a gang that are present.
type gang struct {
	members map[int32]*worker
	broken  bool
}

func (s *Simulator) addWorkers() {
	f := s.opts.Fleet
	for i := range f.Workers {
		w := &worker{
			s: s, index: i, id: fmt.Sprintf("w%03d", i), rack: fmt.Sprintf("r%d", i/max(f.PerRack, 1)),
			speed: f.Speeds[s.random.IntN(len(f.Speeds))], slow: 1,
			capacity: placer.Vector{Processors: f.Processors, Memory: f.Memory, Accelerators: f.Accelerators},
		}
		s.workers = append(s.workers, w)
		s.after(time.Duration(s.random.IntN(300))*time.Millisecond, w.boot)
	}
}

// boot starts a new life.
func (w *worker) boot() {
	w.up = true
	w.life++
	w.born = w.s.now.UnixMilli()
	w.sequence, w.nextEnd, w.fence = 0, 0, 0
	w.lease = time.Time{}
	w.runs = map[tracker.RunKey]*run{}
	w.buried = map[tracker.TaskKey]uint32{}
	w.ends, w.calling, w.eager = nil, false, false
	w.endTimes = map[uint64]time.Time{}
	w.plan(0)
}

// plan schedules the next report.
func (w *worker) plan(d time.Duration) {
	w.beat++
	beat, life := w.beat, w.life
	w.s.after(d, func() {
		if w.beat == beat && w.life == life && w.up {
			w.report()
		}
	})
}

func (w *worker) report() {
	w.expire()
	w.sequence++
	w.calling = true
	w.eager = false
	r := &messages.FleetReport{
		Worker: w.id, Born: w.born, Sequence: w.sequence, Pool: poolName, Rack: w.rack, Labels: []string{"a", w.rack},
		Processors: w.capacity.Processors, Memory: w.capacity.Memory, Accelerators: w.capacity.Accelerators,
		Clock: (w.s.now.UnixMilli() - w.born) * clockPercent / 100,
	}
	for _, key := range slices.SortedFunc(maps.Keys(w.runs), tracker.CompareKeys) {
		t := w.runs[key]
		t.advance(w)
		r.Running = append(r.Running, &messages.Running{
			Run: &messages.Run{
				Job: key.Job, Occurrence: key.Occurrence, Step: key.Step, Task: key.Task, Number: key.Number, Saved: t.savedTag,
			},
			Percent: int32(100 * t.done / max(t.total, 1)),
		})
	}
	r.Ends = append(r.Ends, w.ends[:min(len(w.ends), 500)]...)
	sent, life, sequence := w.s.now, w.life, w.sequence
	w.s.after(answerLimit, func() { w.giveUp(life, sequence) })
	if w.cut > 0 {
		return
	}
	w.s.after(linkDelay, func() {
		if w.s.leader == nil {
			return
		}
		leader := w.s.leader
		w.s.spawn(func() {
			o, err := leader.Report(context.Background(), r)
			if err != nil {
				return
			}
			w.s.after(linkDelay, func() {
				if w.cut > 0 || w.deaf > 0 || w.life != life || !w.up || w.sequence != sequence || !w.calling {
					return
				}
				w.obey(o, sent)
			})
		})
	})
}

// giveUp ends a call that was not answered in time.
func (w *worker) giveUp(life int, sequence uint64) {
	if w.life == life && w.up && w.sequence == sequence && w.calling {
		w.calling = false
		w.plan(afterEnd)
	}
}

// obey carries out the answer to a report.
func (w *worker) obey(o *messages.FleetOrders, sent time.Time) {
	w.calling = false
	next := time.Duration(o.GetAgain()) * time.Millisecond
	if w.eager || next == 0 {
		next = afterEnd
	}
	w.plan(next)
	if o.GetTerm() < w.fence {
		return
	}
	w.fence = o.GetTerm()
	w.ends = slices.DeleteFunc(w.ends, func(e *messages.NumberedEnd) bool {
		if e.GetSequence() <= o.GetAcknowledged() {
			// A leader may count on nothing that ended before the lease ran out: it has taken the
			// life for over by then.
			if !w.s.now.After(w.lease) || !w.endTimes[e.GetSequence()].Before(w.lease) {
				w.s.acknowledged(e.GetEnd())
			}
			return true
		}
		return false
	})
	if o.GetLease() > 0 {
		lease := min(time.Duration(o.GetLease())*time.Millisecond, w.s.opts.Fleet.Lease)
		// The worker's clock may be 2 % slow.
		until := sent.Add(lease + lease*2/100)
		if until.After(w.lease) {
			w.lease = until
		}
		life := w.life
		w.s.after(until.Sub(w.s.now)+time.Millisecond, func() {
			if w.life == life && w.up {
				w.expire()
			}
		})
		for _, order := range o.GetStarts() {
			w.startRun(order)
		}
	}
	for _, r := range o.GetStops() {
		w.stopRun(tracker.KeyOf(r))
	}
}

// expire kills everything once the lease has run out.
func (w *worker) expire() {
	if w.lease.IsZero() || !w.s.now.After(w.lease) {
		return
	}
	for _, key := range slices.SortedFunc(maps.Keys(w.runs), tracker.CompareKeys) {
		w.end(key, tracker.EndExpired)
	}
}

func (w *worker) startRun(order *messages.StartOrder) {
	s, r := w.s, order.GetRun()
	key := tracker.KeyOf(r)
	if w.runs[key] != nil {
		return
	}
	if key.Number <= w.buried[key.TaskKey] {
		return
	}
	j := s.byID[key.Job]
	if j == nil {
		s.violate("worker %s is told to start %v, which nobody sent", w.id, key)
		return
	}
	spec := j.work.GetSteps()[key.Step]
	t := &run{key: key, spec: spec, job: j, arrived: s.now, since: s.now, total: j.durations[key.Step][key.Task]}
	if r.GetSaved() != "" {
		if ms, err := strconv.Atoi(r.GetSaved()); err == nil {
			t.done = time.Duration(ms) * time.Millisecond
			t.restored, t.saved, t.savedTag = t.done, t.done, r.GetSaved()
		}
	}
	if j.hopeless || s.random.Float64() < j.queue.Failing {
		t.failAt = t.done + time.Duration(s.random.Float64()*float64(t.total-t.done))
	}
	s.checkStart(w, t)
	w.runs[key] = t
	w.checkRoom()
	s.running[key.TaskKey]++
	s.result.Runs++
	if w.failing > 0 {
		w.end(key, tracker.EndFailed)
		return
	}
	if spec.GetGang() {
		s.join(w, t)
		return
	}
	t.begin(w)
}

// checkRoom checks that the tasks fit into the worker.
func (w *worker) checkRoom() {
	used := placer.Vector{}
	for _, t := range w.runs {
		used = used.Add(placer.Need(t.spec))
	}
	left := w.capacity.Sub(used)
	if left.Processors < 0 || left.Memory < 0 || left.Accelerators < 0 {
		w.s.violate("worker %s is over its room by %+v", w.id, left)
	}
}

// join lets a gang begin once all of its members are present.
func (s *Simulator) join(w *worker, t *run) {
	key := gangKey{t.key.Job, t.key.Occurrence, t.key.Step, t.key.Number}
	g := s.gangs[key]
	if g == nil {
		g = &gang{members: map[int32]*worker{}}
		s.gangs[key] = g
	}
	g.members[t.key.Task] = w
	life := w.life
	s.after(gangWait, func() {
		if w.life == life && w.runs[t.key] == t && !t.working {
			if !w.troubled() {
				s.result.Alone++
			}
			w.end(t.key, tracker.EndGangIncomplete)
		}
	})
	if len(g.members) < int(t.spec.GetCount()) || g.broken {
		return
	}
	for _, task := range slices.Sorted(maps.Keys(g.members)) {
		m := g.members[task]
		k := t.key
		k.Task = task
		if other := m.runs[k]; other != nil {
			other.begin(m)
		}
	}
}

func (w *worker) troubled() bool { return w.cut > 0 || w.deaf > 0 || !w.up || w.s.leader == nil }

func (w *worker) stopRun(key tracker.RunKey) {
	t := w.runs[key]
	if t == nil {
		w.buried[key.TaskKey] = max(w.buried[key.TaskKey], key.Number)
		return
	}
	if t.stopping {
		return
	}
	t.stopping = true
	life := w.life
	w.s.after(time.Duration(w.s.random.Int64N(int64(w.s.opts.Fleet.Stop)+1)), func() {
		if w.life == life && w.up && w.runs[key] == t {
			t.advance(w)
			if t.spec.GetCheckpoints() {
				t.keep(t.done)
			}
			w.end(key, tracker.EndStopped)
		}
	})
}

// end takes a run off the worker and lists its end.
func (w *worker) end(key tracker.RunKey, how string) {
	s, t := w.s, w.runs[key]
	if t == nil {
		return // it ended with its gang
	}
	t.advance(w)
	delete(w.runs, key)
	if how == tracker.EndDone {
		s.ended(t)
	}
	s.running[key.TaskKey]--
	w.buried[key.TaskKey] = max(w.buried[key.TaskKey], key.Number)
	w.nextEnd++
	w.endTimes[w.nextEnd] = s.now
	w.ends = append(w.ends, &messages.NumberedEnd{Sequence: w.nextEnd, End: &messages.End{
		Job: key.Job, Occurrence: key.Occurrence, Step: key.Step, Task: key.Task, Number: key.Number, How: how, Saved: t.savedTag,
	}})
	s.count(t, how)
	if !w.calling {
		w.plan(afterEnd)
	}
	w.eager = true
	if t.spec.GetGang() {
		s.leave(t, how)
	}
}

// leave ends the other members of a gang when one has ended.
func (s *Simulator) leave(t *run, how string) {
	g := s.gangs[gangKey{t.key.Job, t.key.Occurrence, t.key.Step, t.key.Number}]
	if g == nil || g.broken {
		return
	}
	g.broken = true
	if how != tracker.EndDone {
		how = tracker.EndGangEnded
	}
	for _, task := range slices.Sorted(maps.Keys(g.members)) {
		m := g.members[task]
		k := t.key
		k.Task = task
		if m.up && m.runs[k] != nil {
			m.end(k, how)
		}
	}
}

// strike puts a worker into trouble.
func (w *worker) strike(t Trouble) {
	switch t.Kind {
	case Crash:
		if !w.up {
			return
		}
		w.up = false
		for _, key := range slices.SortedFunc(maps.Keys(w.runs), tracker.CompareKeys) {
			lost := w.runs[key]
			lost.advance(w)
			delete(w.runs, key)
			w.s.running[key.TaskKey]--
			w.s.count(lost, tracker.EndExpired)
			if lost.spec.GetGang() {
				w.s.leave(lost, tracker.EndExpired)
			}
		}
	case Cut:
		w.cut++
	case Deaf:
		w.deaf++
	case Slow:
		w.advanceAll()
		w.slow *= t.Factor
		w.repace()
	case Failing:
		w.failing++
	case Stuck:
		w.advanceAll()
		w.stuck++
		w.repace()
	case Depose, Unsure:
	}
}

// recover ends a trouble.
func (w *worker) recover(t Trouble) {
	switch t.Kind {
	case Crash:
		if !w.up {
			w.boot()
		}
	case Cut:
		w.cut--
	case Deaf:
		w.deaf--
	case Slow:
		w.advanceAll()
		w.slow /= t.Factor
		w.repace()
	case Failing:
		w.failing--
	case Stuck:
		w.advanceAll()
		w.stuck--
		w.repace()
	case Depose, Unsure:
	}
}

// advanceAll brings all runs up to now, before a pace changes.
func (w *worker) advanceAll() {
	for _, other := range w.s.workers {
		for _, t := range other.runs {
			t.advance(other)
		}
	}
}
