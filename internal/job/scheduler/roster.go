package scheduler

import (
	"slices"

	"github.com/bluebellgauge/bluebellgauge/internal/job/allocator"
)

// announce takes in what a worker says of itself. A new incarnation means that everything on
// the earlier one has died.
func (s *State) announce(info WorkerInfo) {
	known := s.workers[info.Name]
	if known != nil && info.Incarnation < known.Incarnation {
		s.emit(Reply{Status: StatusConflict, Reason: "a later incarnation is known"})
		return
	}
	if known != nil && (info.Incarnation > known.Incarnation || known.Gone) {
		s.loseMembers(info.Name, known.Incarnation)
	}
	if err := s.seat(known, info); err != nil {
		s.emit(Reply{Status: StatusInvalid, Reason: err.Error()})
		return
	}
	s.emit(Reply{Status: StatusOK})
}

// seat enters the worker into the fleet, or keeps its seat.
func (s *State) seat(known *worker, info WorkerInfo) error {
	moved := known != nil && (known.Place != info.Place || known.Rack != info.Rack || known.Service != info.Service)
	if moved && !s.fleet.Remove(info.Name) {
		s.fleet.SetUsable(info.Name, false)
		return errSeatInUse
	}
	seat := allocator.Worker{Name: info.Name, Place: info.Place, Rack: info.Rack, Service: info.Service, Slots: info.Slots}
	if err := s.fleet.Add(seat); err != nil {
		return err
	}
	usable := !info.Leaving && !s.health.IsAside(info.Name)
	s.fleet.SetUsable(info.Name, usable)
	s.freed = s.freed || usable
	if known == nil || known.Gone || known.Incarnation != info.Incarnation {
		s.record("worker", info.Name, "", "announced for %s in %s, rack %s, %d slots", info.Service, info.Place, info.Rack, info.Slots)
	} else if known.Leaving != info.Leaving {
		s.record("worker", info.Name, "", "leaving: %t", info.Leaving)
	}
	s.workers[info.Name] = &worker{WorkerInfo: info, Since: s.now}
	s.noteRisk()
	return nil
}

// lose ends everything on a worker whose leases have run out.
func (s *State) lose(e Lost) {
	w := s.workers[e.Worker]
	if w == nil || w.Incarnation != e.Incarnation || w.Gone {
		return
	}
	w.Gone = true
	s.fleet.SetUsable(e.Worker, false)
	s.record("worker", e.Worker, "", "lost: no sign of life until its leases ran out")
	s.loseMembers(e.Worker, e.Incarnation)
	s.gone = append(s.gone, e.Worker)
	s.noteRisk()
}

// removeGone takes lost workers out of the fleet once no grant touches them.
func (s *State) removeGone() {
	s.gone = slices.DeleteFunc(s.gone, func(name string) bool {
		w := s.workers[name]
		if w == nil || !w.Gone {
			return true
		}
		if !s.fleet.Remove(name) {
			return false
		}
		delete(s.workers, name)
		return true
	})
}

// loseMembers marks the members on one incarnation of a worker as lost.
func (s *State) loseMembers(name string, incarnation uint64) {
	for _, id := range s.fleet.GrantsOn(name) {
		j := s.byGrant[id]
		if j == nil {
			continue
		}
		switch j.Phase {
		case Waiting:
			s.release(j)
			s.enqueueOnce(j)
		case Reclaiming, Holding:
			s.withdraw(j)
			s.requeue(j, "worker "+name+" was lost")
		case Running, Checkpointing, Stopping:
			if m := j.member(name, incarnation); m != nil && !m.State.terminal() {
				m.State = MemberLost
				s.memberEnded(j, nextLost, "worker "+name+" was lost")
			}
		case Complete:
		}
	}
}

// enqueueOnce keeps a job in the queue after its soft claim has ended.
func (s *State) enqueueOnce(j *job) {
	s.dequeue(j)
	s.enqueue(j)
}

// noteRisk records guarantees that could not be given back now.
func (s *State) noteRisk() {
	for _, g := range s.fleet.AtRisk() {
		s.record("organisation", g.Org, g.Org, "guarantee at risk: %s", g)
	}
}
