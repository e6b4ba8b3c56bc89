package forwarder

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/report/evaluator"
	"github.com/bluebellgauge/bluebellgauge/internal/report/recorder"
	"github.com/bluebellgauge/bluebellgauge/internal/state/applier"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/registrar"
)

// Server answers other daemons on a keeper.
type Server struct {
	ServerOptions

	mu    sync.Mutex
	term  uint64 // of the watch
	watch *registrar.Watch
}

var _ messages.Peer = (*Server)(nil)

// ServerOptions are the dependencies of a server.
type ServerOptions struct {
	Replica *applier.Applier
	Timing  registrar.Timing
	Now     func() time.Time
	Address func(name string) string // of a keeper, "" when unknown
	History *recorder.Recorder
	Burn    *evaluator.Evaluator
}

// NewServer returns the server of one replica.
func NewServer(opts ServerOptions) *Server { return &Server{ServerOptions: opts} }

// Exchange takes in messages of the consensus.
func (s *Server) Exchange(ctx context.Context, b *messages.Batch) (*messages.Taken, error) {
	if !s.Replica.IdentityMatches(b.GetFrom(), b.GetIdentity()) {
		return nil, twirp.NewError(twirp.PermissionDenied, "the data folder of "+b.GetFrom()+" is not the one that is a member")
	}
	if err := s.Replica.Step(ctx, b.GetMessages()); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &messages.Taken{}, nil
}

// Propose commits an event.
func (s *Server) Propose(ctx context.Context, p *messages.Proposal) (*messages.Decision, error) {
	_, event, err := scheduler.Decode(p.GetEvent())
	if err != nil {
		return nil, twirp.NewError(twirp.InvalidArgument, err.Error())
	}
	orders, err := s.Replica.Propose(ctx, event)
	if err != nil {
		return nil, s.Explain(ctx, err)
	}
	reply := scheduler.Reply{Status: scheduler.StatusOK}
	for _, o := range orders {
		if r, ok := o.(scheduler.Reply); ok {
			reply = r
		}
	}
	return decision(string(reply.Status), reply)
}

// Await waits for the answer of a job.
func (s *Server) Await(ctx context.Context, w *messages.Wait) (*messages.Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(w.GetMilliseconds())*time.Millisecond)
	defer cancel()
	view, known, err := s.Replica.Await(ctx, w.GetOrganisation(), w.GetKey())
	if err != nil {
		return nil, s.Explain(context.WithoutCancel(ctx), err)
	}
	if !known {
		return &messages.Decision{Status: string(scheduler.StatusUnknown)}, nil
	}
	return decision(string(scheduler.StatusOK), view)
}

// maxHistory bounds the lines of one reply on the history.
const maxHistory = 1000

// Questions that a leader answers.
const (
	AskJob      = "job"
	AskJobs     = "jobs"
	AskWorkers  = "workers"
	AskShapes   = "shapes"
	AskManifest = "manifest"
	AskDaemons  = "daemons"
	AskMembers  = "members"
	AskFigures  = "figures"
	AskHistory  = "history"
	AskBurn     = "burn"
)

// Query answers from the leader's state.
func (s *Server) Query(ctx context.Context, q *messages.Question) (*messages.Decision, error) {
	var body any
	err := s.Replica.Read(ctx, func(_ uint64, state *scheduler.State) { body = s.look(state, q) })
	if err != nil {
		return nil, s.Explain(ctx, err)
	}
	if q.GetKind() == AskHistory {
		lines, err := s.History.Find(recorder.Filter{Subject: q.GetKey(), Org: q.GetOrganisation(), Limit: maxHistory})
		if err != nil {
			return nil, twirp.InternalErrorWith(err)
		}
		body = lines
	}
	if q.GetKind() == AskMembers {
		status, err := s.Replica.Status(ctx)
		if err != nil {
			return nil, s.Explain(ctx, err)
		}
		body = membersView(status)
	}
	if body == nil {
		return nil, twirp.NewError(twirp.InvalidArgument, "unknown question "+q.GetKind())
	}
	return decision(string(scheduler.StatusOK), body)
}

func (s *Server) look(state *scheduler.State, q *messages.Question) any {
	switch q.GetKind() {
	case AskJobs:
		return nonNil(state.Jobs(q.GetOrganisation(), q.GetAll()))
	case AskWorkers:
		return nonNil(state.Workers())
	case AskShapes:
		return nonNil(state.Guarantees())
	case AskFigures:
		return FiguresView{Fragmentation: state.Fragmentation()}
	case AskManifest:
		_, text := state.Manifest()
		return ManifestView{Version: state.Version(), Text: string(text)}
	case AskDaemons:
		s.mu.Lock()
		defer s.mu.Unlock()
		list := []DaemonView{}
		if s.watch == nil {
			return list
		}
		for _, d := range s.watch.Roster(s.Now()).Daemons {
			list = append(list, DaemonView{
				Name: d.GetName(), Place: d.GetPlace(), Version: d.GetVersion(), Draining: d.GetDraining(),
				Keeper: d.GetKeeper(), Current: d.GetVersion() == state.Version(),
			})
		}
		return list
	case AskBurn:
		m, _ := state.Manifest()
		if m == nil {
			return []evaluator.Row{}
		}
		return s.Burn.Report(s.Now(), m.Objectives)
	case AskMembers, AskHistory:
		return struct{}{} // filled in outside of the replica's goroutine
	}
	return nil
}

func nonNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

// FiguresView is what the fleet looks like as a whole.
type FiguresView struct {
	// Fragmentation is the share of free slots that lie in no free cell of a whole worker.
	Fragmentation float64 `json:"fragmentation"`
}

// ManifestView is the manifest in force.
type ManifestView struct {
	Version uint64 `json:"version"`
	Text    string `json:"text"`
}

// DaemonView is what the leader knows of a daemon.
type DaemonView struct {
	Name     string `json:"name"`
	Place    string `json:"place"`
	Version  uint64 `json:"version"`
	Current  bool   `json:"current"` // the manifest in force here is the latest
	Draining bool   `json:"draining,omitempty"`
	Keeper   bool   `json:"keeper,omitempty"`
}

// MemberView is one member of the consensus.
type MemberView struct {
	Name    string `json:"name"`
	Place   string `json:"place"`
	Address string `json:"address"`
	Role    string `json:"role"` // leader, voter or learner
	// Identity is of the data folder that speaks for the member, "" before its first beat.
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

// Sync takes in a daemon's beat.
func (s *Server) Sync(ctx context.Context, b *messages.Beat) (*messages.Orders, error) {
	reply := &messages.Orders{}
	now := s.Now()
	err := s.Replica.Read(ctx, func(term uint64, state *scheduler.State) {
		s.mu.Lock()
		defer s.mu.Unlock()
		watch := s.watchOf(term)
		reply.Resync = watch.Beat(now, b)
		reply.Term = term
		reply.Version = state.Version()
		reply.Barred = watch.Barred(now, state)
		reply.Unknown = watch.Unknown(b, state)
		reply.Again = watch.BeatEvery().Milliseconds()
		roster := watch.Roster(now)
		if reply.Roster = roster.Digest; b.GetRoster() != roster.Digest {
			reply.Daemons = roster.Daemons
		}
		if _, text := state.Manifest(); b.GetVersion() < state.Version() {
			reply.Manifest = text
		}
	})
	if err != nil {
		return nil, s.Explain(ctx, err)
	}
	return reply, nil
}

// watchOf returns the watch of a term, a new one when the term is new.
func (s *Server) watchOf(term uint64) *registrar.Watch {
	if s.watch == nil || s.term != term {
		s.term = term
		s.watch = registrar.NewWatch(s.Timing, s.Now())
	}
	return s.watch
}

// KeepersSeen returns the keepers that sent beats, as the leader of a term sees them.
func (s *Server) KeepersSeen(term uint64) []registrar.KeeperSeen {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watchOf(term).Keepers()
}

// Lost returns the workers whose leases have run out, as the leader of a term sees it.
func (s *Server) Lost(term uint64, state *scheduler.State) []scheduler.WorkerLost {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watchOf(term).Lost(s.Now(), state)
}

// Explain turns an error of the replica into one that points to the leader.
func (s *Server) Explain(_ context.Context, err error) error {
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
