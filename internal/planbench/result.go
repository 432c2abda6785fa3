package planbench

import (
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/plan"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// Class is a group of jobs for which completion times are measured together.
type Class string

// The classes. A job with more than one member is a Gang, whatever its urgency.
const (
	Urgent  Class = "urgent"
	Patient Class = "patient"
	Gang    Class = "gang"
)

// Result holds the measurements of one run.
type Result struct {
	scenario        string
	policy          plan.Policy
	largestShape    workspace.Shape
	largestWorker   int
	completionTimes map[Class][]time.Duration
	// unusableSeconds is the unusable share of the free accelerators for largestShape, integrated over
	// observedSeconds.
	unusableSeconds float64
	observedSeconds float64
	// unusableQueuedSeconds is like unusableSeconds for the largest queued shape; nothing is added while no job is
	// queued.
	unusableQueuedSeconds float64
	lostWork              float64
	completedWork         float64
	gangWait              time.Duration
	gangAhead             time.Duration
	violations            int
	ended                 int
	rejected              int
}

// newResult returns an empty result. Its largest shape is the largest of all arrivals whose members fit on a worker.
func newResult(s Scenario, policy plan.Policy) *Result {
	r := &Result{scenario: s.name, policy: policy, completionTimes: map[Class][]time.Duration{}}
	for _, w := range s.workers {
		r.largestWorker = max(r.largestWorker, w.Accelerators())
	}
	for _, a := range s.arrivals {
		if x := a.spec.Shape(); x.Total() > r.largestShape.Total() && x.Accelerators() <= r.largestWorker {
			r.largestShape = x
		}
	}
	return r
}

// classOf returns the class that the job is measured in.
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

// addCompleted records the completion time of a job, and its work if it completed within the day.
func (r *Result) addCompleted(t *task) {
	c := classOf(t.spec)
	r.completionTimes[c] = append(r.completionTimes[c], t.doneAt-t.at)
	if t.doneAt <= Day {
		r.completedWork += t.runTime.Seconds() * float64(t.spec.Shape().Total())
	}
}

// addInterval adds an interval to the averages of fragmentation, unless the day has ended.
func (r *Result) addInterval(x *run, span time.Duration) {
	if x.now > Day {
		return
	}
	free := map[string]int{}
	for _, w := range x.scenario.workers {
		if !slices.Contains(x.lostWorkers, w.Name()) {
			free[w.Name()] = w.Accelerators()
		}
	}
	var queued workspace.Shape
	for _, t := range x.active {
		if s := t.spec.Shape(); t.job.State() == job.Queued && s.Total() > queued.Total() && s.Accelerators() <= r.largestWorker {
			queued = s
		}
		for _, m := range t.job.Members() {
			if free[m.Worker()] > 0 {
				free[m.Worker()] -= m.Accelerators()
			}
		}
	}
	if share, ok := unusableShare(x.scenario.workers, free, r.largestShape); ok {
		r.unusableSeconds += span.Seconds() * share
		r.observedSeconds += span.Seconds()
	}
	if share, ok := unusableShare(x.scenario.workers, free, queued); ok && queued.Total() > 0 {
		r.unusableQueuedSeconds += span.Seconds() * share
	}
}

// unusableShare returns the share of free accelerators that copies of the shape cannot use. It reports false if
// fewer accelerators are free than the shape has, because no packing can make them usable.
func unusableShare(workers []fleet.Worker, free map[string]int, s workspace.Shape) (share float64, ok bool) {
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

// summarize computes the waits and violations of a run that has ended, and sorts the completion times.
func (r *Result) summarize(x *run) {
	for _, t := range x.tasks {
		if t.placedAt == 0 {
			continue
		}
		wait := t.placedAt - t.at
		if t.spec.Shape() == r.largestShape && wait > r.gangWait {
			r.gangWait, r.gangAhead = wait, t.longestAhead
		}
		if t.guaranteed && wait > maxReclaimWait && x.lostWorkers == nil {
			r.violations++
		}
	}
	for _, all := range r.completionTimes {
		slices.Sort(all)
	}
}

// Percentile returns the completion time below which the given share of the class lies, 0 if the class is empty.
func (r *Result) Percentile(c Class, share float64) time.Duration {
	all := r.completionTimes[c]
	if len(all) == 0 {
		return 0
	}
	return all[min(len(all)-1, int(share*float64(len(all))))]
}

// Fragmentation returns the share of free accelerators, averaged over time, that the largest shape of the scenario
// cannot use. Times with fewer free accelerators than the shape has are left out.
func (r *Result) Fragmentation() float64 {
	if r.observedSeconds == 0 {
		return 0
	}
	return r.unusableSeconds / r.observedSeconds
}

// QueuedFragmentation returns the share of free accelerators that the largest queued shape cannot use, averaged over
// the day. Times without a queued job count as 0.
func (r *Result) QueuedFragmentation() float64 { return r.unusableQueuedSeconds / Day.Seconds() }

// Throughput returns the accelerator-hours of the jobs that completed within the day.
func (r *Result) Throughput() float64 { return r.completedWork / time.Hour.Seconds() }

// Scenario returns the name of the scenario that was run.
func (r *Result) Scenario() string { return r.scenario }

// Policy returns the policy that the planner used.
func (r *Result) Policy() plan.Policy { return r.policy }

// GangWait returns the longest time that a job of the largest shape was queued.
func (r *Result) GangWait() time.Duration { return r.gangWait }

// GangWaitShare returns GangWait divided by the longest run time of a job that had arrived before and not ended.
func (r *Result) GangWaitShare() float64 { return r.gangWait.Seconds() / max(1, r.gangAhead.Seconds()) }

// LostWork returns the accelerator-seconds of work that stops lost.
func (r *Result) LostWork() float64 { return r.lostWork }

// Ended returns the number of jobs that a stop ended for good, because they could not run again.
func (r *Result) Ended() int { return r.ended }

// Rejected returns the number of jobs that did not fit on the idle fleet.
func (r *Result) Rejected() int { return r.rejected }

// Violations returns the number of guaranteed jobs, in workspaces without other jobs, that were queued for longer
// than a reclaim takes.
func (r *Result) Violations() int { return r.violations }
