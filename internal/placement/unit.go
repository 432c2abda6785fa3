package placement

import (
	"cmp"
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// unit is what the planner places in one go: a gang, whose tasks start together, or waiting tasks of another step, which
// may start one by one.
type unit struct {
	job        *batch.Job
	queue      batch.Queue
	step       batch.Step
	key        batch.TaskID
	tasks      batch.TaskList
	indexes    []int         // of the tasks to place; shared with other units
	waiting    int           // all tasks of the unit that wait, also those that are left to a later decision
	gangRun    int           // number of the next run of a gang
	duration   time.Duration // of one task
	slack      time.Duration // until the unit must start for its job to meet its objective
	nextSlack  time.Duration // like slack, but for three times the objective once slack is negative
	guaranteed bool          // whether the workspace's guarantee covers the job
	waitPolicy waitPolicy
	speedNeed  speedNeed
	reason     Reason // why tasks were not placed; empty if not known
	suspicion  suspicion
	readySince time.Time // the latest of acceptance, due time and the times since which its tasks wait
}

const (
	// maxJobTasks bounds the tasks of a job that a decision tries to place. A unit gets half of what is left, and
	// minUnitTasks at least, so that a step with many tasks keeps no other step out. The others wait for a later decision,
	// so that it does not grow with the tasks and times that callers ask for.
	maxJobTasks  = 8192
	minUnitTasks = 16
	// maxJobSteps bounds the steps of a job that a decision looks at, over all occurrences that are due.
	maxJobSteps = 1 << 16
	// maxJobUnits and minJobUnits bound the units of a job in a decision, of which there is one for each step that is
	// ready in each occurrence that is due. Steps that no worker could run have a bound of their own, so that they keep no
	// others out.
	maxJobUnits = 256
	minJobUnits = 16
	// maxUnits is the number of units in a decision above which each job gets fewer than maxJobUnits.
	maxUnits = 16_384
)

// units returns the units of a job that can start once workers have the capacity, within the bounds on a decision.
func (p *planner) units(j *batch.Job, guaranteed bool) (list []*unit) {
	if !j.Active() {
		return nil
	}
	q := p.view.state.CurrentQueue(j)
	objective := p.objective(j)
	var remaining []time.Duration // by step; set once a step is ready
	left := jobBounds{steps: maxJobSteps, units: p.unitsPerJob, unsuitable: p.unitsPerJob, tasks: maxJobTasks}
	for k := range j.Due(p.view.now) {
		for i := range j.ReadySteps(k) {
			if left.exhausted() {
				return list
			}
			left.steps--
			suitable := p.suitable(q, j.Spec().Steps()[i])
			if !left.admits(j.Spec().Steps()[i], suitable) {
				continue
			}
			limit := max(left.tasks/2, minUnitTasks)
			if !suitable {
				// One task stands for all of a step that no worker can run.
				limit = 1
			}
			u := p.newUnit(j, q, batch.NewTaskID(j.Spec().ID(), k, i, 0), limit)
			if u == nil {
				continue
			}
			left.take(u, suitable)
			u.guaranteed = guaranteed
			if remaining == nil {
				remaining = p.remainingTimes(j)
			}
			u.setSlack(p.view.now, objective, remaining[i])
			list = append(list, u.splitBySuspicion()...)
		}
	}
	return list
}

// jobBounds holds how much of a job a decision may still try.
type jobBounds struct {
	steps      int // to look at
	units      int
	unsuitable int // units of steps that no worker could run
	tasks      int
}

func (b *jobBounds) exhausted() bool { return b.steps == 0 || b.units == 0 }

// admits reports whether there may be a unit for one more step. Of gangs with more than maxJobTasks there may be one.
func (b *jobBounds) admits(s batch.Step, suitable bool) bool {
	if s.Gang() && s.Count() > maxJobTasks && b.tasks < maxJobTasks {
		return false
	}
	return suitable || b.unsuitable > 0
}

// take counts a unit.
func (b *jobBounds) take(u *unit, suitable bool) {
	if !suitable {
		b.unsuitable--
		return
	}
	b.units--
	b.tasks = max(b.tasks-len(u.indexes), 0)
}

// newUnit returns the unit of a step that is ready, with at most the given number of tasks unless it is a gang. It returns
// nil for a gang of which not all tasks wait.
func (p *planner) newUnit(j *batch.Job, q batch.Queue, key batch.TaskID, limit int) *unit {
	s, tasks := j.Spec().Steps()[key.Step()], j.Tasks(key.Occurrence(), key.Step())
	u := &unit{
		job: j, queue: q, step: s, key: key, tasks: tasks, waiting: tasks.Count(batch.Waiting),
		duration: p.view.taskDuration(j, key.Step()), readySince: j.Accepted(),
	}
	if s.Gang() {
		if u.waiting < s.Count() {
			return nil
		}
		limit, u.gangRun = s.Count(), tasks.MaxRun()+1
	}
	u.indexes = p.waitingIndexes(tasks, min(limit, u.waiting))
	if due := j.Spec().Due(key.Occurrence()); !due.IsZero() {
		u.readySince = due
	}
	if since := tasks.WaitingSince(); since.After(u.readySince) {
		u.readySince = since
	}
	return u
}

// setSlack sets the slack of a unit of a job that has the given objective, of which the remaining time is left from the
// unit's step on.
func (u *unit) setSlack(now time.Time, objective, remaining time.Duration) {
	begin := u.job.Accepted()
	if due := u.job.Spec().Due(u.key.Occurrence()); !due.IsZero() {
		begin = due
	}
	u.slack = begin.Add(objective).Sub(now.Add(remaining))
	u.nextSlack = u.slack
	if u.step.LongRunning() {
		// Every moment in which a long-running task does not run counts, so it is never late, however long it has waited.
		u.slack, u.nextSlack = max(u.slack, 0), max(u.slack, 0)
	}
	if u.slack < 0 {
		u.nextSlack += 2 * objective
	}
}

// suitable reports whether the workers outside quarantine could run a task of a step, or a whole gang, if they ran nothing
// else.
func (p *planner) suitable(q batch.Queue, s batch.Step) bool {
	if s.Reserved() == (batch.Resources{}) {
		return true
	}
	if s.Gang() {
		return p.slots(q, s) >= float64(s.Count())
	}
	return p.slots(q, s) > 0
}

// waitingIndexes returns the indexes of the first waiting tasks, up to the given number, which must not be more than
// there are.
func (p *planner) waitingIndexes(tasks batch.TaskList, count int) (indexes []int) {
	if tasks.Count(batch.Waiting) == tasks.Len() {
		return p.ascendingIndexes(count)
	}
	indexes = make([]int, 0, count)
	for n := range tasks.In(batch.Waiting) {
		if len(indexes) == count {
			break
		}
		indexes = append(indexes, n)
	}
	return indexes
}

// ascendingIndexes returns the given number of indexes from 0, in a list that must not be changed.
func (p *planner) ascendingIndexes(count int) []int {
	for n := len(p.ascending); n < count; n++ {
		p.ascending = append(p.ascending, n)
	}
	return p.ascending[:count:count]
}

// smallestStart returns the smallest part of the unit that can start on its own: the whole gang, or one task.
func (u *unit) smallestStart() *unit {
	if u.step.Gang() {
		return u
	}
	one := *u
	one.indexes, one.waiting = one.indexes[:1], 1
	return &one
}

// waitingAfter returns how many of the unit's tasks still wait once the given groups have started.
func (u *unit) waitingAfter(started []batch.Group) int {
	count := u.waiting
	for _, g := range started {
		count -= len(g.Members())
	}
	return count
}

// sortUnits sorts units for placement: those within a guarantee first, then by rank, and within a rank by the least
// slack, or by the least work for late ones. The key makes the order total.
func sortUnits(units []*unit) {
	slices.SortStableFunc(units, func(a, b *unit) int {
		return cmp.Or(
			-compareBool(a.guaranteed, b.guaranteed),
			cmp.Compare(rank(a), rank(b)),
			compareSlack(a, b),
			cmp.Compare(a.key.String(), b.key.String()),
		)
	})
}

// The ranks of units in the order of placement.
const (
	rankUrgent = 0 // priority 0 and can meet its objective
	rankTimely = 1 // can end within its objective, or within three times that
	rankLate   = 2 // cannot
)

func rank(u *unit) int {
	switch {
	case u.slack >= 0 && u.queue.Priority() == 0:
		return rankUrgent
	case u.nextSlack >= 0:
		return rankTimely
	default:
		return rankLate
	}
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// compareSlack orders units of one rank: late ones by the least work, the others by the least slack.
func compareSlack(a, b *unit) int {
	if rank(a) == rankLate {
		return cmp.Compare(a.work(), b.work())
	}
	return cmp.Compare(a.nextSlack, b.nextSlack)
}
