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
	holdTimeout = 10 * time.Second
	maxFinished = 10_000 // finished attempts kept to answer repeated orders
)

// taskState is the state of this worker's part of an attempt.
type taskState int

const (
	held taskState = iota
	running
	finished
)

// task is this worker's part of one attempt.
type task struct {
	job         string
	attempt     uint32
	members     int
	rank        int
	slots       int
	state       taskState
	expiry      time.Time // end of the hold or of the lease
	startedAt   time.Time
	endsAt      time.Time
	resumedFrom time.Duration
	script      script
	finalAck    *scheduler.Ack
}

// script describes the behaviour of a simulated task. It is read from the body of its job.
type script struct {
	Run  *parser.Duration `json:"run"`  // run time; the declared one if absent
	Fail string           `json:"fail"` // reason of a failure; the task succeeds if empty
	Echo string           `json:"echo"` // copied to the answer
}

// reply is the answer of a simulated task.
type reply struct {
	Job     string `json:"job"`
	Attempt uint32 `json:"attempt"`
	Echo    string `json:"echo,omitempty"`
}

// Machine is the state machine of the worker's side of the protocol. It does no I/O and reads no clock.
type Machine struct {
	FailAll          bool // fault: every task fails
	StallCheckpoints bool // fault: checkpoints never complete

	slots    int
	lease    time.Duration
	observe  func(now time.Time, job string, attempt uint32, members int, started bool)
	leaving  bool
	term     uint64
	tasks    map[string]*task  // by job
	released map[string]uint32 // latest attempt of each job that must never start
}

// NewMachine returns a worker without tasks. observe is called when a task starts and when it ends.
func NewMachine(slots int, lease time.Duration, observe func(now time.Time, job string, attempt uint32, members int, started bool)) *Machine {
	return &Machine{slots: slots, lease: lease, observe: observe, tasks: map[string]*task{}, released: map[string]uint32{}}
}

// Leave makes the worker refuse new tasks.
func (m *Machine) Leave() { m.leaving = true }

// Admit reports whether orders of a term may be carried out. Orders of a term before the latest one come from
// a replaced leader.
func (m *Machine) Admit(term uint64) bool {
	if term < m.term {
		return false
	}
	m.term = term
	return true
}

// Apply carries out one order and returns its acknowledgement, or nil if there is none.
func (m *Machine) Apply(now time.Time, o *messages.WorkerOrder) *scheduler.Ack {
	switch o.GetKind() {
	case "hold":
		return m.hold(now, o)
	case "start":
		return m.start(now, o)
	case "release":
		m.markReleased(o)
		if t := m.find(o); t != nil && t.state == held {
			delete(m.tasks, t.job)
		}
	case "checkpoint":
		return m.checkpoint(now, o)
	case "stop":
		return m.stop(now, o)
	}
	return nil
}

func (t *task) ack(kind scheduler.AckKind, reason string) *scheduler.Ack {
	return &scheduler.Ack{Job: t.job, Attempt: t.attempt, Kind: kind, Reason: reason}
}

func refusalAck(o *messages.WorkerOrder, reason string) *scheduler.Ack {
	return &scheduler.Ack{Job: o.GetJob(), Attempt: o.GetAttempt(), Kind: scheduler.AckRefused, Reason: reason}
}

// find returns the task of the attempt that an order names, or nil if the worker does not have it.
func (m *Machine) find(o *messages.WorkerOrder) *task {
	t := m.tasks[o.GetJob()]
	if t == nil || t.attempt != o.GetAttempt() {
		return nil
	}
	return t
}

// markReleased ensures that an attempt and the earlier ones of its job never start on this worker.
func (m *Machine) markReleased(o *messages.WorkerOrder) {
	m.released[o.GetJob()] = max(m.released[o.GetJob()], o.GetAttempt())
}

// Used returns the number of slots of held and running tasks.
func (m *Machine) Used() int {
	n := 0
	for _, t := range m.tasks {
		if t.state != finished {
			n += t.slots
		}
	}
	return n
}

// Idle reports whether no task is held or running.
func (m *Machine) Idle() bool { return m.Used() == 0 }

// refusalReason returns why an order for a new task is refused, or "" if it can be accepted.
func (m *Machine) refusalReason(o *messages.WorkerOrder) string {
	old := m.tasks[o.GetJob()]
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

// addTask creates the task for an order, or returns the refusal.
func (m *Machine) addTask(o *messages.WorkerOrder) (*task, *scheduler.Ack) {
	if reason := m.refusalReason(o); reason != "" {
		m.markReleased(o)
		return nil, refusalAck(o, reason)
	}
	t := &task{
		job: o.GetJob(), attempt: o.GetAttempt(), members: int(o.GetMembers()),
		rank: int(o.GetRank()), slots: int(o.GetSlots()),
	}
	m.tasks[t.job] = t
	return t, nil
}

func (m *Machine) hold(now time.Time, o *messages.WorkerOrder) *scheduler.Ack {
	switch t := m.find(o); {
	case t != nil && t.state == finished:
		return t.finalAck // a delayed copy; a refusal would say that nothing has run
	case t != nil:
		return t.ack(scheduler.AckHeld, "")
	}
	t, refusal := m.addTask(o)
	if refusal != nil {
		return refusal
	}
	t.expiry = now.Add(holdTimeout)
	return t.ack(scheduler.AckHeld, "")
}

func (m *Machine) start(now time.Time, o *messages.WorkerOrder) *scheduler.Ack {
	t := m.find(o)
	switch {
	case t != nil && t.state == running:
		return t.ack(scheduler.AckStarted, "")
	case t != nil && t.state == finished:
		return t.finalAck
	case t == nil && !o.GetSingle():
		m.markReleased(o)
		return refusalAck(o, "no hold")
	case t == nil:
		var refusal *scheduler.Ack
		if t, refusal = m.addTask(o); refusal != nil {
			return refusal
		}
	}
	m.run(now, t, o)
	return t.ack(scheduler.AckStarted, "")
}

// run starts the simulated task.
func (m *Machine) run(now time.Time, t *task, o *messages.WorkerOrder) {
	// A body that is not a script belongs to an ordinary job, which runs for the declared time.
	_ = json.Unmarshal(o.GetBody(), &t.script)
	length := time.Duration(o.GetRuntime()) * time.Millisecond
	if t.script.Run != nil {
		length = t.script.Run.Std()
	}
	if ms, err := strconv.ParseInt(o.GetResume(), 10, 64); err == nil {
		t.resumedFrom = time.Duration(ms) * time.Millisecond
	}
	t.state = running
	t.startedAt = now
	t.endsAt = now.Add(max(length-t.resumedFrom, 0))
	t.expiry = now.Add(m.lease)
	m.observe(now, t.job, t.attempt, t.members, true)
}

func (m *Machine) checkpoint(now time.Time, o *messages.WorkerOrder) *scheduler.Ack {
	t := m.find(o)
	switch {
	case t != nil && t.state == finished:
		return t.finalAck
	case t == nil || t.state == held || m.StallCheckpoints:
		return nil
	}
	saved := t.resumedFrom + now.Sub(t.startedAt)
	a := t.ack(scheduler.AckCheckpointed, "")
	a.Progress = saved
	a.Resume = fmt.Sprint(saved.Milliseconds())
	return a
}

func (m *Machine) stop(now time.Time, o *messages.WorkerOrder) *scheduler.Ack {
	t := m.find(o)
	switch {
	case t == nil || t.state == held:
		m.markReleased(o)
		if t != nil {
			delete(m.tasks, t.job)
		}
		return refusalAck(o, "never started")
	case t.state == finished:
		return t.finalAck
	}
	return m.finish(now, t, t.ack(scheduler.AckStopped, "on order"))
}

// finish ends a running task and records its final acknowledgement.
func (m *Machine) finish(now time.Time, t *task, final *scheduler.Ack) *scheduler.Ack {
	m.observe(now, t.job, t.attempt, t.members, false)
	t.state = finished
	t.finalAck = final
	return final
}

// Advance ends tasks that are complete and tasks whose hold or lease has expired. It returns the final
// acknowledgements in no particular order.
func (m *Machine) Advance(now time.Time) []scheduler.Ack {
	var ended []scheduler.Ack
	for job, t := range m.tasks {
		switch {
		case t.state == held && !now.Before(t.expiry):
			delete(m.tasks, job)
			m.released[job] = max(m.released[job], t.attempt)
		case t.state == running && !now.Before(t.expiry):
			ended = append(ended, *m.finish(now, t, t.ack(scheduler.AckStopped, "its lease expired")))
		case t.state == running && !now.Before(t.endsAt):
			ended = append(ended, *m.finish(now, t, m.result(t)))
		case t.state == finished && len(m.tasks) > maxFinished:
			m.released[job] = max(m.released[job], t.attempt)
			delete(m.tasks, job)
		}
	}
	return ended
}

// result returns the final acknowledgement of a task that has run for its full time.
func (m *Machine) result(t *task) *scheduler.Ack {
	if m.FailAll {
		return t.ack(scheduler.AckFailed, "worker fault")
	}
	if t.script.Fail != "" {
		return t.ack(scheduler.AckFailed, t.script.Fail)
	}
	done := t.ack(scheduler.AckDone, "")
	if t.rank == 0 {
		// Encoding a struct of plain fields cannot fail.
		done.Body, _ = json.Marshal(reply{Job: t.job, Attempt: t.attempt, Echo: t.script.Echo})
	}
	return done
}

// Next returns when Advance must be called next. ok is false if no task is held or running.
func (m *Machine) Next() (next time.Time, ok bool) {
	for _, t := range m.tasks {
		if t.state == finished {
			continue
		}
		due := t.expiry
		if t.state == running && t.endsAt.Before(due) {
			due = t.endsAt
		}
		if !ok || due.Before(next) {
			next, ok = due, true
		}
	}
	return next, ok
}

// Running returns the running attempts in no particular order.
func (m *Machine) Running() []*messages.Attempt {
	var list []*messages.Attempt
	for _, t := range m.tasks {
		if t.state == running {
			list = append(list, &messages.Attempt{Job: t.job, Number: t.attempt})
		}
	}
	return list
}

// Renew extends the leases of running attempts.
func (m *Machine) Renew(attempts []*messages.Attempt, until time.Time) {
	for _, a := range attempts {
		t := m.tasks[a.GetJob()]
		if t != nil && t.state == running && t.attempt == a.GetNumber() && until.After(t.expiry) {
			t.expiry = until
		}
	}
}

// Kill ends all tasks without acknowledgements, which simulates the loss of the worker.
func (m *Machine) Kill(now time.Time) {
	for _, t := range m.tasks {
		if t.state == running {
			m.finish(now, t, nil)
		}
	}
	m.tasks = map[string]*task{}
}
