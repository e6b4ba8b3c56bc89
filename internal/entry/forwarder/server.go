package forwarder

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/report/evaluator"
	"github.com/bluebellgauge/bluebellgauge/internal/report/recorder"
	"github.com/bluebellgauge/bluebellgauge/internal/state/applier"
	"github.com/bluebellgauge/bluebellgauge/internal/state/replicator"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/registrar"
)

// Server handles the requests of other daemons on a replica.
type Server struct {
	ServerOptions

	mu      sync.Mutex
	term    uint64 // of monitor
	monitor *registrar.Monitor
}

var _ messages.Peer = (*Server)(nil)

// ServerOptions are the dependencies of a server.
type ServerOptions struct {
	Replica *applier.Applier
	Timing  registrar.Timing
	Now     func() time.Time
	Address func(name string) string // address of a replica, "" if unknown
	History *recorder.Recorder
	Burn    *evaluator.Evaluator
	Log     *zap.Logger
}

// NewServer returns the server of one replica.
func NewServer(opts ServerOptions) *Server { return &Server{ServerOptions: opts} }

// Exchange handles messages of the consensus protocol.
func (s *Server) Exchange(ctx context.Context, b *messages.Batch) (*messages.Taken, error) {
	list, step := b.GetMessages(), s.Replica.Step
	if !s.Replica.IdentityMatches(b.GetFrom(), b.GetIdentity()) {
		list, step = messagesOfUnknown(list, b.GetIdentity()), s.Replica.StepUnknown
	}
	if len(list) == 0 && len(b.GetMessages()) > 0 {
		return nil, twirp.NewError(twirp.PermissionDenied, "the data folder of "+b.GetFrom()+" is not the one that is a member")
	}
	if err := step(ctx, list); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &messages.Taken{}, nil
}

// messagesOfUnknown returns the messages that may come from an unknown data folder: those that only an elected leader sends, and
// requests for votes by a candidate that has learned from a leader that its folder takes part. A replica that lags may not have
// learned yet that the folder was replaced. Votes and acknowledgements count for the folder.
func messagesOfUnknown(list []*messages.Message, identity string) []*messages.Message {
	var taken []*messages.Message
	for _, m := range list {
		if m.GetKind() == messages.Kind_KIND_APPEND || m.GetKind() == messages.Kind_KIND_SNAPSHOT || replicator.NamesFolder(m, identity) {
			taken = append(taken, m)
		}
	}
	return taken
}

// Propose commits an event.
func (s *Server) Propose(ctx context.Context, p *messages.Proposal) (*messages.Decision, error) {
	_, event, err := scheduler.Decode(p.GetEvent())
	if err != nil {
		return nil, twirp.NewError(twirp.InvalidArgument, err.Error())
	}
	receipt, err := s.Replica.Propose(ctx, event)
	if err != nil {
		return nil, s.RedirectError(ctx, err)
	}
	reply := scheduler.Reply{Status: scheduler.StatusOK}
	for _, o := range receipt.Orders {
		if r, ok := o.(scheduler.Reply); ok {
			reply = r
		}
	}
	return decision(string(reply.Status), reply)
}

// Await waits until a job has its answer or the requested time is over.
func (s *Server) Await(ctx context.Context, w *messages.Wait) (*messages.Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(w.GetMilliseconds())*time.Millisecond)
	defer cancel()
	view, known, err := s.Replica.Await(ctx, w.GetOrganisation(), w.GetKey())
	if err != nil {
		return nil, s.RedirectError(context.WithoutCancel(ctx), err)
	}
	if !known {
		return &messages.Decision{Status: string(scheduler.StatusUnknown)}, nil
	}
	return decision(string(scheduler.StatusOK), view)
}

// maxHistoryRecords is the maximum number of records in one reply.
const maxHistoryRecords = 1000

// Kinds of queries that the leader handles.
const (
	QueryJob      = "job"
	QueryJobs     = "jobs"
	QueryWorkers  = "workers"
	QueryShapes   = "shapes"
	QueryManifest = "manifest"
	QueryDaemons  = "daemons"
	QueryMembers  = "members"
	QueryFigures  = "figures"
	QueryHistory  = "history"
	QueryBurn     = "burn"
)

// Query returns a view of the leader's state.
func (s *Server) Query(ctx context.Context, q *messages.Question) (*messages.Decision, error) {
	var body any
	err := s.Replica.Read(ctx, func(_ uint64, state *scheduler.State) { body = s.view(state, q) })
	if err != nil {
		return nil, s.RedirectError(ctx, err)
	}
	if q.GetKind() == QueryHistory {
		lines, err := s.History.Find(recorder.Filter{Subject: q.GetKey(), Org: q.GetOrganisation(), Limit: maxHistoryRecords})
		if err != nil {
			return nil, twirp.InternalErrorWith(err)
		}
		body = lines
	}
	if q.GetKind() == QueryMembers {
		status, err := s.Replica.Status(ctx)
		if err != nil {
			return nil, s.RedirectError(ctx, err)
		}
		body = membersView(status)
	}
	if body == nil {
		return nil, twirp.NewError(twirp.InvalidArgument, "unknown question "+q.GetKind())
	}
	return decision(string(scheduler.StatusOK), body)
}

func (s *Server) view(state *scheduler.State, q *messages.Question) any {
	switch q.GetKind() {
	case QueryJobs:
		return nonNil(state.Jobs(q.GetOrganisation(), q.GetAll()))
	case QueryWorkers:
		return nonNil(state.Workers())
	case QueryShapes:
		return nonNil(state.Guarantees())
	case QueryFigures:
		return FiguresView{Fragmentation: state.Fragmentation()}
	case QueryManifest:
		_, text := state.Manifest()
		return ManifestView{Version: state.Version(), Text: string(text)}
	case QueryDaemons:
		s.mu.Lock()
		defer s.mu.Unlock()
		list := []DaemonView{}
		if s.monitor == nil {
			return list
		}
		for _, d := range s.monitor.Roster(s.Now()).Daemons {
			list = append(list, DaemonView{
				Name: d.GetName(), Place: d.GetPlace(), Version: d.GetVersion(), Draining: d.GetDraining(),
				Keeper: d.GetKeeper(), Current: d.GetVersion() == state.Version(),
			})
		}
		return list
	case QueryBurn:
		m, _ := state.Manifest()
		if m == nil {
			return []evaluator.Row{}
		}
		return s.Burn.Report(s.Now(), m.Objectives)
	case QueryMembers, QueryHistory:
		return struct{}{} // Query replaces it outside of the replica's goroutine
	}
	return nil
}

func nonNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

// FiguresView holds figures of the whole fleet.
type FiguresView struct {
	// Fragmentation is the fraction of free slots that are not part of an entirely free worker.
	Fragmentation float64 `json:"fragmentation"`
}

// ManifestView is the manifest in force.
type ManifestView struct {
	Version uint64 `json:"version"`
	Text    string `json:"text"`
}

// DaemonView is the leader's view of a daemon.
type DaemonView struct {
	Name     string `json:"name"`
	Place    string `json:"place"`
	Version  uint64 `json:"version"`
	Current  bool   `json:"current"` // the daemon uses the latest manifest
	Draining bool   `json:"draining,omitempty"`
	Keeper   bool   `json:"keeper,omitempty"`
}

// MemberView is a member of the consensus group.
type MemberView struct {
	Name    string `json:"name"`
	Place   string `json:"place"`
	Address string `json:"address"`
	Role    string `json:"role"` // leader, voter or learner
	// Identity is the identity of the member's data folder, "" before its first heartbeat.
	Identity string `json:"identity,omitempty"`
}

func membersView(s applier.Status) []MemberView {
	list := []MemberView{}
	for _, m := range s.Members.GetVoters() {
		role := "voter"
		if m.GetName() == s.Leader {
			role = "leader"
		}
		list = append(list, MemberView{Name: m.GetName(), Place: m.GetPlace(), Address: m.GetAddress(), Role: role, Identity: m.GetIdentity()})
	}
	for _, m := range s.Members.GetLearners() {
		list = append(list, MemberView{Name: m.GetName(), Place: m.GetPlace(), Address: m.GetAddress(), Role: "learner", Identity: m.GetIdentity()})
	}
	return list
}

// Sync handles a daemon's heartbeat.
func (s *Server) Sync(ctx context.Context, b *messages.Beat) (*messages.Orders, error) {
	reply := &messages.Orders{}
	now := s.Now()
	err := s.Replica.Read(ctx, func(term uint64, state *scheduler.State) {
		s.mu.Lock()
		defer s.mu.Unlock()
		monitor := s.monitorFor(term)
		reply.Resync = monitor.Heartbeat(now, b)
		reply.Term = term
		reply.Version = state.Version()
		reply.Barred = monitor.Barred(now, state)
		reply.Unknown = monitor.Unknown(b, state)
		reply.Again = monitor.HeartbeatInterval().Milliseconds()
		roster := monitor.Roster(now)
		if reply.Roster = roster.Digest; b.GetRoster() != roster.Digest {
			reply.Daemons = roster.Daemons
		}
		if _, text := state.Manifest(); b.GetVersion() < state.Version() {
			reply.Manifest = text
		}
	})
	if err != nil {
		return nil, s.RedirectError(ctx, err)
	}
	return reply, nil
}

// monitorFor returns the monitor of a term. It creates one if the term is new. A call that is late, with an earlier term, gets an
// empty monitor that is not kept: the changes that it decides on are not committed. The caller must hold the lock.
func (s *Server) monitorFor(term uint64) *registrar.Monitor {
	if s.monitor != nil && term < s.term {
		return registrar.NewMonitor(s.Timing, s.Now(), s.Log)
	}
	if s.monitor == nil || term > s.term {
		s.term = term
		s.monitor = registrar.NewMonitor(s.Timing, s.Now(), s.Log)
	}
	return s.monitor
}

// Keepers returns the replicas whose daemons have sent heartbeats to the leader of a term.
func (s *Server) Keepers(term uint64) []registrar.KeeperStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.monitorFor(term).Keepers()
}

// OutdatedKeeper returns the name of a keeper in contact that can't apply the latest entries of the queues of this build,
// according to the leader of a term, "" if there is none.
func (s *Server) OutdatedKeeper(term uint64) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.monitorFor(term).Outdated(s.Now(), scheduler.QueueEntryFormat)
}

// AllApply reports whether all keepers of a list are in contact with the leader of a term, and apply all log entries of this
// build.
func (s *Server) AllApply(term uint64, keepers []*messages.Member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	monitor := s.monitorFor(term)
	for _, m := range keepers {
		if !monitor.Applies(s.Now(), m.GetName(), scheduler.EntryFormat) {
			return false
		}
	}
	return true
}

// HasDaemonIn reports whether a daemon of a place is in contact, according to the leader of a term.
func (s *Server) HasDaemonIn(term uint64, place string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.monitorFor(term).Roster(s.Now()).Daemons, func(d *messages.Daemon) bool { return d.GetPlace() == place })
}

// Lost returns the workers whose leases have expired according to the leader of a term.
func (s *Server) Lost(term uint64, state *scheduler.State) []scheduler.WorkerLost {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.monitorFor(term).Lost(s.Now(), state)
}

// RedirectError converts an error of the replica into one for the caller, which names the leader if it is known.
func (s *Server) RedirectError(_ context.Context, err error) error {
	if !errors.Is(err, applier.ErrNotLeader) {
		return twirp.NewError(twirp.Unavailable, err.Error())
	}
	return NotLeader(s.Address(s.Replica.Leader()))
}

func decision(status string, body any) (*messages.Decision, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &messages.Decision{Status: status, Body: data}, nil
}
