package plan

import (
	"cmp"
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/job"
)

// queuedJob is a queued job with the properties that determine its order. The owner is the index of its workspace,
// guaranteed marks a job within the guarantee of its workspace, and aged one that has been queued for the ageing
// period.
type queuedJob struct {
	job        job.Job
	owner      int32
	guaranteed bool
	aged       bool
}

// sortedQueue returns the queued jobs: those within their workspace's guarantee first, then those queued for the
// ageing period, then urgent ones, each group in the order of submission.
func (p *pass) sortedQueue() []queuedJob {
	var queue []queuedJob
	for _, j := range p.view.jobs {
		if j.State() != job.Queued {
			continue
		}
		queue = append(queue, queuedJob{
			job: j, owner: p.state.ownerIndex(j.Spec().Workspace()),
			aged: p.now.Sub(j.Spec().SubmittedAt()) >= p.planner.ageing,
		})
	}
	slices.SortFunc(queue, compareQueued)
	p.markGuaranteed(queue)
	p.findOldest(queue)
	slices.SortStableFunc(queue, compareQueued)
	return queue
}

// markGuaranteed marks the jobs that fit into their workspace's cell and into the capacity that is left of it. For
// an urgent job, capacity used by the workspace's movable patient jobs counts as left. A patient job that fits into
// the cell but not into what is left of it excludes the younger patient jobs of the workspace from the cell.
// Otherwise small jobs keep taking the cell while a larger gang waits, for 6 hours in scenario "large bursts" of
// planbench with seed 3.
func (p *pass) markGuaranteed(queue []queuedJob) {
	unused, preemptible := make([]int, len(p.state.cells)), make([]int, len(p.state.cells))
	for o, parts := range p.state.cells {
		for _, c := range parts {
			sh := p.state.sites[c.site].shareOf(int32(o))
			unused[o] += sh.unused()
			preemptible[o] += min(sh.movable, sh.cell-sh.unused())
		}
	}
	excluded := make([]bool, len(p.state.cells))
	for i := range queue {
		q := &queue[i]
		urgent := q.job.Spec().Urgency() == job.Urgent
		n := q.job.Spec().Shape().Total()
		available := unused[q.owner]
		if urgent {
			available += preemptible[q.owner]
		}
		if !p.state.cellFits(q.owner, q.job.Spec().Shape()) || (excluded[q.owner] && !urgent) {
			continue
		}
		if n > available {
			excluded[q.owner] = excluded[q.owner] || !urgent
			continue
		}
		q.guaranteed = true
		preemptible[q.owner] -= max(0, n-unused[q.owner])
		unused[q.owner] = max(0, unused[q.owner]-n)
	}
}

// findOldest records the oldest queued job that is not guaranteed, has more than one accelerator and fits on the
// idle fleet.
func (p *pass) findOldest(queue []queuedJob) {
	var since time.Time
	for _, q := range queue {
		s := q.job.Spec()
		if q.guaranteed || s.Shape().Total() == 1 || p.rejectReason(s.Shape()) != "" {
			continue
		}
		if p.oldestWaiting == "" || s.SubmittedAt().Before(since) ||
			(s.SubmittedAt().Equal(since) && s.ID() < p.oldestWaiting) {
			p.oldestWaiting, since = s.ID(), s.SubmittedAt()
		}
	}
}

// compareQueued orders guaranteed, aged and urgent jobs first, in this precedence, and then by time of submission.
func compareQueued(a, b queuedJob) int {
	x, y := a.job.Spec(), b.job.Spec()
	return cmp.Or(
		trueFirst(a.guaranteed, b.guaranteed),
		trueFirst(a.aged, b.aged),
		trueFirst(x.Urgency() == job.Urgent, y.Urgency() == job.Urgent),
		x.SubmittedAt().Compare(y.SubmittedAt()),
		cmp.Compare(x.ID(), y.ID()),
	)
}

// trueFirst is a comparison function that orders true before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// timeQueued returns how long the job has been queued, in whole seconds.
func timeQueued(j job.Job, now time.Time) time.Duration {
	return now.Sub(j.Spec().SubmittedAt()).Truncate(time.Second)
}
