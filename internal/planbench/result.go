package planbench

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/plan"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// Class groups jobs for completion times.
type Class string

// The classes; a gang has more than one member.
const (
	Urgent  Class = "urgent"
	Patient Class = "patient"
	Gang    Class = "gang"
)

// Result is what was measured in one run.
type Result struct {
	scenario   string
	policy     plan.Policy
	wanted     workspace.Shape
	times      map[Class][]time.Duration
	unusable   float64
	observed   float64
	lost       float64
	useful     float64
	gangWait   time.Duration
	gangAhead  time.Duration
	violations int
	ended      int
	rejected   int
}

func newResult(s Scenario, policy plan.Policy) *Result {
	r := &Result{scenario: s.name, policy: policy, times: map[Class][]time.Duration{}}
	for _, a := range s.arrivals {
		if x := a.spec.Shape(); x.Total() > r.wanted.Total() && x.Accelerators() <= perWorker {
			r.wanted = x
		}
	}
	return r
}

func classOf(s job.Spec) Class {
	switch {
	case s.Shape().Members() > 1:
		return Gang
	case s.Urgency() == job.Urgent:
		return Urgent
	default:
		return Patient
	}
}

func (r *Result) done(t *task) {
	c := classOf(t.spec)
	r.times[c] = append(r.times[c], t.doneAt-t.at)
	if t.doneAt <= day {
		r.useful += t.runs.Seconds() * float64(t.spec.Shape().Total())
	}
}

// elapse adds a span to the average share of free accelerators that the largest wanted shape cannot use.
// Spans in which fewer are free than the shape has are left out: no packing could make them usable.
func (r *Result) elapse(x *run, span time.Duration) {
	free := map[string]int{}
	for _, w := range x.scenario.workers {
		if !slices.Contains(x.down, w.Name()) {
			free[w.Name()] = w.Accelerators()
		}
	}
	for _, t := range x.live {
		for _, m := range t.job.Members() {
			if free[m.Worker()] > 0 {
				free[m.Worker()] -= m.Accelerators()
			}
		}
	}
	total, slots := 0, map[string]int{}
	for _, w := range x.scenario.workers {
		total += free[w.Name()]
		domain := map[workspace.Adjacency]string{
			workspace.SameWorker: w.Name(), workspace.SameRack: string(w.Rack()), workspace.SameZone: string(w.AvailabilityZone()),
		}[r.wanted.Adjacency()]
		slots[domain] += free[w.Name()] / r.wanted.Accelerators()
	}
	if total < r.wanted.Total() || x.now > day {
		return
	}
	usable := 0
	for _, n := range slots {
		usable += n / r.wanted.Members() * r.wanted.Total()
	}
	r.unusable += span.Seconds() * (1 - float64(usable)/float64(total))
	r.observed += span.Seconds()
}

func (r *Result) finish(x *run) {
	for _, t := range x.tasks {
		if t.placedAt == 0 {
			continue
		}
		wait := t.placedAt - t.at
		if t.spec.Shape() == r.wanted && wait > r.gangWait {
			r.gangWait, r.gangAhead = wait, t.ahead
		}
		if t.guaranteed && wait > reclaimBound && x.down == nil {
			r.violations++
		}
	}
	for _, all := range r.times {
		slices.Sort(all)
	}
}

// Percentile returns the completion time of a class at the given share.
func (r *Result) Percentile(c Class, share float64) time.Duration {
	all := r.times[c]
	if len(all) == 0 {
		return 0
	}
	return all[min(len(all)-1, int(share*float64(len(all))))]
}

// Fragmentation returns the share of free accelerators that the largest wanted shape cannot use, averaged over time.
func (r *Result) Fragmentation() float64 {
	if r.observed == 0 {
		return 0
	}
	return r.unusable / r.observed
}

// Throughput returns the accelerator-hours of the jobs that were complete at the end of the day.
func (r *Result) Throughput() float64 { return r.useful / time.Hour.Seconds() }

// Violations returns how often a job within its workspace's idle guarantee waited longer than a reclaim takes.
func (r *Result) Violations() int { return r.violations }

// WriteTable writes one line for each result.
func WriteTable(w io.Writer, results []*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "scenario\tpolicy\turgent p50/p95/p99\tpatient p50/p95/p99\tgang p50/p95/p99\tfragm.\tgang wait\tof run ahead\tlost acc-s\tended\trejected\tacc-h\tviolations")
	for _, r := range results {
		ahead := 0.0
		if r.gangAhead > 0 {
			ahead = r.gangWait.Seconds() / r.gangAhead.Seconds()
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%.3f\t%s\t%.2f\t%.0f\t%d\t%d\t%.0f\t%d\n", r.scenario, r.policy,
			r.line(Urgent), r.line(Patient), r.line(Gang), r.Fragmentation(), short(r.gangWait), ahead,
			r.lost, r.ended, r.rejected, r.Throughput(), r.violations)
	}
	return t.Flush()
}

func (r *Result) line(c Class) string {
	return short(r.Percentile(c, 0.5)) + "/" + short(r.Percentile(c, 0.95)) + "/" + short(r.Percentile(c, 0.99))
}

func short(d time.Duration) string {
	if d < 10*time.Minute {
		return fmt.Sprintf("%.0fs", d.Seconds())
	}
	return fmt.Sprintf("%.0fm", d.Minutes())
}
