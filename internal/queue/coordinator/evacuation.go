package coordinator

import (
	"context"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// outdatedRetryAfter is the retry delay for an order that is refused because of a keeper of an earlier build.
const outdatedRetryAfter = time.Second

// cancelDelay is how long an order waits before it is committed. A request that a broken link has held up arrives together with its
// cancellation, which the connection may pass on a moment later.
const cancelDelay = 20 * time.Millisecond

// Evacuate starts or ends the evacuation of a data centre. The order is committed even if it changes nothing: an earlier one
// may be in the log already without being applied, and the last one has to hold.
func (c *Coordinator) Evacuate(ctx context.Context, o *messages.EvacuationOrder) (*messages.Verdict, error) {
	var refusal *messages.Verdict
	var fields []zap.Field
	var term uint64
	var skip bool
	err := c.read(ctx, func(state *tracker.Tracker) {
		term = c.term
		refusal, skip = c.checkOrder(state, o)
		fields = c.orderFields(state, o)
	})
	if err == nil {
		c.opts.Wait(ctx, nil, cancelDelay)
		// The caller of a delayed order has gone, and may have ordered otherwise since.
		err = ctx.Err()
	}
	if err != nil {
		return nil, c.opts.RedirectError(ctx, err)
	}
	if refusal != nil || skip {
		return c.answerUncommitted(refusal, fields), nil
	}
	receipt, err := c.commit(ctx, term, &messages.QueueChange{Time: c.opts.Wall().UnixMilli(), Evacuations: []*messages.EvacuationOrder{o}})
	fields = append(fields, zap.Uint64("index", receipt.Index), zap.Uint64("term", receipt.Term))
	if err != nil {
		c.opts.Log.Warn("evacuation order outcome unknown", append(fields, zap.Bool("over", o.GetOver()), zap.Error(err))...)
		return nil, c.opts.RedirectError(ctx, err)
	}
	message := "data centre evacuated"
	if o.GetOver() {
		message = "data centre returned"
	}
	c.opts.Log.Info(message, fields...)
	c.triggerPass()
	return &messages.Verdict{Status: StatusOK}, nil
}

// answerUncommitted returns the verdict on an order that is not committed.
func (c *Coordinator) answerUncommitted(refusal *messages.Verdict, fields []zap.Field) *messages.Verdict {
	switch refusal.GetStatus() {
	case "":
		c.opts.Log.Info("data centre is not evacuated, nothing to end", fields...)
		return &messages.Verdict{Status: StatusOK}
	case StatusNoPlace:
		c.opts.Log.Warn("order for an unknown data centre", fields...)
	default:
		c.opts.Log.Warn("evacuation order refused", append(fields, zap.String("reason", refusal.GetReason()))...)
	}
	return refusal
}

// checkOrder returns the refusal of an order, or nil. skip is true if the order has no effect and must not be committed, as a
// keeper in contact could not apply it.
func (c *Coordinator) checkOrder(state *tracker.Tracker, o *messages.EvacuationOrder) (refusal *messages.Verdict, skip bool) {
	if !c.isKnownPlace(state, o.GetPlace()) {
		return &messages.Verdict{Status: StatusNoPlace, Reason: "no data centre has this name"}, false
	}
	if refusal := c.refuseTooLarge(o); refusal != nil {
		return refusal, false
	}
	if c.opts.OutdatedKeeper == nil || o.GetOver() && state.IsEvacuated(o.GetPlace()) {
		return nil, false
	}
	name := c.opts.OutdatedKeeper(c.term)
	if name == "" || o.GetOver() {
		return nil, name != ""
	}
	return &messages.Verdict{
		Status: StatusOutdated, Reason: fmt.Sprintf("keeper %s is of an earlier build, which knows no evacuations", name),
		Retry: outdatedRetryAfter.Milliseconds(),
	}, false
}

// isKnownPlace reports whether a data centre exists as far as this leader can know.
func (c *Coordinator) isKnownPlace(state *tracker.Tracker, place string) bool {
	switch {
	case place == "":
		return false
	case state.IsEvacuated(place), slices.Contains(c.opts.Places, place):
		return true
	case len(c.opts.Places) == 0 && c.opts.Now().Sub(c.termStart) < fleetDiscoveryTime:
		return true // its workers may not have reported yet
	}
	for _, w := range c.workers {
		if w.place == place {
			return true
		}
	}
	return c.opts.KnowsPlace != nil && c.opts.KnowsPlace(c.term, place)
}

// orderFields returns the fields of the log lines about an order.
func (c *Coordinator) orderFields(state *tracker.Tracker, o *messages.EvacuationOrder) []zap.Field {
	workers, runs := 0, 0
	for id, w := range c.workers {
		if w.place == o.GetPlace() && !w.left {
			workers++
			runs += len(state.RunsOn(id))
		}
	}
	age := time.Duration(0)
	for _, e := range state.Evacuations() {
		if e.GetPlace() == o.GetPlace() {
			age = c.opts.Wall().Sub(time.UnixMilli(e.GetSince()))
		}
	}
	return []zap.Field{
		zap.String("place", o.GetPlace()), zap.String("by", o.GetBy()), zap.Duration("age", age), zap.Int("workers", workers), zap.Int("runs", runs),
	}
}

// Evacuations lists the data centres that are evacuated.
func (c *Coordinator) Evacuations(ctx context.Context, _ *messages.Lookup) (*messages.EvacuationList, error) {
	list := &messages.EvacuationList{}
	if err := c.read(ctx, func(state *tracker.Tracker) { list.Evacuations = state.Evacuations() }); err != nil {
		return nil, c.opts.RedirectError(ctx, err)
	}
	return list, nil
}

// isWithheld reports whether a start that the worker does not list must not be ordered.
func (c *Coordinator) isWithheld(state *tracker.Tracker, w *worker, key tracker.RunKey) bool {
	if !state.IsEvacuated(w.place) {
		return w.oversized[key]
	}
	c.logWithheld(w, key)
	return true
}

// logWithheld logs once that a start which was decided before an evacuation is not ordered.
func (c *Coordinator) logWithheld(w *worker, key tracker.RunKey) {
	if w.withheld[key] {
		return
	}
	if w.withheld == nil {
		w.withheld = map[tracker.RunKey]bool{}
	}
	w.withheld[key] = true
	c.opts.Log.Info("start withheld: the data centre is evacuated", zap.String("request", key.Job), zap.Int32("occurrence", key.Occurrence),
		zap.Int32("step", key.Step), zap.Int32("task", key.Task), zap.Uint32("run", key.Number), zap.String("worker", w.id),
		zap.String("place", w.place), zap.Uint64("report", w.sequence))
}
