package entry

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"rosemarywind.example/rosemarywind/internal/request"
	"rosemarywind.example/rosemarywind/internal/telemetry"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// The names of the entry's metrics. An outcome is appended to RequestsMetric and a reason to RefusalsMetric; the
// latency is in microseconds.
const (
	RequestsMetric = "entry.requests."
	RefusalsMetric = "entry.refusals."
	RetriesMetric  = "entry.retries"
	QueuedMetric   = "entry.queued"
	LatencyMetric  = "entry.latency_us"
)

// otherReason is the reason under which refusals are counted whose own reason has no counter.
const otherReason outcome.Reason = "other"

// countedReasons are the reasons that have counters, which are created at the start so that requests take no lock.
var countedReasons = []outcome.Reason{
	outcome.BadRequest, outcome.Unauthorized, outcome.UnknownWorkspace, outcome.TooLarge, outcome.QueueFull,
	outcome.NoEndpoint, outcome.NoSlot, outcome.Leaving, outcome.EndpointSilent, outcome.DeadlineExceeded,
	outcome.Cancelled, outcome.KeyInProgress, outcome.KeyReused, outcome.KeyOutcomeUnknown, outcome.AnswerExpired,
	outcome.ControlUnavailable, outcome.ConnectionLost, outcome.AnswerTruncated, outcome.Stopping, outcome.StaleIncarnation,
	outcome.NotTakenUp, otherReason,
}

// metrics counts the results sent to callers. Its maps are not modified after newMetrics.
type metrics struct {
	requests map[outcome.Outcome]gometrics.Counter
	refusals map[outcome.Reason]gometrics.Counter
	retries  gometrics.Counter
	latency  gometrics.Histogram
}

// WithMetrics sets the registry of the entry's metrics; the default is one of the entry's own.
func WithMetrics(r *telemetry.Registry) Option { return func(o *options) { o.registry = r } }

func newMetrics(r *telemetry.Registry, queued func() int64) *metrics {
	m := &metrics{
		requests: map[outcome.Outcome]gometrics.Counter{}, refusals: map[outcome.Reason]gometrics.Counter{},
		retries: r.Counter(RetriesMetric), latency: r.Histogram(LatencyMetric),
	}
	for _, o := range []outcome.Outcome{outcome.Ran, outcome.NotRun, outcome.MayHaveRun} {
		m.requests[o] = r.Counter(RequestsMetric + string(o))
	}
	for _, reason := range countedReasons {
		m.refusals[reason] = r.Counter(RefusalsMetric + string(reason))
	}
	r.GaugeFunc(QueuedMetric, queued)
	return m
}

// record counts one result and the time from the arrival of the request to the reply.
func (m *metrics) record(result request.Result, took time.Duration) {
	m.latency.Update(took.Microseconds())
	switch t := result.(type) {
	case request.Answered:
		m.requests[outcome.Ran].Inc(1)
	case request.AnswerExpired:
		m.requests[outcome.Ran].Inc(1)
		m.countReason(outcome.AnswerExpired)
	case request.Refused:
		m.requests[outcome.NotRun].Inc(1)
		m.countReason(t.Reason())
	case request.Lost:
		m.requests[outcome.MayHaveRun].Inc(1)
		m.countReason(t.Reason())
	}
}

func (m *metrics) countReason(reason outcome.Reason) {
	c, ok := m.refusals[reason]
	if !ok {
		c = m.refusals[otherReason]
	}
	c.Inc(1)
}
