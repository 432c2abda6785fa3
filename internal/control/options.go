package control

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"rosemarywind.example/rosemarywind/internal/intake"
	"rosemarywind.example/rosemarywind/internal/ledger/driver"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/plan"
	"rosemarywind.example/rosemarywind/internal/telemetry"
)

// Option configures a Control.
type Option func(*options)

type options struct {
	tracer          trace.Tracer
	logger          hclog.Logger
	metrics         *telemetry.Registry
	agentTLS        *tls.Config
	peerTLS         *tls.Config
	server          *link.Server
	listener        net.Listener
	ledgerOptions   []driver.Option
	plannerOptions  []plan.Option
	announceLease   time.Duration
	taskLease       time.Duration
	operatorDigests []string
	grace           time.Duration
	monitor         http.Handler
	clientLimits    intake.Limits
	resources       intake.Resources
}

const (
	// defaultHeadBytes bounds the head of a request.
	defaultHeadBytes = 64 << 10
	// connectionMemoryShare is the part of the process's memory that operators' connections may take; the ledger needs most
	// of it.
	connectionMemoryShare = 1.0 / 16
)

func defaults() options {
	return options{
		tracer: noop.NewTracerProvider().Tracer(""),
		logger: hclog.NewNullLogger(), announceLease: 3 * time.Second, taskLease: 2 * time.Minute,
		grace: 30 * time.Second, monitor: http.NotFoundHandler(), metrics: telemetry.NewRegistry(),
		clientLimits: intake.NewServerLimits(
			intake.NewServerSizes(32<<20, maxAPIBody, defaultHeadBytes), 512, intake.DefaultPace()),
	}
}

// WithLogger sets the logger; the default discards all messages.
func WithLogger(l hclog.Logger) Option { return func(o *options) { o.logger = l } }

// WithTracer sets the tracer of the spans; the default records none.
func WithTracer(t trace.Tracer) Option { return func(o *options) { o.tracer = t } }

// WithTLS sets the TLS configurations for connections to agents and to other control hosts.
func WithTLS(agents, peers *tls.Config) Option {
	return func(o *options) { o.agentTLS, o.peerTLS = agents, peers }
}

// WithServer sets the QUIC server, which Run closes.
func WithServer(s *link.Server) Option { return func(o *options) { o.server = s } }

// WithListener sets the listener of the operators' HTTP interface, which Run closes.
func WithListener(l net.Listener) Option { return func(o *options) { o.listener = l } }

// WithClientLimits sets what is held for the clients of the operators' HTTP interface.
func WithClientLimits(bodies int64, connections, bodyRate int) Option {
	return func(o *options) {
		pace := intake.NewPaceOf(bodyRate, apiTimeout)
		o.clientLimits = intake.NewServerLimits(intake.NewServerSizes(bodies, maxAPIBody, defaultHeadBytes), connections, pace)
	}
}

// WithResources sets what the process may use; the clients of the operators' HTTP interface take no more than their part
// of it. The default is no limit.
func WithResources(r intake.Resources) Option { return func(o *options) { o.resources = r } }

// WithLedger adds options of the ledger: its member, peers and storage.
func WithLedger(opts ...driver.Option) Option {
	return func(o *options) { o.ledgerOptions = append(o.ledgerOptions, opts...) }
}

// WithPlanner adds options of the planner.
func WithPlanner(opts ...plan.Option) Option {
	return func(o *options) { o.plannerOptions = append(o.plannerOptions, opts...) }
}

// WithLeases sets the lengths of announcement and task leases that apply where the configuration declares none.
func WithLeases(announcement, task time.Duration) Option {
	return func(o *options) { o.announceLease, o.taskLease = announcement, task }
}

// WithOperatorDigests sets the digests of the operators' tokens, as "sha256:HEX".
func WithOperatorDigests(digests []string) Option {
	return func(o *options) { o.operatorDigests = digests }
}

// WithMonitor sets the handler of all other paths of the HTTP interface, such as metrics and health.
func WithMonitor(h http.Handler) Option { return func(o *options) { o.monitor = h } }

// WithGrace sets how long Run waits for exchanges in progress after its context ends.
func WithGrace(d time.Duration) Option { return func(o *options) { o.grace = d } }
