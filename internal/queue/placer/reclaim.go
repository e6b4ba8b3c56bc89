package placer

import (
	"slices"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
)

// reclaimPenalty ranks runs that are evicted only for a guarantee behind all others.
const reclaimPenalty = int64(1) << 50

// reclaimDelay is how long a unit within its organisation's guarantee waits for room that work of others leaves by itself. Urgent
// tasks mostly end within it, and the stops that follow leave time until the unit is owed its room.
const reclaimDelay = 2 * time.Second

// reclaims reports whether the unit may evict what is evicted for guarantees alone, which are of accelerators.
func (u *unit) reclaims() bool {
	return u.guaranteed && u.need.Accelerators > 0 && u.age >= reclaimDelay
}

// isReclaimable reports whether a run that no other unit may evict may be evicted for a unit within its organisation's
// guarantee: a run of lower priority, or an urgent run of another organisation. mayTake bounds both.
func (p *pass) isReclaimable(u *unit, a *ActiveRun) bool {
	if !u.reclaims() {
		return false
	}
	if !isUrgent(a.Job) {
		return a.Job.Work.GetPriority() > u.job.Work.GetPriority()
	}
	org := a.Job.Work.GetOrganisation()
	return org != u.job.Work.GetOrganisation() && p.exceedsGuarantee(org)
}

func (p *pass) exceedsGuarantee(organisation string) bool {
	return p.demand[organisation] > p.input.Guarantee(organisation)
}

// mayTake reports whether a victim may be taken beside those that are selected for the eviction and those chosen with it.
func (p *pass) mayTake(a *ActiveRun, e *eviction, chosen []*ActiveRun) bool {
	if isUrgent(a.Job) && !p.hasExcess(a.Job.Work.GetOrganisation(), e, chosen) {
		return false
	}
	return !a.Step.Spec.GetLasting() || a.Step.Spec.GetAbsent() == 0 || p.mayBeAway(a, e, chosen)
}

// hasExcess reports whether the urgent runs of an organisation still use more than its guarantee without those that are being
// stopped. What it is guaranteed stays with it, though it has asked for more.
func (p *pass) hasExcess(organisation string, e *eviction, chosen []*ActiveRun) bool {
	used := p.urgentUse[organisation]
	p.visit(len(e.runs))
	for _, list := range [...][]*ActiveRun{e.runs, chosen} {
		for _, a := range list {
			if isUrgent(a.Job) && a.Job.Work.GetOrganisation() == organisation {
				used -= a.Need.Accelerators
			}
		}
	}
	return used > p.input.Guarantee(organisation)
}

// mayBeAway reports whether the step of a lasting run bears that the run, with the rest of its gang, is not at work for a while,
// beside those that are not at work already, or are stopped for the same eviction.
func (p *pass) mayBeAway(a *ActiveRun, e *eviction, chosen []*ActiveRun) bool {
	limit, gang := int(a.Step.Spec.GetAbsent()), a.Step.Spec.GetGang()
	if gang && slices.ContainsFunc(chosen, func(other *ActiveRun) bool { return other.Step == a.Step }) {
		return true // the gang is stopped as a whole in any case
	}
	away := p.countAway(a.Step)
	if p.isAway(a) {
		away--
	}
	p.visit(len(e.runs))
	for _, list := range [...][]*ActiveRun{e.runs, chosen} {
		for _, other := range list {
			if other.Step == a.Step && !p.isAway(other) {
				away++
			}
		}
	}
	if gang {
		return away == 0 && len(a.Step.Tasks) <= limit
	}
	return away < limit
}

// isAway reports whether a lasting run is not at work, or will soon not be.
func (p *pass) isAway(a *ActiveRun) bool {
	return a.Stopping || !a.AtWork || p.workerOf[a].Silent
}

// countAway returns how many tasks of a lasting step are not at work.
func (p *pass) countAway(s *tracker.Step) int {
	away, known := p.away[s]
	if known {
		return away
	}
	p.visit(len(s.Tasks) + len(p.lasting[s]))
	for i := range s.Tasks {
		if s.Tasks[i].Active == 0 {
			away++
		}
	}
	for _, a := range p.lasting[s] {
		if p.isAway(a) {
			away++
		}
	}
	p.away[s] = away
	return away
}

// removeProtected notes that a run is about to be stopped. The evictions for single tasks that are known stay valid while mayTake
// allows all runs on any one worker, both before and after the stop.
func (p *pass) removeProtected(a *ActiveRun) {
	if isUrgent(a.Job) {
		org := a.Job.Work.GetOrganisation()
		p.urgentUse[org] -= a.Need.Accelerators
		if p.urgentUse[org] <= p.input.Guarantee(org)+p.maxAccelerators {
			p.protectedStops++
		}
	}
	if !a.Step.Spec.GetLasting() || a.Step.Spec.GetAbsent() == 0 || p.isAway(a) {
		return
	}
	p.away[a.Step] = p.countAway(a.Step) + 1
	if a.Step.Spec.GetGang() || p.away[a.Step]+p.maxRuns >= int(a.Step.Spec.GetAbsent()) {
		p.protectedStops++
	}
}

// addProtected notes an active run that is evicted for guarantees alone.
func (p *pass) addProtected(a *ActiveRun) {
	if isUrgent(a.Job) && !a.Stopping {
		p.urgentUse[a.Job.Work.GetOrganisation()] += a.Need.Accelerators
	}
	if !a.Step.Spec.GetLasting() || a.Step.Spec.GetAbsent() == 0 {
		return
	}
	p.lasting[a.Step] = append(p.lasting[a.Step], a)
}
