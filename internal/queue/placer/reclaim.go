package placer

import (
	"slices"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
)

// reclaimPenalty ranks runs that are evicted only for a guarantee behind all others.
const reclaimPenalty = int64(1) << 50

// isReclaimable reports whether a run that no other unit may evict is evicted for a unit within its organisation's guarantee:
// a lasting task of lower priority, or an urgent run of an organisation whose urgent jobs exceed its guarantee. The latter can't
// evict the former in turn.
func (p *pass) isReclaimable(u *unit, a *ActiveRun) bool {
	if !u.guaranteed {
		return false
	}
	if isUrgent(a.Job) {
		org := a.Job.Work.GetOrganisation()
		if org == u.job.Work.GetOrganisation() || !p.exceedsGuarantee(org) {
			return false
		}
	}
	return true
}

func (p *pass) exceedsGuarantee(organisation string) bool {
	return p.demand[organisation] > p.input.Guarantee(organisation)
}

// mayBeAway reports whether the step of a run bears that the run, with the rest of its gang, is not at work for a while, beside
// those that are not at work already, are stopped for the same eviction, or are chosen with the run.
func (p *pass) mayBeAway(a *ActiveRun, e *eviction, chosen []*ActiveRun) bool {
	limit := int(a.Step.Spec.GetAbsent())
	if !a.Step.Spec.GetLasting() || limit == 0 {
		return true // the step names no limit
	}
	away := 0
	for i := range a.Step.Tasks {
		if a.Step.Tasks[i].Active == 0 {
			away++
		}
	}
	for _, other := range p.lasting[a.Step] {
		if other.Stopping || e.selected[other] || p.workerOf[other].Silent || slices.Contains(chosen, other) {
			away++
		}
	}
	if a.Step.Spec.GetGang() {
		return away == 0 && len(a.Step.Tasks) <= limit
	}
	return away < limit
}

// addLasting notes an active run of a step that names how many of its tasks may be away.
func (p *pass) addLasting(a *ActiveRun) {
	if !a.Step.Spec.GetLasting() || a.Step.Spec.GetAbsent() == 0 {
		return
	}
	if p.lasting == nil {
		p.lasting = map[*tracker.Step][]*ActiveRun{}
	}
	p.lasting[a.Step] = append(p.lasting[a.Step], a)
}
