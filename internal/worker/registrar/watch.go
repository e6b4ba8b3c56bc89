package registrar

import (
	"slices"
	"strings"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/job/decider"
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
}

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
func (w *Watch) Lost(now time.Time, s *decider.State) []decider.Lost {
	var lost []decider.Lost
	s.EachWorker(func(info decider.WorkerInfo) {
		if now.Sub(w.lastHeard(info.Name, info.Incarnation)) > w.timing.LostAfter() {
			lost = append(lost, decider.Lost{Worker: info.Name, Incarnation: info.Incarnation})
		}
	})
	slices.SortFunc(lost, func(a, b decider.Lost) int { return strings.Compare(a.Worker, b.Worker) })
	return lost
}

// Barred returns the attempts of gangs with a member that has not been heard.
func (w *Watch) Barred(now time.Time, s *decider.State) []*messages.Attempt {
	var barred []*messages.Attempt
	seen := map[decider.Attempt]bool{}
	s.EachWorker(func(info decider.WorkerInfo) {
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
func (w *Watch) Unknown(b *messages.Beat, s *decider.State) []string {
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

// Daemons returns the daemons whose beats come in, sorted by name.
func (w *Watch) Daemons(now time.Time) []*messages.Daemon {
	var list []*messages.Daemon
	for name, d := range w.daemons {
		if now.Sub(d.last) > daemonGone {
			continue
		}
		b := d.beat
		list = append(list, &messages.Daemon{
			Name: name, Place: b.GetPlace(), Address: b.GetAddress(), Listen: b.GetListen(),
			Version: b.GetVersion(), Draining: b.GetDraining(), Keeper: b.GetIdentity() != "",
		})
	}
	slices.SortFunc(list, func(a, b *messages.Daemon) int { return strings.Compare(a.GetName(), b.GetName()) })
	return list
}

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
