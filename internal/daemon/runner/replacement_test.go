package runner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/state/applier"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/registrar"
)

// Times of the simulated replacements, as on the platform.
const (
	replaceStep      = 50 * time.Millisecond // of the simulation, and until a membership change is committed
	replaceHeartbeat = 300 * time.Millisecond
	replaceElection  = 1200 * time.Millisecond // without a leader, after the loss of one
	replaceRestart   = time.Second             // from the end of a machine until it is back
	replaceLearn     = 500 * time.Millisecond  // from the start of a machine with an empty disk until it may be caught up
	replaceCatchUp   = 4 * time.Second         // after which a machine that is back or new counts as lost no longer
	replaceCalm      = 2 * time.Second         // after the end without notice of a machine that has a successor
	replaceLimit     = 60 * time.Second
)

// replacedMachine is a machine of a simulated core.
type replacedMachine struct {
	name     string
	identity string // of its disk
	up       bool
	gone     bool // for good
	leaving  bool
	started  time.Time
	ends     time.Time // of a machine that stops
	returns  time.Time // of a machine that is down
	lastBeat time.Time
	lostTill time.Time // until then it counts as lost
}

// replacedCore simulates the consensus of a group whose leader repairs the membership, and the machines under it.
type replacedCore struct {
	t           *testing.T
	order       string
	now         time.Time
	repair      *repairer
	members     *messages.Members
	machines    []*replacedMachine
	leader      *replacedMachine
	electAt     time.Time
	lastLeader  string
	lastContact time.Time // with the last leader
	seen        map[string]registrar.KeeperStatus
	acked       map[string]time.Time
	nextTask    time.Time
	disks       int
}

func newReplacedCore(t *testing.T, voters int, order string) *replacedCore {
	t.Helper()
	c := &replacedCore{t: t, order: order, now: time.Unix(1000, 0), members: &messages.Members{}}
	c.repair = newRepairer(voters, 3500*time.Millisecond, 1500*time.Millisecond)
	for range voters {
		m := c.add()
		c.members.Voters = append(c.members.Voters, &messages.Member{Name: m.name, Identity: m.identity})
	}
	c.run(5 * time.Second)
	return c
}

// add starts a new machine with an empty disk.
func (c *replacedCore) add() *replacedMachine {
	m := &replacedMachine{name: fmt.Sprint("k", len(c.machines)), up: true, started: c.now}
	c.wipe(m)
	c.machines = append(c.machines, m)
	return m
}

func (c *replacedCore) wipe(m *replacedMachine) {
	c.disks++
	m.identity = fmt.Sprint("disk", c.disks)
}

func (c *replacedCore) machine(name string) *replacedMachine {
	return c.machines[slices.IndexFunc(c.machines, func(m *replacedMachine) bool { return m.name == name })]
}

// isVoter reports whether a machine is a voter with the disk that it has.
func (c *replacedCore) isVoter(m *replacedMachine) bool {
	return slices.ContainsFunc(c.members.GetVoters(), func(v *messages.Member) bool { return v.GetName() == m.name && v.GetIdentity() == m.identity })
}

// hasQuorum reports whether the voters that have their disks, and run if that is asked for, are a majority.
func (c *replacedCore) hasQuorum(members *messages.Members, running bool) bool {
	n := 0
	for _, v := range members.GetVoters() {
		m := c.machine(v.GetName())
		if m.identity == v.GetIdentity() && !m.gone && (m.up || !running) {
			n++
		}
	}
	return n > len(members.GetVoters())/2
}

// step advances the machines, the leader and the repair.
func (c *replacedCore) step() {
	c.t.Helper()
	c.now = c.now.Add(replaceStep)
	for _, m := range c.machines {
		if m.up && m.leaving && !c.now.Before(m.ends) {
			c.end(m)
		}
		if !m.up && !m.gone && !c.now.Before(m.returns) {
			m.up, m.leaving, m.started, m.lostTill = true, false, c.now, c.now.Add(replaceCatchUp)
		}
	}
	if !c.hasQuorum(c.members, false) {
		c.t.Fatalf("%s: the voters with their disks are no majority of %v", c.order, c.members.GetVoters())
	}
	c.lead()
	if c.leader != nil {
		c.beat()
		c.change()
	}
}

// end ends the process of a machine.
func (c *replacedCore) end(m *replacedMachine) {
	m.up, m.returns = false, c.now.Add(replaceRestart)
	if m == c.leader {
		c.leader, c.electAt = nil, c.now.Add(replaceElection)
		c.lastLeader, c.lastContact = m.name, c.now
	}
}

// lead elects a leader if there is none, and makes one that leaves hand over.
func (c *replacedCore) lead() {
	if l := c.leader; l != nil && c.isVoter(l) && !l.leaving && c.hasQuorum(c.members, true) {
		return
	}
	if !c.hasQuorum(c.members, true) || c.now.Before(c.electAt) {
		c.leader = nil
		return
	}
	for _, leaving := range []bool{false, true} {
		for _, m := range c.machines {
			if m.up && m.leaving == leaving && c.isVoter(m) {
				if m != c.leader {
					c.leader, c.seen, c.acked, c.repair.termStart = m, map[string]registrar.KeeperStatus{}, map[string]time.Time{}, c.now
				}
				return
			}
		}
	}
}

// beat sends the heartbeats of the machines, and the acknowledgements of the voters.
func (c *replacedCore) beat() {
	for _, m := range c.machines {
		if !m.up {
			continue
		}
		if c.now.Sub(m.lastBeat) >= replaceHeartbeat {
			m.lastBeat = c.now
			c.seen[m.name] = registrar.KeeperStatus{Name: m.name, Identity: m.identity, Leaving: m.leaving, Last: c.now}
		}
		if c.isVoter(m) {
			c.acked[m.name] = c.now
		}
	}
}

// change makes the next membership change. Those that follow at once need no new interval.
func (c *replacedCore) change() {
	if c.now.Before(c.nextTask) {
		return
	}
	g := group{now: c.now}
	for _, m := range c.machines {
		if s, ok := c.seen[m.name]; ok {
			g.seen = append(g.seen, s)
		}
		if m.up && !m.leaving && c.now.Sub(m.started) >= replaceLearn {
			g.caughtUp = append(g.caughtUp, m.name)
		}
	}
	for _, v := range c.members.GetVoters() {
		if v.GetName() == c.leader.name {
			continue
		}
		last := c.repair.termStart
		if v.GetName() == c.lastLeader {
			last = c.lastContact
		}
		if acked, ok := c.acked[v.GetName()]; ok {
			last = acked
		}
		g.voters = append(g.voters, applier.VoterStatus{Name: v.GetName(), Silence: c.now.Sub(last), Leaving: c.machine(v.GetName()).leaving && c.machine(v.GetName()).up})
	}
	next := c.repair.next(c.members, g)
	if next == nil || !c.hasQuorum(next, true) {
		c.nextTask = c.now.Add(leaderInterval)
		return
	}
	c.members = next
}

func (c *replacedCore) run(d time.Duration) {
	c.t.Helper()
	for end := c.now.Add(d); c.now.Before(end); {
		c.step()
	}
}

// lost counts the machines that count as lost.
func (c *replacedCore) lost() int {
	n := 0
	for _, m := range c.machines {
		if !m.up && !m.gone || c.now.Before(m.lostTill) {
			n++
		}
	}
	return n
}

// awaitBudget waits until one more machine may be lost.
func (c *replacedCore) awaitBudget(tolerance int) {
	c.t.Helper()
	for end := c.now.Add(replaceLimit); c.lost() >= tolerance; c.step() {
		if c.now.After(end) {
			c.t.Fatalf("%s: machines count as lost for more than %v", c.order, replaceLimit)
		}
	}
}

// victim returns a voter that may be the next one to be hit: the leader, or the first or last other one.
func (c *replacedCore) victim(which int) *replacedMachine {
	var list []*replacedMachine
	for _, v := range c.members.GetVoters() {
		if m := c.machine(v.GetName()); m.up && !m.leaving && m.identity == v.GetIdentity() && m != c.leader {
			list = append(list, m)
		}
	}
	switch {
	case which == 0 && c.leader != nil && !c.leader.leaving, len(list) == 0:
		return c.leader
	case which == 1:
		return list[0]
	default:
		return list[len(list)-1]
	}
}

// The disruptions of a schedule.
const (
	disruptReplace = "replace" // another machine takes the place of one that is stopped
	disruptRemove  = "remove"  // the same, but the machine ends without notice
	disruptWipe    = "wipe"    // a machine restarts with an empty disk
	disruptStop    = "stop"    // a machine is stopped and started again
	disruptCrash   = "crash"   // a machine restarts
)

// disrupt carries out a disruption of one machine. A machine that is stopped needs time, and the next disruption
// may come at its end.
func (c *replacedCore) disrupt(what string, which int, stopTime time.Duration) {
	c.t.Helper()
	if what == disruptReplace || what == disruptRemove {
		added := c.add()
		c.run(time.Second)
		if what == disruptRemove {
			c.run(replaceCatchUp)
		}
		added.lostTill = time.Time{}
	}
	m := c.victim(which)
	switch what {
	case disruptReplace, disruptStop:
		m.leaving, m.ends = true, c.now.Add(stopTime)
		for m.up {
			c.step()
		}
		if what == disruptReplace {
			m.gone = true
			m.lostTill = m.ends.Add(max(0, replaceCatchUp-time.Second-stopTime))
		}
	case disruptRemove:
		c.end(m)
		m.gone, m.lostTill = true, c.now.Add(replaceCalm)
	case disruptWipe:
		c.end(m)
		c.wipe(m)
	case disruptCrash:
		c.end(m)
	}
}

// settled reports whether as many voters as wanted run with their disks, and no others count.
func (c *replacedCore) settled() bool {
	for _, v := range c.members.GetVoters() {
		if m := c.machine(v.GetName()); !m.up || m.identity != v.GetIdentity() {
			return false
		}
	}
	return c.leader != nil && len(c.members.GetVoters()) >= c.repair.voters
}

// permute calls f with each different order of a list.
func permute(list []string, done int, f func([]string)) {
	if done == len(list) {
		f(list)
		return
	}
	for i := done; i < len(list); i++ {
		if slices.Contains(list[done:i], list[i]) {
			continue // swapped to this place before
		}
		list[done], list[i] = list[i], list[done]
		permute(list, done+1, f)
		list[done], list[i] = list[i], list[done]
	}
}

// TestReplacementBesideLostDisks replaces machines with and without notice, wipes, stops and crashes others, in every order, each
// as soon as the machines that count as lost are fewer than tolerated. A voter that was gone for good counted for 3.5 s more
// beside a caught-up learner, and the loss of another disk left a group without a majority for good.
func TestReplacementBesideLostDisks(t *testing.T) {
	// More disks are lost in larger groups, as they tolerate more.
	for voters, disruptions := range map[int][]string{
		3: {disruptReplace, disruptRemove, disruptWipe, disruptStop, disruptCrash},
		5: {disruptReplace, disruptRemove, disruptWipe, disruptWipe, disruptStop, disruptCrash},
		7: {disruptReplace, disruptWipe, disruptWipe, disruptWipe, disruptStop, disruptCrash},
	} {
		t.Run(fmt.Sprint(voters), func(t *testing.T) {
			t.Parallel()
			for _, stopTime := range []time.Duration{1500 * time.Millisecond, 4800 * time.Millisecond} {
				for which := range 3 {
					permute(disruptions, 0, func(order []string) {
						testReplacement(t, voters, order, which, stopTime)
					})
				}
			}
		})
	}
}

func testReplacement(t *testing.T, voters int, order []string, which int, stopTime time.Duration) {
	t.Helper()
	c := newReplacedCore(t, voters, fmt.Sprintf("%d voters, %v, victim %d, stops of %v", voters, order, which, stopTime))
	for _, what := range order {
		c.awaitBudget(voters / 2)
		c.disrupt(what, which, stopTime)
	}
	for end := c.now.Add(replaceLimit); !c.settled(); c.step() {
		if c.now.After(end) {
			t.Fatalf("%s: not whole after %v: %v", c.order, replaceLimit, c.members)
		}
	}
}
