package runner

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/state/replicator"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/registrar"
)

// repairGroup repairs the membership of nine replicas, three of which are the first voters, at each interval of a leader.
type repairGroup struct {
	now      time.Time
	repair   *repairer
	members  *messages.Members
	identity map[string]string // of the replicas that run
	learners []string          // of the membership before, which have caught up
}

func newRepairGroup() *repairGroup {
	g := &repairGroup{now: time.Unix(1000, 0), repair: newRepairer(5, 3500*time.Millisecond, 0), members: &messages.Members{}, identity: map[string]string{}}
	for i := range 9 {
		name := fmt.Sprintf("k%d", i)
		g.identity[name] = "first-disk"
		if i < 3 {
			g.members.Voters = append(g.members.Voters, &messages.Member{Name: name})
		}
	}
	g.elect()
	return g
}

// elect makes another replica the leader.
func (g *repairGroup) elect() { g.repair.termStart = g.now }

func (g *repairGroup) step() {
	g.now = g.now.Add(leaderInterval)
	var seen []registrar.KeeperStatus
	for i := range 9 {
		name := fmt.Sprintf("k%d", i)
		if id := g.identity[name]; id != "" {
			seen = append(seen, registrar.KeeperStatus{Name: name, Identity: id, Last: g.now})
		}
	}
	next := g.repair.next(g.members, group{now: g.now, seen: seen, caughtUp: g.learners})
	g.learners = nil
	if next != nil {
		g.members = next
	}
	for _, l := range g.members.GetLearners() {
		if g.identity[l.GetName()] == l.GetIdentity() {
			g.learners = append(g.learners, l.GetName())
		}
	}
}

// soundVoters counts the voters that run with the disk that they had.
func (g *repairGroup) soundVoters() int {
	n := 0
	for _, v := range g.members.GetVoters() {
		if id := g.identity[v.GetName()]; id != "" && (v.GetIdentity() == id || v.GetIdentity() == "" && id == "first-disk") {
			n++
		}
	}
	return n
}

// until steps until a condition holds and returns the time that it took.
func (g *repairGroup) until(t *testing.T, ok func() bool) time.Duration {
	t.Helper()
	start := g.now
	for !ok() {
		if g.now.Sub(start) > time.Minute {
			t.Fatalf("not reached within a minute: %v", g.members)
		}
		g.step()
	}
	return g.now.Sub(start)
}

// TestFirstGroupGrowsAtOnce starts a group whose first members are fewer than the target. It lost acknowledged entries if
// two disks were lost before it had grown, which took eleven changes in a row.
func TestFirstGroupGrowsAtOnce(t *testing.T) {
	g := newRepairGroup()
	if took := g.until(t, func() bool { return g.soundVoters() == 5 }); took > time.Second {
		t.Errorf("the group had five voters after %s, want 1 s", took)
	}
}

// TestLostLearnersDoNotDelayRepair wipes two voters and two learners. The repair of the voters waited until the learners
// were removed and taken in again, one by one.
func TestLostLearnersDoNotDelayRepair(t *testing.T) {
	g := newRepairGroup()
	g.until(t, func() bool { return g.soundVoters() == 5 && len(g.members.GetLearners()) == 4 })
	for range 20 {
		g.step()
	}
	voters := g.members.GetVoters()
	g.identity[voters[0].GetName()], g.identity[voters[1].GetName()] = "second", "second"
	for _, l := range g.members.GetLearners()[:2] {
		g.identity[l.GetName()] = "second"
	}
	if took := g.until(t, func() bool { return g.soundVoters() == 5 && len(g.members.GetVoters()) == 5 }); took > 1250*time.Millisecond {
		t.Errorf("the group had five sound voters after %s, want 1.25 s", took)
	}
}

// TestWipedFirstVoterIsReplaced replaces the disk of a first voter before its identity was recorded. The new disk was taken
// for that of the voter, whose votes and entries it lacks.
func TestWipedFirstVoterIsReplaced(t *testing.T) {
	g := newRepairGroup()
	g.identity["k1"] = "second"
	g.step()
	if v := replicator.FindMember(g.members, "k1"); v.GetIdentity() != "" {
		t.Fatalf("identity %q was recorded for a voter that lost its disk", v.GetIdentity())
	}
	g.until(t, func() bool { return g.soundVoters() == 5 && len(g.members.GetVoters()) == 5 })
}
