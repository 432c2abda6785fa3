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

// reclaimOption is one way to place a job in its workspace's cell: the jobs to reclaim, what must become free on
// each site, and the accelerators that the job takes on each site.
type reclaimOption struct {
	set   *reclaimSet
	needs map[int32]need
	parts map[int32]int
}

// reclaim takes back enough of the workspace's cell for the job. It reports false if the job is not guaranteed or no
// set of reclaims suffices.
func (p *pass) reclaim(q queuedJob) (ok bool) {
	if !q.guaranteed {
		return false
	}
	var best *reclaimOption
	for _, racks := range p.reclaimDomains(q) {
		if o := p.reclaimIn(q, racks); o != nil && (best == nil || o.set.cost < best.set.cost) {
			best = o
		}
	}
	if best == nil {
		return false
	}
	if sites := p.freeSites(best, q.job.Spec().Shape()); sites != nil {
		p.place(q, sites, "placed on the workspace's guaranteed accelerators")
		return true
	}
	p.carryOut(q, best)
	return true
}

// freeSites returns the site of each member if the option needs no reclaim and all its accelerators are free,
// otherwise nil.
func (p *pass) freeSites(o *reclaimOption, s workspace.Shape) (sites []int32) {
	if len(o.set.jobs) > 0 {
		return nil
	}
	return p.memberSites(o.parts, s)
}

// claimedSites returns the site of each member if all accelerators of the job's removed claim are free, otherwise
// nil. The claim takes precedence over holds made after it.
func (p *pass) claimedSites(h hold, s workspace.Shape) []int32 {
	if !h.claim {
		return nil
	}
	parts := map[int32]int{}
	for _, a := range h.parts {
		parts[p.planner.top.byName[a.worker]] = a.accelerators
	}
	return p.memberSites(parts, s)
}

// memberSites returns the site of each member for a number of accelerators by site, or nil if some of these are not
// free.
func (p *pass) memberSites(parts map[int32]int, s workspace.Shape) (sites []int32) {
	for _, site := range slices.Sorted(maps.Keys(parts)) {
		u := &p.state.sites[site]
		if u.free-u.claimed < parts[site] {
			return nil
		}
		sites = append(sites, slices.Repeat([]int32{site}, parts[site]/s.Accelerators())...)
	}
	return sites
}

// reclaimDomains returns the racks of each domain that contains a part of the cell; for a shape on one worker, the
// domains are racks.
func (p *pass) reclaimDomains(q queuedJob) (domains [][]int32) {
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

// reclaimIn returns an option that places the shape on free accelerators of no cell in the racks and on the
// workspace's cell in them, or nil if it does not fit.
func (p *pass) reclaimIn(q queuedJob, racks []int32) *reclaimOption {
	shape := q.job.Spec().Shape()
	members, size := shape.Members(), shape.Accelerators()
	if adjacencyRank(shape) == 0 {
		members, size = 1, shape.Total()
	}
	o := &reclaimOption{
		set:   p.newReclaimSet(q.owner, q.job.Spec().Urgency() == job.Urgent),
		needs: map[int32]need{}, parts: map[int32]int{},
	}
	own := p.ownSites(q, racks, size)
	for _, c := range own {
		p.state.common.set(c.site, 0)
	}
	for _, site := range p.state.common.takeUpTo(racks, members, size) {
		o.parts[site] += size
		members--
	}
	for _, c := range own {
		p.state.refresh(c.site)
	}
	for _, c := range own {
		for n := size; n <= c.accelerators && members > 0; n += size {
			missing := p.needFor(q.owner, c.site, n)
			if !o.set.freeUp(c.site, missing) {
				return nil
			}
			o.parts[c.site], o.needs[c.site] = n, missing
			members--
		}
	}
	if members > 0 {
		return nil
	}
	o.set.prune(o.needs)
	return o
}

// needFor returns what must become free on a site of the owner's cell before the owner can take n accelerators
// there.
func (p *pass) needFor(owner, site int32, n int) need {
	if n <= p.state.borrowable.free[site] {
		return need{}
	}
	sh := p.state.sites[site].shareOf(owner)
	return need{total: n - p.available(site), own: max(0, sh.used-sh.releasing+sh.claimed+n-sh.cell)}
}

// available returns the accelerators of the site that are free or being released and not claimed.
func (p *pass) available(site int32) int {
	u := &p.state.sites[site]
	return u.free + u.releasing - u.claimed
}

// ownSites returns the accelerators that the job may take on each site of the workspace's cell in the racks, the
// sites that are cheapest to free first.
func (p *pass) ownSites(q queuedJob, racks []int32, size int) (own []sitePart) {
	cost, avail := map[int32]time.Duration{}, p.poolFor(q)
	for _, c := range p.state.cells[q.owner] {
		u := &p.state.sites[c.site]
		if !u.usable || !slices.Contains(racks, p.planner.top.sites[c.site].rack) {
			continue
		}
		sh := u.shareOf(q.owner)
		n := sh.cell - (sh.used - sh.releasing) - sh.claimed
		if q.job.Spec().Urgency() == job.Urgent {
			n += sh.movable
		}
		n = max(min(n, sh.cell-sh.claimed), avail.free[c.site])
		if n < size {
			continue
		}
		set := p.newReclaimSet(q.owner, q.job.Spec().Urgency() == job.Urgent)
		if set.freeUp(c.site, p.needFor(q.owner, c.site, size)) {
			own = append(own, sitePart{c.site, n})
			cost[c.site] = set.cost
		}
	}
	slices.SortStableFunc(own, func(a, b sitePart) int { return cmp.Compare(cost[a.site], cost[b.site]) })
	return own
}

// carryOut decides the reclaims of the option and claims its accelerators for the job.
func (p *pass) carryOut(q queuedJob, o *reclaimOption) {
	id := q.job.Spec().ID()
	total := 0
	for _, r := range o.set.jobs {
		p.markReleasing(r)
		n := r.job.Spec().Shape().Total()
		total += n
		p.decide(Reclaim{
			job: r.job.Spec().ID(), method: r.method, beneficiary: id,
			explanation: fmt.Sprintf("%s of %d accelerators for %s within the guarantee of workspace %s, at a cost of %.0f accelerator-seconds",
				r.method, n, id, q.job.Spec().Workspace(), r.cost.Seconds()),
		})
	}
	p.holdFor(q, o.parts, true)
	if total == 0 {
		p.decide(Wait{id, "waits for jobs that are being stopped on the workspace's guaranteed accelerators"})
		return
	}
	p.decide(Wait{id, fmt.Sprintf("waits for %d accelerators that are reclaimed from %d jobs", total, len(o.set.jobs))})
}

// markReleasing counts the accelerators of a reclaimed job as being released, so that no other job of the pass
// reclaims it again.
func (p *pass) markReleasing(r *runningJob) {
	p.reclaimed[r.job.Spec().ID()] = true
	for _, c := range r.parts {
		u, n := &p.state.sites[c.site], c.accelerators
		u.releasing += n
		sh := u.ensureShare(r.owner)
		sh.releasing += n
		if movable(r.job.Spec()) {
			sh.movable -= n
		}
	}
}
