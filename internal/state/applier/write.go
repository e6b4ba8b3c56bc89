package applier

import (
	"time"

	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/state/replicator"
)

// pendingWrite is a write to the storage in progress. Until it has ended, nothing else is written and no output is taken
// from the node. A leader goes on meanwhile: it sends heartbeats and new entries, handles the replies and serves reads.
type pendingWrite struct {
	what    string // for the log
	entries int
	started time.Duration         // Options.Elapsed
	leading bool                  // when it started
	finish  func(err error) error // called with the result
}

// startWrite runs write on the goroutine of the storage.
func (a *Applier) startWrite(w *pendingWrite, write func() error) {
	w.started, w.leading = a.opts.Elapsed(), a.node.Role() == replicator.Leader
	a.writing = w
	a.writes <- write
}

// finishWrite handles the end of the write in progress.
func (a *Applier) finishWrite(err error) error {
	w := a.writing
	a.writing = nil
	a.logBytes = a.storage.Size()
	took := a.opts.Elapsed() - w.started
	if took >= slowWrite {
		a.opts.Log.Warn("slow write of the "+w.what, zap.Duration("took", took), zap.Int("entries", w.entries),
			zap.Uint64("term", a.node.Term()), zap.Bool("leading", w.leading))
	}
	if err := w.finish(err); err != nil {
		return err
	}
	a.handOverIfSlow(w.leading && took >= electionTicks*a.opts.Tick)
	return nil
}

// finishAppend acknowledges what was appended to the log.
func (a *Applier) finishAppend(out *replicator.Output, err error) error {
	if err != nil {
		return err
	}
	if n := len(out.Entries); n > 0 {
		a.node.Synced(out.Entries[n-1])
	}
	a.opts.Send(out.AfterSync)
	return nil
}

// handOverIfSlow transfers the lead after several slow writes in a row, as commits wait for them.
func (a *Applier) handOverIfSlow(slow bool) {
	if !slow || a.node.Role() != replicator.Leader {
		a.slowWrites = 0
		return
	}
	if a.slowWrites++; a.slowWrites < maxSlowWrites {
		return
	}
	a.slowWrites = 0
	started := a.handOver(reasonSlowDisk)
	a.opts.Log.Warn("leader with a slow disk hands over", zap.Uint64("term", a.node.Term()), zap.Bool("started", started))
}

// resignIfStuck makes a leader resign whose write goes on for too long, as a disk may stop to respond for ever.
func (a *Applier) resignIfStuck() {
	if a.writing == nil || a.node.Role() != replicator.Leader {
		return
	}
	if took := a.opts.Elapsed() - a.writing.started; took >= maxWriteTicks*a.opts.Tick {
		a.opts.Log.Warn("leader with a stuck disk resigns", zap.Uint64("term", a.node.Term()), zap.Duration("took", took))
		a.resign()
	}
}
