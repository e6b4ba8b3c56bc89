package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	callerCount    = 24
	callerDeadline = 3 * time.Second        // X-Deadline-Ms
	answerSlack    = 250 * time.Millisecond // for a busy machine, beyond the deadline
	callerPause    = 20 * time.Millisecond
	maxCalls       = 20                     // of one kind for one job
	maxReported    = 20                     // problems
	servedTime     = 500 * time.Millisecond // of some leaders, before the next change
)

// startEntry starts the command as an entry of a group.
func startEntry(t *testing.T, g *group, address netip.Addr) *keeper {
	t.Helper()
	is := is.New(t)
	k := &keeper{t: t, folder: t.TempDir(), control: netip.AddrPortFrom(address, 8521)}
	var seeds []string
	for _, other := range g.keepers {
		seeds = append(seeds, other.control.String())
	}
	settings, err := json.Marshal(map[string]any{
		"node_name": address.String(), "role": "edge", "ip": address.String(), "zone": "z", "bootstrap": true,
		"listen_addrs":   map[string]string{"frontend": k.control.String(), "ready": netip.AddrPortFrom(address, 8523).String()},
		"internal_ports": []int{7000, 7015}, "seed_nodes": seeds, "bounds": map[string]any{"grace_s": 6},
		"fault_tolerance": map[string]any{"machines": len(seeds) / 2},
	})
	is.NoErr(err)
	is.NoErr(os.WriteFile(filepath.Join(k.folder, "node.json"), settings, 0o600))
	k.run()
	t.Cleanup(k.kill)
	return k
}

// callers hand in jobs through an entry, ask for them and cancel some, and check the answers.
type callers struct {
	t     *testing.T
	entry string
	http  *http.Client

	mu        sync.Mutex
	answers   map[string]int // by call and status
	longest   time.Duration
	problems  []string
	accepted  []string
	cancelled []string
	refused   []string // the answer to each of the calls was that the job never runs
}

func newCallers(t *testing.T, entry *keeper) *callers {
	t.Helper()
	transport := &http.Transport{MaxIdleConnsPerHost: callerCount}
	t.Cleanup(transport.CloseIdleConnections)
	return &callers{
		t: t, entry: entry.control.String(), answers: map[string]int{},
		http: &http.Client{Transport: transport, Timeout: callerDeadline + answerSlack},
	}
}

// send sends one call and returns the status of its answer, 0 without a complete answer, and the body.
func (c *callers) send(method, id string) (status int, body string) {
	var text io.Reader
	if method == http.MethodPost {
		text = strings.NewReader(`{"task_spec":"x","step_specs":[{"count":1,"cpu":100,"mem_mb":64,"estimated_ms":100}]}`)
	}
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+c.entry+"/q/"+id, text)
	if err != nil {
		panic(err) // all parts of the request are constant
	}
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(callerDeadline.Milliseconds()))
	start := time.Now()
	response, err := c.http.Do(r)
	var data []byte
	if err == nil {
		data, err = io.ReadAll(response.Body)
		err = errors.Join(err, response.Body.Close())
	}
	if err == nil {
		status = response.StatusCode
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[fmt.Sprintf("%s %d", method, status)]++
	c.longest = max(c.longest, time.Since(start))
	if err != nil {
		c.problems = append(c.problems, fmt.Sprintf("%s of %s is not answered after %s: %v", method, id, time.Since(start), err))
	}
	return status, string(data)
}

// settle repeats a call until its answer tells the outcome, and returns the statuses of all answers.
func (c *callers) settle(method, id string) []int {
	var list []int
	for range maxCalls {
		status, _ := c.send(method, id)
		list = append(list, status)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			break
		}
		time.Sleep(callerPause)
	}
	return list
}

func (c *callers) addProblem(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.problems = append(c.problems, fmt.Sprintf(format, args...))
}

// runJob hands in one job, asks for it, and cancels it if asked to.
func (c *callers) runJob(id string, cancel bool) {
	statuses := c.settle(http.MethodPost, id)
	switch last := statuses[len(statuses)-1]; {
	case last == http.StatusOK:
	case !slices.ContainsFunc(statuses, func(s int) bool { return s != http.StatusTooManyRequests && s != http.StatusServiceUnavailable }):
		c.mu.Lock()
		c.refused = append(c.refused, id)
		c.mu.Unlock()
		return
	default:
		c.addProblem("job %s was answered %v", id, statuses)
		return
	}
	if status, _ := c.send(http.MethodGet, id); status == http.StatusGone {
		c.addProblem("accepted job %s is unknown", id)
	}
	list := &c.accepted
	if cancel {
		if statuses := c.settle(http.MethodDelete, id); statuses[len(statuses)-1] == http.StatusOK {
			list = &c.cancelled
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	*list = append(*list, id)
}

// during runs the callers while f runs.
func (c *callers) during(f func()) {
	done := make(chan struct{})
	var wait sync.WaitGroup
	for i := range callerCount {
		wait.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(callerPause):
				}
				c.runJob(fmt.Sprintf("%08x%08x", i, n), n%4 == 3)
			}
		})
	}
	f()
	close(done)
	wait.Wait()
}

// check asks for all jobs once more, and reports what is not as answered.
func (c *callers) check() {
	c.t.Helper()
	c.checkPhases(c.accepted, `"pending"`)
	c.checkPhases(c.cancelled, `"cancelled"`)
	for _, id := range c.refused {
		if status, _ := c.send(http.MethodGet, id); status != http.StatusGone {
			c.addProblem("refused job %s exists: %d", id, status)
		}
	}
	c.t.Logf("%d accepted, %d cancelled, %d refused; longest call %s; answers %v", len(c.accepted), len(c.cancelled), len(c.refused), c.longest, c.answers)
	for _, p := range c.problems[:min(maxReported, len(c.problems))] {
		c.t.Error(p)
	}
	if more := len(c.problems) - maxReported; more > 0 {
		c.t.Errorf("and %d more", more)
	}
}

func (c *callers) checkPhases(ids []string, want string) {
	for _, id := range ids {
		status, body := c.send(http.MethodGet, id)
		if status != http.StatusOK || !strings.Contains(body, want) {
			c.addProblem("job %s is shown as %d %s, want the phase %s", id, status, body, want)
		}
	}
}

// resetLog forgets the log of a process that has ended.
func (k *keeper) resetLog() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.past += strings.Count(k.log.String(), leadsLine)
	k.log.Reset()
}

// Parts of the log lines of a keeper that becomes the leader or ceases to be it.
const (
	leadsLine   = `"leading":true,"leader":`
	followsLine = `"leading":false,"leader":`
)

// leads reports whether a keeper leads according to its log.
func (k *keeper) leads() bool {
	return k.count(leadsLine) > k.count(followsLine)
}

// terms returns how often a keeper has become the leader.
func (g *group) terms() int {
	n := 0
	for _, k := range g.keepers {
		n += k.count(leadsLine) + k.past
	}
	return n
}

// leader waits for a leader.
func (g *group) leader() *keeper {
	g.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for _, k := range g.keepers {
			if k.leads() {
				return k
			}
		}
	}
	g.t.Fatal("no leader")
	return nil
}

// testLeaderChanges runs callers while the keepers of a group are disturbed.
func testLeaderChanges(t *testing.T, disturb func(g *group)) (g *group, terms int) {
	t.Helper()
	is := is.New(t)
	g = startGroup(t, 3)
	entry := startEntry(t, g, testAddress(100))
	g.routes = `{"name":"q","host":"` + entry.control.String() + `","path_prefix":"/q/","type":"non_idempotent","timeout_ms":3000,` +
		`"service":"s","max_attempts":3,"stretch":3,"public":true}`
	is.True(g.change(30*time.Second) < 30*time.Second)
	c := newCallers(t, entry)
	before := g.terms()
	c.during(func() { disturb(g) })
	terms = g.terms() - before
	t.Logf("%d changes of leader", terms)
	c.check()
	return g, terms
}

// TestStoppedLeaders guards against calls without an answer and against lost jobs when leaders stop as planned, one
// directly after the other.
func TestStoppedLeaders(t *testing.T) {
	testLeaderChanges(t, func(g *group) {
		for round := range 6 {
			k := g.leader()
			time.Sleep(time.Duration(round%3) * servedTime)
			k.stop()
			k.resetLog()
			k.run()
		}
	})
}

// TestKilledLeaders guards against calls without an answer and against lost jobs when leaders are killed, one directly
// after the other.
func TestKilledLeaders(t *testing.T) {
	testLeaderChanges(t, func(g *group) {
		for round := range 9 {
			k := g.leader()
			time.Sleep(time.Duration(round%3) * servedTime)
			k.kill()
			k.resetLog()
			time.Sleep(300 * time.Millisecond)
			k.run()
		}
	})
}

// TestSlowDisksInTurn guards against calls without an answer and lost jobs while the syncs of one keeper after the other,
// of the leader first, take long.
func TestSlowDisksInTurn(t *testing.T) {
	testLeaderChanges(t, func(g *group) {
		for _, delay := range []string{"200ms", "400ms", "600ms", "900ms"} {
			for range 2 {
				k := g.leader()
				k.fill("slow " + delay + " sync /log")
				time.Sleep(2 * time.Second)
				k.fill("none")
			}
		}
	})
}
