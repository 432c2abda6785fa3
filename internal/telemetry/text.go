package telemetry

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
)

// textQuantiles are the quantiles of each histogram in the text form; textSuffixes are the suffixes of their names.
var (
	textQuantiles = []float64{0.5, 0.9, 0.99}
	textSuffixes  = []string{"p50", "p90", "p99"}
)

// TextHandler serves the metrics as lines of a name and a value, sorted by name, with "_" for "." and "-" in names.
// A histogram has lines for its count, its largest value and its quantiles.
func TextHandler(r *Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = io.WriteString(w, r.text())
	})
}

// text returns the metrics in the form that TextHandler serves.
func (r *Registry) text() string {
	var lines []string
	add := func(name string, value any) {
		lines = append(lines, fmt.Sprintf("%s %v\n", strings.NewReplacer(".", "_", "-", "_").Replace(name), value))
	}
	r.metrics.Each(func(name string, m any) {
		switch m := m.(type) {
		case gometrics.Counter:
			add(name, m.Count())
		case gometrics.Gauge:
			add(name, m.Value())
		case gometrics.GaugeFloat64:
			add(name, m.Value())
		case gometrics.Histogram:
			h := m.Snapshot()
			add(name+"_count", h.Count())
			add(name+"_max", h.Max())
			for i, v := range h.Percentiles(textQuantiles) {
				add(name+"_"+textSuffixes[i], int64(v))
			}
		}
	})
	slices.Sort(lines)
	return strings.Join(lines, "")
}
