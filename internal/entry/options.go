package entry

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"rosemarywind.example/rosemarywind/internal/route"
	"rosemarywind.example/rosemarywind/internal/telemetry"
)

// Option sets a part of an Entry.
type Option func(*options)

type options struct {
	tracer        trace.Tracer
	logger        hclog.Logger
	registry      *telemetry.Registry
	agentTLS      *tls.Config
	controlTLS    *tls.Config
	control       []string
	listener      net.Listener
	bodyLimit     int
	bufferedLimit int64
	headerLimit   int
	headerTimeout time.Duration
	bodyTimeout   time.Duration
	queueWait     time.Duration
	deadline      time.Duration
	maxDeadline   time.Duration
	retryShare    int
	retryAttempts int
	retryPause    time.Duration
	health        route.Health
	grace         time.Duration
}

func defaults() options {
	return options{
		tracer:   noop.NewTracerProvider().Tracer(""),
		registry: telemetry.NewRegistry(),
		logger:   hclog.NewNullLogger(), bodyLimit: 4 << 20, bufferedLimit: 64 << 20, headerLimit: 64 << 10,
		headerTimeout: 5 * time.Second, bodyTimeout: 30 * time.Second, queueWait: 2 * time.Second,
		deadline: 30 * time.Second, maxDeadline: 10 * time.Minute, retryShare: 10, retryAttempts: 3,
		retryPause: 25 * time.Millisecond, health: route.NewHealth(5, time.Second), grace: 30 * time.Second,
	}
}

// WithLogger sets the logger.
func WithLogger(l hclog.Logger) Option { return func(o *options) { o.logger = l } }

// WithTracer sets the tracer of the spans.
func WithTracer(t trace.Tracer) Option { return func(o *options) { o.tracer = t } }

// WithTLS sets the configurations with which agents and control hosts are dialed.
func WithTLS(agents, control *tls.Config) Option {
	return func(o *options) { o.agentTLS, o.controlTLS = agents, control }
}

// WithControl sets the QUIC addresses of the control hosts.
func WithControl(addresses []string) Option { return func(o *options) { o.control = addresses } }

// WithListener sets the listener for callers.
func WithListener(l net.Listener) Option { return func(o *options) { o.listener = l } }

// WithBodyLimits sets the bytes of one body, and of all bodies that are buffered at once.
func WithBodyLimits(one int, all int64) Option {
	return func(o *options) { o.bodyLimit, o.bufferedLimit = one, all }
}

// WithHeaderLimit sets the bytes of the headers.
func WithHeaderLimit(n int) Option { return func(o *options) { o.headerLimit = n } }

// WithReadTimeouts sets how long a caller may take to send its headers and its body.
func WithReadTimeouts(header, body time.Duration) Option {
	return func(o *options) { o.headerTimeout, o.bodyTimeout = header, body }
}

// WithQueueWait sets how long a request may wait for a slot.
func WithQueueWait(d time.Duration) Option { return func(o *options) { o.queueWait = d } }

// WithDeadlines sets the deadline of a request that names none, and the longest that one may name.
func WithDeadlines(standard, longest time.Duration) Option {
	return func(o *options) { o.deadline, o.maxDeadline = standard, longest }
}

// WithRetries sets the share of traffic that may be retried in percent, the attempts of one request and the base pause.
func WithRetries(sharePercent, attempts int, pause time.Duration) Option {
	return func(o *options) { o.retryShare, o.retryAttempts, o.retryPause = sharePercent, attempts, pause }
}

// WithSetAside sets after how many failures in a row an endpoint gets no requests, 0 for never, and the first pause.
func WithSetAside(failures int, pause time.Duration) Option {
	return func(o *options) { o.health = route.NewHealth(failures, pause) }
}

// WithGrace sets how long a planned stop waits for requests in flight.
func WithGrace(d time.Duration) Option { return func(o *options) { o.grace = d } }
