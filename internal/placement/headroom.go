package placement

import "time"

const (
	// headroomShare is the share of the largest rack's accelerators that less urgent work leaves free in one rack.
	headroomShare = 0.5
	// headroomSlack is the least slack with which a unit is held back to keep the headroom.
	headroomSlack = 8 * time.Second
	// maxHeadroomWait limits how long a unit that could start is held back to keep the headroom.
	maxHeadroomWait = 8 * time.Second
)

// leavesHeadroom reports whether a rack still has the headroom for urgent work after a unit starts on the given
// workers, one for each task. It is always true for urgent units, for units that have little slack, have waited longer
// than maxHeadroomWait or no longer wait for reserved capacity, and while the state has no urgent jobs.
func (p *planner) leavesHeadroom(u *unit, workers ...*workerState) bool {
	if p.headroom == 0 || u.waitPolicy != waitForAll || u.queue.Priority() == 0 || u.slack < headroomSlack ||
		p.view.now.Sub(u.readySince) > maxHeadroomWait {
		return true
	}
	taken := map[string]int{}
	for _, w := range workers {
		taken[w.rack] += u.step.Reserved().Accelerators()
	}
	for rack := range p.racks {
		if p.rackFree(rack)-taken[rack] >= p.headroom {
			return true
		}
	}
	return false
}

// setHeadroom sets the headroom if the state holds an urgent job, live or ended; otherwise the headroom stays 0.
func (p *planner) setHeadroom() {
	urgent := false
	for _, j := range p.view.state.Jobs().All() {
		if p.view.state.CurrentQueue(j).Priority() == 0 {
			urgent = true
			break
		}
	}
	if !urgent {
		return
	}
	largest := 0
	for _, workers := range p.racks {
		sum := 0
		for _, w := range workers {
			sum += w.capacity.Accelerators()
		}
		largest = max(largest, sum)
	}
	p.headroom = int(float64(largest) * headroomShare)
}
