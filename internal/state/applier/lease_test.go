package applier

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/state/replicator"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestHeartbeatAfterDelayHoldsVote guards against a second leader beside one that holds its lease, which answers with jobs
// missing: a follower that was held up between two inputs counted the next heartbeat as received before that.
func TestHeartbeatAfterDelayHoldsVote(t *testing.T) {
	is := is.New(t)
	const tick = time.Second
	elapsed := time.Duration(0)
	a := &Applier{opts: Options{Name: "0", Tick: tick, Elapsed: func() time.Duration { return elapsed }}, state: scheduler.New()}
	members := &messages.Members{Voters: []*messages.Member{{Name: "0"}, {Name: "1"}, {Name: "2"}}}
	is.NoErr(a.restore(replicator.InitialState{Members: members}))
	receive := func(m *messages.Message) { a.handle(inputMessages{[]*messages.Message{m}}) }
	receive(&messages.Message{Kind: messages.Kind_KIND_APPEND, From: "1", To: "0", Term: 1})
	elapsed = (electionTicks - 1) * tick
	receive(&messages.Message{Kind: messages.Kind_KIND_APPEND, From: "1", To: "0", Term: 1})
	elapsed += tick
	receive(&messages.Message{Kind: messages.Kind_KIND_PREVOTE, From: "2", To: "0", Term: 2})
	a.catchUp()
	receive(&messages.Message{Kind: messages.Kind_KIND_PREVOTE, From: "2", To: "0", Term: 2})
	replies := 0
	for _, m := range a.node.TakeOutput().AfterSync {
		if m.GetKind() == messages.Kind_KIND_PREVOTE_REPLY {
			replies++
			is.True(m.GetRefused())
		}
	}
	is.Equal(replies, 2)
}
