package applier

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/state/timekeeper"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// trio is three replicas in one process.
type trio struct {
	t        *testing.T
	skipped  atomic.Int64 // by which the replicas' clocks are ahead of the machine's
	replicas map[string]*Applier
	cut      atomic.Bool
}

func newTrio(t *testing.T, snapshotEvery int) *trio {
	t.Helper()
	tr := &trio{t: t, replicas: map[string]*Applier{}}
	members := &messages.Members{}
	for i := range 3 {
		members.Voters = append(members.Voters, &messages.Member{Name: fmt.Sprint(i)})
	}
	ready := make(chan struct{})
	send := func(list []*messages.Message) {
		<-ready
		for _, m := range list {
			if to := tr.replicas[m.GetTo()]; to != nil && !tr.cut.Load() {
				select {
				case to.exchange <- inputMessages{[]*messages.Message{m}}:
				default:
				}
			}
		}
	}
	elapsed := func() time.Duration { return timekeeper.Elapsed() + time.Duration(tr.skipped.Load()) }
	for i, m := range members.GetVoters() {
		a, err := New(Options{
			Name: m.GetName(), Folder: t.TempDir(), Bootstrap: members, Tick: 5 * time.Millisecond, SnapshotEvery: snapshotEvery,
			Seed: uint64(i), Now: time.Now, Send: send,
			Elapsed: elapsed, Deliver: func(uint64, uint64, bool, []scheduler.Order) {}, Log: zap.NewNop(),
		})
		if err != nil {
			t.Fatal(err)
		}
		tr.replicas[m.GetName()] = a
	}
	close(ready)
	t.Cleanup(func() {
		for _, a := range tr.replicas {
			a.Stop()
		}
	})
	return tr
}

// leader waits for a replica that holds the lease.
func (tr *trio) leader() *Applier {
	tr.t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		for _, a := range tr.replicas {
			if a.Read(context.Background(), func(uint64, *scheduler.State) {}) == nil {
				return a
			}
		}
		time.Sleep(time.Millisecond)
	}
	tr.t.Fatal("no leader")
	return nil
}

// TestProposalOfALostLeader cuts the leader off with a proposal under way. Its proposer must be
// told that the outcome is open once the leader steps down, and not wait for its own deadline.
func TestProposalOfALostLeader(t *testing.T) {
	is := is.New(t)
	tr := newTrio(t, 1000)
	leader := tr.leader()
	tr.cut.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	_, err := leader.Propose(ctx, scheduler.Tick{})
	is.True(errors.Is(err, ErrUnsure))
	is.NoErr(ctx.Err())
	_, err = leader.Propose(ctx, scheduler.Tick{})
	is.True(errors.Is(err, ErrNotLeader))
	tr.cut.Store(false)
	_, err = tr.leader().Propose(ctx, scheduler.Tick{})
	is.True(err == nil || errors.Is(err, ErrUnsure) || errors.Is(err, ErrNotLeader))
}

// TestStatesAgree commits events through snapshots and compares the states of all replicas.
func TestStatesAgree(t *testing.T) {
	is := is.New(t)
	tr := newTrio(t, 10)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	manifest := []byte(`{"version": 1, "places": [{"name": "p", "service": "s", "racks": 1, "workers": 1, "slots": 8,
		"processors": 8, "memory": 8}], "organisations": [{"name": "o", "token": "` + fmt.Sprintf("%064d", 0) + `"}]}`)
	events := []scheduler.Event{scheduler.ApplyManifest{Text: manifest}}
	for i := range 60 {
		submit := scheduler.Submit{Org: "o", Key: fmt.Sprint(i)}
		submit.Job.Service = "s"
		events = append(events, submit)
	}
	for _, e := range events {
		for {
			if _, err := tr.leader().Propose(ctx, e); err == nil {
				break
			}
			is.NoErr(ctx.Err())
		}
	}
	for name, a := range tr.replicas {
		for jobs := 0; jobs < 60; {
			is.NoErr(a.Peek(ctx, func(s *scheduler.State) { jobs = len(s.Jobs("o", true)) }))
			time.Sleep(time.Millisecond)
		}
		status, err := a.Status(ctx)
		is.NoErr(err)
		if status.LogBytes > 20_000 {
			t.Errorf("the log of %s has %d bytes and was never cut", name, status.LogBytes)
		}
	}
}

// TestLeaseEndsDuringAStep lets one call to a leader take longer than its lease. A read that waited
// behind it must not be answered from the old lease.
func TestLeaseEndsDuringAStep(t *testing.T) {
	is := is.New(t)
	tr := newTrio(t, 100)
	leader := tr.leader()
	blocked, proceed := make(chan struct{}), make(chan struct{})
	long := make(chan error, 1)
	go func() {
		long <- leader.Read(context.Background(), func(uint64, *scheduler.State) {
			close(blocked)
			<-proceed
			tr.skipped.Store(int64(time.Minute))
		})
	}()
	<-blocked
	late := make(chan error, 1)
	go func() { late <- leader.Read(context.Background(), func(uint64, *scheduler.State) {}) }()
	for len(leader.inbox) == 0 {
		time.Sleep(time.Millisecond)
	}
	close(proceed)
	is.NoErr(<-long)
	is.True(errors.Is(<-late, ErrNotLeader))
}
