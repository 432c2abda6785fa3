package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/registry"
	"rosemarywind.example/rosemarywind/pkg/client"
)

// evacuate evacuates an availability zone, or ends its evacuation.
func (a *api) evacuate(w http.ResponseWriter, r *http.Request, p principal) {
	if !requireOperator(w, p) {
		return
	}
	body := client.EvacuateBody{Evacuated: true}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil && !errors.Is(err, io.EOF) {
		badRequest(w, err)
		return
	}
	c := registry.NewEvacuateZone(r.Header.Get(client.RequestIDHeader), r.PathValue("name"), body.Reason, body.Evacuated, time.Now())
	if err := c.Evacuation().Check(); err != nil {
		badRequest(w, err)
		return
	}
	if _, ok := a.propose(w, r, c); ok {
		writeJSON(w, http.StatusOK, body)
	}
}

// evacuations lists the evacuated availability zones.
func (a *api) evacuations(w http.ResponseWriter, _ *http.Request, p principal) {
	if !requireOperator(w, p) {
		return
	}
	list := []client.EvacuationBody{}
	for _, e := range a.control.board.state.Load().EvacuationList() {
		list = append(list, client.EvacuationBody{AvailabilityZone: e.Zone(), Reason: e.Reason(), Since: e.Since().UTC()})
	}
	writeJSON(w, http.StatusOK, list)
}

// explainEvacuations returns a sentence about the evacuated zones, which a waiting job cannot use, or an empty string.
func explainEvacuations(s registry.State) string {
	var zones []string
	for _, e := range s.EvacuationList() {
		text := e.Zone()
		if e.Reason() != "" {
			text = fmt.Sprintf("%s (%s)", e.Zone(), e.Reason())
		}
		zones = append(zones, text)
	}
	if len(zones) == 0 {
		return ""
	}
	return "; evacuated availability zones: " + strings.Join(zones, ", ")
}

// keepsFromWork reports whether an operator has drained an endpoint or evacuated its availability zone.
func keepsFromWork(s registry.State, e fleet.Endpoint) bool {
	return s.KeepsFromWork(e.Name(), string(e.Worker().AvailabilityZone()))
}
