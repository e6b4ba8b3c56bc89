package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/job/allocator"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// startTimeout is the time in which a start that was committed before an evacuation must be confirmed. With the delivery
// of the stop that follows it is less than the 5 s after which nothing may start in an evacuated place.
const startTimeout = 2 * time.Second

// isUsable reports whether new work may be placed on a worker.
func (s *State) isUsable(w *worker) bool { return s.isFit(w) && !s.queues.IsEvacuated(w.Place) }

// isFit reports whether new work may be placed on a worker unless its place is evacuated.
func (s *State) isFit(w *worker) bool {
	return !w.Lost && !w.Leaving && !s.health.IsQuarantined(w.Name)
}

// changeQueues applies a change of the queue state, and returns the places whose evacuation has started or ended, sorted.
func (s *State) changeQueues(change *messages.QueueChange) []string {
	before := map[string]bool{}
	for _, o := range change.GetEvacuations() {
		before[o.GetPlace()] = s.queues.IsEvacuated(o.GetPlace())
	}
	s.queues.Apply(change)
	return slices.DeleteFunc(slices.Sorted(maps.Keys(before)), func(place string) bool {
		return s.queues.IsEvacuated(place) == before[place]
	})
}

// HasPlace reports whether the manifest in force or a worker names a place.
func (s *State) HasPlace(place string) bool {
	if s.manifest != nil && slices.ContainsFunc(s.manifest.Places, func(p parser.Place) bool { return p.Name == place }) {
		return true
	}
	for _, w := range s.workers {
		if w.Place == place {
			return true
		}
	}
	return false
}

// applyEvacuations updates the workers of the places whose evacuation has started or ended.
func (s *State) applyEvacuations(places []string) {
	started := false
	for _, name := range slices.Sorted(maps.Keys(s.workers)) {
		w := s.workers[name]
		if !slices.Contains(places, w.Place) {
			continue
		}
		if s.queues.IsEvacuated(w.Place) {
			s.closeWorker(w)
			started = true
		} else if w.Closed {
			w.Closed = false
			s.fleet.SetUsable(name, s.isUsable(w))
			s.capacityChanged = true
		}
	}
	if started {
		s.withdrawFromEvacuated()
	}
	for _, place := range places {
		s.record("place", place, "", "evacuated: %t", s.queues.IsEvacuated(place))
	}
	s.recordAtRisk()
}

// closeWorker makes a worker of an evacuated place unusable. A worker that moved while in use is unusable although its
// record does not show it; it is not marked, so that it stays unusable when the evacuation ends.
func (s *State) closeWorker(w *worker) {
	usable := s.fleet.Usable(w.Name)
	if w.Closed || s.isFit(w) && !usable {
		return
	}
	w.Closed = true
	if usable {
		s.fleet.SetUsable(w.Name, false)
		s.capacityChanged = true // what waits for it may fit elsewhere
	}
}

// withdrawFromEvacuated withdraws all grants on workers of evacuated places under which nothing was started, and limits
// the time of starts that are not confirmed.
func (s *State) withdrawFromEvacuated() {
	for _, id := range slices.Sorted(maps.Keys(s.byGrant)) {
		j := s.byGrant[id]
		if j == nil {
			continue // ended with another grant
		}
		place := s.evacuatedPlace(s.fleet.Grant(id))
		if place == "" {
			continue
		}
		switch j.Phase {
		case Waiting, Reclaiming, Holding:
			s.withdrawEvacuated(j, place)
		case Running:
			if s.unconfirmedIn(j) != "" {
				s.setDeadline(j, s.now.Add(startTimeout))
			}
		case Checkpointing, Stopping, Complete:
		}
	}
}

// withdrawEvacuated withdraws a grant in an evacuated place, and returns its job to the queue.
func (s *State) withdrawEvacuated(j *job, place string) {
	if j.Phase == Waiting { // a reservation
		s.release(j)
		s.reenqueue(j)
		return
	}
	s.withdraw(j)
	s.requeue(j, "place "+place+" is evacuated")
}

// evacuatedPlace returns the first evacuated place in which a grant has slots, or "".
func (s *State) evacuatedPlace(g *allocator.Grant) string {
	if g == nil {
		return ""
	}
	for _, part := range g.Parts {
		if w := s.workers[part.Worker]; w != nil && s.queues.IsEvacuated(w.Place) {
			return w.Place
		}
	}
	return ""
}

// unconfirmedIn returns the evacuated place in which a member of a job has not confirmed its start, or "".
func (s *State) unconfirmedIn(j *job) string {
	for _, m := range j.Members {
		w := s.workers[m.Worker]
		if w != nil && s.queues.IsEvacuated(w.Place) && !m.State.ran() && !m.State.terminal() {
			return w.Place
		}
	}
	return ""
}

// stopUnconfirmed stops a job whose start in an evacuated place was not confirmed in time, so that it starts elsewhere. A job
// that is not idempotent is left alone: it would fail if it runs and only the confirmation was lost.
func (s *State) stopUnconfirmed(j *job) {
	s.setDeadline(j, time.Time{})
	if place := s.unconfirmedIn(j); place != "" && j.reclaimable() {
		s.stopAttempt(j, causeEvicted, "its start was not confirmed, and place "+place+" is evacuated")
	}
}
