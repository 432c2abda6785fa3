package placement

import (
	"slices"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// WithDepartures returns the view with runs that should move away from workers outside the view, those of a step in a row.
// Runs among them that were ordered to stop keep a place each; for the others the plan tells which ones have a place to
// start at.
func (v View) WithDepartures(ids []run.ID) View {
	v.departures = ids
	return v
}

// Departures returns the runs to stop because their tasks can start elsewhere at once, each once.
func (p Plan) Departures() []run.ID { return p.departures }

// chooseDepartures holds a place for each run that should move, by the rules for a start, and selects those that get one. It
// runs after the waiting units, which come first.
func (p *planner) chooseDepartures() {
	var stopping, staying []run.ID
	for _, id := range p.view.departures {
		if p.view.stopping[id] {
			stopping = append(stopping, id)
		} else {
			staying = append(staying, id)
		}
	}
	for _, u := range p.departureUnits(stopping) {
		p.holdPlaces(u)
	}
	for _, u := range p.departureUnits(staying) {
		held := p.holdPlaces(u)
		for _, n := range u.indexes[:held] {
			id := batch.NewTaskID(u.key.Job(), u.key.Occurrence(), u.key.Step(), n)
			p.plan.departures = append(p.plan.departures, run.NewID(id, u.tasks.At(n).Run()))
		}
		if held < len(u.indexes) && p.lacksOnlyAdvice(u) {
			p.recordInquiry(u, len(u.indexes)-held)
		}
	}
}

// departureUnits returns units of the tasks of runs, as if the tasks had just begun to wait.
func (p *planner) departureUnits(ids []run.ID) (units []*unit) {
	for len(ids) > 0 {
		key, count := ids[0].Task().StepKey(), 1
		for count < len(ids) && ids[count].Task().StepKey() == key {
			count++
		}
		if j, known := p.view.state.Job(key.Job()); known {
			units = append(units, p.departureUnit(j, ids[:count]).splitBySuspicion()...)
		}
		ids = ids[count:]
	}
	return units
}

// departureUnit returns a unit of the tasks of runs of one step.
func (p *planner) departureUnit(j *batch.Job, ids []run.ID) *unit {
	key := ids[0].Task().StepKey()
	u := &unit{
		job: j, queue: p.view.state.CurrentQueue(j), step: j.Spec().Steps()[key.Step()], key: key,
		tasks: j.Tasks(key.Occurrence(), key.Step()), waiting: len(ids), duration: p.view.taskDuration(j, key.Step()),
		guaranteed: p.guaranteed[j.Spec().ID()], readySince: p.view.now, waitPolicy: waitForAll,
	}
	for _, id := range ids {
		u.indexes = append(u.indexes, id.Task().Index())
	}
	u.setSlack(p.view.now, p.objective(j), p.remainingTimes(j)[key.Step()])
	return u
}

// holdPlaces takes a place for each task of a unit that may start now and returns for how many of them there is one. It
// looks at each worker once, since a worker that has no place for a task has none for the next one either.
func (p *planner) holdPlaces(u *unit) (held int) {
	as := newAssignment(u)
	for _, w := range p.eligible(u) {
		for held < len(u.indexes) && p.fits(u, as, w, w.free) {
			if !p.leavesHeadroom(u, w) || !p.guaranteesPermit(u, 1) {
				return held
			}
			as.add(u.indexes[held], w)
			p.assign(u, w)
			held++
		}
		if held == len(u.indexes) {
			break
		}
	}
	return held
}

// lacksOnlyAdvice reports whether a worker that the advisor has not approved has a place for a task of the unit.
func (p *planner) lacksOnlyAdvice(u *unit) bool {
	if !u.queue.RequiresAdvice() || !p.guaranteesPermit(u, 1) {
		return false
	}
	as := newAssignment(u)
	return slices.ContainsFunc(p.workers, func(w *workerState) bool {
		return p.matches(u, w) && !p.approved(u, w) && p.fits(u, as, w, w.free)
	})
}
