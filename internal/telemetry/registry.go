package telemetry

import (
	"fmt"
	"runtime/metrics"

	gometrics "github.com/rcrowley/go-metrics"
)

// The names of the metrics that every process has.
const (
	GoroutinesMetric    = "process.goroutines"
	HeapBytesMetric     = "process.heap_bytes"
	TraceFailuresMetric = "trace.export_failures"
	KeyFailuresMetric   = "keys.reload_failures"
	// KeyExpiryMetric is the number of seconds until the certificate expires; the roles that have key files register it.
	KeyExpiryMetric = "keys.certificate_expires_s"
)

// Registry holds the metrics of one process. Its methods may be called concurrently.
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

// Counter returns the counter of the given name, which it creates on the first call.
func (r *Registry) Counter(name string) gometrics.Counter {
	return registered(r, name, gometrics.NewCounter)
}

// Gauge returns the integer gauge of the given name, which it creates on the first call.
func (r *Registry) Gauge(name string) gometrics.Gauge {
	return registered(r, name, gometrics.NewGauge)
}

// GaugeFunc registers a gauge whose value is computed when it is read; it has no effect if the name is registered.
func (r *Registry) GaugeFunc(name string, value func() int64) {
	registered(r, name, func() gometrics.Gauge { return gometrics.NewFunctionalGauge(value) })
}

// FloatGauge returns the floating-point gauge of the given name, which it creates on the first call.
func (r *Registry) FloatGauge(name string) gometrics.GaugeFloat64 {
	return registered(r, name, gometrics.NewGaugeFloat64)
}

// Histogram returns the histogram of the given name, which it creates on the first call. It covers all values since
// the start of the process.
func (r *Registry) Histogram(name string) gometrics.Histogram {
	return registered(r, name, NewHistogram)
}

// Values returns the values of all metrics by name and by part, such as count or max.
func (r *Registry) Values() map[string]map[string]any { return r.metrics.GetAll() }

// registered returns the metric of a name; it panics if the name is registered with another type, which is a bug.
func registered[M any](r *Registry, name string, create func() M) M {
	m, ok := r.metrics.GetOrRegister(name, create).(M)
	if !ok {
		panic(fmt.Sprintf("metric %q is already registered with another type", name))
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
