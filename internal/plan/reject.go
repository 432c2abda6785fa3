package plan

import (
	"fmt"

	"rosemarywind.example/rosemarywind/internal/workspace"
)

// never returns why the shape cannot run on the fleet even when it is idle and every worker is well.
func (p *pass) never(s workspace.Shape) string {
	reason, ok := p.reasons[s]
	if ok {
		return reason
	}
	if p.idle == nil {
		p.idle = p.planner.top.idle(func(int32) bool { return true })
	}
	if s.Members() < 1 || s.Accelerators() < 1 {
		reason = fmt.Sprintf("shape %s is impossible", s)
	} else if p.idle.find(s) == nil {
		reason = p.idle.tooLarge(s)
	}
	p.reasons[s] = reason
	return reason
}

// tooLarge describes the largest domain of the shape's adjacency.
func (p *pool) tooLarge(s workspace.Shape) string {
	size := s.Accelerators()
	switch {
	case reach(s) == 0:
		return fmt.Sprintf("%s needs %d accelerators on one worker, the largest has %d", s, s.Total(), p.top.largest)
	case p.top.largest < size:
		return fmt.Sprintf("%s needs workers of %d accelerators, the largest has %d", s, size, p.top.largest)
	}
	most, domain := slots(p.fleet, size), "the fleet"
	switch s.Adjacency() {
	case workspace.SameRack:
		most, domain = 0, "the largest rack"
		for i := range p.racks {
			most = max(most, p.racks[i].slots(size))
		}
	case workspace.SameZone:
		most, domain = 0, "the largest availability zone"
		for i := range p.zones {
			most = max(most, slots(p.zones[i], size))
		}
	case workspace.SameWorker, workspace.Anywhere:
	}
	return fmt.Sprintf("%s needs %d members of %d accelerators, %s has room for %d", s, s.Members(), size, domain, most)
}

// shortage describes what a shape lacks now.
func (p *pass) shortage(s workspace.Shape) string {
	free := 0
	for f, n := range p.state.loan.fleet {
		free += f * int(n)
	}
	return fmt.Sprintf("waits for %s: %d accelerators are free, %d members of %d fit without regard to adjacency",
		s, free, slots(p.state.loan.fleet, s.Accelerators()), s.Accelerators())
}
