package dispatch

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// lostReason returns why a placed run is over although its worker lists no end of it, or an empty string while it may
// still run or begin. No other function decides that; they rely on the end that the leader commits for this reason.
func (c *Core) lostReason(now time.Time, id run.ID, worker batch.Incarnation) string {
	o := c.orders[id]
	if o != nil && o.withheld && !o.startOrdered() {
		// Only the leader that places a run orders its start, so it has not begun, whatever its worker does.
		return "its start was not ordered"
	}
	h := c.hostReporting(worker)
	switch {
	case h == nil:
		return c.lostUnreported(now, worker)
	case h.announcement.Incarnation() == worker:
		return c.lostHere(now, id, h, o)
	}
	return c.lostWithIncarnation(id, worker, h)
}

// hostReporting returns the host whose agent has reported an incarnation of a worker or a later one, or nil.
func (c *Core) hostReporting(worker batch.Incarnation) *host {
	h := c.hosts[worker.Host()]
	if h == nil || !h.announced {
		return nil
	}
	if latest := h.announcement.Incarnation(); latest != worker && latest.StartUnixMS() <= worker.StartUnixMS() {
		return nil
	}
	return h
}

// lostUnreported decides about a run on a worker that no agent has reported to this leader.
func (c *Core) lostUnreported(now time.Time, worker batch.Incarnation) string {
	h := c.hosts[worker.Host()]
	if now.After(c.inheritedLeaseEnd()) && (h == nil || now.After(h.leaseEnds)) {
		return "no agent reports the worker and its lease has ended"
	}
	return ""
}

// lostHere decides about a run on the current incarnation of the worker on a host.
func (c *Core) lostHere(now time.Time, id run.ID, h *host, o *runOrders) string {
	switch {
	case h.exited:
		return "the worker has left"
	case !c.knowsRuns(now, h):
		if now.After(h.leaseEnds) {
			return "the worker cannot be reached and its lease has ended"
		}
	case h.listsRunning(id) || h.list.Truncated():
		// A run that a truncated list does not show may have ended after the ends that it shows.
	case o == nil || !o.startOrdered():
		// An earlier leader placed the run. The worker refuses a late start of it by its fencing token.
		return "not listed under this leader's fencing token"
	case o.startAnswered(id, h):
		return "its start or stop was answered and the worker does not list it"
	}
	return ""
}

// lostWithIncarnation decides about a run on an earlier incarnation of the worker on a host. A late start of the run could
// reach a later incarnation with the same ID, so it is over only once a stop was answered there.
func (c *Core) lostWithIncarnation(id run.ID, worker batch.Incarnation, h *host) string {
	switch {
	case h.announcement.Incarnation().ID() != worker.ID():
		return "another worker runs on its host"
	case h.connected && h.hasCurrentList(c.fencingToken) && h.listsSettled(id) && !h.listsRunning(id) && !h.list.Truncated():
		return "the worker has a new incarnation"
	}
	return ""
}

// knowsRuns reports whether the leader has a list that the current worker on a host made under its fencing token, and is in
// contact with the worker.
func (c *Core) knowsRuns(now time.Time, h *host) bool {
	return h.connected && h.hasCurrentList(c.fencingToken) && h.responsive(now)
}

// startOrdered reports whether this leader has ordered the start of the run.
func (o *runOrders) startOrdered() bool { return !o.startOrderedAt.IsZero() }

// startAnswered reports whether the latest order to start a run, or a stop that was ordered later, was answered before the
// worker made its latest list. The answer to an earlier order does not count: a worker that refused it because its lease
// had ended carries out the next one.
func (o *runOrders) startAnswered(id run.ID, h *host) bool {
	answered, ok := h.answeredOrder(id)
	return ok && !answered.Before(o.start)
}
