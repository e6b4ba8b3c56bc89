package router

import (
	"context"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/coordinator"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

func (r *Router) explanationRoutes() {
	r.mux.HandleFunc("/v1/explanations", r.operator(r.explainDescribed)).Methods(http.MethodPost)
	r.mux.HandleFunc("/v1/explanations/{job:.+}", r.operator(func(w http.ResponseWriter, q *http.Request) *problem {
		return r.explain(w, q, &messages.ExplainRequest{Job: mux.Vars(q)["job"]})
	})).Methods(http.MethodGet)
}

// explainDescribed explains a job that is not submitted.
func (r *Router) explainDescribed(w http.ResponseWriter, q *http.Request) *problem {
	text, p := readBody(w, q, maxJobBytes)
	if p != nil {
		return p
	}
	d, err := parser.ParseDescription(text)
	if err != nil {
		return newProblem(http.StatusUnprocessableEntity, CodeInvalid, err.Error())
	}
	return r.explain(w, q, explainRequest(d))
}

func explainRequest(d parser.Description) *messages.ExplainRequest {
	e := &messages.ExplainRequest{Queue: d.Queue, Organisation: d.Organisation}
	for _, s := range d.Steps {
		step := &messages.Step{
			Count: int32(s.Tasks()), Processors: s.Millis(), Memory: s.Megabytes(), Accelerators: int64(s.Accelerators),
			Estimate: s.Estimate.Std().Milliseconds(), Gang: s.Gang, Compact: s.Compact, Label: s.Label, Rack: s.Rack, Spread: int32(s.Spread),
			Checkpoints: s.Checkpoints, Lasting: s.Lasting,
		}
		for _, n := range s.After {
			step.After = append(step.After, int32(n))
		}
		e.Steps = append(e.Steps, step)
	}
	return e
}

// explain asks the leader, and writes its explanation.
func (r *Router) explain(w http.ResponseWriter, q *http.Request, request *messages.ExplainRequest) *problem {
	ctx, cancel := context.WithTimeout(q.Context(), proposeTimeout)
	defer cancel()
	e, err := r.opts.Backend.Explain(ctx, request)
	if err != nil {
		p := unreachableProblem(err)
		p.Detail = "no leader explained the job, send the same request again: " + err.Error()
		return p
	}
	switch v := e.GetVerdict(); v.GetStatus() {
	case coordinator.StatusUnknown, coordinator.StatusNoQueue, coordinator.StatusEmpty:
		return newProblem(http.StatusNotFound, CodeUnknown, v.GetReason())
	case coordinator.StatusInvalid:
		return newProblem(http.StatusUnprocessableEntity, CodeInvalid, v.GetReason())
	}
	writeJSON(w, http.StatusOK, newExplanationView(e))
	return nil
}

// explanationView is the operator's view of an explanation. Its lists are never null.
type explanationView struct {
	Phase   string      `json:"phase,omitempty"`   // of the job
	Refusal string      `json:"refusal,omitempty"` // why the job would not be accepted
	Starts  []startView `json:"starts"`
	Stops   []stopView  `json:"stops"`
	Waits   []waitView  `json:"waits"`
}

type startView struct {
	Occurrence int32  `json:"occurrence"`
	Step       int32  `json:"step"`
	Task       int32  `json:"task"`
	Worker     string `json:"worker"`
	Rack       string `json:"rack"`
	Place      string `json:"place"`
}

type stopView struct {
	Job        string `json:"job"`
	Occurrence int32  `json:"occurrence"`
	Step       int32  `json:"step"`
	Task       int32  `json:"task"`
	Worker     string `json:"worker"`
}

type waitView struct {
	Occurrence int32  `json:"occurrence"`
	Step       int32  `json:"step"`
	Task       *int32 `json:"task,omitempty"` // the suspect task that waits, absent for the whole step
	Tasks      int32  `json:"tasks"`          // that wait
	Obstacle   string `json:"obstacle"`
	Prefers    string `json:"prefers,omitempty"`
}

func newExplanationView(e *messages.Explanation) explanationView {
	view := explanationView{Starts: []startView{}, Stops: []stopView{}, Waits: []waitView{}}
	if v := e.GetVerdict(); v.GetStatus() != coordinator.StatusOK {
		view.Refusal = v.GetReason()
		return view
	}
	view.Phase = e.GetVerdict().GetPhase()
	for _, s := range e.GetStarts() {
		view.Starts = append(view.Starts, startView{s.GetOccurrence(), s.GetStep(), s.GetTask(), s.GetWorker(), s.GetRack(), s.GetPlace()})
	}
	for _, s := range e.GetStops() {
		view.Stops = append(view.Stops, stopView{s.GetJob(), s.GetOccurrence(), s.GetStep(), s.GetTask(), s.GetWorker()})
	}
	for _, x := range e.GetWaits() {
		wait := waitView{Occurrence: x.GetOccurrence(), Step: x.GetStep(), Tasks: x.GetTasks(), Obstacle: x.GetObstacle(), Prefers: x.GetPrefers()}
		if trial := x.GetTrial(); trial > 0 {
			task := trial - 1
			wait.Task = &task
		}
		view.Waits = append(view.Waits, wait)
	}
	return view
}
