package placement

import (
	"cmp"
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// unit is what the planner places in one go: a gang, whose tasks start together, or the waiting tasks of another step,
// which may start one by one.
type unit struct {
	job        *batch.Job
	queue      batch.Queue
	step       batch.Step
	key        batch.TaskID
	indexes    []int
	duration   time.Duration // of one task
	slack      time.Duration // until the unit must start for its job to meet its objective
	nextSlack  time.Duration // like slack, but for three times the objective once slack is negative
	guaranteed bool          // whether the workspace's guarantee covers the job
	waitPolicy waitPolicy
	reason     Reason // why tasks were not placed; empty if not known
	suspicion  suspicion
	readySince time.Time // the latest of acceptance, due time and the times since which its tasks wait
}

// units returns the units of a job that can start once workers have the capacity.
func (p *planner) units(j *batch.Job, guaranteed bool) (list []*unit) {
	if !j.Active() {
		return nil
	}
	q := p.view.state.CurrentQueue(j)
	spec, now := j.Spec(), p.view.now
	objective := p.objective(j)
	var remaining []time.Duration // by step; set once a step is ready
	for k := range j.Due(now) {
		begin := j.Accepted()
		if due := spec.Due(k); !due.IsZero() {
			begin = due
		}
		for i, s := range spec.Steps() {
			if !j.Ready(k, i) {
				continue
			}
			u := &unit{
				job: j, queue: q, step: s, key: batch.NewTaskID(spec.ID(), k, i, 0), guaranteed: guaranteed,
				duration: p.view.taskDuration(j, i),
			}
			u.indexes = waitingIndexes(j.Tasks(k, i))
			if len(u.indexes) == 0 || s.Gang() && len(u.indexes) < s.Count() {
				continue
			}
			u.readySince = begin
			if since := j.Tasks(k, i).WaitingSince(); since.After(u.readySince) {
				u.readySince = since
			}
			if remaining == nil {
				remaining = p.remainingTimes(j)
			}
			u.slack = begin.Add(objective).Sub(now.Add(remaining[i]))
			u.nextSlack = u.slack
			if s.LongRunning() {
				// Every moment in which a long-running task does not run counts, so it is never late, however long it
				// has waited.
				u.slack, u.nextSlack = max(u.slack, 0), max(u.slack, 0)
			}
			if u.slack < 0 {
				u.nextSlack += 2 * objective
			}
			list = append(list, u.splitBySuspicion()...)
		}
	}
	return list
}

// smallestStart returns the smallest part of the unit that can start on its own: the whole gang, or one task.
func (u *unit) smallestStart() *unit {
	if u.step.Gang() {
		return u
	}
	one := *u
	one.indexes = one.indexes[:1]
	return &one
}

// waitingAfter returns how many of the unit's tasks still wait once the given groups have started.
func (u *unit) waitingAfter(started []batch.Group) int {
	count := len(u.indexes)
	for _, g := range started {
		count -= len(g.Members())
	}
	return count
}

func waitingIndexes(tasks batch.TaskList) (indexes []int) {
	for n := range tasks.In(batch.Waiting) {
		indexes = append(indexes, n)
	}
	return indexes
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
