package control

import (
	"rosemarywind.example/rosemarywind/internal/clock"
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/ledger/driver"
	"rosemarywind.example/rosemarywind/internal/telemetry"
)

// Names of the control host's metrics. A job state is appended to JobsMetric.
const (
	LeadsMetric           = "control.leads"
	VoterMetric           = "control.voter"
	TermMetric            = "control.term"
	CommitMetric          = "control.commit"
	AppliedMetric         = "control.applied"
	RevisionMetric        = "control.revision"
	EndpointsMetric       = "control.endpoints"
	GuaranteesShortMetric = "control.guarantees-short"
	JobsMetric            = "control.jobs."
)

// WithMetrics sets the registry of the control host's metrics; the default registry is not exposed.
func WithMetrics(r *telemetry.Registry) Option { return func(o *options) { o.metrics = r } }

// Status returns the latest status of the ledger on this host.
func (c *Control) Status() driver.Status { return c.node.Status().Load() }

// register adds the gauges, which are computed when they are read. A follower reports no endpoints.
func (c *Control) register(r *telemetry.Registry) {
	r.GaugeFunc(LeadsMetric, func() (n int64) {
		if c.Status().Ready(clock.Now()) {
			n = 1
		}
		return n
	})
	r.GaugeFunc(VoterMetric, func() (n int64) {
		s := c.Status()
		if m, ok := s.Membership().Find(s.Self()); ok && m.Voter() {
			n = 1
		}
		return n
	})
	r.GaugeFunc(TermMetric, func() int64 { return int64(c.Status().Term()) })
	r.GaugeFunc(CommitMetric, func() int64 { return int64(c.Status().Commit()) })
	r.GaugeFunc(AppliedMetric, func() int64 { return int64(c.Status().Applied()) })
	r.GaugeFunc(RevisionMetric, func() int64 { return int64(c.board.state.Load().Config().Revision()) })
	r.GaugeFunc(EndpointsMetric, func() int64 { return int64(len(c.board.roster.Load().snapshot.All())) })
	r.GaugeFunc(GuaranteesShortMetric, func() (n int64) {
		if c.Status().Ready(clock.Now()) {
			n = int64(c.board.shortfalls.Load().Len())
		}
		return n
	})
	for _, state := range []job.State{job.Queued, job.Reserved, job.Started, job.Stopping, job.Done} {
		r.GaugeFunc(JobsMetric+string(state), func() int64 { return c.jobsIn(state) })
	}
}

func (c *Control) jobsIn(state job.State) (n int64) {
	for _, j := range c.board.state.Load().Jobs().All() {
		if j.State() == state {
			n++
		}
	}
	return n
}
