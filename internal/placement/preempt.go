package placement

import (
	"cmp"
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// shortWait is how long an urgent unit rather waits for a run to end than has one stopped.
const shortWait = 600 * time.Millisecond

// preempt stops runs so that an urgent unit fits into one of the sets; it returns that set, or nil if the unit will not
// fit soon. A unit within its workspace's guarantee may stop anything that is not within one; another unit may only stop
// less urgent runs, and throw away no more work than the budget.
func (p *planner) preempt(u *unit, sets [][]*place, budget float64) (chosen []*place) {
	if !u.sure {
		for _, set := range sets {
			if p.worthWaiting(u, set) {
				return set
			}
		}
	}
	var best []*holding
	var bestSet []*place
	bestLoss := 0.0
	for _, set := range sets {
		victims, ok := p.victims(u, set)
		if !ok {
			continue
		}
		loss := p.loss(victims)
		if !u.sure && loss > budget {
			continue
		}
		if bestSet == nil || loss < bestLoss {
			best, bestSet, bestLoss = victims, set, loss
		}
	}
	for _, h := range best {
		if !p.stopped[h.id] {
			p.stopped[h.id] = true
			p.plan.stops = append(p.plan.stops, h.id)
		}
		h.ends = p.view.now.Add(stopAllowance)
		h.stopping = true
	}
	return bestSet
}

// startMargin is how much of its slack a unit keeps that waits for runs to end.
const startMargin = 400 * time.Millisecond

// worthWaiting reports whether a set has room for the unit soon, or in time by ends that its runs have shown.
func (p *planner) worthWaiting(u *unit, set []*place) bool {
	if at, ok := p.earliest(u, set, declared); ok && at.Sub(p.view.now) <= shortWait {
		return true
	}
	at, ok := p.earliest(u, set, shown)
	return ok && at.Sub(p.view.now) <= u.slack-startMargin
}

// worthStopping is how much work, for each core-second of its own, an urgent unit may have others throw away.
const worthStopping = 2.0

// work returns the core-seconds that the unit is expected to take.
func (u *unit) work() float64 {
	return u.step.Resources().CoreEquivalents() * u.length.Seconds() * float64(len(u.indexes))
}

// victims returns the cheapest runs, found one after the other, whose end makes room for the unit.
func (p *planner) victims(u *unit, set []*place) (victims []*holding, ok bool) {
	free := map[*place]batch.Resources{}
	var candidates []*holding
	for _, e := range set {
		free[e] = e.free.Plus(stopped(e))
		for _, b := range e.booked {
			free[e] = free[e].Minus(b.needs)
		}
		for _, h := range e.holdings {
			if p.mayStop(u, h) {
				candidates = append(candidates, h)
			}
		}
	}
	slices.SortStableFunc(candidates, func(a, b *holding) int {
		return cmp.Or(cmp.Compare(p.price(a), p.price(b)), cmp.Compare(a.id.Task().String(), b.id.Task().String()))
	})
	room := func() (n int) {
		for _, e := range set {
			n += u.most(free[e])
		}
		return n
	}
	for _, h := range candidates {
		if room() >= len(u.indexes) {
			break
		}
		if !p.mayMiss(h, victims) {
			continue
		}
		free[h.place] = free[h.place].Plus(h.step.Reserved())
		victims = append(victims, h)
	}
	if room() < len(u.indexes) {
		return nil, false
	}
	return p.prune(u, set, free, victims), true
}

// stopped returns what a worker gets back from the runs that were told to stop.
func stopped(e *place) (sum batch.Resources) {
	for _, h := range e.holdings {
		if h.stopping {
			sum = sum.Plus(h.step.Reserved())
		}
	}
	return sum
}

// prune drops victims that are not needed, the dearest first.
func (p *planner) prune(u *unit, set []*place, free map[*place]batch.Resources, victims []*holding) (kept []*holding) {
	for i := len(victims) - 1; i >= 0; i-- {
		h := victims[i]
		free[h.place] = free[h.place].Minus(h.step.Reserved())
		room := 0
		for _, e := range set {
			room += u.most(free[e])
		}
		if room < len(u.indexes) {
			free[h.place] = free[h.place].Plus(h.step.Reserved())
			kept = append(kept, h)
		}
	}
	return kept
}

func (p *planner) mayStop(u *unit, h *holding) bool {
	if h.stopping || h.sure || h.id.Run() == 0 {
		return false
	}
	if h.step.LongRunning() {
		return u.sure
	}
	// Declared times are often wrong, so a guarantee does not wait for a run that seems about to end.
	if u.sure {
		return true
	}
	urgent := p.view.state.CurrentQueue(h.job).Priority() == 0
	return !urgent && u.slack >= 0 && h.ends.After(p.view.now.Add(shortWait))
}

// price returns the work that stopping a run throws away, for each accelerator that it frees.
func (p *planner) price(h *holding) float64 {
	return p.thrownAway(h) / float64(1+h.step.Reserved().Accelerators())
}

// checkpointLoss is the work that a run loses which resumes from a checkpoint.
const checkpointLoss = time.Second

func (p *planner) thrownAway(h *holding) float64 {
	lost := p.view.now.Sub(h.since)
	if h.step.Checkpoints() {
		lost = min(lost, checkpointLoss)
	}
	members := 1
	if h.step.Gang() {
		members = h.step.Count()
	}
	// Each earlier run makes it dearer, so that no job is stopped again and again.
	work := lost.Seconds() * h.step.Resources().CoreEquivalents() * float64(members*h.id.Run())
	if p.lateIfStopped(h) {
		work += p.view.length(h.job, h.id.Task().Step()).Seconds() * h.step.Resources().CoreEquivalents() * float64(members)
	}
	return work
}

// lateIfStopped reports whether the job of a run, which may still end in time, will not if the run is stopped.
func (p *planner) lateIfStopped(h *holding) bool {
	begin := h.job.Accepted()
	if due := h.job.Spec().Due(h.id.Task().Occurrence()); !due.IsZero() {
		begin = due
	}
	until := begin.Add(p.objective(h.job))
	left := p.needed(h.job, h.id.Task().Step())
	if h.step.Checkpoints() {
		left -= p.view.now.Sub(h.since)
	}
	inTime := !h.ends.After(until)
	return inTime && p.view.now.Add(max(left, 0)+restartDelay).After(until)
}

// restartDelay is about how long a run that was stopped waits until it runs again.
const restartDelay = 3 * time.Second

func (p *planner) loss(victims []*holding) (sum float64) {
	counted := map[batch.TaskID]bool{}
	for _, h := range victims {
		if h.step.Gang() && counted[h.id.Task().StepKey()] {
			continue
		}
		counted[h.id.Task().StepKey()] = h.step.Gang()
		sum += p.thrownAway(h)
	}
	return sum
}
