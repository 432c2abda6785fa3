package plan

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// wideFailure is the number of workers on which a job that never started must fail to be blamed itself.
const wideFailure = 3

// findFaulty sets workers aside on which several different jobs in a row failed to start.
func (p *pass) findFaulty() {
	if len(p.view.starts) == 0 {
		return
	}
	blamed := blamedJobs(p.view.starts)
	byWorker := map[string][]StartOutcome{}
	for _, s := range p.view.starts {
		byWorker[s.worker] = append(byWorker[s.worker], s)
	}
	p.view.setAside = maps.Clone(p.view.setAside)
	for _, w := range slices.Sorted(maps.Keys(byWorker)) {
		until, reason := p.planner.pauseOf(byWorker[w], blamed)
		if !until.After(p.now) || !until.After(p.view.setAside[w]) {
			continue
		}
		p.view.setAside[w] = until
		p.decide(Quarantine{worker: w, until: until, reason: reason})
	}
}

// findFailures finds the workers that each job failed to start on a short time ago. A job keeps off them,
// because the last job of a queue would otherwise meet the same faulty worker for ever, and one job marks no worker.
func (p *pass) findFailures() {
	type attemptAt struct{ job, worker string }
	counts, last := map[attemptAt]int{}, map[attemptAt]time.Time{}
	for _, s := range p.view.starts {
		if !s.ok {
			key := attemptAt{s.job, s.worker}
			counts[key]++
			last[key] = s.at
		}
	}
	p.failedOn = map[string][]int32{}
	for key, n := range counts {
		site, ok := p.planner.top.byName[key.worker]
		pause := min(p.planner.pause<<min(n, 16), p.planner.longestPause)
		if ok && p.now.Before(last[key].Add(pause)) {
			p.failedOn[key.job] = append(p.failedOn[key.job], site)
		}
	}
	for _, sites := range p.failedOn {
		slices.Sort(sites)
	}
}

// avoid empties the sites that the job failed on; refresh brings them back.
func (p *pass) avoid(free *pool, id string) []int32 {
	for _, site := range p.failedOn[id] {
		free.set(site, 0)
	}
	return p.failedOn[id]
}

func (p *pass) refresh(sites []int32) {
	for _, site := range sites {
		p.state.refresh(site)
	}
}

// pauseOf returns the end of the worker's latest pause. Failures during a pause belong to tasks
// that were sent before it, so they do not lengthen it.
func (p *Planner) pauseOf(starts []StartOutcome, blamed map[string]bool) (until time.Time, reason string) {
	starts = slices.Clone(starts)
	slices.SortStableFunc(starts, func(a, b StartOutcome) int { return a.at.Compare(b.at) })
	failed, pause := map[string]bool{}, p.pause
	for _, s := range starts {
		switch {
		case s.ok:
			clear(failed)
			pause = p.pause
		case blamed[s.job] || s.at.Before(until):
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

// blamedJobs returns the jobs that never started and failed either on many workers
// or on a worker where another job started afterwards.
func blamedJobs(starts []StartOutcome) map[string]bool {
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
	blamed := map[string]bool{}
	for _, s := range starts {
		if !s.ok && !started[s.job] && (len(failedOn[s.job]) >= wideFailure || lastOK[s.worker].After(s.at)) {
			blamed[s.job] = true
		}
	}
	return blamed
}
