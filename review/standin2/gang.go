package main

import (
	"strconv"
	"strings"
	"sync"
	"time"
)

// gangs lets the members of gangs on different workers work together.
type gangs struct {
	mu   sync.Mutex
	runs map[string]*gangRun
}

// gangRun is one run of a gang.
type gangRun struct {
	members int       // that have joined
	began   time.Time // zero until all have
	ended   string    // how a member ended, "" for none
}

func newGangs() *gangs { return &gangs{runs: map[string]*gangRun{}} }

// gangOf names the run of a gang that a member belongs to.
func gangOf(r *taskRun) string {
	return r.task[:strings.LastIndexByte(r.task, '.')] + "/" + strconv.Itoa(r.number)
}

func (g *gangs) get(r *taskRun) *gangRun {
	name := gangOf(r)
	if g.runs[name] == nil {
		g.runs[name] = &gangRun{}
	}
	return g.runs[name]
}

func (g *gangs) join(r *taskRun) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.get(r).members++
}

// end notes how a member ended.
func (g *gangs) end(r *taskRun, how string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if run := g.get(r); run.ended == "" {
		run.ended = how
	}
}

// state returns when the members began to work, and how one of them ends because another one has.
func (g *gangs) state(r *taskRun, members int) (began time.Time, how string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	run := g.get(r)
	switch {
	case run.ended == "done":
		return run.began, "done"
	case run.ended != "" && !run.began.IsZero():
		return run.began, "broken"
	}
	if run.began.IsZero() && run.members == members {
		run.began = time.Now()
	}
	return run.began, ""
}
