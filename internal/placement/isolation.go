package placement

import (
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
)

const (
	// StartupTime is the time after a start within which a crash of the worker points to the runs that have just started
	// there. A run that resumes needs about half of it to load its checkpoint.
	StartupTime = 1500 * time.Millisecond
	// isolationWait is how long a unit under suspicion waits for a worker without recent starts. After that a further
	// crash may be counted for another job as well, but the unit does not starve.
	isolationWait = 2 * time.Second
	// repeatedCrashes is the number of crashes from which a job tries its tasks on one worker at a time.
	repeatedCrashes = 2
)

// suspicion is what the crashes under tasks of a unit mean for its placement; it is zero for a unit without crashes.
type suspicion struct {
	crashes int             // of the task with the most
	hosts   map[string]bool // hosts of the latest crash of each task
}

func (s suspicion) any() bool { return s.crashes > 0 }

// add takes a task's crashes into account.
func (s suspicion) add(r batch.CrashRecord) suspicion {
	if r.Crashes() == 0 {
		return s
	}
	if s.hosts == nil {
		s.hosts = map[string]bool{}
	}
	s.hosts[r.Host()] = true
	s.crashes = max(s.crashes, r.Crashes())
	return s
}

// splitBySuspicion returns the units of the tasks under which a worker crashed and of the others. A gang stays whole.
func (u *unit) splitBySuspicion() []*unit {
	if !u.job.HasCrashes() {
		return []*unit{u}
	}
	suspects, others := *u, *u
	suspects.indexes, others.indexes = nil, nil
	for _, n := range u.indexes {
		r := u.job.Crashes(batch.NewTaskID(u.key.Job(), u.key.Occurrence(), u.key.Step(), n))
		if r.Crashes() == 0 {
			others.indexes = append(others.indexes, n)
			continue
		}
		suspects.indexes = append(suspects.indexes, n)
		suspects.suspicion = suspects.suspicion.add(r)
	}
	suspects.waiting = len(suspects.indexes)
	others.waiting -= suspects.waiting
	switch {
	case len(suspects.indexes) == 0:
		return []*unit{&others}
	case len(others.indexes) == 0:
		return []*unit{&suspects}
	}
	return []*unit{&suspects, &others}
}

// isolated reports whether a unit may start on a worker beside the runs that have started there lately. A unit under
// suspicion starts apart from other jobs, so that a further crash shows whether it is the cause.
func (p *planner) isolated(u *unit, w *workerState) bool {
	if !p.suspects {
		return true
	}
	mayWait := p.view.now.Sub(u.readySince) < isolationWait
	for _, r := range w.runs {
		if r.job == u.job || !p.starting(r) {
			continue
		}
		if r.suspect || u.suspicion.any() && mayWait {
			return false
		}
	}
	return u.suspicion.crashes < repeatedCrashes || u.step.Gang() || !p.startsElsewhere(u.job, w)
}

// starting reports whether a run has begun so lately that a crash of its worker would point to it.
func (p *planner) starting(r *placedRun) bool { return p.view.now.Sub(r.started) < StartupTime }

// startsElsewhere reports whether a run of a job under suspicion starts on another worker.
func (p *planner) startsElsewhere(j *batch.Job, w *workerState) bool {
	for _, other := range slices.Concat(p.workers, p.quarantined) {
		if other == w {
			continue
		}
		for _, r := range other.runs {
			if r.job == j && r.suspect && p.starting(r) {
				return true
			}
		}
	}
	return false
}

// avoids reports whether a worker is one that the unit uses only if no other fits.
func (u *unit) avoids(w *workerState) bool {
	return w.suspect || u.suspicion.hosts[w.incarnation.Host()]
}
