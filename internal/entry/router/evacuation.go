package router

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/bluebellgauge/bluebellgauge/internal/queue/coordinator"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// operatorName is the operator in evacuations: the operators share a token, which names none of them.
const operatorName = "operator"

func (r *Router) evacuationRoutes() {
	r.mux.HandleFunc("/v1/evacuations", r.operator(r.evacuations)).Methods(http.MethodGet)
	r.mux.HandleFunc("/v1/evacuations/{place}", r.operator(r.evacuate)).Methods(http.MethodPut, http.MethodDelete)
}

// evacuate starts or ends the evacuation of a place. The context ends with the connection, so that a delayed order has no effect
// once the operator has given it up.
func (r *Router) evacuate(w http.ResponseWriter, q *http.Request) *problem {
	ctx, cancel := context.WithTimeout(q.Context(), proposeTimeout)
	defer cancel()
	order := &messages.EvacuationOrder{Place: mux.Vars(q)["place"], Over: q.Method == http.MethodDelete, By: operatorName}
	verdict, err := r.opts.Backend.Evacuate(ctx, order)
	if err != nil {
		return unreachableProblem(err)
	}
	if p := orderRefusal(verdict); p != nil {
		return p
	}
	status := "evacuated"
	if order.GetOver() {
		status = "returned"
	}
	writeJSON(w, http.StatusOK, map[string]string{"place": order.GetPlace(), "status": status})
	return nil
}

// orderRefusal returns the problem for a verdict on an order, or nil if it was acknowledged.
func orderRefusal(v *messages.Verdict) *problem {
	switch v.GetStatus() {
	case coordinator.StatusOK:
		return nil
	case coordinator.StatusNoPlace:
		return newProblem(http.StatusNotFound, CodeUnknown, v.GetReason())
	case coordinator.StatusTooLarge:
		return newProblem(http.StatusRequestEntityTooLarge, CodeInvalid, v.GetReason())
	}
	p := newProblem(http.StatusServiceUnavailable, CodeBusy, v.GetReason()+"; this copy was not taken")
	p.retry = max(time.Duration(v.GetRetry())*time.Millisecond, time.Second)
	return p
}

// evacuationView is the operator's view of an evacuation.
type evacuationView struct {
	Place string    `json:"place"`
	Since time.Time `json:"since"`
	Age   string    `json:"age"`
	By    string    `json:"by"`
}

// evacuations lists the evacuations in force.
func (r *Router) evacuations(w http.ResponseWriter, q *http.Request) *problem {
	ctx, cancel := context.WithTimeout(q.Context(), proposeTimeout)
	defer cancel()
	list, err := r.opts.Backend.Evacuations(ctx)
	if err != nil {
		return unreachableProblem(err)
	}
	views := []evacuationView{}
	for _, e := range list.GetEvacuations() {
		since := time.UnixMilli(e.GetSince()).UTC()
		age := max(time.Since(since), 0) // the clock of the leader may be ahead
		views = append(views, evacuationView{Place: e.GetPlace(), Since: since, Age: age.Truncate(time.Second).String(), By: e.GetBy()})
	}
	writeJSON(w, http.StatusOK, views)
	return nil
}
