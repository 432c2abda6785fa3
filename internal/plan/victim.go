package plan

import (
	"cmp"
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/job"
)

// Costs of reclaim, in accelerator-seconds per accelerator held.
const (
	defaultCheckpointTime = 30 * time.Second
	// throttleTime is the time to move a task's state out of the accelerators.
	throttleTime = 10 * time.Second
	// lostJobPenalty is added for a job that a stop ends for good, because it may not run again.
	lostJobPenalty = 24 * time.Hour
	// silentPenalty is added for a job with a member that no command reaches: it ends with its lease.
	silentPenalty = 30 * 24 * time.Hour
)

// victim is a running job that may be reclaimed.
type victim struct {
	job    job.Job
	owner  int32
	method Method
	cost   time.Duration
	parts  []cellPart
	// remaining is the expected time to the job's end, 0 while nothing asked for it.
	remaining time.Duration
}

// on returns the accelerators that the job holds on the site.
func (v *victim) on(site int32) int {
	for _, c := range v.parts {
		if c.site == site {
			return c.accelerators
		}
	}
	return 0
}

// victimsAt returns the running jobs of each site, built once in a pass.
func (p *pass) victimsAt(site int32) []*victim {
	if p.running == nil {
		p.running = make([][]*victim, len(p.state.sites))
		for _, j := range p.view.jobs {
			if j.Holds() && !j.Leaving() {
				p.addVictim(j)
			}
		}
	}
	return p.running[site]
}

func (p *pass) addVictim(j job.Job) {
	v := &victim{job: j, owner: p.state.owner(j.Spec().Workspace()), parts: make([]cellPart, 0, 1)}
	for _, m := range j.Members() {
		if site, ok := p.planner.top.byName[m.Worker()]; ok {
			v.parts = append(v.parts, cellPart{site, m.Accelerators()})
		}
	}
	v.parts = compactParts(v.parts)
	for _, c := range v.parts {
		p.running[c.site] = append(p.running[c.site], v)
	}
}

// compactParts joins the parts of each site.
func compactParts(parts []cellPart) []cellPart {
	slices.SortFunc(parts, func(a, b cellPart) int { return cmp.Compare(a.site, b.site) })
	joined := parts[:0]
	for _, c := range parts {
		if n := len(joined); n > 0 && joined[n-1].site == c.site {
			joined[n-1].accelerators += c.accelerators
		} else {
			joined = append(joined, c)
		}
	}
	return joined
}

// price sets the cheapest method and its cost.
func (p *pass) price(v *victim) {
	if v.method != "" {
		return
	}
	spec, total := v.job.Spec(), time.Duration(v.job.Spec().Shape().Total())
	progress, known := p.view.Progress(spec.ID())
	began := spec.SubmittedAt()
	if known {
		began = progress.startedAt
	}
	saved := began
	if progress.checkpointedAt.After(saved) {
		saved = progress.checkpointedAt
	}
	v.method, v.cost = Stop, max(time.Second, p.now.Sub(saved))
	resumes := spec.Checkpointable() && progress.checkpointedAt.After(began)
	if !spec.Idempotent() && !resumes {
		v.cost = max(time.Second, p.now.Sub(began)) + lostJobPenalty
	}
	if takes := cmp.Or(progress.checkpointTime, defaultCheckpointTime); spec.Checkpointable() && takes < v.cost {
		v.method, v.cost = Checkpoint, takes
	}
	if spec.Throttleable() && v.job.State() == job.Started && throttleTime < v.cost {
		v.method, v.cost = Throttle, throttleTime
	}
	if p.silent(v.job) {
		v.method, v.cost = Stop, v.cost+silentPenalty
	}
	v.cost *= total
}

// silent reports whether a member is on a worker that does not answer.
func (p *pass) silent(j job.Job) bool {
	return slices.ContainsFunc(j.Members(), func(m job.Member) bool { return !p.view.Reachable(m.Worker()) })
}

// trial is a set of victims that is not decided yet.
type trial struct {
	pass    *pass
	owner   int32
	urgent  bool
	victims []*victim
	freed   map[int32]int
	leaving map[siteOwner]int
	cost    time.Duration
}

type siteOwner struct {
	site, owner int32
}

func (p *pass) newTrial(owner int32, urgent bool) *trial {
	return &trial{pass: p, owner: owner, urgent: urgent, freed: map[int32]int{}, leaving: map[siteOwner]int{}}
}

// free adds victims until the site has what is needed for the owner. Only what the owner itself
// gives up counts for its own need, so that its use stays within its cell.
func (t *trial) free(site int32, n need) bool {
	if t.meets(site, n) {
		return true
	}
	candidates := t.candidates(site)
	for _, v := range candidates {
		if t.ownLeaving(site) < n.own && v.owner == t.owner && t.mayTake(v, site) {
			t.add(v, 1)
		}
	}
	for _, v := range candidates {
		if t.meets(site, n) {
			return true
		}
		if !slices.Contains(t.victims, v) && t.mayTake(v, site) {
			t.add(v, 1)
		}
	}
	return t.meets(site, n)
}

// need is what must become free on a site: in total, and by the owner's own jobs.
type need struct {
	total, own int
}

func (t *trial) meets(site int32, n need) bool {
	return t.freed[site] >= n.total && t.ownLeaving(site) >= n.own
}

func (t *trial) ownLeaving(site int32) int { return t.leaving[siteOwner{site, t.owner}] }

// candidates returns the jobs on the site that are not reclaimed yet, the cheapest first.
func (t *trial) candidates(site int32) (candidates []*victim) {
	for _, v := range t.pass.victimsAt(site) {
		if !t.pass.chosen[v.job.Spec().ID()] && !slices.Contains(t.victims, v) {
			t.pass.price(v)
			candidates = append(candidates, v)
		}
	}
	slices.SortFunc(candidates, func(a, b *victim) int {
		return cmp.Or(cmp.Compare(a.cost/time.Duration(a.on(site)), b.cost/time.Duration(b.on(site))),
			cmp.Compare(a.job.Spec().ID(), b.job.Spec().ID()))
	})
	return candidates
}

// mayTake reports whether the victim's workspace uses more than its cell on the site,
// or is the owner itself with a job that gives way to urgent ones.
func (t *trial) mayTake(v *victim, site int32) bool {
	if v.owner == t.owner {
		return t.urgent && movable(v.job.Spec())
	}
	h := t.pass.state.sites[site].peek(v.owner)
	return h.used-h.leaving-t.leaving[siteOwner{site, v.owner}] > h.cell
}

func (t *trial) add(v *victim, sign int) {
	for _, c := range v.parts {
		t.freed[c.site] += sign * c.accelerators
		t.leaving[siteOwner{c.site, v.owner}] += sign * c.accelerators
	}
	t.cost += time.Duration(sign) * v.cost
	if sign > 0 {
		t.victims = append(t.victims, v)
	}
}

// prune drops victims that the needs are met without, the most expensive first.
func (t *trial) prune(needs map[int32]need) {
	byCost := slices.Clone(t.victims)
	slices.SortStableFunc(byCost, func(a, b *victim) int { return cmp.Compare(b.cost, a.cost) })
	for _, v := range byCost {
		t.add(v, -1)
		if t.covers(needs, v) {
			t.victims = slices.DeleteFunc(t.victims, func(o *victim) bool { return o == v })
			continue
		}
		t.add(v, 1)
		t.victims = t.victims[:len(t.victims)-1]
	}
}

func (t *trial) covers(needs map[int32]need, without *victim) bool {
	for _, c := range without.parts {
		if !t.meets(c.site, needs[c.site]) {
			return false
		}
	}
	return true
}
