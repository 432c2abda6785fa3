package dispatch

import (
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

const (
	// lowLatencyRatio is the ratio of tail latency to target below which best-effort tasks speed up; highLatencyRatio is
	// the one at which they slow down.
	lowLatencyRatio  = 0.6
	highLatencyRatio = 0.85
	// paceStep is the increase of the pace, in percent, per paceInterval while the latency is low.
	paceStep     = 10
	paceInterval = time.Second
	// initialPace is the initial pace, in percent, of best-effort tasks on a host with serving tasks.
	initialPace = 30
	// paceRepeatInterval is the interval at which a pace is ordered again, since an order may be lost.
	paceRepeatInterval = 3 * time.Second
	fullPace           = 100
)

// pace is the speed of the best-effort tasks on a host with serving tasks, in percent of full speed.
type pace struct {
	percent   int
	changedAt time.Time
	listedAt  time.Time            // arrival of the list evaluated last
	ordered   map[run.ID]paceOrder // the latest order to each best-effort run
}

type paceOrder struct {
	percent int
	at      time.Time
}

// adjust updates the pace for a new maximum ratio of tail latency to target: it halves or drops to 0 at once, and
// rises by paceStep.
func (p *pace) adjust(now time.Time, maxRatio float64) {
	switch {
	case maxRatio >= 1:
		p.percent, p.changedAt = 0, now
	case maxRatio >= highLatencyRatio:
		p.percent, p.changedAt = p.percent/2, now
	case maxRatio < lowLatencyRatio && now.Sub(p.changedAt) >= paceInterval:
		p.percent, p.changedAt = min(p.percent+paceStep, fullPace), now
	}
}

// adjustPaces slows best-effort tasks on hosts where the tail latency of a serving task nears its target.
func (c *Core) adjustPaces(now time.Time, s batch.State, a *Actions) {
	for _, h := range sortedHosts(c.hosts) {
		if !h.connected || !h.hasCurrentList(c.fencingToken) {
			continue
		}
		maxRatio, serving, bestEffort := c.hostLoad(h, s)
		if len(bestEffort) == 0 {
			h.pace = nil
			continue
		}
		if h.pace == nil {
			h.pace = &pace{percent: fullPace, ordered: map[run.ID]paceOrder{}, changedAt: now}
			if serving {
				h.pace.percent = initialPace
			}
		}
		p := h.pace
		if p.listedAt.Before(h.listedAt) {
			p.listedAt = h.listedAt
			if serving {
				p.adjust(now, maxRatio)
			} else {
				p.percent = fullPace
			}
		}
		c.orderPace(now, h, bestEffort, a)
	}
}

// hostLoad returns the maximum ratio of tail latency to target among a host's serving tasks, whether it has any, and
// its best-effort runs.
func (c *Core) hostLoad(h *host, s batch.State) (maxRatio float64, serving bool, bestEffort []run.ID) {
	for _, r := range h.list.Running() {
		j, known := s.Job(r.ID().Task().Job())
		if !known || r.ID().Task().Step() >= len(j.Spec().Steps()) {
			continue
		}
		step := j.Spec().Steps()[r.ID().Task().Step()]
		switch {
		case step.BestEffort():
			bestEffort = append(bestEffort, r.ID())
		case step.TailLatencyTarget() > 0:
			serving = true
			maxRatio = max(maxRatio, float64(r.Measurement())/float64(step.TailLatencyTarget().Milliseconds()))
		}
	}
	slices.SortFunc(bestEffort, compareIDs)
	return maxRatio, serving, bestEffort
}

// orderPace orders the pace of best-effort runs when it changes, and repeats any pace below full speed.
func (c *Core) orderPace(now time.Time, h *host, bestEffort []run.ID, a *Actions) {
	p := h.pace
	for _, id := range bestEffort {
		last, ordered := p.ordered[id]
		if !ordered {
			last.percent = fullPace
		}
		repeat := p.percent < fullPace && now.Sub(last.at) >= paceRepeatInterval
		if last.percent == p.percent && !repeat {
			continue
		}
		if !h.takeOrderRoom() {
			break
		}
		if last.percent != p.percent {
			c.logDecision(h, now, id, "pace", paceReason(p.percent, last.percent))
		}
		p.ordered[id] = paceOrder{p.percent, now}
		a.orders = append(a.orders, AddressedOrder{h.agent, run.NewPace(id, p.percent)})
	}
	for id := range p.ordered {
		if !h.listsRunning(id) {
			delete(p.ordered, id)
		}
	}
}

func paceReason(percent, before int) string {
	if percent < before {
		return "the tail latency of a serving task nears its target"
	}
	return "the tail latency of the serving tasks is low"
}
