// Package registrar detects lost workers. Each daemon is the home of some workers: it receives their reports,
// renews their leases and sends only changes to the leader in its heartbeats. The leader monitors all homes.
// The package does no I/O.
package registrar

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// Timing holds the intervals and time-outs of reports, heartbeats and leases.
type Timing struct {
	Report         time.Duration // interval between a worker's reports
	Heartbeat      time.Duration // interval between a daemon's heartbeats to the leader
	ContactTimeout time.Duration // time without a report after which a worker is out of contact
	Grace          time.Duration // a home renews leases for this long after sending its last answered heartbeat
	Lease          time.Duration // duration of a lease, counted from the sending of the worker's report
	Drift          time.Duration // bound on the drift between two clocks during a lease
}

// DefaultTiming returns the timing of a production fleet.
func DefaultTiming() Timing {
	return Timing{
		Report: time.Second, Heartbeat: time.Second, ContactTimeout: 3 * time.Second,
		Grace: 3 * time.Second, Lease: 8 * time.Second, Drift: time.Second,
	}
}

// LostAfter returns the time after the last contact with a worker at which all its leases have expired.
func (t Timing) LostAfter() time.Duration { return t.Grace + t.Lease + t.Drift }

// localWorker is a worker that reports to this home.
type localWorker struct {
	incarnation     uint64
	lastReport      time.Time
	acknowledged    bool // the leader has answered a heartbeat that included it
	included        bool // the heartbeat in flight includes it
	announcementDue bool
}

// Home is the state of one daemon: the workers that report to it and the leader's latest reply.
type Home struct {
	timing Timing
	now    func() time.Time

	mu            sync.Mutex
	workers       map[string]*localWorker
	outOfContact  []string
	barred        map[string]uint32 // attempt of each job whose lease must not be renewed
	lastHeartbeat time.Time         // when the last heartbeat that a leader answered was sent
	epoch         uint64            // term whose leader has received a full heartbeat, 0 for none
	term          uint64
	daemons       []*messages.Daemon
	roster        uint64 // digest of daemons
	version       uint64
}

// NewHome returns a home without workers.
func NewHome(timing Timing, now func() time.Time) *Home {
	return &Home{timing: timing, now: now, workers: map[string]*localWorker{}, barred: map[string]uint32{}}
}

// Report handles a worker's report and returns the attempts whose leases are renewed.
func (h *Home) Report(worker, place string, r *messages.WorkerReport) *messages.Renewal {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	lw := h.workers[worker]
	if lw == nil || lw.incarnation != r.GetIncarnation() {
		lw = &localWorker{incarnation: r.GetIncarnation()}
		h.workers[worker] = lw
		h.removeOutOfContact(worker)
	}
	lw.lastReport = now
	reply := &messages.Renewal{Home: h.homeOf(worker, place), Announce: lw.announcementDue}
	if lw.acknowledged && !lw.announcementDue && now.Sub(h.lastHeartbeat) < h.timing.Grace {
		reply.Lease = h.timing.Lease.Milliseconds()
		for _, a := range r.GetRunning() {
			if number, ok := h.barred[a.GetJob()]; !ok || number != a.GetNumber() {
				reply.Renewed = append(reply.Renewed, a)
			}
		}
	}
	return reply
}

// homeOf selects the home of a worker by rendezvous hashing, so that adding or removing a daemon moves only
// the workers of that daemon. Daemons of the worker's place are preferred.
func (h *Home) homeOf(worker, place string) string {
	best, bestScore, bestLocal := "", uint64(0), false
	for _, d := range h.daemons {
		if d.GetDraining() {
			continue
		}
		local := d.GetPlace() == place
		score := xxhash.Sum64String(worker + "\x00" + d.GetName())
		if best == "" || local && !bestLocal || local == bestLocal && score > bestScore {
			best, bestScore, bestLocal = d.GetListen(), score, local
		}
	}
	return best
}

// FillHeartbeat fills in a heartbeat to the leader. It includes every worker if the leader has not received a full
// heartbeat in its term, and only changes otherwise.
func (h *Home) FillHeartbeat(b *messages.Beat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire()
	b.Version = h.version
	b.Roster = h.roster
	b.Epoch = h.epoch
	b.Full = h.epoch == 0 || h.epoch != h.term
	for name, lw := range h.workers {
		lw.included = b.Full || !lw.acknowledged
		if lw.included {
			b.Heard = append(b.Heard, &messages.Heard{Worker: name, Incarnation: lw.incarnation})
		}
	}
	slices.SortFunc(b.Heard, func(x, y *messages.Heard) int { return strings.Compare(x.GetWorker(), y.GetWorker()) })
	b.Silent = slices.Clone(h.outOfContact)
}

func (h *Home) removeOutOfContact(name string) {
	h.outOfContact = slices.DeleteFunc(h.outOfContact, func(s string) bool { return s == name })
}

// expire marks workers without a recent report as out of contact.
func (h *Home) expire() {
	now := h.now()
	for name, lw := range h.workers {
		if now.Sub(lw.lastReport) > h.timing.ContactTimeout {
			delete(h.workers, name)
			h.removeOutOfContact(name)
			h.outOfContact = append(h.outOfContact, name)
		}
	}
}

// HandleReply handles the leader's reply to a heartbeat that was sent at the given time.
func (h *Home) HandleReply(sent time.Time, b *messages.Beat, o *messages.Orders) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if o.GetTerm() < h.term {
		return
	}
	h.term = o.GetTerm()
	if b.GetFull() && !o.GetResync() {
		h.epoch = o.GetTerm()
	}
	if o.GetResync() {
		h.epoch = 0
	}
	h.lastHeartbeat = sent
	if o.GetRoster() != h.roster {
		h.daemons, h.roster = o.GetDaemons(), o.GetRoster()
	}
	for _, name := range b.GetSilent() {
		h.removeOutOfContact(name)
	}
	for _, lw := range h.workers {
		lw.acknowledged = lw.acknowledged || lw.included
		lw.included = false
		lw.announcementDue = false
	}
	clear(h.barred)
	for _, a := range o.GetBarred() {
		h.barred[a.GetJob()] = a.GetNumber()
	}
	for _, name := range o.GetUnknown() {
		if lw := h.workers[name]; lw != nil {
			lw.announcementDue = true
			lw.acknowledged = false
		}
	}
}

// SetVersion sets the version of the manifest in force at this daemon, which is part of each heartbeat.
func (h *Home) SetVersion(v uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version = v
}

// Fresh reports whether a leader has answered a heartbeat sent within the given time.
func (h *Home) Fresh(bound time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.now().Sub(h.lastHeartbeat) < bound
}

// Daemons returns the daemons in the leader's latest roster.
func (h *Home) Daemons() []*messages.Daemon {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.daemons
}
