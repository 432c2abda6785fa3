package telemetry

import (
	"fmt"
	"runtime/metrics"

	gometrics "github.com/rcrowley/go-metrics"
)

// The metrics that every process has.
const (
	GoroutinesMetric    = "process.goroutines"
	HeapBytesMetric     = "process.heap_bytes"
	TraceFailuresMetric = "trace.export_failures"
	KeyFailuresMetric   = "keys.reload_failures"
	// KeyExpiryMetric is registered by the roles that have keys: seconds until the certificate ends.
	KeyExpiryMetric = "keys.certificate_expires_s"
)

// Registry holds the metrics of one process.
type Registry struct {
	metrics gometrics.Registry
}

// NewRegistry returns a registry with the metrics that every process has.
func NewRegistry() *Registry {
	r := &Registry{metrics: gometrics.NewRegistry()}
	r.GaugeFunc(GoroutinesMetric, func() int64 { return runtimeValue("/sched/goroutines:goroutines") })
	r.GaugeFunc(HeapBytesMetric, func() int64 { return runtimeValue("/memory/classes/heap/objects:bytes") })
	r.Counter(TraceFailuresMetric)
	r.Counter(KeyFailuresMetric)
	return r
}

// Counter returns the counter of the given name, the same one at each call.
func (r *Registry) Counter(name string) gometrics.Counter {
	return registered(r, name, gometrics.NewCounter)
}

// Gauge returns the gauge of the given name, the same one at each call.
func (r *Registry) Gauge(name string) gometrics.Gauge {
	return registered(r, name, gometrics.NewGauge)
}

// GaugeFunc registers a gauge whose value is computed when it is read; the first function of a name stays.
func (r *Registry) GaugeFunc(name string, value func() int64) {
	registered(r, name, func() gometrics.Gauge { return gometrics.NewFunctionalGauge(value) })
}

// Ratio returns the gauge with a decimal value of the given name, the same one at each call.
func (r *Registry) Ratio(name string) gometrics.GaugeFloat64 {
	return registered(r, name, gometrics.NewGaugeFloat64)
}

// Histogram returns the histogram of the given name, the same one at each call; values are counted from the start of the process.
func (r *Registry) Histogram(name string) gometrics.Histogram {
	return registered(r, name, NewHistogram)
}

// Values returns the figures of all metrics by name.
func (r *Registry) Values() map[string]map[string]any { return r.metrics.GetAll() }

// registered returns the metric of a name; one name with two kinds is a fault of the program.
func registered[M any](r *Registry, name string, create func() M) M {
	m, ok := r.metrics.GetOrRegister(name, create).(M)
	if !ok {
		panic(fmt.Sprintf("metric %q is registered with another kind", name))
	}
	return m
}

func runtimeValue(name string) int64 {
	sample := []metrics.Sample{{Name: name}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return int64(min(sample[0].Value.Uint64(), 1<<62))
}
