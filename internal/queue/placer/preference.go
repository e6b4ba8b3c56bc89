package placer

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
)

// Running work can keep the workers that a unit prefers from ever becoming free, so each preference is dropped in the end.
const (
	// maxIdleWait is how long a unit waits for its preferences in a pool that is mostly idle.
	maxIdleWait = 1500 * time.Millisecond
	// maxBusyWait is how long a unit waits for its preferences in a busy pool.
	maxBusyWait = 30 * time.Second
)

// StepKey identifies what waits: a step of one occurrence of a job, or one suspect task of a lasting step. Each lasting task
// has to run, so the starts of others of its step must not end its wait.
type StepKey struct {
	Job              string
	Occurrence, Step int32
	Trial            int32 // number of the suspect task, counted from 1, 0 for a step
}

// Wait is how long a step has waited, though the turn of a task has come.
type Wait struct {
	Deferred time.Duration // since its preferences have kept it from workers on which it fits
	Idle     time.Duration // for which it has been blocked and most of the pool idle, whatever the obstacle
}

// Deferral is a step that waits for the workers that it prefers, or no longer does.
type Deferral struct {
	Key       StepKey
	Preferred string
	Idle      bool // most of the pool is idle
}

// relaxation is a unit without some of its preferences.
type relaxation struct {
	unit    *unit
	dropped []string
	limit   time.Duration // the unit keeps its preferences at most so long in a busy pool, 0 for ever
}

func (u *unit) key() StepKey {
	if u.crashes > 0 {
		return trialKeyOf(u.job, u.step, u.tasks[0])
	}
	return keyOf(u.job, u.step)
}

func keyOf(j *tracker.Job, s *tracker.Step) StepKey {
	return StepKey{Job: j.Work.GetId(), Occurrence: s.Occurrence, Step: s.Index}
}

// trialKeyOf returns the key of a suspect task.
func trialKeyOf(j *tracker.Job, s *tracker.Step, task int32) StepKey {
	key := keyOf(j, s)
	if s.Spec.GetLasting() && !s.Spec.GetGang() {
		key.Trial = task + 1
	}
	return key
}

// prefersRack reports whether the unit may only use the workers of a single rack.
func (u *unit) prefersRack() bool { return u.step.Spec.GetCompact() && !u.anyRack }

// acrossRacks returns the unit for placement on any racks, where it takes longer.
func (u *unit) acrossRacks(factor float64) *unit {
	v := *u
	v.anyRack = true
	v.estimate = time.Duration(float64(u.estimate) * factor)
	return &v
}

// isCautious reports whether workers are kept from the unit because something speaks against them.
func (p *pass) isCautious(u *unit) bool {
	return !u.incautious && (p.doubtful[u.pool] || u.lastAttempt || u.needsOldWorker || !u.provenSince.IsZero() || u.startsAlone())
}

// withoutReservations returns the unit for placement on workers that are reserved for gangs, too.
func (u *unit) withoutReservations() *unit {
	v := *u
	v.anyReserved = true
	return &v
}

// withoutCaution returns the unit for placement on workers in doubt.
func (u *unit) withoutCaution() *unit {
	v := *u
	v.incautious, v.needsOldWorker, v.provenSince = true, false, time.Time{}
	return &v
}

// preference is what a unit waits for.
type preference struct {
	name  string
	limit time.Duration // how long the unit waits for it in a busy pool, 0 for ever
	drop  func(*unit) *unit
}

// preferences returns what a unit waits for.
func (p *pass) preferences(u *unit) []preference {
	var list []preference
	if p.isCautious(u) {
		list = append(list, preference{"sound workers", maxBusyWait, (*unit).withoutCaution})
	}
	if (len(p.reservedWorkers) > 0 || p.reserved) && !u.anyReserved && p.isIdle(u) {
		list = append(list, preference{"workers not reserved for gangs", 0, (*unit).withoutReservations})
	}
	if u.step.Spec.GetGang() && u.prefersRack() {
		gain := time.Duration(float64(u.estimate) * (p.input.RackFactor - 1))
		drop := func(u *unit) *unit { return u.acrossRacks(p.input.RackFactor) }
		list = append(list, preference{"a single rack", max(gain, maxBusyWait), drop})
	}
	return list
}

// relaxations returns the unit without some of its preferences, or all, first those without the fewest.
func (p *pass) relaxations(u *unit) []relaxation {
	preferences := p.preferences(u)
	var list []relaxation
	for set := 1; set < 1<<len(preferences); set++ {
		r := relaxation{unit: u}
		for i, f := range preferences {
			if set&(1<<i) != 0 {
				r.drop(f)
			}
		}
		list = append(list, r)
	}
	slices.SortStableFunc(list, func(a, b relaxation) int { return cmp.Compare(len(a.dropped), len(b.dropped)) })
	return list
}

// drop removes a preference. The unit waits for the one with the longest limit.
func (r *relaxation) drop(f preference) {
	if r.unit = f.drop(r.unit); len(r.dropped) == 0 || r.limit > 0 && (f.limit == 0 || f.limit > r.limit) {
		r.limit = f.limit
	}
	r.dropped = append(r.dropped, f.name)
}

// relax returns the unit without the preferences for which it has waited long enough, or nil. fits reports whether a unit
// can be placed in this pass.
func (p *pass) relax(u *unit, fits func(*unit) bool) *unit {
	for _, r := range p.relaxations(u) {
		if !fits(r.unit) {
			continue
		}
		d := Deferral{Key: u.key(), Preferred: strings.Join(r.dropped, ", "), Idle: p.isIdle(r.unit) && p.fitsTwice(r.unit)}
		wait := p.input.Waited(d.Key)
		if r.limit > 0 && wait.Deferred >= r.limit || d.Idle && wait.Idle >= maxIdleWait {
			p.plan.Relaxed = append(p.plan.Relaxed, d)
			return r.unit
		}
		p.plan.Deferred = append(p.plan.Deferred, d)
		p.block(d.Key, PreferredWorkers)
	}
	return nil
}

// relaxOverdue returns the unit without the preferences, and the wait for runs to stop, that it gives up after maxIdleWait
// in a pool that is mostly idle. It returns nil if the unit has not waited so long or fits nowhere.
func (p *pass) relaxOverdue(u *unit, fits func(*unit) bool) *unit {
	if !p.hasWaited(u) {
		return nil
	}
	for _, r := range p.relaxations(u) {
		if fits(r.unit) && p.fitsTwice(r.unit) {
			p.plan.Relaxed = append(p.plan.Relaxed, Deferral{Key: u.key(), Preferred: strings.Join(r.dropped, ", "), Idle: true})
			return r.unit
		}
	}
	return nil
}

// hasWaited reports whether the unit has been blocked for maxIdleWait in a pool that is mostly idle.
func (p *pass) hasWaited(u *unit) bool {
	return p.isIdle(u) && p.input.Waited(u.key()).Idle >= maxIdleWait
}

// isIdle reports whether less than half of the usable part of the unit's pool is in use. A lasting task need not wait
// for that.
func (p *pass) isIdle(u *unit) bool {
	if u.step.Spec.GetLasting() {
		return true
	}
	return p.isPoolIdle(u.pool)
}

// isPoolIdle reports whether less than half of the usable part of a pool is in use. Late reports do not make a pool busy.
func (p *pass) isPoolIdle(pool string) bool {
	idle, known := p.idle[pool]
	if !known {
		total, free := int64(0), int64(0)
		for _, w := range p.input.Workers {
			if w.Pool == pool && (w.Usable || w.Late) && !w.Evacuated {
				total += w.Capacity.Weight()
				free += w.Free.Weight()
			}
		}
		idle = 2*free > total
		p.idle[pool] = idle
	}
	return idle
}

// fitsTwice reports whether there is room for the unit, or one of its single tasks, twice over.
func (p *pass) fitsTwice(u *unit) bool {
	tasks := 1
	if u.step.Spec.GetGang() {
		tasks = len(u.tasks)
	}
	fits := 0
	p.visit(len(p.pools[u.pool]))
	for _, c := range p.pools[u.pool] {
		if u.mayUse(c) {
			fits += c.available(u).Fits(u.need, u.maxPerWorker(2*tasks))
		}
	}
	return fits >= 2*tasks
}

// placeRelaxedGang places a gang without preferences for which it has waited long enough. It reports false if there are
// none.
func (p *pass) placeRelaxedGang(u *unit) bool {
	v := p.relax(u, func(v *unit) bool {
		domains := p.domains(v)
		return p.fitGang(v, domains) != nil || v.urgent && p.planEviction(v, domains) != nil
	})
	if v == nil {
		return false
	}
	domains := p.domains(v)
	return p.startGang(v, domains) || p.evict(v, domains) != nil
}

// startRelaxedGang starts a gang that no longer waits for stops. It reports false if it does not start.
func (p *pass) startRelaxedGang(u *unit) bool {
	v := p.relaxOverdue(u, func(v *unit) bool { return p.fitGang(v, p.domains(v)) != nil })
	return v != nil && p.startGang(v, p.domains(v))
}
