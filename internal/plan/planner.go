package plan

import (
	"time"
)

// Default settings of a Planner.
const (
	// defaultAgeing is long against previews that take seconds and short against jobs that take hours.
	defaultAgeing = 30 * time.Minute
	// defaultFirstPause is the length of the first quarantine of a worker; each further one doubles it.
	defaultFirstPause   = time.Minute
	defaultLongestPause = time.Hour
	// defaultFailures is the number of different jobs in a row that must fail to start on a worker before it is
	// quarantined.
	defaultFailures = 3
	// defaultReservations is the largest number of reservations for blocked jobs at a time.
	defaultReservations = 1
)

// Planner decides about queued jobs from views. It must not be used by more than one goroutine at a time. Its state
// is only a cache: a new planner decides equally well from the same view.
type Planner struct {
	policy       Policy
	ageing       time.Duration
	firstPause   time.Duration
	longestPause time.Duration
	failures     int

	reservations    int
	idleWorkerDelay time.Duration

	top        *topology
	cells      map[string]cell
	holds      map[string]hold
	backfilled map[string]bool
}

// Option configures a Planner.
type Option func(*Planner)

// New returns a planner with the default settings, changed by the options.
func New(opts ...Option) *Planner {
	p := &Planner{
		policy: Reserving, ageing: defaultAgeing, firstPause: defaultFirstPause, longestPause: defaultLongestPause,
		failures: defaultFailures, reservations: defaultReservations,
		cells: map[string]cell{}, holds: map[string]hold{}, backfilled: map[string]bool{},
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// WithWeights weighs completion time against fragmentation: a small patient job waits fragmentation/completion
// minutes before it is placed on an idle worker. By default it does not wait.
func WithWeights(completion, fragmentation float64) Option {
	return func(p *Planner) {
		p.idleWorkerDelay = 0
		if completion > 0 && fragmentation > 0 {
			p.idleWorkerDelay = time.Duration(fragmentation / completion * float64(time.Minute))
		}
	}
}

// WithPolicy sets the policy; the default is Reserving.
func WithPolicy(policy Policy) Option { return func(p *Planner) { p.policy = policy } }

// Policy names a way of ordering and placing jobs.
type Policy string

// The policies. All but Reserving are baselines for benchmarks.
const (
	// Reserving is the full policy of this package, with guarantees, reservations, backfill and reclaim.
	Reserving Policy = "reserving"
	// FirstFit places jobs in the order of submission on the first workers with enough free capacity, without
	// reservation or reclaim.
	FirstFit Policy = "first-fit"
	// Direct places jobs in the order of submission where Reserving would, without cells, reservation or reclaim.
	Direct Policy = "direct"
	// Buddy places jobs in the order of submission by buddy allocation over worker, rack and availability zone.
	Buddy Policy = "buddy"
	// StrictPriority places urgent jobs first and then the others in the order of submission, without reservation.
	StrictPriority Policy = "strict-priority"
)

// Decide returns the decisions for the queued jobs, throttled jobs, guarantees and faulty workers of the view. Place
// decisions use only accelerators that are free before the Reclaim decisions of the same call are carried out.
func (p *Planner) Decide(v View, now time.Time) []Decision {
	switch s := p.newPass(v, now); p.policy {
	case FirstFit:
		return s.runBaseline(false, s.firstFit)
	case StrictPriority:
		return s.runBaseline(true, s.firstFit)
	case Direct:
		return s.runBaseline(false, s.direct)
	case Buddy:
		return s.runBaseline(false, s.buddy)
	case Reserving:
		return s.run()
	default:
		return s.run()
	}
}
