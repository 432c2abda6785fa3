package plan

import (
	"maps"
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/job"
)

// hold keeps accelerators for one queued job while other jobs on them end.
type hold struct {
	parts []cellAt
	// claim marks a hold that a guarantee backs; it goes before other holds.
	claim bool
	// urgent marks a hold on what patient jobs leave for an urgent one; nothing is backfilled on it.
	urgent bool
	owner  string
	since  time.Time
	// checked is when other domains were last compared with this one.
	checked time.Time
}

// restoreHolds drops the holds of jobs that no longer wait or whose workers are not usable, and counts the others.
func (p *pass) restoreHolds() {
	queued, running := map[string]bool{}, map[string]bool{}
	for _, j := range p.view.jobs {
		id := j.Spec().ID()
		if _, ok := p.planner.holds[id]; ok && j.State() == job.Queued {
			queued[id] = true
		}
		if p.planner.backfilled[id] && j.Placed() {
			running[id] = true
		}
	}
	for id := range p.planner.backfilled {
		if !running[id] {
			delete(p.planner.backfilled, id)
		}
	}
	for _, id := range p.planner.holders() {
		h := p.planner.holds[id]
		if !queued[id] || !p.sound(h) {
			delete(p.planner.holds, id)
			continue
		}
		p.count(h, 1)
	}
}

// holders returns the jobs with a hold in a fixed order, so that equal views give equal decisions.
func (p *Planner) holders() []string { return slices.Sorted(maps.Keys(p.holds)) }

func (p *pass) sound(h hold) bool {
	for _, a := range h.parts {
		site, ok := p.planner.top.byName[a.worker]
		if !ok || !p.state.sites[site].usable {
			return false
		}
	}
	return true
}

// count adds a hold to the sites, or takes it off when sign is -1.
func (p *pass) count(h hold, sign int) {
	for _, a := range h.parts {
		site := p.planner.top.byName[a.worker]
		u := &p.state.sites[site]
		if h.claim {
			u.claimed += sign * a.accelerators
			u.share(p.state.owner(h.owner)).claimed += sign * a.accelerators
		} else {
			u.held += sign * a.accelerators
		}
		p.state.refresh(site)
	}
}

// lift takes the job's own hold off the sites, so that a search may use them.
func (p *pass) lift(id string) (h hold, ok bool) {
	if h, ok = p.planner.holds[id]; ok {
		p.count(h, -1)
		delete(p.planner.holds, id)
	}
	return h, ok
}

func (p *pass) hold(id string, h hold) {
	p.planner.holds[id] = h
	p.count(h, 1)
}

func (p *pass) keepFor(q waiting, parts map[int32]int, claim bool) {
	h := hold{claim: claim, owner: q.job.Spec().Workspace(), since: p.now, checked: p.now}
	for _, site := range slices.Sorted(maps.Keys(parts)) {
		h.parts = append(h.parts, cellAt{p.planner.top.sites[site].name, parts[site]})
	}
	p.hold(q.job.Spec().ID(), h)
}

// dropClaims ends the claims of jobs that their workspace's guarantee no longer covers.
func (p *pass) dropClaims(queue []waiting) {
	for _, q := range queue {
		if id := q.job.Spec().ID(); !q.guaranteed && p.planner.holds[id].claim {
			p.lift(id)
		}
	}
}

// drains returns the number of holds without a guarantee behind them.
func (p *pass) drains() (n int) {
	for _, h := range p.planner.holds {
		if !h.claim && !h.urgent {
			n++
		}
	}
	return n
}
