package plan

import (
	"cmp"
	"fmt"
	"slices"

	"rosemarywind.example/rosemarywind/internal/job"
)

// resume gives throttled jobs their accelerators back once all of them are free, the oldest job first. It runs
// before jobs outside guarantees are placed, because a throttled job cannot continue on other workers and would
// starve behind them.
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
		parts, ok := p.throttledParts(j)
		if !ok {
			continue
		}
		id := j.Spec().ID()
		p.state.countJob(j.Throttle(job.Resumed, ""), p.planner.backfilled[id])
		for _, c := range parts {
			p.state.refresh(c.site)
		}
		p.decide(Resume{id, fmt.Sprintf("resumed, because its %d accelerators are free again", j.Spec().Shape().Total())})
	}
}

// throttledParts returns the throttled job's accelerators by site and whether all of them are free to borrow.
func (p *pass) throttledParts(j job.Job) (parts []sitePart, ok bool) {
	for _, m := range j.Members() {
		site, known := p.planner.top.byName[m.Worker()]
		if !known {
			return nil, false
		}
		parts = append(parts, sitePart{site, m.Accelerators()})
	}
	parts = mergeParts(parts)
	return parts, !slices.ContainsFunc(parts, func(c sitePart) bool { return p.state.borrowable.free[c.site] < c.accelerators })
}
