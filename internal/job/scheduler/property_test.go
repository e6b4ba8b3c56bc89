package scheduler_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
)

const smallManifest = `{
  "version": %d, "weigh": %q, "width": {"slots": 4, "workers": 2}, "checkpoint": "2s",
  "places": [
    {"name": "p1", "service": "s", "racks": 2, "workers": 2, "slots": 4, "processors": 16, "memory": 64, "accelerators": 4},
    {"name": "p2", "service": "s", "racks": 1, "workers": 2, "slots": 4, "processors": 16, "memory": 64, "accelerators": 4},
  ],
  "organisations": [%s],
}`

// manifestText draws a manifest whose guarantees fit. The token digests need only be distinct.
func manifestText(t *rapid.T, version uint64) []byte {
	for try := 0; ; try++ {
		var orgs []string
		for i, org := range []string{"a", "b", "c"} {
			var guarantees []string
			for range rapid.IntRange(0, 2).Draw(t, "guarantees") {
				place := rapid.SampledFrom([]string{"", "p1", "p2"}).Draw(t, "place")
				slots := rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(t, "slots")
				guarantees = append(guarantees, fmt.Sprintf(`{"service": "s", "place": %q, "slots": %d, "count": %d}`,
					place, slots, rapid.IntRange(1, 2).Draw(t, "count")))
			}
			orgs = append(orgs, fmt.Sprintf(`{"name": %q, "token": "%064d", "queue": 20, "guarantees": [%s]}`, org, i, strings.Join(guarantees, ",")))
		}
		weigh := rapid.SampledFrom([]string{"completion", "fragmentation"}).Draw(t, "weigh")
		text := fmt.Appendf(nil, smallManifest, version, weigh, strings.Join(orgs, ","))
		if _, err := parser.ParseManifest("m", text); err == nil {
			return text
		}
		if try > 20 {
			return fmt.Appendf(nil, smallManifest, version, "completion", `{"name": "a", "token": "`+strings.Repeat("0", 64)+`"}`)
		}
	}
}

func drawJob(t *rapid.T) parser.Job {
	idempotent := rapid.IntRange(0, 3).Draw(t, "idempotent") > 0
	j := parser.Job{
		Service:      "s",
		Tasks:        rapid.SampledFrom([]int{1, 1, 2, 3, 4, 8, 12, 40}).Draw(t, "tasks"),
		Accelerators: rapid.SampledFrom([]int{0, 1, 1, 2, 4, 5}).Draw(t, "accelerators"),
		Adjacency:    rapid.SampledFrom([]string{"any", "place", "rack", "worker"}).Draw(t, "adjacency"),
		Runtime:      parser.Duration(time.Duration(rapid.IntRange(0, 40).Draw(t, "runtime")) * time.Second),
		Urgent:       rapid.IntRange(0, 4).Draw(t, "urgent") == 0,
		Checkpoint:   rapid.Bool().Draw(t, "checkpoint"),
		Idempotent:   &idempotent,
	}
	switch rapid.IntRange(0, 9).Draw(t, "script") {
	case 0:
		j.Body = []byte(`{"fail": "bad input"}`)
	case 1, 2:
		j.Body = fmt.Appendf(nil, `{"run": "%ds"}`, rapid.IntRange(0, 60).Draw(t, "run"))
	}
	return j
}

// TestInvariantsUnderFaults applies random events and faults and checks every invariant after each.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := scheduler.New()
		pair := &replicaPair{state: s, onDifference: func(e scheduler.Event, a, b []scheduler.Order) {
			t.Fatalf("after %T a restored state returns different orders:\n%+v\n%+v", e, a, b)
		}}
		d := newDriver(pair, rapid.Uint64().Draw(t, "seed"))
		d.delay = func() time.Duration { return time.Duration(d.random.IntN(400)) * time.Millisecond }
		d.lossRate = rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "lossy")
		d.duplicateRate = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "double")
		c := &checker{driver: d, state: s, nonIdempotent: map[string]bool{}, disturbed: true, holders: map[attemptKey]map[string]bool{}}
		d.afterStep = func(e scheduler.Event, orders []scheduler.Order) {
			if err := errors.Join(c.gangStartsAfterAllHolds(e, orders), c.nothingOrderedInEvacuated(orders), c.check()); err != nil {
				t.Fatalf("after %T: %v", e, err)
			}
		}
		d.idempotent = func(job string) bool { return !c.nonIdempotent[job] }
		g := &generator{driver: d, checker: c, pair: pair, version: 1}
		d.step(scheduler.ApplyManifest{Text: manifestText(t, 1)})
		for _, w := range fleetOf([]string{"p1"}, "s", 2, 2, 4) {
			d.addWorker(w)
		}
		for _, w := range fleetOf([]string{"p2"}, "s", 1, 2, 4) {
			d.addWorker(w)
		}
		c.disturbed = false
		t.Repeat(map[string]func(*rapid.T){
			"submit":   g.submit,
			"submit2":  g.submit,
			"submit3":  g.submit,
			"resubmit": g.resubmit,
			"cancel":   g.cancel,
			"wait":     g.wait,
			"wait2":    g.wait,
			"kill":     g.kill,
			"restart":  g.restart,
			"leave":    g.leave,
			"manifest": g.manifest,
			"bad":      g.toggleFailures,
			"restore":  g.restore,
			"evacuate": g.evacuate,
			"return":   g.endEvacuation,
		})
		g.finish(t)
	})
}

type generator struct {
	driver  *driver
	checker *checker
	pair    *replicaPair
	version uint64
	ids     []string
	jobs    map[string]scheduler.Submit
}

func (g *generator) submit(t *rapid.T) {
	org := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "org")
	e := scheduler.Submit{Org: org, Key: fmt.Sprintf("k%d", len(g.ids)), Job: drawJob(t)}
	if g.jobs == nil {
		g.jobs = map[string]scheduler.Submit{}
	}
	id := scheduler.JobID(e.Org, e.Key)
	if !e.Job.IsIdempotent() {
		g.checker.nonIdempotent[id] = true
	}
	g.driver.step(e)
	if _, ok := g.checker.state.JobByID(id); !ok {
		return // the manifest does not list the organisation
	}
	g.ids = append(g.ids, id)
	g.jobs[id] = e
}

func (g *generator) resubmit(t *rapid.T) {
	if len(g.ids) == 0 {
		return
	}
	id := rapid.SampledFrom(g.ids).Draw(t, "id")
	before, _ := g.checker.state.JobByID(id)
	g.driver.step(g.jobs[id])
	after, _ := g.checker.state.JobByID(id)
	if before.Submitted != after.Submitted {
		t.Fatalf("job %s was admitted twice", id)
	}
}

func (g *generator) cancel(t *rapid.T) {
	if len(g.ids) == 0 {
		return
	}
	e := g.jobs[rapid.SampledFrom(g.ids).Draw(t, "id")]
	g.driver.step(scheduler.Cancel{Org: e.Org, Keys: []string{e.Key}})
}

func (g *generator) wait(t *rapid.T) {
	wait := time.Duration(rapid.IntRange(1, 20_000).Draw(t, "milliseconds")) * time.Millisecond
	g.driver.runUntil(g.driver.now.Add(wait))
}

func (g *generator) worker(t *rapid.T) *fakeWorker {
	all := append(fleetOf([]string{"p1"}, "s", 2, 2, 4), fleetOf([]string{"p2"}, "s", 1, 2, 4)...)
	return g.driver.workers[rapid.SampledFrom(all).Draw(t, "worker").Name]
}

func (g *generator) kill(t *rapid.T) {
	g.checker.disturbed = true
	g.driver.kill(g.worker(t).info.Name)
}

// restart restarts a worker. Everything that ran on it ends with the old process.
func (g *generator) restart(t *rapid.T) {
	g.checker.disturbed = true
	w := g.worker(t)
	w.machine.Kill(g.driver.now)
	w.alive = false
	delete(g.driver.leavingSince, w.info.Name)
	w.info.Leaving = false
	g.driver.addWorker(w.info)
}

func (g *generator) leave(t *rapid.T) {
	w := g.worker(t)
	if !w.alive {
		return
	}
	g.checker.disturbed = true
	w.info.Leaving = true
	w.machine.Leave()
	g.driver.leavingSince[w.info.Name] = g.driver.now
	g.driver.step(scheduler.Announce{Worker: w.info})
}

func (g *generator) manifest(t *rapid.T) {
	g.checker.disturbed = true
	version := g.version + uint64(rapid.IntRange(0, 1).Draw(t, "newer"))
	g.driver.step(scheduler.ApplyManifest{Text: manifestText(t, version)})
	g.version = max(g.version, g.checker.state.Version())
}

func (g *generator) toggleFailures(t *rapid.T) {
	g.checker.disturbed = true
	w := g.worker(t)
	w.machine.FailAll = !w.machine.FailAll
}

// evacuate starts an evacuation, or repeats the order.
func (g *generator) evacuate(t *rapid.T) {
	g.checker.disturbed = true
	g.driver.evacuate(rapid.SampledFrom([]string{"p1", "p2"}).Draw(t, "place"), false)
}

// endEvacuation ends an evacuation, or one that is not in force.
func (g *generator) endEvacuation(t *rapid.T) {
	g.driver.evacuate(rapid.SampledFrom([]string{"p1", "p2"}).Draw(t, "place"), true)
}

// restore continues with a second state from a snapshot, as a replica that was far behind does.
func (g *generator) restore(t *rapid.T) {
	data, err := g.checker.state.Save()
	if err != nil {
		t.Fatal(err)
	}
	s, err := scheduler.Restore(data)
	if err != nil {
		t.Fatal(err)
	}
	again, err := s.Save()
	if err != nil || string(again) != string(data) {
		t.Fatalf("a restored state has a different snapshot: %v", err)
	}
	g.pair.restored = s
}

// finish restarts all workers, ends all evacuations and checks that every job gets an answer.
func (g *generator) finish(t *rapid.T) {
	for _, w := range g.driver.workers {
		w.machine.FailAll = false
		if !w.alive || w.info.Leaving {
			w.machine.Kill(g.driver.now)
			w.info.Leaving = false
			delete(g.driver.leavingSince, w.info.Name)
			g.driver.addWorker(w.info)
		}
	}
	g.driver.lossRate = 0
	g.driver.evacuate("p1", true)
	g.driver.evacuate("p2", true)
	g.driver.runUntil(g.driver.now.Add(4 * time.Hour))
	for _, id := range g.ids {
		if v, _ := g.checker.state.JobByID(id); v.Answer == nil {
			t.Fatalf("job %s has no answer: %+v", id, v)
		}
	}
}
