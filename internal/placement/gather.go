package placement

import (
	"cmp"
	"slices"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// gathering is the placement of a unit while it is put together.
type gathering struct {
	unit    *unit
	members []batch.Member
	places  []*place
	counts  map[*place]int
	waste   int
}

func newGathering(u *unit) *gathering {
	g := &gathering{unit: u, counts: map[*place]int{}}
	return g
}

func (g *gathering) add(index int, e *place) {
	run := 1
	for n, t := range g.unit.job.Tasks(g.unit.key.Occurrence(), g.unit.key.Step()) {
		if g.unit.step.Gang() || n == index {
			run = max(run, t.Run()+1)
		}
	}
	g.members = append(g.members, batch.NewMember(index, run, e.life))
	g.places = append(g.places, e)
	g.counts[e]++
}

func (g *gathering) group() batch.Group { return batch.NewGroup(g.unit.key, g.members...) }

// gather places a gang among a set of workers, the fullest ones first, or returns nil.
func (p *planner) gather(u *unit, set []*place) *gathering {
	g := newGathering(u)
	sorted := slices.Clone(set)
	slices.SortStableFunc(sorted, func(a, b *place) int {
		return cmp.Or(compareBool(a.suspect, b.suspect), cmp.Compare(p.fit(u, a), p.fit(u, b)))
	})
	left := u.indexes
	for _, e := range sorted {
		free := e.free
		for len(left) > 0 && p.fits(u, g, e, free) {
			free = free.Minus(u.step.Reserved())
			g.add(left[0], e)
			left = left[1:]
		}
		if g.counts[e] > 0 {
			g.waste += free.Accelerators()*wasteUnit + p.rackFree(e.rack)
			if e.suspect {
				g.waste += suspectWaste
			}
		}
		if len(left) == 0 {
			return g
		}
	}
	return nil
}

// wasteUnit is what an accelerator that is left over on a used worker weighs against one that is free in its rack.
const wasteUnit = 10

// rackFree returns how many accelerators of a rack are free.
func (p *planner) rackFree(rack string) (sum int) {
	for _, e := range p.racks[rack] {
		sum += e.free.Accelerators()
	}
	return sum
}

// suspectWaste makes a set with a suspect worker worse than any without.
const suspectWaste = 1000

// fit returns how many accelerators a worker has left over after it took as many tasks of the unit as fit; a worker
// that fits none comes last.
func (p *planner) fit(u *unit, e *place) int {
	n := u.most(e.free)
	if n == 0 {
		return suspectWaste
	}
	return e.free.Accelerators() - n*u.step.Reserved().Accelerators()
}
