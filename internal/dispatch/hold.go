package dispatch

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// sendHolds extends leases, acknowledges ends and requests lists. Idle workers receive holds too, so that their
// agents soon notice the loss of this leader.
func (c *Core) sendHolds(now time.Time, s batch.State, a *Actions) {
	for _, h := range sortedHosts(c.hosts) {
		if !h.connected || !h.announced || h.clockIncarnation != h.announcement.Incarnation() {
			continue
		}
		incarnation := h.announcement.Incarnation()
		ack := c.acknowledge(h, s)
		first := !h.hasCurrentList(c.fencingToken) && !h.listRequested
		due := now.Sub(h.holdSentAt) >= holdInterval
		if !first && !due && ack <= h.acknowledged {
			continue
		}
		h.listRequested = true
		h.holdSentAt = now
		h.acknowledged = max(h.acknowledged, ack)
		lease := time.Duration(0)
		if h.responsive(now) {
			lease = h.grant(now, c.timing.lease)
		}
		renewal := run.NewRenewLease(incarnation, lease, h.acknowledged, !h.hasCurrentList(c.fencingToken))
		a.orders = append(a.orders, AddressedOrder{h.agent, c.withSpeed(now, h, renewal)})
	}
}

// acknowledge returns the number up to which all listed ends are committed. An end is listed by the worker's current
// incarnation even if its run was placed on an earlier one of the same ID.
func (c *Core) acknowledge(h *host, s batch.State) int64 {
	ack := h.acknowledged
	for _, f := range h.list.Finished() {
		if f.Number() <= ack {
			continue
		}
		if j, known := s.Job(f.End().Task().Job()); known {
			t, _ := j.Task(f.End().Task())
			if t.Phase() == batch.Placed && t.Run() == f.End().Run() && t.Worker().Host() == h.agent {
				return ack
			}
		}
		ack = f.Number()
	}
	return ack
}
