package plan

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// recall is a way to form a shape in the workspace's cell.
type recall struct {
	trial *trial
	needs map[int32]need
	parts map[int32]int
}

// reclaim takes back enough of the workspace's cell for the job; ok is false when the job exceeds the guarantee.
func (p *pass) reclaim(q waiting) (ok bool) {
	if !q.guaranteed {
		return false
	}
	var best *recall
	for _, racks := range p.recallDomains(q) {
		if r := p.recallIn(q, racks); r != nil && (best == nil || r.trial.cost < best.trial.cost) {
			best = r
		}
	}
	if best == nil {
		return false
	}
	if sites := p.ready(best, q.job.Spec().Shape()); sites != nil {
		p.place(q, sites, "placed on the workspace's guaranteed accelerators")
		return true
	}
	p.carryOut(q, best)
	return true
}

// ready returns the site of each member when all accelerators are free already.
func (p *pass) ready(r *recall, s workspace.Shape) (sites []int32) {
	if len(r.trial.victims) > 0 {
		return nil
	}
	return p.spread(r.parts, s)
}

// cleared returns the site of each member when the job's lifted claim is free; it goes before any hold made since.
func (p *pass) cleared(h hold, s workspace.Shape) []int32 {
	if !h.claim {
		return nil
	}
	parts := map[int32]int{}
	for _, a := range h.parts {
		parts[p.planner.top.byName[a.worker]] = a.accelerators
	}
	return p.spread(parts, s)
}

// spread turns free accelerators by site into the site of each member, nil when some are not free.
func (p *pass) spread(parts map[int32]int, s workspace.Shape) (sites []int32) {
	for _, site := range slices.Sorted(maps.Keys(parts)) {
		u := &p.state.sites[site]
		if u.free-u.claimed < parts[site] {
			return nil
		}
		sites = append(sites, slices.Repeat([]int32{site}, parts[site]/s.Accelerators())...)
	}
	return sites
}

// recallDomains returns the groups of racks, or single sites' racks, that hold a part of the cell.
func (p *pass) recallDomains(q waiting) (domains [][]int32) {
	top, seen := p.planner.top, map[int32]bool{}
	for _, c := range p.state.cells[q.owner] {
		s := &top.sites[c.site]
		switch q.job.Spec().Shape().Adjacency() {
		case workspace.SameWorker, workspace.SameRack:
			if !seen[s.rack] {
				domains = append(domains, []int32{s.rack})
			}
			seen[s.rack] = true
		case workspace.SameZone:
			if !seen[s.zone] {
				domains = append(domains, top.zoneRacks[s.zone])
			}
			seen[s.zone] = true
		case workspace.Anywhere:
			return [][]int32{top.allRacks}
		}
	}
	return domains
}

// recallIn forms the shape on free accelerators of no cell in the racks and on the workspace's cell in them.
func (p *pass) recallIn(q waiting, racks []int32) *recall {
	shape := q.job.Spec().Shape()
	members, size := shape.Members(), shape.Accelerators()
	if reach(shape) == 0 {
		members, size = 1, shape.Total()
	}
	r := &recall{
		trial: p.newTrial(q.owner, q.job.Spec().Urgency() == job.Urgent),
		needs: map[int32]need{}, parts: map[int32]int{},
	}
	own := p.ownSites(q, racks, size)
	for _, c := range own {
		p.state.safe.set(c.site, 0)
	}
	for _, site := range p.state.safe.takeSome(racks, members, size) {
		r.parts[site] += size
		members--
	}
	for _, c := range own {
		p.state.refresh(c.site)
	}
	for _, c := range own {
		for n := size; n <= c.accelerators && members > 0; n += size {
			lacks := p.lacks(q.owner, c.site, n)
			if !r.trial.free(c.site, lacks) {
				return nil
			}
			r.parts[c.site], r.needs[c.site] = n, lacks
			members--
		}
	}
	if members > 0 {
		return nil
	}
	r.trial.prune(r.needs)
	return r
}

// lacks returns what must become free on a site of the owner's cell so that it may take n accelerators there.
func (p *pass) lacks(owner, site int32, n int) need {
	if n <= p.state.loan.level[site] {
		return need{}
	}
	h := p.state.sites[site].peek(owner)
	return need{total: n - p.available(site), own: max(0, h.used-h.leaving+h.claimed+n-h.cell)}
}

// available returns what is free or about to become free on the site and not claimed by another owner.
func (p *pass) available(site int32) int {
	u := &p.state.sites[site]
	return u.free + u.releasing - u.claimed
}

// ownSites returns what the job may take on the cell's sites in the racks, the cheapest to free first.
func (p *pass) ownSites(q waiting, racks []int32, size int) (own []cellPart) {
	cost, free := map[int32]time.Duration{}, p.lendable(q)
	for _, c := range p.state.cells[q.owner] {
		u := &p.state.sites[c.site]
		if !u.usable || !slices.Contains(racks, p.planner.top.sites[c.site].rack) {
			continue
		}
		h := u.peek(q.owner)
		n := h.cell - (h.used - h.leaving) - h.claimed
		if q.job.Spec().Urgency() == job.Urgent {
			n += h.movable
		}
		n = max(min(n, h.cell-h.claimed), free.level[c.site])
		if n < size {
			continue
		}
		t := p.newTrial(q.owner, q.job.Spec().Urgency() == job.Urgent)
		if t.free(c.site, p.lacks(q.owner, c.site, size)) {
			own = append(own, cellPart{c.site, n})
			cost[c.site] = t.cost
		}
	}
	slices.SortStableFunc(own, func(a, b cellPart) int { return cmp.Compare(cost[a.site], cost[b.site]) })
	return own
}

// carryOut decides the reclaims and keeps the accelerators for the job.
func (p *pass) carryOut(q waiting, r *recall) {
	id := q.job.Spec().ID()
	total := 0
	for _, v := range r.trial.victims {
		p.leave(v)
		n := v.job.Spec().Shape().Total()
		total += n
		p.decide(Reclaim{
			job: v.job.Spec().ID(), method: v.method, beneficiary: id,
			explanation: fmt.Sprintf("%s of %d accelerators for %s within the guarantee of workspace %s, at a cost of %.0f accelerator-seconds",
				v.method, n, id, q.job.Spec().Workspace(), v.cost.Seconds()),
		})
	}
	p.keepFor(q, r.parts, true)
	if total == 0 {
		p.decide(Wait{id, "waits for jobs that are being stopped on the workspace's guaranteed accelerators"})
		return
	}
	p.decide(Wait{id, fmt.Sprintf("waits for %d accelerators that are reclaimed from %d jobs", total, len(r.trial.victims))})
}

// leave counts a victim's accelerators as about to become free, so that no second owner chooses it.
func (p *pass) leave(v *victim) {
	p.chosen[v.job.Spec().ID()] = true
	for _, c := range v.parts {
		u, n := &p.state.sites[c.site], c.accelerators
		u.releasing += n
		h := u.share(v.owner)
		h.leaving += n
		if movable(v.job.Spec()) {
			h.movable -= n
		}
	}
}
