package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
)

// evacuationFleet returns a driver with two workers of 4 slots in p1 and one in p2.
func evacuationFleet(t *testing.T) (*driver, *scheduler.State) {
	s := scheduler.New()
	d := newDriver(s, 1)
	d.step(scheduler.ApplyManifest{Text: []byte(`{
	  "version": 1, "width": {"slots": 4, "workers": 2},
	  "places": [
	    {"name": "p1", "service": "s", "racks": 1, "workers": 2, "slots": 4, "processors": 16, "memory": 64, "accelerators": 4},
	    {"name": "p2", "service": "s", "racks": 1, "workers": 2, "slots": 4, "processors": 16, "memory": 64, "accelerators": 4},
	  ],
	  "organisations": [{"name": "a", "token": "0000000000000000000000000000000000000000000000000000000000000000",
	    "guarantees": [{"service": "s", "slots": 4, "count": 1}]}],
	}`)})
	for _, w := range append(fleetOf([]string{"p1"}, "s", 1, 2, 4), fleetOf([]string{"p2"}, "s", 1, 1, 4)...) {
		d.addWorker(w)
	}
	t.Cleanup(func() { d.requireNoViolations(t) })
	return d, s
}

// submit hands over a job that takes all slots of a worker for each of its tasks.
func (d *driver) submit(key string, tasks int, change func(*parser.Job)) {
	j := parser.Job{Service: "s", Tasks: tasks, Accelerators: 4, Runtime: parser.Duration(10 * time.Second), Prefer: "p1"}
	change(&j)
	d.step(scheduler.Submit{Org: "a", Key: key, Job: j})
}

// TestEvacuationBesideRunningWork guards against runs that an evacuation ends, jobs that start in an evacuated place, also on
// workers that are announced later, and workers that are not used at once when the evacuation ends.
func TestEvacuationBesideRunningWork(t *testing.T) {
	is := is.New(t)
	d, s := evacuationFleet(t)
	in := func(key string) []string {
		v, _ := s.Job("a", key)
		return v.Workers
	}
	d.submit("running", 1, func(*parser.Job) {})
	d.runUntil(d.now.Add(time.Second))
	d.evacuate("p1", false)
	d.addWorker(fleetOf([]string{"p1"}, "s", 1, 3, 4)[2])
	d.submit("elsewhere", 1, func(*parser.Job) {})
	d.submit("waits", 1, func(*parser.Job) {})
	d.runUntil(d.now.Add(time.Second))
	is.Equal(in("running"), []string{"p1-0-0"})
	is.Equal(in("elsewhere"), []string{"p2-0-0"})
	is.Equal(len(in("waits")), 0)
	for _, w := range s.Workers() {
		is.Equal(w.State == "evacuated", w.Place == "p1")
	}
	d.evacuate("p1", true)
	is.Equal(len(in("waits")), 1) // in the step of the order
	d.runUntil(d.now.Add(time.Minute))
	for _, key := range []string{"running", "elsewhere", "waits"} {
		v, _ := s.Job("a", key)
		is.Equal(v.Answer.Outcome, scheduler.Done)
		is.Equal(v.Attempt, uint32(1))
	}
}

// TestEvacuationOfHoldingGang guards against the start of a gang of which some members hold slots in an evacuated place.
func TestEvacuationOfHoldingGang(t *testing.T) {
	is := is.New(t)
	d, s := evacuationFleet(t)
	d.submit("gang", 2, func(j *parser.Job) { j.Adjacency = "any" })
	v, _ := s.Job("a", "gang")
	is.Equal(v.Phase, scheduler.Holding)
	d.evacuate("p1", false)
	d.runUntil(d.now.Add(time.Minute))
	v, _ = s.Job("a", "gang")
	is.Equal(v.Phase, scheduler.Waiting) // one worker is left
	is.Equal(len(d.runs["a/gang"]), 0)
	d.evacuate("p1", true)
	d.runUntil(d.now.Add(time.Minute))
	v, _ = s.Job("a", "gang")
	is.Equal(v.Answer.Outcome, scheduler.Done)
}

// TestUnconfirmedStartInEvacuatedPlace guards against a start that was committed before the evacuation and reaches its worker
// long after it. A job that is not idempotent keeps its start, as it may be running.
func TestUnconfirmedStartInEvacuatedPlace(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		is := is.New(t)
		d, s := evacuationFleet(t)
		d.idempotent = func(string) bool { return idempotent }
		for _, name := range []string{"p1-0-0", "p1-0-1"} {
			d.workers[name].alive = false // cut off; the orders are lost
		}
		d.submit("job", 1, func(j *parser.Job) { j.Idempotent = &idempotent })
		d.runUntil(d.now.Add(time.Second))
		d.evacuate("p1", false)
		d.evacuate("p1", false) // repeated orders must not prolong the time for the start
		d.runUntil(d.now.Add(6 * time.Second))
		for _, name := range []string{"p1-0-0", "p1-0-1"} {
			d.workers[name].alive = true
		}
		d.runUntil(d.now.Add(time.Minute))
		v, _ := s.Job("a", "job")
		is.Equal(v.Answer.Outcome, scheduler.Done)
		is.Equal(len(d.runs["a/job"]), 1)
		if idempotent {
			is.Equal(d.runs["a/job"][0].worker, "p2-0-0")
		} else {
			is.Equal(d.runs["a/job"][0].worker[:2], "p1")
		}
	}
}

// TestMovedWorkerAfterEvacuation guards against work on a worker under the record of the rack that it has left: it is in use
// and not used further, also after an evacuation.
func TestMovedWorkerAfterEvacuation(t *testing.T) {
	is := is.New(t)
	d, s := evacuationFleet(t)
	d.submit("running", 1, func(*parser.Job) {})
	d.runUntil(d.now.Add(time.Second))
	moved := d.workers["p1-0-0"].info
	moved.Rack = "r7"
	is.Equal(d.step(scheduler.Announce{Worker: moved})[0].(scheduler.Reply).Status, scheduler.StatusInvalid)
	d.evacuate("p1", false)
	d.evacuate("p1", true)
	is.True(!s.Fleet().Usable("p1-0-0"))
	is.True(s.Fleet().Usable("p1-0-1"))
	d.evacuate("p1", false)
	is.Equal(d.step(scheduler.Announce{Worker: moved})[0].(scheduler.Reply).Status, scheduler.StatusInvalid)
	d.evacuate("p1", true)
	is.True(!s.Fleet().Usable("p1-0-0"))
}

// TestReservationBehindHoldingGangInEvacuatedPlace guards against the start of a gang that has a reservation in an evacuated
// place and waits only for another gang there, whose slots the evacuation frees.
func TestReservationBehindHoldingGangInEvacuatedPlace(t *testing.T) {
	is := is.New(t)
	s := scheduler.New()
	d := newDriver(s, 1)
	d.step(scheduler.ApplyManifest{Text: []byte(`{
	  "version": 1, "width": {"slots": 4, "workers": 2},
	  "places": [{"name": "p1", "service": "s", "racks": 2, "workers": 2, "slots": 4, "processors": 16, "memory": 64, "accelerators": 4}],
	  "organisations": [{"name": "a", "token": "0000000000000000000000000000000000000000000000000000000000000000"}],
	}`)})
	for _, w := range fleetOf([]string{"p1"}, "s", 2, 2, 4) {
		d.addWorker(w)
	}
	start := d.now
	d.submit("short", 1, func(j *parser.Job) { j.Runtime = parser.Duration(30050 * time.Millisecond) })
	d.submit("large", 4, func(j *parser.Job) { j.Adjacency = "any" })
	d.runUntil(start.Add(29900 * time.Millisecond))
	short, _ := s.Job("a", "short")
	for name, w := range d.workers {
		w.alive = name == short.Workers[0] // the others are cut off, so that holds are not confirmed
	}
	d.submit("holding", 2, func(j *parser.Job) { j.Adjacency = "any" })
	d.runUntil(start.Add(31 * time.Second))
	v, _ := s.Job("a", "holding")
	is.Equal(v.Phase, scheduler.Holding)
	v, _ = s.Job("a", "large")
	is.True(v.Phase == scheduler.Waiting && v.Mode != "") // it has a reservation
	c := &checker{driver: d, state: s, holders: map[attemptKey]map[string]bool{}}
	d.afterStep = func(_ scheduler.Event, orders []scheduler.Order) { is.NoErr(c.nothingOrderedInEvacuated(orders)) }
	d.evacuate("p1", false)
	v, _ = s.Job("a", "large")
	is.True(v.Phase == scheduler.Waiting && v.Mode == "")
}

// TestProbeOfWorkerInEvacuatedPlace guards against work in an evacuated place on a worker whose quarantine ends, and against a
// worker that is not used after both have ended.
func TestProbeOfWorkerInEvacuatedPlace(t *testing.T) {
	is := is.New(t)
	d, s := evacuationFleet(t)
	d.kill("p1-0-1")
	d.runUntil(d.now.Add(30 * time.Second)) // until it is lost
	d.workers["p1-0-0"].machine.FailAll = true
	for _, key := range []string{"one", "two", "three"} {
		d.submit(key, 1, func(j *parser.Job) { j.Place, j.Runtime, j.Idempotent = "p1", 0, new(bool) })
	}
	d.runUntil(d.now.Add(10 * time.Second))
	is.Equal(s.Workers()[0].State, "aside")
	d.evacuate("p1", false)
	d.runUntil(d.now.Add(2 * time.Minute)) // longer than the quarantine
	is.Equal(s.Workers()[0].State, "evacuated")
	is.True(!s.Fleet().Usable("p1-0-0"))
	d.evacuate("p1", true)
	is.True(s.Fleet().Usable("p1-0-0"))
}
