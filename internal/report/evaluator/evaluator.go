// Package evaluator computes the burn rate and the remaining error budget of each service-level objective
// over several windows. It is deterministic: all times are passed in by the caller.
package evaluator

import (
	"sync"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
)

const bucketWidth = time.Minute

// Windows returns the windows over which burn rates are reported, shortest first.
func Windows() []time.Duration {
	return []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}
}

// jobResult is the part of an answered job that objectives are evaluated on.
type jobResult struct {
	minute  int64
	org     string
	service string
	seconds float64
	done    bool
}

// Evaluator holds the results of the jobs answered within the longest window.
type Evaluator struct {
	mu      sync.Mutex
	results []jobResult // in order of minute
}

// New returns an evaluator without jobs.
func New() *Evaluator { return &Evaluator{} }

// Observe adds a record. Only answers count. Jobs that could never run and jobs cancelled by their
// organisation are ignored, since their outcome does not depend on the service.
func (e *Evaluator) Observe(r scheduler.Record) {
	if r.Outcome == "" || r.Code == scheduler.CodeImpossible || r.Code == scheduler.CodeCancelled {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	minute := r.Time.Unix() / int64(bucketWidth.Seconds())
	e.results = append(e.results, jobResult{minute: minute, org: r.Org, service: r.Service, seconds: r.Seconds, done: r.Outcome == scheduler.Done})
	windows := Windows()
	oldest := minute - int64(windows[len(windows)-1]/bucketWidth)
	expired := 0
	for expired < len(e.results) && e.results[expired].minute < oldest {
		expired++
	}
	e.results = e.results[expired:]
}

// Row is the evaluation of one objective over one window.
type Row struct {
	Service      string  `json:"service"`
	Organisation string  `json:"organisation"` // "" for all
	Target       float64 `json:"target"`
	Within       string  `json:"within"`
	Window       string  `json:"window"`
	Jobs         int     `json:"jobs"`
	Bad          int     `json:"bad"`
	Burn         float64 `json:"burn"`   // share of bad jobs divided by the allowed share; 1 uses the budget up exactly over the window
	Budget       float64 `json:"budget"` // share of the window's error budget that remains, negative when exceeded
}

// Report returns a row for each objective and window.
func (e *Evaluator) Report(now time.Time, objectives []parser.Objective) []Row {
	e.mu.Lock()
	defer e.mu.Unlock()
	rows := []Row{}
	for _, o := range objectives {
		for _, w := range Windows() {
			rows = append(rows, e.row(now, o, w))
		}
	}
	return rows
}

func (e *Evaluator) row(now time.Time, o parser.Objective, window time.Duration) Row {
	row := Row{
		Service: o.Service, Organisation: o.Organisation, Target: o.Target,
		Within: o.Within.Std().String(), Window: window.String(), Budget: 1,
	}
	oldest := now.Add(-window).Unix() / int64(bucketWidth.Seconds())
	for _, j := range e.results {
		if j.minute < oldest || j.service != o.Service || o.Organisation != "" && j.org != o.Organisation {
			continue
		}
		row.Jobs++
		if !j.done || j.seconds > o.Within.Std().Seconds() {
			row.Bad++
		}
	}
	if row.Jobs > 0 {
		row.Burn = float64(row.Bad) / float64(row.Jobs) / (1 - o.Target)
		row.Budget = 1 - row.Burn
	}
	return row
}
