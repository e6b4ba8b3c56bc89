package registrar

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestRosterChangesWithDaemons checks that the digest of the roster changes only with its daemons. Otherwise
// the reply to each heartbeat would contain the whole roster, here to 300 daemons a list of 300.
func TestRosterChangesWithDaemons(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	m := NewMonitor(DefaultTiming(), now, zap.NewNop())
	for i := range 300 {
		m.Heartbeat(now, &messages.Beat{Daemon: fmt.Sprintf("vm%d", i), Address: "10.0.0.1:7000"})
	}
	first := m.Roster(now)
	is.Equal(len(first.Daemons), 300)
	for range 3 {
		now = now.Add(300 * time.Millisecond)
		for i := range 300 {
			m.Heartbeat(now, &messages.Beat{Daemon: fmt.Sprintf("vm%d", i), Address: "10.0.0.1:7000"})
		}
		is.Equal(m.Roster(now).Digest, first.Digest)
	}
	m.Heartbeat(now, &messages.Beat{Daemon: "vm7", Address: "10.0.0.1:7000", Draining: true})
	changed := m.Roster(now)
	is.True(changed.Digest != first.Digest)
	now = now.Add(daemonTimeout + rosterTTL)
	m.Heartbeat(now, &messages.Beat{Daemon: "vm7", Address: "10.0.0.1:7000", Draining: true})
	is.Equal(len(m.Roster(now).Daemons), 1)
	is.Equal(m.HeartbeatInterval(), max(m.timing.Heartbeat, 300*heartbeatIntervalPerDaemon))
}

// TestHomeKeepsRosterWhenUnchanged checks that a home keeps its list of daemons if a reply contains none.
func TestHomeKeepsRosterWhenUnchanged(t *testing.T) {
	is := is.New(t)
	h := NewHome(DefaultTiming(), time.Now)
	h.HandleReply(time.Now(), &messages.Beat{}, &messages.Orders{Term: 1, Roster: 5, Daemons: []*messages.Daemon{{Name: "vm1"}}})
	b := &messages.Beat{}
	h.FillHeartbeat(b)
	is.Equal(b.GetRoster(), uint64(5))
	h.HandleReply(time.Now(), b, &messages.Orders{Term: 1, Roster: 5})
	is.Equal(len(h.Daemons()), 1)
	h.HandleReply(time.Now(), b, &messages.Orders{Term: 2, Roster: 6, Daemons: []*messages.Daemon{{Name: "vm1"}, {Name: "vm2"}}})
	is.Equal(len(h.Daemons()), 2)
}

// TestKeeperThatCannotWrite checks that a keeper whose heartbeats lack the identity of its folder, because its disk is
// full, counts as last seen before. It counted as gone at once, and was replaced after a moment without space.
func TestKeeperThatCannotWrite(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_000_000, 0)
	m := NewMonitor(DefaultTiming(), start, zap.NewNop())
	beat := func(after time.Duration, identity string) KeeperStatus {
		m.Heartbeat(start.Add(after), &messages.Beat{Daemon: "vm1", Address: "10.0.0.1:7000", Identity: identity})
		list := m.Keepers()
		is.Equal(len(list), 1)
		return list[0]
	}
	is.Equal(beat(0, "a").Last, start)
	for after := time.Second; after < 4*time.Second; after += time.Second {
		full := beat(after, "")
		is.Equal(full.Identity, "a")
		is.Equal(full.Last, start)
	}
	is.Equal(beat(5*time.Second, "a").Last, start.Add(5*time.Second))
	m.Heartbeat(start, &messages.Beat{Daemon: "vm2", Address: "10.0.0.2:7000"})
	is.Equal(len(m.Keepers()), 1) // vm2 has no folder
}

// TestOutdatedKeeperIsNamed guards against an entry that a keeper of an earlier build can't apply: the leader asks for such
// keepers. Daemons without a folder apply none, and a keeper that has been replaced or is gone holds nothing up.
func TestOutdatedKeeperIsNamed(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_000_000, 0)
	m := NewMonitor(DefaultTiming(), start, zap.NewNop())
	m.Heartbeat(start, &messages.Beat{Daemon: "entry"})
	m.Heartbeat(start, &messages.Beat{Daemon: "new", Identity: "a", Format: 2})
	is.Equal(m.Outdated(start, 2), "")
	m.Heartbeat(start, &messages.Beat{Daemon: "old", Identity: "b"})
	is.Equal(m.Outdated(start, 2), "old")
	full := start.Add(4 * time.Second)
	m.Heartbeat(full, &messages.Beat{Daemon: "old"}) // its disk is full, and it applies entries again soon
	is.Equal(m.Outdated(full.Add(daemonTimeout), 2), "old")
	is.Equal(m.Outdated(full.Add(daemonTimeout+time.Millisecond), 2), "")
	m.Heartbeat(full, &messages.Beat{Daemon: "old", Identity: "b", Format: 2})
	is.Equal(m.Outdated(full, 2), "")
}

// TestOnlyKeepersInContactApply guards against an entry that stops a keeper of an earlier build which the leader has not heard, or
// has not heard lately.
func TestOnlyKeepersInContactApply(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_000_000, 0)
	m := NewMonitor(DefaultTiming(), start, zap.NewNop())
	is.True(!m.Applies(start, "k", 3))
	m.Heartbeat(start, &messages.Beat{Daemon: "k", Identity: "a", Format: 2})
	is.True(m.Applies(start, "k", 2))
	is.True(!m.Applies(start, "k", 3))
	m.Heartbeat(start, &messages.Beat{Daemon: "k", Identity: "a", Format: 3})
	is.True(m.Applies(start.Add(daemonTimeout), "k", 3))
	is.True(!m.Applies(start.Add(daemonTimeout+time.Millisecond), "k", 3))
}
