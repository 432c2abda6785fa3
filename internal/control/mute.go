package control

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/task"
)

const (
	// firstMute is longer than an order takes to be given up, so that a second one is under way when it ends.
	firstMute   = 10 * time.Second
	longestMute = 5 * time.Minute
)

// mute is the pause in which a worker gets no new work because its orders were not answered.
type mute struct {
	until time.Time
	pause time.Duration
}

// listen notes whether a worker answered a batch. An agent may be alive beside a worker that is not, and
// gangs that are placed there again and again would hold the accelerators of their other members for nothing.
func (g *gangs) listen(b batch, now time.Time) {
	mutes := g.control.board.mutes.Load()
	old, known := mutes.Get(b.worker)
	for _, r := range b.replies {
		if r.Answer() == task.Unanswered {
			continue
		}
		if known {
			g.control.board.mutes.Publish(mutes.Without(b.worker))
		}
		return
	}
	if known && now.Before(old.until) {
		return
	}
	next := mute{pause: min(max(firstMute, 2*old.pause), longestMute)}
	next.until = now.Add(next.pause)
	g.control.board.mutes.Publish(mutes.With(b.worker, next))
	g.control.logger.Warn("worker does not answer orders", "worker", b.worker, "pause", next.pause.String())
}
