package placement

import (
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// reserve reserves capacity for a unit on the set of workers that is expected to hold it first, so that later units do
// not occupy it beyond that time. It reports whether any set can hold the unit.
func (p *planner) reserve(u *unit, sets [][]*workerState) bool {
	var best []*workerState
	var from time.Time
	for _, set := range sets {
		at, ok := p.earliestFit(u, set, declaredEnds)
		if ok && (best == nil || at.Before(from)) {
			best, from = set, at
		}
	}
	if best == nil {
		return false
	}
	left := len(u.indexes)
	for _, w := range best {
		n := min(u.maxTasks(p.availableAt(w, from, declaredEnds)), left)
		left -= n
		if n > 0 {
			needs := u.step.Reserved()
			for range n - 1 {
				needs = needs.Plus(u.step.Reserved())
			}
			w.reservations = append(w.reservations, reservation{from: from, needs: needs, noBackfill: u.queue.Priority() == 0})
		}
	}
	return true
}

// endSource selects the runs whose expected ends are relied on.
type endSource string

const (
	// declaredEnds includes all runs, also those whose end is derived from a declared duration.
	declaredEnds endSource = "declared"
	// observedEnds includes only runs whose end is derived from their progress, and stopping ones.
	observedEnds endSource = "shown"
)

func (src endSource) includes(r *placedRun) bool {
	return src == declaredEnds || r.observed || r.stopping
}

// earliestFit returns the earliest time at which a set of workers is expected to hold all tasks of the unit.
func (p *planner) earliestFit(u *unit, set []*workerState, src endSource) (at time.Time, ok bool) {
	times := []time.Time{p.view.now}
	for _, w := range set {
		for _, r := range w.runs {
			if src.includes(r) {
				times = append(times, r.ends)
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	for _, at = range times {
		fitting := 0
		for _, w := range set {
			fitting += u.maxTasks(p.availableAt(w, at, src))
		}
		if fitting >= len(u.indexes) {
			return at, true
		}
	}
	return at, false
}

// availableAt returns the resources of a worker that are expected to be free at a time, less the reserved ones.
func (p *planner) availableAt(w *workerState, at time.Time, src endSource) batch.Resources {
	free := w.free.Plus(releasedUntil(w, at, src))
	for _, rv := range w.reservations {
		free = free.Minus(rv.needs)
	}
	return free
}
