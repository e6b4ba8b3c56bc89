package placer

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// allocation assigns a number of members of a unit to a worker.
type allocation struct {
	candidate *candidate
	members   int
}

const (
	// maxForecasts limits the number of waiting gangs per pass for which workers to reserve are searched.
	maxForecasts = 6
	// reservableDivisor limits the workers of a pool that are reserved for more than one gang to one part in so many.
	reservableDivisor = 4
)

// placeGang starts all members of a gang or none. If the gang does not fit, it evicts runs for an urgent gang
// and otherwise reserves workers.
func (p *pass) placeGang(u *unit) {
	domains := p.domains(u)
	if p.startGang(u, domains) || p.startRelaxedGang(u) {
		return
	}
	if allocations := p.searchGang(u, domains, &p.noGangProjected, projectedOf); allocations != nil {
		// Pending stops will free enough capacity, unless it is reserved for earlier gangs.
		if !u.usesReserved(allocations) || !p.placeRelaxedGang(u) {
			p.reserveCapacity(u, allocations)
			p.block(u.key(), StopsPending)
		}
		return
	}
	if u.urgent && p.reserveEnds(u, domains) != nil {
		return
	}
	if u.urgent && p.evict(u, domains) != nil {
		p.block(u.key(), StopsPending)
		return
	}
	if p.placeRelaxedGang(u) {
		return
	}
	if p.forecasts < maxForecasts {
		p.forecasts++
		p.reserveWorkers(u, domains)
	}
}

// startGang starts all members of a gang if it fits.
func (p *pass) startGang(u *unit, domains [][]*candidate) bool {
	allocations := p.fitGang(u, domains)
	p.plan.Apart += p.membersKeptApart(u, domains, allocations)
	task := 0
	for _, a := range allocations {
		for range a.members {
			p.start(u, u.tasks[task], a.candidate)
			task++
		}
	}
	return allocations != nil
}

// fitGang returns allocations for all members of a gang that may start in this pass, nil if it does not fit.
func (p *pass) fitGang(u *unit, domains [][]*candidate) []allocation {
	return p.searchGang(u, domains, &p.noGangRoom, func(c *candidate) Vector { return c.available(u) })
}

// available returns the capacity that the unit may use on the worker in this pass. A unit that has waited long enough in an
// idle pool does not wait for the stops that earlier units wait for.
func (c *candidate) available(u *unit) Vector {
	if u.isExcludedFrom(c) {
		return Vector{}
	}
	if u.anyReserved {
		return c.free
	}
	// Reservations for earlier units are deducted from projected, not from free, so both limits apply.
	return Vector{
		Processors:   min(c.free.Processors, c.projected.Processors),
		Memory:       min(c.free.Memory, c.projected.Memory),
		Accelerators: min(c.free.Accelerators, c.projected.Accelerators),
	}
}

// isExcludedFrom reports whether the worker is reserved for an earlier gang, which starts before the unit would end.
func (u *unit) isExcludedFrom(c *candidate) bool {
	return c.reservedIn > 0 && u.estimate > c.reservedIn && !u.anyReserved
}

// usesReserved reports whether one of the workers of the allocations is reserved for an earlier gang.
func (u *unit) usesReserved(allocations []allocation) bool {
	return slices.ContainsFunc(allocations, func(a allocation) bool { return u.isExcludedFrom(a.candidate) })
}

// domains returns the sets of workers in which a gang may be placed. For a compact gang, which is slow across
// racks, these are single racks, or the whole pool if no rack can become free enough.
func (p *pass) domains(u *unit) [][]*candidate {
	pool := p.pools[u.pool]
	if !u.prefersRack() {
		return [][]*candidate{pool}
	}
	p.visit(len(pool))
	var racks [][]*candidate
	for _, rack := range p.racksOf(u.pool) {
		if u.fitsBesideLasting(rack) {
			racks = append(racks, rack)
		}
	}
	if len(racks) == 0 {
		return [][]*candidate{pool}
	}
	return racks
}

// racksOf returns the racks of a pool in the order of their names, without workers of no rack.
func (p *pass) racksOf(pool string) [][]*candidate {
	racks, known := p.sortedRacks[pool]
	if known {
		return racks
	}
	prefix := pool + "\x00"
	for _, key := range slices.Sorted(maps.Keys(p.racks)) {
		if len(key) > len(prefix) && key[:len(prefix)] == prefix {
			racks = append(racks, p.racks[key])
		}
	}
	if p.sortedRacks == nil {
		p.sortedRacks = map[string][][]*candidate{}
	}
	p.sortedRacks[pool] = racks
	return racks
}

// fitsBesideLasting reports whether a gang fits on a set of workers once all runs there have ended but those of lasting
// tasks, which never end by themselves.
func (u *unit) fitsBesideLasting(candidates []*candidate) bool {
	remaining := len(u.tasks)
	for _, c := range candidates {
		if remaining <= 0 {
			break
		}
		if u.canRunOn(c.Worker) {
			remaining -= c.withoutEndingRuns().Fits(u.need, u.maxPerWorker(remaining))
		}
	}
	return remaining <= 0
}

// withoutEndingRuns returns the capacity that lasting tasks leave.
func (c *candidate) withoutEndingRuns() Vector {
	if c.besideLasting.known && c.besideLasting.stops == c.stops {
		return c.besideLasting.capacity
	}
	v := c.Capacity
	for _, a := range c.Runs {
		if a.Step.Spec.GetLasting() && !a.Stopping {
			v = v.Sub(a.Need)
		}
	}
	c.besideLasting = besideLasting{v, c.stops, true}
	return v
}

// besideLasting caches the capacity that lasting tasks leave on a worker. It holds until another run there is stopped.
type besideLasting struct {
	capacity Vector
	stops    int
	known    bool
}

// maxPerWorker returns how many of n tasks may run on one worker.
func (u *unit) maxPerWorker(n int) int {
	if spread := int(u.step.Spec.GetSpread()); spread > 0 {
		return min(n, spread)
	}
	return n
}

// bestFit returns allocations for all members in the domain with the least free capacity in which they fit,
// or nil if they fit in none. Domains with the unit's data go first, then those without interference.
func (p *pass) bestFit(u *unit, domains [][]*candidate, free func(*candidate) Vector) []allocation {
	var best []allocation
	bestRemaining, bestSlowdown := int64(-1), 1.0
	for _, d := range domains {
		p.visit(len(d))
		allocations, ok := u.pack(d, free)
		if !ok {
			continue
		}
		p.visit(visitsPerSort * len(d))
		remaining := int64(0)
		for _, c := range d {
			if !c.Quarantined && !c.closed {
				remaining += free(c).Weight()
			}
		}
		if u.isDataRemote(allocations) {
			remaining += remotePenalty
		}
		if slices.ContainsFunc(allocations, func(a allocation) bool { return a.candidate.Cold }) {
			remaining += coldPenalty
		}
		slowdown := u.slowdownOf(allocations)
		if bestRemaining < 0 || cmp.Or(
			cmp.Compare(remaining/coldPenalty, bestRemaining/coldPenalty),
			cmp.Compare(slowdown, bestSlowdown), cmp.Compare(remaining, bestRemaining),
		) < 0 {
			best, bestRemaining, bestSlowdown = allocations, remaining, slowdown
		}
	}
	return best
}

// remotePenalty ranks domains without the unit's data behind all domains that hold it.
const remotePenalty = int64(1) << 40

// coldPenalty ranks domains in which the unit would use cold workers behind all others, data aside. It exceeds the free
// capacity of any domain.
const coldPenalty = remotePenalty / 4

func (u *unit) isDataRemote(allocations []allocation) bool {
	rack := u.step.Spec.GetRack()
	return rack != "" && slices.ContainsFunc(allocations, func(a allocation) bool { return a.candidate.Rack != rack })
}

// pack allocates all members in one domain, on the workers with the least free capacity first, and away from images that
// interfere where there is room.
func (u *unit) pack(domain []*candidate, free func(*candidate) Vector) ([]allocation, bool) {
	allocations, ok := u.packAll(domain, free, u.maxPerWorker(len(u.tasks)))
	if ok && u.slowdownOf(allocations) > 1 {
		return u.packApart(domain, free, allocations), true
	}
	return allocations, ok
}

// packAll allocates all members in one domain, at most limit on a worker.
func (u *unit) packAll(domain []*candidate, free func(*candidate) Vector, limit int) ([]allocation, bool) {
	var allocations []allocation
	room := 0
	for _, c := range domain {
		if !u.mayUse(c) {
			continue
		}
		if n := free(c).Fits(u.need, limit); n > 0 {
			allocations = append(allocations, allocation{c, n})
			room += n
		}
	}
	if room < len(u.tasks) {
		return nil, false
	}
	rack := u.step.Spec.GetRack()
	compare := func(a, b allocation) int {
		return cmp.Or(
			compareBool(a.candidate.Suspect, b.candidate.Suspect), compareBool(a.candidate.closed, b.candidate.closed),
			compareBool(rack != "" && a.candidate.Rack != rack, rack != "" && b.candidate.Rack != rack),
			compareBool(a.candidate.Cold, b.candidate.Cold),
			u.compareSlowdowns(a.candidate, b.candidate),
			cmp.Compare(free(a.candidate).Weight(), free(b.candidate).Weight()),
		)
	}
	if len(u.tasks) == 1 {
		return []allocation{{slices.MinFunc(allocations, compare).candidate, 1}}, true
	}
	slices.SortStableFunc(allocations, compare)
	remaining := len(u.tasks)
	for i := range allocations {
		allocations[i].members = min(allocations[i].members, remaining)
		remaining -= allocations[i].members
		if remaining == 0 {
			return allocations[:i+1], true
		}
	}
	return nil, false
}

// reserveCapacity withholds projected capacity from later units.
func (p *pass) reserveCapacity(u *unit, allocations []allocation) {
	p.reserved = true
	for _, a := range allocations {
		a.candidate.projected = a.candidate.projected.Sub(u.need.Times(a.members))
	}
}

// reserveWorkers reserves the workers that a waiting gang is estimated to get earliest. Later units may still
// use them if they end before the gang can start (backfill).
func (p *pass) reserveWorkers(u *unit, domains [][]*candidate) {
	var best []allocation
	bestAt := time.Duration(-1)
	for _, d := range domains {
		allocations, at := p.forecast(u, d)
		if allocations != nil && (bestAt < 0 || at < bestAt) {
			best, bestAt = allocations, at
		}
	}
	if best == nil || !p.mayReserve(u.pool, len(best)) {
		return
	}
	p.reservedWorkers[u.pool] += len(best)
	for _, a := range best {
		if a.candidate.reservedIn == 0 || bestAt < a.candidate.reservedIn {
			a.candidate.reservedIn = max(bestAt, 1)
		}
	}
}

// mayReserve reports whether a waiting gang may reserve n workers of a pool. Without a reservation a stream of single tasks could
// keep the first gang from ever starting, but reserved workers are idle for all that would not end in time: reservations for the
// gangs behind it must not take the pool from queues of lower priority.
func (p *pass) mayReserve(pool string, n int) bool {
	reserved := p.reservedWorkers[pool]
	return reserved == 0 || reservableDivisor*(reserved+n) <= len(p.pools[pool])
}

// forecast returns the allocations in which all members of a gang are estimated to fit earliest, and the time
// until then.
func (p *pass) forecast(u *unit, domain []*candidate) ([]allocation, time.Duration) {
	type release struct {
		at        time.Duration
		candidate *candidate
		need      Vector
	}
	var releases []release
	free := map[*candidate]Vector{}
	for _, c := range domain {
		if !u.mayUse(c) || c.reservedIn > 0 {
			continue
		}
		free[c] = c.projected
		for _, a := range c.Runs {
			if !a.Stopping {
				releases = append(releases, release{a.Remaining, c, a.Need})
			}
		}
	}
	p.visit(len(domain) + visitsPerRelease*len(releases))
	slices.SortStableFunc(releases, func(a, b release) int { return cmp.Compare(a.at, b.at) })
	fits := 0
	for _, c := range domain {
		if v, ok := free[c]; ok {
			fits += v.Fits(u.need, u.maxPerWorker(len(u.tasks)))
		}
	}
	at := time.Duration(0)
	for _, r := range releases {
		if fits >= len(u.tasks) {
			break
		}
		limit := u.maxPerWorker(len(u.tasks))
		before := free[r.candidate].Fits(u.need, limit)
		free[r.candidate] = free[r.candidate].Add(r.need)
		fits += free[r.candidate].Fits(u.need, limit) - before
		at = r.at
	}
	allocations, ok := u.pack(domain, func(c *candidate) Vector { return free[c] })
	if !ok {
		return nil, 0
	}
	return allocations, at
}
