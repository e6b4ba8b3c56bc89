package runner_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// TestLaggingReplicaFollowsReplacedLeader stops a replica, replaces the disk of another one, and starts the first again while
// the second leads. The first knew the old disk only, refused all that the leader sent, and could never replace a lost voter.
func TestLaggingReplicaFollowsReplacedLeader(t *testing.T) {
	t.Setenv("BLUEBELLGAUGE_TEST_REPAIR", "2s")
	p := &processes{tb: t, folder: t.TempDir()}
	p.writeSettings(3, 4)
	p.settings[3].Data = filepath.Join(p.folder, "standby")
	p.rewriteSettings()
	p.commands = make([]*os.Process, 4)
	for i := range p.commands {
		p.start(i)
	}
	t.Cleanup(p.stopAll)
	p.apply(1, 8)
	p.awaitRole("vm4", "learner")
	p.eventually(10*time.Second, "identities recorded", func(ctx context.Context) bool {
		return p.member(ctx, "vm1").Identity != "" && p.member(ctx, "vm2").Identity != "" && p.member(ctx, "vm3").Identity != ""
	})
	first := p.leader()
	lagging, replaced := (first+1)%3, (first+2)%3
	p.signalAndWait(lagging, os.Kill)
	p.awaitRole("vm4", "voter")
	p.awaitRole(p.settings[lagging].Name, "")
	former := ""
	p.eventually(10*time.Second, "identity of the disk to be replaced", func(ctx context.Context) bool {
		former = p.member(ctx, p.settings[replaced].Name).Identity
		return former != ""
	})
	p.signalAndWait(replaced, os.Kill)
	p.noError(os.RemoveAll(p.settings[replaced].Data))
	p.settings[replaced].Late = true
	p.rewriteSettings()
	p.start(replaced)
	// Between its removal and its return with the new disk it is no member for some milliseconds only.
	p.eventually(30*time.Second, "member with a new disk", func(ctx context.Context) bool {
		identity := p.member(ctx, p.settings[replaced].Name).Identity
		return identity != "" && identity != former
	})
	p.awaitRole(p.settings[replaced].Name, "voter")
	for leader := p.leader(); leader != replaced; leader = p.leader() {
		p.signalAndWait(leader, os.Kill)
		p.leader()
		p.start(leader)
	}
	p.start(lagging)
	p.awaitRole(p.settings[lagging].Name, "learner")
	p.signalAndWait(3, os.Kill)
	p.awaitRole(p.settings[lagging].Name, "voter")
}
