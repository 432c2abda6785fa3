package planbench

import (
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/fleet"
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
	scenario string
	policy   plan.Policy
	wanted   workspace.Shape
	largest  int
	times    map[Class][]time.Duration
	unusable float64
	observed float64
	// unusableQueued is the sum for the largest queued shape, nothing while none is queued.
	unusableQueued float64
	lost           float64
	useful         float64
	gangWait       time.Duration
	gangAhead      time.Duration
	violations     int
	ended          int
	rejected       int
}

func newResult(s Scenario, policy plan.Policy) *Result {
	r := &Result{scenario: s.name, policy: policy, times: map[Class][]time.Duration{}}
	for _, w := range s.workers {
		r.largest = max(r.largest, w.Accelerators())
	}
	for _, a := range s.arrivals {
		if x := a.spec.Shape(); x.Total() > r.wanted.Total() && x.Accelerators() <= r.largest {
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
	if t.doneAt <= Day {
		r.useful += t.runs.Seconds() * float64(t.spec.Shape().Total())
	}
}

// elapse adds a span to the averages of fragmentation, until the end of the day.
func (r *Result) elapse(x *run, span time.Duration) {
	if x.now > Day {
		return
	}
	free := map[string]int{}
	for _, w := range x.scenario.workers {
		if !slices.Contains(x.down, w.Name()) {
			free[w.Name()] = w.Accelerators()
		}
	}
	var queued workspace.Shape
	for _, t := range x.live {
		if s := t.spec.Shape(); t.job.State() == job.Queued && s.Total() > queued.Total() && s.Accelerators() <= r.largest {
			queued = s
		}
		for _, m := range t.job.Members() {
			if free[m.Worker()] > 0 {
				free[m.Worker()] -= m.Accelerators()
			}
		}
	}
	if share, ok := unusable(x.scenario.workers, free, r.wanted); ok {
		r.unusable += span.Seconds() * share
		r.observed += span.Seconds()
	}
	if share, ok := unusable(x.scenario.workers, free, queued); ok && queued.Total() > 0 {
		r.unusableQueued += span.Seconds() * share
	}
}

// unusable returns the share of free accelerators that copies of the shape cannot take; ok is false
// when fewer are free than the shape has, because no packing could make them usable.
func unusable(workers []fleet.Worker, free map[string]int, s workspace.Shape) (share float64, ok bool) {
	total, slots := 0, map[string]int{}
	for _, w := range workers {
		total += free[w.Name()]
		domain := map[workspace.Adjacency]string{
			workspace.SameWorker: w.Name(), workspace.SameRack: string(w.Rack()), workspace.SameZone: string(w.AvailabilityZone()),
		}[s.Adjacency()]
		slots[domain] += free[w.Name()] / max(1, s.Accelerators())
	}
	if total == 0 || total < s.Total() {
		return 0, false
	}
	usable := 0
	for _, n := range slots {
		usable += n / max(1, s.Members()) * s.Total()
	}
	return 1 - float64(usable)/float64(total), true
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

// QueuedFragmentation returns the share of free accelerators that the largest queued shape cannot use,
// averaged over the day; it is 0 while nothing is queued.
func (r *Result) QueuedFragmentation() float64 { return r.unusableQueued / Day.Seconds() }

// Throughput returns the accelerator-hours of the jobs that were complete at the end of the day.
func (r *Result) Throughput() float64 { return r.useful / time.Hour.Seconds() }

// Scenario returns the name of the scenario.
func (r *Result) Scenario() string { return r.scenario }

// Policy returns the policy that was measured.
func (r *Result) Policy() plan.Policy { return r.policy }

// GangWait returns the longest wait of a job of the largest wanted shape.
func (r *Result) GangWait() time.Duration { return r.gangWait }

// GangWaitShare returns that wait over the longest run time ahead of the job.
func (r *Result) GangWaitShare() float64 { return r.gangWait.Seconds() / max(1, r.gangAhead.Seconds()) }

// LostWork returns the accelerator-seconds of work that stops lost.
func (r *Result) LostWork() float64 { return r.lost }

// Ended returns the number of jobs that a stop ended for good.
func (r *Result) Ended() int { return r.ended }

// Rejected returns the number of jobs that could never run.
func (r *Result) Rejected() int { return r.rejected }

// Violations returns how often a job within its workspace's idle guarantee waited longer than a reclaim takes.
func (r *Result) Violations() int { return r.violations }
