package plan

import (
	"cmp"
	"math/bits"
	"slices"
)

// buddy returns sites by buddy allocation over the nested domains worker, rack and availability zone. A member takes
// a block of a power of two, and each search splits the smallest domain that suffices: a worker in use before an
// idle worker of a rack in use, and that before an idle worker of an idle rack. The accelerators of a worker are
// interchangeable, so blocks have no alignment.
func (p *pass) buddy(q queuedJob) (found []int32) {
	s := q.job.Spec().Shape()
	excluded := p.excludeFailed(p.state.borrowable, q.job.Spec().ID())
	defer p.refresh(excluded)
	members, size := s.Members(), s.Accelerators()
	if adjacencyRank(s) == 0 {
		members, size = 1, s.Total()
	}
	domains := slices.Clone(p.domains(s))
	slices.SortStableFunc(domains, func(a, b []int32) int {
		return cmp.Or(trueFirst(p.partlyUsed(a), p.partlyUsed(b)), cmp.Compare(p.freeIn(a), p.freeIn(b)))
	})
	if adjacencyRank(s) == 0 {
		domains = [][]int32{p.planner.top.allRacks}
	}
	for _, racks := range domains {
		if found = p.findBlocks(racks, members, size); found != nil && adjacencyRank(s) == 0 {
			return slices.Repeat(found, s.Members())
		} else if found != nil {
			return found
		}
	}
	return nil
}

// findBlocks returns the site of each member in the racks, preferring the sites with the least free capacity, or nil
// if the members do not fit.
func (p *pass) findBlocks(racks []int32, members, size int) (found []int32) {
	block := min(1<<bits.Len(uint(size-1)), p.planner.top.largest)
	var sites []int32
	for _, r := range racks {
		first, end := p.planner.top.rackSites(r)
		for site := first; site < end; site++ {
			if p.state.borrowable.free[site] >= block {
				sites = append(sites, site)
			}
		}
	}
	slices.SortStableFunc(sites, func(a, b int32) int {
		x, y := p.planner.top.sites[a], p.planner.top.sites[b]
		return cmp.Or(cmp.Compare(p.state.borrowable.free[a], p.state.borrowable.free[b]),
			trueFirst(p.partlyUsed([]int32{x.rack}), p.partlyUsed([]int32{y.rack})),
			trueFirst(p.partlyUsed(p.planner.top.zoneRacks[x.zone]), p.partlyUsed(p.planner.top.zoneRacks[y.zone])))
	})
	for _, site := range sites {
		for range p.state.borrowable.free[site] / block {
			if found = append(found, site); len(found) == members {
				return found
			}
		}
	}
	return nil
}

// partlyUsed reports whether any accelerator of the racks is in use.
func (p *pass) partlyUsed(racks []int32) bool {
	return slices.ContainsFunc(racks, func(r int32) bool {
		first, end := p.planner.top.rackSites(r)
		for site := first; site < end; site++ {
			if p.state.sites[site].free < p.planner.top.sites[site].capacity {
				return true
			}
		}
		return false
	})
}

// freeIn returns the number of free accelerators in the racks.
func (p *pass) freeIn(racks []int32) (n int) {
	for _, r := range racks {
		n += p.state.borrowable.racks[r].free
	}
	return n
}
