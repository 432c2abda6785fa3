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

func (a *api) submit(w http.ResponseWriter, r *http.Request, p principal) {
	var body client.SubmitBody
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		badRequest(w, fmt.Errorf("the job cannot be read: %w", err))
		return
	}
	if !canAccess(p, body.Workspace) {
		writeError(w, http.StatusForbidden, client.RefusalBody{
			Outcome: string(outcome.NotRun), Reason: string(outcome.Unauthorized), Message: "the token is bound to another workspace",
		})
		return
	}
	requestID := r.Header.Get(client.RequestIDHeader)
	if requestID == "" {
		requestID = rand.Text()
	}
	if len(requestID) > maxRequestIDBytes {
		badRequest(w, fmt.Errorf("%s is longer than %d bytes", client.RequestIDHeader, maxRequestIDBytes))
		return
	}
	spec, err := specOf(body, "j-"+requestID, time.Now())
	if err != nil {
		badRequest(w, err)
		return
	}
	if _, ok := a.propose(w, r, registry.NewSubmitJob(requestID, spec, spec.SubmittedAt())); !ok {
		return
	}
	if j, ok := a.control.board.state.Load().Jobs().Get(spec.ID()); ok {
		writeJSON(w, http.StatusOK, toJobBody(j))
		return
	}
	writeJSON(w, http.StatusOK, toJobBody(job.New(spec)))
}

func specOf(body client.SubmitBody, id string, now time.Time) (s job.Spec, err error) {
	shape, err := workspace.NewShape(body.Shape.Members, body.Shape.Accelerators, workspace.Adjacency(body.Shape.Adjacency))
	if err != nil {
		return job.Spec{}, err
	}
	urgency, err := job.ParseUrgency(body.Urgency)
	if err != nil {
		return job.Spec{}, err
	}
	if body.RunTimeS < 0 || body.RunTimeS > maxRunTime.Seconds() {
		return job.Spec{}, fmt.Errorf("run_time_s must be from 0 to %.0f", maxRunTime.Seconds())
	}
	if len(body.Payload) > maxPayloadBytes {
		return job.Spec{}, fmt.Errorf("payload is longer than %d bytes", maxPayloadBytes)
	}
	return job.NewSpec(id, body.Workspace, shape, now,
		job.WithUrgency(urgency), job.WithIdempotent(body.Idempotent), job.WithCheckpointable(body.Checkpointable),
		job.WithThrottleable(body.Throttleable),
		job.WithRunTime(time.Duration(body.RunTimeS*float64(time.Second))), job.WithPayload(body.Payload))
}

// findJob returns the job that the request names; it writes a refusal if there is none or the principal has no access.
func (a *api) findJob(w http.ResponseWriter, r *http.Request, p principal) (j job.Job, ok bool) {
	j, ok = a.control.board.state.Load().Jobs().Get(r.PathValue("id"))
	if !ok || !canAccess(p, j.Spec().Workspace()) {
		writeError(w, http.StatusNotFound, client.RefusalBody{
			Outcome: string(outcome.NotRun), Reason: string(outcome.BadRequest), Message: "the job does not exist",
		})
		return job.Job{}, false
	}
	return j, true
}

func (a *api) job(w http.ResponseWriter, r *http.Request, p principal) {
	if j, ok := a.findJob(w, r, p); ok {
		writeJSON(w, http.StatusOK, toJobBody(j))
	}
}

func (a *api) explain(w http.ResponseWriter, r *http.Request, p principal) {
	j, ok := a.findJob(w, r, p)
	if !ok {
		return
	}
	text, ok := a.control.board.explanations.Load().Get(j.Spec().ID())
	if !ok || j.State() != job.Queued {
		text = fmt.Sprintf("%s: %s", j.State(), j.Reason())
	}
	if j.State() == job.Queued {
		text += explainEvacuations(a.control.board.state.Load())
	}
	writeJSON(w, http.StatusOK, client.ExplainBody{ID: j.Spec().ID(), Explanation: text})
}

func (a *api) cancel(w http.ResponseWriter, r *http.Request, p principal) {
	j, ok := a.findJob(w, r, p)
	if !ok {
		return
	}
	c := registry.NewCancelJob(r.Header.Get(client.RequestIDHeader), j.Spec().ID(), boundWorkspace(p), time.Now())
	if _, ok := a.propose(w, r, c); !ok {
		return
	}
	if j, ok = a.control.board.state.Load().Jobs().Get(j.Spec().ID()); ok {
		writeJSON(w, http.StatusOK, toJobBody(j))
	}
}
