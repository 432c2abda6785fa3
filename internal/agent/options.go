package agent

import (
	"crypto/tls"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/telemetry"
)

// Option sets a part of an Agent.
type Option func(*options)

type options struct {
	tracer        trace.Tracer
	logger        hclog.Logger
	registry      *telemetry.Registry
	tls           *tls.Config
	peerTLS       *tls.Config
	server        *link.Server
	control       []string
	worker        fleet.Worker
	advertise     string
	endpointURL   string
	workerURL     string
	slots         int
	connections   int
	probeInterval time.Duration
	probeTimeout  time.Duration
	bodyLimit     int
	grace         time.Duration
}

func defaults() options {
	return options{
		tracer:   noop.NewTracerProvider().Tracer(""),
		registry: telemetry.NewRegistry(),
		logger:   hclog.NewNullLogger(), slots: 8, connections: 64, probeInterval: 500 * time.Millisecond,
		probeTimeout: time.Second, bodyLimit: 4 << 20, grace: 30 * time.Second,
	}
}

// WithLogger sets the logger.
func WithLogger(l hclog.Logger) Option { return func(o *options) { o.logger = l } }

// WithTracer sets the tracer of the spans.
func WithTracer(t trace.Tracer) Option { return func(o *options) { o.tracer = t } }

// WithTLS sets the configuration with which control hosts are dialed.
func WithTLS(c *tls.Config) Option { return func(o *options) { o.tls = c } }

// WithPeerTLS sets the configuration with which other agents are dialed; without one gangs are not watched.
func WithPeerTLS(c *tls.Config) Option { return func(o *options) { o.peerTLS = c } }

// WithServer sets the QUIC port and the address under which others reach it.
func WithServer(s *link.Server, advertise string) Option {
	return func(o *options) { o.server, o.advertise = s, advertise }
}

// WithControl sets the QUIC addresses of the control hosts.
func WithControl(addresses []string) Option { return func(o *options) { o.control = addresses } }

// WithWorker sets the worker and the base URL of the platform's interface to it.
func WithWorker(w fleet.Worker, url string) Option {
	return func(o *options) { o.worker, o.workerURL = w, url }
}

// WithEndpoint sets the base URL of the endpoint, its slots and its connections.
func WithEndpoint(url string, slots, connections int) Option {
	return func(o *options) { o.endpointURL, o.slots, o.connections = url, slots, connections }
}

// WithProbe sets how often the endpoint is probed and how long it may take to answer.
func WithProbe(interval, timeout time.Duration) Option {
	return func(o *options) { o.probeInterval, o.probeTimeout = interval, timeout }
}

// WithBodyLimit sets the bytes of one body.
func WithBodyLimit(n int) Option { return func(o *options) { o.bodyLimit = n } }

// WithGrace sets how long a planned stop waits for requests in flight.
func WithGrace(d time.Duration) Option { return func(o *options) { o.grace = d } }
