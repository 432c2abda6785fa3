package plan

import (
	"time"
)

// Defaults of the options.
const (
	// defaultAgeing is half an hour: long against previews of seconds, short against jobs of hours.
	defaultAgeing = 30 * time.Minute
	// defaultPause is the first pause of a faulty worker; each further failure doubles it.
	defaultPause        = time.Minute
	defaultLongestPause = time.Hour
	// defaultFailures is the number of different jobs that must fail on a worker in a row.
	defaultFailures     = 3
	defaultReservations = 1
)

// Planner decides from views; it keeps only caches, so that a new one decides as well from the same view.
// One goroutine at a time may use it.
type Planner struct {
	policy       Policy
	ageing       time.Duration
	pause        time.Duration
	longestPause time.Duration
	failures     int

	reservations int
	sparing      time.Duration

	top        *topology
	cells      map[string]cell
	holds      map[string]hold
	backfilled map[string]bool
}

// Option sets a part of a Planner.
type Option func(*Planner)

// New returns a planner.
func New(opts ...Option) *Planner {
	p := &Planner{
		policy: Reserving, ageing: defaultAgeing, pause: defaultPause, longestPause: defaultLongestPause,
		failures: defaultFailures, reservations: defaultReservations,
		cells: map[string]cell{}, holds: map[string]hold{}, backfilled: map[string]bool{},
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// WithWeights weighs completion time against fragmentation: a small patient job waits one minute times
// fragmentation over completion before it breaks a whole idle worker. The default is not to wait.
func WithWeights(completion, fragmentation float64) Option {
	return func(p *Planner) {
		p.sparing = 0
		if completion > 0 && fragmentation > 0 {
			p.sparing = time.Duration(fragmentation / completion * float64(time.Minute))
		}
	}
}

// WithPolicy chooses the policy; the default is Reserving.
func WithPolicy(policy Policy) Option { return func(p *Planner) { p.policy = policy } }

// Policy names a way to order and place jobs.
type Policy string

// The policies; all but Reserving are baselines for measurements.
const (
	// Reserving is the planner's own policy.
	Reserving Policy = "reserving"
	// FirstFit takes jobs by age, places each at the first worker that has room, and neither reserves nor reclaims.
	FirstFit Policy = "first-fit"
	// Direct takes jobs by age and places each as Reserving does, without cells, reservation or reclaim.
	Direct Policy = "direct"
	// Buddy takes jobs by age and splits the smallest free cell of worker, rack and availability zone.
	Buddy Policy = "buddy"
	// StrictPriority takes urgent jobs first and then jobs by age, without reservation.
	StrictPriority Policy = "strict-priority"
)

// Decide returns the decisions for all queued jobs and faulty workers.
// Place decisions assume that Reclaim decisions of the same call are not yet carried out.
func (p *Planner) Decide(v View, now time.Time) []Decision {
	switch s := p.begin(v, now); p.policy {
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
