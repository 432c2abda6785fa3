package plan

import (
	"fmt"
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// pass is the work on one view.
type pass struct {
	planner    *Planner
	view       View
	now        time.Time
	state      *state
	idle       *pool
	running    [][]*victim
	leaving    []departure
	chosen     map[string]bool
	oldest     string
	preemption preemption
	failedOn   map[string][]int32
	decisions  []Decision
	blocked    map[attempt]string
	fitting    map[attempt]bool
	reasons    map[workspace.Shape]string
}

// attempt is what the success of a search depends on; free capacity only shrinks during a pass.
type attempt struct {
	owner   int32
	shape   workspace.Shape
	fragile bool
	urgent  bool
}

func (p *Planner) begin(v View, now time.Time) *pass {
	if p.top == nil || !p.top.describes(v.workers) {
		p.top = newTopology(v.workers)
	}
	s := &pass{
		planner: p, view: v, now: now,
		chosen:     map[string]bool{},
		fitting:    map[attempt]bool{},
		preemption: preemption{backlog: map[int32]int{}},
		blocked:    map[attempt]string{}, reasons: map[workspace.Shape]string{},
	}
	s.findFaulty()
	s.findFailures()
	s.state = newState(p.top, s.view, p.backfilled, now)
	s.settleCells()
	s.restoreHolds()
	s.state.refreshAll()
	return s
}

// describes reports whether the topology was built from exactly these workers.
func (t *topology) describes(workers []fleet.Worker) bool {
	return len(workers) == len(t.source) && (len(workers) == 0 || &workers[0] == &t.source[0] || slices.Equal(workers, t.source))
}

// run serves jobs within guarantees first: on own and common accelerators, then by borrowing and reclaim.
// Nobody borrows from a workspace whose own job still waits for its guarantee.
func (p *pass) run() []Decision {
	queue := p.order()
	p.dropClaims(queue)
	var entitled, others []waiting
	for _, q := range queue {
		p.countBacklog(q)
		switch {
		case !q.guaranteed:
			others = append(others, q)
		case !p.early(q):
			entitled = append(entitled, q)
		}
	}
	for _, q := range entitled {
		p.state.demand(q.owner, true)
	}
	for _, q := range entitled {
		p.state.demand(q.owner, false)
		p.consider(q)
		p.state.demand(q.owner, true)
	}
	p.resume()
	for _, q := range entitled {
		p.state.demand(q.owner, false)
	}
	clear(p.blocked)
	for _, q := range others {
		p.consider(q)
	}
	return p.decisions
}

// early places a job within its guarantee when that needs neither borrowing nor reclaim.
func (p *pass) early(q waiting) bool {
	if p.never(q.job.Spec().Shape()) != "" {
		return false
	}
	old, holds := p.lift(q.job.Spec().ID())
	if sites := p.cleared(old, q.job.Spec().Shape()); sites != nil {
		p.place(q, sites, "placed on the accelerators that were reclaimed for it")
		return true
	}
	if sites := p.findWithOwn(p.state.safe, q, (*pool).findBroken); sites != nil {
		p.place(q, sites, "placed on a worker that is in use already")
		return true
	}
	small := reach(q.job.Spec().Shape()) == 0 && q.job.Spec().Shape().Total() < p.planner.top.largest
	if sites, how := p.searchSafe(q); sites != nil && !small {
		p.place(q, sites, how)
		return true
	}
	if holds {
		p.hold(q.job.Spec().ID(), old)
	}
	return false
}

func (p *pass) decide(d Decision) { p.decisions = append(p.decisions, d) }

// consider decides about one queued job.
func (p *pass) consider(q waiting) {
	spec := q.job.Spec()
	if reason := p.never(spec.Shape()); reason != "" {
		if p.view.partial {
			p.decide(Wait{spec.ID(), "waits for more workers to announce themselves: " + reason})
			return
		}
		p.decide(Reject{spec.ID(), reason})
		return
	}
	key := attempt{q.owner, spec.Shape(), fragile(spec), spec.Urgency() == job.Urgent}
	old, holds := p.lift(spec.ID())
	if reason, ok := p.blocked[key]; ok && !holds && len(p.failedOn[spec.ID()]) == 0 {
		p.decide(Wait{spec.ID(), reason})
		return
	}
	if !q.guaranteed && !holds && p.sparing(q) {
		if sites := p.findBroken(q); sites != nil {
			p.place(q, sites, "placed on a worker that is in use already")
			return
		}
		p.decide(Wait{spec.ID(), fmt.Sprintf("waits up to %s for a worker that is in use already, to keep whole workers free", p.planner.sparing)})
		return
	}
	if sites, how := p.search(q); sites != nil {
		if holds {
			clear(p.blocked)
		}
		p.place(q, sites, how)
		return
	}
	p.block(q, key, old, holds && !old.claim)
}

// block reclaims, backfills or reserves for a job that finds no free accelerators.
func (p *pass) block(q waiting, key attempt, old hold, holds bool) {
	spec := q.job.Spec()
	switch {
	case p.reclaim(q):
		return
	case holds && old.urgent:
		p.hold(spec.ID(), old)
		p.decide(Wait{spec.ID(), urgentWait})
		return
	case holds && p.rechoose(q, old):
		p.decide(Wait{spec.ID(), p.shortage(spec.Shape()) + "; another place is now held for it"})
		return
	case holds:
		if p.now.Sub(old.checked) >= recheck {
			old.checked = p.now
		}
		p.hold(spec.ID(), old)
		if p.evict(q, old) {
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
	if avoided := len(p.failedOn[spec.ID()]); avoided > 0 {
		reason += fmt.Sprintf(", and it failed to start on %d workers a short time ago", avoided)
	} else {
		p.blocked[key] = reason
	}
	p.decide(Wait{spec.ID(), reason})
}

func (p *pass) place(q waiting, sites []int32, how string) {
	spec := q.job.Spec()
	members := p.state.members(sites, spec.Shape())
	p.state.occupy(spec, members, sites, p.planner.backfilled[spec.ID()])
	p.decide(Place{spec.ID(), members, fmt.Sprintf("%s after %s in the queue: %s", spec.Shape(), waited(q.job, p.now), how)})
}

// search looks for free accelerators, those that no owner can reclaim first.
func (p *pass) search(q waiting) (sites []int32, how string) {
	if sites = p.findBroken(q); sites != nil {
		return sites, "placed on a worker that is in use already"
	}
	if sites, how = p.searchSafe(q); sites != nil {
		return sites, how
	}
	if sites = p.findWithOwn(p.lendable(q), q, (*pool).find); sites != nil {
		return sites, "placed on accelerators borrowed from idle guarantees"
	}
	return nil, ""
}

// findBroken looks for room on a worker that is in use already, on lent accelerators only for
// a job that can be checkpointed.
func (p *pass) findBroken(q waiting) []int32 {
	free := p.state.safe
	if q.job.Spec().Checkpointable() {
		free = p.state.loan
	}
	return p.findWithOwn(free, q, (*pool).findBroken)
}

// sparing reports whether a small patient job still waits rather than break a whole idle worker.
func (p *pass) sparing(q waiting) bool {
	s := q.job.Spec()
	return s.Urgency() == job.Patient && p.now.Sub(s.SubmittedAt()) < p.planner.sparing &&
		reach(s.Shape()) == 0 && s.Shape().Total() < p.planner.top.largest
}

func (p *pass) searchSafe(q waiting) (sites []int32, how string) {
	return p.findWithOwn(p.state.safe, q, (*pool).find), "placed on the workspace's own and common accelerators"
}

func (p *pass) findWithOwn(free *pool, q waiting, find func(*pool, workspace.Shape) []int32) []int32 {
	p.state.showOwn(free, q.owner, q.guaranteed)
	defer p.state.hideOwn(q.owner)
	avoided := p.avoid(free, q.job.Spec().ID())
	defer p.refresh(avoided)
	return find(free, q.job.Spec().Shape())
}

// fragile reports whether a reclaim would lose the job, because it can neither be checkpointed nor run again.
func fragile(s job.Spec) bool { return !s.Checkpointable() && !s.Idempotent() }

// lendable returns the pool that the job may take from. A job that a reclaim would lose
// borrows only when it fits nowhere else even on an idle fleet.
func (p *pass) lendable(q waiting) *pool {
	if fragile(q.job.Spec()) && p.fitsSafely(q) {
		return p.state.safe
	}
	return p.state.loan
}

// fitsSafely reports whether the job fits without borrowing on a fleet that is otherwise idle.
func (p *pass) fitsSafely(q waiting) (fits bool) {
	key := attempt{owner: q.owner, shape: q.job.Spec().Shape()}
	fits, ok := p.fitting[key]
	if ok {
		return fits
	}
	defer func() { p.fitting[key] = fits }()
	idle := p.planner.top.idle(func(int32) bool { return false })
	for i := range p.state.sites {
		u := &p.state.sites[i]
		if !u.usable {
			continue
		}
		n := p.planner.top.sites[i].capacity
		for _, h := range u.shares {
			if h.owner != q.owner {
				n -= h.cell
			}
		}
		idle.set(int32(i), max(0, n))
	}
	return idle.find(q.job.Spec().Shape()) != nil
}
