package gang

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/lease"
	"rosemarywind.example/rosemarywind/internal/task"
)

const (
	// watchSilence is three missed pings of one second.
	watchSilence = 3 * time.Second
	// startGrace covers the start orders of a gang, which may be sent twice, and a restart of the hub.
	startGrace = 10 * time.Second
	// forgetAfter is how long a hub remembers a gang that nobody tells of.
	forgetAfter = time.Minute
)

// Hub decides whether gangs are whole from what their members tell it; one goroutine at a time may use it.
type Hub struct {
	gangs map[gangKey]*heard
}

// gangKey is one reservation of a job.
type gangKey struct {
	job   string
	fence lease.FencingToken
}

// heard is what the members of one gang told.
type heard struct {
	first     time.Time
	latest    time.Time
	at        map[int]time.Time
	succeeded map[int]bool
	broken    bool
}

// NewHub returns a hub that has heard nothing.
func NewHub() *Hub { return &Hub{gangs: map[gangKey]*heard{}} }

// Hear takes a ping and returns the verdict on the gang.
func (h *Hub) Hear(p task.Ping, now time.Time) task.Verdict {
	k := gangKey{p.Report().ID().Job(), p.Fence()}
	g, ok := h.gangs[k]
	if !ok {
		h.forget(now)
		g = &heard{first: now, at: map[int]time.Time{}, succeeded: map[int]bool{}}
		h.gangs[k] = g
	}
	i := p.Report().ID().Index()
	g.at[i], g.latest = now, now
	switch p.Report().State() {
	case task.Succeeded:
		g.succeeded[i] = true
	case task.Failed, task.Stopped, task.Expired:
		g.broken = true
	case task.Reserved, task.Running:
	}
	return g.verdict(p.Members(), now)
}

func (g *heard) verdict(members int, now time.Time) task.Verdict {
	if g.broken {
		return task.Broken
	}
	if len(g.succeeded) == members {
		return task.Over
	}
	if now.Before(g.first.Add(startGrace)) {
		return task.Whole
	}
	for i := range members {
		if !g.succeeded[i] && !now.Before(g.at[i].Add(watchSilence)) {
			return task.Broken
		}
	}
	return task.Whole
}

func (h *Hub) forget(now time.Time) {
	for k, g := range h.gangs {
		if !now.Before(g.latest.Add(forgetAfter)) {
			delete(h.gangs, k)
		}
	}
}

// Pulse decides whether a member may go on from what the hub answers; it is immutable.
type Pulse struct {
	whole  time.Time
	broken bool
}

// NewPulse returns the pulse of a member that begins to ping.
func NewPulse(now time.Time) Pulse { return Pulse{whole: now} }

// WithVerdict returns the pulse after an answer to a ping that was sent at the given time.
func (p Pulse) WithVerdict(v task.Verdict, asked time.Time) Pulse {
	switch v {
	case task.Whole, task.Over:
		p.whole = asked
	case task.Broken:
		p.broken = true
	}
	return p
}

// Lost reports whether the member must stop.
func (p Pulse) Lost(now time.Time) bool { return p.broken || !now.Before(p.whole.Add(watchSilence)) }
