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
	logger    hclog.Logger
	registry  *telemetry.Registry
	decoder   batch.Decoder
	server    *link.Server
	client    *tls.Config
	ledger    []driver.Option
	timing    dispatch.Timing
	advisor   Advisor
	caretaker Caretaker
	grace     time.Duration
}

// Option sets one property of a Scheduler.
type Option func(*options)

// WithLogger sets the logger.
func WithLogger(l hclog.Logger) Option { return func(o *options) { o.logger = l } }

// WithMetrics sets the registry of counters and histograms.
func WithMetrics(r *telemetry.Registry) Option { return func(o *options) { o.registry = r } }

// WithDecoder sets what reads the documents of operators and callers.
func WithDecoder(d batch.Decoder) Option { return func(o *options) { o.decoder = d } }

// WithServer sets the server for the system's other processes; the scheduler closes it.
func WithServer(s *link.Server) Option { return func(o *options) { o.server = s } }

// WithTLS sets the configuration with which other control hosts are dialed.
func WithTLS(c *tls.Config) Option { return func(o *options) { o.client = c } }

// WithLedger sets the options of the ledger's node.
func WithLedger(opts ...driver.Option) Option {
	return func(o *options) { o.ledger = append(o.ledger, opts...) }
}

// WithTiming sets the durations that the leader keeps to.
func WithTiming(t dispatch.Timing) Option { return func(o *options) { o.timing = t } }

// WithAdvisor sets who approves workers for the steps of queues that ask for it; without one such steps wait.
func WithAdvisor(a Advisor) Option { return func(o *options) { o.advisor = a } }

// WithCaretaker sets who takes machines down for maintenance; without one waves wait.
func WithCaretaker(c Caretaker) Option { return func(o *options) { o.caretaker = c } }

// WithGrace sets how long a stop may take.
func WithGrace(d time.Duration) Option { return func(o *options) { o.grace = d } }

func defaults() options {
	return options{
		logger: hclog.NewNullLogger(), registry: telemetry.NewRegistry(),
		timing: dispatch.DefaultTiming(), grace: 5 * time.Second,
		ledger: []driver.Option{driver.WithTiming(ledger.ShortTiming())},
	}
}
