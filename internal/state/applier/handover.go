package applier

import (
	"cmp"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/bluebellgauge/bluebellgauge/internal/state/replicator"
)

// Reasons to hand over the lead, for the log.
const (
	reasonStop     = "stop"
	reasonSlowDisk = "slow disk"
)

// handover is a hand-over of the lead in progress.
type handover struct {
	to      string // "" if none is in progress
	term    uint64
	started time.Duration // Options.Elapsed
}

// Leave tells the replica that its daemon stops: it hands the lead over whenever it has it, and another replica that can
// lead comes first in elections. It does not block.
func (a *Applier) Leave() { a.leaveOnce.Do(func() { close(a.leave) }) }

// startLeaving carries out Leave.
func (a *Applier) startLeaving() {
	a.leaving = true
	a.node.Leave()
	if a.node.Role() == replicator.Leader && a.node.Transferee() == "" {
		a.logNoSuccessor(reasonStop)
	}
}

// handOver starts to hand the lead over and reports whether there is a voter for that.
func (a *Applier) handOver(reason string) bool {
	if a.node.Transfer() {
		a.reason = reason
		return true
	}
	if a.node.Role() == replicator.Leader {
		a.logNoSuccessor(reason)
	}
	return false
}

func (a *Applier) logNoSuccessor(reason string) {
	a.opts.Log.Warn("no voter to hand the lead over to", zap.String("reason", reason), zap.Uint64("term", a.node.Term()),
		zap.Objects("candidates", a.candidates()))
}

// resign gives up the lead, and lets a voter campaign for it at once if there is one.
func (a *Applier) resign() {
	candidates, leading := a.candidates(), a.node.Role() == replicator.Leader
	list := a.node.Resign()
	if leading {
		to := ""
		if len(list) > 0 {
			to = list[0].GetTo()
		}
		a.logPosition("resigns the lead", zap.String("to", to), zap.Objects("candidates", candidates))
	}
	a.opts.Send(list)
}

// observeHandover reports the start and the end of hand-overs.
func (a *Applier) observeHandover() {
	to := a.node.Transferee()
	if to == a.handover.to {
		return
	}
	if h := a.handover; h.to != "" {
		outcome := "taken over"
		if a.node.Term() == h.term {
			outcome = "not taken over in time"
		}
		a.opts.Log.Info("hand-over of the lead ended", zap.String("to", h.to), zap.Uint64("term", h.term), zap.String("outcome", outcome),
			zap.Duration("took", a.opts.Elapsed()-h.started))
	}
	a.handover = handover{to: to, term: a.node.Term(), started: a.opts.Elapsed()}
	if to != "" {
		a.logPosition("hands over the lead", zap.String("reason", cmp.Or(a.reason, reasonStop)), zap.String("to", to), zap.Objects("candidates", a.candidates()))
		a.reason = ""
	}
}

// observeCampaign reports the start of campaigns. Those that follow an undecided one of the same kind write no line.
func (a *Applier) observeCampaign() {
	role := a.node.Role()
	if role != a.role && (role == replicator.PreCandidate || role == replicator.Candidate) {
		a.logPosition("campaign starts", zap.String("role", role.String()), zap.Bool("stopping", a.leaving))
	}
	a.role = role
}

// candidate is the log form of a replicator.Successor.
type candidate struct {
	replicator.Successor

	tick time.Duration
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (c candidate) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddString("name", c.Name)
	e.AddUint64("match", c.Match)
	e.AddDuration("age", time.Duration(c.Age)*c.tick)
	e.AddBool("leaving", c.Leaving)
	return nil
}

func (a *Applier) candidates() []candidate {
	var list []candidate
	for _, c := range a.node.Successors() {
		list = append(list, candidate{c, a.opts.Tick})
	}
	return list
}
