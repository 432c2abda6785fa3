package placement

import (
	"slices"
	"sort"
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
	left, counts := len(u.indexes), map[*workerState]int{}
	if u.queue.Priority() == 0 {
		left -= p.reserveOn(u, best, from, left, counts, p.freeOrStopping)
	}
	p.reserveOn(u, best, from, left, counts, func(w *workerState) batch.Resources { return p.availableAt(w, from, declaredEnds) })
	return true
}

// reserveOn reserves capacity for up to limit tasks on the workers of a set, as much as available tells for each. It
// returns for how many, and adds them to the counts by worker, which the step's limit per worker bounds.
func (p *planner) reserveOn(
	u *unit, set []*workerState, from time.Time, limit int, counts map[*workerState]int, available func(*workerState) batch.Resources,
) (reserved int) {
	for _, w := range set {
		n := min(u.maxTasks(available(w)), limit-reserved)
		if m := u.step.MaxPerWorker(); m > 0 {
			n = min(n, m-counts[w])
		}
		if n <= 0 {
			continue
		}
		reserved += n
		counts[w] += n
		needs := u.step.Reserved().Times(n)
		w.reserve(reservation{from: from, needs: needs, noBackfill: u.queue.Priority() == 0})
	}
	return reserved
}

// freeOrStopping returns the resources of a worker that are free or held by stopping runs, less the reserved ones. An
// urgent unit reserves them first, so that its reservation stays where runs are stopped for it, whatever ends others
// declare.
func (p *planner) freeOrStopping(w *workerState) batch.Resources {
	return w.free.Plus(releasedByStops(w)).Minus(w.reserved)
}

// awaitsStops reports whether a run stops on a worker of a set.
func awaitsStops(set []*workerState) bool {
	for _, w := range set {
		if slices.ContainsFunc(w.runs, func(r *placedRun) bool { return r.stopping }) {
			return true
		}
	}
	return false
}

// leavesReserved reports whether one more task of the unit leaves the given free resources of a worker sufficient for
// all its reservations. A task that ends before a reservation starts may backfill it if the reservation allows. Where
// it does not, only free capacity, observed ends and stopping runs count, since declared ends are often wrong; while most
// of the service is idle, tasks wait for that no longer than reservationWait.
func (p *planner) leavesReserved(u *unit, w *workerState, free batch.Resources) bool {
	ends, needs := p.view.now.Add(w.taskTime(u.duration)), u.step.Reserved()
	strict := observedEnds
	if p.view.now.Sub(u.readySince) >= reservationWait && p.idle(w.service) {
		strict = declaredEnds
	}
	for _, rv := range w.reservations {
		if !rv.noBackfill && !ends.After(rv.from) {
			continue
		}
		needs = needs.Plus(rv.needs)
		expected := declaredEnds
		if rv.noBackfill {
			expected = strict
		}
		if !needs.Fits(free.Plus(p.releases(w, expected).until(rv.from))) {
			return false
		}
	}
	return true
}

// reserve adds a reservation, in the order of the times from which they hold.
func (w *workerState) reserve(rv reservation) {
	at := sort.Search(len(w.reservations), func(n int) bool { return w.reservations[n].from.After(rv.from) })
	w.reservations = slices.Insert(w.reservations, at, rv)
	w.reserved = w.reserved.Plus(rv.needs)
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

// earliestFit returns the earliest time, now or the expected end of a run, at which a set of workers is expected to hold
// all tasks of the unit. The free resources only grow with time, so it is found by bisection.
func (p *planner) earliestFit(u *unit, set []*workerState, src endSource) (at time.Time, ok bool) {
	times := []time.Time{p.view.now}
	for _, w := range set {
		if len(set) == 1 {
			times = p.releases(w, src).times
			break
		}
		times = append(times, p.releases(w, src).times...)
	}
	if len(set) > 1 {
		slices.SortFunc(times, time.Time.Compare)
	}
	n := sort.Search(len(times), func(n int) bool {
		fitting := 0
		for _, w := range set {
			fitting += u.maxTasks(p.availableAt(w, times[n], src))
		}
		return fitting >= len(u.indexes)
	})
	if n == len(times) {
		return at, false
	}
	return times[n], true
}

// availableAt returns the resources of a worker that are expected to be free at a time, less the reserved ones.
func (p *planner) availableAt(w *workerState, at time.Time, src endSource) batch.Resources {
	return w.free.Plus(p.releases(w, src).until(at)).Minus(w.reserved)
}

// releases are the resources that the runs of a worker are expected to release, by time.
type releases struct {
	times []time.Time       // now and the expected ends of runs, in order
	sums  []batch.Resources // released until each of the times, with all runs listed so far
}

// until returns the resources that are released until a time, inclusive.
func (r *releases) until(at time.Time) batch.Resources {
	n := sort.Search(len(r.times), func(n int) bool { return r.times[n].After(at) })
	if n == 0 {
		return batch.Resources{}
	}
	return r.sums[n-1]
}

// releases returns the releases of a worker's runs, by the ends that src includes. They are kept until its runs change,
// since a step of thousands of tasks asks for them for each task.
func (p *planner) releases(w *workerState, src endSource) *releases {
	if r := w.released[src]; r != nil {
		return r
	}
	var runs []*placedRun
	for _, r := range w.runs {
		if src.includes(r) {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b *placedRun) int { return a.ends.Compare(b.ends) })
	r, sum, passed := &releases{}, batch.Resources{}, false
	add := func(at time.Time) { r.times, r.sums = append(r.times, at), append(r.sums, sum) }
	for _, placed := range runs {
		if !passed && placed.ends.After(p.view.now) {
			passed = true
			add(p.view.now)
		}
		sum = sum.Plus(placed.step.Reserved())
		add(placed.ends)
	}
	if !passed {
		add(p.view.now)
	}
	if w.released == nil {
		w.released = map[endSource]*releases{}
	}
	w.released[src] = r
	return r
}

// runsChanged drops what was derived from the worker's runs; call it after each change of a run or of their list.
func (w *workerState) runsChanged() { clear(w.released) }
