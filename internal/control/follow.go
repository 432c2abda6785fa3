package control

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/gang"
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/task"
)

// follow takes over what changed on the board since the latest pass.
func (g *gangs) follow(term uint64, now time.Time) {
	b := g.control.board
	state, roster, reports := b.state.Load(), b.roster.Load(), b.reports.Load()
	if term != g.term {
		clear(g.jobs)
		g.term, g.adopted, g.unfinished = term, state.LatestFencingToken(), board.Table[job.Job]{}
	}
	if reports != g.reports {
		g.takeReports(reports)
	}
	if state.Unfinished() != g.unfinished {
		g.takeJobs(state.Unfinished(), roster, now)
	}
	if settled := roster.settled(term, now); roster != g.roster || settled != g.settled {
		g.roster, g.settled = roster, settled
		for id, f := range g.jobs {
			if j, ok := g.unfinished.Get(id); ok {
				g.takeSilence(j, f, now)
			}
		}
	}
}

// takeJobs follows jobs that were placed, and forgets those that hold no accelerators any more.
func (g *gangs) takeJobs(unfinished board.Table[job.Job], roster *Roster, now time.Time) {
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
		f, ok := g.jobs[id]
		if !ok || f.progress.FencingToken() != j.FencingToken() {
			g.jobs[id] = g.adopt(j, roster, now)
		} else if f.state != j.State() || f.speed != j.Speed() {
			f.dirty = true
		}
	}
}

// adopt returns what is known of a job that this process has not followed under its fence.
func (g *gangs) adopt(j job.Job, roster *Roster, now time.Time) *followed {
	f := &followed{progress: gang.NewProgress(j, g.term, now), state: j.State(), speed: j.Speed(), dirty: true}
	if j.FencingToken() <= g.adopted {
		f.progress = f.progress.Adopted()
	}
	for i, m := range j.Members() {
		f.progress = f.progress.WithUnreachable(i, roster.silent(m.Worker(), g.term, now))
		reports, _ := g.reports.Get(m.Worker())
		for _, r := range reports {
			if r.ID() == task.NewID(j.Spec().ID(), i) {
				f.progress = f.progress.WithReport(r)
			}
		}
	}
	return f
}

func (g *gangs) takeSilence(j job.Job, f *followed, now time.Time) {
	for i, m := range j.Members() {
		f.progress = f.progress.WithUnreachable(i, g.roster.silent(m.Worker(), g.term, now))
	}
	f.dirty = true
}

// takeReports passes on the reports of the workers whose list is another one than at the latest pass.
func (g *gangs) takeReports(reports board.Table[[]task.Report]) {
	old := g.reports
	g.reports = reports
	for worker, list := range reports.All() {
		before, _ := old.Get(worker)
		if len(list) == 0 || len(before) == len(list) && &before[0] == &list[0] {
			continue
		}
		for _, r := range list {
			if f, ok := g.jobs[r.ID().Job()]; ok && f.progress.FencingToken() == r.FencingToken() {
				f.progress, f.dirty = f.progress.WithReport(r), true
			}
		}
	}
}
