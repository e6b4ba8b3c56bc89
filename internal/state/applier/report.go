package applier

import (
	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/state/persister"
	"github.com/bluebellgauge/bluebellgauge/internal/state/replicator"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// logStart logs the stored state that the node has been started from.
func (a *Applier) logStart(initial replicator.InitialState) {
	recovery := a.storage.Recovery()
	var snapshotIndex, snapshotTerm uint64
	if s := initial.Snapshot; s != nil {
		snapshotIndex, snapshotTerm = s.Index, s.Term
	}
	last, lastTerm := snapshotIndex, snapshotTerm
	if n := len(initial.Entries); n > 0 {
		last, lastTerm = initial.Entries[n-1].GetIndex(), initial.Entries[n-1].GetTerm()
	}
	hard, members := initial.HardState, a.node.Members()
	a.opts.Log.Info("replica starts", zap.String("folder", a.opts.Folder), zap.String("identity", a.storage.Identity()),
		zap.Bool("new", recovery.New), zap.Bool("reset", persister.WasReset(a.opts.Folder)), zap.Int64("torn", recovery.Dropped),
		zap.Uint64("snapshot", snapshotIndex), zap.Uint64("snapshotterm", snapshotTerm),
		zap.Uint64("last", last), zap.Uint64("lastterm", lastTerm),
		zap.Uint64("term", hard.GetTerm()), zap.String("vote", hard.GetVote()), zap.Uint64("led", hard.GetLed()),
		zap.Uint64("committed", hard.GetCommit()), zap.Uint64("applied", a.applied),
		zap.Strings("voters", memberNames(members.GetVoters())), zap.Strings("learners", memberNames(members.GetLearners())))
}

// logPosition logs a message with the replica's term and how far its log is applied, committed and synced.
func (a *Applier) logPosition(message string, fields ...zap.Field) {
	a.opts.Log.Info(message, append(fields, zap.Uint64("term", a.node.Term()), zap.Uint64("applied", a.applied),
		zap.Uint64("committed", a.node.Committed()), zap.Uint64("synced", a.node.LastSynced()))...)
}

// memberNames returns the names of members with the identities of their folders, where known.
func memberNames(list []*messages.Member) []string {
	names := make([]string, 0, len(list))
	for _, m := range list {
		name := m.GetName()
		if m.GetIdentity() != "" {
			name += " " + m.GetIdentity()
		}
		names = append(names, name)
	}
	return names
}
