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
	if parts, _ := p.choose(q); parts != nil {
		p.keepFor(q, parts, false)
		return true
	}
	return false
}

// choose returns the domain to hold. One that is partly lent is taken when nothing else ever suffices or
// when it is free much sooner.
func (p *pass) choose(q waiting) (parts map[int32]int, at time.Duration) {
	parts, at = p.soonest(q, false)
	if parts != nil && at <= worthMoving || fragile(q.job.Spec()) && p.fitsSafely(q) {
		return parts, at
	}
	if lent, sooner := p.soonest(q, true); lent != nil && (parts == nil || sooner+worthMoving < at) {
		return lent, sooner
	}
	return parts, at
}

// rechoose moves a hold to a domain that has become free much sooner than the held one.
func (p *pass) rechoose(q waiting, old hold) bool {
	if p.now.Sub(old.checked) < recheck {
		return false
	}
	var held time.Duration
	for _, a := range old.parts {
		site := p.planner.top.byName[a.worker]
		all := p.openings(nil, q, site, a.accelerators, true)
		if len(all) == 0 {
			return false
		}
		held = max(held, all[len(all)-1].at)
	}
	if held <= worthMoving {
		return false
	}
	parts, at := p.choose(q)
	if parts == nil || at+worthMoving >= held {
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
func (p *pass) soonest(q waiting, borrow bool) (parts map[int32]int, at time.Duration) {
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
				all = p.openings(all, q, site, size, borrow)
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
		return nil, 0
	}
	parts = map[int32]int{}
	for _, o := range best {
		parts[o.site] += size
	}
	return parts, best[members-1].at
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

// openings adds when each member that the site can ever hold would find room.
func (p *pass) openings(all []opening, q waiting, site int32, size int, borrow bool) []opening {
	u := &p.state.sites[site]
	if !u.usable {
		return all
	}
	room := p.planner.top.sites[site].capacity - u.held - u.claimed
	if !borrow {
		for _, h := range u.shares {
			if h.owner != q.owner {
				room -= max(0, h.cell-h.claimed)
			}
		}
	}
	if room < size {
		return all
	}
	leaving := p.departures(q, site)
	free, at := u.free+u.releasing-u.claimed-u.kept(), time.Duration(0)
	for n := size; n <= room; n += size {
		for free < n && len(leaving) > 0 {
			free += leaving[0].accelerators
			at = leaving[0].at
			leaving = leaving[1:]
		}
		if free < n {
			return all
		}
		all = append(all, opening{site, at})
	}
	return all
}

// departure is the expected end of a job on a site.
type departure struct {
	accelerators int
	at           time.Duration
}

// departures returns the expected ends of the jobs on a site, the earliest first, in a slice that the next call reuses.
func (p *pass) departures(q waiting, site int32) []departure {
	p.leaving = p.leaving[:0]
	for _, v := range p.victimsAt(site) {
		if !p.chosen[v.job.Spec().ID()] {
			p.leaving = append(p.leaving, departure{v.on(site), p.leaves(q, v, site)})
		}
	}
	slices.SortStableFunc(p.leaving, func(a, b departure) int { return cmp.Compare(a.at, b.at) })
	return p.leaving
}

// remaining estimates how long the job still runs; one that overran its declared time
// is expected to run for as long again.
func (p *pass) remaining(v *victim) time.Duration {
	if v.remaining > 0 {
		return v.remaining
	}
	spec := v.job.Spec()
	began := spec.SubmittedAt()
	if progress, ok := p.view.Progress(spec.ID()); ok {
		began = progress.startedAt
	}
	elapsed := p.now.Sub(began)
	if v.remaining = spec.RunTime() - elapsed; v.remaining <= 0 {
		v.remaining = max(elapsed, time.Minute)
	}
	return v.remaining
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
		if h.claim || h.urgent {
			continue
		}
		for _, a := range h.parts {
			site := p.planner.top.byName[a.worker]
			u := &p.state.sites[site]
			if n := u.free - u.claimed - p.state.demanded(u); n > 0 {
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

// evict checkpoints the jobs on a hold once those that may be moved off it are all that it waits for.
func (p *pass) evict(q waiting, h hold) bool {
	var victims []*victim
	var taken []int32
	defer func() { p.refresh(taken) }()
	for _, a := range h.parts {
		site := p.planner.top.byName[a.worker]
		lacks := a.accelerators - p.available(site)
		for _, v := range p.victimsAt(site) {
			if lacks <= 0 {
				break
			}
			if !slices.Contains(victims, v) {
				ok, sites := p.moves(q, v, site)
				taken = append(taken, sites...)
				if !ok {
					continue
				}
				victims = append(victims, v)
			}
			lacks -= v.on(site)
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

// moves reports whether the job may be moved off the hold. One that came before the blocked job must fit
// elsewhere at once, on the sites that are taken off the pool.
func (p *pass) moves(q waiting, v *victim, site int32) (ok bool, sites []int32) {
	if p.chosen[v.job.Spec().ID()] {
		return false, nil
	}
	if p.planner.backfilled[v.job.Spec().ID()] {
		return true, nil
	}
	if !p.displaces(q, v, site) {
		return false, nil
	}
	if overtook(q, v) {
		return true, nil
	}
	shape := v.job.Spec().Shape()
	sites = p.state.loan.find(shape)
	for _, s := range sites {
		p.state.loan.set(s, p.state.loan.level[s]-shape.Accelerators())
	}
	return sites != nil, sites
}

// displaces reports whether a checkpoint of the running job for the blocked one is worth its cost: it is smaller,
// and it is borrowed or of the same workspace.
func (p *pass) displaces(q waiting, v *victim, site int32) bool {
	s := v.job.Spec()
	if !s.Checkpointable() || s.Urgency() == job.Urgent || s.Shape().Total() >= q.job.Spec().Shape().Total() {
		return false
	}
	h := p.state.sites[site].peek(v.owner)
	return v.owner == q.owner || h.used-h.leaving-v.on(site) >= h.cell
}

func overtook(q waiting, v *victim) bool {
	return v.job.Spec().SubmittedAt().After(q.job.Spec().SubmittedAt())
}

// leaves returns when the running job is expected to make room for the blocked one.
func (p *pass) leaves(q waiting, v *victim, site int32) time.Duration {
	if p.displaces(q, v, site) && (overtook(q, v) || p.state.loan.find(v.job.Spec().Shape()) != nil) {
		return min(defaultCheckpointTime, p.remaining(v))
	}
	return p.remaining(v)
}

// worthMoving is the least gain for which a hold moves or borrows; 2, 5 and 20 minutes gave the same
// fragmentation within 0.01 in the bench.
const worthMoving = 10 * time.Minute

// recheck is the period in which a hold is compared with other domains; at 7,200 workers a comparison takes
// about as long as the rest of the decision.
const recheck = time.Minute
