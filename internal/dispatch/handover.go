package dispatch

import (
	"math"
	"time"

	"rosemarywind.example/rosemarywind/internal/run"
)

const (
	// minSpeedChange is the least change of the logarithm of a worker's speed for which its agent is told again.
	minSpeedChange = 0.1
	// minWeightChange is the factor by which the weight of a speed must have grown for which its agent is told again.
	minWeightChange = 2
	// maxSpeedAge is the age of what the agent was told at which it is told again.
	maxSpeedAge = 5 * time.Minute
)

// toldSpeed is what the agent of a host was told of its worker's speed.
type toldSpeed struct {
	speed   run.Speed
	session uint64
	at      time.Time
}

// outdated reports whether an agent with the given session needs to be told a speed.
func (t toldSpeed) outdated(now time.Time, s run.Speed, session uint64) bool {
	return t.session != session || t.speed.Worker() != s.Worker() || now.Sub(t.at) >= maxSpeedAge ||
		math.Abs(t.speed.Logarithm()-s.Logarithm()) >= minSpeedChange || s.Weight() >= minWeightChange*t.speed.Weight()
}

// withSpeed returns a copy of the renewal of a host's lease that tells the agent the speed of its worker, if that differs
// from what the agent holds. The agent passes it to the next leader.
func (c *Core) withSpeed(now time.Time, h *host, o run.RenewLease) run.RenewLease {
	s, ok := c.speeds.Record(now, o.Incarnation())
	if !ok || !h.toldSpeed.outdated(now, s, h.session) {
		return o
	}
	h.toldSpeed = toldSpeed{speed: s, session: h.session, at: now}
	return o.WithSpeed(s)
}
