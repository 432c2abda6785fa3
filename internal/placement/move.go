package placement

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

const (
	// maxMoves bounds the tasks and gangs that a decision moves to faster workers.
	maxMoves = 2
	// maxMovedRun is the last run of a task that is moved, so that the same task is not moved again and again.
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
// task that is long by itself on a normal worker stays. Nothing moves while tasks wait for capacity.
func (p *planner) moveRuns() {
	if !p.view.speeds.Differ() || len(p.plan.waits) > 0 {
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
			if !p.gainsByMove(r) {
				continue
			}
			p.stopForMove(r)
			if count++; count == maxMoves {
				return
			}
		}
	}
}

// movable reports whether a run, or the gang that it belongs to, may be stopped to run elsewhere.
func (p *planner) movable(r *placedRun) bool {
	if r.stopping || r.id.Run() == 0 || r.id.Run() > maxMovedRun || r.step.LongRunning() {
		return false
	}
	return r.step.Checkpoints() && r.observed || r.step.Gang() && p.view.now.Sub(r.started) <= justBegun
}

// gainsByMove reports whether the run, or its gang, would miss a bound on its end where it is and meet it on free faster
// workers.
func (p *planner) gainsByMove(r *placedRun) bool {
	members := p.membersOf(r)
	stays, work := p.view.now, time.Duration(0)
	for _, m := range members {
		if m.ends.After(stays) {
			stays = m.ends
		}
		work = max(work, time.Duration(float64(m.ends.Sub(p.view.now)+p.lostByMove(m))*m.worker.speed))
	}
	slowest := p.fastestPlace(r, len(members))
	if slowest == 0 {
		return false
	}
	left := stays.Sub(p.view.now)
	ends := p.view.now.Add(moveDelay + time.Duration(float64(work)/slowest))
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

// fastestPlace returns the speed of the slowest worker that a task or a whole gang would use if it began now on the
// fastest free workers, or 0 if it does not fit.
func (p *planner) fastestPlace(r *placedRun, members int) float64 {
	id := r.id.Task()
	if r.step.Gang() && members < r.step.Count() {
		return 0
	}
	u := &unit{
		job: r.job, queue: p.view.state.CurrentQueue(r.job), step: r.step, key: id.StepKey(),
		tasks: r.job.Tasks(id.Occurrence(), id.Step()), waiting: members, duration: p.view.taskDuration(r.job, id.Step()),
		readySince: p.view.now, speeds: speedNeed{fastest: true}, waitPolicy: waitForAll,
	}
	if !r.step.Gang() {
		u.indexes = []int{id.Index()}
		if w := p.bestWorker(u, newAssignment(u), p.eligible(u)); w != nil && !u.avoids(w) {
			return w.speed
		}
		return 0
	}
	u.indexes = p.ascendingIndexes(members)
	var best *assignment
	for _, set := range p.candidateSets(u) {
		if as := p.assignBySpeed(u, set); as != nil && as.avoided == 0 && (best == nil || compareAssignments(as, best) < 0) {
			best = as
		}
	}
	if best == nil {
		return 0
	}
	slowest := best.workers[0].speed
	for _, w := range best.workers {
		slowest = min(slowest, w.speed)
	}
	return slowest
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
