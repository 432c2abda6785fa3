package routebench

import (
	"fmt"
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/job"
)

// outcome is the way in which a request ended; the outcomes after failed are refusals.
type outcome string

const (
	served       outcome = "served"
	failed       outcome = "failed"
	queueFull    outcome = "queue full"
	queueTimeout outcome = "no slot in time"
	shed         outcome = "shed"
	agentFull    outcome = "no slot at the agent"
)

// Result holds the response times and the counts of one run.
type Result struct {
	scenario                Scenario
	policy                  Policy
	offered, answered       [len(workspaceShares)]int
	times                   map[job.Urgency][]time.Duration
	outcomes                map[job.Urgency]map[outcome]int
	refusalDelays           []time.Duration
	retries, maxBeyondSlots int
}

func newResult(s Scenario, p Policy) *Result {
	outcomes := map[job.Urgency]map[outcome]int{job.Urgent: {}, job.Patient: {}}
	return &Result{scenario: s, policy: p, times: map[job.Urgency][]time.Duration{}, outcomes: outcomes}
}

func (r *Result) record(q *request, now time.Duration, o outcome) {
	r.outcomes[q.urgency][o]++
	switch o {
	case served:
		r.answered[q.workspace]++
		r.times[q.urgency] = append(r.times[q.urgency], now-q.at)
	case failed:
	case queueFull, queueTimeout, shed, agentFull:
		r.refusalDelays = append(r.refusalDelays, now-q.at)
	}
}

// Header holds the names of the columns of Row, separated by tabs. Times are in ms since the arrival of the request.
// The counts of refusals are: queue full, no slot in time, shed, no slot at the agent. "Beyond slots" is the maximum
// number of requests beyond its slots that one endpoint had been sent and had not yet answered. The last column holds
// the lowest and the highest share of answered requests of a workspace.
const Header = "scenario\tpolicy\turgent p50/p95/p99\tpatient p50/p95/p99\turgent refused\tpatient refused\t" +
	"refused after p50/p99\tfailed %\tretries\tbeyond slots\tanswered %"

// Row returns the results as columns separated by tabs, in the order of Header.
func (r *Result) Row() string {
	total, lowest, highest := 0, 1.0, 0.0
	for i, n := range r.offered {
		share := float64(r.answered[i]) / float64(max(1, n))
		total, lowest, highest = total+n, min(lowest, share), max(highest, share)
	}
	failedShare := float64(r.outcomes[job.Urgent][failed]+r.outcomes[job.Patient][failed]) / float64(max(1, total))
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.1f\t%d\t%d\t%.1f/%.1f", r.scenario.name, r.policy.name,
		quantiles(r.times[job.Urgent], 0.5, 0.95, 0.99), quantiles(r.times[job.Patient], 0.5, 0.95, 0.99),
		r.refused(job.Urgent), r.refused(job.Patient), quantiles(r.refusalDelays, 0.5, 0.99),
		failedShare*100, r.retries, r.maxBeyondSlots, lowest*100, highest*100)
}

func (r *Result) refused(u job.Urgency) string {
	counts := r.outcomes[u]
	return fmt.Sprintf("%d/%d/%d/%d", counts[queueFull], counts[queueTimeout], counts[shed], counts[agentFull])
}

func quantiles(times []time.Duration, ranks ...float64) (text string) {
	slices.Sort(times)
	for i, q := range ranks {
		if i > 0 {
			text += "/"
		}
		if len(times) == 0 {
			text += "-"
			continue
		}
		text += fmt.Sprint(times[int(q*float64(len(times)-1))].Milliseconds())
	}
	return text
}
