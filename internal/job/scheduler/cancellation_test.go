package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
)

// TestMassCancellation submits twenty times as many jobs as a queue holds and then cancels 5000 jobs in one event.
// Each job must get exactly one answer, and only jobs that were started may have run.
func TestMassCancellation(t *testing.T) {
	is := is.New(t)
	const bound, burst, wave = 6000, 20 * 6000, 5000
	s := scheduler.New()
	d := newDriver(s, 1)
	text := fmt.Appendf(nil, `{"version": 1, "places": [{"name": "p", "service": "s", "racks": 1, "workers": 2, "slots": 8,
		"processors": 8, "memory": 8, "accelerators": 8}],
		"organisations": [{"name": "o", "token": "%064d", "queue": %d}]}`, 0, bound)
	d.step(scheduler.ApplyManifest{Text: text})
	for _, w := range fleetOf([]string{"p"}, "s", 1, 2, 8) {
		d.addWorker(w)
	}
	before := heapBytes()
	for i := range burst {
		d.step(scheduler.Submit{Org: "o", Key: fmt.Sprint(i), Job: parser.Job{Service: "s", Runtime: parser.Duration(time.Hour)}})
	}
	grown := heapBytes() - before
	full := 0
	for _, v := range d.answers {
		is.Equal(v.Answer.Code, scheduler.CodeQueueFull)
		full++
	}
	is.Equal(full, burst-bound-16) // 16 run at once
	if limit := uint64(256 << 20); grown > limit {
		t.Errorf("the burst took %d MB, want at most %d", grown>>20, limit>>20)
	}
	var keys []string
	for i := range wave {
		keys = append(keys, fmt.Sprint(i))
	}
	began := time.Now()
	orders := d.step(scheduler.Cancel{Org: "o", Keys: keys})
	took := time.Since(began)
	stops := 0
	for _, o := range orders {
		if _, ok := o.(scheduler.Stop); ok {
			stops++
		}
	}
	is.Equal(stops, 16)
	d.runUntil(d.now.Add(time.Minute))
	for _, key := range keys {
		v, _ := s.Job("o", key)
		ran := len(d.runs[v.ID]) > 0
		is.True(v.Answer != nil)
		is.Equal(v.Answer.Outcome == scheduler.NotRun, !ran)
	}
	d.requireNoViolations(t)
	is.NoErr(s.CheckIndexes())
	t.Logf("%d submits took %d MB, %d cancellations in one event %s", burst, grown>>20, wave, took)
}
