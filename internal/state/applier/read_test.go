package applier

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/state/filer"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestNewLeaderReadsCommittedState guards against a first read of a new leader that lacks what its predecessor has
// committed: the end of a run whose start is not applied yet is acknowledged and lost, and its task starts again.
func TestNewLeaderReadsCommittedState(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	const tick = 5 * time.Millisecond
	var elapsed atomic.Int64
	sent := make(chan *messages.Message, 1000)
	members := &messages.Members{Voters: []*messages.Member{{Name: "0"}, {Name: "1"}, {Name: "2"}}}
	a, err := New(Options{
		Name: "0", Files: filer.Disk{}, Folder: t.TempDir(), Bootstrap: members, Tick: tick, SnapshotEvery: 1000, Now: time.Now,
		Elapsed: func() time.Duration { return time.Duration(elapsed.Load()) },
		Send: func(list []*messages.Message) {
			for _, m := range list {
				sent <- m
			}
		},
		Deliver: func(uint64, uint64, bool, []scheduler.Order) {}, Log: zap.NewNop(),
	})
	is.NoErr(err)
	defer a.Stop()
	await := func(kind messages.Kind, entries int) *messages.Message {
		for {
			select {
			case m := <-sent:
				if m.GetKind() == kind && m.GetTo() == "1" && len(m.GetEntries()) == entries {
					return m
				}
			case <-ctx.Done():
				t.Fatalf("no message of kind %v", kind)
			}
		}
	}
	step := func(m *messages.Message) {
		m.From, m.To = "1", "0"
		is.NoErr(a.Step(ctx, []*messages.Message{m}))
	}

	// The predecessor has committed both entries, but its last message knew of the first one only.
	data, err := scheduler.Encode(time.Now(), scheduler.ChangeQueues{Change: &messages.QueueChange{
		Submits: []*messages.Work{{Id: "a", Steps: []*messages.Step{{Count: 1}}}},
		Starts:  []*messages.Run{{Job: "a", Number: 1, Worker: "w", Born: 5}},
	}})
	is.NoErr(err)
	step(&messages.Message{Kind: messages.Kind_KIND_APPEND, Term: 1, Commit: 1, Entries: []*messages.Entry{
		{Index: 1, Term: 1, Kind: messages.EntryKind_ENTRY_EMPTY}, {Index: 2, Term: 1, Kind: messages.EntryKind_ENTRY_EVENT, Data: data},
	}})
	await(messages.Kind_KIND_APPEND_REPLY, 0)
	elapsed.Store(int64(2 * electionTicks * tick))
	await(messages.Kind_KIND_PREVOTE, 1) // with the membership of the candidate
	step(&messages.Message{Kind: messages.Kind_KIND_PREVOTE_REPLY, Term: 2})
	await(messages.Kind_KIND_VOTE, 1)
	step(&messages.Message{Kind: messages.Kind_KIND_VOTE_REPLY, Term: 2})
	first := await(messages.Kind_KIND_APPEND, 1)
	for a.Leader() != "0" {
		is.NoErr(ctx.Err())
		time.Sleep(time.Millisecond)
	}

	// The acknowledgement that commits the first entry of the term and a read are handled together.
	blocked, proceed := make(chan struct{}), make(chan struct{})
	go func() {
		_ = a.ReadStale(ctx, func(*scheduler.State) {
			close(blocked)
			<-proceed
		})
	}()
	<-blocked
	step(&messages.Message{Kind: messages.Kind_KIND_APPEND_REPLY, Term: 2, Index: first.GetEntries()[0].GetIndex(), Round: first.GetRound()})
	read := make(chan error, 1)
	var job *tracker.Job
	go func() {
		read <- a.Read(ctx, func(_ uint64, s *scheduler.State) { job = s.Queues().Job("a") })
	}()
	for len(a.inbox) == 0 {
		is.NoErr(ctx.Err())
		time.Sleep(time.Millisecond)
	}
	close(proceed)
	switch err := <-read; {
	case errors.Is(err, ErrNotLeader): // it may not lead yet
	case err != nil:
		t.Fatal(err)
	case job == nil:
		t.Fatal("the leader reads a state without the committed job")
	}
	for err := ErrNotLeader; errors.Is(err, ErrNotLeader); { // it leads at last
		is.NoErr(ctx.Err())
		err = a.Read(ctx, func(_ uint64, s *scheduler.State) { job = s.Queues().Job("a") })
	}
	is.True(job != nil)
}
