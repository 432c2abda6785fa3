package plan

import (
	"cmp"
	"fmt"
	"slices"

	"rosemarywind.example/rosemarywind/internal/job"
)

// resume gives throttled jobs their accelerators back once all of them are free, the oldest job first. It goes
// before the jobs outside of guarantees, because a throttled job can go on nowhere else and these would starve it.
func (p *pass) resume() {
	var jobs []job.Job
	for _, j := range p.view.jobs {
		if j.State() == job.Started && j.Speed() == job.Throttled {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b job.Job) int {
		return cmp.Or(a.Spec().SubmittedAt().Compare(b.Spec().SubmittedAt()), cmp.Compare(a.Spec().ID(), b.Spec().ID()))
	})
	for _, j := range jobs {
		parts, ok := p.free(j)
		if !ok {
			continue
		}
		id := j.Spec().ID()
		p.state.use(j.Throttle(job.Resumed, ""), p.planner.backfilled[id])
		for _, c := range parts {
			p.state.refresh(c.site)
		}
		p.decide(Resume{id, fmt.Sprintf("resumed, because its %d accelerators are free again", j.Spec().Shape().Total())})
	}
}

// free returns the job's accelerators by site, and whether it may borrow them now.
func (p *pass) free(j job.Job) (parts []cellPart, ok bool) {
	for _, m := range j.Members() {
		site, known := p.planner.top.byName[m.Worker()]
		if !known {
			return nil, false
		}
		parts = append(parts, cellPart{site, m.Accelerators()})
	}
	parts = compactParts(parts)
	return parts, !slices.ContainsFunc(parts, func(c cellPart) bool { return p.state.loan.level[c.site] < c.accelerators })
}
