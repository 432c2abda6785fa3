package dispatch

import (
	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// overcommitted reports whether the runs placed on a host's worker exceed the capacity that it announces now. A run
// that is being stopped counts until its end is committed.
func (c *Core) overcommitted(h *host) bool {
	return !c.placedOn(h.announcement.Incarnation()).Fits(h.announcement.Capacity())
}

// placedOn returns the resources of the runs that are placed on a worker.
func (c *Core) placedOn(worker batch.Incarnation) batch.Resources {
	if c.used == nil {
		c.used = placedResources(c.state)
	}
	return c.used[worker]
}

// placedResources returns the resources of the placed runs by worker.
func placedResources(s batch.State) map[batch.Incarnation]batch.Resources {
	used := map[batch.Incarnation]batch.Resources{}
	for _, j := range s.Jobs().All() {
		steps := j.Spec().Steps()
		eachPlaced(j, func(id run.ID, t batch.Task) {
			used[t.Worker()] = used[t.Worker()].Plus(steps[id.Task().Step()].Reserved())
		})
	}
	return used
}
