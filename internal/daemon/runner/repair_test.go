package runner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/registrar"
)

// TestRepairSteps draws keepers that come, go and lose their disks, and follows the steps of the
// repair. No step may change two voters, leave too few of them, or promote one that lacks entries.
func TestRepairSteps(t *testing.T) {
	const bound = time.Minute
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		r := newRepairer(3, bound)
		r.began = now
		m := &messages.Members{}
		for i := range 3 {
			m.Voters = append(m.Voters, &messages.Member{Name: fmt.Sprintf("k%d", i)})
		}
		seen := map[string]registrar.KeeperSeen{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "seconds")) * time.Second)
			for i := range 6 {
				name := fmt.Sprintf("k%d", i)
				if rapid.IntRange(0, 3).Draw(t, "beats") > 0 {
					seen[name] = registrar.KeeperSeen{Name: name, Identity: fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "disk")), Last: now}
				}
			}
			var list []registrar.KeeperSeen
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
			next := r.next(now, m, list, caughtUp)
			if next == nil {
				continue
			}
			checkStep(t, m, next, list, caughtUp)
			m = next
		}
	})
}

func checkStep(t *rapid.T, before, after *messages.Members, seen []registrar.KeeperSeen, caughtUp []string) {
	had, has := voterNames(before), voterNames(after)
	changed := 0
	for _, k := range before.GetVoters() {
		if has[k.GetName()] {
			continue
		}
		changed++
		if len(had) <= 3 && !isReplaced(k, seen) {
			t.Fatalf("%s was removed from %v, and its disk may still be there", k.GetName(), had)
		}
	}
	for name := range has {
		if had[name] {
			continue
		}
		changed++
		found := false
		for _, c := range caughtUp {
			found = found || c == name
		}
		if !found {
			t.Fatalf("%s was promoted and is not caught up", name)
		}
	}
	if changed > 1 || len(has) < 2 || len(has) > 4 {
		t.Fatalf("voters went from %v to %v", had, has)
	}
}

func voterNames(m *messages.Members) map[string]bool {
	names := map[string]bool{}
	for _, k := range m.GetVoters() {
		names[k.GetName()] = true
	}
	return names
}

func TestWipedVoterIsGone(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := newRepairer(3, time.Minute)
	r.began = now.Add(-time.Hour)
	k := &messages.Member{Name: "k0", Identity: "old"}
	is.True(r.isGone(now, k, []registrar.KeeperSeen{{Name: "k0", Identity: "new", Last: now}}))
	is.True(!r.isGone(now, k, []registrar.KeeperSeen{{Name: "k0", Identity: "old", Last: now}}))
}
