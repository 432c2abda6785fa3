package plan

import (
	"cmp"
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/job"
)

// Costs of a reclaim, in seconds per accelerator held.
const (
	// defaultCheckpointTime is the duration of a checkpoint if the progress of the job does not give one.
	defaultCheckpointTime = 30 * time.Second
	// throttleTime is the time it takes to move a task's state out of the accelerators.
	throttleTime = 10 * time.Second
	// lostJobPenalty is added for a job that a stop ends for good, because it can be neither resumed nor run again.
	lostJobPenalty = 24 * time.Hour
	// unreachablePenalty is added for a job with a member on an unreachable worker: no command reaches the member,
	// which ends only with its lease.
	unreachablePenalty = 30 * 24 * time.Hour
)

// runningJob is a placed job that may be reclaimed. Its method and cost are those of the cheapest reclaim, unset
// until setCost.
type runningJob struct {
	job    job.Job
	owner  int32
	method Method
	cost   time.Duration
	parts  []sitePart
	// remaining is the expected time to the end of the job, 0 until pass.remaining computes it.
	remaining time.Duration
}

// acceleratorsOn returns the number of accelerators that the job holds on the site.
func (r *runningJob) acceleratorsOn(site int32) int {
	for _, c := range r.parts {
		if c.site == site {
			return c.accelerators
		}
	}
	return 0
}

// runningAt returns the running jobs on the site that are not being stopped or throttled. The index is built once
// per pass.
func (p *pass) runningAt(site int32) []*runningJob {
	if p.running == nil {
		p.running = make([][]*runningJob, len(p.state.sites))
		for _, j := range p.view.jobs {
			if j.HoldsAccelerators() && !j.Releasing() {
				p.addRunning(j)
			}
		}
	}
	return p.running[site]
}

// addRunning adds the job to the running jobs of its sites.
func (p *pass) addRunning(j job.Job) {
	r := &runningJob{job: j, owner: p.state.ownerIndex(j.Spec().Workspace()), parts: make([]sitePart, 0, 1)}
	for _, m := range j.Members() {
		if site, ok := p.planner.top.byName[m.Worker()]; ok {
			r.parts = append(r.parts, sitePart{site, m.Accelerators()})
		}
	}
	r.parts = mergeParts(r.parts)
	for _, c := range r.parts {
		p.running[c.site] = append(p.running[c.site], r)
	}
}

// mergeParts sorts the parts and merges those on the same site, in place.
func mergeParts(parts []sitePart) []sitePart {
	slices.SortFunc(parts, func(a, b sitePart) int { return cmp.Compare(a.site, b.site) })
	merged := parts[:0]
	for _, c := range parts {
		if n := len(merged); n > 0 && merged[n-1].site == c.site {
			merged[n-1].accelerators += c.accelerators
		} else {
			merged = append(merged, c)
		}
	}
	return merged
}

// setCost sets the cheapest reclaim method of the job and its cost.
func (p *pass) setCost(r *runningJob) {
	if r.method != "" {
		return
	}
	spec, total := r.job.Spec(), time.Duration(r.job.Spec().Shape().Total())
	progress, known := p.view.Progress(spec.ID())
	startedAt := spec.SubmittedAt()
	if known {
		startedAt = progress.startedAt
	}
	savedAt := startedAt
	if progress.checkpointedAt.After(savedAt) {
		savedAt = progress.checkpointedAt
	}
	r.method, r.cost = Stop, max(time.Second, p.now.Sub(savedAt))
	resumes := spec.Checkpointable() && progress.checkpointedAt.After(startedAt)
	if !spec.Idempotent() && !resumes {
		r.cost = max(time.Second, p.now.Sub(startedAt)) + lostJobPenalty
	}
	if takes := cmp.Or(progress.checkpointTime, defaultCheckpointTime); spec.Checkpointable() && takes < r.cost {
		r.method, r.cost = Checkpoint, takes
	}
	if spec.Throttleable() && r.job.State() == job.Started && throttleTime < r.cost {
		r.method, r.cost = Throttle, throttleTime
	}
	if p.hasUnreachable(r.job) {
		r.method, r.cost = Stop, r.cost+unreachablePenalty
	}
	r.cost *= total
}

// hasUnreachable reports whether a member of the job is on an unreachable worker.
func (p *pass) hasUnreachable(j job.Job) bool {
	return slices.ContainsFunc(j.Members(), func(m job.Member) bool { return !p.view.Reachable(m.Worker()) })
}

// reclaimSet is a tentative set of jobs to reclaim for a workspace, the owner. Urgent allows it to include the
// owner's own movable jobs.
type reclaimSet struct {
	pass      *pass
	owner     int32
	urgent    bool
	jobs      []*runningJob
	freed     map[int32]int
	releasing map[siteOwner]int
	cost      time.Duration
}

type siteOwner struct {
	site, owner int32
}

func (p *pass) newReclaimSet(owner int32, urgent bool) *reclaimSet {
	return &reclaimSet{pass: p, owner: owner, urgent: urgent, freed: map[int32]int{}, releasing: map[siteOwner]int{}}
}

// freeUp adds jobs to the set until the need on the site is satisfied, and reports whether it is. Only jobs of the
// owner count towards its own need, so that its use stays within its cell.
func (s *reclaimSet) freeUp(site int32, n need) bool {
	if s.satisfies(site, n) {
		return true
	}
	candidates := s.candidates(site)
	for _, r := range candidates {
		if s.ownReleasing(site) < n.own && r.owner == s.owner && s.mayReclaim(r, site) {
			s.add(r, 1)
		}
	}
	for _, r := range candidates {
		if s.satisfies(site, n) {
			return true
		}
		if !slices.Contains(s.jobs, r) && s.mayReclaim(r, site) {
			s.add(r, 1)
		}
	}
	return s.satisfies(site, n)
}

// need is the number of accelerators that must become free on a site, in total and by jobs of the owner itself.
type need struct {
	total, own int
}

// satisfies reports whether the set frees at least the need on the site.
func (s *reclaimSet) satisfies(site int32, n need) bool {
	return s.freed[site] >= n.total && s.ownReleasing(site) >= n.own
}

// ownReleasing returns the number of accelerators that the set takes from the owner's jobs on the site.
func (s *reclaimSet) ownReleasing(site int32) int { return s.releasing[siteOwner{site, s.owner}] }

// candidates returns the jobs on the site that are not yet reclaimed, the cheapest per accelerator first.
func (s *reclaimSet) candidates(site int32) (candidates []*runningJob) {
	for _, r := range s.pass.runningAt(site) {
		if !s.pass.reclaimed[r.job.Spec().ID()] && !slices.Contains(s.jobs, r) {
			s.pass.setCost(r)
			candidates = append(candidates, r)
		}
	}
	slices.SortFunc(candidates, func(a, b *runningJob) int {
		return cmp.Or(
			cmp.Compare(a.cost/time.Duration(a.acceleratorsOn(site)), b.cost/time.Duration(b.acceleratorsOn(site))),
			cmp.Compare(a.job.Spec().ID(), b.job.Spec().ID()))
	})
	return candidates
}

// mayReclaim reports whether the job's workspace uses more than its cell on the site, or the job belongs to the
// owner itself and may be displaced by an urgent job.
func (s *reclaimSet) mayReclaim(r *runningJob, site int32) bool {
	if r.owner == s.owner {
		return s.urgent && movable(r.job.Spec())
	}
	sh := s.pass.state.sites[site].shareOf(r.owner)
	return sh.used-sh.releasing-s.releasing[siteOwner{site, r.owner}] > sh.cell
}

// add adds the job to the set, or subtracts its accelerators and cost if sign is -1.
func (s *reclaimSet) add(r *runningJob, sign int) {
	for _, c := range r.parts {
		s.freed[c.site] += sign * c.accelerators
		s.releasing[siteOwner{c.site, r.owner}] += sign * c.accelerators
	}
	s.cost += time.Duration(sign) * r.cost
	if sign > 0 {
		s.jobs = append(s.jobs, r)
	}
}

// prune removes jobs that the needs are satisfied without, the most expensive first.
func (s *reclaimSet) prune(needs map[int32]need) {
	byCost := slices.Clone(s.jobs)
	slices.SortStableFunc(byCost, func(a, b *runningJob) int { return cmp.Compare(b.cost, a.cost) })
	for _, r := range byCost {
		s.add(r, -1)
		if s.satisfiedWithout(needs, r) {
			s.jobs = slices.DeleteFunc(s.jobs, func(o *runningJob) bool { return o == r })
			continue
		}
		s.add(r, 1)
		s.jobs = s.jobs[:len(s.jobs)-1]
	}
}

// satisfiedWithout reports whether the needs on the sites of the given job are satisfied after its accelerators were
// subtracted.
func (s *reclaimSet) satisfiedWithout(needs map[int32]need, without *runningJob) bool {
	for _, c := range without.parts {
		if !s.satisfies(c.site, needs[c.site]) {
			return false
		}
	}
	return true
}
