package simulator

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// run is a task at work, or one that waits for the rest of its gang.
type run struct {
	key      tracker.RunKey
	spec     *messages.Step
	job      *job
	arrived  time.Time
	working  bool
	stopping bool
	done     time.Duration // work done up to since
	since    time.Time
	total    time.Duration
	saved    time.Duration
	savedTag string
	restored time.Duration // work that was continued from
	failAt   time.Duration // work after which the run fails, 0 for never
	version  int           // of the planned end
}

// begin puts a run to work and plans its end.
func (t *run) begin(w *worker) {
	t.working = true
	t.since = w.s.now
	if t.restored > 0 {
		t.since = t.since.Add(w.s.opts.Fleet.Restore)
	}
	t.replan(w)
}

// pace is how much work a run does in a unit of time.
func (t *run) pace(w *worker) float64 {
	if w.stuck > 0 {
		return 0
	}
	pace := w.speed / w.slow
	if !t.spec.GetGang() {
		return pace / w.s.distance(t, w)
	}
	// A gang goes as fast as its slowest member, and slower across racks.
	g := w.s.gangs[gangKey{t.key.Job, t.key.Occurrence, t.key.Step, t.key.Number}]
	racks := map[string]bool{}
	for _, m := range g.members {
		racks[m.rack] = true
		if m.stuck > 0 {
			return 0
		}
		pace = min(pace, m.speed/m.slow)
	}
	if t.spec.GetCompact() && len(racks) > 1 {
		return pace / farFactor
	}
	return pace / w.s.distance(t, w)
}

func (s *Simulator) distance(t *run, w *worker) float64 {
	if rack := t.spec.GetRack(); rack != "" && rack != w.rack {
		return farFactor
	}
	return 1
}

// advance brings the work done up to now.
func (t *run) advance(w *worker) {
	if !t.working || !w.s.now.After(t.since) {
		return
	}
	t.done = min(t.total, t.done+time.Duration(float64(w.s.now.Sub(t.since))*t.pace(w)))
	t.since = w.s.now
	if every := w.s.opts.Fleet.Checkpoint; t.spec.GetCheckpoints() && every > 0 && t.done-t.saved >= every {
		t.keep(t.saved + (t.done-t.saved)/every*every)
	}
}

func (t *run) keep(done time.Duration) {
	t.saved = done
	t.savedTag = strconv.Itoa(int(done.Milliseconds()))
}

// replan plans the end of a run at its present pace.
func (t *run) replan(w *worker) {
	t.version++
	version, life := t.version, w.life
	pace := t.pace(w)
	if pace == 0 {
		return
	}
	goal, how := t.total, tracker.EndDone
	if t.failAt > 0 {
		goal, how = t.failAt, tracker.EndFailed
	}
	wait := t.since.Sub(w.s.now) + time.Duration(float64(max(goal-t.done, 0))/pace)
	w.s.after(max(wait, 0), func() {
		if t.version == version && w.life == life && w.up && w.runs[t.key] == t {
			t.advance(w)
			w.end(t.key, how)
		}
	})
}

// repace plans all ends again after the worker's pace has changed.
func (w *worker) repace() {
	for _, other := range w.s.workers {
		for _, key := range slices.SortedFunc(maps.Keys(other.runs), tracker.CompareKeys) {
			if t := other.runs[key]; t.working {
				t.replan(other)
			}
		}
	}
}
