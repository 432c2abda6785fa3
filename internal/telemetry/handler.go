package telemetry

import (
	"encoding/json"
	"net/http"
)

// The paths that Handler serves.
const (
	MetricsPath = "/metrics"
	HealthPath  = "/health"
)

// Handler serves the metrics as JSON, and the health as JSON with status 200, or 503 if a check fails.
func Handler(r *Registry, h *Health) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+MetricsPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, r.Values())
	})
	mux.HandleFunc("GET "+HealthPath, func(w http.ResponseWriter, _ *http.Request) {
		failures := h.Failures()
		if len(failures) > 0 {
			writeJSON(w, http.StatusServiceUnavailable, map[string]any{"status": "failing", "checks": failures})
			return
		}
		writeJSON(w, http.StatusOK, map[string]any{"status": "ok"})
	})
	return mux
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}
