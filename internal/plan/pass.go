package plan

import (
	"fmt"
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// pass is the state of one planning pass over a view.
type pass struct {
	planner        *Planner
	view           View
	now            time.Time
	state          *state
	idleFleet      *pool
	running        [][]*runningJob // by site
	releaseBuffer  []release
	reclaimed      map[string]bool // IDs of the jobs that this pass reclaims
	oldestWaiting  string
	preemption     preemption
	failedOn       map[string][]int32 // sites to avoid, by job
	decisions      []Decision
	blockedReasons map[searchKey]string
	fitsCache      map[searchKey]bool
	rejectReasons  map[workspace.Shape]string // empty for shapes that fit on the idle fleet
}

// searchKey identifies searches that have the same result. A search that failed is not repeated for an equal key,
// because free capacity only shrinks during a pass.
type searchKey struct {
	owner         int32
	shape         workspace.Shape
	lostOnReclaim bool
	urgent        bool
}

// newPass prepares a pass: it quarantines faulty workers, updates the cells and counts the use of each site.
func (p *Planner) newPass(v View, now time.Time) *pass {
	if p.top == nil || !p.top.matches(v.workers) {
		p.top = newTopology(v.workers)
	}
	s := &pass{
		planner: p, view: v, now: now,
		reclaimed:      map[string]bool{},
		fitsCache:      map[searchKey]bool{},
		preemption:     preemption{backlog: map[int32]int{}},
		blockedReasons: map[searchKey]string{}, rejectReasons: map[workspace.Shape]string{},
	}
	s.quarantineFaulty()
	s.collectFailures()
	s.state = newState(p.top, s.view, p.backfilled, now)
	s.updateCells()
	s.restoreHolds()
	s.state.refreshAll()
	return s
}

// matches reports whether the topology was built from exactly these workers.
func (t *topology) matches(workers []fleet.Worker) bool {
	return len(workers) == len(t.source) && (len(workers) == 0 || &workers[0] == &t.source[0] || slices.Equal(workers, t.source))
}

// run decides about guaranteed jobs first: it places them on own and common accelerators, and then by borrowing and
// reclaim. While it does, a guaranteed job does not borrow from other workspaces that have a guaranteed job in the
// queue.
func (p *pass) run() []Decision {
	queue := p.sortedQueue()
	p.dropClaims(queue)
	var guaranteed, others []queuedJob
	for _, q := range queue {
		p.countBacklog(q)
		switch {
		case !q.guaranteed:
			others = append(others, q)
		case !p.placeEarly(q):
			guaranteed = append(guaranteed, q)
		}
	}
	for _, q := range guaranteed {
		p.state.setProtected(q.owner, true)
	}
	for _, q := range guaranteed {
		p.state.setProtected(q.owner, false)
		p.decideJob(q)
		p.state.setProtected(q.owner, true)
	}
	p.resume()
	for _, q := range guaranteed {
		p.state.setProtected(q.owner, false)
	}
	clear(p.blockedReasons)
	for _, q := range others {
		p.decideJob(q)
	}
	return p.decisions
}

// placeEarly places a guaranteed job if that needs neither borrowing nor reclaim, and reports whether it did.
func (p *pass) placeEarly(q queuedJob) bool {
	if p.rejectReason(q.job.Spec().Shape()) != "" {
		return false
	}
	old, held := p.removeHold(q.job.Spec().ID())
	if sites := p.claimedSites(old, q.job.Spec().Shape()); sites != nil {
		p.place(q, sites, "placed on the accelerators that were reclaimed for it")
		return true
	}
	if sites := p.findWithOwnCell(p.state.common, q, (*pool).findInUse); sites != nil {
		p.place(q, sites, "placed on a worker that is in use already")
		return true
	}
	small := adjacencyRank(q.job.Spec().Shape()) == 0 && q.job.Spec().Shape().Total() < p.planner.top.largest
	if sites, how := p.searchCommon(q); sites != nil && !small {
		p.place(q, sites, how)
		return true
	}
	if held {
		p.addHold(q.job.Spec().ID(), old)
	}
	return false
}

func (p *pass) decide(d Decision) { p.decisions = append(p.decisions, d) }

// decideJob decides about one queued job.
func (p *pass) decideJob(q queuedJob) {
	spec := q.job.Spec()
	if reason := p.rejectReason(spec.Shape()); reason != "" {
		if p.view.partial {
			p.decide(Wait{spec.ID(), "waits for more workers to announce themselves: " + reason})
			return
		}
		p.decide(Reject{spec.ID(), reason})
		return
	}
	key := searchKey{q.owner, spec.Shape(), lostOnReclaim(spec), spec.Urgency() == job.Urgent}
	old, held := p.removeHold(spec.ID())
	if reason, ok := p.blockedReasons[key]; ok && !held && len(p.failedOn[spec.ID()]) == 0 {
		p.decide(Wait{spec.ID(), reason})
		return
	}
	if !q.guaranteed && !held && p.savesIdleWorker(q) {
		if sites := p.findInUse(q); sites != nil {
			p.place(q, sites, "placed on a worker that is in use already")
			return
		}
		p.decide(Wait{spec.ID(), fmt.Sprintf("waits up to %s for a worker that is in use already, to keep whole workers free", p.planner.idleWorkerDelay)})
		return
	}
	if sites, how := p.findFree(q); sites != nil {
		if held {
			clear(p.blockedReasons)
		}
		p.place(q, sites, how)
		return
	}
	p.decideBlocked(q, key, old, held && !old.claim)
}

// decideBlocked reclaims, preempts, backfills or reserves for a job that does not fit on the free accelerators.
func (p *pass) decideBlocked(q queuedJob, key searchKey, old hold, held bool) {
	spec := q.job.Spec()
	switch {
	case p.reclaim(q):
		return
	case held && old.urgent:
		p.addHold(spec.ID(), old)
		p.decide(Wait{spec.ID(), urgentWaitReason})
		return
	case held && p.moveHold(q, old):
		p.decide(Wait{spec.ID(), p.shortage(spec.Shape()) + "; another place is now held for it"})
		return
	case held:
		if p.now.Sub(old.comparedAt) >= recheckInterval {
			old.comparedAt = p.now
		}
		p.addHold(spec.ID(), old)
		if p.preemptOnHold(q, old) {
			p.decide(Wait{spec.ID(), "waits for backfilled jobs to leave the accelerators held for it"})
			return
		}
		p.decide(Wait{spec.ID(), fmt.Sprintf("waits for jobs to end on the accelerators held for it on %d workers since %s",
			len(old.parts), old.since.Format(time.RFC3339))})
		return
	case p.preempt(q):
		return
	case p.backfill(q):
		return
	case p.reserve(q):
		p.decide(Wait{spec.ID(), p.shortage(spec.Shape()) + "; a place is now held for it"})
		return
	}
	reason := p.shortage(spec.Shape())
	if excluded := len(p.failedOn[spec.ID()]); excluded > 0 {
		reason += fmt.Sprintf(", and it failed to start on %d workers a short time ago", excluded)
	} else {
		p.blockedReasons[key] = reason
	}
	p.decide(Wait{spec.ID(), reason})
}

// place decides that the job runs on the sites, one site per member.
func (p *pass) place(q queuedJob, sites []int32, how string) {
	spec := q.job.Spec()
	members := p.state.members(sites, spec.Shape())
	p.state.countPlaced(spec, members, sites, p.planner.backfilled[spec.ID()])
	p.decide(Place{spec.ID(), members, fmt.Sprintf("%s after %s in the queue: %s",
		spec.Shape(), timeQueued(q.job, p.now), how)})
}

// findFree searches the free accelerators, first those that no workspace can reclaim.
func (p *pass) findFree(q queuedJob) (sites []int32, how string) {
	if sites = p.findInUse(q); sites != nil {
		return sites, "placed on a worker that is in use already"
	}
	if sites, how = p.searchCommon(q); sites != nil {
		return sites, how
	}
	if sites = p.findWithOwnCell(p.poolFor(q), q, (*pool).find); sites != nil {
		return sites, "placed on accelerators borrowed from idle guarantees"
	}
	return nil, ""
}

// findInUse searches the workers that are already in use. Lent accelerators are included only for a job that can be
// checkpointed.
func (p *pass) findInUse(q queuedJob) []int32 {
	avail := p.state.common
	if q.job.Spec().Checkpointable() {
		avail = p.state.borrowable
	}
	return p.findWithOwnCell(avail, q, (*pool).findInUse)
}

// savesIdleWorker reports whether a small patient job waits longer, to avoid fragmenting an idle worker.
func (p *pass) savesIdleWorker(q queuedJob) bool {
	s := q.job.Spec()
	return s.Urgency() == job.Patient && p.now.Sub(s.SubmittedAt()) < p.planner.idleWorkerDelay &&
		adjacencyRank(s.Shape()) == 0 && s.Shape().Total() < p.planner.top.largest
}

// searchCommon searches the accelerators that no other workspace can reclaim.
func (p *pass) searchCommon(q queuedJob) (sites []int32, how string) {
	return p.findWithOwnCell(p.state.common, q, (*pool).find), "placed on the workspace's own and common accelerators"
}

// findWithOwnCell runs find on the pool with the free part of the workspace's own cell added and the sites that the
// job failed on excluded.
func (p *pass) findWithOwnCell(avail *pool, q queuedJob, find func(*pool, workspace.Shape) []int32) []int32 {
	p.state.addOwnCell(avail, q.owner, q.guaranteed)
	defer p.state.removeOwnCell(q.owner)
	excluded := p.excludeFailed(avail, q.job.Spec().ID())
	defer p.refresh(excluded)
	return find(avail, q.job.Spec().Shape())
}

// lostOnReclaim reports whether a reclaim ends the job for good, because it can be neither checkpointed nor run
// again.
func lostOnReclaim(s job.Spec) bool { return !s.Checkpointable() && !s.Idempotent() }

// poolFor returns the pool that the job may be placed from. A job that a reclaim would end for good borrows only if
// it does not fit elsewhere even on an idle fleet.
func (p *pass) poolFor(q queuedJob) *pool {
	if lostOnReclaim(q.job.Spec()) && p.fitsWithoutBorrowing(q) {
		return p.state.common
	}
	return p.state.borrowable
}

// fitsWithoutBorrowing reports whether the job fits on an otherwise idle fleet without borrowing.
func (p *pass) fitsWithoutBorrowing(q queuedJob) (fits bool) {
	key := searchKey{owner: q.owner, shape: q.job.Spec().Shape()}
	fits, ok := p.fitsCache[key]
	if ok {
		return fits
	}
	defer func() { p.fitsCache[key] = fits }()
	idle := p.planner.top.idlePool(func(int32) bool { return false })
	for i := range p.state.sites {
		u := &p.state.sites[i]
		if !u.usable {
			continue
		}
		n := p.planner.top.sites[i].capacity
		for _, sh := range u.shares {
			if sh.owner != q.owner {
				n -= sh.cell
			}
		}
		idle.set(int32(i), max(0, n))
	}
	return idle.find(q.job.Spec().Shape()) != nil
}
