package control

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/gang"
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/registry"
	"rosemarywind.example/rosemarywind/internal/task"
)

// sync updates the tracked jobs from the sections of the board that changed since the latest pass. It returns the state that
// it has read, by which the jobs have to be stepped: a later one may hold an evacuation that their progress does not know.
func (g *gangDriver) sync(term uint64, now time.Time) registry.State {
	b := g.control.board
	state, roster, reports := b.state.Load(), b.roster.Load(), b.reports.Load()
	if term != g.term {
		clear(g.jobs)
		g.term, g.adoptedToken, g.unfinished = term, state.LatestFencingToken(), board.Table[job.Job]{}
	}
	if reports != g.reports {
		g.syncReports(reports)
	}
	evacuationsChanged := state.Evacuations() != g.evacuations
	g.evacuations = state.Evacuations()
	if state.Unfinished() != g.unfinished {
		g.syncJobs(state.Unfinished(), roster, now)
	}
	if complete := roster.complete(term, now); roster != g.roster || complete != g.rosterComplete || evacuationsChanged {
		g.roster, g.rosterComplete = roster, complete
		for id, tracked := range g.jobs {
			if j, ok := g.unfinished.Get(id); ok {
				g.syncWorkers(j, tracked, now)
			}
		}
	}
	return state
}

// syncJobs starts to track jobs that were placed and drops those that no longer hold accelerators.
func (g *gangDriver) syncJobs(unfinished board.Table[job.Job], roster *Roster, now time.Time) {
	g.unfinished = unfinished
	for id := range g.jobs {
		if j, ok := unfinished.Get(id); !ok || !j.Placed() {
			delete(g.jobs, id)
		}
	}
	for id, j := range unfinished.All() {
		if !j.Placed() {
			continue
		}
		tracked, ok := g.jobs[id]
		if !ok || tracked.progress.FencingToken() != j.FencingToken() {
			g.jobs[id] = g.adopt(j, roster, now)
		} else if tracked.state != j.State() || tracked.speed != j.Speed() {
			tracked.dirty = true
		}
	}
}

// adopt returns the record of a job that this process does not yet track under its fencing token.
func (g *gangDriver) adopt(j job.Job, roster *Roster, now time.Time) *trackedJob {
	tracked := &trackedJob{progress: gang.NewProgress(j, g.term, now), state: j.State(), speed: j.Speed(), dirty: true}
	if j.FencingToken() <= g.adoptedToken {
		tracked.progress = tracked.progress.Adopted()
	}
	for i, m := range j.Members() {
		tracked.progress = g.withWorker(tracked.progress, i, m.Worker(), roster, now)
		reports, _ := g.reports.Get(m.Worker())
		for _, r := range reports {
			if r.ID() == task.NewID(j.Spec().ID(), i) {
				tracked.progress = tracked.progress.WithReport(r)
			}
		}
	}
	return tracked
}

func (g *gangDriver) syncWorkers(j job.Job, tracked *trackedJob, now time.Time) {
	for i, m := range j.Members() {
		tracked.progress = g.withWorker(tracked.progress, i, m.Worker(), g.roster, now)
	}
	tracked.dirty = true
}

// withWorker returns the progress with what the roster and the evacuations tell about the worker of a member.
func (g *gangDriver) withWorker(p gang.Progress, index int, worker string, roster *Roster, now time.Time) gang.Progress {
	zone, known := roster.zone(worker)
	_, evacuated := g.evacuations.Get(zone)
	return p.WithUnreachable(index, roster.silent(worker, g.term, now)).WithEvacuated(index, known && evacuated)
}

// syncReports adds the reports of each worker whose list was replaced since the latest pass.
func (g *gangDriver) syncReports(reports board.Table[[]task.Report]) {
	old := g.reports
	g.reports = reports
	for worker, list := range reports.All() {
		previous, _ := old.Get(worker)
		if len(list) == 0 || len(previous) == len(list) && &previous[0] == &list[0] {
			continue
		}
		for _, r := range list {
			if tracked, ok := g.jobs[r.ID().Job()]; ok && tracked.progress.FencingToken() == r.FencingToken() {
				tracked.progress, tracked.dirty = tracked.progress.WithReport(r), true
			}
		}
	}
}
