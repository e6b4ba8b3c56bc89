package placer

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// seat is a number of members of a gang on one worker.
type seat struct {
	spot    *spot
	members int
}

// maxClaims bounds the waiting gangs of a pass that keep room from later units.
const maxClaims = 6

// placeGang starts a gang whole, makes room for it when it is urgent, or reserves room for it.
func (p *pass) placeGang(u *unit) {
	domains := p.domains(u)
	if seats := p.choose(u, domains, func(s *spot) Vector { return s.usable(u) }); seats != nil {
		task := 0
		for _, seat := range seats {
			for range seat.members {
				p.start(u, u.tasks[task], seat.spot)
				task++
			}
		}
		return
	}
	if seats := p.choose(u, domains, func(s *spot) Vector { return s.soon }); seats != nil {
		// Stops that are under way make the room.
		reserve(u, seats)
		return
	}
	if u.urgent && p.evict(u, domains) {
		return
	}
	if p.claims < maxClaims {
		p.claim(u, domains)
	}
}

// usable returns what a unit may take of a worker now.
func (s *spot) usable(u *unit) Vector {
	if s.heldUntil > 0 && u.estimate > s.heldUntil {
		return Vector{}
	}
	// What is promised out of the room that stops will free must not be taken from the free room.
	return Vector{
		Processors:   min(s.free.Processors, s.soon.Processors),
		Memory:       min(s.free.Memory, s.soon.Memory),
		Accelerators: min(s.free.Accelerators, s.soon.Accelerators),
	}
}

// domains returns the sets of workers that a gang may be placed in, the better ones first. A gang
// that is slow across racks gets single racks, and all of the pool only if it can't fit into a rack.
func (p *pass) domains(u *unit) [][]*spot {
	pool := p.pools[u.pool]
	if !u.step.Spec.GetCompact() {
		return [][]*spot{pool}
	}
	var racks [][]*spot
	prefix := u.pool + "\x00"
	for _, key := range slices.Sorted(maps.Keys(p.racks)) {
		if len(key) > len(prefix) && key[:len(prefix)] == prefix && u.couldFit(p.racks[key]) {
			racks = append(racks, p.racks[key])
		}
	}
	if len(racks) == 0 {
		return [][]*spot{pool}
	}
	return racks
}

// couldFit reports whether a gang fits into a set of workers when they are empty.
func (u *unit) couldFit(spots []*spot) bool {
	left := len(u.tasks)
	for _, s := range spots {
		if u.suits(s.Worker) {
			left -= s.Capacity.Fits(u.need, u.perWorker(left))
		}
	}
	return left <= 0
}

// perWorker returns how many of n tasks may run on one worker.
func (u *unit) perWorker(n int) int {
	if spread := int(u.step.Spec.GetSpread()); spread > 0 {
		return min(n, spread)
	}
	return n
}

// choose returns seats for all members in the domain that they leave the least room in, nil when
// no domain has room.
func (p *pass) choose(u *unit, domains [][]*spot, room func(*spot) Vector) []seat {
	var best []seat
	bestLeft := int64(-1)
	for _, d := range domains {
		seats, ok := u.fill(d, room)
		if !ok {
			continue
		}
		left := int64(0)
		for _, s := range d {
			left += room(s).Weight()
		}
		if u.dataAway(seats) {
			left += farPenalty
		}
		if bestLeft < 0 || left < bestLeft {
			best, bestLeft = seats, left
		}
	}
	return best
}

// farPenalty makes a domain away from the data lose against any that holds it.
const farPenalty = int64(1) << 40

func (u *unit) dataAway(seats []seat) bool {
	rack := u.step.Spec.GetRack()
	return rack != "" && slices.ContainsFunc(seats, func(s seat) bool { return s.spot.Rack != rack })
}

// fill seats all members in one domain, on the workers that they leave the least room on.
func (u *unit) fill(domain []*spot, room func(*spot) Vector) ([]seat, bool) {
	var seats []seat
	for _, s := range domain {
		if !u.suits(s.Worker) {
			continue
		}
		if n := room(s).Fits(u.need, u.perWorker(len(u.tasks))); n > 0 {
			seats = append(seats, seat{s, n})
		}
	}
	rack := u.step.Spec.GetRack()
	slices.SortStableFunc(seats, func(a, b seat) int {
		return cmp.Or(
			compareBool(a.spot.Suspect, b.spot.Suspect),
			compareBool(rack != "" && a.spot.Rack != rack, rack != "" && b.spot.Rack != rack),
			cmp.Compare(room(a.spot).Weight(), room(b.spot).Weight()),
		)
	})
	left := len(u.tasks)
	for i := range seats {
		seats[i].members = min(seats[i].members, left)
		left -= seats[i].members
		if left == 0 {
			return seats[:i+1], true
		}
	}
	return nil, false
}

// reserve takes room that is not free yet from later units.
func reserve(u *unit, seats []seat) {
	for _, s := range seats {
		s.spot.soon = s.spot.soon.Sub(u.need.Times(s.members))
	}
}

// claim keeps later units that would end too late from the workers that a waiting gang will get
// first by the estimates.
func (p *pass) claim(u *unit, domains [][]*spot) {
	var best []seat
	bestAt := time.Duration(-1)
	for _, d := range domains {
		seats, at := u.forecast(d)
		if seats != nil && (bestAt < 0 || at < bestAt) {
			best, bestAt = seats, at
		}
	}
	if best == nil {
		return
	}
	p.claims++
	for _, s := range best {
		if s.spot.heldUntil == 0 || bestAt < s.spot.heldUntil {
			s.spot.heldUntil = max(bestAt, 1)
		}
	}
}

// forecast returns where all members of a gang have room first, and after what time.
func (u *unit) forecast(domain []*spot) ([]seat, time.Duration) {
	type moment struct {
		at   time.Duration
		spot *spot
		need Vector
	}
	var moments []moment
	room := map[*spot]Vector{}
	for _, s := range domain {
		if !u.suits(s.Worker) || s.heldUntil > 0 {
			continue
		}
		room[s] = s.soon
		for _, a := range s.Runs {
			if !a.Stopping {
				moments = append(moments, moment{a.Remaining, s, a.Need})
			}
		}
	}
	slices.SortStableFunc(moments, func(a, b moment) int { return cmp.Compare(a.at, b.at) })
	fits := 0
	for _, s := range domain {
		if v, ok := room[s]; ok {
			fits += v.Fits(u.need, u.perWorker(len(u.tasks)))
		}
	}
	at := time.Duration(0)
	for _, m := range moments {
		if fits >= len(u.tasks) {
			break
		}
		limit := u.perWorker(len(u.tasks))
		before := room[m.spot].Fits(u.need, limit)
		room[m.spot] = room[m.spot].Add(m.need)
		fits += room[m.spot].Fits(u.need, limit) - before
		at = m.at
	}
	seats, ok := u.fill(domain, func(s *spot) Vector { return room[s] })
	if !ok {
		return nil, 0
	}
	return seats, at
}
