package plan

import (
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// state is the use of each site by workspace, with two pools that index it.
//
// On each site a cell sets accelerators apart for a workspace. What a workspace
// uses beyond its cells there is borrowed, first from accelerators of no cell.
type state struct {
	top   *topology
	sites []usage
	// loan holds what is free at all, safe what is free and belongs to no cell.
	loan, safe *pool
	owners     map[string]int32
	cells      [][]cellPart
	// demands marks workspaces with a queued job within their guarantee; nobody borrows from them.
	demands map[int32]bool
}

// usage is the use of one site.
type usage struct {
	free, releasing int
	claimed, held   int
	backfilled      int
	usable          bool
	shares          []share
}

// share is a workspace's part of one site. Movable is what its patient jobs use that may be reclaimed,
// leaving is the use that ends soon, and claimed is kept for queued jobs of the workspace.
type share struct {
	owner               int32
	cell, used, movable int
	leaving, claimed    int
}

// cellPart is the part of a cell on one site.
type cellPart struct {
	site         int32
	accelerators int
}

func newState(top *topology, v View, backfilled map[string]bool, now time.Time) *state {
	s := &state{
		top: top, sites: make([]usage, len(top.sites)), loan: newPool(top), safe: newPool(top),
		owners: make(map[string]int32, len(v.workspaces)), demands: map[int32]bool{},
	}
	for _, w := range v.workspaces {
		s.owner(w.Name())
	}
	for i := range s.sites {
		u := &s.sites[i]
		name := top.sites[i].name
		u.free, u.usable = top.sites[i].capacity, v.usable(name, now)
	}
	for _, j := range v.jobs {
		if j.Holds() {
			s.use(j, backfilled[j.Spec().ID()])
		}
	}
	s.holdBack(v, now)
	return s
}

// reportAge is how long a report counts; workers report each second, so an older one says nothing about now.
const reportAge = 10 * time.Second

// holdBack takes accelerators off that a worker reports in use by tasks that no placed job accounts for,
// as after a change of leader or a stop that has not taken effect yet.
func (s *state) holdBack(v View, now time.Time) {
	for name, r := range v.usage {
		site, ok := s.top.byName[name]
		if !ok || now.Sub(r.at) > reportAge {
			continue
		}
		u, capacity := &s.sites[site], s.top.sites[site].capacity
		u.free = min(u.free, max(0, capacity-r.inUse))
	}
}

// owner returns the number of a workspace, also of one that the configuration no longer has.
func (s *state) owner(name string) int32 {
	o, ok := s.owners[name]
	if !ok {
		o = int32(len(s.owners))
		s.owners[name] = o
		s.cells = append(s.cells, nil)
	}
	return o
}

// use counts the members of a placed job.
func (s *state) use(j job.Job, backfilled bool) {
	owner, movable := s.owner(j.Spec().Workspace()), movable(j.Spec())
	for _, m := range j.Members() {
		site, ok := s.top.byName[m.Worker()]
		if !ok {
			continue
		}
		n := m.Accelerators()
		u := &s.sites[site]
		u.free -= n
		h := u.share(owner)
		h.used += n
		if movable && !j.Leaving() {
			h.movable += n
		}
		if backfilled {
			u.backfilled += n
		}
		if j.Leaving() {
			u.releasing += n
			h.leaving += n
		}
	}
}

// movable reports whether an urgent job of the same workspace may take the job's place.
func movable(s job.Spec) bool {
	return s.Urgency() == job.Patient && (s.Checkpointable() || s.Idempotent())
}

func (u *usage) share(owner int32) *share {
	for i := range u.shares {
		if u.shares[i].owner == owner {
			return &u.shares[i]
		}
	}
	u.shares = append(u.shares, share{owner: owner})
	return &u.shares[len(u.shares)-1]
}

// peek returns a copy of the workspace's share without adding one.
func (u *usage) peek(owner int32) share {
	for _, h := range u.shares {
		if h.owner == owner {
			return h
		}
	}
	return share{owner: owner}
}

// common returns the accelerators of no cell that nobody uses, negative when part of a cell is lent.
func (u *usage) common(capacity int) int {
	for _, h := range u.shares {
		capacity -= max(h.cell, h.used)
	}
	return capacity
}

// room returns how much of the workspace's cell it does not use itself.
func (h share) room() int { return max(0, h.cell-h.used) }

// setCells sets the accelerators of a workspace's cell apart.
func (s *state) setCells(owner int32, parts []cellPart) {
	s.cells[owner] = parts
	for _, p := range parts {
		s.sites[p.site].share(owner).cell += p.accelerators
	}
}

// cellFits reports whether the shape fits into the workspace's cell when that is idle.
func (s *state) cellFits(owner int32, shape workspace.Shape) bool {
	members, size := shape.Members(), shape.Accelerators()
	if reach(shape) == 0 {
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

// refresh brings the pools up to date with one site.
func (s *state) refresh(site int32) {
	u := &s.sites[site]
	if !u.usable {
		s.loan.set(site, 0)
		s.safe.set(site, 0)
		return
	}
	free := max(0, u.free-u.claimed-u.kept())
	s.loan.set(site, max(0, free-s.demanded(u)))
	s.safe.set(site, max(0, min(free, u.common(s.top.sites[site].capacity))))
}

// kept returns what new jobs may not take because of a hold; what backfilled jobs use can be taken off them.
func (u *usage) kept() int { return max(0, u.held-u.backfilled) }

// demanded returns what no borrower may take on the site.
func (s *state) demanded(u *usage) (n int) {
	if len(s.demands) == 0 {
		return 0
	}
	for _, h := range u.shares {
		if s.demands[h.owner] {
			n += h.room()
		}
	}
	return n
}

// demand sets whether others may borrow from the workspace's cell.
func (s *state) demand(owner int32, yes bool) {
	if yes {
		s.demands[owner] = true
	} else {
		delete(s.demands, owner)
	}
	for _, c := range s.cells[owner] {
		s.refresh(c.site)
	}
}

func (s *state) refreshAll() {
	for i := range s.sites {
		s.refresh(int32(i))
	}
}

// showOwn adds the free part of the workspace's own cell to a pool, for a job within the guarantee held or not;
// hideOwn takes it off again.
func (s *state) showOwn(p *pool, owner int32, guaranteed bool) {
	for _, c := range s.cells[owner] {
		u := &s.sites[c.site]
		if !u.usable {
			continue
		}
		h := u.peek(owner)
		entitled := max(0, h.room()-h.claimed) + max(0, u.common(s.top.sites[c.site].capacity))
		free := u.free - u.claimed
		if !guaranteed {
			free -= u.kept()
		}
		p.set(c.site, max(p.level[c.site], min(free, entitled)))
	}
}

func (s *state) hideOwn(owner int32) {
	for _, p := range s.cells[owner] {
		s.refresh(p.site)
	}
}

// members turns the site of each member into members of a job.
func (s *state) members(sites []int32, shape workspace.Shape) []job.Member {
	members := make([]job.Member, len(sites))
	for i, site := range sites {
		members[i] = job.NewMember(i, s.top.sites[site].name, shape.Accelerators())
	}
	return members
}

// occupy counts a job that was just placed.
func (s *state) occupy(spec job.Spec, members []job.Member, sites []int32, backfilled bool) {
	s.use(job.New(spec).Reserve(0, members), backfilled)
	for _, site := range slices.Compact(slices.Clone(sites)) {
		s.refresh(site)
	}
}
