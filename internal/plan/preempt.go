package plan

import (
	"cmp"
	"fmt"
	"slices"

	"rosemarywind.example/rosemarywind/internal/job"
)

// deepBacklog is how many times the accelerators of its guarantee a workspace's urgent jobs must wait for
// before borrowed patient jobs are checkpointed for them. Without a bound, bursts of 8 to 32 jobs on a
// guarantee of 8 cost 7 of 447 accelerator-hours in the bench, because a checkpoint takes as long as a preview.
const deepBacklog = 4

// preemption is the work on urgent backlogs in one pass.
type preemption struct {
	// backlog is what urgent jobs beyond each workspace's guarantee ask for and nothing is held for.
	backlog map[int32]int
	// clearing lists sites that jobs leave, yielding the jobs that may be checkpointed, the cheapest first.
	clearing []int32
	yielding []*victim
	listed   bool
}

// countBacklog counts an urgent job beyond its workspace's guarantee.
func (p *pass) countBacklog(q waiting) {
	if s := q.job.Spec(); s.Urgency() == job.Urgent && !q.guaranteed && !p.planner.holds[s.ID()].urgent {
		p.preemption.backlog[q.owner] += s.Shape().Total()
	}
}

// guarantee returns the accelerators of the workspace's cell.
func (s *state) guarantee(owner int32) (n int) {
	for _, c := range s.cells[owner] {
		n += c.accelerators
	}
	return n
}

// preempt checkpoints borrowed patient jobs for an urgent job on one worker, and holds their accelerators for it.
func (p *pass) preempt(q waiting) bool {
	spec, x := q.job.Spec(), &p.preemption
	guarantee := p.state.guarantee(q.owner)
	if spec.Urgency() != job.Urgent || reach(spec.Shape()) > 0 || guarantee == 0 ||
		x.backlog[q.owner] <= deepBacklog*guarantee || len(p.failedOn[spec.ID()]) > 0 {
		return false
	}
	p.listYielding()
	n := spec.Shape().Total()
	for _, site := range x.clearing {
		if p.state.sites[site].usable && p.becoming(site) >= n {
			p.holdUrgent(q, site)
			return true
		}
	}
	x.yielding = slices.DeleteFunc(x.yielding, func(v *victim) bool { return !p.borrowed(v) })
	for _, v := range x.yielding {
		for _, c := range v.parts {
			if p.state.sites[c.site].usable && p.becoming(c.site)+c.accelerators >= n {
				p.yield(v, spec.ID())
				p.holdUrgent(q, c.site)
				return true
			}
		}
	}
	return false
}

func (p *pass) yield(v *victim, beneficiary string) {
	p.leave(v)
	for _, c := range v.parts {
		p.preemption.clearing = append(p.preemption.clearing, c.site)
	}
	p.decide(Reclaim{
		job: v.job.Spec().ID(), method: v.method, beneficiary: beneficiary,
		explanation: fmt.Sprintf("%s of %d borrowed accelerators for a backlog of urgent jobs", v.method, v.job.Spec().Shape().Total()),
	})
}

func (p *pass) holdUrgent(q waiting, site int32) {
	spec := q.job.Spec()
	p.preemption.backlog[q.owner] -= spec.Shape().Total()
	p.hold(spec.ID(), hold{
		parts:  []cellAt{{p.planner.top.sites[site].name, spec.Shape().Total()}},
		urgent: true, owner: spec.Workspace(), since: p.now,
	})
	p.decide(Wait{spec.ID(), urgentWait})
}

const urgentWait = "waits for accelerators that patient jobs leave for urgent ones"

// becoming returns what will be free on the site and is kept for nobody.
func (p *pass) becoming(site int32) int { return p.available(site) - p.state.sites[site].held }

// listYielding lists the sites that jobs leave already, and the patient jobs that a checkpoint can move.
func (p *pass) listYielding() {
	x := &p.preemption
	if x.listed {
		return
	}
	x.listed = true
	for i := range p.state.sites {
		if p.state.sites[i].releasing > 0 {
			x.clearing = append(x.clearing, int32(i))
		}
		for _, v := range p.victimsAt(int32(i)) {
			s := v.job.Spec()
			if v.parts[0].site == int32(i) && s.Urgency() == job.Patient && s.Checkpointable() && p.borrowed(v) && !p.silent(v.job) {
				p.price(v)
				x.yielding = append(x.yielding, v)
			}
		}
	}
	slices.SortFunc(x.yielding, func(a, b *victim) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), b.job.Spec().SubmittedAt().Compare(a.job.Spec().SubmittedAt()),
			cmp.Compare(a.job.Spec().ID(), b.job.Spec().ID()))
	})
}

// borrowed reports whether the job still runs and every part of it lies beyond its workspace's cell.
func (p *pass) borrowed(v *victim) bool {
	return !p.chosen[v.job.Spec().ID()] && !slices.ContainsFunc(v.parts, func(c cellPart) bool {
		h := p.state.sites[c.site].peek(v.owner)
		return h.used-h.leaving-c.accelerators < h.cell
	})
}
