package placement

import (
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// Reason says why tasks of a step wait, in words for the log.
type Reason string

// The reasons for which tasks of a step wait.
const (
	NoCapacity       Reason = "no free capacity"
	CapacityPending  Reason = "capacity becomes free in time, or runs are stopped for it"
	CapacityReserved Reason = "capacity is kept for urgent or guaranteed work"
	Deferred         Reason = "left to the next decision"
	NotApproved      Reason = "no worker is approved yet"
	NotIsolated      Reason = "a worker crashed under it, and other jobs' runs have just started where it fits"
	NoMatchingWorker Reason = "too few workers of the service have the required label and capacity"
)

// Obstacle says why a waiting task does not start on a worker that accepts runs.
type Obstacle string

// The obstacles, in the order in which they are looked for.
const (
	OtherLabel  Obstacle = "other label"
	Unapproved  Obstacle = "not approved"
	OtherRack   Obstacle = "not in the rack of its data"
	TooSmall    Obstacle = "too small"
	NoRoom      Obstacle = "no room"
	WorkerLimit Obstacle = "limit per worker"
	Isolation   Obstacle = "kept apart after a crash"
	Reserved    Obstacle = "reserved"
	// NoObstacle is for a worker with room for the task, which waits for other workers or for capacity that is kept.
	NoObstacle Obstacle = "room"
)

// Wait is a step with tasks that a decision could not place, and the reason.
type Wait struct {
	step      batch.TaskID
	service   string
	reason    Reason
	tasks     int
	since     time.Time
	obstacles map[Obstacle]int
}

// Step returns the key of the step's occurrence; its task index is 0.
func (w Wait) Step() batch.TaskID { return w.step }

// Reason returns the cause, which is never empty.
func (w Wait) Reason() Reason { return w.reason }

// Tasks returns the number of waiting tasks, at least 1.
func (w Wait) Tasks() int { return w.tasks }

// Since returns since when the tasks have been ready to start.
func (w Wait) Since() time.Time { return w.since }

// Service returns the service whose workers may run the step.
func (w Wait) Service() string { return w.service }

// Obstacles returns how many workers of the service in the view the step does not use for each obstacle; it is nil if the
// plan does not explain this wait.
func (w Wait) Obstacles() map[Obstacle]int { return w.obstacles }

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
	w := Wait{step: u.key, service: u.queue.Service(), reason: reason, tasks: tasks, since: u.readySince}
	if p.explained < p.view.explained && p.view.now.Sub(u.readySince) >= p.view.explainAfter {
		p.explained++
		w.obstacles = p.obstacles(u)
	}
	p.plan.waits = append(p.plan.waits, w)
}

// obstacles counts the workers of the unit's service by the obstacle to one more of its tasks.
func (p *planner) obstacles(u *unit) map[Obstacle]int {
	counts, eligible := map[Obstacle]int{}, p.eligible(u)
	for _, w := range p.workers {
		if w.service == u.queue.Service() {
			counts[p.obstacle(u, w, eligible)]++
		}
	}
	return counts
}

func (p *planner) obstacle(u *unit, w *workerState, eligible []*workerState) Obstacle {
	needs := u.step.Reserved()
	switch {
	case !p.matches(u, w):
		return OtherLabel
	case !p.approved(u, w):
		return Unapproved
	case !slices.Contains(eligible, w):
		return OtherRack
	case !needs.Fits(w.capacity):
		return TooSmall
	case !needs.Fits(w.free):
		return NoRoom
	case u.step.MaxPerWorker() > 0 && p.countPlaced(u, w) >= u.step.MaxPerWorker():
		return WorkerLimit
	case !p.isolated(u, w):
		return Isolation
	case !p.fits(u, newAssignment(u), w, w.free):
		return Reserved
	}
	return NoObstacle
}
