package executor

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/job/decider"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/converter"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// partState is where this worker's share of an attempt stands.
type partState int

const (
	holding partState = iota
	running
	finished // has a final acknowledgement
	killed   // ended with the worker
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
	run     time.Duration
	resumed time.Duration
	timer   *time.Timer
	script  script
	final   *decider.Ack
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

func (p *part) ended() bool { return p.state == finished || p.state == killed }

func (p *part) end(s partState) {
	p.state = s
	if p.timer != nil {
		p.timer.Stop()
	}
}

func (p *part) progress(now time.Time) time.Duration { return p.resumed + now.Sub(p.began) }

func (p *part) ack(kind decider.AckKind, reason string) *decider.Ack {
	return &decider.Ack{Job: p.job, Attempt: p.attempt, Kind: kind, Reason: reason}
}

func refuse(o *messages.WorkerOrder, reason string) *decider.Ack {
	return &decider.Ack{Job: o.GetJob(), Attempt: o.GetAttempt(), Kind: decider.AckRefused, Reason: reason}
}

// find returns the part of just the attempt that an order names, nil when it is not here.
func (e *Executor) find(o *messages.WorkerOrder) *part {
	p := e.parts[o.GetJob()]
	if p == nil || p.attempt != o.GetAttempt() {
		return nil
	}
	return p
}

// bury makes sure that an attempt never starts here.
func (e *Executor) bury(o *messages.WorkerOrder) {
	if len(e.released) >= maxRemembered {
		clear(e.released)
	}
	e.released[o.GetJob()] = max(e.released[o.GetJob()], o.GetAttempt())
}

func (e *Executor) buried(o *messages.WorkerOrder) bool {
	return o.GetAttempt() <= e.released[o.GetJob()]
}

func (e *Executor) usedSlots() int {
	n := 0
	for _, p := range e.parts {
		if !p.ended() {
			n += p.slots
		}
	}
	return n
}

// room reports why a new part can't be taken, "" when it can.
func (e *Executor) room(o *messages.WorkerOrder) string {
	old := e.parts[o.GetJob()]
	switch {
	case e.buried(o):
		return "released before"
	case old != nil && old.attempt > o.GetAttempt():
		return "a later attempt is known"
	case old != nil && !old.ended():
		return "an earlier attempt has not ended"
	case e.leaving:
		return "leaving"
	case e.usedSlots()+int(o.GetSlots()) > int(e.opts.Announcement.GetSlots()):
		return "no free slots"
	}
	return ""
}

func newPart(o *messages.WorkerOrder) *part {
	return &part{
		job: o.GetJob(), attempt: o.GetAttempt(), members: int(o.GetMembers()),
		rank: int(o.GetRank()), slots: int(o.GetSlots()),
	}
}

func (e *Executor) hold(o *messages.WorkerOrder) *decider.Ack {
	if p := e.find(o); p != nil && !p.ended() {
		return p.ack(decider.AckHeld, "")
	}
	if reason := e.room(o); reason != "" {
		e.bury(o)
		return refuse(o, reason)
	}
	p := newPart(o)
	p.until = time.Now().Add(holdLife)
	e.parts[p.job] = p
	return p.ack(decider.AckHeld, "")
}

func (e *Executor) start(o *messages.WorkerOrder) *decider.Ack {
	p := e.find(o)
	switch {
	case p != nil && p.state == running:
		return p.ack(decider.AckStarted, "")
	case p != nil && p.ended():
		return p.final
	case p == nil && !o.GetSingle():
		e.bury(o)
		return refuse(o, "no hold")
	case p == nil:
		if reason := e.room(o); reason != "" {
			e.bury(o)
			return refuse(o, reason)
		}
		p = newPart(o)
		e.parts[p.job] = p
	}
	e.run(p, o)
	return p.ack(decider.AckStarted, "")
}

// run begins the pretended task.
func (e *Executor) run(p *part, o *messages.WorkerOrder) {
	// A body that is no script is an ordinary request and runs for the declared time.
	_ = json.Unmarshal(o.GetBody(), &p.script)
	p.run = time.Duration(o.GetRuntime()) * time.Millisecond
	if p.script.Run != nil {
		p.run = p.script.Run.Std()
	}
	if ms, err := strconv.ParseInt(o.GetResume(), 10, 64); err == nil {
		p.resumed = time.Duration(ms) * time.Millisecond
	}
	p.state = running
	p.began = time.Now()
	p.until = p.began.Add(e.opts.Timing.Lease)
	e.trace(p, true)
	p.timer = time.AfterFunc(max(p.run-p.resumed, 0), func() { e.finish(p) })
}

// finish ends a task that has run its time.
func (e *Executor) finish(p *part) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p.state != running {
		return
	}
	if e.Faults.FailAll.Load() {
		p.script.Fail = "worker fault"
	}
	if p.script.Fail != "" {
		e.close(p, p.ack(decider.AckFailed, p.script.Fail))
		return
	}
	done := p.ack(decider.AckDone, "")
	if p.rank == 0 {
		// A reply of plain fields can't fail to encode.
		done.Body, _ = json.Marshal(reply{Job: p.job, Attempt: p.attempt, Echo: p.script.Echo})
	}
	e.close(p, done)
}

// close ends a running part with its final acknowledgement and reports it.
func (e *Executor) close(p *part, final *decider.Ack) {
	e.trace(p, false)
	p.end(finished)
	p.final = final
	message := converter.Ack(*final)
	late := time.Duration(e.Faults.LateAnswer.Load())
	if late == 0 {
		e.outbox = append(e.outbox, message)
		e.wake()
		return
	}
	time.AfterFunc(late, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.outbox = append(e.outbox, message)
		e.wake()
	})
}

func (e *Executor) release(o *messages.WorkerOrder) {
	e.bury(o)
	if p := e.find(o); p != nil && p.state == holding {
		delete(e.parts, p.job)
	}
}

func (e *Executor) checkpoint(o *messages.WorkerOrder) *decider.Ack {
	p := e.find(o)
	switch {
	case p != nil && p.ended():
		return p.final
	case p == nil || p.state == holding:
		return nil
	case e.Faults.KeepSaving.Load():
		return nil
	}
	saved := p.progress(time.Now())
	a := p.ack(decider.AckCheckpointed, "")
	a.Progress = saved
	a.Resume = fmt.Sprint(saved.Milliseconds())
	return a
}

func (e *Executor) stop(o *messages.WorkerOrder) *decider.Ack {
	p := e.find(o)
	switch {
	case p == nil || p.state == holding:
		e.bury(o)
		if p != nil {
			delete(e.parts, p.job)
		}
		return refuse(o, "never started")
	case p.ended():
		return p.final
	}
	e.trace(p, false)
	p.end(finished)
	p.final = p.ack(decider.AckStopped, "on order")
	return p.final
}

// sweep ends holds and leases that have run out, and forgets old parts.
func (e *Executor) sweep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for job, p := range e.parts {
		switch {
		case p.state == holding && now.After(p.until):
			delete(e.parts, job)
			e.released[job] = max(e.released[job], p.attempt)
		case p.state == running && now.After(p.until):
			e.close(p, p.ack(decider.AckStopped, "its lease ran out"))
		case p.ended() && len(e.parts) > maxRemembered:
			e.released[job] = max(e.released[job], p.attempt)
			delete(e.parts, job)
		}
	}
}
