package placement

import (
	"cmp"
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// endingSoon is the time within which an urgent unit outside a guarantee waits for runs to end instead of preempting.
const endingSoon = 600 * time.Millisecond

// preempt stops runs so that an urgent unit fits on one of the sets, the one with the least lost work. It returns that
// set, or a set that has free capacity in time without preemption, or nil if there is neither. A unit within its
// workspace's guarantee may preempt any run outside a guarantee. Another unit may preempt only less urgent runs, with
// at most budget core-seconds of lost work.
func (p *planner) preempt(u *unit, sets [][]*workerState, budget float64) (selected []*workerState) {
	if !u.guaranteed {
		for _, set := range sets {
			if p.worthWaiting(u, set) {
				return set
			}
		}
	}
	var best []*placedRun
	var bestSet []*workerState
	bestLoss := 0.0
	for _, set := range sets {
		selected, ok := p.selectRuns(u, set)
		if !ok {
			continue
		}
		loss := p.totalLostWork(selected)
		if !u.guaranteed && loss > budget {
			continue
		}
		if bestSet == nil || loss < bestLoss {
			best, bestSet, bestLoss = selected, set, loss
		}
	}
	for _, r := range best {
		if !p.stopped[r.id] {
			p.stopped[r.id] = true
			delete(p.unavailable, r.id.Task().StepKey())
			p.plan.stops = append(p.plan.stops, r.id)
		}
		r.ends = p.view.now.Add(stopAllowance)
		r.stopping = true
		r.worker.runsChanged()
	}
	return bestSet
}

// startMargin is the slack that a unit must still have when the runs that it waits for end.
const startMargin = 400 * time.Millisecond

// worthWaiting reports whether the unit will fit on a set without preemption: within endingSoon by the expected ends of
// all runs, or within its slack less startMargin by observed ends alone.
func (p *planner) worthWaiting(u *unit, set []*workerState) bool {
	if at, ok := p.earliestFit(u, set, declaredEnds); ok && at.Sub(p.view.now) <= endingSoon {
		return true
	}
	at, ok := p.earliestFit(u, set, observedEnds)
	return ok && at.Sub(p.view.now) <= u.slack-startMargin
}

// maxLostWorkRatio limits the work that an urgent unit may make other jobs lose, as a multiple of its own work.
const maxLostWorkRatio = 2.0

// work returns the expected work of the unit in core-seconds.
func (u *unit) work() float64 {
	return u.step.Resources().CoreEquivalents() * u.duration.Seconds() * float64(u.waiting)
}

// selectRuns returns runs of a set to preempt for the unit, picked greedily by least lost work for each accelerator; ok
// is false if the unit does not fit even so.
func (p *planner) selectRuns(u *unit, set []*workerState) (selected []*placedRun, ok bool) {
	free := map[*workerState]batch.Resources{}
	var candidates []*placedRun
	for _, w := range set {
		free[w] = w.free.Plus(releasedByStops(w))
		for _, rv := range w.reservations {
			free[w] = free[w].Minus(rv.needs)
		}
		for _, r := range w.runs {
			if p.mayStop(u, r) {
				candidates = append(candidates, r)
			}
		}
	}
	slices.SortStableFunc(candidates, func(a, b *placedRun) int {
		return cmp.Or(
			cmp.Compare(p.lossPerAccelerator(a), p.lossPerAccelerator(b)),
			cmp.Compare(a.id.Task().String(), b.id.Task().String()),
		)
	})
	fitting := func() (n int) {
		for _, w := range set {
			n += u.maxTasks(free[w])
		}
		return n
	}
	for _, r := range candidates {
		if fitting() >= len(u.indexes) {
			break
		}
		if !p.toleratesPreemption(r, selected) {
			continue
		}
		free[r.worker] = free[r.worker].Plus(r.step.Reserved())
		selected = append(selected, r)
	}
	if fitting() < len(u.indexes) {
		return nil, false
	}
	return p.prune(u, set, free, selected), true
}

// releasedByStops returns the resources of the runs of a worker that are stopping.
func releasedByStops(w *workerState) (sum batch.Resources) {
	for _, r := range w.runs {
		if r.stopping {
			sum = sum.Plus(r.step.Reserved())
		}
	}
	return sum
}

// prune removes runs that need not be preempted from a selection, the costliest first. It updates the free resources.
func (p *planner) prune(
	u *unit, set []*workerState, free map[*workerState]batch.Resources, selected []*placedRun,
) (kept []*placedRun) {
	for i := len(selected) - 1; i >= 0; i-- {
		r := selected[i]
		free[r.worker] = free[r.worker].Minus(r.step.Reserved())
		fitting := 0
		for _, w := range set {
			fitting += u.maxTasks(free[w])
		}
		if fitting < len(u.indexes) {
			free[r.worker] = free[r.worker].Plus(r.step.Reserved())
			kept = append(kept, r)
		}
	}
	return kept
}

// mayStop reports whether a run may be preempted for the unit. Only a guaranteed unit may preempt long-running tasks.
func (p *planner) mayStop(u *unit, r *placedRun) bool {
	if r.stopping || r.guaranteed || r.id.Run() == 0 {
		return false
	}
	if r.step.LongRunning() {
		return u.guaranteed
	}
	// Declared durations are often wrong, so a guaranteed unit does not wait for a run that seems about to end.
	if u.guaranteed {
		return true
	}
	urgent := p.view.state.CurrentQueue(r.job).Priority() == 0
	return !urgent && u.slack >= 0 && r.ends.After(p.view.now.Add(endingSoon))
}

// lossPerAccelerator returns the work lost by preempting a run, divided by one more than the accelerators that it
// frees.
func (p *planner) lossPerAccelerator(r *placedRun) float64 {
	return p.lostWork(r) / float64(1+r.step.Reserved().Accelerators())
}

// checkpointLoss is the most running time that a run with checkpoints loses when it is preempted.
const checkpointLoss = time.Second

// lostWork returns the cost of preempting a run in core-seconds: the work that its tasks lose, and their whole work
// once more if that makes the job late.
func (p *planner) lostWork(r *placedRun) float64 {
	lost := p.view.now.Sub(r.started)
	if r.step.Checkpoints() {
		lost = min(lost, checkpointLoss)
	}
	members := 1
	if r.step.Gang() {
		members = r.step.Count()
	}
	// The cost grows with the number of runs, so that the same job is not preempted again and again.
	work := lost.Seconds() * r.step.Resources().CoreEquivalents() * float64(members*r.id.Run())
	if p.lateIfStopped(r) {
		work += p.view.taskDuration(r.job, r.id.Task().Step()).Seconds() * r.step.Resources().CoreEquivalents() * float64(members)
	}
	return work
}

// lateIfStopped reports whether preempting a run makes its job miss an objective that it can still meet.
func (p *planner) lateIfStopped(r *placedRun) bool {
	begin := r.job.Accepted()
	if due := r.job.Spec().Due(r.id.Task().Occurrence()); !due.IsZero() {
		begin = due
	}
	until := begin.Add(p.objective(r.job))
	left := p.remainingTimes(r.job)[r.id.Task().Step()]
	if r.step.Checkpoints() {
		left -= p.view.now.Sub(r.started)
	}
	inTime := !r.ends.After(until)
	return inTime && p.view.now.Add(max(left, 0)+restartDelay).After(until)
}

// restartDelay is the assumed time from the preemption of a run until its task runs again.
const restartDelay = 3 * time.Second

// totalLostWork returns the cost of preempting the selected runs in core-seconds; it counts each gang once.
func (p *planner) totalLostWork(selected []*placedRun) (sum float64) {
	counted := map[batch.TaskID]bool{}
	for _, r := range selected {
		if r.step.Gang() && counted[r.id.Task().StepKey()] {
			continue
		}
		counted[r.id.Task().StepKey()] = r.step.Gang()
		sum += p.lostWork(r)
	}
	return sum
}
