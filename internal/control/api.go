package control

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"rosemarywind.example/rosemarywind/internal/intake"
	"rosemarywind.example/rosemarywind/internal/ledger/driver"
	"rosemarywind.example/rosemarywind/internal/registry"
	"rosemarywind.example/rosemarywind/pkg/client"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

const (
	maxAPIBody = 4 << 20
)

// api is the HTTP interface of operators and of callers with a workspace token.
type api struct {
	control *Control
	mux     *http.ServeMux
}

// apiHandler serves one operation for an authenticated principal.
type apiHandler func(w http.ResponseWriter, r *http.Request, p principal)

func newAPI(c *Control) *api {
	a := &api{control: c, mux: http.NewServeMux()}
	a.route("POST /v1/apply", a.apply)
	a.route("GET /v1/config", a.config)
	a.route("POST /v1/jobs", a.submit)
	a.route("GET /v1/jobs", a.jobs)
	a.route("GET /v1/jobs/{id}", a.job)
	a.route("GET /v1/jobs/{id}/explain", a.explain)
	a.route("DELETE /v1/jobs/{id}", a.cancel)
	a.route("GET /v1/endpoints", a.endpoints)
	a.route("GET /v1/control", a.controlHosts)
	a.route("POST /v1/endpoints/{name}/drain", a.drain)
	a.route("GET /v1/evacuations", a.evacuations)
	a.route("POST /v1/zones/{name}/evacuate", a.evacuate)
	a.mux.Handle("/", intake.IgnoreBodies(c.monitor))
	return a
}

// ServeHTTP serves one request.
func (a *api) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

// receive reads the body of a request, of at most maxAPIBody bytes, for its handler; it writes the error response and
// reports false if the body is refused.
func receive(w http.ResponseWriter, r *http.Request) bool {
	data, err := intake.ReadBody(w, r, maxAPIBody)
	if refusal := intake.RefusalOf(err); refusal != nil {
		reason := outcome.QueueFull
		switch refusal.Status() {
		case http.StatusRequestEntityTooLarge:
			reason = outcome.TooLarge
		case http.StatusRequestTimeout:
			reason = outcome.BadRequest
		}
		writeError(w, refusal.Status(), client.RefusalBody{
			Outcome: string(outcome.NotRun), Reason: string(reason), Message: refusal.Error(),
		})
		return false
	}
	if err != nil {
		badRequest(w, err)
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(data))
	return true
}

// route registers an operation that only the leader serves and that requires a known token.
func (a *api) route(pattern string, handle apiHandler) {
	a.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		if status := a.control.checkLeader(); status != nil {
			writeError(w, http.StatusMisdirectedRequest, client.RefusalBody{
				Outcome: string(outcome.NotRun), Reason: string(outcome.ControlUnavailable), Message: "this control host is not the leader",
				Leader: status.Leader(),
			})
			return
		}
		p, ok := a.control.identify(r)
		if !ok {
			writeError(w, http.StatusUnauthorized, client.RefusalBody{
				Outcome: string(outcome.NotRun), Reason: string(outcome.Unauthorized), Message: "the token is not known",
			})
			return
		}
		if receive(w, r) {
			handle(w, r, p)
		}
	})
}

// propose commits a command; it writes the error response and reports false if the command fails or is refused.
func (a *api) propose(w http.ResponseWriter, r *http.Request, c registry.Command) (result registry.Result, ok bool) {
	ctx, cancel := context.WithTimeout(r.Context(), proposeTimeout)
	defer cancel()
	result, err := a.control.propose(ctx, c)
	var notLeader *driver.NotLeaderError
	switch {
	case err == nil:
	case errors.As(err, &notLeader):
		writeError(w, http.StatusMisdirectedRequest, client.RefusalBody{
			Outcome: string(outcome.NotRun), Reason: string(outcome.ControlUnavailable), Message: err.Error(), Leader: notLeader.Address(),
		})
		return nil, false
	default:
		writeError(w, http.StatusServiceUnavailable, client.RefusalBody{
			Outcome: string(outcome.MayHaveRun), Reason: string(outcome.ControlUnavailable), Message: err.Error(),
		})
		return nil, false
	}
	switch t := result.(type) {
	case registry.Conflict:
		writeError(w, http.StatusConflict, client.RefusalBody{
			Outcome: string(outcome.NotRun), Reason: string(outcome.RevisionConflict), Revision: t.Revision(),
			Message: fmt.Sprintf("another change was first; the revision in force is %d", t.Revision()),
		})
		return nil, false
	case registry.Denied:
		writeError(w, http.StatusConflict, client.RefusalBody{
			Outcome: string(outcome.NotRun), Reason: string(outcome.BadRequest), Message: t.Reason(),
		})
		return nil, false
	case registry.Accepted, registry.Claimed, registry.AlreadyClaimed:
	}
	return result, true
}

func (a *api) endpoints(w http.ResponseWriter, _ *http.Request, _ principal) {
	roster, inFlight := a.control.board.roster.Load(), a.control.board.inFlight.Load()
	list := []client.EndpointBody{}
	for _, e := range roster.snapshot.All() {
		n, _ := inFlight.Get(e.Name())
		list = append(list, client.EndpointBody{
			Name: e.Name(), AvailabilityZone: string(e.Worker().AvailabilityZone()), Rack: string(e.Worker().Rack()),
			State: string(e.State()), Slots: e.Slots(), InFlight: n, Accelerators: e.Worker().Accelerators(),
		})
	}
	writeJSON(w, http.StatusOK, list)
}

func (a *api) drain(w http.ResponseWriter, r *http.Request, p principal) {
	if !requireOperator(w, p) {
		return
	}
	body := client.DrainBody{Drained: true}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil && !errors.Is(err, io.EOF) {
		badRequest(w, err)
		return
	}
	c := registry.NewDrainEndpoint(r.Header.Get(client.RequestIDHeader), r.PathValue("name"), body.Drained, time.Now())
	if _, ok := a.propose(w, r, c); ok {
		writeJSON(w, http.StatusOK, body)
	}
}

func (a *api) jobs(w http.ResponseWriter, _ *http.Request, p principal) {
	list := []client.JobBody{}
	for _, j := range a.control.board.state.Load().Jobs().All() {
		if canAccess(p, j.Spec().Workspace()) {
			list = append(list, toJobBody(j))
		}
	}
	slices.SortFunc(list, func(x, y client.JobBody) int { return cmp.Compare(x.ID, y.ID) })
	writeJSON(w, http.StatusOK, list)
}

// requireOperator reports whether the principal is an operator, and writes the refusal if it is not.
func requireOperator(w http.ResponseWriter, p principal) bool {
	switch p.(type) {
	case operator:
		return true
	case caller:
	}
	writeError(w, http.StatusForbidden, client.RefusalBody{
		Outcome: string(outcome.NotRun), Reason: string(outcome.Unauthorized), Message: "only an operator may do this",
	})
	return false
}

func badRequest(w http.ResponseWriter, err error) {
	writeError(w, http.StatusBadRequest, client.RefusalBody{
		Outcome: string(outcome.NotRun), Reason: string(outcome.BadRequest), Message: err.Error(),
	})
}

func writeError(w http.ResponseWriter, status int, body client.RefusalBody) {
	w.Header().Set(outcome.Header, body.Outcome)
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
