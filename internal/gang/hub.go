package gang

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/lease"
	"rosemarywind.example/rosemarywind/internal/task"
)

const (
	// pingTimeout is three intervals of the pings that members send each second.
	pingTimeout = 3 * time.Second
	// startGracePeriod is how long missing pings are ignored after the first ping of a gang: some members may get their
	// start order only when it is sent a second time, and a restarted hub needs time to receive a ping of each member.
	startGracePeriod = 10 * time.Second
	// gangRetention is the least time for which a hub keeps the state of a gang after its last ping; the state is
	// evicted only when the first ping of another gang arrives.
	gangRetention = time.Minute
)

// Hub decides from the pings of the members of gangs whether each gang is whole, is broken or has succeeded. It is not
// safe for concurrent use.
type Hub struct {
	gangs map[gangKey]*gangState
}

// gangKey identifies one reservation of a job.
type gangKey struct {
	job          string
	fencingToken lease.FencingToken
}

// gangState is what the hub knows from the pings of one gang; maps are keyed by the index of the member.
type gangState struct {
	firstPingAt  time.Time
	lastPingAt   time.Time
	memberPingAt map[int]time.Time
	succeeded    map[int]bool
	memberEnded  bool // a member has failed, stopped or expired
}

// NewHub returns a hub without gangs; a gang is added by its first ping.
func NewHub() *Hub { return &Hub{gangs: map[gangKey]*gangState{}} }

// RecordPing records a ping that arrived at now and returns the verdict on the gang.
func (h *Hub) RecordPing(p task.Ping, now time.Time) task.Verdict {
	k := gangKey{p.Report().ID().Job(), p.FencingToken()}
	g, ok := h.gangs[k]
	if !ok {
		h.evictIdle(now)
		g = &gangState{firstPingAt: now, memberPingAt: map[int]time.Time{}, succeeded: map[int]bool{}}
		h.gangs[k] = g
	}
	i := p.Report().ID().Index()
	g.memberPingAt[i], g.lastPingAt = now, now
	switch p.Report().State() {
	case task.Succeeded:
		g.succeeded[i] = true
	case task.Failed, task.Stopped, task.Expired:
		g.memberEnded = true
	case task.Reserved, task.Running:
	}
	return g.verdict(p.Members(), now)
}

func (g *gangState) verdict(members int, now time.Time) task.Verdict {
	if g.memberEnded {
		return task.Broken
	}
	if len(g.succeeded) == members {
		return task.AllSucceeded
	}
	if now.Before(g.firstPingAt.Add(startGracePeriod)) {
		return task.Whole
	}
	for i := range members {
		if !g.succeeded[i] && !now.Before(g.memberPingAt[i].Add(pingTimeout)) {
			return task.Broken
		}
	}
	return task.Whole
}

func (h *Hub) evictIdle(now time.Time) {
	for k, g := range h.gangs {
		if !now.Before(g.lastPingAt.Add(gangRetention)) {
			delete(h.gangs, k)
		}
	}
}

// Watchdog decides from the hub's verdicts whether a member must stop; it is immutable.
type Watchdog struct {
	lastConfirmed time.Time
	broken        bool
}

// NewWatchdog returns the watchdog of a member that sends its first ping at now.
func NewWatchdog(now time.Time) Watchdog { return Watchdog{lastConfirmed: now} }

// WithVerdict returns the watchdog after a verdict in reply to a ping that was sent at sentAt.
func (w Watchdog) WithVerdict(v task.Verdict, sentAt time.Time) Watchdog {
	switch v {
	case task.Whole, task.AllSucceeded:
		w.lastConfirmed = sentAt
	case task.Broken:
		w.broken = true
	}
	return w
}

// MustStop reports whether the gang was broken at any time, or the hub has not confirmed it within pingTimeout.
func (w Watchdog) MustStop(now time.Time) bool {
	return w.broken || !now.Before(w.lastConfirmed.Add(pingTimeout))
}
