package placement

import (
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
)

const (
	// idleShare is the share of a service's capacity in use below which the service counts as idle.
	idleShare = 0.5
	// reservationWait is how long a unit of a job without runs, or of long-running tasks, waits on an idle service before it
	// may use capacity that is reserved for other units or kept free as headroom.
	reservationWait = time.Second
	// rackWait is how long such a unit waits for the rack of its data, or for one rack that holds the whole gang.
	rackWait = 2 * time.Second
)

// waitPolicy is what a unit waits for when capacity that it could use is free.
type waitPolicy string

const (
	// waitForAll respects the reservations of other units, the headroom and the preferred rack.
	waitForAll waitPolicy = "full"
	// waitForRack ignores reservations and headroom, but still waits for the preferred rack.
	waitForRack waitPolicy = "of place"
	// waitForNothing uses any free capacity.
	waitForNothing waitPolicy = "none"
)

// waitPolicyOf returns what a unit waits for. A unit with a reservation, for a whole rack for example, may not be able
// to start for a long time, so a job without runs does not wait for it while most of the service is idle; neither does a
// long-running task, whose absence counts whether others of its job run or not.
func (p *planner) waitPolicyOf(u *unit) waitPolicy {
	waited := p.view.now.Sub(u.readySince)
	switch {
	case waited < reservationWait || u.job.HasPlaced() && !u.step.LongRunning() || !p.idle(u.queue.Service()):
		return waitForAll
	case waited < rackWait:
		return waitForRack
	}
	return waitForNothing
}

// idle reports whether most of a service's capacity, also of its workers in quarantine, is not in use. The first answer
// for a service holds for the whole decision.
func (p *planner) idle(service string) bool {
	if idle, known := p.idleServices[service]; known {
		return idle
	}
	var free, capacity batch.Resources
	for _, w := range slices.Concat(p.workers, p.quarantined) {
		if w.service == service {
			free, capacity = free.Plus(w.free), capacity.Plus(w.capacity)
		}
	}
	used := capacity.Minus(free)
	p.idleServices[service] = belowIdleShare(used.Accelerators(), capacity.Accelerators()) &&
		belowIdleShare(used.Millicores(), capacity.Millicores()) && belowIdleShare(used.MemoryMB(), capacity.MemoryMB())
	return p.idleServices[service]
}

// belowIdleShare reports whether the used part of a resource is below idleShare. It is true where the capacity is 0.
func belowIdleShare(used, capacity int) bool {
	return capacity == 0 || float64(used) < idleShare*float64(capacity)
}
