// Package registrar knows which workers live. Each daemon is the home of some workers: it takes
// their reports, renews their leases and tells the leader of changes only. The leader watches
// all homes. No input or output may live here.
package registrar

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// Timing is how fast signs of life travel and run out.
type Timing struct {
	Report time.Duration // between a worker's reports
	Beat   time.Duration // between a daemon's beats to the leader
	Silent time.Duration // without a report until a worker counts as silent
	Grace  time.Duration // a home renews leases for this long after its last beat was sent
	Lease  time.Duration // of an attempt on a worker, from the sending of the report
	Drift  time.Duration // bound on the difference of two clocks over a lease
}

// DefaultTiming returns the timing of a real fleet.
func DefaultTiming() Timing {
	return Timing{
		Report: time.Second, Beat: time.Second, Silent: 3 * time.Second,
		Grace: 3 * time.Second, Lease: 8 * time.Second, Drift: time.Second,
	}
}

// LostAfter returns how long after the last sign of life all leases of a worker have run out.
func (t Timing) LostAfter() time.Duration { return t.Grace + t.Lease + t.Drift }

// resident is a worker whose reports come in here.
type resident struct {
	incarnation uint64
	last        time.Time
	confirmed   bool // a beat that named it has reached the leader
	named       bool // the beat under way names it
	announce    bool
}

// Home is one daemon's part: the workers that report to it.
type Home struct {
	timing Timing
	now    func() time.Time

	mu       sync.Mutex
	workers  map[string]*resident
	silent   []string
	barred   map[string]uint32 // job to the attempt that must not be renewed
	lastBeat time.Time         // sending of the last beat that a leader answered
	epoch    uint64            // term that has had a full beat
	term     uint64
	daemons  []*messages.Daemon
	roster   uint64 // digest of the list of daemons
	version  uint64
}

// NewHome returns a home without workers.
func NewHome(timing Timing, now func() time.Time) *Home {
	return &Home{timing: timing, now: now, workers: map[string]*resident{}, barred: map[string]uint32{}}
}

// Report takes in a worker's report and returns which of its attempts are renewed.
func (h *Home) Report(worker, place string, r *messages.WorkerReport) *messages.Renewal {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	res := h.workers[worker]
	if res == nil || res.incarnation != r.GetIncarnation() {
		res = &resident{incarnation: r.GetIncarnation()}
		h.workers[worker] = res
		h.unsilence(worker)
	}
	res.last = now
	reply := &messages.Renewal{Home: h.homeOf(worker, place), Announce: res.announce}
	if res.confirmed && !res.announce && now.Sub(h.lastBeat) < h.timing.Grace {
		reply.Lease = h.timing.Lease.Milliseconds()
		for _, a := range r.GetRunning() {
			if number, ok := h.barred[a.GetJob()]; !ok || number != a.GetNumber() {
				reply.Renewed = append(reply.Renewed, a)
			}
		}
	}
	return reply
}

// homeOf chooses the home of a worker among the daemons of its place by rendezvous hashing, so
// that a daemon that comes or goes moves only its own share.
func (h *Home) homeOf(worker, place string) string {
	best, bestScore, bestNear := "", uint64(0), false
	for _, d := range h.daemons {
		if d.GetDraining() {
			continue
		}
		near := d.GetPlace() == place
		score := xxhash.Sum64String(worker + "\x00" + d.GetName())
		if best == "" || near && !bestNear || near == bestNear && score > bestScore {
			best, bestScore, bestNear = d.GetListen(), score, near
		}
	}
	return best
}

// Beat fills in what the leader must learn from this home. The beat names every worker when the
// leader has not had a full one in its term, and only changes otherwise.
func (h *Home) Beat(b *messages.Beat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire()
	b.Version = h.version
	b.Roster = h.roster
	b.Epoch = h.epoch
	b.Full = h.epoch == 0 || h.epoch != h.term
	for name, r := range h.workers {
		r.named = b.Full || !r.confirmed
		if r.named {
			b.Heard = append(b.Heard, &messages.Heard{Worker: name, Incarnation: r.incarnation})
		}
	}
	slices.SortFunc(b.Heard, func(x, y *messages.Heard) int { return strings.Compare(x.GetWorker(), y.GetWorker()) })
	b.Silent = slices.Clone(h.silent)
}

func (h *Home) unsilence(name string) {
	h.silent = slices.DeleteFunc(h.silent, func(s string) bool { return s == name })
}

// expire moves workers without a report to the silent ones.
func (h *Home) expire() {
	now := h.now()
	for name, r := range h.workers {
		if now.Sub(r.last) > h.timing.Silent {
			delete(h.workers, name)
			h.unsilence(name)
			h.silent = append(h.silent, name)
		}
	}
}

// Answered takes in the leader's reply to a beat that was sent at a time.
func (h *Home) Answered(sent time.Time, b *messages.Beat, o *messages.Orders) {
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
	h.lastBeat = sent
	if o.GetRoster() != h.roster {
		h.daemons, h.roster = o.GetDaemons(), o.GetRoster()
	}
	for _, name := range b.GetSilent() {
		h.unsilence(name)
	}
	for _, r := range h.workers {
		r.confirmed = r.confirmed || r.named
		r.named = false
		r.announce = false
	}
	clear(h.barred)
	for _, a := range o.GetBarred() {
		h.barred[a.GetJob()] = a.GetNumber()
	}
	for _, name := range o.GetUnknown() {
		if r := h.workers[name]; r != nil {
			r.announce = true
			r.confirmed = false
		}
	}
}

// SetVersion tells which manifest version is in force at this daemon.
func (h *Home) SetVersion(v uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version = v
}

// Fresh reports whether the daemon has had word from a leader within a bound.
func (h *Home) Fresh(bound time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.now().Sub(h.lastBeat) < bound
}

// Daemons returns the daemons that the leader knows.
func (h *Home) Daemons() []*messages.Daemon {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.daemons
}
