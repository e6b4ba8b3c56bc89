package registrar

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// daemonTimeout is the time without a heartbeat after which a daemon is removed from the roster.
const daemonTimeout = 5 * time.Second

// Monitor is the leader's view of all homes, built from their heartbeats. It is valid for one term and must
// be used by one goroutine at a time.
type Monitor struct {
	timing        Timing
	log           *zap.Logger
	startedAt     time.Time
	daemons       map[string]*daemonStatus
	workers       map[string]map[string]homeStatus // by worker and home
	roster        Roster
	rosterBuiltAt time.Time // zero if the roster must be rebuilt
}

// Roster is the list of daemons with recent heartbeats, sorted by name.
type Roster struct {
	Daemons []*messages.Daemon
	Digest  uint64
}

// rosterTTL is how long an unchanged roster is reused. A daemon without heartbeats stays in the roster for up
// to that much longer.
const rosterTTL = time.Second

type daemonStatus struct {
	heartbeat   *messages.Beat
	lastContact time.Time
	full        bool
	lost        bool         // no heartbeat for longer than daemonTimeout
	keeper      KeeperStatus // as of the latest heartbeat with an identity
}

// homeStatus is what a home last said of a worker. A worker that moves is listed by both homes for a while, and each may have
// renewed its leases.
type homeStatus struct {
	incarnation   uint64
	outOfContact  bool
	lostContactAt time.Time // set while out of contact
}

// loseContact records that a home has no contact with a worker any more.
func loseContact(homes map[string]homeStatus, now time.Time, daemon string) {
	if h, ok := homes[daemon]; ok && !h.outOfContact {
		h.outOfContact, h.lostContactAt = true, now
		homes[daemon] = h
	}
}

// isOutOfContact reports whether an incarnation of a worker has been listed, and no home has contact with it.
func (m *Monitor) isOutOfContact(name string, incarnation uint64) bool {
	listed := false
	for _, h := range m.workers[name] {
		if h.incarnation != incarnation {
			continue
		}
		if !h.outOfContact {
			return false
		}
		listed = true
	}
	return listed
}

// NewMonitor returns the monitor of a leader whose lease started at the given time. That time counts as the
// last contact with every worker, because leases may have been renewed under an earlier leader until then.
func NewMonitor(timing Timing, startedAt time.Time, log *zap.Logger) *Monitor {
	return &Monitor{timing: timing, log: log, startedAt: startedAt, daemons: map[string]*daemonStatus{}, workers: map[string]map[string]homeStatus{}}
}

// Heartbeat handles a daemon's heartbeat. resync is true if the daemon must send a full one.
func (m *Monitor) Heartbeat(now time.Time, b *messages.Beat) (resync bool) {
	d := m.daemons[b.GetDaemon()]
	if d == nil {
		d = &daemonStatus{}
		m.daemons[b.GetDaemon()] = d
	}
	if isLate(d.heartbeat, b) {
		return !d.full
	}
	m.logContact(now, d, b)
	d.full = d.full || b.GetFull()
	if !sameDaemon(d.heartbeat, b) || now.Sub(d.lastContact) > daemonTimeout {
		m.rosterBuiltAt = time.Time{}
	}
	d.heartbeat = b
	d.lastContact = now
	if b.GetIdentity() != "" {
		d.keeper = KeeperStatus{Name: b.GetDaemon(), Place: b.GetPlace(), Address: b.GetAddress(), Identity: b.GetIdentity(), Leaving: b.GetDraining(), Last: now}
	}
	if b.GetFull() {
		for _, homes := range m.workers {
			loseContact(homes, now, b.GetDaemon()) // unless it is listed
		}
	}
	for _, heard := range b.GetHeard() {
		m.recordContact(now, b.GetDaemon(), heard)
	}
	for _, name := range b.GetSilent() {
		loseContact(m.workers[name], now, b.GetDaemon())
	}
	return !d.full
}

// isLate reports whether a heartbeat was sent before the last one of the same process.
func isLate(last, b *messages.Beat) bool {
	return last != nil && b.GetNumber() != 0 && b.GetStarted() == last.GetStarted() && b.GetNumber() <= last.GetNumber()
}

// recordContact records that a home lists a worker. Homes whose leases have expired are forgotten.
func (m *Monitor) recordContact(now time.Time, daemon string, heard *messages.Heard) {
	homes := m.workers[heard.GetWorker()]
	if homes == nil {
		homes = map[string]homeStatus{}
		m.workers[heard.GetWorker()] = homes
	}
	maps.DeleteFunc(homes, func(_ string, h homeStatus) bool {
		return h.outOfContact && now.Sub(h.lostContactAt) > m.timing.LostAfter()
	})
	homes[daemon] = homeStatus{incarnation: heard.GetIncarnation()}
}

// logContact logs a heartbeat that is the first of a daemon in this term, of another process, or after a loss of contact.
func (m *Monitor) logContact(now time.Time, d *daemonStatus, b *messages.Beat) {
	fields := []zap.Field{
		zap.String("name", b.GetDaemon()), zap.String("place", b.GetPlace()), zap.Bool("keeper", b.GetIdentity() != ""),
		zap.Bool("draining", b.GetDraining()), zap.Time("process", time.Unix(0, b.GetStarted())),
	}
	if d.heartbeat == nil {
		m.log.Info("daemon is in contact", fields...)
		return
	}
	silence := zap.Duration("silence", now.Sub(d.lastContact))
	switch {
	case d.heartbeat.GetStarted() == b.GetStarted():
		if d.lost {
			m.log.Info("daemon is back in contact", append(fields, silence)...)
		}
	case d.heartbeat.GetDraining():
		m.log.Info("daemon restarted", append(fields, silence)...)
	default:
		m.log.Warn("daemon restarted without a drain", append(fields, silence)...)
	}
	d.lost = false
}

// logLost logs that a daemon is out of contact, once.
func (m *Monitor) logLost(now time.Time, d *daemonStatus) {
	if d.lost {
		return
	}
	d.lost = true
	b := d.heartbeat
	m.log.Warn("daemon is lost", zap.String("name", b.GetDaemon()), zap.String("place", b.GetPlace()), zap.Bool("draining", b.GetDraining()),
		zap.Time("process", time.Unix(0, b.GetStarted())), zap.Duration("silence", now.Sub(d.lastContact)))
}

// lastContact returns the latest time at which a lease of the worker may have been renewed, minus the grace
// period of its home.
func (m *Monitor) lastContact(name string, incarnation uint64) time.Time {
	latest := m.startedAt
	for daemon, h := range m.workers[name] {
		if h.incarnation != incarnation {
			continue
		}
		contact := h.lostContactAt
		if d := m.daemons[daemon]; !h.outOfContact && d != nil {
			contact = d.lastContact
		}
		if contact.After(latest) {
			latest = contact
		}
	}
	return latest
}

// Lost returns the workers whose leases have all expired.
func (m *Monitor) Lost(now time.Time, s *scheduler.State) []scheduler.WorkerLost {
	var lost []scheduler.WorkerLost
	s.EachWorker(func(info scheduler.WorkerInfo) {
		if now.Sub(m.lastContact(info.Name, info.Incarnation)) > m.timing.LostAfter() {
			lost = append(lost, scheduler.WorkerLost{Worker: info.Name, Incarnation: info.Incarnation})
		}
	})
	slices.SortFunc(lost, func(a, b scheduler.WorkerLost) int { return strings.Compare(a.Worker, b.Worker) })
	return lost
}

// Barred returns the attempts of gangs with a member on a worker that is out of contact. Their leases must
// not be renewed.
func (m *Monitor) Barred(now time.Time, s *scheduler.State) []*messages.Attempt {
	var barred []*messages.Attempt
	seen := map[scheduler.Attempt]bool{}
	s.EachWorker(func(info scheduler.WorkerInfo) {
		if !m.isOutOfContact(info.Name, info.Incarnation) && now.Sub(m.lastContact(info.Name, info.Incarnation)) <= m.timing.ContactTimeout {
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

// Unknown returns the workers of a daemon that must announce themselves, because the replicated state does
// not contain their incarnation.
func (m *Monitor) Unknown(b *messages.Beat, s *scheduler.State) []string {
	var unknown []string
	for name, homes := range m.workers {
		h, ok := homes[b.GetDaemon()]
		if !ok || h.outOfContact {
			continue
		}
		if info, ok := s.Worker(name); !ok || info.Incarnation != h.incarnation {
			unknown = append(unknown, name)
		}
	}
	slices.Sort(unknown)
	return unknown
}

// sameDaemon reports whether two heartbeats result in the same entry of the roster.
func sameDaemon(a, b *messages.Beat) bool {
	return a != nil && a.GetPlace() == b.GetPlace() && a.GetAddress() == b.GetAddress() && a.GetListen() == b.GetListen() &&
		a.GetVersion() == b.GetVersion() && a.GetDraining() == b.GetDraining() && (a.GetIdentity() != "") == (b.GetIdentity() != "")
}

// Roster returns the daemons with recent heartbeats. The caller must not modify it.
func (m *Monitor) Roster(now time.Time) Roster {
	if !m.rosterBuiltAt.IsZero() && now.Sub(m.rosterBuiltAt) < rosterTTL {
		return m.roster
	}
	m.rosterBuiltAt = now
	m.roster = Roster{}
	digest := xxhash.New()
	for _, name := range slices.Sorted(maps.Keys(m.daemons)) {
		d := m.daemons[name]
		if now.Sub(d.lastContact) > daemonTimeout {
			m.logLost(now, d)
			continue
		}
		b := d.heartbeat
		m.roster.Daemons = append(m.roster.Daemons, &messages.Daemon{
			Name: name, Place: b.GetPlace(), Address: b.GetAddress(), Listen: b.GetListen(),
			Version: b.GetVersion(), Draining: b.GetDraining(), Keeper: b.GetIdentity() != "",
		})
		// Writes to a hash never fail.
		_, _ = fmt.Fprintln(digest, name, b.GetPlace(), b.GetAddress(), b.GetListen(), b.GetVersion(), b.GetDraining(), b.GetIdentity() != "")
	}
	m.roster.Digest = digest.Sum64()
	return m.roster
}

// HeartbeatInterval returns the interval between the heartbeats of a daemon. It grows with the number of
// daemons, which bounds the leader's load from all heartbeats.
func (m *Monitor) HeartbeatInterval() time.Duration {
	return max(m.timing.Heartbeat, time.Duration(len(m.daemons))*heartbeatIntervalPerDaemon)
}

// heartbeatIntervalPerDaemon is how much each daemon adds to the heartbeat interval.
const heartbeatIntervalPerDaemon = 1500 * time.Microsecond

// KeeperStatus describes a daemon with a data folder, based on the latest heartbeat with which its replica took part.
type KeeperStatus struct {
	Name     string
	Place    string
	Address  string
	Identity string
	Leaving  bool      // the daemon stops
	Last     time.Time // of that heartbeat
}

// Keepers returns the daemons with a data folder that have sent a heartbeat in this term, sorted by name.
// They include those that have stopped sending heartbeats, or whose replicas have stopped taking part, since.
func (m *Monitor) Keepers() []KeeperStatus {
	var list []KeeperStatus
	for _, d := range m.daemons {
		if d.keeper.Identity != "" {
			list = append(list, d.keeper)
		}
	}
	slices.SortFunc(list, func(a, b KeeperStatus) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Applies reports whether a daemon is in contact and applies log entries of a format.
func (m *Monitor) Applies(now time.Time, daemon string, format uint32) bool {
	d := m.daemons[daemon]
	return d != nil && d.heartbeat.GetFormat() >= format && now.Sub(d.lastContact) <= daemonTimeout
}

// Outdated returns the name of a keeper in contact that can't apply log entries of a format, the first one by name, "" if there
// is none.
func (m *Monitor) Outdated(now time.Time, format uint32) string {
	for _, name := range slices.Sorted(maps.Keys(m.daemons)) {
		d := m.daemons[name]
		if d.keeper.Identity != "" && d.heartbeat.GetFormat() < format && now.Sub(d.lastContact) <= daemonTimeout {
			return name
		}
	}
	return ""
}
