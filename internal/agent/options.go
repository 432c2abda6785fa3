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

// Option configures an Agent.
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

// WithLogger sets the logger; without one nothing is logged.
func WithLogger(l hclog.Logger) Option { return func(o *options) { o.logger = l } }

// WithTracer sets the tracer for the spans of requests; without one no spans are recorded.
func WithTracer(t trace.Tracer) Option { return func(o *options) { o.tracer = t } }

// WithTLS sets the TLS configuration for connections to control hosts.
func WithTLS(c *tls.Config) Option { return func(o *options) { o.tls = c } }

// WithPeerTLS sets the TLS configuration for connections to other agents; without one no gang is monitored.
func WithPeerTLS(c *tls.Config) Option { return func(o *options) { o.peerTLS = c } }

// WithServer sets the QUIC server and the address that the agent announces for it; Run closes the server.
func WithServer(s *link.Server, advertise string) Option {
	return func(o *options) { o.server, o.advertise = s, advertise }
}

// WithControl sets the QUIC addresses of the control hosts.
func WithControl(addresses []string) Option { return func(o *options) { o.control = addresses } }

// WithWorker sets the worker and the base URL of its HTTP interface.
func WithWorker(w fleet.Worker, url string) Option {
	return func(o *options) { o.worker, o.workerURL = w, url }
}

// WithEndpoint sets the base URL of the endpoint and its limits on concurrent requests (slots) and on connections.
func WithEndpoint(url string, slots, connections int) Option {
	return func(o *options) { o.endpointURL, o.slots, o.connections = url, slots, connections }
}

// WithProbe sets the interval between probes of the endpoint and the timeout of one probe.
func WithProbe(interval, timeout time.Duration) Option {
	return func(o *options) { o.probeInterval, o.probeTimeout = interval, timeout }
}

// WithBodyLimit sets the maximum size in bytes of a request or response body.
func WithBodyLimit(n int) Option { return func(o *options) { o.bodyLimit = n } }

// WithGrace sets the grace period, the longest time for which a planned stop waits for requests in flight.
func WithGrace(d time.Duration) Option { return func(o *options) { o.grace = d } }
