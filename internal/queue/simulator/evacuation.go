package simulator

import (
	"context"
	"fmt"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/coordinator"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

const (
	orderInterval      = 400 * time.Millisecond  // between two attempts of the operator
	maxEvacuationDelay = 5 * time.Second         // from the acknowledgement of an evacuation to the last start there
	electionTime       = 1500 * time.Millisecond // after the loss of a leader between a commit and its acknowledgement
)

// order is the last order of the operator about a data centre.
type order struct {
	place        string
	over         bool
	sent         time.Time // the first attempt
	acknowledged time.Time // zero until then
	starts       int       // there, since the acknowledgement
	losesLeader  bool      // the leader is lost between the commit of the order and its acknowledgement
}

// placeOf returns the data centre of a rack, "" if there is one only.
func (f Fleet) placeOf(rack int) string {
	if f.Places == 0 {
		return ""
	}
	return fmt.Sprintf("z%d", rack%f.Places)
}

// evacuate orders an evacuation, and its end when the fault is over.
func (s *Simulator) evacuate(f Fault) {
	s.sendOrder(&order{place: f.Place, losesLeader: f.LosesLeader})
	s.after(f.Duration, func() { s.sendOrder(&order{place: f.Place, over: true, losesLeader: f.LosesLeader}) })
}

func (s *Simulator) sendOrder(o *order) {
	s.disturb()
	o.sent = s.now
	s.orders[o.place] = o
	s.orderList = append(s.orderList, o)
	s.repeatOrder(o)
}

// repeatOrder sends an order until it is acknowledged or followed by another one.
func (s *Simulator) repeatOrder(o *order) {
	if s.orders[o.place] != o || !o.acknowledged.IsZero() {
		return
	}
	s.after(orderInterval, func() { s.repeatOrder(o) })
	s.after(linkDelay, func() {
		leader := s.leader
		if leader == nil {
			return
		}
		s.spawn(func() {
			v, err := leader.Evacuate(context.Background(), &messages.EvacuationOrder{Place: o.place, Over: o.over, By: "operator"})
			if err == nil && v.GetStatus() == coordinator.StatusOK {
				s.after(linkDelay, func() { s.acknowledgeOrder(o) })
			}
		})
	})
}

func (s *Simulator) acknowledgeOrder(o *order) {
	if o.acknowledged.IsZero() {
		s.disturb()
		o.acknowledged = s.now
	}
}

// loseLeader ends the leadership if a commit, which has just been applied, is of an order that is to lose its leader. It
// reports whether it did.
func (s *Simulator) loseLeader(change *messages.QueueChange) bool {
	for _, e := range change.GetEvacuations() {
		if o := s.orders[e.GetPlace()]; o != nil && o.losesLeader && s.leader != nil {
			o.losesLeader = false
			s.endLeadership()
			s.after(electionTime, s.electLeader)
			return true
		}
	}
	return false
}

// checkPlace checks that nothing starts in a data centre for longer than maxEvacuationDelay after its evacuation was acknowledged.
func (s *Simulator) checkPlace(w *worker, r *run) {
	o := s.orders[w.place]
	if o == nil || o.acknowledged.IsZero() {
		return
	}
	o.starts++
	if since := s.now.Sub(o.acknowledged); !o.over && since > maxEvacuationDelay {
		s.recordViolation("run %v starts on worker %s %v after the evacuation of %s was acknowledged", r.key, w.id, since, w.place)
	}
}
