package plan

import (
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// state is the use of each site by workspace, and two pools that index the free accelerators.
//
// A cell sets accelerators on a site apart for a workspace. What a workspace uses on the site beyond its cell is
// borrowed, first from accelerators that belong to no cell. Workspaces are identified by an index, called the owner.
type state struct {
	top   *topology
	sites []siteUse
	// borrowable holds the free accelerators except those in protected cells; common holds the free accelerators
	// that belong to no cell.
	borrowable, common *pool
	ownerIndexes       map[string]int32
	cells              [][]sitePart
	// protected marks workspaces with a guaranteed job in the queue, from which no other workspace borrows.
	protected map[int32]bool
}

// siteUse is the use of one site, in accelerators. releasing is the use by jobs that are ending, claimed and held
// are kept by holds, and backfilled is used by jobs placed on held accelerators.
type siteUse struct {
	free, releasing int
	claimed, held   int
	backfilled      int
	usable          bool
	shares          []share
}

// share is the part of a site that belongs to one workspace, in accelerators. cell is set apart for the workspace,
// used by its jobs, movable used by its patient jobs that may be reclaimed, releasing used by its jobs that are
// ending, and claimed kept for its queued jobs.
type share struct {
	owner               int32
	cell, used, movable int
	releasing, claimed  int
}

// sitePart is a number of accelerators on one site.
type sitePart struct {
	site         int32
	accelerators int
}

// newState counts the placed jobs of the view.
func newState(top *topology, v View, backfilled map[string]bool, now time.Time) *state {
	s := &state{
		top: top, sites: make([]siteUse, len(top.sites)), borrowable: newPool(top), common: newPool(top),
		ownerIndexes: make(map[string]int32, len(v.workspaces)), protected: map[int32]bool{},
	}
	for _, w := range v.workspaces {
		s.ownerIndex(w.Name())
	}
	for i := range s.sites {
		u := &s.sites[i]
		name := top.sites[i].name
		u.free, u.usable = top.sites[i].capacity, v.usable(name, now)
	}
	for _, j := range v.jobs {
		if j.HoldsAccelerators() {
			s.countJob(j, backfilled[j.Spec().ID()])
		}
	}
	s.deductReported(v, now)
	return s
}

// maxReportAge is the age beyond which a usage report is ignored. Workers report every second, so an older report
// does not reflect the current use.
const maxReportAge = 10 * time.Second

// deductReported reduces the free accelerators of a site to those that its worker does not report in use. The report
// can exceed the use by placed jobs after a change of leader or while a stop has not taken effect.
func (s *state) deductReported(v View, now time.Time) {
	for name, r := range v.usage {
		site, ok := s.top.byName[name]
		if !ok || now.Sub(r.at) > maxReportAge {
			continue
		}
		u, capacity := &s.sites[site], s.top.sites[site].capacity
		u.free = min(u.free, max(0, capacity-r.inUse))
	}
}

// ownerIndex returns the index of a workspace, and adds one for a workspace that is no longer in the configuration.
func (s *state) ownerIndex(name string) int32 {
	o, ok := s.ownerIndexes[name]
	if !ok {
		o = int32(len(s.ownerIndexes))
		s.ownerIndexes[name] = o
		s.cells = append(s.cells, nil)
	}
	return o
}

// countJob adds the members of a placed job to the use of their sites.
func (s *state) countJob(j job.Job, backfilled bool) {
	owner, movable := s.ownerIndex(j.Spec().Workspace()), movable(j.Spec())
	for _, m := range j.Members() {
		site, ok := s.top.byName[m.Worker()]
		if !ok {
			continue
		}
		n := m.Accelerators()
		u := &s.sites[site]
		u.free -= n
		sh := u.ensureShare(owner)
		sh.used += n
		if movable && !j.Releasing() {
			sh.movable += n
		}
		if backfilled {
			u.backfilled += n
		}
		if j.Releasing() {
			u.releasing += n
			sh.releasing += n
		}
	}
}

// movable reports whether an urgent job of the same workspace may displace the job.
func movable(s job.Spec) bool {
	return s.Urgency() == job.Patient && (s.Checkpointable() || s.Idempotent())
}

// ensureShare returns the workspace's share of the site and adds an empty one if there is none.
func (u *siteUse) ensureShare(owner int32) *share {
	for i := range u.shares {
		if u.shares[i].owner == owner {
			return &u.shares[i]
		}
	}
	u.shares = append(u.shares, share{owner: owner})
	return &u.shares[len(u.shares)-1]
}

// shareOf returns a copy of the workspace's share of the site, empty if there is none.
func (u *siteUse) shareOf(owner int32) share {
	for _, sh := range u.shares {
		if sh.owner == owner {
			return sh
		}
	}
	return share{owner: owner}
}

// common returns the unused accelerators that belong to no cell. It is negative if part of a cell is lent.
func (u *siteUse) common(capacity int) int {
	for _, sh := range u.shares {
		capacity -= max(sh.cell, sh.used)
	}
	return capacity
}

// unused returns the part of the cell that the workspace does not use itself.
func (sh share) unused() int { return max(0, sh.cell-sh.used) }

// setCells sets the workspace's cell on all sites.
func (s *state) setCells(owner int32, parts []sitePart) {
	s.cells[owner] = parts
	for _, p := range parts {
		s.sites[p.site].ensureShare(owner).cell += p.accelerators
	}
}

// cellFits reports whether the shape fits into the workspace's cell when the cell is idle.
func (s *state) cellFits(owner int32, shape workspace.Shape) bool {
	members, size := shape.Members(), shape.Accelerators()
	if adjacencyRank(shape) == 0 {
		members, size = 1, shape.Total()
	}
	fits := map[int32]int{}
	for _, c := range s.cells[owner] {
		domain := int32(0)
		switch shape.Adjacency() {
		case workspace.SameWorker:
			domain = c.site
		case workspace.SameRack:
			domain = s.top.sites[c.site].rack
		case workspace.SameZone:
			domain = s.top.sites[c.site].zone
		case workspace.Anywhere:
		}
		if fits[domain] += c.accelerators / size; fits[domain] >= members {
			return true
		}
	}
	return false
}

// refresh recomputes the free counts of one site in both pools.
func (s *state) refresh(site int32) {
	u := &s.sites[site]
	if !u.usable {
		s.borrowable.set(site, 0)
		s.common.set(site, 0)
		return
	}
	free := max(0, u.free-u.claimed-u.heldBack())
	s.borrowable.set(site, max(0, free-s.protectedFree(u)))
	s.common.set(site, max(0, min(free, u.common(s.top.sites[site].capacity))))
}

// heldBack returns the accelerators that a hold keeps from new jobs. Those used by backfilled jobs are not included,
// because these jobs can be checkpointed.
func (u *siteUse) heldBack() int { return max(0, u.held-u.backfilled) }

// protectedFree returns the accelerators of the site that are unused in cells of protected workspaces.
func (s *state) protectedFree(u *siteUse) (n int) {
	if len(s.protected) == 0 {
		return 0
	}
	for _, sh := range u.shares {
		if s.protected[sh.owner] {
			n += sh.unused()
		}
	}
	return n
}

// setProtected sets whether other workspaces are kept from borrowing from the workspace's cell.
func (s *state) setProtected(owner int32, protect bool) {
	if protect {
		s.protected[owner] = true
	} else {
		delete(s.protected, owner)
	}
	for _, c := range s.cells[owner] {
		s.refresh(c.site)
	}
}

// refreshAll recomputes the free counts of all sites.
func (s *state) refreshAll() {
	for i := range s.sites {
		s.refresh(int32(i))
	}
}

// addOwnCell adds the free part of the workspace's own cell to a pool, for a guaranteed job including the part that
// is held. removeOwnCell undoes it.
func (s *state) addOwnCell(p *pool, owner int32, guaranteed bool) {
	for _, c := range s.cells[owner] {
		u := &s.sites[c.site]
		if !u.usable {
			continue
		}
		sh := u.shareOf(owner)
		entitled := max(0, sh.unused()-sh.claimed) + max(0, u.common(s.top.sites[c.site].capacity))
		free := u.free - u.claimed
		if !guaranteed {
			free -= u.heldBack()
		}
		p.set(c.site, max(p.free[c.site], min(free, entitled)))
	}
}

// removeOwnCell recomputes the free counts of the sites of the workspace's cell.
func (s *state) removeOwnCell(owner int32) {
	for _, p := range s.cells[owner] {
		s.refresh(p.site)
	}
}

// members returns the members of a job, given the site of each.
func (s *state) members(sites []int32, shape workspace.Shape) []job.Member {
	members := make([]job.Member, len(sites))
	for i, site := range sites {
		members[i] = job.NewMember(i, s.top.sites[site].name, shape.Accelerators())
	}
	return members
}

// countPlaced counts a job that this pass placed and refreshes its sites.
func (s *state) countPlaced(spec job.Spec, members []job.Member, sites []int32, backfilled bool) {
	s.countJob(job.New(spec).Reserve(0, members), backfilled)
	for _, site := range slices.Compact(slices.Clone(sites)) {
		s.refresh(site)
	}
}
