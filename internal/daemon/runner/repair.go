package runner

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellgauge/bluebellgauge/internal/state/replicator"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/registrar"
)

// repairer decides how the membership should change, one step at a time.
type repairer struct {
	voters int           // wanted
	after  time.Duration // without a beat until a keeper counts as gone
	term   uint64
	began  time.Time // of the term, as seen here
}

func newRepairer(voters int, after time.Duration) *repairer {
	return &repairer{voters: voters, after: after}
}

// next returns the membership to propose, nil when nothing is to be done. In this order: identities
// of voters are noted at their first beat, standby keepers become learners, a caught-up learner is
// promoted when a voter is gone, and only then the gone voter is removed. So a second loss right
// after a repair finds a whole quorum. A voter whose disk was replaced is removed when there is no
// learner to take its place.
func (r *repairer) next(now time.Time, m *messages.Members, seen []registrar.KeeperSeen, caughtUp []string) *messages.Members {
	m = proto.Clone(m).(*messages.Members)
	if noteIdentity(m, seen) || r.dropLearner(now, m, seen) || addLearner(now, r.after, m, seen) {
		return m
	}
	gone := slices.IndexFunc(m.GetVoters(), func(k *messages.Member) bool { return r.isGone(now, k, seen) })
	if gone >= 0 && len(m.GetVoters()) > r.voters {
		m.Voters = slices.Delete(m.Voters, gone, gone+1)
		return m
	}
	if (gone >= 0 || len(m.GetVoters()) < r.voters) && r.promote(now, m, seen, caughtUp) {
		return m
	}
	replaced := slices.IndexFunc(m.GetVoters(), func(k *messages.Member) bool { return isReplaced(k, seen) })
	if replaced >= 0 && len(m.GetVoters()) >= r.voters && r.voters > 1 {
		// Its vote is lost with its disk; the others need each other with it or without it, and
		// only without it can the new disk come in as a learner.
		m.Voters = slices.Delete(m.Voters, replaced, replaced+1)
		return m
	}
	return nil
}

// isReplaced reports whether a daemon of the member's name has another data folder.
func isReplaced(k *messages.Member, seen []registrar.KeeperSeen) bool {
	s := find(seen, k.GetName())
	return s != nil && k.GetIdentity() != "" && s.Identity != k.GetIdentity()
}

// promote makes a learner that is caught up and alive a voter.
func (r *repairer) promote(now time.Time, m *messages.Members, seen []registrar.KeeperSeen, caughtUp []string) bool {
	for i, k := range m.GetLearners() {
		if slices.Contains(caughtUp, k.GetName()) && !r.isGone(now, k, seen) {
			m.Voters = append(m.Voters, k)
			m.Learners = slices.Delete(m.Learners, i, i+1)
			return true
		}
	}
	return false
}

func find(seen []registrar.KeeperSeen, name string) *registrar.KeeperSeen {
	for i := range seen {
		if seen[i].Name == name {
			return &seen[i]
		}
	}
	return nil
}

// isGone reports whether a member has not been heard for the bound. A daemon of its name with
// another data folder is not the member.
func (r *repairer) isGone(now time.Time, k *messages.Member, seen []registrar.KeeperSeen) bool {
	last := r.began
	if s := find(seen, k.GetName()); s != nil && !isReplaced(k, seen) && s.Last.After(last) {
		last = s.Last
	}
	return now.Sub(last) > r.after
}

func noteIdentity(m *messages.Members, seen []registrar.KeeperSeen) bool {
	for _, k := range m.GetVoters() {
		if s := find(seen, k.GetName()); k.GetIdentity() == "" && s != nil {
			k.Identity = s.Identity
			return true
		}
	}
	return false
}

func (r *repairer) dropLearner(now time.Time, m *messages.Members, seen []registrar.KeeperSeen) bool {
	gone := slices.IndexFunc(m.GetLearners(), func(k *messages.Member) bool { return r.isGone(now, k, seen) })
	if gone >= 0 {
		m.Learners = slices.Delete(m.Learners, gone, gone+1)
	}
	return gone >= 0
}

func addLearner(now time.Time, after time.Duration, m *messages.Members, seen []registrar.KeeperSeen) bool {
	for _, s := range seen {
		if replicator.FindMember(m, s.Name) != nil || now.Sub(s.Last) > after {
			continue
		}
		m.Learners = append(m.Learners, &messages.Member{Name: s.Name, Place: s.Place, Address: s.Address, Identity: s.Identity})
		return true
	}
	return false
}

// repairMembers takes one step towards a whole membership.
func (p *replica) repairMembers(ctx context.Context, term uint64) {
	status, err := p.status(ctx)
	if err != nil || !status.Lease || status.Term != term {
		return
	}
	now := time.Now()
	if p.repair.term != term {
		p.repair.term, p.repair.began = term, now
	}
	next := p.repair.next(now, status.Members, p.server.KeepersSeen(term), status.CaughtUp)
	if next == nil {
		return
	}
	err = p.applier.ChangeMembers(ctx, next)
	if errors.Is(err, replicator.ErrChangePending) {
		return
	}
	p.log.Info("membership changes", zap.Int("voters", len(next.GetVoters())), zap.Int("learners", len(next.GetLearners())), zap.Error(err))
}
