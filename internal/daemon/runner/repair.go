package runner

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellgauge/bluebellgauge/internal/state/persister"
	"github.com/bluebellgauge/bluebellgauge/internal/state/replicator"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/registrar"
)

// repairer plans membership changes, one at a time.
type repairer struct {
	voters    int           // target number of voters
	timeout   time.Duration // without a heartbeat until a member counts as unavailable
	term      uint64
	termStart time.Time // when this replica first planned a repair in the term
}

func newRepairer(voters int, timeout time.Duration) *repairer {
	return &repairer{voters: voters, timeout: timeout}
}

// next returns the membership to propose, or nil if no change is needed. One membership contains all changes that are due
// except those of voters, which change one at a time: a caught-up learner is promoted if a voter is unavailable or missing,
// and only then the unavailable voter is removed. A second failure right after a repair therefore still leaves a quorum.
// A voter whose disk was replaced is removed if no learner can replace it.
func (r *repairer) next(now time.Time, m *messages.Members, seen []registrar.KeeperStatus, caughtUp []string) *messages.Members {
	m = proto.Clone(m).(*messages.Members)
	changed := recordIdentities(m, seen)
	changed = r.updateLearners(now, m, seen) || changed
	changed = r.changeVoter(now, m, seen, caughtUp) || changed
	if !changed {
		return nil
	}
	return m
}

// changeVoter adds or removes at most one voter.
func (r *repairer) changeVoter(now time.Time, m *messages.Members, seen []registrar.KeeperStatus, caughtUp []string) bool {
	unavailable := slices.IndexFunc(m.GetVoters(), func(v *messages.Member) bool { return r.isUnavailable(now, v, seen) })
	if unavailable >= 0 && len(m.GetVoters()) > r.voters {
		m.Voters = slices.Delete(m.Voters, unavailable, unavailable+1)
		return true
	}
	if (unavailable >= 0 || len(m.GetVoters()) < r.voters) && r.promoteLearner(now, m, seen, caughtUp) {
		return true
	}
	replaced := slices.IndexFunc(m.GetVoters(), func(v *messages.Member) bool { return isDiskReplaced(v, seen) })
	if replaced >= 0 && len(m.GetVoters()) >= r.voters && r.voters > 1 {
		// Its vote is lost with its disk, so that the quorum needs the same other voters with or without it. The
		// replica can only rejoin, as a learner, once it has been removed.
		m.Voters = slices.Delete(m.Voters, replaced, replaced+1)
		return true
	}
	return false
}

// isDiskReplaced reports whether the daemon with the member's name has another data folder than the member.
func isDiskReplaced(m *messages.Member, seen []registrar.KeeperStatus) bool {
	s := findReplica(seen, m.GetName())
	if s != nil && m.GetIdentity() == "" {
		return !persister.IsFirst(s.Identity)
	}
	return s != nil && s.Identity != m.GetIdentity()
}

// promoteLearner makes a voter of the first learner that is caught up and available.
func (r *repairer) promoteLearner(now time.Time, m *messages.Members, seen []registrar.KeeperStatus, caughtUp []string) bool {
	for i, l := range m.GetLearners() {
		if slices.Contains(caughtUp, l.GetName()) && !r.isUnavailable(now, l, seen) {
			m.Voters = append(m.Voters, l)
			m.Learners = slices.Delete(m.Learners, i, i+1)
			return true
		}
	}
	return false
}

func findReplica(seen []registrar.KeeperStatus, name string) *registrar.KeeperStatus {
	for i := range seen {
		if seen[i].Name == name {
			return &seen[i]
		}
	}
	return nil
}

// isUnavailable reports whether the last contact with a member is longer ago than the timeout. A daemon with the
// member's name and another data folder does not count as the member.
func (r *repairer) isUnavailable(now time.Time, m *messages.Member, seen []registrar.KeeperStatus) bool {
	last := r.termStart
	if s := findReplica(seen, m.GetName()); s != nil && !isDiskReplaced(m, seen) && s.Last.After(last) {
		last = s.Last
	}
	return now.Sub(last) > r.timeout
}

// recordIdentities records the identities of voters at their first heartbeats.
func recordIdentities(m *messages.Members, seen []registrar.KeeperStatus) bool {
	changed := false
	for _, v := range m.GetVoters() {
		if s := findReplica(seen, v.GetName()); v.GetIdentity() == "" && s != nil && !isDiskReplaced(v, seen) {
			v.Identity = s.Identity
			changed = true
		}
	}
	return changed
}

// updateLearners removes learners that are unavailable or have lost their disk, and adds standby replicas. A learner that
// has lost its disk is added again by a later change, so that the leader forgets what the disk held.
func (r *repairer) updateLearners(now time.Time, m *messages.Members, seen []registrar.KeeperStatus) bool {
	var added []*messages.Member
	for _, s := range seen {
		if replicator.FindMember(m, s.Name) == nil && now.Sub(s.Last) <= r.timeout {
			added = append(added, &messages.Member{Name: s.Name, Place: s.Place, Address: s.Address, Identity: s.Identity})
		}
	}
	before := len(m.GetLearners())
	m.Learners = slices.DeleteFunc(m.GetLearners(), func(l *messages.Member) bool {
		return r.isUnavailable(now, l, seen) || isDiskReplaced(l, seen)
	})
	changed := len(added) > 0 || len(m.GetLearners()) < before
	m.Learners = append(m.Learners, added...)
	return changed
}

// repairMembership proposes the next membership change, if this replica is the leader of the term.
func (p *replica) repairMembership(ctx context.Context, term uint64) {
	status, err := p.status(ctx)
	if err != nil || !status.Lease || status.Term != term {
		return
	}
	now := time.Now()
	if p.repair.term != term {
		p.repair.term, p.repair.termStart = term, now
	}
	next := p.repair.next(now, status.Members, p.server.Keepers(term), status.CaughtUp)
	if next == nil {
		return
	}
	err = p.applier.ChangeMembers(ctx, term, next)
	if errors.Is(err, replicator.ErrChangePending) {
		return
	}
	p.log.Info("membership change", zap.Int("voters", len(next.GetVoters())), zap.Int("learners", len(next.GetLearners())), zap.Error(err))
}
