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
	room := make([]int, len(p.state.cells))
	for o, parts := range p.state.cells {
		for _, c := range parts {
			room[o] += p.state.sites[c.site].peek(int32(o)).room()
		}
	}
	for i := range queue {
		q := &queue[i]
		if n := q.job.Spec().Shape().Total(); n <= room[q.owner] {
			q.guaranteed = true
			room[q.owner] -= n
		}
	}
	slices.SortStableFunc(queue, compareWaiting)
	return queue
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
