package plan

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// jobFaultWorkers is the number of workers on which a job that never started must fail before its failures count
// against the job and not against the workers.
const jobFaultWorkers = 3

// quarantineFaulty quarantines the workers on which several different jobs in a row failed to start.
func (p *pass) quarantineFaulty() {
	if len(p.view.startOutcomes) == 0 {
		return
	}
	faulty := faultyJobs(p.view.startOutcomes)
	byWorker := map[string][]StartOutcome{}
	for _, s := range p.view.startOutcomes {
		byWorker[s.worker] = append(byWorker[s.worker], s)
	}
	p.view.quarantined = maps.Clone(p.view.quarantined)
	for _, w := range slices.Sorted(maps.Keys(byWorker)) {
		until, reason := p.planner.quarantineOf(byWorker[w], faulty)
		if !until.After(p.now) || !until.After(p.view.quarantined[w]) {
			continue
		}
		p.view.quarantined[w] = until
		p.decide(Quarantine{worker: w, until: until, reason: reason})
	}
}

// collectFailures collects, for each job, the workers on which it recently failed to start. A job avoids these
// workers: the last job in a queue would otherwise be placed on the same faulty worker again and again, since the
// failures of a single job do not quarantine a worker.
func (p *pass) collectFailures() {
	type jobOnWorker struct{ job, worker string }
	counts, last := map[jobOnWorker]int{}, map[jobOnWorker]time.Time{}
	for _, s := range p.view.startOutcomes {
		if !s.ok {
			key := jobOnWorker{s.job, s.worker}
			counts[key]++
			last[key] = s.at
		}
	}
	p.failedOn = map[string][]int32{}
	for key, n := range counts {
		site, ok := p.planner.top.byName[key.worker]
		pause := min(p.planner.firstPause<<min(n, 16), p.planner.longestPause)
		if ok && p.now.Before(last[key].Add(pause)) {
			p.failedOn[key.job] = append(p.failedOn[key.job], site)
		}
	}
	for _, sites := range p.failedOn {
		slices.Sort(sites)
	}
}

// excludeFailed sets the free count of the sites that the job failed on to 0 and returns them; refresh restores it.
func (p *pass) excludeFailed(avail *pool, id string) []int32 {
	for _, site := range p.failedOn[id] {
		avail.set(site, 0)
	}
	return p.failedOn[id]
}

// refresh recomputes the free counts of the sites in all pools.
func (p *pass) refresh(sites []int32) {
	for _, site := range sites {
		p.state.refresh(site)
	}
}

// quarantineOf returns the end of the latest quarantine that the start outcomes of a worker lead to, and its reason.
// Failures during a quarantine belong to tasks that were sent before it, so they do not extend it.
func (p *Planner) quarantineOf(starts []StartOutcome, faulty map[string]bool) (until time.Time, reason string) {
	starts = slices.Clone(starts)
	slices.SortStableFunc(starts, func(a, b StartOutcome) int { return a.at.Compare(b.at) })
	failed, pause := map[string]bool{}, p.firstPause
	for _, s := range starts {
		switch {
		case s.ok:
			clear(failed)
			pause = p.firstPause
		case faulty[s.job] || s.at.Before(until):
		default:
			if failed[s.job] = true; len(failed) < p.failures {
				continue
			}
			until = s.at.Add(pause)
			reason = fmt.Sprintf("the last %d jobs failed to start here, paused for %s", len(failed), pause)
			pause = min(2*pause, p.longestPause)
		}
	}
	return until, reason
}

// faultyJobs returns the jobs that never started and that failed either on at least jobFaultWorkers workers or on a
// worker on which another job started afterwards.
func faultyJobs(starts []StartOutcome) map[string]bool {
	lastOK, started := map[string]time.Time{}, map[string]bool{}
	failedOn := map[string]map[string]bool{}
	for _, s := range starts {
		if s.ok {
			started[s.job] = true
			if s.at.After(lastOK[s.worker]) {
				lastOK[s.worker] = s.at
			}
			continue
		}
		if failedOn[s.job] == nil {
			failedOn[s.job] = map[string]bool{}
		}
		failedOn[s.job][s.worker] = true
	}
	faulty := map[string]bool{}
	for _, s := range starts {
		if !s.ok && !started[s.job] && (len(failedOn[s.job]) >= jobFaultWorkers || lastOK[s.worker].After(s.at)) {
			faulty[s.job] = true
		}
	}
	return faulty
}
