package scheduler

import (
	"fmt"

	"github.com/bluebellgauge/bluebellgauge/internal/job/allocator"
)

// Fleet returns the fleet of the allocator.
func (s *State) Fleet() *allocator.Fleet { return s.fleet }

// CheckIndexes checks that all indexes agree with the jobs that they are derived from.
func (s *State) CheckIndexes() error {
	waiting, granted := 0, 0
	usage := map[string]int{}
	for _, j := range s.jobs {
		if j.Phase == Waiting {
			waiting++
		}
		g := s.fleet.Grant(j.Grant)
		if (j.Grant != 0) != (g != nil) || (j.Grant != 0) != (s.byGrant[j.Grant] == j) {
			return fmt.Errorf("job %s in phase %s has grant %d, which is missing from the fleet or the index", j.ID, j.Phase, j.Grant)
		}
		if g != nil {
			granted++
			usage[j.Org] += g.SlotCount()
		}
		switch j.Phase {
		case Holding, Running, Checkpointing, Stopping, Reclaiming:
			if g == nil {
				return fmt.Errorf("job %s in phase %s has no grant", j.ID, j.Phase)
			}
		case Complete:
			if g != nil || j.Answer == nil {
				return fmt.Errorf("job %s is answered: grant %d, answer %v", j.ID, j.Grant, j.Answer)
			}
		case Waiting:
		}
	}
	for org, queue := range s.waiting {
		waiting -= len(queue)
		for _, j := range queue {
			if j.Phase != Waiting || j.Org != org {
				return fmt.Errorf("job %s in phase %s is in the queue of %s", j.ID, j.Phase, org)
			}
		}
	}
	if waiting != 0 || granted != len(s.byGrant) || granted != s.fleet.GrantCount() {
		return fmt.Errorf("%d waiting jobs are in no queue; jobs have %d grants, the index %d, the fleet %d",
			waiting, granted, len(s.byGrant), s.fleet.GrantCount())
	}
	for org, n := range usage {
		if s.usedSlots[org] != n {
			return fmt.Errorf("%s uses %d slots, the index has %d", org, n, s.usedSlots[org])
		}
	}
	return nil
}
