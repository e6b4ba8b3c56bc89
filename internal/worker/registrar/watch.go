package registrar

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// daemonGone is how long after its last beat a daemon is left out of the list of daemons.
const daemonGone = 5 * time.Second

// Watch is the leader's part: what all homes have said. It lives for one term only and is
// owned by one goroutine.
type Watch struct {
	timing  Timing
	began   time.Time
	daemons map[string]*watchedDaemon
	workers map[string]*watchedWorker
	roster  Roster
	listed  time.Time // when the roster was made, zero when it must be made anew
}

// Roster is the list of daemons whose beats come in, sorted by name.
type Roster struct {
	Daemons []*messages.Daemon
	Digest  uint64
}

// rosterFor is how long a roster is used in which nobody has changed. A daemon that falls silent stays
// in it that much longer.
const rosterFor = time.Second

type watchedDaemon struct {
	beat *messages.Beat
	last time.Time
	full bool
}

type watchedWorker struct {
	incarnation uint64
	home        string
	silent      bool
	last        time.Time // while silent
}

// NewWatch returns the watch of a leader whose lease began at a time. Every worker counts as
// heard then, as an earlier leader may have let its leases be renewed until that time.
func NewWatch(timing Timing, began time.Time) *Watch {
	return &Watch{timing: timing, began: began, daemons: map[string]*watchedDaemon{}, workers: map[string]*watchedWorker{}}
}

// Beat takes in a daemon's beat.
func (w *Watch) Beat(now time.Time, b *messages.Beat) (resync bool) {
	d := w.daemons[b.GetDaemon()]
	if d == nil {
		d = &watchedDaemon{}
		w.daemons[b.GetDaemon()] = d
	}
	d.full = d.full || b.GetFull()
	if !sameDaemon(d.beat, b) || now.Sub(d.last) > daemonGone {
		w.listed = time.Time{}
	}
	d.beat = b
	d.last = now
	for _, heard := range b.GetHeard() {
		w.workers[heard.GetWorker()] = &watchedWorker{incarnation: heard.GetIncarnation(), home: b.GetDaemon()}
	}
	for _, name := range b.GetSilent() {
		if k := w.workers[name]; k != nil && k.home == b.GetDaemon() && !k.silent {
			k.silent = true
			k.last = now
		}
	}
	return !d.full
}

// lastHeard returns the latest time at which a lease of the worker may have been renewed, less
// the grace of its home.
func (w *Watch) lastHeard(name string, incarnation uint64) time.Time {
	k := w.workers[name]
	if k == nil || k.incarnation != incarnation {
		return w.began
	}
	if k.silent {
		return k.last
	}
	if d := w.daemons[k.home]; d != nil && d.last.After(w.began) {
		return d.last
	}
	return w.began
}

// Lost returns the workers whose leases have all run out.
func (w *Watch) Lost(now time.Time, s *scheduler.State) []scheduler.WorkerLost {
	var lost []scheduler.WorkerLost
	s.EachWorker(func(info scheduler.WorkerInfo) {
		if now.Sub(w.lastHeard(info.Name, info.Incarnation)) > w.timing.LostAfter() {
			lost = append(lost, scheduler.WorkerLost{Worker: info.Name, Incarnation: info.Incarnation})
		}
	})
	slices.SortFunc(lost, func(a, b scheduler.WorkerLost) int { return strings.Compare(a.Worker, b.Worker) })
	return lost
}

// Barred returns the attempts of gangs with a member that has not been heard.
func (w *Watch) Barred(now time.Time, s *scheduler.State) []*messages.Attempt {
	var barred []*messages.Attempt
	seen := map[scheduler.Attempt]bool{}
	s.EachWorker(func(info scheduler.WorkerInfo) {
		k := w.workers[info.Name]
		silent := k != nil && k.silent && k.incarnation == info.Incarnation
		if !silent && now.Sub(w.lastHeard(info.Name, info.Incarnation)) <= w.timing.Silent {
			return
		}
		for _, a := range s.GangsOn(info.Name) {
			if !seen[a] {
				seen[a] = true
				barred = append(barred, &messages.Attempt{Job: a.Job, Number: a.Number})
			}
		}
	})
	return barred
}

// Unknown returns the workers of a beat that must announce themselves.
func (w *Watch) Unknown(b *messages.Beat, s *scheduler.State) []string {
	var unknown []string
	for name, k := range w.workers {
		if k.home != b.GetDaemon() || k.silent {
			continue
		}
		if info, ok := s.Worker(name); !ok || info.Incarnation != k.incarnation {
			unknown = append(unknown, name)
		}
	}
	slices.Sort(unknown)
	return unknown
}

// sameDaemon reports whether two beats describe a daemon alike.
func sameDaemon(a, b *messages.Beat) bool {
	return a != nil && a.GetPlace() == b.GetPlace() && a.GetAddress() == b.GetAddress() && a.GetListen() == b.GetListen() &&
		a.GetVersion() == b.GetVersion() && a.GetDraining() == b.GetDraining() && (a.GetIdentity() != "") == (b.GetIdentity() != "")
}

// Roster returns the daemons whose beats come in. The caller must not change it.
func (w *Watch) Roster(now time.Time) Roster {
	if !w.listed.IsZero() && now.Sub(w.listed) < rosterFor {
		return w.roster
	}
	w.listed = now
	w.roster = Roster{}
	digest := xxhash.New()
	for _, name := range slices.Sorted(maps.Keys(w.daemons)) {
		d := w.daemons[name]
		if now.Sub(d.last) > daemonGone {
			continue
		}
		b := d.beat
		w.roster.Daemons = append(w.roster.Daemons, &messages.Daemon{
			Name: name, Place: b.GetPlace(), Address: b.GetAddress(), Listen: b.GetListen(),
			Version: b.GetVersion(), Draining: b.GetDraining(), Keeper: b.GetIdentity() != "",
		})
		// A hash takes every write.
		_, _ = fmt.Fprintln(digest, name, b.GetPlace(), b.GetAddress(), b.GetListen(), b.GetVersion(), b.GetDraining(), b.GetIdentity() != "")
	}
	w.roster.Digest = digest.Sum64()
	return w.roster
}

// BeatEvery returns the time between the beats of a daemon, which grows with their number so that all
// beats together stay a small part of the leader's work.
func (w *Watch) BeatEvery() time.Duration {
	return max(w.timing.Beat, time.Duration(len(w.daemons))*beatShare)
}

// beatShare is what each daemon adds to the time between two beats.
const beatShare = 1500 * time.Microsecond

// KeeperSeen is a daemon with a data folder, as its last beat described it.
type KeeperSeen struct {
	Name     string
	Place    string
	Address  string
	Identity string
	Last     time.Time
}

// Keepers returns the daemons with a data folder that have sent a beat in this term, sorted by
// name, also those that have fallen silent since.
func (w *Watch) Keepers() []KeeperSeen {
	var list []KeeperSeen
	for name, d := range w.daemons {
		if d.beat.GetIdentity() != "" {
			list = append(list, KeeperSeen{
				Name: name, Place: d.beat.GetPlace(), Address: d.beat.GetAddress(), Identity: d.beat.GetIdentity(), Last: d.last,
			})
		}
	}
	slices.SortFunc(list, func(a, b KeeperSeen) int { return strings.Compare(a.Name, b.Name) })
	return list
}
