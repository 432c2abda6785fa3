package placement

import "time"

const (
	// headroomShare is the part of the largest rack that patient work leaves free in one rack for urgent work.
	headroomShare = 0.5
	// patientSlack is the slack with which a unit can wait for a better moment.
	patientSlack = 8 * time.Second
	// longestWait bounds how long a unit that could begin is held back.
	longestWait = 8 * time.Second
)

// leavesRoom reports whether urgent work still finds a rack with room after a unit has begun. It is true for urgent
// units, for those whose time is running out or that were held back for long, and while no urgent work comes.
func (p *planner) leavesRoom(u *unit, places ...*place) bool {
	if p.headroom == 0 || u.waits != full || u.queue.Priority() == 0 || u.slack < patientSlack || p.view.now.Sub(u.ready) > longestWait {
		return true
	}
	taken := map[string]int{}
	for _, e := range places {
		taken[e.rack] += u.step.Reserved().Accelerators()
	}
	for rack := range p.racks {
		if p.rackFree(rack)-taken[rack] >= p.headroom {
			return true
		}
	}
	return false
}

// setHeadroom computes the headroom if the state has urgent work, live or not.
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
	for _, places := range p.racks {
		sum := 0
		for _, e := range places {
			sum += e.capacity.Accelerators()
		}
		largest = max(largest, sum)
	}
	p.headroom = int(float64(largest) * headroomShare)
}
