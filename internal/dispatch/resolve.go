package dispatch

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// resolve ends the runs that have ended, and stops those that must. It returns the runs that were told to stop, and
// whether a job waits for workers.
func (c *Core) resolve(
	now time.Time, s batch.State, lives map[batch.Incarnation]*host, a *Actions,
) (stopping map[run.ID]bool, waits bool) {
	stopping = map[run.ID]bool{}
	for _, j := range s.Jobs().All() {
		waits = waits || j.HasWaiting()
		eachPlaced(j, func(id run.ID, t batch.Task) {
			if c.fresh[id] {
				return
			}
			if e, ended := c.fate(now, id, t, lives, a); ended {
				c.take(now, e, lives[t.Worker()], a)
				return
			}
			why := mustStop(j, id)
			if why == "" {
				why = c.moveOn(now, id, j.Spec().Steps()[id.Task().Step()])
			}
			if why == "" {
				why = c.evacuate(now, j, id, lives[t.Worker()])
			}
			if why != "" {
				c.stop(now, id, lives[t.Worker()], why, a)
			}
			if o := c.ordered[id]; o != nil && !o.stopped.IsZero() {
				stopping[id] = true
			}
		})
	}
	c.stopStrays(now, s, a)
	return stopping, waits
}

// fate returns the end of a placed run, if it is known. The table in docs/platform.md lists the cases.
func (c *Core) fate(
	now time.Time, id run.ID, t batch.Task, lives map[batch.Incarnation]*host, a *Actions,
) (e batch.End, ended bool) {
	lost := func(why string, h *host) (batch.End, bool) {
		checkpoint := ""
		if h != nil {
			checkpoint = h.checkpoint(id)
		}
		c.decide(h, now, id, "lost", why)
		return batch.NewEnd(id.Task(), id.Run(), batch.Lost, checkpoint), true
	}
	h, here := lives[t.Worker()]
	if !here {
		return c.fateElsewhere(now, id, t, c.hosts[t.Worker().Host()], lost, a)
	}
	if f, ok := h.finished(id); ok && h.listed {
		return f.End(), true
	}
	if !h.goneAt.IsZero() && now.Sub(h.goneAt) > leavingTime {
		return lost("the worker has left", h)
	}
	if h.connected && h.current(c.fence) && h.alive(now) {
		if h.runs(id) {
			return e, false
		}
		o := c.ordered[id]
		switch {
		case o == nil || o.started.IsZero() && o.stopped.IsZero():
			return lost("not listed under this leader's fencing token", h)
		case h.settled(id):
			return lost("answered and not listed", h)
		case o.stopped.IsZero() && o.session != h.session:
			// The order may have been lost with the agent's earlier session; a start that was carried out is not repeated.
			c.fresh[id] = true
			c.decide(h, now, id, "start again", "the agent has another session")
		case now.Sub(o.started) > unanswered:
			c.stop(now, id, h, "its start was not answered", a)
		}
		return e, false
	}
	if now.After(h.leaseEnds) {
		return lost("the worker cannot be reached and its lease has ended", h)
	}
	return e, false
}

// fateElsewhere decides about a run whose worker, in that life, no agent has now.
func (c *Core) fateElsewhere(
	now time.Time, id run.ID, t batch.Task, h *host, lost func(string, *host) (batch.End, bool), a *Actions,
) (e batch.End, ended bool) {
	if h == nil || !h.announced || h.announcement.Incarnation().StartUnixMS() <= t.Worker().StartUnixMS() {
		if now.After(c.inherited()) && now.After(c.latestLease(t.Worker())) {
			return lost("no agent has the worker and its lease has ended", h)
		}
		return e, false
	}
	if h.announcement.Incarnation().ID() != t.Worker().ID() {
		return lost("another worker runs on its host", h)
	}
	// A late start of the run could reach the new life of the same id, so it is stopped there first.
	if h.connected && h.current(c.fence) && h.settled(id) && !h.runs(id) {
		return lost("the worker was born anew", h)
	}
	c.stop(now, id, h, "its worker was born anew", a)
	return e, false
}

// latestLease returns until when a lease may run that the host of a worker was granted.
func (c *Core) latestLease(l batch.Incarnation) time.Time {
	if h, known := c.hosts[l.Host()]; known {
		return h.leaseEnds
	}
	return time.Time{}
}

// take notes an end that is to be committed.
func (c *Core) take(now time.Time, e batch.End, h *host, a *Actions) {
	a.ends = append(a.ends, e)
	id := run.NewID(e.Task(), e.Run())
	delete(c.progress, id)
	if h == nil {
		return
	}
	switch e.Outcome() {
	case batch.Done:
		h.health.succeeded()
	case batch.Failed:
		h.health.failed(now)
	case batch.Stopped, batch.Lapsed, batch.Broken, batch.Alone, batch.Lost:
	}
	if e.Outcome() != batch.Lost {
		c.decide(h, now, id, "ended", string(e.Outcome()))
	}
}

// mustStop returns why a placed run has to end, or an empty string.
func mustStop(j *batch.Job, id run.ID) string {
	if !j.Active() {
		return "the job is " + string(j.State())
	}
	step := j.Spec().Steps()[id.Task().Step()]
	if !step.Gang() {
		return ""
	}
	for _, t := range j.Tasks(id.Task().Occurrence(), id.Task().Step()) {
		if t.Phase() == batch.Waiting {
			return "another member of its gang has ended"
		}
	}
	return ""
}

// stopStrays stops what workers run and the state does not have as placed there.
func (c *Core) stopStrays(now time.Time, s batch.State, a *Actions) {
	for _, h := range sortedHosts(c.hosts) {
		if !h.connected || !h.current(c.fence) {
			continue
		}
		for _, r := range h.list.Running() {
			if stray(s, r.ID(), h.list.Incarnation()) {
				c.stop(now, r.ID(), h, "not placed there", a)
			}
		}
	}
}

// stray reports whether a listed run is neither placed at that worker nor one of a gang that has just ended.
func stray(s batch.State, id run.ID, life batch.Incarnation) bool {
	j, known := s.Job(id.Task().Job())
	if !known {
		return true
	}
	t, ok := j.Task(id.Task())
	return !ok || t.Phase() == batch.Waiting || t.Run() != id.Run() || t.Worker() != life
}
