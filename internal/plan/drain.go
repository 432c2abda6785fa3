package plan

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// reserve keeps a domain for a blocked job until the jobs there end. No new job is placed on it
// but ones that can be reclaimed, so the wait is bounded by the longest real run time there and
// not by declared ones; these only choose between domains. The oldest job reserves
// before all others, because urgent ones that keep arriving would otherwise cover every domain.
func (p *pass) reserve(q waiting) bool {
	shape := q.job.Spec().Shape()
	if shape.Total() == 1 || p.drains() >= p.planner.reservations {
		return false
	}
	if _, ok := p.planner.holds[p.oldest]; !ok && p.oldest != q.job.Spec().ID() {
		return false
	}
	parts := p.soonest(q, false)
	if parts == nil && (!fragile(q.job.Spec()) || !p.fitsSafely(q)) {
		parts = p.soonest(q, true)
	}
	if parts == nil {
		return false
	}
	p.keepFor(q, parts, false)
	return true
}

// opening is the expected time at which a site has room for one more member.
type opening struct {
	site int32
	at   time.Duration
}

// soonest returns the accelerators of the domain that is expected to be free first.
func (p *pass) soonest(q waiting, borrow bool) map[int32]int {
	shape := q.job.Spec().Shape()
	members, size := shape.Members(), shape.Accelerators()
	if reach(shape) == 0 {
		members, size = 1, shape.Total()
	}
	var best []opening
	for _, racks := range p.domains(shape) {
		var all []opening
		for _, r := range racks {
			first, last := p.planner.top.rackSites(r)
			for site := first; site < last; site++ {
				all = append(all, p.openings(q.owner, site, size, borrow)...)
			}
		}
		if len(all) < members {
			continue
		}
		slices.SortStableFunc(all, func(a, b opening) int { return cmp.Compare(a.at, b.at) })
		if all = all[:members]; best == nil || all[members-1].at < best[members-1].at {
			best = all
		}
	}
	if best == nil {
		return nil
	}
	parts := map[int32]int{}
	for _, o := range best {
		parts[o.site] += size
	}
	return parts
}

// domains returns the racks of each domain that the shape may take.
func (p *pass) domains(s workspace.Shape) (domains [][]int32) {
	top := p.planner.top
	switch reach(s) {
	case 0, 1:
		for _, r := range top.allRacks {
			domains = append(domains, []int32{r})
		}
		return domains
	case 2:
		return top.zoneRacks
	default:
		return [][]int32{top.allRacks}
	}
}

// openings returns when each member that the site can ever hold would find room.
func (p *pass) openings(owner, site int32, size int, borrow bool) (all []opening) {
	u := &p.state.sites[site]
	if !u.usable {
		return nil
	}
	room := p.planner.top.sites[site].capacity - u.held - u.claimed
	if !borrow {
		for _, h := range u.shares {
			if h.owner != owner {
				room -= max(0, h.cell-h.claimed)
			}
		}
	}
	if room < size {
		return nil
	}
	running := slices.Clone(p.victimsAt(site))
	slices.SortStableFunc(running, func(a, b *victim) int { return cmp.Compare(p.remaining(a.job), p.remaining(b.job)) })
	free, at := u.free+u.releasing-u.claimed-u.kept(), time.Duration(0)
	for n := size; n <= room; n += size {
		for free < n && len(running) > 0 {
			if !p.chosen[running[0].job.Spec().ID()] {
				free += running[0].on(site)
				at = p.remaining(running[0].job)
			}
			running = running[1:]
		}
		if free < n {
			return all
		}
		all = append(all, opening{site, at})
	}
	return all
}

// remaining estimates how long the job still runs; one that overran its declared time
// is expected to run for as long again.
func (p *pass) remaining(j job.Job) time.Duration {
	began := j.Spec().SubmittedAt()
	if progress, ok := p.view.Progress(j.Spec().ID()); ok {
		began = progress.startedAt
	}
	elapsed := p.now.Sub(began)
	if left := j.Spec().RunTime() - elapsed; left > 0 {
		return left
	}
	return max(elapsed, time.Minute)
}

// backfill places a job on held accelerators when it can be taken off them again at little cost.
func (p *pass) backfill(q waiting) bool {
	spec := q.job.Spec()
	if !spec.Checkpointable() {
		return false
	}
	var held []int32
	for _, id := range p.planner.holders() {
		h := p.planner.holds[id]
		for _, a := range h.parts {
			site := p.planner.top.byName[a.worker]
			u := &p.state.sites[site]
			if n := u.free - u.claimed - p.state.demanded(u); !h.claim && n > 0 {
				p.state.loan.set(site, n)
				held = append(held, site)
			}
		}
	}
	sites := p.state.loan.find(spec.Shape())
	for _, site := range held {
		p.state.refresh(site)
	}
	if sites == nil {
		return false
	}
	p.planner.backfilled[spec.ID()] = true
	p.place(q, sites, "placed on accelerators held for a larger job, until that can start")
	return true
}

// evict reclaims the backfilled jobs on a hold once they are all that it waits for.
func (p *pass) evict(q waiting, h hold) bool {
	var victims []*victim
	for _, a := range h.parts {
		site := p.planner.top.byName[a.worker]
		lacks := a.accelerators - p.available(site)
		for _, v := range p.victimsAt(site) {
			id := v.job.Spec().ID()
			if lacks <= 0 {
				break
			}
			if slices.Contains(victims, v) {
				lacks -= v.on(site)
			} else if p.planner.backfilled[id] && !p.chosen[id] {
				victims = append(victims, v)
				lacks -= v.on(site)
			}
		}
		if lacks > 0 {
			return false
		}
	}
	for _, v := range victims {
		p.price(v)
		p.leave(v)
		p.decide(Reclaim{
			job: v.job.Spec().ID(), method: v.method, beneficiary: q.job.Spec().ID(),
			explanation: fmt.Sprintf("%s, because the larger job %s that the accelerators are held for can start", v.method, q.job.Spec().ID()),
		})
	}
	return true
}
