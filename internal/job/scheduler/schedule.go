package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/job/allocator"
)

// lostWork returns the slot-seconds of work that are lost if a grant is reclaimed now.
func (s *State) lostWork(id allocator.GrantID) float64 {
	j := s.byGrant[id]
	if j == nil || j.Phase != Running && j.Phase != Checkpointing {
		return 0
	}
	since := s.now.Sub(j.CheckpointedAt).Seconds()
	if j.Spec.Checkpoint {
		since = min(since, s.manifest.Checkpoint.Std().Seconds())
	}
	return since * float64(j.totalSlots())
}

// remainingRuntime returns the estimated remaining run time of a job.
func (s *State) remainingRuntime(j *job) time.Duration {
	estimate := s.estimates.Estimate(j.Org, j.Spec.Service, j.Spec.Runtime.Std())
	return max(estimate-j.Progress, 0)
}

// expectedEnd returns when a grant is expected to be released. A job that has exceeded its estimate is expected
// to take half as long again as it has already run.
func (s *State) expectedEnd(id allocator.GrantID) time.Time {
	j := s.byGrant[id]
	if j == nil || j.CheckpointedAt.IsZero() {
		return s.now
	}
	end := j.CheckpointedAt.Add(s.remainingRuntime(j))
	if end.Before(s.now) {
		return s.now.Add(s.now.Sub(j.CheckpointedAt) / 2)
	}
	return end
}

// schedule starts the jobs that can start. If capacity has not changed since the last pass, only new jobs are
// tried, as the others did not fit then.
func (s *State) schedule() {
	if s.manifest == nil {
		return
	}
	s.removeLost()
	if !s.capacityChanged {
		s.placeNewJobs()
		return
	}
	for range maxPassesPerStep {
		if !s.capacityChanged {
			break
		}
		s.capacityChanged = false
		s.newJobs = nil
		s.pass()
	}
	s.nextPass = time.Time{}
	if len(s.waiting) > 0 {
		s.nextPass = s.now.Add(passInterval)
	}
}

func (s *State) placeNewJobs() {
	jobs := s.newJobs
	s.newJobs = nil
	slices.SortFunc(jobs, compareJobs)
	for _, j := range jobs {
		if j.Phase == Waiting && j.Grant == 0 && !s.now.Before(j.NotBefore) {
			s.place(j)
		}
	}
}

// placementKey holds the properties of a request that decide whether it can be placed in a given fleet. A pass
// tries only one of several jobs with the same key if that one does not fit.
type placementKey struct {
	org, service, place string
	tasks, slots        int
	adjacency           allocator.Adjacency
	reclaimable, evict  bool
}

func placementKeyOf(j *job) placementKey {
	return placementKey{
		org: j.Org, service: j.Spec.Service, place: j.Spec.Place, tasks: j.Spec.GangSize(), slots: j.Slots,
		adjacency: j.Spec.AllocatorAdjacency(), reclaimable: j.reclaimable(), evict: j.Spec.Urgent,
	}
}

// pass tries the waiting jobs of all organisations in scheduling order.
func (s *State) pass() {
	s.retryReservations()
	failed := map[placementKey]bool{}
	cursors := s.cursors()
	for {
		c := s.nextCursor(cursors)
		if c == nil {
			break
		}
		j := c.take()
		key := placementKeyOf(j)
		if j.Grant != 0 || j.Phase != Waiting || failed[key] || s.now.Before(j.NotBefore) {
			continue
		}
		if !s.place(j) && len(j.Avoid) == 0 {
			failed[key] = true
		}
	}
	s.reserveForLargeGangs()
}

// cursor iterates over the first waiting jobs of one organisation.
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

// nextCursor returns the organisation whose first job comes next: urgent jobs first, then the smallest share of
// the fleet, scaled down by the waiting time of the job.
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

// agedShare returns the organisation's share of slots relative to its guarantees, scaled down by the age of the
// job. Slots are derived from the dominant resource of a task, so this is the dominant share of
// dominant-resource fairness.
func (s *State) agedShare(org string, j *job) float64 {
	guaranteed := 1.0
	if o := s.manifest.Organisation(org); o != nil {
		for _, g := range o.Guarantees {
			guaranteed += float64(g.Count * g.Slots)
		}
	}
	share := float64(s.usedSlots[org]+1) / guaranteed
	age := s.now.Sub(j.Submitted)
	return share / (1 + float64(age)/float64(agingPeriod))
}

// place places one waiting job and starts it, or reclaims slots for it. It reports whether the job got a grant.
func (s *State) place(j *job) bool {
	q := s.request(j)
	if s.now.Sub(j.Queued) >= avoidPeriod {
		q.Avoid = nil
	}
	s.lastGrant++
	placed := s.fleet.Place(s.lastGrant, q)
	for _, id := range placed.Displaced {
		s.dropDisplaced(id)
	}
	if placed.Grant == nil {
		return false
	}
	s.bindGrant(j, placed.Grant)
	if placed.Grant.Ready {
		s.beginAttempt(j)
		return true
	}
	s.dequeue(j)
	j.Phase = Reclaiming
	s.record("job", j.ID, j.Org, "reclaiming capacity from %d jobs", len(placed.Victims))
	for _, id := range placed.Victims {
		s.reclaim(id, j)
	}
	return true
}

func (s *State) bindGrant(j *job, g *allocator.Grant) {
	j.Grant = g.ID
	s.byGrant[g.ID] = j
	s.usedSlots[j.Org] += g.SlotCount()
}

// dropDisplaced updates the job whose pending grant the allocator has already ended.
func (s *State) dropDisplaced(id allocator.GrantID) {
	j := s.byGrant[id]
	if j == nil {
		return
	}
	delete(s.byGrant, id)
	j.Grant = 0
	s.recountUsage(j.Org)
	if j.Phase == Reclaiming {
		s.requeue(j, "its reserved slots were given to a guarantee")
	}
}

// recountUsage recomputes the slots held by an organisation after the allocator ended one of its grants.
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
	delete(s.usedSlots, org)
	if total > 0 {
		s.usedSlots[org] = total
	}
}

// reclaim evicts a job from borrowed slots: with a checkpoint if the job supports it, else by stopping it.
func (s *State) reclaim(id allocator.GrantID, by *job) {
	j := s.byGrant[id]
	if j == nil {
		return
	}
	reason := "its slots were reclaimed for " + by.Org
	switch j.Phase {
	case Holding:
		s.withdraw(j)
		s.requeue(j, reason)
	case Running:
		if !j.Spec.Checkpoint {
			s.stopAttempt(j, causeEvicted, reason)
			break
		}
		s.checkpoint(j, reason, by.Spec.Urgent)
	case Checkpointing:
		if by.Spec.Urgent {
			s.setDeadline(j, earlierOf(j.Deadline, s.now.Add(urgentGrace)))
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
	s.markUnconfirmed(j)
	j.Reason = reason
	s.setDeadline(j, s.now.Add(grace))
	for rank, m := range j.Members {
		if !m.State.terminal() {
			s.emit(Checkpoint{j.part(rank)})
		}
	}
}

func earlierOf(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// retryReservations tries to place each job with a reservation before other jobs can take the freed slots, and
// renews the reservation if the job still does not fit.
func (s *State) retryReservations() {
	for _, id := range slices.Sorted(maps.Keys(s.byGrant)) {
		j := s.byGrant[id]
		if j == nil || j.Phase != Waiting {
			continue
		}
		s.release(j)
		if j.Phase == Waiting && !s.place(j) {
			s.reserve(j)
		}
	}
	s.capacityChanged = false
}

// reserveForLargeGangs makes reservations for the large gangs that have waited longest.
func (s *State) reserveForLargeGangs() {
	reservations := 0
	var large []*job
	for _, org := range slices.Sorted(maps.Keys(s.waiting)) {
		for _, j := range s.waiting[org] {
			switch {
			case j.Grant != 0:
				reservations++
			case j.reclaimable() && j.totalSlots() >= s.fleet.Geometry().Slots && s.now.Sub(j.Submitted) >= reservationDelay:
				large = append(large, j)
			}
		}
	}
	slices.SortFunc(large, compareJobs)
	for _, j := range large {
		if reservations >= maxReservations {
			return
		}
		if s.reserve(j) {
			reservations++
		}
	}
}

func (s *State) reserve(j *job) bool {
	s.lastGrant++
	q := s.request(j)
	q.Avoid = nil
	g := s.fleet.Reserve(s.lastGrant, q, s.expectedEnd, s.now)
	if g == nil {
		return false
	}
	s.bindGrant(j, g)
	if g.Ready {
		s.beginAttempt(j)
	}
	return true
}
