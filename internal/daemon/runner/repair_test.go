package runner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bluebellgauge/bluebellgauge/internal/state/applier"
	"github.com/bluebellgauge/bluebellgauge/internal/state/replicator"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/registrar"
)

// TestRepairSteps applies the steps of the repair to replicas that start, stop and lose their disks at random. No
// step may change more than one voter, leave too few voters or promote a learner that is not caught up.
func TestRepairSteps(t *testing.T) {
	const timeout = time.Minute
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		r := newRepairer(3, timeout, 0)
		r.termStart = now
		m := &messages.Members{}
		for i := range 3 {
			m.Voters = append(m.Voters, &messages.Member{Name: fmt.Sprintf("k%d", i)})
		}
		seen := map[string]registrar.KeeperStatus{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "seconds")) * time.Second)
			for i := range 6 {
				name := fmt.Sprintf("k%d", i)
				if rapid.IntRange(0, 3).Draw(t, "beats") > 0 {
					seen[name] = registrar.KeeperStatus{Name: name, Identity: rapid.SampledFrom([]string{"first-disk", "new"}).Draw(t, "disk"), Last: now}
				}
			}
			var list []registrar.KeeperStatus
			var caughtUp []string
			for i := range 6 {
				name := fmt.Sprintf("k%d", i)
				if s, ok := seen[name]; ok {
					list = append(list, s)
				}
				if rapid.Bool().Draw(t, "caught up") {
					caughtUp = append(caughtUp, name)
				}
			}
			next := r.next(m, group{now: now, seen: list, caughtUp: caughtUp})
			if next == nil {
				continue
			}
			checkStep(t, m, next, list, caughtUp)
			m = next
		}
	})
}

func checkStep(t *rapid.T, before, after *messages.Members, seen []registrar.KeeperStatus, caughtUp []string) {
	oldVoters, newVoters := voterSet(before), voterSet(after)
	changed := 0
	for _, v := range before.GetVoters() {
		if newVoters[v.GetName()] {
			continue
		}
		changed++
		if len(oldVoters) <= 3 && !isDiskReplaced(v, seen) {
			t.Fatalf("%s was removed from %v although its disk was not replaced", v.GetName(), oldVoters)
		}
	}
	for name := range newVoters {
		if oldVoters[name] {
			continue
		}
		changed++
		found := false
		for _, c := range caughtUp {
			found = found || c == name
		}
		if !found {
			t.Fatalf("%s was promoted but is not caught up", name)
		}
		if isDiskReplaced(replicator.FindMember(after, name), seen) {
			t.Fatalf("%s was promoted but its disk was replaced", name)
		}
	}
	if changed > 1 || len(newVoters) < 2 || len(newVoters) > 4 {
		t.Fatalf("voters changed from %v to %v", oldVoters, newVoters)
	}
}

func voterSet(m *messages.Members) map[string]bool {
	names := map[string]bool{}
	for _, v := range m.GetVoters() {
		names[v.GetName()] = true
	}
	return names
}

func TestWipedVoterIsUnavailable(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := newRepairer(3, time.Minute, 0)
	r.termStart = now.Add(-time.Hour)
	voter := &messages.Member{Name: "k0", Identity: "old"}
	is.True(r.isUnavailable(now, voter, []registrar.KeeperStatus{{Name: "k0", Identity: "new", Last: now}}))
	is.True(!r.isUnavailable(now, voter, []registrar.KeeperStatus{{Name: "k0", Identity: "old", Last: now}}))
}

// TestWipedLearnerIsNotPromoted replaces the disk of a learner right after it has caught up. The leader counts what the old
// disk held as stored, so that an entry could be acknowledged on fewer disks than a quorum.
func TestWipedLearnerIsNotPromoted(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := newRepairer(2, time.Minute, 0)
	r.termStart = now
	m := &messages.Members{
		Voters:   []*messages.Member{{Name: "k0", Identity: "first"}},
		Learners: []*messages.Member{{Name: "k1", Identity: "old"}},
	}
	seen := []registrar.KeeperStatus{{Name: "k0", Identity: "first", Last: now}, {Name: "k1", Identity: "new", Last: now}}
	next := r.next(m, group{now: now, seen: seen, caughtUp: []string{"k1"}})
	is.Equal(len(next.GetVoters()), 1)
	is.Equal(len(next.GetLearners()), 0) // it is added again by the next change
	next = r.next(next, group{now: now, seen: seen})
	is.Equal(next.GetLearners()[0].GetIdentity(), "new")
}

// TestLostDiskOfVoterCountsAtOnce replaces a voter's disk just before a leader is elected. A new leader waited for the time without
// a heartbeat, although the heartbeat that names the new disk had arrived.
func TestLostDiskOfVoterCountsAtOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := newRepairer(3, time.Minute, 0)
	r.termStart = now
	m := testMembers([]string{"k0", "k1", "k2"}, []string{"k3"})
	g := group{now: now, seen: testKeepers(now, "k0", "k1", "k2", "k3"), caughtUp: []string{"k3"}}
	g.seen[1].Identity = "new"
	next := r.next(m, g)
	is.Equal(voterSet(next), map[string]bool{"k0": true, "k1": true, "k2": true, "k3": true})
	next = r.next(next, g)
	is.Equal(voterSet(next), map[string]bool{"k0": true, "k2": true, "k3": true})
}

// TestLostDiskIsRemovedFirst guards against the removal of a voter that still votes while one that can't is kept.
func TestLostDiskIsRemovedFirst(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := newRepairer(3, time.Minute, time.Second)
	r.termStart = now
	m := testMembers([]string{"k0", "k1", "k2", "k3"}, nil)
	g := group{now: now, seen: testKeepers(now, "k0", "k1", "k2", "k3"), voters: []applier.VoterStatus{{Name: "k1", Silence: 2 * time.Second}}}
	g.seen[0].Leaving = true
	is.Equal(voterSet(r.next(m, g)), map[string]bool{"k0": true, "k2": true, "k3": true})
	g.seen[2].Identity = "new"
	is.Equal(voterSet(r.next(m, g)), map[string]bool{"k0": true, "k1": true, "k3": true})
}

// TestStoppingKeeperJoinsNothing guards against membership changes for daemons that are about to end: they would take the place
// of a sound voter, or join and be removed again.
func TestStoppingKeeperJoinsNothing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := newRepairer(3, time.Minute, 0)
	r.termStart = now
	g := group{now: now, seen: testKeepers(now, "k0", "k1", "k2", "k3"), caughtUp: []string{"k0", "k1", "k2", "k3"}}
	g.seen[2].Leaving, g.seen[3].Leaving = true, true
	is.Equal(r.next(testMembers([]string{"k0", "k1", "k2"}, nil), g), nil)
	is.Equal(r.next(testMembers([]string{"k0", "k1", "k2"}, []string{"k3"}), g), nil)
}

// TestStopWithoutSuccessorChangesNothing guards against a rolling restart that shrinks a group without standby keepers.
func TestStopWithoutSuccessorChangesNothing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := newRepairer(3, time.Minute, time.Second)
	r.termStart = now
	g := group{now: now, seen: testKeepers(now, "k0", "k1", "k2"), caughtUp: []string{"k0"}}
	g.seen[1].Leaving = true
	g.voters = []applier.VoterStatus{{Name: "k1", Leaving: true}, {Name: "k2", Silence: time.Minute}}
	is.Equal(r.next(testMembers([]string{"k0", "k1", "k2"}, nil), g), nil)
}

// testMembers returns a membership of members whose identities are "disk".
func testMembers(voters, learners []string) *messages.Members {
	m := &messages.Members{}
	for _, name := range voters {
		m.Voters = append(m.Voters, &messages.Member{Name: name, Identity: "disk"})
	}
	for _, name := range learners {
		m.Learners = append(m.Learners, &messages.Member{Name: name, Identity: "disk"})
	}
	return m
}

func testKeepers(now time.Time, names ...string) []registrar.KeeperStatus {
	var list []registrar.KeeperStatus
	for _, name := range names {
		list = append(list, registrar.KeeperStatus{Name: name, Identity: "disk", Last: now})
	}
	return list
}

// TestVoterThatReturnsLeavesNoExcess guards against a group that keeps a voter too many for good: one was promoted for a voter
// that was silent and answered again before its removal.
func TestVoterThatReturnsLeavesNoExcess(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	r := newRepairer(3, time.Minute, time.Second)
	r.termStart = now
	m := &messages.Members{Learners: []*messages.Member{{Name: "k3", Identity: "first-k3"}}}
	var seen []registrar.KeeperStatus
	for i := range 4 {
		name := fmt.Sprintf("k%d", i)
		if i < 3 {
			m.Voters = append(m.Voters, &messages.Member{Name: name, Identity: "first-" + name})
		}
		seen = append(seen, registrar.KeeperStatus{Name: name, Identity: "first-" + name, Last: now})
	}
	look := func(silence time.Duration, others ...string) {
		g := group{now: now, seen: seen, caughtUp: []string{"k3"}}
		for _, name := range others {
			g.voters = append(g.voters, applier.VoterStatus{Name: name})
		}
		g.voters[0].Silence = silence
		if next := r.next(m, g); next != nil {
			m = next
		}
	}
	look(2*time.Second, "k1", "k2") // k0 leads
	is.Equal(len(m.GetVoters()), 4)
	look(0, "k1", "k2", "k3")
	is.Equal(len(m.GetVoters()), 3)
	is.True(voterSet(m)["k0"] && voterSet(m)["k1"] && voterSet(m)["k2"])
	look(0, "k1", "k2")
	is.Equal(len(m.GetVoters()), 3)
}
