package dispatch

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// resolve ends the runs that are known to have ended and stops those that must not go on. It returns the runs that
// have been told to stop, and whether a job waits for workers.
func (c *Core) resolve(
	now time.Time, s batch.State, hosts map[batch.Incarnation]*host, a *Actions,
) (stopping map[run.ID]bool, waiting bool) {
	stopping = map[run.ID]bool{}
	for _, j := range s.Jobs().All() {
		waiting = waiting || j.HasWaiting()
		eachPlaced(j, func(id run.ID, t batch.Task) {
			if c.toStart[id] {
				return
			}
			if e, ended := c.runEnd(now, id, t); ended {
				c.recordEnd(now, e, c.hosts[t.Worker().Host()], a)
				return
			}
			c.orderUnlisted(now, j, id, t, hosts, a)
			if h := hosts[t.Worker()]; c.evacuated(h) && h.listsRunning(id) {
				a.evacuatedRuns++
			}
			reason := stopReason(j, id)
			if reason == "" {
				reason = c.zoneReason(j, id, t, hosts)
			}
			if reason == "" {
				reason = c.stallReason(now, id, j.Spec().Steps()[id.Task().Step()])
			}
			if reason == "" {
				reason = c.departureReason(now, j, id, hosts[t.Worker()])
			}
			if reason != "" {
				c.stop(now, id, hosts[t.Worker()], reason, a)
			}
			if o := c.orders[id]; o != nil && !o.stopOrderedAt.IsZero() {
				stopping[id] = true
			}
		})
	}
	c.stopUnplaced(now, s, a)
	return stopping, waiting
}

// runEnd returns the end of a placed run, if it is known. The table in docs/platform.md lists the cases.
func (c *Core) runEnd(now time.Time, id run.ID, t batch.Task) (e batch.End, ended bool) {
	h := c.hosts[t.Worker().Host()]
	if h != nil {
		// A start can have reached the next incarnation, which has the same ID, before that announced itself.
		if f, ok := h.listedEnd(id); ok {
			return f.End(), true
		}
	}
	reason := c.lostReason(now, id, t.Worker())
	if reason == "" {
		return e, false
	}
	c.logDecision(h, now, id, "lost", reason)
	checkpoint := ""
	if h != nil {
		checkpoint = h.listedCheckpoint(id)
	}
	return batch.NewEnd(id.Task(), id.Run(), batch.Lost, checkpoint), true
}

// orderUnlisted gives the order that a run needs whose worker lists neither the run nor its end: to stop, or to start again.
func (c *Core) orderUnlisted(
	now time.Time, j *batch.Job, id run.ID, t batch.Task, hosts map[batch.Incarnation]*host, a *Actions,
) {
	h := c.hostReporting(t.Worker())
	if h == nil {
		return
	}
	if h.announcement.Incarnation() != t.Worker() {
		c.stop(now, id, h, "its worker has a new incarnation", a)
		return
	}
	o := c.orders[id]
	if o == nil || !c.knowsRuns(now, h) || h.listsRunning(id) || h.list.Truncated() {
		return
	}
	// The start order may have been lost with an earlier session of the agent.
	mayBeLost := o.stopOrderedAt.IsZero() && o.startSession != h.session
	obstacle := ""
	if mayBeLost {
		obstacle = c.startObstacle(now, j, id, t, hosts)
	}
	switch {
	case obstacle != "":
		c.stop(now, id, h, obstacle, a)
	case mayBeLost:
		// Workers do not repeat a start that they have carried out.
		c.toStart[id] = true
		c.logDecision(h, now, id, "start again", "the agent has another session")
	case now.Sub(o.startOrderedAt) > startTimeout:
		c.stop(now, id, h, "its start was not answered", a)
	}
}

// recordEnd adds an end to the commit and updates the health of the worker.
func (c *Core) recordEnd(now time.Time, e batch.End, h *host, a *Actions) {
	a.ends = append(a.ends, c.withoutOlderCheckpoint(e))
	id := run.NewID(e.Task(), e.Run())
	c.countAsNotWorking(id)
	if lost, cause := c.lossOf(now, e); lost > 0 {
		c.decisions = append(c.decisions, Decision{id: id, kind: WorkLost, reason: string(cause), lostWork: lost, cause: cause})
	}
	delete(c.progress, id)
	c.endNeighbours(now, id)
	c.speeds.End(now, id)
	if h == nil {
		return
	}
	switch e.Outcome() {
	case batch.Done:
		h.health.recordSuccess()
	case batch.Failed:
		h.health.recordFailure(now)
	case batch.Stopped, batch.Lapsed, batch.Broken, batch.Alone, batch.Lost:
	}
	if e.Outcome() != batch.Lost {
		c.logDecision(h, now, id, "ended", string(e.Outcome()))
	}
}

// stopReason returns why a placed run has to stop, or an empty string.
func stopReason(j *batch.Job, id run.ID) string {
	if !j.Active() {
		return "the job is " + string(j.State())
	}
	step := j.Spec().Steps()[id.Task().Step()]
	if !step.Gang() {
		return ""
	}
	if j.Tasks(id.Task().Occurrence(), id.Task().Step()).Count(batch.Waiting) > 0 {
		return "another member of its gang has ended"
	}
	return ""
}

// stopUnplaced stops runs that a worker lists but that are not placed there in the replicated state.
func (c *Core) stopUnplaced(now time.Time, s batch.State, a *Actions) {
	for _, h := range sortedHosts(c.hosts) {
		if !h.connected || !h.hasCurrentList(c.fencingToken) {
			continue
		}
		for _, r := range h.list.Running() {
			if unplaced(s, r.ID(), h.list.Incarnation()) {
				c.stop(now, r.ID(), h, "the run is not placed on this worker", a)
			}
		}
	}
}

// unplaced reports whether a listed run is neither placed on that worker nor part of a gang that has just ended.
func unplaced(s batch.State, id run.ID, incarnation batch.Incarnation) bool {
	j, known := s.Job(id.Task().Job())
	if !known {
		return true
	}
	t, ok := j.Task(id.Task())
	return !ok || t.Phase() == batch.Waiting || t.Run() != id.Run() || t.Worker() != incarnation
}
