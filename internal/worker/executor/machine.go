package executor

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

const (
	holdLife      = 10 * time.Second
	maxRemembered = 10_000 // ended attempts
)

// partState is where this worker's share of an attempt stands.
type partState int

const (
	holding partState = iota
	running
	finished
)

// part is this worker's share of one attempt.
type part struct {
	job     string
	attempt uint32
	members int
	rank    int
	slots   int
	state   partState
	until   time.Time // end of the hold or of the lease
	began   time.Time
	ends    time.Time
	resumed time.Duration
	script  script
	final   *scheduler.Ack
}

// script is how a pretended task behaves, written in the body of its job.
type script struct {
	Run  *parser.Duration `json:"run"`  // run time, the declared one when absent
	Fail string           `json:"fail"` // reason to end badly
	Echo string           `json:"echo"` // part of the answer
}

// reply is the answer of a pretended task.
type reply struct {
	Job     string `json:"job"`
	Attempt uint32 `json:"attempt"`
	Echo    string `json:"echo,omitempty"`
}

// Machine is the worker's side of the protocol without input, output or a clock.
type Machine struct {
	FailAll    bool // fault: every task ends badly
	KeepSaving bool // fault: checkpoints never complete

	slots    int
	lease    time.Duration
	observe  func(now time.Time, job string, attempt uint32, members int, began bool)
	leaving  bool
	term     uint64
	parts    map[string]*part  // by job
	released map[string]uint32 // job to the latest attempt that will never start
}

// NewMachine returns a worker without tasks. observe is told when a part truly begins or ends.
func NewMachine(slots int, lease time.Duration, observe func(now time.Time, job string, attempt uint32, members int, began bool)) *Machine {
	return &Machine{slots: slots, lease: lease, observe: observe, parts: map[string]*part{}, released: map[string]uint32{}}
}

// Leave makes the worker refuse new work.
func (m *Machine) Leave() { m.leaving = true }

// Admit reports whether orders of a term may be carried out. Orders of a term before the
// latest one come from a leader that has been replaced.
func (m *Machine) Admit(term uint64) bool {
	if term < m.term {
		return false
	}
	m.term = term
	return true
}

// Obey carries out one order and returns what the worker has to say of it, nil for nothing.
func (m *Machine) Obey(now time.Time, o *messages.WorkerOrder) *scheduler.Ack {
	switch o.GetKind() {
	case "hold":
		return m.hold(now, o)
	case "start":
		return m.start(now, o)
	case "release":
		m.bury(o)
		if p := m.find(o); p != nil && p.state == holding {
			delete(m.parts, p.job)
		}
	case "checkpoint":
		return m.checkpoint(now, o)
	case "stop":
		return m.stop(now, o)
	}
	return nil
}

func (p *part) ack(kind scheduler.AckKind, reason string) *scheduler.Ack {
	return &scheduler.Ack{Job: p.job, Attempt: p.attempt, Kind: kind, Reason: reason}
}

func refuse(o *messages.WorkerOrder, reason string) *scheduler.Ack {
	return &scheduler.Ack{Job: o.GetJob(), Attempt: o.GetAttempt(), Kind: scheduler.AckRefused, Reason: reason}
}

// find returns the part of just the attempt that an order names, nil when it is not here.
func (m *Machine) find(o *messages.WorkerOrder) *part {
	p := m.parts[o.GetJob()]
	if p == nil || p.attempt != o.GetAttempt() {
		return nil
	}
	return p
}

// bury makes sure that an attempt never starts here.
func (m *Machine) bury(o *messages.WorkerOrder) {
	m.released[o.GetJob()] = max(m.released[o.GetJob()], o.GetAttempt())
}

// Used returns the number of slots that are held or run.
func (m *Machine) Used() int {
	n := 0
	for _, p := range m.parts {
		if p.state != finished {
			n += p.slots
		}
	}
	return n
}

// Idle reports whether nothing is held or runs.
func (m *Machine) Idle() bool { return m.Used() == 0 }

// room reports why a new part can't be taken, "" when it can.
func (m *Machine) room(o *messages.WorkerOrder) string {
	old := m.parts[o.GetJob()]
	switch {
	case o.GetAttempt() <= m.released[o.GetJob()]:
		return "released before"
	case old != nil && old.attempt >= o.GetAttempt():
		return "a later attempt is known"
	case old != nil && old.state != finished:
		return "an earlier attempt has not ended"
	case m.leaving:
		return "leaving"
	case m.Used()+int(o.GetSlots()) > m.slots:
		return "no free slots"
	}
	return ""
}

// take makes a part for an order, or says why not.
func (m *Machine) take(o *messages.WorkerOrder) (*part, *scheduler.Ack) {
	if reason := m.room(o); reason != "" {
		m.bury(o)
		return nil, refuse(o, reason)
	}
	p := &part{
		job: o.GetJob(), attempt: o.GetAttempt(), members: int(o.GetMembers()),
		rank: int(o.GetRank()), slots: int(o.GetSlots()),
	}
	m.parts[p.job] = p
	return p, nil
}

func (m *Machine) hold(now time.Time, o *messages.WorkerOrder) *scheduler.Ack {
	if p := m.find(o); p != nil && p.state != finished {
		return p.ack(scheduler.AckHeld, "")
	}
	p, refusal := m.take(o)
	if refusal != nil {
		return refusal
	}
	p.until = now.Add(holdLife)
	return p.ack(scheduler.AckHeld, "")
}

func (m *Machine) start(now time.Time, o *messages.WorkerOrder) *scheduler.Ack {
	p := m.find(o)
	switch {
	case p != nil && p.state == running:
		return p.ack(scheduler.AckStarted, "")
	case p != nil && p.state == finished:
		return p.final
	case p == nil && !o.GetSingle():
		m.bury(o)
		return refuse(o, "no hold")
	case p == nil:
		var refusal *scheduler.Ack
		if p, refusal = m.take(o); refusal != nil {
			return refusal
		}
	}
	m.run(now, p, o)
	return p.ack(scheduler.AckStarted, "")
}

// run begins the pretended task.
func (m *Machine) run(now time.Time, p *part, o *messages.WorkerOrder) {
	// A body that is no script is an ordinary request and runs for the declared time.
	_ = json.Unmarshal(o.GetBody(), &p.script)
	length := time.Duration(o.GetRuntime()) * time.Millisecond
	if p.script.Run != nil {
		length = p.script.Run.Std()
	}
	if ms, err := strconv.ParseInt(o.GetResume(), 10, 64); err == nil {
		p.resumed = time.Duration(ms) * time.Millisecond
	}
	p.state = running
	p.began = now
	p.ends = now.Add(max(length-p.resumed, 0))
	p.until = now.Add(m.lease)
	m.observe(now, p.job, p.attempt, p.members, true)
}

func (m *Machine) checkpoint(now time.Time, o *messages.WorkerOrder) *scheduler.Ack {
	p := m.find(o)
	switch {
	case p != nil && p.state == finished:
		return p.final
	case p == nil || p.state == holding || m.KeepSaving:
		return nil
	}
	saved := p.resumed + now.Sub(p.began)
	a := p.ack(scheduler.AckCheckpointed, "")
	a.Progress = saved
	a.Resume = fmt.Sprint(saved.Milliseconds())
	return a
}

func (m *Machine) stop(now time.Time, o *messages.WorkerOrder) *scheduler.Ack {
	p := m.find(o)
	switch {
	case p == nil || p.state == holding:
		m.bury(o)
		if p != nil {
			delete(m.parts, p.job)
		}
		return refuse(o, "never started")
	case p.state == finished:
		return p.final
	}
	return m.end(now, p, p.ack(scheduler.AckStopped, "on order"))
}

// end closes a running part with its final acknowledgement.
func (m *Machine) end(now time.Time, p *part, final *scheduler.Ack) *scheduler.Ack {
	m.observe(now, p.job, p.attempt, p.members, false)
	p.state = finished
	p.final = final
	return final
}

// Advance ends what has run its time, and holds and leases that have run out. It returns the
// final acknowledgements, in no order.
func (m *Machine) Advance(now time.Time) []scheduler.Ack {
	var ended []scheduler.Ack
	for job, p := range m.parts {
		switch {
		case p.state == holding && !now.Before(p.until):
			delete(m.parts, job)
			m.released[job] = max(m.released[job], p.attempt)
		case p.state == running && !now.Before(p.until):
			ended = append(ended, *m.end(now, p, p.ack(scheduler.AckStopped, "its lease ran out")))
		case p.state == running && !now.Before(p.ends):
			ended = append(ended, *m.end(now, p, m.result(p)))
		case p.state == finished && len(m.parts) > maxRemembered:
			m.released[job] = max(m.released[job], p.attempt)
			delete(m.parts, job)
		}
	}
	return ended
}

// result returns how a task ends that has run its time.
func (m *Machine) result(p *part) *scheduler.Ack {
	if m.FailAll {
		return p.ack(scheduler.AckFailed, "worker fault")
	}
	if p.script.Fail != "" {
		return p.ack(scheduler.AckFailed, p.script.Fail)
	}
	done := p.ack(scheduler.AckDone, "")
	if p.rank == 0 {
		// A reply of plain fields can't fail to encode.
		done.Body, _ = json.Marshal(reply{Job: p.job, Attempt: p.attempt, Echo: p.script.Echo})
	}
	return done
}

// Next returns when Advance is due. ok is false while nothing runs.
func (m *Machine) Next() (next time.Time, ok bool) {
	for _, p := range m.parts {
		if p.state == finished {
			continue
		}
		due := p.until
		if p.state == running && p.ends.Before(due) {
			due = p.ends
		}
		if !ok || due.Before(next) {
			next, ok = due, true
		}
	}
	return next, ok
}

// Running returns the attempts that run, in no order.
func (m *Machine) Running() []*messages.Attempt {
	var list []*messages.Attempt
	for _, p := range m.parts {
		if p.state == running {
			list = append(list, &messages.Attempt{Job: p.job, Number: p.attempt})
		}
	}
	return list
}

// Renew extends the leases of attempts that run.
func (m *Machine) Renew(attempts []*messages.Attempt, until time.Time) {
	for _, a := range attempts {
		p := m.parts[a.GetJob()]
		if p != nil && p.state == running && p.attempt == a.GetNumber() && until.After(p.until) {
			p.until = until
		}
	}
}

// Kill ends everything without a word, as the loss of the worker would.
func (m *Machine) Kill(now time.Time) {
	for _, p := range m.parts {
		if p.state == running {
			m.end(now, p, nil)
		}
	}
	m.parts = map[string]*part{}
}
