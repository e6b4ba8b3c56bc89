package scheduler

import (
	"slices"

	"github.com/bluebellgauge/bluebellgauge/internal/job/allocator"
)

// announce adds or updates a worker. A new incarnation implies that everything that ran on the previous one has
// ended.
func (s *State) announce(info WorkerInfo) {
	known := s.workers[info.Name]
	if known != nil && info.Incarnation < known.Incarnation {
		s.emit(Reply{Status: StatusConflict, Reason: "a later incarnation is already registered"})
		return
	}
	if known != nil && (info.Incarnation > known.Incarnation || known.Lost) {
		s.markMembersLost(info.Name, known.Incarnation)
	}
	if err := s.addToFleet(known, info); err != nil {
		s.emit(Reply{Status: StatusInvalid, Reason: err.Error()})
		return
	}
	s.emit(Reply{Status: StatusOK})
}

// addToFleet adds the worker to the fleet, or updates it if it is already there.
func (s *State) addToFleet(known *worker, info WorkerInfo) error {
	moved := known != nil && (known.Place != info.Place || known.Rack != info.Rack || known.Service != info.Service)
	if moved && !s.fleet.Remove(info.Name) {
		s.fleet.SetUsable(info.Name, false)
		known.Closed = false // the end of an evacuation must not make it usable
		return errMovedWhileInUse
	}
	entry := allocator.Worker{Name: info.Name, Place: info.Place, Rack: info.Rack, Service: info.Service, Slots: info.Slots}
	if err := s.fleet.Add(entry); err != nil {
		return err
	}
	w := &worker{WorkerInfo: info, Since: s.now}
	usable := s.isUsable(w)
	s.fleet.SetUsable(info.Name, usable)
	w.Closed = s.queues.IsEvacuated(w.Place)
	s.capacityChanged = s.capacityChanged || usable
	if known == nil || known.Lost || known.Incarnation != info.Incarnation {
		s.record("worker", info.Name, "", "announced for %s in %s, rack %s, %d slots", info.Service, info.Place, info.Rack, info.Slots)
	} else if known.Leaving != info.Leaving {
		s.record("worker", info.Name, "", "leaving: %t", info.Leaving)
	}
	s.workers[info.Name] = w
	s.recordAtRisk()
	return nil
}

// loseWorker ends everything on a worker whose leases have expired.
func (s *State) loseWorker(e WorkerLost) {
	w := s.workers[e.Worker]
	if w == nil || w.Incarnation != e.Incarnation || w.Lost {
		return
	}
	w.Lost = true
	s.fleet.SetUsable(e.Worker, false)
	s.record("worker", e.Worker, "", "lost: all leases expired without contact")
	s.markMembersLost(e.Worker, e.Incarnation)
	s.lostWorkers = append(s.lostWorkers, e.Worker)
	s.recordAtRisk()
}

// removeLost removes lost workers from the fleet once they have no grants.
func (s *State) removeLost() {
	s.lostWorkers = slices.DeleteFunc(s.lostWorkers, func(name string) bool {
		w := s.workers[name]
		if w == nil || !w.Lost {
			return true
		}
		if !s.fleet.Remove(name) {
			return false
		}
		delete(s.workers, name)
		return true
	})
}

// removableHealth is the number of removable health records from which they are removed. Earlier builds refuse the entry, so a
// return to one is not possible after it; fewer records are not worth that. It is well below the number at which the detector
// clears its jobs.
const removableHealth = 1024

// RemovableHealth returns how many health records can be removed, 0 if they are too few for an entry.
func (s *State) RemovableHealth() int {
	if n := s.health.Removable(s.hasJoined, s.hasEnded); n >= removableHealth {
		return n
	}
	return 0
}

func (s *State) hasJoined(worker string) bool { return s.workers[worker] != nil }

// hasEnded reports whether a job, by its ID, will not run again.
func (s *State) hasEnded(id string) bool {
	j := s.jobs[id]
	return j == nil || j.Phase == Complete
}

// markMembersLost marks the members on one incarnation of a worker as lost. Jobs that had not started there
// are requeued.
func (s *State) markMembersLost(name string, incarnation uint64) {
	for _, id := range s.fleet.GrantsOn(name) {
		j := s.byGrant[id]
		if j == nil {
			continue
		}
		switch j.Phase {
		case Waiting:
			s.release(j)
			s.reenqueue(j)
		case Reclaiming, Holding:
			s.withdraw(j)
			s.requeue(j, "worker "+name+" was lost")
		case Running, Checkpointing, Stopping:
			if m := j.member(name, incarnation); m != nil && !m.State.terminal() {
				m.State = MemberLost
				s.memberEnded(j, causeLost, "worker "+name+" was lost")
			}
		case Complete:
		}
	}
}

// reenqueue restores the queue position of a job whose reservation has ended.
func (s *State) reenqueue(j *job) {
	s.dequeue(j)
	s.enqueue(j)
}

// recordAtRisk records the guarantees that could not be fulfilled now.
func (s *State) recordAtRisk() {
	for _, g := range s.fleet.AtRisk() {
		s.record("organisation", g.Org, g.Org, "guarantee at risk: %s", g)
	}
}
