package dispatch

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// hold extends leases, acknowledges ends and asks for lists. Idle workers get it too, so that their agents notice soon
// when this leader is gone.
func (c *Core) hold(now time.Time, s batch.State, a *Actions) {
	for _, h := range sortedHosts(c.hosts) {
		if !h.connected || !h.announced || h.clockLife != h.announcement.Incarnation() {
			continue
		}
		life := h.announcement.Incarnation()
		ack := c.acknowledge(h, s)
		first := !h.current(c.fence) && !h.asked
		due := now.Sub(h.held) >= holdInterval
		if !first && !due && ack <= h.acknowledged {
			continue
		}
		h.asked = true
		h.held = now
		h.acknowledged = max(h.acknowledged, ack)
		lease := time.Duration(0)
		if h.alive(now) {
			lease = h.grant(now, c.timing.lease)
		}
		a.orders = append(a.orders, Addressed{h.agent, run.NewRenewLease(life, lease, h.acknowledged, !h.current(c.fence))})
	}
}

// acknowledge returns the number up to which all listed ends have been committed.
func (c *Core) acknowledge(h *host, s batch.State) int64 {
	ack := h.acknowledged
	for _, f := range h.list.Finished() {
		if f.Number() <= ack {
			continue
		}
		if j, known := s.Job(f.End().Task().Job()); known {
			t, _ := j.Task(f.End().Task())
			if t.Phase() == batch.Placed && t.Run() == f.End().Run() && t.Worker() == h.list.Incarnation() {
				return ack
			}
		}
		ack = f.Number()
	}
	return ack
}
