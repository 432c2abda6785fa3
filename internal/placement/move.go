package placement

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

const (
	// maxMoves bounds the tasks and gangs that a decision moves to faster workers.
	maxMoves = 2
	// maxMovedRun is the highest number of a run that is moved, so that the same task is not moved again and again.
	maxMovedRun = 3
	// moveDelay is the time from the stop of a run until it works elsewhere: the stop, the start and the loading of its
	// checkpoint.
	moveDelay = 1200 * time.Millisecond
	// justBegun is the age up to which a gang without checkpoints may move.
	justBegun = time.Second
	// minMoveGain is the least time by which a move has to bring the end forward, as a share of the time left.
	minMoveGain = 0.25
)

// Moves returns the runs to stop because they will end earlier on faster workers, each once.
func (p Plan) Moves() []run.ID { return p.moves }

// moveRuns stops runs on surely slow workers whose job would be late there and is not on faster workers that are free. A
// task that is long by itself on a normal worker stays. Nothing moves while tasks wait for capacity or a run stops whose
// task has to run again, since that task may need the free workers.
func (p *planner) moveRuns() {
	if !p.view.speeds.Differ() || len(p.plan.waits) > 0 || p.restarts() {
		return
	}
	considered := map[batch.TaskID]bool{}
	count := 0
	for _, w := range p.workers {
		if !w.slow {
			continue
		}
		for _, r := range w.runs {
			key := r.id.Task()
			if r.step.Gang() {
				key = key.StepKey()
			}
			if considered[key] || !p.movable(r) {
				continue
			}
			considered[key] = true
			place := p.fastestPlace(r)
			if place == nil || !p.gainsByMove(r, place) {
				continue
			}
			p.stopForMove(r)
			p.take(place)
			if count++; count == maxMoves {
				return
			}
		}
	}
}

// restarts reports whether a run of an active job is stopping, so that its task will wait for a worker.
func (p *planner) restarts() bool {
	for id := range p.view.stopping {
		j, known := p.view.state.Job(id.Task().Job())
		if !known || !j.Active() {
			continue
		}
		if t, _ := j.Task(id.Task()); t.Phase() == batch.Placed && t.Run() == id.Run() {
			return true
		}
	}
	return false
}

// movable reports whether a run, or the gang that it belongs to, may be stopped to run elsewhere. A run within a guarantee
// is never stopped for a better place.
func (p *planner) movable(r *placedRun) bool {
	if r.stopping || r.guaranteed || r.id.Run() == 0 || r.id.Run() > maxMovedRun || r.step.LongRunning() {
		return false
	}
	return r.step.Checkpoints() && r.observed || r.step.Gang() && p.view.now.Sub(r.started) <= justBegun
}

// gainsByMove reports whether the run, or its gang, would miss a bound on its end where it is and meet it at the given
// place.
func (p *planner) gainsByMove(r *placedRun, place *assignment) bool {
	stays, work := p.view.now, time.Duration(0)
	for _, m := range p.membersOf(r) {
		if m.ends.After(stays) {
			stays = m.ends
		}
		work = max(work, time.Duration(float64(m.ends.Sub(p.view.now)+p.lostByMove(m))*m.worker.speed))
	}
	left := stays.Sub(p.view.now)
	ends := p.view.now.Add(moveDelay + time.Duration(float64(work)/place.slowestSpeed()))
	if stays.Sub(ends) < max(moveDelay, time.Duration(minMoveGain*float64(left))) {
		return false
	}
	begin, objective := r.job.Accepted(), p.objective(r.job)
	if due := r.job.Spec().Due(r.id.Task().Occurrence()); !due.IsZero() {
		begin = due
	}
	for _, until := range []time.Time{begin.Add(objective), begin.Add(lateFactor * objective)} {
		if stays.After(until) && !ends.After(until) {
			return true
		}
	}
	return false
}

// lateFactor is the multiple of its objective within which a late job still counts.
const lateFactor = 3

// lostByMove returns the running time that a run repeats if it moves.
func (p *planner) lostByMove(r *placedRun) time.Duration {
	lost := p.view.now.Sub(r.started)
	if r.step.Checkpoints() {
		lost = min(lost, checkpointLoss)
	}
	return lost
}

// membersOf returns the runs of the gang that a run belongs to, or the run alone.
func (p *planner) membersOf(r *placedRun) []*placedRun {
	if !r.step.Gang() {
		return []*placedRun{r}
	}
	var members []*placedRun
	for _, w := range p.workers {
		for _, m := range w.runs {
			if m.job == r.job && m.id.Task().StepKey() == r.id.Task().StepKey() && m.id.Run() != 0 {
				members = append(members, m)
			}
		}
	}
	return members
}

// fastestPlace returns the placement of a task or a whole gang if it began now on the fastest free workers, or nil if it
// does not fit or would be held back.
func (p *planner) fastestPlace(r *placedRun) *assignment {
	u := p.movedUnit(r)
	if u == nil {
		return nil
	}
	as := p.fastestAssignment(u)
	if as == nil || !p.mayStart(u, as.workers...) {
		return nil
	}
	return as
}

// movedUnit returns the unit that a run, or its gang, would be placed as after a move; nil if members of the gang run on
// workers that are not known.
func (p *planner) movedUnit(r *placedRun) *unit {
	id, members := r.id.Task(), len(p.membersOf(r))
	if r.step.Gang() && members < r.step.Count() {
		return nil
	}
	u := &unit{
		job: r.job, queue: p.view.state.CurrentQueue(r.job), step: r.step, key: id.StepKey(),
		tasks: r.job.Tasks(id.Occurrence(), id.Step()), waiting: members, duration: p.view.taskDuration(r.job, id.Step()),
		readySince: p.view.now, speedNeed: speedNeed{fastest: true}, waitPolicy: waitForAll,
	}
	u.setSlack(p.view.now, p.objective(r.job), p.remainingTimes(r.job)[id.Step()])
	u.indexes = []int{id.Index()}
	if r.step.Gang() {
		u.indexes = p.ascendingIndexes(members)
	}
	return u
}

// fastestAssignment assigns a task or a whole gang to the fastest free workers. It returns nil if it does not fit.
func (p *planner) fastestAssignment(u *unit) (best *assignment) {
	if !u.step.Gang() {
		as := newAssignment(u)
		w := p.bestWorker(u, as, p.eligible(u))
		if w == nil || u.avoids(w) {
			return nil
		}
		as.add(u.indexes[0], w)
		return as
	}
	for _, set := range p.candidateSets(u) {
		if as := p.assignBySpeed(u, set); as != nil && as.avoided == 0 && (best == nil || compareAssignments(as, best) < 0) {
			best = as
		}
	}
	return best
}

// take takes the resources of a placement from its workers.
func (p *planner) take(as *assignment) {
	for _, w := range as.workers {
		p.assign(as.unit, w)
	}
}

// stopForMove stops a run, or its whole gang.
func (p *planner) stopForMove(r *placedRun) {
	for _, m := range p.membersOf(r) {
		if m.stopping {
			continue
		}
		m.stopping = true
		m.ends = p.view.now.Add(stopAllowance)
		m.worker.runsChanged()
		p.plan.moves = append(p.plan.moves, m.id)
	}
}
