package placement

import (
	"maps"
	"slices"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// singletonSets returns a set of one for each worker.
func singletonSets(workers []*workerState) (sets [][]*workerState) {
	for _, w := range workers {
		sets = append(sets, []*workerState{w})
	}
	return sets
}

// candidateSets returns the sets of workers on any one of which a gang may be placed: each rack that is large enough
// for a tightly coupled gang, or all eligible workers for another gang or if no rack is large enough.
func (p *planner) candidateSets(u *unit) (sets [][]*workerState) {
	eligible := p.eligible(u)
	if !u.step.TightlyCoupled() {
		return [][]*workerState{eligible}
	}
	racks := map[string][]*workerState{}
	for _, w := range eligible {
		racks[w.rack] = append(racks[w.rack], w)
	}
	for _, name := range slices.Sorted(maps.Keys(racks)) {
		if p.couldRun(u, racks[name]) {
			sets = append(sets, racks[name])
		}
	}
	if len(sets) == 0 {
		return [][]*workerState{eligible}
	}
	return sets
}

// eligible returns the workers that may run the unit's tasks: those in the rack of its data if they could run it,
// otherwise all. A unit that waits for nothing is limited to that rack only if it fits there now, and may also run on
// workers in quarantine: the tasks may be what failed there.
func (p *planner) eligible(u *unit) (list []*workerState) {
	var near []*workerState
	for _, w := range p.workers {
		if !p.matches(u, w) || !p.approved(u, w) {
			continue
		}
		list = append(list, w)
		if u.step.Rack() == w.rack {
			near = append(near, w)
		}
	}
	start := u.smallestStart()
	if u.step.Rack() != "" && p.couldRun(start, near) && (u.waitPolicy != waitForNothing || p.fitsNow(start, near)) {
		return near
	}
	if u.waitPolicy == waitForNothing {
		for _, w := range p.quarantined {
			if p.matches(u, w) && p.approved(u, w) {
				list = append(list, w)
			}
		}
	}
	return list
}

// fitsNow reports whether the free capacity of a set of workers holds the unit.
func (p *planner) fitsNow(u *unit, set []*workerState) bool {
	fitting := 0
	for _, w := range set {
		fitting += u.maxTasks(w.free)
	}
	return fitting >= len(u.indexes)
}

// matches reports whether a worker belongs to the unit's service and has the label that the step requires, if any.
func (p *planner) matches(u *unit, w *workerState) bool {
	return w.service == u.queue.Service() && (u.step.Label() == "" || slices.Contains(w.labels, u.step.Label()))
}

// couldRun reports whether a set of workers could run all tasks of the unit at once if it ran nothing else.
func (p *planner) couldRun(u *unit, set []*workerState) bool {
	fitting := 0
	for _, w := range set {
		fitting += u.maxTasks(w.capacity)
		if fitting >= len(u.indexes) {
			return true
		}
	}
	return false
}

// maxTasks returns how many tasks of the unit fit into a worker's free resources, within the step's limit per worker.
func (u *unit) maxTasks(free batch.Resources) int {
	count := free.Holds(u.step.Reserved(), len(u.indexes))
	if m := u.step.MaxPerWorker(); m > 0 {
		count = min(count, m)
	}
	return count
}

// bestWorker returns the preferred worker of a set for one more task of a step, or nil if none fits.
func (p *planner) bestWorker(u *unit, as *assignment, set []*workerState) (best *workerState) {
	for _, w := range set {
		if !p.fits(u, as, w, w.free) {
			continue
		}
		if best == nil || p.better(u, w, best) {
			best = w
		}
	}
	return best
}

// better reports whether worker a suits a task of the unit better than b: not in quarantine, then not one that the unit
// avoids, then with fewer runs to lose if the unit is under suspicion, then of a speed that suits it, then in the fuller rack,
// then with less free capacity.
func (p *planner) better(u *unit, a, b *workerState) bool {
	if a.quarantined != b.quarantined {
		return b.quarantined
	}
	if x, y := u.avoids(a), u.avoids(b); x != y {
		return y
	}
	if u.suspicion.any() && len(a.runs) != len(b.runs) {
		return len(a.runs) < len(b.runs)
	}
	if d := p.compareSpeed(u, a, b); d != 0 {
		return d < 0
	}
	if x, y := p.rackFree(a.rack), p.rackFree(b.rack); x != y {
		return x < y
	}
	if u.step.Reserved().Accelerators() > 0 && a.free.Accelerators() != b.free.Accelerators() {
		return a.free.Accelerators() < b.free.Accelerators()
	}
	return a.free.Millicores() < b.free.Millicores()
}

// fits reports whether one more task fits into the given free resources of a worker, within the step's limit per worker
// and beside reservations.
func (p *planner) fits(u *unit, as *assignment, w *workerState, free batch.Resources) bool {
	needs := u.step.Reserved()
	if !needs.Fits(free) || !p.isolated(u, w) {
		return false
	}
	if m := u.step.MaxPerWorker(); m > 0 && as.counts[w]+p.countPlaced(u, w) >= m {
		return false
	}
	if u.waitPolicy != waitForAll {
		return true
	}
	return p.leavesReserved(u, w, free)
}

// countPlaced returns the number of tasks of the unit's step that were placed on a worker before this unit: earlier, or
// by this decision for another unit of the step.
func (p *planner) countPlaced(u *unit, w *workerState) (count int) {
	for _, r := range w.runs {
		if r.unit != u && r.id.Task().StepKey() == u.key {
			count++
		}
	}
	return count
}
