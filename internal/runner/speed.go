package runner

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/run"
)

// heldSpeed is what a leader has told the agent of its worker's speed, for the next leader.
type heldSpeed struct {
	speed run.Speed
	at    time.Time
	known bool
}

// withSpeed returns a copy of a report with the speed of the worker, if the agent was told one.
func (h heldSpeed) withSpeed(now time.Time, r run.Report) run.Report {
	if !h.known {
		return r
	}
	return r.WithSpeed(h.speed.Older(now.Sub(h.at)))
}

// holdSpeed keeps what a renewal of the lease says of the worker's speed.
func (l *loop) holdSpeed(now time.Time, o run.RenewLease) {
	if s, ok := o.Speed(); ok {
		l.speed.Publish(heldSpeed{speed: s, at: now, known: true})
	}
}
