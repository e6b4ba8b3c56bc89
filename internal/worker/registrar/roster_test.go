package registrar

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestRosterChangesWithDaemons checks when the list of daemons is another one, so that 300 daemons
// are not sent a list of 300 with each beat.
func TestRosterChangesWithDaemons(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	w := NewWatch(DefaultTiming(), now)
	for i := range 300 {
		w.Beat(now, &messages.Beat{Daemon: fmt.Sprintf("vm%d", i), Address: "10.0.0.1:7000"})
	}
	first := w.Roster(now)
	is.Equal(len(first.Daemons), 300)
	for range 3 {
		now = now.Add(300 * time.Millisecond)
		for i := range 300 {
			w.Beat(now, &messages.Beat{Daemon: fmt.Sprintf("vm%d", i), Address: "10.0.0.1:7000"})
		}
		is.Equal(w.Roster(now).Digest, first.Digest)
	}
	w.Beat(now, &messages.Beat{Daemon: "vm7", Address: "10.0.0.1:7000", Draining: true})
	changed := w.Roster(now)
	is.True(changed.Digest != first.Digest)
	now = now.Add(daemonGone + rosterFor)
	w.Beat(now, &messages.Beat{Daemon: "vm7", Address: "10.0.0.1:7000", Draining: true})
	is.Equal(len(w.Roster(now).Daemons), 1)
	is.Equal(w.BeatEvery(), max(w.timing.Beat, 300*beatShare))
}

// TestHomeKeepsItsRoster checks that a reply without a list leaves the list that the home holds.
func TestHomeKeepsItsRoster(t *testing.T) {
	is := is.New(t)
	h := NewHome(DefaultTiming(), time.Now)
	h.Answered(time.Now(), &messages.Beat{}, &messages.Orders{Term: 1, Roster: 5, Daemons: []*messages.Daemon{{Name: "vm1"}}})
	b := &messages.Beat{}
	h.Beat(b)
	is.Equal(b.GetRoster(), uint64(5))
	h.Answered(time.Now(), b, &messages.Orders{Term: 1, Roster: 5})
	is.Equal(len(h.Daemons()), 1)
	h.Answered(time.Now(), b, &messages.Orders{Term: 2, Roster: 6, Daemons: []*messages.Daemon{{Name: "vm1"}, {Name: "vm2"}}})
	is.Equal(len(h.Daemons()), 2)
}
