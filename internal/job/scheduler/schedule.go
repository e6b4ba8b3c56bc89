package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/job/allocator"
)

// lostWork returns the slot-seconds that are lost when a grant is taken back now.
func (s *State) lostWork(id allocator.GrantID) float64 {
	j := s.byGrant[id]
	if j == nil || j.Phase != Running && j.Phase != Checkpointing {
		return 0
	}
	since := s.now.Sub(j.SavedAt).Seconds()
	if j.Spec.Checkpoint {
		since = min(since, s.manifest.Checkpoint.Std().Seconds())
	}
	return since * float64(j.width())
}

// remaining returns the corrected estimate of the run time that a job still needs.
func (s *State) remaining(j *job) time.Duration {
	estimate := s.estimates.Estimate(j.Org, j.Spec.Service, j.Spec.Runtime.Std())
	return max(estimate-j.Progress, 0)
}

// endOf returns when a grant is expected to be released. Work that has outrun its estimate is
// expected to need half of the time it has run already.
func (s *State) endOf(id allocator.GrantID) time.Time {
	j := s.byGrant[id]
	if j == nil || j.SavedAt.IsZero() {
		return s.now
	}
	end := j.SavedAt.Add(s.remaining(j))
	if end.Before(s.now) {
		return s.now.Add(s.now.Sub(j.SavedAt) / 2)
	}
	return end
}

// schedule starts what can start. New jobs alone are tried when nothing was freed since the
// last pass, as the others have been tried with the same room.
func (s *State) schedule() {
	if s.manifest == nil {
		return
	}
	s.removeGone()
	if !s.freed {
		s.tryFresh()
		return
	}
	for range maxPasses {
		if !s.freed {
			break
		}
		s.freed = false
		s.fresh = nil
		s.pass()
	}
	s.nextPass = time.Time{}
	if len(s.waiting) > 0 {
		s.nextPass = s.now.Add(passInterval)
	}
}

func (s *State) tryFresh() {
	fresh := s.fresh
	s.fresh = nil
	slices.SortFunc(fresh, compareJobs)
	for _, j := range fresh {
		if j.Phase == Waiting && j.Grant == 0 && !s.now.Before(j.NotBefore) {
			s.place(j)
		}
	}
}

// signature is what decides whether a request can be placed, but for the state of the fleet.
type signature struct {
	org, service, place string
	tasks, slots        int
	adjacency           allocator.Adjacency
	reclaimable, evict  bool
}

func signatureOf(j *job) signature {
	return signature{
		org: j.Org, service: j.Spec.Service, place: j.Spec.Place, tasks: j.Spec.GangSize(), slots: j.Slots,
		adjacency: j.Spec.Closeness(), reclaimable: j.reclaimable(), evict: j.Spec.Urgent,
	}
}

// pass tries the waiting jobs of all organisations in the order of work.
func (s *State) pass() {
	s.retryClaims()
	failed := map[signature]bool{}
	cursors := s.cursors()
	for {
		c := s.nextCursor(cursors)
		if c == nil {
			break
		}
		j := c.take()
		sign := signatureOf(j)
		if j.Grant != 0 || j.Phase != Waiting || failed[sign] || s.now.Before(j.NotBefore) {
			continue
		}
		if !s.place(j) && len(j.Avoid) == 0 {
			failed[sign] = true
		}
	}
	s.claimForOldest()
}

// cursor walks over the first waiting jobs of one organisation.
type cursor struct {
	org   string
	queue []*job
}

func (c *cursor) take() *job {
	j := c.queue[0]
	c.queue = c.queue[1:]
	return j
}

func (s *State) cursors() []*cursor {
	var all []*cursor
	for _, org := range slices.Sorted(maps.Keys(s.waiting)) {
		queue := s.waiting[org]
		all = append(all, &cursor{org: org, queue: slices.Clone(queue[:min(len(queue), scanDepth)])})
	}
	return all
}

// nextCursor chooses the organisation whose first job comes next: urgent work first, then the
// smallest share of the fleet, scaled down by the time the job has waited.
func (s *State) nextCursor(cursors []*cursor) *cursor {
	var best *cursor
	bestUrgent, bestShare := false, 0.0
	for _, c := range cursors {
		if len(c.queue) == 0 {
			continue
		}
		j := c.queue[0]
		share := s.agedShare(c.org, j)
		if best == nil || j.Spec.Urgent && !bestUrgent || j.Spec.Urgent == bestUrgent && share < bestShare {
			best, bestUrgent, bestShare = c, j.Spec.Urgent, share
		}
	}
	return best
}

// agedShare is the organisation's share of slots. A slot already is the dominant resource of a
// task, so this is the dominant share of dominant-resource fairness.
func (s *State) agedShare(org string, j *job) float64 {
	promised := 1.0
	if o := s.manifest.Organisation(org); o != nil {
		for _, g := range o.Guarantees {
			promised += float64(g.Count * g.Slots)
		}
	}
	share := float64(s.usage[org]+1) / promised
	age := s.now.Sub(j.Submitted)
	return share / (1 + float64(age)/float64(ageScale))
}

// place looks for room for one waiting job and uses it.
func (s *State) place(j *job) bool {
	q := s.request(j)
	if s.now.Sub(j.Queued) >= avoidFor {
		q.Avoid = nil
	}
	s.lastGrant++
	placed := s.fleet.Place(s.lastGrant, q)
	for _, id := range placed.Displaced {
		s.displace(id)
	}
	if placed.Grant == nil {
		return false
	}
	s.grant(j, placed.Grant)
	if placed.Grant.Ready {
		s.begin(j)
		return true
	}
	s.dequeue(j)
	j.Phase = Reclaiming
	s.record("job", j.ID, j.Org, "takes back room from %d jobs", len(placed.Victims))
	for _, id := range placed.Victims {
		s.evict(id, j)
	}
	return true
}

func (s *State) grant(j *job, g *allocator.Grant) {
	j.Grant = g.ID
	s.byGrant[g.ID] = j
	s.usage[j.Org] += g.SlotCount()
}

// displace follows the loss of a waiting claim that the allocator has already ended.
func (s *State) displace(id allocator.GrantID) {
	j := s.byGrant[id]
	if j == nil {
		return
	}
	delete(s.byGrant, id)
	j.Grant = 0
	s.recountUsage(j.Org)
	if j.Phase == Reclaiming {
		s.requeue(j, "its room went to a guarantee")
	}
}

// recountUsage sums an organisation's grants anew after one ended inside the allocator.
func (s *State) recountUsage(org string) {
	total := 0
	for id, j := range s.byGrant {
		if j.Org != org {
			continue
		}
		if g := s.fleet.Grant(id); g != nil {
			total += g.SlotCount()
		}
	}
	delete(s.usage, org)
	if total > 0 {
		s.usage[org] = total
	}
}

// evict takes borrowed room back: by checkpoint where the job can, and by a stop otherwise.
func (s *State) evict(id allocator.GrantID, by *job) {
	j := s.byGrant[id]
	if j == nil {
		return
	}
	reason := "its room was taken back for " + by.Org
	switch j.Phase {
	case Holding:
		s.withdraw(j)
		s.requeue(j, reason)
	case Running:
		if !j.Spec.Checkpoint {
			s.stop(j, nextRequeue, reason)
			break
		}
		s.checkpoint(j, reason, by.Spec.Urgent)
	case Checkpointing:
		if by.Spec.Urgent {
			s.setDeadline(j, earlier(j.Deadline, s.now.Add(urgentGrace)))
		}
	case Waiting, Reclaiming, Stopping, Complete:
	}
}

func (s *State) checkpoint(j *job, reason string, urgent bool) {
	grace := s.manifest.Checkpoint.Std()
	if urgent {
		grace = min(grace, urgentGrace)
	}
	j.Phase = Checkpointing
	s.sent(j)
	j.Reason = reason
	s.setDeadline(j, s.now.Add(grace))
	for rank, m := range j.Members {
		if !m.State.terminal() {
			s.emit(Checkpoint{j.part(rank)})
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// retryClaims tries each job with a soft claim again, before others can take what came free,
// and renews the claim when there is still no room.
func (s *State) retryClaims() {
	for _, id := range slices.Sorted(maps.Keys(s.byGrant)) {
		j := s.byGrant[id]
		if j == nil || j.Phase != Waiting {
			continue
		}
		s.release(j)
		if j.Phase == Waiting && !s.place(j) {
			s.claim(j)
		}
	}
	s.freed = false
}

// claimForOldest gives a soft claim to the large gangs that have waited longest.
func (s *State) claimForOldest() {
	claims := 0
	var large []*job
	for _, org := range slices.Sorted(maps.Keys(s.waiting)) {
		for _, j := range s.waiting[org] {
			switch {
			case j.Grant != 0:
				claims++
			case j.reclaimable() && j.width() >= s.fleet.Shape().Slots && s.now.Sub(j.Submitted) >= claimAfter:
				large = append(large, j)
			}
		}
	}
	slices.SortFunc(large, compareJobs)
	for _, j := range large {
		if claims >= maxClaims {
			return
		}
		if s.claim(j) {
			claims++
		}
	}
}

func (s *State) claim(j *job) bool {
	s.lastGrant++
	q := s.request(j)
	q.Avoid = nil
	g := s.fleet.Claim(s.lastGrant, q, s.endOf, s.now)
	if g == nil {
		return false
	}
	s.grant(j, g)
	if g.Ready {
		s.begin(j)
	}
	return true
}
