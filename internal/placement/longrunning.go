package placement

import (
	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// toleratesPreemption reports whether the step of a run still has at most MaxUnavailable tasks unavailable if the run
// is preempted. Tasks that are not serving and runs that are already selected for preemption count as unavailable. Only
// a long-running step with a limit above 0 is bounded.
func (p *planner) toleratesPreemption(r *placedRun, selected []*placedRun) bool {
	if !r.step.LongRunning() || r.step.MaxUnavailable() == 0 {
		return true
	}
	id := r.id.Task()
	unavailable := 0
	for _, c := range selected {
		if c.id.Task().StepKey() == id.StepKey() {
			unavailable++
		}
	}
	unavailable += p.countUnavailable(r.job, id.StepKey())
	if !p.serves(r.id) {
		unavailable--
	}
	return unavailable < r.step.MaxUnavailable()
}

// countUnavailable returns the number of tasks of a step that are not serving or that this decision stops.
func (p *planner) countUnavailable(j *batch.Job, step batch.TaskID) int {
	if count, known := p.unavailable[step]; known {
		return count
	}
	tasks := j.Tasks(step.Occurrence(), step.Step())
	count := tasks.Len() - tasks.Count(batch.Placed)
	for n, t := range tasks.In(batch.Placed) {
		if !p.serves(run.NewID(batch.NewTaskID(step.Job(), step.Occurrence(), step.Step(), n), t.Run())) {
			count++
		}
	}
	p.unavailable[step] = count
	return count
}

// serves reports whether a placed run of a long-running task is serving and is not stopped by this decision.
func (p *planner) serves(id run.ID) bool { return p.view.forecast.serving[id] && !p.stopped[id] }

// unrestrictedShare is a share of all accelerators. While no more than this share is in use, long-running tasks start
// without regard to guarantees.
const unrestrictedShare = 0.5

// guaranteesPermit reports whether count tasks of a unit may start beside the guarantees of all workspaces. It refuses
// only long-running tasks outside a guarantee that would bring the use of accelerators above unrestrictedShare and
// leave fewer than the guaranteed accelerators to all other tasks: their step may limit how many of them can be preempted
// at once, so they could keep accelerators from the workspaces that have the guarantees.
func (p *planner) guaranteesPermit(u *unit, count int) bool {
	needs := count * u.step.Reserved().Accelerators()
	if !u.step.LongRunning() || u.guaranteed || needs == 0 {
		return true
	}
	free := 0
	for _, w := range p.workers {
		free += w.free.Accelerators()
	}
	if float64(p.totalAccelerators-free+needs) <= unrestrictedShare*float64(p.totalAccelerators) {
		return true
	}
	return p.longRunning+needs <= p.totalAccelerators-p.view.state.Declaration().Guaranteed()
}
