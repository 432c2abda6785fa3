package plan

import (
	"cmp"
	"fmt"
	"slices"

	"rosemarywind.example/rosemarywind/internal/job"
)

// preemptionBacklogFactor is the multiple of its guaranteed accelerators that the urgent backlog of a workspace must
// exceed before borrowed patient jobs are checkpointed for it. Without this bound, bursts of 8 to 32 jobs on a
// guarantee of 8 accelerators lose 7 of 447 accelerator-hours in planbench, because a checkpoint takes as long as a
// preview.
const preemptionBacklogFactor = 4

// preemption is the part of a pass that deals with urgent backlogs.
type preemption struct {
	// backlog is the number of accelerators, by workspace, of urgent jobs outside the guarantee without an urgent
	// hold.
	backlog map[int32]int
	// releasingSites are sites on which jobs are ending. preemptible are the jobs that may be checkpointed, the
	// cheapest first. collected is set once both are filled.
	releasingSites []int32
	preemptible    []*runningJob
	collected      bool
}

// countBacklog adds an urgent job outside its workspace's guarantee to the backlog, unless it has a hold.
func (p *pass) countBacklog(q queuedJob) {
	if s := q.job.Spec(); s.Urgency() == job.Urgent && !q.guaranteed && !p.planner.holds[s.ID()].urgent {
		p.preemption.backlog[q.owner] += s.Shape().Total()
	}
}

// cellAccelerators returns the number of accelerators of the workspace's cell.
func (s *state) cellAccelerators(owner int32) (n int) {
	for _, c := range s.cells[owner] {
		n += c.accelerators
	}
	return n
}

// preempt checkpoints a borrowed patient job for an urgent job that fits on one worker, unless enough accelerators
// are being released anyway, and holds them for the urgent job.
func (p *pass) preempt(q queuedJob) bool {
	spec, x := q.job.Spec(), &p.preemption
	guarantee := p.state.cellAccelerators(q.owner)
	if spec.Urgency() != job.Urgent || adjacencyRank(spec.Shape()) > 0 || guarantee == 0 ||
		x.backlog[q.owner] <= preemptionBacklogFactor*guarantee || len(p.failedOn[spec.ID()]) > 0 {
		return false
	}
	p.collectPreemptible()
	n := spec.Shape().Total()
	for _, site := range x.releasingSites {
		if p.state.sites[site].usable && p.soonAvailable(site) >= n {
			p.holdForUrgent(q, site)
			return true
		}
	}
	x.preemptible = slices.DeleteFunc(x.preemptible, func(r *runningJob) bool { return !p.borrowed(r) })
	for _, r := range x.preemptible {
		for _, c := range r.parts {
			if p.state.sites[c.site].usable && p.soonAvailable(c.site)+c.accelerators >= n {
				p.preemptJob(r, spec.ID())
				p.holdForUrgent(q, c.site)
				return true
			}
		}
	}
	return false
}

// preemptJob decides the reclaim of a borrowed job.
func (p *pass) preemptJob(r *runningJob, beneficiary string) {
	p.markReleasing(r)
	for _, c := range r.parts {
		p.preemption.releasingSites = append(p.preemption.releasingSites, c.site)
	}
	p.decide(Reclaim{
		job: r.job.Spec().ID(), method: r.method, beneficiary: beneficiary,
		explanation: fmt.Sprintf("%s of %d borrowed accelerators for a backlog of urgent jobs", r.method, r.job.Spec().Shape().Total()),
	})
}

// holdForUrgent holds the urgent job's accelerators on the site.
func (p *pass) holdForUrgent(q queuedJob, site int32) {
	spec := q.job.Spec()
	p.preemption.backlog[q.owner] -= spec.Shape().Total()
	p.addHold(spec.ID(), hold{
		parts:  []workerPart{{p.planner.top.sites[site].name, spec.Shape().Total()}},
		urgent: true, workspace: spec.Workspace(), since: p.now,
	})
	p.decide(Wait{spec.ID(), urgentWaitReason})
}

const urgentWaitReason = "waits for accelerators that patient jobs leave for urgent ones"

// soonAvailable returns the accelerators of the site that are free or being released and not held for any job.
func (p *pass) soonAvailable(site int32) int { return p.available(site) - p.state.sites[site].held }

// collectPreemptible collects the sites on which jobs are ending and the borrowed patient jobs that can be
// checkpointed.
func (p *pass) collectPreemptible() {
	x := &p.preemption
	if x.collected {
		return
	}
	x.collected = true
	for i := range p.state.sites {
		if p.state.sites[i].releasing > 0 {
			x.releasingSites = append(x.releasingSites, int32(i))
		}
		for _, r := range p.runningAt(int32(i)) {
			s := r.job.Spec()
			if r.parts[0].site == int32(i) && s.Urgency() == job.Patient && s.Checkpointable() &&
				p.borrowed(r) && !p.hasUnreachable(r.job) {
				p.setCost(r)
				x.preemptible = append(x.preemptible, r)
			}
		}
	}
	slices.SortFunc(x.preemptible, func(a, b *runningJob) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), b.job.Spec().SubmittedAt().Compare(a.job.Spec().SubmittedAt()),
			cmp.Compare(a.job.Spec().ID(), b.job.Spec().ID()))
	})
}

// borrowed reports whether the job is not yet reclaimed and its workspace exceeds its cell by at least the job's
// accelerators on each of its sites.
func (p *pass) borrowed(r *runningJob) bool {
	return !p.reclaimed[r.job.Spec().ID()] && !slices.ContainsFunc(r.parts, func(c sitePart) bool {
		sh := p.state.sites[c.site].shareOf(r.owner)
		return sh.used-sh.releasing-c.accelerators < sh.cell
	})
}
