package coordinator

import (
	"time"

	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/placer"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/profiler"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// profileInterval is the time between evaluations of the samples, which are rarer than passes.
const profileInterval = 200 * time.Millisecond

// interference is what this leader has learned about images that slow each other down. A new leader starts without it.
type interference struct {
	profiler  *profiler.Profiler
	updatedAt time.Time
	log       lineLimit
}

func (c *Coordinator) resetInterference() {
	c.interference = interference{profiler: profiler.New()}
	c.metrics.interferingPairs.Update(0)
}

// observeNeighbours passes the runs of a report to the profiler. Runs that this leader does not know are neighbours without
// an image.
func (c *Coordinator) observeNeighbours(state *tracker.Tracker, w *worker, r *messages.FleetReport) {
	if c.opts.IgnoreInterference {
		return
	}
	report := profiler.Report{Worker: w.id, Born: w.born, Clock: time.Duration(r.GetClock()) * time.Millisecond}
	if r.GetClock() == 0 {
		report.Clock = w.lastContact.Sub(c.termStart)
	}
	named := false
	for _, l := range r.GetRunning() {
		run := profiler.Run{Key: tracker.KeyOf(l.GetRun()), Percent: l.GetPercent()}
		if j := state.Job(run.Key.Job); j != nil {
			if s := j.Step(run.Key.Occurrence, run.Key.Step); s != nil {
				run.Image, run.Gang = s.Spec.GetImage(), s.Spec.GetGang()
				if s.Spec.GetLasting() && s.Spec.GetTail() > 0 {
					run.Tail = l.GetUsage()
				}
			}
		}
		named = named || run.Image != ""
		report.Runs = append(report.Runs, run)
	}
	if named || c.interference.profiler.Observes(w.id) {
		c.interference.profiler.Observe(c.opts.Now(), report)
	}
}

// updateInterference evaluates what has been observed since the last time, and logs what has changed.
func (c *Coordinator) updateInterference() {
	now := c.opts.Now()
	if now.Sub(c.interference.updatedAt) < profileInterval {
		return
	}
	c.interference.updatedAt = now
	for _, v := range c.interference.profiler.Update(now) {
		if !c.interference.log.allows(now, maxWaitLines) {
			break
		}
		text := "images no longer interfere"
		if v.Interfering {
			text = "images interfere"
		}
		c.opts.Log.Info(text, zap.String("image", v.Image), zap.String("beside", v.Beside), zap.Float64("slowdown", v.Slowdown), zap.Int("samples", v.Samples))
	}
	c.metrics.interferingPairs.Update(float64(c.interference.profiler.Interfering()))
}

// slowdown returns the placer's view of interference, nil if no images interfere.
func (c *Coordinator) slowdown() func(*tracker.Step, *placer.Worker) float64 {
	p := c.interference.profiler
	if p.Interfering() == 0 {
		return nil
	}
	return func(s *tracker.Step, w *placer.Worker) float64 {
		image := s.Spec.GetImage()
		slowdown := 1.0
		if !p.Involves(image) {
			return slowdown
		}
		for _, a := range w.Runs {
			if beside := a.Step.Spec.GetImage(); beside != "" {
				slowdown = max(slowdown, p.Slowdown(image, beside))
			}
		}
		return slowdown
	}
}
