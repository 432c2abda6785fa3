package observer

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"rosemarywind.example/rosemarywind/internal/ledger"
	"rosemarywind.example/rosemarywind/internal/ledger/driver"
	"rosemarywind.example/rosemarywind/internal/telemetry"
)

// Names of the metrics. The reason of a refusal is appended to RefusedMetric.
const (
	StartedMetric     = "ledger.elections_started"
	WonMetric         = "ledger.elections_won"
	FailedMetric      = "ledger.elections_failed"
	GrantedMetric     = "ledger.votes_granted"
	RefusedMetric     = "ledger.votes_refused."
	WithoutVoteMetric = "ledger.without_vote_s"
	ProbesMetric      = "ledger.probes_unanswered"
	LeadsMetric       = "ledger.leads"
	VotersMetric      = "ledger.voters"
	SilentMetric      = "ledger.silent_voters"
	SpareMetric       = "ledger.spare_members"
	ToleratedMetric   = "ledger.faults_tolerated"
)

// metrics holds the counters and gauges of a ledger node.
type metrics struct {
	started         gometrics.Counter
	won             gometrics.Counter
	failed          gometrics.Counter
	answers         map[ledger.VoteReason]gometrics.Counter // votes and pre-votes that this host granted or refused
	withoutVote     gometrics.Gauge                         // seconds for which this host has had no vote
	unansweredProbe gometrics.Gauge
	leads           gometrics.Gauge
	voters          gometrics.Gauge // this and the following are 0 on a host that does not lead
	silent          gometrics.Gauge
	spare           gometrics.Gauge
	tolerated       gometrics.Gauge
}

func newMetrics(r *telemetry.Registry) metrics {
	m := metrics{
		started: r.Counter(StartedMetric), won: r.Counter(WonMetric), failed: r.Counter(FailedMetric),
		answers:     map[ledger.VoteReason]gometrics.Counter{},
		withoutVote: r.Gauge(WithoutVoteMetric), unansweredProbe: r.Gauge(ProbesMetric),
		leads: r.Gauge(LeadsMetric), voters: r.Gauge(VotersMetric), silent: r.Gauge(SilentMetric),
		spare: r.Gauge(SpareMetric), tolerated: r.Gauge(ToleratedMetric),
	}
	for _, reason := range ledger.VoteReasons() {
		name := RefusedMetric + string(reason)
		if reason == ledger.VoteGranted {
			name = GrantedMetric
		}
		m.answers[reason] = r.Counter(name)
	}
	return m
}

// countElections adds what happened between two records of the same node.
func (m metrics) countElections(before, after ledger.Elections) {
	if before.Version() == after.Version() {
		return
	}
	m.started.Inc(int64(after.Started() - before.Started()))
	m.won.Inc(int64(after.Won() - before.Won()))
	m.failed.Inc(int64(after.Failed() - before.Failed()))
	for reason, c := range m.answers {
		c.Inc(int64(after.Answers(reason) - before.Answers(reason)))
	}
}

// setJoining sets how long this host has had no vote, and how many addresses have not replied to its probes.
func (m metrics) setJoining(withoutVote time.Duration, unanswered int) {
	m.withoutVote.Update(int64(withoutVote / time.Second))
	m.unansweredProbe.Update(int64(unanswered))
}

// setQuorum sets what the leader knows of the voters.
func (m metrics) setQuorum(s driver.Status) {
	leads := int64(0)
	if s.Leading() {
		leads = 1
	}
	q := s.Quorum()
	m.leads.Update(leads)
	m.voters.Update(int64(q.Voters()))
	m.silent.Update(int64(len(q.Silent())))
	m.spare.Update(int64(len(q.Spares())))
	m.tolerated.Update(int64(q.Tolerated()))
}
