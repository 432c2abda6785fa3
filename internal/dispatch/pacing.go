package dispatch

import (
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

const (
	// calmShare and busyShare are the parts of its target below which a serving task is at ease, and above which the tasks
	// that fill beside it have to slow down.
	calmShare = 0.6
	busyShare = 0.85
	// paceStep is by how many percent the filling tasks of a host get faster each paceInterval while all is calm.
	paceStep     = 10
	paceInterval = time.Second
	// firstPace is where the filling tasks of a host with serving tasks begin, in percent.
	firstPace = 30
	// paceRepeat is how often the pace is ordered anew, since an order may be lost.
	paceRepeat = 3 * time.Second
	fullPace   = 100
)

// pace is how fast the filling tasks of a host may work beside its serving ones.
type pace struct {
	percent int
	set     time.Time
	listed  time.Time            // the list that was judged last
	ordered map[run.ID]paceOrder // the latest order to each filling run
}

type paceOrder struct {
	percent int
	at      time.Time
}

// adjust takes a new worst ratio of tail latency to target: quickly down, slowly up.
func (p *pace) adjust(now time.Time, worst float64) {
	switch {
	case worst >= 1:
		p.percent, p.set = 0, now
	case worst >= busyShare:
		p.percent, p.set = p.percent/2, now
	case worst < calmShare && now.Sub(p.set) >= paceInterval:
		p.percent, p.set = min(p.percent+paceStep, fullPace), now
	}
}

// pace slows the tasks that fill beside serving ones whose tail latency nears its target.
func (c *Core) pace(now time.Time, s batch.State, a *Actions) {
	for _, h := range sortedHosts(c.hosts) {
		if !h.connected || !h.current(c.fence) {
			continue
		}
		worst, serves, fills := c.burden(h, s)
		if len(fills) == 0 {
			h.pace = nil
			continue
		}
		if h.pace == nil {
			h.pace = &pace{percent: fullPace, ordered: map[run.ID]paceOrder{}, set: now}
			if serves {
				h.pace.percent = firstPace
			}
		}
		p := h.pace
		if p.listed.Before(h.listedAt) {
			p.listed = h.listedAt
			if serves {
				p.adjust(now, worst)
			} else {
				p.percent = fullPace
			}
		}
		c.orderPace(now, h, fills, a)
	}
}

// burden returns the worst ratio of tail latency to target of a host's serving tasks, and its filling runs.
func (c *Core) burden(h *host, s batch.State) (worst float64, serves bool, fills []run.ID) {
	for _, r := range h.list.Running() {
		j, known := s.Job(r.ID().Task().Job())
		if !known || r.ID().Task().Step() >= len(j.Spec().Steps()) {
			continue
		}
		step := j.Spec().Steps()[r.ID().Task().Step()]
		switch {
		case step.BestEffort():
			fills = append(fills, r.ID())
		case step.TailLatencyTarget() > 0:
			serves = true
			worst = max(worst, float64(r.Measurement())/float64(step.TailLatencyTarget().Milliseconds()))
		}
	}
	slices.SortFunc(fills, compareIDs)
	return worst, serves, fills
}

// orderPace tells the filling runs their pace when it has changed, and again after a while unless it is the full one.
func (c *Core) orderPace(now time.Time, h *host, fills []run.ID, a *Actions) {
	p := h.pace
	for _, id := range fills {
		last, ordered := p.ordered[id]
		if !ordered {
			last.percent = fullPace
		}
		repeat := p.percent < fullPace && now.Sub(last.at) >= paceRepeat
		if last.percent == p.percent && !repeat {
			continue
		}
		if last.percent != p.percent {
			c.decide(h, now, id, "pace", paceReason(p.percent, last.percent))
		}
		p.ordered[id] = paceOrder{p.percent, now}
		a.orders = append(a.orders, Addressed{h.agent, run.NewPace(id, p.percent)})
	}
	for id := range p.ordered {
		if !slices.Contains(fills, id) {
			delete(p.ordered, id)
		}
	}
}

func paceReason(percent, before int) string {
	if percent < before {
		return "a serving task nears its target"
	}
	return "serving tasks are at ease"
}
