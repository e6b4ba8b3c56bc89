package placer

import (
	"slices"
	"time"
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
	if isUrgent(a.Job) {
		return p.hasExcess(a.Job.Work.GetOrganisation(), e, chosen)
	}
	return !a.Step.Spec.GetLasting() || a.Step.Spec.GetAbsent() == 0 || p.mayBeAway(a, e, chosen)
}

// hasExcess reports whether the urgent runs of an organisation still use more than its guarantee without those that are being
// stopped. What it is guaranteed stays with it, though it has asked for more.
func (p *pass) hasExcess(organisation string, e *eviction, chosen []*ActiveRun) bool {
	used := int64(0)
	for _, a := range p.urgentRuns[organisation] {
		if !a.Stopping && !e.selected[a] && !slices.Contains(chosen, a) {
			used += a.Need.Accelerators
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
	away := 0
	for i := range a.Step.Tasks {
		if a.Step.Tasks[i].Active == 0 {
			away++
		}
	}
	for _, other := range p.lasting[a.Step] {
		if other != a && (other.Stopping || other.Starting || e.selected[other] || p.workerOf[other].Silent || slices.Contains(chosen, other)) {
			away++
		}
	}
	if gang {
		return away == 0 && len(a.Step.Tasks) <= limit
	}
	return away < limit
}

// addProtected notes an active run that is evicted for guarantees alone.
func (p *pass) addProtected(a *ActiveRun) {
	if isUrgent(a.Job) {
		p.urgentRuns[a.Job.Work.GetOrganisation()] = append(p.urgentRuns[a.Job.Work.GetOrganisation()], a)
	}
	if !a.Step.Spec.GetLasting() || a.Step.Spec.GetAbsent() == 0 {
		return
	}
	p.lasting[a.Step] = append(p.lasting[a.Step], a)
}
