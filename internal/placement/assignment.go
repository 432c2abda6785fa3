package placement

import (
	"cmp"
	"slices"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// assignment collects the workers for tasks of a unit during the search for a placement.
type assignment struct {
	unit    *unit
	members []batch.Member
	workers []*workerState
	counts  map[*workerState]int
	cost    int // of a gang's placement; the lowest wins
	avoided int // workers that the unit avoids
	rank    int // of the worker whose speed suits the unit least
}

func newAssignment(u *unit) *assignment {
	as := &assignment{unit: u, counts: map[*workerState]int{}}
	return as
}

func (as *assignment) add(index int, w *workerState) {
	run := as.unit.tasks.At(index).Run() + 1
	if as.unit.step.Gang() {
		run = as.unit.gangRun
	}
	as.members = append(as.members, batch.NewMember(index, run, w.incarnation))
	as.workers = append(as.workers, w)
	as.counts[w]++
}

func (as *assignment) group() batch.Group { return batch.NewGroup(as.unit.key, as.members...) }

// slowestSpeed returns the speed of the slowest worker of the placement, which must not be empty.
func (as *assignment) slowestSpeed() float64 {
	slowest := as.workers[0].speed
	for _, w := range as.workers {
		slowest = min(slowest, w.speed)
	}
	return slowest
}

// assignGang assigns all tasks of a gang to workers of a set, with the least leftover accelerators first. It returns
// nil if they do not fit.
func (p *planner) assignGang(u *unit, set []*workerState) *assignment {
	if !p.fitsNow(u, set) {
		return nil
	}
	as := newAssignment(u)
	sorted := slices.Clone(set)
	slices.SortStableFunc(sorted, func(a, b *workerState) int {
		return cmp.Or(compareBool(a.quarantined, b.quarantined), compareBool(u.avoids(a), u.avoids(b)), cmp.Compare(p.leftover(u, a), p.leftover(u, b)))
	})
	left := u.indexes
	for _, w := range sorted {
		free := w.free
		for len(left) > 0 && p.fits(u, as, w, free) {
			free = free.Minus(u.step.Reserved())
			as.add(left[0], w)
			left = left[1:]
		}
		if as.counts[w] > 0 {
			as.cost += free.Accelerators()*leftoverWeight + p.rackFree(w.rack)
			switch {
			case w.quarantined:
				as.cost += quarantineCost
				as.avoided++
			case u.avoids(w):
				as.cost += suspectCost
				as.avoided++
			}
		}
		if len(left) == 0 {
			return as
		}
	}
	return nil
}

// leftoverWeight is the cost of an accelerator left over on a used worker, relative to a free one in the worker's rack.
const leftoverWeight = 10

// rackFree returns the number of free accelerators in a rack.
func (p *planner) rackFree(rack string) (sum int) {
	for _, w := range p.racks[rack] {
		sum += w.free.Accelerators()
	}
	return sum
}

// suspectCost is added to the cost of a placement for each suspect worker that it uses, so that sets without one are
// preferred.
const suspectCost = 1000

// quarantineCost takes the place of suspectCost for a worker in quarantine, which is the last choice.
const quarantineCost = 100 * suspectCost

// leftover returns how many accelerators of a worker stay free once it runs as many tasks of the unit as fit. For a
// worker that fits none it returns suspectCost, so that it sorts last.
func (p *planner) leftover(u *unit, w *workerState) int {
	n := u.maxTasks(w.free)
	if n == 0 {
		return suspectCost
	}
	return w.free.Accelerators() - n*u.step.Reserved().Accelerators()
}
