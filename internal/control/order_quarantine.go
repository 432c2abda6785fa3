package control

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/task"
)

const (
	// minOrderQuarantine is longer than orderTimeout, so that a second order is in flight when the quarantine ends.
	minOrderQuarantine = 10 * time.Second
	maxOrderQuarantine = 5 * time.Minute
)

// orderQuarantine is the period in which a worker gets no new work because it did not answer its orders.
type orderQuarantine struct {
	until time.Time
	pause time.Duration
}

// updateOrderQuarantine quarantines the worker of an unanswered batch, each time for twice as long up to
// maxOrderQuarantine, and ends the quarantine when the worker answers. An agent may announce a worker that does not
// answer; gangs placed on such a worker would again and again hold the accelerators of their other members without
// starting.
func (g *gangDriver) updateOrderQuarantine(b batch, now time.Time) {
	quarantines := g.control.board.orderQuarantines.Load()
	old, known := quarantines.Get(b.worker)
	for _, r := range b.replies {
		if r.Answer() == task.Unanswered {
			continue
		}
		if known {
			g.control.board.orderQuarantines.Publish(quarantines.Without(b.worker))
		}
		return
	}
	if known && now.Before(old.until) {
		return
	}
	next := orderQuarantine{pause: min(max(minOrderQuarantine, 2*old.pause), maxOrderQuarantine)}
	next.until = now.Add(next.pause)
	g.control.board.orderQuarantines.Publish(quarantines.With(b.worker, next))
	g.control.logger.Warn("worker does not answer orders", "worker", b.worker, "pause", next.pause.String())
}
