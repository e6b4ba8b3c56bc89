package runner

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellgauge/bluebellgauge/internal/state/applier"
	"github.com/bluebellgauge/bluebellgauge/internal/state/persister"
	"github.com/bluebellgauge/bluebellgauge/internal/state/replicator"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/registrar"
)

// repairPollInterval is the time between the looks for the commit of a membership change. The steps of a replacement follow
// each other without a pause, as the group tolerates one loss less until the last one is committed.
const repairPollInterval = 10 * time.Millisecond

// repairer plans membership changes, one at a time.
type repairer struct {
	voters       int           // target number of voters
	timeout      time.Duration // without a heartbeat until a member counts as unavailable
	replaceAfter time.Duration // without an acknowledgement until a learner replaces a voter; 0 means that only timeout counts
	term         uint64
	termStart    time.Time // when this replica first planned a repair in the term
}

func newRepairer(voters int, timeout, replaceAfter time.Duration) *repairer {
	return &repairer{voters: voters, timeout: timeout, replaceAfter: replaceAfter}
}

// group is what the leader knows of the other keepers.
type group struct {
	now      time.Time
	seen     []registrar.KeeperStatus
	caughtUp []string
	voters   []applier.VoterStatus
}

// next returns the membership to propose, or nil if no change is needed. One membership contains all changes that are due
// except those of voters, which change one at a time: a caught-up learner is promoted if a voter is to be replaced or is
// missing, and only then the voter that it replaces is removed. A second failure right after a repair therefore still leaves
// a quorum. A voter whose disk was replaced is removed if no learner can replace it.
func (r *repairer) next(m *messages.Members, g group) *messages.Members {
	m = proto.Clone(m).(*messages.Members)
	changed := recordIdentities(m, g.seen)
	changed = r.updateLearners(m, g) || changed
	changed = r.changeVoter(m, g) || changed
	if !changed {
		return nil
	}
	return m
}

// doubt says why a voter is to be replaced. Those with larger values are removed first.
type doubt int

const (
	sound        doubt = iota
	leaving            // its daemon stops; until it has, it still votes
	silent             // it does not answer, but may return with all that it stored
	diskReplaced       // its votes and entries are lost
)

// doubtAbout returns the strongest reason to replace a voter. A lost disk and a stop are known at once, and count without a
// timeout: with the voter's next heartbeat, or its next acknowledgement.
func (r *repairer) doubtAbout(v *messages.Member, g group) doubt {
	if isDiskReplaced(v, g.seen) {
		return diskReplaced
	}
	i := slices.IndexFunc(g.voters, func(s applier.VoterStatus) bool { return s.Name == v.GetName() })
	if r.isUnavailable(g.now, v, g.seen) || i >= 0 && r.replaceAfter > 0 && g.voters[i].Silence > r.replaceAfter {
		return silent
	}
	if s := findReplica(g.seen, v.GetName()); s != nil && s.Leaving || i >= 0 && g.voters[i].Leaving {
		return leaving
	}
	return sound
}

// mostDoubtful returns the index of the voter to replace first and why, or sound if there is none.
func (r *repairer) mostDoubtful(m *messages.Members, g group) (index int, reason doubt) {
	for i, v := range m.GetVoters() {
		if d := r.doubtAbout(v, g); d > reason {
			index, reason = i, d
		}
	}
	return index, reason
}

// changeVoter adds or removes at most one voter.
func (r *repairer) changeVoter(m *messages.Members, g group) bool {
	worst, reason := r.mostDoubtful(m, g)
	if reason > sound && len(m.GetVoters()) > r.voters {
		m.Voters = slices.Delete(m.Voters, worst, worst+1)
		return true
	}
	if excess := r.excessVoter(m, g); reason == sound && excess >= 0 {
		m.Voters = slices.Delete(m.Voters, excess, excess+1)
		return true
	}
	if (reason > sound || len(m.GetVoters()) < r.voters) && r.promoteLearner(m, g) {
		return true
	}
	if reason == diskReplaced && len(m.GetVoters()) >= r.voters && r.voters > 1 {
		// Its vote is lost with its disk, so that the quorum needs the same other voters with or without it. The
		// replica can only rejoin, as a learner, once it has been removed.
		m.Voters = slices.Delete(m.Voters, worst, worst+1)
		return true
	}
	return false
}

// excessVoter returns the index of the voter that was added last if one was promoted for a voter that is sound again, or -1. An even
// number of voters needs a larger quorum and bears no more losses than one less.
func (r *repairer) excessVoter(m *messages.Members, g group) int {
	if len(m.GetVoters()) <= r.voters || len(m.GetVoters())%2 > 0 {
		return -1
	}
	for i, v := range slices.Backward(m.GetVoters()) {
		if slices.ContainsFunc(g.voters, func(s applier.VoterStatus) bool { return s.Name == v.GetName() }) {
			return i // not this replica, which leads
		}
	}
	return -1
}

// isDiskReplaced reports whether the daemon with the member's name has another data folder than the member.
func isDiskReplaced(m *messages.Member, seen []registrar.KeeperStatus) bool {
	s := findReplica(seen, m.GetName())
	if s != nil && m.GetIdentity() == "" {
		return !persister.IsFirst(s.Identity)
	}
	return s != nil && s.Identity != m.GetIdentity()
}

// promoteLearner makes a voter of the first learner that is caught up, available and does not leave.
func (r *repairer) promoteLearner(m *messages.Members, g group) bool {
	for i, l := range m.GetLearners() {
		s := findReplica(g.seen, l.GetName())
		if slices.Contains(g.caughtUp, l.GetName()) && !r.isUnavailable(g.now, l, g.seen) && (s == nil || !s.Leaving) {
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

// updateLearners removes learners that are unavailable or have lost their disk, and adds standby replicas that do not leave. A
// learner that has lost its disk is added again by a later change, so that the leader forgets what the disk held.
func (r *repairer) updateLearners(m *messages.Members, g group) bool {
	var added []*messages.Member
	for _, s := range g.seen {
		if replicator.FindMember(m, s.Name) == nil && !s.Leaving && g.now.Sub(s.Last) <= r.timeout {
			added = append(added, &messages.Member{Name: s.Name, Place: s.Place, Address: s.Address, Identity: s.Identity})
		}
	}
	before := len(m.GetLearners())
	m.Learners = slices.DeleteFunc(m.GetLearners(), func(l *messages.Member) bool {
		return r.isUnavailable(g.now, l, g.seen) || isDiskReplaced(l, g.seen)
	})
	changed := len(added) > 0 || len(m.GetLearners()) < before
	m.Learners = append(m.Learners, added...)
	return changed
}

// repairMembership proposes the membership changes that are due, if this replica is the leader of the term. It waits for their
// commits for as long as the interval between two calls.
func (p *replica) repairMembership(ctx context.Context, term uint64) {
	for end := time.Now().Add(leaderInterval); p.changeMembership(ctx, term) && time.Now().Before(end); {
		select {
		case <-ctx.Done():
			return
		case <-time.After(repairPollInterval):
		}
	}
}

// changeMembership proposes the next membership change, and reports whether it is in progress or another one is.
func (p *replica) changeMembership(ctx context.Context, term uint64) bool {
	status, err := p.status(ctx)
	if err != nil || !status.Lease || status.Term != term {
		return false
	}
	now := time.Now()
	if p.repair.term != term {
		p.repair.term, p.repair.termStart = term, now
	}
	next := p.repair.next(status.Members, group{now: now, seen: p.server.Keepers(term), caughtUp: status.CaughtUp, voters: status.Voters})
	if next == nil {
		return false
	}
	err = p.applier.ChangeMembers(ctx, term, next)
	if errors.Is(err, replicator.ErrChangePending) {
		return true
	}
	p.log.Info("membership change", zap.Int("voters", len(next.GetVoters())), zap.Int("learners", len(next.GetLearners())), zap.Error(err))
	return err == nil
}
