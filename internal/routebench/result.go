package routebench

import (
	"fmt"
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/job"
)

// end is what became of a request.
type end string

const (
	served    end = "served"
	failed    end = "failed"
	queueFull end = "queue full"
	waited    end = "no slot in time"
	shed      end = "shed"
	agentFull end = "no slot at the agent"
)

// Result is what was measured in one run.
type Result struct {
	scenario          Scenario
	policy            Policy
	offered, answered [len(shares)]int
	times             map[job.Urgency][]time.Duration
	ends              map[job.Urgency]map[end]int
	late              []time.Duration
	retries, herding  int
}

func newResult(s Scenario, p Policy) *Result {
	ends := map[job.Urgency]map[end]int{job.Urgent: {}, job.Patient: {}}
	return &Result{scenario: s, policy: p, times: map[job.Urgency][]time.Duration{}, ends: ends}
}

func (r *Result) end(c *call, now time.Duration, e end) {
	r.ends[c.urgency][e]++
	switch e {
	case served:
		r.answered[c.workspace]++
		r.times[c.urgency] = append(r.times[c.urgency], now-c.at)
	case failed:
	case queueFull, waited, shed, agentFull:
		r.late = append(r.late, now-c.at)
	}
}

// Header names the columns of Row. Times run from arrival, in ms. Refusals are counted as: queue full, no slot in time,
// shed, no slot at the agent. Beyond slots is the most that was on its way to or at one endpoint. The last column is
// the lowest and the highest share of its requests that a workspace got an answer to.
const Header = "scenario\tpolicy\turgent p50/p95/p99\tpatient p50/p95/p99\turgent refused\tpatient refused\t" +
	"refused after p50/p99\tfailed %\tretries\tbeyond slots\tanswered %"

// Row returns the figures as columns that are separated by tabs.
func (r *Result) Row() string {
	total, lowest, highest := 0, 1.0, 0.0
	for i, n := range r.offered {
		share := float64(r.answered[i]) / float64(max(1, n))
		total, lowest, highest = total+n, min(lowest, share), max(highest, share)
	}
	bad := float64(r.ends[job.Urgent][failed]+r.ends[job.Patient][failed]) / float64(max(1, total))
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.1f\t%d\t%d\t%.1f/%.1f", r.scenario.name, r.policy.name,
		quantiles(r.times[job.Urgent], 0.5, 0.95, 0.99), quantiles(r.times[job.Patient], 0.5, 0.95, 0.99),
		r.refused(job.Urgent), r.refused(job.Patient), quantiles(r.late, 0.5, 0.99),
		bad*100, r.retries, r.herding, lowest*100, highest*100)
}

func (r *Result) refused(u job.Urgency) string {
	n := r.ends[u]
	return fmt.Sprintf("%d/%d/%d/%d", n[queueFull], n[waited], n[shed], n[agentFull])
}

func quantiles(list []time.Duration, shares ...float64) (text string) {
	slices.Sort(list)
	for i, q := range shares {
		if i > 0 {
			text += "/"
		}
		if len(list) == 0 {
			text += "-"
			continue
		}
		text += fmt.Sprint(list[int(q*float64(len(list)-1))].Milliseconds())
	}
	return text
}
