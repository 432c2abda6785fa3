package placement

import (
	"cmp"
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// unit is what begins together: a gang, or the waiting tasks of a step, which may begin one by one.
type unit struct {
	job     *batch.Job
	queue   batch.Queue
	step    batch.Step
	key     batch.TaskID
	indexes []int
	length  time.Duration // of one task
	slack   time.Duration // until it must begin to meet its objective
	next    time.Duration // until it must begin to meet its objective, or three times that
	sure    bool
	waits   patience
	reason  Reason    // why it was not placed, if that is known
	ready   time.Time // since when the unit could begin, as far as its tasks tell
}

// units returns what waits for workers.
func (p *planner) units(j *batch.Job, sure bool) (list []*unit) {
	if !j.Active() {
		return nil
	}
	q := p.view.state.CurrentQueue(j)
	spec, now := j.Spec(), p.view.now
	objective := p.objective(j)
	for k := range spec.Occurrences() {
		begin := j.Accepted()
		if due := spec.Due(k); !due.IsZero() {
			if now.Before(due) {
				continue
			}
			begin = due
		}
		for i, s := range spec.Steps() {
			u := &unit{job: j, queue: q, step: s, key: batch.NewTaskID(spec.ID(), k, i, 0), sure: sure, length: p.view.length(j, i)}
			u.indexes = waiting(j.Tasks(k, i))
			if len(u.indexes) == 0 || s.Gang() && len(u.indexes) < s.Count() || !j.Ready(k, i) {
				continue
			}
			u.ready = begin
			for _, t := range j.Tasks(k, i) {
				if t.Phase() == batch.Waiting && t.PhaseSince().After(u.ready) {
					u.ready = t.PhaseSince()
				}
			}
			u.slack = begin.Add(objective).Sub(now.Add(p.needed(j, i)))
			u.next = u.slack
			if s.LongRunning() {
				// Each moment that such a task is away counts, however long that has been.
				u.slack, u.next = max(u.slack, 0), max(u.slack, 0)
			}
			if u.slack < 0 {
				u.next += 2 * objective
			}
			list = append(list, u)
		}
	}
	return list
}

// least returns the part of the unit that can begin without the rest: a gang, or one task.
func (u *unit) least() *unit {
	if u.step.Gang() {
		return u
	}
	one := *u
	one.indexes = one.indexes[:1]
	return &one
}

// waitingAfter returns how many of the unit's tasks wait after some of them have begun.
func (u *unit) waitingAfter(begun []batch.Group) int {
	count := len(u.indexes)
	for _, g := range begun {
		count -= len(g.Members())
	}
	return count
}

func waiting(tasks []batch.Task) (indexes []int) {
	for n, t := range tasks {
		if t.Phase() == batch.Waiting {
			indexes = append(indexes, n)
		}
	}
	return indexes
}

// order sorts units: those within a guarantee, then by priority those that can still meet their objective, those with
// the least slack first, then the late ones.
func order(units []*unit) {
	slices.SortStableFunc(units, func(a, b *unit) int {
		return cmp.Or(
			-compareBool(a.sure, b.sure),
			cmp.Compare(rank(a), rank(b)),
			compareSlack(a, b),
			cmp.Compare(a.key.String(), b.key.String()),
		)
	})
}

// The ranks of units, lower first.
const (
	rankUrgent = 0
	rankTimely = 1
	rankLate   = 2
)

func rank(u *unit) int {
	switch {
	case u.slack >= 0 && u.queue.Priority() == 0:
		return rankUrgent
	case u.next >= 0:
		return rankTimely
	default:
		return rankLate
	}
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// compareSlack puts those with the least slack first; late ones with the least work come first among those.
func compareSlack(a, b *unit) int {
	if rank(a) == rankLate {
		return cmp.Compare(a.work(), b.work())
	}
	return cmp.Compare(a.next, b.next)
}
