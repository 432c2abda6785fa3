package plan

import (
	"cmp"
	"slices"

	"rosemarywind.example/rosemarywind/internal/job"
)

// runBaseline places the queued jobs in the order of their submission, with urgentFirst all urgent jobs before the
// others, each on the sites that find returns. It ignores guarantees and makes no reservations.
func (p *pass) runBaseline(urgentFirst bool, find func(queuedJob) []int32) []Decision {
	queue := p.sortedQueue()
	slices.SortFunc(queue, func(a, b queuedJob) int {
		x, y := a.job.Spec(), b.job.Spec()
		first := 0
		if urgentFirst {
			first = trueFirst(x.Urgency() == job.Urgent, y.Urgency() == job.Urgent)
		}
		return cmp.Or(first, x.SubmittedAt().Compare(y.SubmittedAt()), cmp.Compare(x.ID(), y.ID()))
	})
	for _, q := range queue {
		spec := q.job.Spec()
		if reason := p.rejectReason(spec.Shape()); reason != "" && !p.view.partial {
			p.decide(Reject{spec.ID(), reason})
		} else if sites := find(q); sites != nil {
			p.place(q, sites, "placed without regard to guarantees")
		} else {
			p.decide(Wait{spec.ID(), p.shortage(spec.Shape())})
		}
	}
	return p.decisions
}

// firstFit returns the first sites, in the order of availability zone, rack and worker name, that the shape fits on.
func (p *pass) firstFit(q queuedJob) []int32 {
	s := q.job.Spec().Shape()
	excluded := p.excludeFailed(p.state.borrowable, q.job.Spec().ID())
	defer p.refresh(excluded)
	members, size := s.Members(), s.Accelerators()
	if adjacencyRank(s) == 0 {
		members, size = 1, s.Total()
	}
	for _, racks := range p.domains(s) {
		var found []int32
		for _, r := range racks {
			first, end := p.planner.top.rackSites(r)
			for site := first; site < end; site++ {
				for range min(p.state.borrowable.free[site]/size, members-len(found)) {
					found = append(found, site)
				}
			}
		}
		if len(found) < members {
			continue
		}
		if adjacencyRank(s) == 0 {
			return slices.Repeat(found, s.Members())
		}
		return found
	}
	return nil
}

// direct returns the sites that the Reserving policy prefers on a fleet without cells.
func (p *pass) direct(q queuedJob) []int32 {
	excluded := p.excludeFailed(p.state.borrowable, q.job.Spec().ID())
	defer p.refresh(excluded)
	if sites := p.state.borrowable.findInUse(q.job.Spec().Shape()); sites != nil {
		return sites
	}
	return p.state.borrowable.find(q.job.Spec().Shape())
}
