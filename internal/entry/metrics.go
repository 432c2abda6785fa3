package entry

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"rosemarywind.example/rosemarywind/internal/request"
	"rosemarywind.example/rosemarywind/internal/telemetry"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// The names of the entry's metrics; an outcome or a reason is added to the ones that end with a dot.
const (
	RequestsMetric = "entry.requests."
	RefusalsMetric = "entry.refusals."
	RetriesMetric  = "entry.retries"
	QueuedMetric   = "entry.queued"
	LatencyMetric  = "entry.latency_us"
)

// otherReason counts refusals with a reason that has no counter.
const otherReason outcome.Reason = "other"

// counted are the reasons with a counter of their own, made at the start so that a request takes no lock.
var counted = []outcome.Reason{
	outcome.BadRequest, outcome.Unauthorized, outcome.UnknownWorkspace, outcome.TooLarge, outcome.QueueFull,
	outcome.NoEndpoint, outcome.NoSlot, outcome.Leaving, outcome.EndpointSilent, outcome.DeadlineExceeded,
	outcome.Cancelled, outcome.KeyInProgress, outcome.KeyReused, outcome.KeyUnknown, outcome.AnswerExpired,
	outcome.ControlAway, outcome.ConnectionLost, outcome.AnswerTruncated, outcome.Stopping, outcome.StaleIncarnation,
	outcome.Incompatible, otherReason,
}

// metrics counts what callers were told; its maps are not changed after New.
type metrics struct {
	requests map[outcome.Outcome]gometrics.Counter
	refusals map[outcome.Reason]gometrics.Counter
	retries  gometrics.Counter
	latency  gometrics.Histogram
}

// WithMetrics sets the registry of the entry's metrics.
func WithMetrics(r *telemetry.Registry) Option { return func(o *options) { o.registry = r } }

func newMetrics(r *telemetry.Registry, queued func() int64) *metrics {
	m := &metrics{
		requests: map[outcome.Outcome]gometrics.Counter{}, refusals: map[outcome.Reason]gometrics.Counter{},
		retries: r.Counter(RetriesMetric), latency: r.Histogram(LatencyMetric),
	}
	for _, o := range []outcome.Outcome{outcome.Ran, outcome.NotRun, outcome.MayHaveRun} {
		m.requests[o] = r.Counter(RequestsMetric + string(o))
	}
	for _, reason := range counted {
		m.refusals[reason] = r.Counter(RefusalsMetric + string(reason))
	}
	r.GaugeFunc(QueuedMetric, queued)
	return m
}

// record counts the result of one request.
func (m *metrics) record(result request.Result, took time.Duration) {
	m.latency.Update(took.Microseconds())
	switch t := result.(type) {
	case request.Answered:
		m.requests[outcome.Ran].Inc(1)
	case request.Unkept:
		m.requests[outcome.Ran].Inc(1)
		m.refused(outcome.AnswerExpired)
	case request.Refused:
		m.requests[outcome.NotRun].Inc(1)
		m.refused(t.Reason())
	case request.Lost:
		m.requests[outcome.MayHaveRun].Inc(1)
		m.refused(t.Reason())
	}
}

func (m *metrics) refused(reason outcome.Reason) {
	c, ok := m.refusals[reason]
	if !ok {
		c = m.refusals[otherReason]
	}
	c.Inc(1)
}
