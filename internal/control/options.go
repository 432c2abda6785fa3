package control

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"rosemarywind.example/rosemarywind/internal/ledger/driver"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/plan"
	"rosemarywind.example/rosemarywind/internal/telemetry"
)

// Option sets a part of a Control.
type Option func(*options)

type options struct {
	tracer        trace.Tracer
	logger        hclog.Logger
	registry      *telemetry.Registry
	agentTLS      *tls.Config
	peerTLS       *tls.Config
	server        *link.Server
	listener      net.Listener
	ledger        []driver.Option
	planner       []plan.Option
	announceLease time.Duration
	taskLease     time.Duration
	digests       []string
	grace         time.Duration
	monitor       http.Handler
}

func defaults() options {
	return options{
		tracer: noop.NewTracerProvider().Tracer(""),
		logger: hclog.NewNullLogger(), announceLease: 3 * time.Second, taskLease: 2 * time.Minute,
		grace: 30 * time.Second, monitor: http.NotFoundHandler(), registry: telemetry.NewRegistry(),
	}
}

// WithLogger sets the logger.
func WithLogger(l hclog.Logger) Option { return func(o *options) { o.logger = l } }

// WithTracer sets the tracer of the spans.
func WithTracer(t trace.Tracer) Option { return func(o *options) { o.tracer = t } }

// WithTLS sets the configurations with which agents and other control hosts are dialed.
func WithTLS(agents, peers *tls.Config) Option {
	return func(o *options) { o.agentTLS, o.peerTLS = agents, peers }
}

// WithServer sets the QUIC port.
func WithServer(s *link.Server) Option { return func(o *options) { o.server = s } }

// WithListener sets the listener of the operators' HTTP interface.
func WithListener(l net.Listener) Option { return func(o *options) { o.listener = l } }

// WithLedger sets the member, its peers and the storage of the ledger.
func WithLedger(opts ...driver.Option) Option {
	return func(o *options) { o.ledger = append(o.ledger, opts...) }
}

// WithPlanner sets the options of the planner.
func WithPlanner(opts ...plan.Option) Option {
	return func(o *options) { o.planner = append(o.planner, opts...) }
}

// WithLeases sets the lengths of the leases of announcements and of tasks.
func WithLeases(announcement, task time.Duration) Option {
	return func(o *options) { o.announceLease, o.taskLease = announcement, task }
}

// WithOperatorDigests sets the digests of the operators' tokens, as "sha256:HEX".
func WithOperatorDigests(digests []string) Option { return func(o *options) { o.digests = digests } }

// WithMonitor sets the handler of metrics and health beside the operators' interface.
func WithMonitor(h http.Handler) Option { return func(o *options) { o.monitor = h } }

// WithGrace sets how long a planned stop waits for exchanges in progress.
func WithGrace(d time.Duration) Option { return func(o *options) { o.grace = d } }
