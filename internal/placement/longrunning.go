package placement

import (
	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// toleratesStop reports whether a run may be preempted within its step's limit of missing tasks. Tasks that are not
// serving and runs that are already selected for preemption count as missing. Only a long-running step with a limit
// above 0 is bounded.
func (p *planner) toleratesStop(r *placedRun, selected []*placedRun) bool {
	if !r.step.LongRunning() || r.step.MaxUnavailable() == 0 {
		return true
	}
	id := r.id.Task()
	missing := 0
	for _, c := range selected {
		if c.id.Task().StepKey() == id.StepKey() {
			missing++
		}
	}
	for n, t := range r.job.Tasks(id.Occurrence(), id.Step()) {
		other := run.NewID(batch.NewTaskID(id.Job(), id.Occurrence(), id.Step(), n), t.Run())
		if n != id.Index() && (t.Phase() != batch.Placed || p.stopped[other] || !p.view.forecast.working[other]) {
			missing++
		}
	}
	return missing < r.step.MaxUnavailable()
}

// unrestrictedShare is the share of all accelerators in use up to which long-running tasks start without regard to
// guarantees.
const unrestrictedShare = 0.5

// keepsGuarantees reports whether starting count tasks of a unit leaves the guaranteed accelerators available. Only
// long-running tasks outside a guarantee can fail this: their step may limit how many of them can be preempted at once,
// so they could keep accelerators from the workspaces that have the guarantees.
func (p *planner) keepsGuarantees(u *unit, count int) bool {
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
