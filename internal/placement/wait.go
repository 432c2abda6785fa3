package placement

import "rosemarywind.example/rosemarywind/internal/batch"

// Reason says why a step waits.
type Reason string

// The reasons for which a step waits.
const (
	NoRoom       Reason = "no room"
	RoomComes    Reason = "room comes in time, or others are stopped for it"
	RoomKept     Reason = "room is kept for urgent or guaranteed work"
	NotApproved  Reason = "no worker is approved yet"
	NoSuchWorker Reason = "no worker of its service has what it needs"
)

// Wait is a step of which tasks wait, for a reason.
type Wait struct {
	step   batch.TaskID
	reason Reason
	tasks  int
}

// Step returns the key of the step's occurrence.
func (w Wait) Step() batch.TaskID { return w.step }

// Reason returns why it waits.
func (w Wait) Reason() Reason { return w.reason }

// Tasks returns how many of its tasks wait.
func (w Wait) Tasks() int { return w.tasks }

// Waits returns the steps that wait, in the order in which they were tried.
func (p Plan) Waits() []Wait { return p.waits }

// wait notes why tasks of a unit wait.
func (p *planner) wait(u *unit, tasks int) {
	if tasks == 0 {
		return
	}
	reason := u.reason
	if reason == "" {
		reason = NoRoom
	}
	if !p.couldHold(u.least(), p.eligible(u)) {
		reason = NoSuchWorker
		if u.queue.RequiresAdvice() {
			reason = NotApproved
		}
	}
	p.plan.waits = append(p.plan.waits, Wait{step: u.key, reason: reason, tasks: tasks})
}
