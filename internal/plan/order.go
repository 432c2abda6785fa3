package plan

import (
	"cmp"
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/job"
)

// waiting is a queued job with what its order depends on.
type waiting struct {
	job        job.Job
	owner      int32
	guaranteed bool
	aged       bool
}

// order returns the queued jobs: those within their workspace's guarantee, then those
// past the ageing bound, then by urgency, then by age.
func (p *pass) order() []waiting {
	var queue []waiting
	for _, j := range p.view.jobs {
		if j.State() != job.Queued {
			continue
		}
		queue = append(queue, waiting{
			job: j, owner: p.state.owner(j.Spec().Workspace()),
			aged: p.now.Sub(j.Spec().SubmittedAt()) >= p.planner.ageing,
		})
	}
	slices.SortFunc(queue, compareWaiting)
	p.markGuaranteed(queue)
	p.findOldest(queue)
	slices.SortStableFunc(queue, compareWaiting)
	return queue
}

// markGuaranteed marks the jobs that fit into their workspace's cell and that what is left of it suffices for;
// to urgent ones, what its own patient jobs use counts as left. A patient job that fits into the cell and not
// into what is left keeps the workspace's younger patient jobs out of the cell, because these would otherwise
// take it over and over while a larger gang waits: 6 hours in the bench ("large bursts", seed 3).
func (p *pass) markGuaranteed(queue []waiting) {
	room, own := make([]int, len(p.state.cells)), make([]int, len(p.state.cells))
	for o, parts := range p.state.cells {
		for _, c := range parts {
			h := p.state.sites[c.site].peek(int32(o))
			room[o] += h.room()
			own[o] += min(h.movable, h.cell-h.room())
		}
	}
	keptOut := make([]bool, len(p.state.cells))
	for i := range queue {
		q := &queue[i]
		urgent := q.job.Spec().Urgency() == job.Urgent
		n := q.job.Spec().Shape().Total()
		left := room[q.owner]
		if urgent {
			left += own[q.owner]
		}
		if !p.state.cellFits(q.owner, q.job.Spec().Shape()) || (keptOut[q.owner] && !urgent) {
			continue
		}
		if n > left {
			keptOut[q.owner] = keptOut[q.owner] || !urgent
			continue
		}
		q.guaranteed = true
		own[q.owner] -= max(0, n-room[q.owner])
		room[q.owner] = max(0, room[q.owner]-n)
	}
}

// findOldest notes the job that has waited longest of those that neither a guarantee nor any single accelerator serves.
func (p *pass) findOldest(queue []waiting) {
	var since time.Time
	for _, q := range queue {
		s := q.job.Spec()
		if q.guaranteed || s.Shape().Total() == 1 || p.never(s.Shape()) != "" {
			continue
		}
		if p.oldest == "" || s.SubmittedAt().Before(since) || (s.SubmittedAt().Equal(since) && s.ID() < p.oldest) {
			p.oldest, since = s.ID(), s.SubmittedAt()
		}
	}
}

func compareWaiting(a, b waiting) int {
	x, y := a.job.Spec(), b.job.Spec()
	return cmp.Or(
		trueFirst(a.guaranteed, b.guaranteed),
		trueFirst(a.aged, b.aged),
		trueFirst(x.Urgency() == job.Urgent, y.Urgency() == job.Urgent),
		x.SubmittedAt().Compare(y.SubmittedAt()),
		cmp.Compare(x.ID(), y.ID()),
	)
}

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

// waited returns how long the job has been in the queue, in whole seconds.
func waited(j job.Job, now time.Time) time.Duration {
	return now.Sub(j.Spec().SubmittedAt()).Truncate(time.Second)
}
