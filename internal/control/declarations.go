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
	if !only(w, p) {
		return
	}
	c := a.control.board.state.Load().Config()
	writeJSON(w, http.StatusOK, client.ConfigBody{Revision: c.Revision(), Text: string(declaration.Format(c))})
}

// apply replaces the configuration by the declared one; a declaration that changes nothing keeps the revision.
func (a *api) apply(w http.ResponseWriter, h *http.Request, p principal) {
	if !only(w, p) {
		return
	}
	next, err := readDeclaration(h)
	if err != nil {
		badRequest(w, err)
		return
	}
	if err = a.checkGuarantees(next); err != nil {
		a.refuseGuarantees(w, err)
		return
	}
	current := a.control.board.state.Load().Config()
	base, err := baseRevision(h, current.Revision())
	if err != nil {
		badRequest(w, err)
		return
	}
	f := client.ApplyBody{Revision: current.Revision(), Changes: []string{}}
	for _, c := range declaration.Diff(current, next) {
		f.Changes = append(f.Changes, c.String())
	}
	unchanged := len(f.Changes) == 0 && base == current.Revision()
	if h.URL.Query().Get("dry") == "true" || unchanged {
		writeJSON(w, http.StatusOK, f)
		return
	}
	c := registry.NewApplyConfig(h.Header.Get(client.RequestIDHeader), change(current, next, base), time.Now())
	r, ok := a.propose(w, h, c)
	if !ok {
		return
	}
	if t, ok := r.(registry.Accepted); ok {
		f.Repeated = t.Revision() <= current.Revision()
		f.Revision = t.Revision()
	}
	writeJSON(w, http.StatusOK, f)
}

// change returns what the ledger gets. A change from a base that is not in force says nothing beside the base: it is
// refused there, unless it is a resend, which gets its first answer.
func change(current, next *workspace.Config, base uint64) workspace.Delta {
	if base != current.Revision() {
		return workspace.NewDelta(base, base+1, nil, nil)
	}
	return workspace.Diff(current, next)
}

func readDeclaration(h *http.Request) (c *workspace.Config, err error) {
	data, err := io.ReadAll(h.Body)
	if err != nil {
		return nil, fmt.Errorf("read declaration: %w", err)
	}
	name := h.URL.Query().Get("file")
	if name == "" {
		name = "declaration"
	}
	return declaration.Parse(name, data)
}

// baseRevision returns the revision that the operator's change is based on.
func baseRevision(h *http.Request, current uint64) (base uint64, err error) {
	text := h.URL.Query().Get("base")
	if text == "" {
		return current, nil
	}
	if base, err = strconv.ParseUint(text, 10, 64); err != nil {
		return 0, fmt.Errorf("base must be a revision, not %q", text)
	}
	return base, nil
}

// checkGuarantees refuses guarantees that the known fleet cannot hold at once; an empty fleet is not judged.
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

// refuseGuarantees asks the operator to try again while a new leader does not know the whole fleet.
func (a *api) refuseGuarantees(w http.ResponseWriter, err error) {
	term := a.control.node.Status().Load().Term()
	if a.control.board.roster.Load().settled(term, time.Now()) {
		badRequest(w, err)
		return
	}
	writeError(w, http.StatusServiceUnavailable, client.RefusalBody{
		Outcome: string(outcome.NotRun), Reason: string(outcome.ControlAway),
		Message: "the workers are still announcing themselves to a new leader: " + err.Error(),
	})
}
