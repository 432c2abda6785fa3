package plan

import (
	"maps"
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/job"
)

// hold keeps accelerators for one queued job while the jobs that run on them end.
type hold struct {
	parts []workerPart
	// claim marks a hold within the guarantee of the workspace; it takes precedence over other holds.
	claim bool
	// urgent marks a hold on accelerators that patient jobs release for an urgent job; no job is backfilled on it.
	urgent    bool
	workspace string
	since     time.Time
	// comparedAt is when the hold was last compared with other domains.
	comparedAt time.Time
}

// restoreHolds removes the holds of jobs that are no longer queued and of workers that are not usable, and counts
// the others against the sites.
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
		if !queued[id] || !p.holdUsable(h) {
			delete(p.planner.holds, id)
			continue
		}
		p.countHold(h, 1)
	}
}

// holders returns the IDs of the jobs with a hold, sorted so that equal views give equal decisions.
func (p *Planner) holders() []string { return slices.Sorted(maps.Keys(p.holds)) }

// holdUsable reports whether all workers of the hold are usable.
func (p *pass) holdUsable(h hold) bool {
	for _, a := range h.parts {
		site, ok := p.planner.top.byName[a.worker]
		if !ok || !p.state.sites[site].usable {
			return false
		}
	}
	return true
}

// countHold adds a hold to the use of its sites, or subtracts it if sign is -1.
func (p *pass) countHold(h hold, sign int) {
	for _, a := range h.parts {
		site := p.planner.top.byName[a.worker]
		u := &p.state.sites[site]
		if h.claim {
			u.claimed += sign * a.accelerators
			u.ensureShare(p.state.ownerIndex(h.workspace)).claimed += sign * a.accelerators
		} else {
			u.held += sign * a.accelerators
		}
		p.state.refresh(site)
	}
}

// removeHold removes the job's own hold, so that a search can use its accelerators.
func (p *pass) removeHold(id string) (h hold, ok bool) {
	if h, ok = p.planner.holds[id]; ok {
		p.countHold(h, -1)
		delete(p.planner.holds, id)
	}
	return h, ok
}

// addHold stores the hold of the job and counts it.
func (p *pass) addHold(id string, h hold) {
	p.planner.holds[id] = h
	p.countHold(h, 1)
}

// holdFor holds the given accelerators by site for the job.
func (p *pass) holdFor(q queuedJob, parts map[int32]int, claim bool) {
	h := hold{claim: claim, workspace: q.job.Spec().Workspace(), since: p.now, comparedAt: p.now}
	for _, site := range slices.Sorted(maps.Keys(parts)) {
		h.parts = append(h.parts, workerPart{p.planner.top.sites[site].name, parts[site]})
	}
	p.addHold(q.job.Spec().ID(), h)
}

// dropClaims removes the claims of jobs that are no longer within their workspace's guarantee.
func (p *pass) dropClaims(queue []queuedJob) {
	for _, q := range queue {
		if id := q.job.Spec().ID(); !q.guaranteed && p.planner.holds[id].claim {
			p.removeHold(id)
		}
	}
}

// reservationCount returns the number of holds that are neither claims nor holds for urgent jobs.
func (p *pass) reservationCount() (n int) {
	for _, h := range p.planner.holds {
		if !h.claim && !h.urgent {
			n++
		}
	}
	return n
}
