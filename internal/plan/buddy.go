package plan

import (
	"cmp"
	"math/bits"
	"slices"
)

// buddy returns sites by buddy allocation of nested cells: a job of one worker takes a block of a power of two,
// and each search splits the smallest free cell that suffices, a worker in use before a whole worker of a rack
// in use before one of a whole rack. Accelerators of a worker are interchangeable, so blocks have no alignment.
func (p *pass) buddy(q waiting) (found []int32) {
	s := q.job.Spec().Shape()
	avoided := p.avoid(p.state.loan, q.job.Spec().ID())
	defer p.refresh(avoided)
	members, size := s.Members(), s.Accelerators()
	if reach(s) == 0 {
		members, size = 1, s.Total()
	}
	domains := slices.Clone(p.domains(s))
	slices.SortStableFunc(domains, func(a, b []int32) int {
		return cmp.Or(trueFirst(p.split(a), p.split(b)), cmp.Compare(p.freeOf(a), p.freeOf(b)))
	})
	if reach(s) == 0 {
		domains = [][]int32{p.planner.top.allRacks}
	}
	for _, racks := range domains {
		if found = p.blocks(racks, members, size); found != nil && reach(s) == 0 {
			return slices.Repeat(found, s.Members())
		} else if found != nil {
			return found
		}
	}
	return nil
}

// blocks returns the sites of the members in the racks, those in the smallest free cells first, nil when they do not fit.
func (p *pass) blocks(racks []int32, members, size int) (found []int32) {
	block := min(1<<bits.Len(uint(size-1)), p.planner.top.largest)
	var sites []int32
	for _, r := range racks {
		first, end := p.planner.top.rackSites(r)
		for site := first; site < end; site++ {
			if p.state.loan.level[site] >= block {
				sites = append(sites, site)
			}
		}
	}
	slices.SortStableFunc(sites, func(a, b int32) int {
		x, y := p.planner.top.sites[a], p.planner.top.sites[b]
		return cmp.Or(cmp.Compare(p.state.loan.level[a], p.state.loan.level[b]),
			trueFirst(p.split([]int32{x.rack}), p.split([]int32{y.rack})),
			trueFirst(p.split(p.planner.top.zoneRacks[x.zone]), p.split(p.planner.top.zoneRacks[y.zone])))
	})
	for _, site := range sites {
		for range p.state.loan.level[site] / block {
			if found = append(found, site); len(found) == members {
				return found
			}
		}
	}
	return nil
}

// split reports whether any accelerator of the racks is in use.
func (p *pass) split(racks []int32) bool {
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

func (p *pass) freeOf(racks []int32) (n int) {
	for _, r := range racks {
		n += p.state.loan.racks[r].free
	}
	return n
}
