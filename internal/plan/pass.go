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
	planner   *Planner
	view      View
	now       time.Time
	state     *state
	idle      *pool
	decisions []Decision
	blocked   map[attempt]string
	reasons   map[workspace.Shape]string
}

// attempt is what the success of a search depends on; free capacity only shrinks during a pass.
type attempt struct {
	owner   int32
	shape   workspace.Shape
	fragile bool
}

func (p *Planner) begin(v View, now time.Time) *pass {
	if p.top == nil || !p.top.describes(v.workers) {
		p.top = newTopology(v.workers)
	}
	s := &pass{
		planner: p, view: v, now: now,
		blocked: map[attempt]string{}, reasons: map[workspace.Shape]string{},
	}
	s.findFaulty()
	s.state = newState(p.top, s.view, now)
	s.settleCells()
	s.state.refreshAll()
	return s
}

// describes reports whether the topology was built from exactly these workers.
func (t *topology) describes(workers []fleet.Worker) bool {
	return len(workers) == len(t.source) && (len(workers) == 0 || &workers[0] == &t.source[0] || slices.Equal(workers, t.source))
}

func (p *pass) run() []Decision {
	for _, q := range p.order() {
		p.consider(q)
	}
	return p.decisions
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
	key := attempt{q.owner, spec.Shape(), fragile(spec)}
	if reason, ok := p.blocked[key]; ok {
		p.decide(Wait{spec.ID(), reason})
		return
	}
	if sites, how := p.search(q); sites != nil {
		p.place(q, sites, how)
		return
	}
	p.blocked[key] = p.shortage(spec.Shape())
	p.decide(Wait{spec.ID(), p.blocked[key]})
}

func (p *pass) place(q waiting, sites []int32, how string) {
	spec := q.job.Spec()
	members := p.state.members(sites, spec.Shape())
	p.state.occupy(spec, members, sites)
	p.decide(Place{spec.ID(), members, fmt.Sprintf("%s after %s in the queue: %s", spec.Shape(), waited(q.job, p.now), how)})
}

// search looks for free accelerators, those that no owner can reclaim first.
func (p *pass) search(q waiting) (sites []int32, how string) {
	spec := q.job.Spec()
	p.state.showOwn(q.owner)
	sites = p.state.safe.find(spec.Shape())
	p.state.hideOwn(q.owner)
	if sites != nil {
		return sites, "placed on the workspace's own and common accelerators"
	}
	if fragile(spec) && p.fitsSafely(q) {
		return nil, ""
	}
	if sites = p.state.loan.find(spec.Shape()); sites != nil {
		return sites, "placed on accelerators borrowed from idle guarantees"
	}
	return nil, ""
}

// fragile reports whether a reclaim would lose the job, because it can neither be checkpointed nor run again.
func fragile(s job.Spec) bool { return !s.Checkpointable() && !s.Idempotent() }

// fitsSafely reports whether the job fits without borrowing on a fleet that is otherwise idle.
func (p *pass) fitsSafely(q waiting) bool {
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
