package control

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/registry"
	"rosemarywind.example/rosemarywind/internal/workspace"
	"rosemarywind.example/rosemarywind/pkg/client"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

const (
	maxPayloadBytes   = 64 << 10
	maxRequestIDBytes = 200
	maxRunTime        = 10 * 365 * 24 * time.Hour
)

func (a *api) submit(w http.ResponseWriter, h *http.Request, p principal) {
	var f client.SubmitBody
	decoder := json.NewDecoder(h.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		badRequest(w, fmt.Errorf("the job cannot be read: %w", err))
		return
	}
	if !may(p, f.Workspace) {
		writeError(w, http.StatusForbidden, client.RefusalBody{
			Outcome: string(outcome.NotRun), Reason: string(outcome.Unauthorized), Message: "the token is bound to another workspace",
		})
		return
	}
	requestID := h.Header.Get(client.RequestIDHeader)
	if requestID == "" {
		requestID = rand.Text()
	}
	if len(requestID) > maxRequestIDBytes {
		badRequest(w, fmt.Errorf("%s is longer than %d bytes", client.RequestIDHeader, maxRequestIDBytes))
		return
	}
	spec, err := specOf(f, "j-"+requestID, time.Now())
	if err != nil {
		badRequest(w, err)
		return
	}
	if _, ok := a.propose(w, h, registry.NewSubmitJob(requestID, spec, spec.SubmittedAt())); !ok {
		return
	}
	if j, ok := a.control.board.state.Load().Jobs().Get(spec.ID()); ok {
		writeJSON(w, http.StatusOK, toJobBody(j))
		return
	}
	writeJSON(w, http.StatusOK, toJobBody(job.New(spec)))
}

func specOf(f client.SubmitBody, id string, now time.Time) (s job.Spec, err error) {
	shape, err := workspace.NewShape(f.Shape.Members, f.Shape.Accelerators, workspace.Adjacency(f.Shape.Adjacency))
	if err != nil {
		return job.Spec{}, err
	}
	urgency, err := job.ParseUrgency(f.Urgency)
	if err != nil {
		return job.Spec{}, err
	}
	if f.RunTimeS < 0 || f.RunTimeS > maxRunTime.Seconds() {
		return job.Spec{}, fmt.Errorf("run_time_s must be from 0 to %.0f", maxRunTime.Seconds())
	}
	if len(f.Payload) > maxPayloadBytes {
		return job.Spec{}, fmt.Errorf("payload is longer than %d bytes", maxPayloadBytes)
	}
	return job.NewSpec(id, f.Workspace, shape, now,
		job.WithUrgency(urgency), job.WithIdempotent(f.Idempotent), job.WithCheckpointable(f.Checkpointable),
		job.WithThrottleable(f.Throttleable),
		job.WithRunTime(time.Duration(f.RunTimeS*float64(time.Second))), job.WithPayload(f.Payload))
}

// find returns the job of the request if the principal may see it.
func (a *api) find(w http.ResponseWriter, h *http.Request, p principal) (j job.Job, ok bool) {
	j, ok = a.control.board.state.Load().Jobs().Get(h.PathValue("id"))
	if !ok || !may(p, j.Spec().Workspace()) {
		writeError(w, http.StatusNotFound, client.RefusalBody{
			Outcome: string(outcome.NotRun), Reason: string(outcome.BadRequest), Message: "the job does not exist",
		})
		return job.Job{}, false
	}
	return j, true
}

func (a *api) job(w http.ResponseWriter, h *http.Request, p principal) {
	if j, ok := a.find(w, h, p); ok {
		writeJSON(w, http.StatusOK, toJobBody(j))
	}
}

func (a *api) explain(w http.ResponseWriter, h *http.Request, p principal) {
	j, ok := a.find(w, h, p)
	if !ok {
		return
	}
	text, ok := a.control.board.explains.Load().Get(j.Spec().ID())
	if !ok || j.State() != job.Queued {
		text = fmt.Sprintf("%s: %s", j.State(), j.Reason())
	}
	writeJSON(w, http.StatusOK, client.ExplainBody{ID: j.Spec().ID(), Explanation: text})
}

func (a *api) cancel(w http.ResponseWriter, h *http.Request, p principal) {
	j, ok := a.find(w, h, p)
	if !ok {
		return
	}
	c := registry.NewCancelJob(h.Header.Get(client.RequestIDHeader), j.Spec().ID(), scope(p), time.Now())
	if _, ok := a.propose(w, h, c); !ok {
		return
	}
	if j, ok = a.control.board.state.Load().Jobs().Get(j.Spec().ID()); ok {
		writeJSON(w, http.StatusOK, toJobBody(j))
	}
}
