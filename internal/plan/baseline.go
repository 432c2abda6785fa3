package plan

import (
	"cmp"
	"slices"

	"rosemarywind.example/rosemarywind/internal/job"
)

// runBaseline places jobs by age, or urgent ones first, each on the sites that find returns.
// It knows neither guarantees nor reservations.
func (p *pass) runBaseline(urgentFirst bool, find func(waiting) []int32) []Decision {
	queue := p.order()
	slices.SortFunc(queue, func(a, b waiting) int {
		x, y := a.job.Spec(), b.job.Spec()
		first := 0
		if urgentFirst {
			first = trueFirst(x.Urgency() == job.Urgent, y.Urgency() == job.Urgent)
		}
		return cmp.Or(first, x.SubmittedAt().Compare(y.SubmittedAt()), cmp.Compare(x.ID(), y.ID()))
	})
	for _, q := range queue {
		spec := q.job.Spec()
		if reason := p.never(spec.Shape()); reason != "" && !p.view.partial {
			p.decide(Reject{spec.ID(), reason})
		} else if sites := find(q); sites != nil {
			p.place(q, sites, "placed without regard to guarantees")
		} else {
			p.decide(Wait{spec.ID(), p.shortage(spec.Shape())})
		}
	}
	return p.decisions
}

// firstFit returns the first sites in the order of their names' topology that the shape fits on.
func (p *pass) firstFit(q waiting) []int32 {
	s := q.job.Spec().Shape()
	avoided := p.avoid(p.state.loan, q.job.Spec().ID())
	defer p.refresh(avoided)
	members, size := s.Members(), s.Accelerators()
	if reach(s) == 0 {
		members, size = 1, s.Total()
	}
	for _, racks := range p.domains(s) {
		var found []int32
		for _, r := range racks {
			first, end := p.planner.top.rackSites(r)
			for site := first; site < end; site++ {
				for range min(p.state.loan.level[site]/size, members-len(found)) {
					found = append(found, site)
				}
			}
		}
		if len(found) < members {
			continue
		}
		if reach(s) == 0 {
			return slices.Repeat(found, s.Members())
		}
		return found
	}
	return nil
}

// direct returns the sites that the planner itself prefers on a fleet without cells.
func (p *pass) direct(q waiting) []int32 {
	avoided := p.avoid(p.state.loan, q.job.Spec().ID())
	defer p.refresh(avoided)
	if sites := p.state.loan.findBroken(q.job.Spec().Shape()); sites != nil {
		return sites
	}
	return p.state.loan.find(q.job.Spec().Shape())
}
