package dispatch

import (
	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// overcommitted reports whether the runs placed on a host's worker exceed the capacity that it announces now. A run
// that is being stopped counts until its end is committed.
func (c *Core) overcommitted(h *host) bool {
	if c.used == nil {
		c.used = placedResources(c.state)
	}
	return !c.used[h.announcement.Incarnation()].Fits(h.announcement.Capacity())
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
