package placement

import (
	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// mayMiss reports whether one more task of a step may be away, beside those that do not work now and those chosen to be
// stopped. Only a lasting step that states a number has a bound.
func (p *planner) mayMiss(h *holding, chosen []*holding) bool {
	if !h.step.LongRunning() || h.step.MaxUnavailable() == 0 {
		return true
	}
	id := h.id.Task()
	away := 0
	for _, c := range chosen {
		if c.id.Task().StepKey() == id.StepKey() {
			away++
		}
	}
	for n, t := range h.job.Tasks(id.Occurrence(), id.Step()) {
		other := run.NewID(batch.NewTaskID(id.Job(), id.Occurrence(), id.Step(), n), t.Run())
		if n != id.Index() && (t.Phase() != batch.Placed || p.stopped[other] || !p.view.forecast.working[other]) {
			away++
		}
	}
	return away < h.step.MaxUnavailable()
}

// openShare is the part of all accelerators up to which anything may begin that has room.
const openShare = 0.5

// keepsGuarantees reports whether count tasks leave the accelerators free that are guaranteed to others, if they last
// and so may not all be stopped for them.
func (p *planner) keepsGuarantees(u *unit, count int) bool {
	needs := count * u.step.Reserved().Accelerators()
	if !u.step.LongRunning() || u.sure || needs == 0 {
		return true
	}
	free := 0
	for _, e := range p.places {
		free += e.free.Accelerators()
	}
	if float64(p.accelerators-free+needs) <= openShare*float64(p.accelerators) {
		return true
	}
	return p.lasting+needs <= p.accelerators-p.view.state.Declaration().Guaranteed()
}
