package placement

import "rosemarywind.example/rosemarywind/internal/batch"

// Reason says why tasks of a step wait, in words for the log.
type Reason string

// The reasons for which tasks of a step wait.
const (
	NoCapacity       Reason = "no free capacity"
	CapacityPending  Reason = "capacity becomes free in time, or runs are stopped for it"
	CapacityReserved Reason = "capacity is kept for urgent or guaranteed work"
	NotApproved      Reason = "no worker is approved yet"
	NotIsolated      Reason = "a worker crashed under it, and other jobs' runs have just started where it fits"
	NoMatchingWorker Reason = "too few workers of the service have the required label and capacity"
)

// Wait is a step with tasks that a decision could not place, and the reason.
type Wait struct {
	step   batch.TaskID
	reason Reason
	tasks  int
}

// Step returns the key of the step's occurrence; its task index is 0.
func (w Wait) Step() batch.TaskID { return w.step }

// Reason returns the cause, which is never empty.
func (w Wait) Reason() Reason { return w.reason }

// Tasks returns the number of waiting tasks, at least 1.
func (w Wait) Tasks() int { return w.tasks }

// Waits returns the steps with waiting tasks, in the order in which the decision tried to place them.
func (p Plan) Waits() []Wait { return p.waits }

// recordWait adds a unit with waiting tasks to the plan, with the reason.
func (p *planner) recordWait(u *unit, tasks int) {
	if tasks == 0 {
		return
	}
	reason := u.reason
	switch {
	case reason != "":
	case u.suspicion.any() && p.fitsNow(u.smallestStart(), p.eligible(u)):
		reason = NotIsolated
	default:
		reason = NoCapacity
	}
	if !p.couldRun(u.smallestStart(), p.eligible(u)) {
		reason = NoMatchingWorker
		if u.queue.RequiresAdvice() {
			reason = NotApproved
		}
	}
	p.plan.waits = append(p.plan.waits, Wait{step: u.key, reason: reason, tasks: tasks})
}
