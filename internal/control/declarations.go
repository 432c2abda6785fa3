package control

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"rosemarywind.example/rosemarywind/internal/declaration"
	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/plan"
	"rosemarywind.example/rosemarywind/internal/registry"
	"rosemarywind.example/rosemarywind/internal/workspace"
	"rosemarywind.example/rosemarywind/pkg/client"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

func (a *api) config(w http.ResponseWriter, _ *http.Request, p principal) {
	if !requireOperator(w, p) {
		return
	}
	c := a.control.board.state.Load().Config()
	writeJSON(w, http.StatusOK, client.ConfigBody{Revision: c.Revision(), Text: string(declaration.Format(c))})
}

// apply replaces the configuration with the declared one; a declaration without changes keeps the revision.
func (a *api) apply(w http.ResponseWriter, r *http.Request, p principal) {
	if !requireOperator(w, p) {
		return
	}
	next, err := readDeclaration(r)
	if err != nil {
		badRequest(w, err)
		return
	}
	if err = a.checkGuarantees(next); err != nil {
		a.refuseGuarantees(w, err)
		return
	}
	current := a.control.board.state.Load().Config()
	base, err := baseRevision(r, current.Revision())
	if err != nil {
		badRequest(w, err)
		return
	}
	body := client.ApplyBody{Revision: current.Revision(), Changes: []string{}}
	for _, c := range declaration.Diff(current, next) {
		body.Changes = append(body.Changes, c.String())
	}
	unchanged := len(body.Changes) == 0 && base == current.Revision()
	if r.URL.Query().Get("dry") == "true" || unchanged {
		writeJSON(w, http.StatusOK, body)
		return
	}
	c := registry.NewApplyConfig(r.Header.Get(client.RequestIDHeader), configDelta(current, next, base), time.Now())
	result, ok := a.propose(w, r, c)
	if !ok {
		return
	}
	if t, ok := result.(registry.Accepted); ok {
		body.Repeated = t.Revision() <= current.Revision()
		body.Revision = t.Revision()
	}
	writeJSON(w, http.StatusOK, body)
}

// configDelta returns the change to propose. If base is not the revision in force, the change is empty: the state
// machine refuses it as a conflict, unless it is a resend of an applied request, which gets the first answer again.
func configDelta(current, next *workspace.Config, base uint64) workspace.Delta {
	if base != current.Revision() {
		return workspace.NewDelta(base, base+1, nil, nil)
	}
	return workspace.Diff(current, next)
}

func readDeclaration(r *http.Request) (c *workspace.Config, err error) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, fmt.Errorf("read declaration: %w", err)
	}
	name := r.URL.Query().Get("file")
	if name == "" {
		name = "declaration"
	}
	return declaration.Parse(name, data)
}

// baseRevision returns the revision that the request is based on, by default the current one.
func baseRevision(r *http.Request, current uint64) (base uint64, err error) {
	text := r.URL.Query().Get("base")
	if text == "" {
		return current, nil
	}
	if base, err = strconv.ParseUint(text, 10, 64); err != nil {
		return 0, fmt.Errorf("base must be a revision, not %q", text)
	}
	return base, nil
}

// checkGuarantees returns an error if the known workers, live and lost, cannot satisfy all guarantees at once.
// It accepts any guarantee while no worker is known.
func (a *api) checkGuarantees(c *workspace.Config) error {
	roster := a.control.board.roster.Load()
	var workers []fleet.Worker
	for _, e := range roster.snapshot.All() {
		workers = append(workers, e.Worker())
	}
	for _, w := range roster.lost.All() {
		workers = append(workers, w)
	}
	if len(workers) == 0 {
		return nil
	}
	return plan.CheckGuarantees(workers, c.Workspaces())
}

// refuseGuarantees writes the refusal: a bad request if the roster is complete, else a request to retry, since workers
// may still announce themselves to a new leader.
func (a *api) refuseGuarantees(w http.ResponseWriter, err error) {
	term := a.control.node.Status().Load().Term()
	if a.control.board.roster.Load().complete(term, time.Now()) {
		badRequest(w, err)
		return
	}
	writeError(w, http.StatusServiceUnavailable, client.RefusalBody{
		Outcome: string(outcome.NotRun), Reason: string(outcome.ControlUnavailable),
		Message: "the workers are still announcing themselves to a new leader: " + err.Error(),
	})
}
