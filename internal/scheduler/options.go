package scheduler

import (
	"crypto/tls"
	"time"

	"github.com/hashicorp/go-hclog"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/dispatch"
	"rosemarywind.example/rosemarywind/internal/ledger"
	"rosemarywind.example/rosemarywind/internal/ledger/driver"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/telemetry"
)

type options struct {
	logger     hclog.Logger
	registry   *telemetry.Registry
	decoder    batch.Decoder
	server     *link.Server
	client     *tls.Config
	ledger     []driver.Option
	timing     dispatch.Timing
	advisor    Advisor
	maintainer Maintainer
	grace      time.Duration
	jobBytes   int
	callBytes  int
}

// Option configures a Scheduler.
type Option func(*options)

// WithLogger sets the logger; the default discards all messages.
func WithLogger(l hclog.Logger) Option { return func(o *options) { o.logger = l } }

// WithMetrics sets the registry of counters and histograms; the default is a private one.
func WithMetrics(r *telemetry.Registry) Option { return func(o *options) { o.registry = r } }

// WithDecoder sets the decoder for declarations and job documents, which is required.
func WithDecoder(d batch.Decoder) Option { return func(o *options) { o.decoder = d } }

// WithServer sets the server for streams of the system's other processes, which is required; the scheduler closes it.
func WithServer(s *link.Server) Option { return func(o *options) { o.server = s } }

// WithTLS sets the TLS configuration for connections to other control hosts.
func WithTLS(c *tls.Config) Option { return func(o *options) { o.client = c } }

// WithLedger appends options for the ledger's node.
func WithLedger(opts ...driver.Option) Option {
	return func(o *options) { o.ledger = append(o.ledger, opts...) }
}

// WithTiming sets the durations and factors of the leader's decisions.
func WithTiming(t dispatch.Timing) Option { return func(o *options) { o.timing = t } }

// WithCallBytes sets how many bytes the calls that are under way may take, 32 MiB by default.
func WithCallBytes(n int) Option { return func(o *options) { o.callBytes = n } }

// WithAdvisor sets the advisor that approves workers for queues that require advice. Without one, the steps of these
// queues wait.
func WithAdvisor(a Advisor) Option { return func(o *options) { o.advisor = a } }

// WithMaintainer sets the maintainer that takes machines down. Without one, waves make no progress.
func WithMaintainer(m Maintainer) Option { return func(o *options) { o.maintainer = m } }

// WithGrace sets the grace period for stopping, 5 s by default.
func WithGrace(d time.Duration) Option { return func(o *options) { o.grace = d } }

// WithJobBytes sets about how many bytes of memory all stored jobs may take; 64 MB by default. New jobs beyond that are
// refused.
func WithJobBytes(limit int) Option { return func(o *options) { o.jobBytes = limit } }

// defaultJobBytes is half of the memory that a control host may use by default.
const defaultJobBytes = 64 << 20

// defaultCallBytes is what the calls under way take where no limit is set.
const defaultCallBytes = 32 << 20

func defaultOptions() options {
	return options{
		logger: hclog.NewNullLogger(), registry: telemetry.NewRegistry(),
		timing: dispatch.DefaultTiming(), grace: 5 * time.Second, jobBytes: defaultJobBytes, callBytes: defaultCallBytes,
		ledger: []driver.Option{driver.WithTiming(ledger.ShortTiming())},
	}
}
