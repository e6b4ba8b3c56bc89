package router

import (
	"net/http"

	"github.com/gorilla/mux"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/converter"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

func (r *Router) operatorRoutes() {
	r.mux.HandleFunc("/v1/manifest", r.operator(r.applyManifest)).Methods(http.MethodPut)
	for path, kind := range map[string]string{
		"/v1/manifest": "manifest",
		"/v1/rollout":  "daemons",
		"/v1/workers":  "workers",
		"/v1/shapes":   "shapes",
		"/v1/members":  "members",
		"/v1/figures":  "figures",
		"/v1/history":  "history",
		"/v1/burn":     "burn",
	} {
		r.mux.HandleFunc(path, r.operator(func(w http.ResponseWriter, q *http.Request) *problem {
			return r.forwardQuery(w, q, &messages.Question{
				Kind: kind, Key: q.URL.Query().Get("subject"), Organisation: q.URL.Query().Get("organisation"),
			})
		})).Methods(http.MethodGet)
	}
	r.mux.HandleFunc("/v1/drain", r.operator(r.drain)).Methods(http.MethodPost)
}

// applyManifest installs a manifest on all daemons.
func (r *Router) applyManifest(w http.ResponseWriter, q *http.Request) *problem {
	text, p := readBody(w, q, parser.MaxManifestBytes)
	if p != nil {
		return p
	}
	// Rejecting an invalid manifest here reports the position of the error and avoids a useless log entry.
	if _, err := parser.ParseManifest("manifest", text); err != nil {
		return newProblem(http.StatusUnprocessableEntity, CodeInvalid, err.Error())
	}
	reply, p := r.propose(q.Context(), scheduler.ApplyManifest{Text: text})
	if p != nil {
		return p
	}
	writeJSON(w, http.StatusOK, map[string]any{"version": reply.Version, "reason": reply.Reason})
	return nil
}

func (r *Router) drain(w http.ResponseWriter, _ *http.Request) *problem {
	r.opts.Drain()
	writeJSON(w, http.StatusAccepted, map[string]string{"status": "draining"})
	return nil
}

// announce handles the announcement of a worker.
func (r *Router) announce(w http.ResponseWriter, q *http.Request) {
	body, p := readBody(w, q, maxJobBytes)
	if p != nil {
		p.write(w)
		return
	}
	a := &messages.Announcement{}
	if err := converter.UnmarshalJSON(body, a); err != nil {
		newProblem(http.StatusBadRequest, CodeInvalid, err.Error()).write(w)
		return
	}
	info, err := converter.DecodeAnnouncement(a)
	if err != nil {
		newProblem(http.StatusBadRequest, CodeInvalid, err.Error()).write(w)
		return
	}
	if _, p := r.propose(q.Context(), scheduler.Announce{Worker: info}); p != nil {
		p.write(w)
		return
	}
	writeJSON(w, http.StatusOK, map[string]string{"status": "ok"})
}

// report handles a worker's report. The reply is sent only after the acknowledgements in it are committed.
func (r *Router) report(w http.ResponseWriter, q *http.Request) {
	body, p := readBody(w, q, maxReportBytes)
	if p != nil {
		p.write(w)
		return
	}
	name := mux.Vars(q)["name"]
	m := &messages.WorkerReport{}
	if err := converter.UnmarshalJSON(body, m); err != nil {
		newProblem(http.StatusBadRequest, CodeInvalid, err.Error()).write(w)
		return
	}
	acks, err := converter.DecodeAcks(name, m.GetIncarnation(), m.GetAcks())
	if err != nil {
		newProblem(http.StatusBadRequest, CodeInvalid, err.Error()).write(w)
		return
	}
	renewal := r.opts.Home.Report(name, q.URL.Query().Get("place"), m)
	if len(acks) > 0 {
		if _, p := r.propose(q.Context(), scheduler.Report{Acks: acks}); p != nil {
			p.write(w)
			return
		}
	}
	reply, err := converter.MarshalJSON(renewal)
	if err != nil {
		newProblem(http.StatusInternalServerError, CodeInvalid, err.Error()).write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// If the write fails, the worker repeats the report.
	_, _ = w.Write(reply)
}
