package placement

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
)

const (
	// idleShare is the part of a service's capacity in use below which its fleet counts as idle.
	idleShare = 0.5
	// idleWait is how long a job waits on an idle fleet until it may begin beside bookings and in kept room.
	idleWait = time.Second
	// farWait is how long it waits there for the rack of its data, or for one rack for all of a gang.
	farWait = 2 * time.Second
)

// patience says what a unit waits for on an idle fleet.
type patience string

const (
	// full waits for what others have booked, for room that is kept free and for the best rack.
	full patience = "full"
	// ofPlace takes booked and kept room, and still waits for the best rack.
	ofPlace patience = "of place"
	// none takes any room.
	none patience = "none"
)

// patienceOf returns what a unit waits for. Those who booked a whole rack, say, may not get one for long; a job of which
// nothing runs does not wait for them while most of the fleet is idle.
func (p *planner) patienceOf(u *unit) patience {
	waited := p.view.now.Sub(u.ready)
	switch {
	case waited < idleWait || u.job.HasPlaced() || !p.idle(u.queue.Service()):
		return full
	case waited < farWait:
		return ofPlace
	}
	return none
}

// idle reports whether most of a service's capacity was not in use when the decision began.
func (p *planner) idle(service string) bool {
	if idle, known := p.idles[service]; known {
		return idle
	}
	var free, capacity batch.Resources
	for _, e := range p.places {
		if e.service == service {
			free, capacity = free.Plus(e.free), capacity.Plus(e.capacity)
		}
	}
	used := capacity.Minus(free)
	p.idles[service] = lessThan(used.Accelerators(), capacity.Accelerators()) &&
		lessThan(used.Millicores(), capacity.Millicores()) && lessThan(used.MemoryMB(), capacity.MemoryMB())
	return p.idles[service]
}

// lessThan reports whether a use is below the share that makes a fleet idle; of what there is none, none is used.
func lessThan(used, capacity int) bool {
	return capacity == 0 || float64(used) < idleShare*float64(capacity)
}
