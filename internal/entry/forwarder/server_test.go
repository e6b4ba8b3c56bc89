package forwarder

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/state/applier"
	"github.com/bluebellgauge/bluebellgauge/internal/state/filer"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/registrar"
)

// TestReplacedLeaderIsFollowed sends messages of a leader whose disk was replaced to a replica that has not learned of it.
// The replica refused all of them, so that it caught up only once there was another leader.
func TestReplacedLeaderIsFollowed(t *testing.T) {
	is := is.New(t)
	members := &messages.Members{Voters: []*messages.Member{{Name: "0", Identity: "old"}, {Name: "1"}, {Name: "2"}}}
	a, err := applier.New(applier.Options{
		Name: "1", Files: filer.Disk{}, Folder: t.TempDir(), Bootstrap: members, Tick: time.Minute, SnapshotEvery: 1000,
		Now: time.Now, Send: func([]*messages.Message) {}, Deliver: func(uint64, uint64, bool, []scheduler.Order) {}, Log: zap.NewNop(),
	})
	is.NoErr(err)
	t.Cleanup(a.Stop)
	server := NewServer(ServerOptions{Replica: a})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	send := func(m *messages.Message) error {
		m.From, m.To = "0", "1"
		_, err := server.Exchange(ctx, &messages.Batch{To: "1", From: "0", Identity: "new", Messages: []*messages.Message{m}})
		return err
	}
	is.True(send(&messages.Message{Kind: messages.Kind_KIND_VOTE, Term: 9}) != nil)
	is.NoErr(send(&messages.Message{Kind: messages.Kind_KIND_APPEND, Term: 5}))
	status, err := a.Status(ctx)
	is.NoErr(err)
	is.Equal(status.Leader, "0")
	is.Equal(status.Term, uint64(5)) // not that of the vote
}

// TestEarlierTermKeepsMonitor guards against a leader that forgets who is in contact: a call that began in an earlier term replaced
// the monitor of the present one.
func TestEarlierTermKeepsMonitor(t *testing.T) {
	is := is.New(t)
	s := NewServer(ServerOptions{Timing: registrar.DefaultTiming(), Now: time.Now, Log: zap.NewNop()})
	s.monitorFor(7).Heartbeat(time.Now(), &messages.Beat{Daemon: "k", Place: "p", Identity: "a"})
	is.Equal(len(s.Keepers(6)), 0)
	is.Equal(len(s.Keepers(7)), 1)
	is.True(!s.HasDaemonIn(6, "p"))
	is.True(s.HasDaemonIn(7, "p"))
	is.Equal(len(s.Keepers(8)), 0) // a new term begins without contacts
	is.Equal(len(s.Keepers(7)), 0)
}
