package entry

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"rosemarywind.example/rosemarywind/internal/intake"
	"rosemarywind.example/rosemarywind/internal/route"
	"rosemarywind.example/rosemarywind/internal/telemetry"
)

// Option configures an Entry.
type Option func(*options)

type options struct {
	tracer            trace.Tracer
	logger            hclog.Logger
	registry          *telemetry.Registry
	agentTLS          *tls.Config
	controlTLS        *tls.Config
	control           []string
	listener          net.Listener
	bodyLimit         int
	bufferedLimit     int64
	headerLimit       int
	bodyRate          int
	connectionLimit   int
	resources         intake.Resources
	headerTimeout     time.Duration
	bodyTimeout       time.Duration
	queueWait         time.Duration
	defaultDeadline   time.Duration
	maxDeadline       time.Duration
	retrySharePercent int
	retryAttempts     int
	retryPause        time.Duration
	quarantine        route.QuarantineRule
	grace             time.Duration
}

func defaultOptions() options {
	return options{
		tracer:   noop.NewTracerProvider().Tracer(""),
		registry: telemetry.NewRegistry(),
		logger:   hclog.NewNullLogger(), bodyLimit: 4 << 20, bufferedLimit: 64 << 20, headerLimit: 64 << 10, bodyRate: 1 << 10, connectionLimit: 4096,
		headerTimeout: 5 * time.Second, bodyTimeout: 30 * time.Second, queueWait: 2 * time.Second,
		defaultDeadline: 30 * time.Second, maxDeadline: 10 * time.Minute, retrySharePercent: 10, retryAttempts: 3,
		retryPause: 25 * time.Millisecond, quarantine: route.NewQuarantineRule(5, time.Second), grace: 30 * time.Second,
	}
}

// WithLogger sets the logger; the default discards all messages.
func WithLogger(l hclog.Logger) Option { return func(o *options) { o.logger = l } }

// WithTracer sets the tracer of the requests' spans; the default records none.
func WithTracer(t trace.Tracer) Option { return func(o *options) { o.tracer = t } }

// WithTLS sets the TLS configurations for connections to agents and to control hosts.
func WithTLS(agents, control *tls.Config) Option {
	return func(o *options) { o.agentTLS, o.controlTLS = agents, control }
}

// WithControl sets the QUIC addresses of the control hosts.
func WithControl(addresses []string) Option { return func(o *options) { o.control = addresses } }

// WithListener sets the listener for callers' connections, which Run closes.
func WithListener(l net.Listener) Option { return func(o *options) { o.listener = l } }

// WithBodyLimits sets the maximum size of one body, and of all bodies that are buffered at once, in bytes.
func WithBodyLimits(body int, buffered int64) Option {
	return func(o *options) { o.bodyLimit, o.bufferedLimit = body, buffered }
}

// WithHeaderLimit sets the maximum size of a request's headers in bytes.
func WithHeaderLimit(n int) Option { return func(o *options) { o.headerLimit = n } }

// WithBodyRate sets the least rate at which a body has to arrive, in bytes per second.
func WithBodyRate(n int) Option { return func(o *options) { o.bodyRate = n } }

// WithConnectionLimit sets how many callers' connections are open at once; idle ones give way to new ones.
func WithConnectionLimit(n int) Option { return func(o *options) { o.connectionLimit = n } }

// WithResources sets what the process may use; callers' connections and requests take no more than their part of it. The
// default is no limit.
func WithResources(r intake.Resources) Option { return func(o *options) { o.resources = r } }

// WithReadTimeouts sets how long a caller may take to send the headers and the body of a request.
func WithReadTimeouts(header, body time.Duration) Option {
	return func(o *options) { o.headerTimeout, o.bodyTimeout = header, body }
}

// WithQueueWait sets how long a request may wait for a free slot before it is refused.
func WithQueueWait(d time.Duration) Option { return func(o *options) { o.queueWait = d } }

// WithDeadlines sets the deadline of a request that does not state one, and the longest that a request may state, both
// counted from its arrival.
func WithDeadlines(standard, longest time.Duration) Option {
	return func(o *options) { o.defaultDeadline, o.maxDeadline = standard, longest }
}

// WithRetries sets the share of requests that may be retried, in percent, the maximum number of attempts per request,
// and the base pause between attempts.
func WithRetries(sharePercent, attempts int, pause time.Duration) Option {
	return func(o *options) { o.retrySharePercent, o.retryAttempts, o.retryPause = sharePercent, attempts, pause }
}

// WithQuarantine sets the number of consecutive failures after which an endpoint is quarantined, 0 for never, and the
// duration of its first quarantine.
func WithQuarantine(failures int, pause time.Duration) Option {
	return func(o *options) { o.quarantine = route.NewQuarantineRule(failures, pause) }
}

// WithGrace sets how long Run waits for requests in flight after its context has ended.
func WithGrace(d time.Duration) Option { return func(o *options) { o.grace = d } }
