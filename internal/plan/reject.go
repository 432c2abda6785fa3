package plan

import (
	"fmt"

	"rosemarywind.example/rosemarywind/internal/workspace"
)

// rejectReason returns why the shape does not fit on the fleet even when all workers are idle and usable, or "" if
// it does fit.
func (p *pass) rejectReason(s workspace.Shape) string {
	reason, ok := p.rejectReasons[s]
	if ok {
		return reason
	}
	if p.idleFleet == nil {
		p.idleFleet = p.planner.top.idlePool(func(int32) bool { return true })
	}
	if s.Members() < 1 || s.Accelerators() < 1 {
		reason = fmt.Sprintf("shape %s is impossible", s)
	} else if p.idleFleet.find(s) == nil {
		reason = p.idleFleet.describeTooLarge(s)
	}
	p.rejectReasons[s] = reason
	return reason
}

// describeTooLarge compares the shape with the largest domain of its adjacency.
func (p *pool) describeTooLarge(s workspace.Shape) string {
	size := s.Accelerators()
	switch {
	case adjacencyRank(s) == 0:
		return fmt.Sprintf("%s needs %d accelerators on one worker, the largest has %d", s, s.Total(), p.top.largest)
	case p.top.largest < size:
		return fmt.Sprintf("%s needs workers of %d accelerators, the largest has %d", s, size, p.top.largest)
	}
	most, domain := slots(p.fleetCounts, size), "the fleet"
	switch s.Adjacency() {
	case workspace.SameRack:
		most, domain = 0, "the largest rack"
		for i := range p.racks {
			most = max(most, p.racks[i].slots(size))
		}
	case workspace.SameZone:
		most, domain = 0, "the largest availability zone"
		for i := range p.zoneCounts {
			most = max(most, slots(p.zoneCounts[i], size))
		}
	case workspace.SameWorker, workspace.Anywhere:
	}
	return fmt.Sprintf("%s needs %d members of %d accelerators, %s has room for %d", s, s.Members(), size, domain, most)
}

// shortage describes the free capacity that a queued job with the shape finds insufficient.
func (p *pass) shortage(s workspace.Shape) string {
	free := 0
	for f, n := range p.state.borrowable.fleetCounts {
		free += f * int(n)
	}
	return fmt.Sprintf("waits for %s: %d accelerators are free, %d members of %d fit without regard to adjacency",
		s, free, slots(p.state.borrowable.fleetCounts, s.Accelerators()), s.Accelerators())
}
