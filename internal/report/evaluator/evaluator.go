// Package evaluator reports on service-level burn: how much of the error budget of each objective was
// used over several windows. It is deterministic; time comes in with the records.
package evaluator

import (
	"sync"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
)

const bucketWidth = time.Minute

// Windows are the spans over which burn is reported, shortest first.
func Windows() []time.Duration {
	return []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}
}

// outcome is what is kept of an answered job.
type outcome struct {
	minute  int64
	org     string
	service string
	seconds float64
	done    bool
}

// Evaluator keeps the answered jobs of the longest window.
type Evaluator struct {
	mu       sync.Mutex
	outcomes []outcome // by minute
}

// New returns a evaluator without jobs.
func New() *Evaluator { return &Evaluator{} }

// Observe takes in a record. Only answers count; jobs that could never run and those that their
// organisation cancelled say nothing of the service.
func (b *Evaluator) Observe(r scheduler.Record) {
	if r.Outcome == "" || r.Code == scheduler.CodeImpossible || r.Code == scheduler.CodeCancelled {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	minute := r.Time.Unix() / int64(bucketWidth.Seconds())
	b.outcomes = append(b.outcomes, outcome{minute: minute, org: r.Org, service: r.Service, seconds: r.Seconds, done: r.Outcome == scheduler.Done})
	windows := Windows()
	oldest := minute - int64(windows[len(windows)-1]/bucketWidth)
	drop := 0
	for drop < len(b.outcomes) && b.outcomes[drop].minute < oldest {
		drop++
	}
	b.outcomes = b.outcomes[drop:]
}

// Row is one objective over one window.
type Row struct {
	Service      string  `json:"service"`
	Organisation string  `json:"organisation"` // "" for all
	Target       float64 `json:"target"`
	Within       string  `json:"within"`
	Window       string  `json:"window"`
	Jobs         int     `json:"jobs"`
	Bad          int     `json:"bad"`
	Burn         float64 `json:"burn"`   // bad share over the budget; 1 uses it up just in time
	Budget       float64 `json:"budget"` // share of the window's error budget that is left, below 0 when overdrawn
}

// Report returns a row for each objective and window.
func (b *Evaluator) Report(now time.Time, objectives []parser.Objective) []Row {
	b.mu.Lock()
	defer b.mu.Unlock()
	rows := []Row{}
	for _, o := range objectives {
		for _, w := range Windows() {
			rows = append(rows, b.row(now, o, w))
		}
	}
	return rows
}

func (b *Evaluator) row(now time.Time, o parser.Objective, window time.Duration) Row {
	row := Row{
		Service: o.Service, Organisation: o.Organisation, Target: o.Target,
		Within: o.Within.Std().String(), Window: window.String(), Budget: 1,
	}
	oldest := now.Add(-window).Unix() / int64(bucketWidth.Seconds())
	for _, j := range b.outcomes {
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
