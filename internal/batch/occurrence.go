package batch

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

const (
	// maxOpenOccurrences bounds the occurrences of a job that the scheduler has under way at the same time. Later ones that
	// are due begin as these end, so that a job with an endless schedule takes bounded memory and time.
	maxOpenOccurrences = 256
	// maxOpenedAtOnce bounds how far after the open occurrences a command may begin one. Leaders of earlier versions begin
	// them in their order too, but without the bound on their number.
	maxOpenedAtOnce = 1 << 20
)

// occurrence is the progress of one execution of a job's steps; it is immutable.
type occurrence struct {
	number  int
	steps   []TaskList
	waiting int // tasks of all steps
	placed  int // tasks of all steps
}

// newOccurrence returns an occurrence with the given progress of its steps.
func newOccurrence(number int, steps []TaskList) occurrence {
	o := occurrence{number: number, steps: steps}
	for _, l := range steps {
		o.waiting += l.waiting
		o.placed += l.placed
	}
	return o
}

// freshOccurrence returns an occurrence of which no task has begun.
func freshOccurrence(steps []Step) occurrence {
	lists := make([]TaskList, len(steps))
	for i, s := range steps {
		lists[i] = newTaskList(s.count)
	}
	return newOccurrence(0, lists)
}

// withStep returns a copy with other progress of one step.
func (o occurrence) withStep(step int, l TaskList) occurrence {
	old := o.steps[step]
	o.waiting += l.waiting - old.waiting
	o.placed += l.placed - old.placed
	o.steps = slices.Clone(o.steps)
	o.steps[step] = l
	return o
}

// done reports whether all tasks are done.
func (o occurrence) done() bool { return o.waiting == 0 && o.placed == 0 }

// stepDone reports whether all tasks of a step are done.
func (o occurrence) stepDone(step int) bool {
	return o.steps[step].waiting == 0 && o.steps[step].placed == 0
}

// begun reports whether a task has been placed.
func (o occurrence) begun() bool {
	return slices.ContainsFunc(o.steps, func(l TaskList) bool { return l.MaxRun() > 0 })
}

// find returns the position of an open occurrence, or the position at which it would be.
func (j *Job) find(number int) (position int, open bool) {
	return slices.BinarySearchFunc(j.open, number, func(o occurrence, n int) int { return cmp.Compare(o.number, n) })
}

// occurrence returns the progress of an occurrence, which has not begun, is open or is done.
func (j *Job) occurrence(number int) occurrence {
	position, open := j.find(number)
	switch {
	case open:
		return j.open[position]
	case number >= j.next:
		o := j.fresh
		o.number = number
		return o
	}
	lists := make([]TaskList, len(j.spec.steps))
	for i, st := range j.spec.steps {
		lists[i] = newEndedTaskList(st.count)
	}
	return newOccurrence(number, lists)
}

// Open yields the numbers of the occurrences that have begun and are not done, in ascending order. The only occurrence
// of a job without a schedule stays open.
func (j *Job) Open() iter.Seq[int] {
	return func(yield func(int) bool) {
		for _, o := range j.open {
			if !yield(o.number) {
				return
			}
		}
	}
}

// Due yields the numbers of the occurrences that may run at the given time, in ascending order: the open ones, and the
// next ones that are due as far as fewer than maxOpenOccurrences are open.
func (j *Job) Due(now time.Time) iter.Seq[int] {
	return func(yield func(int) bool) {
		for n := range j.Open() {
			if !yield(n) {
				return
			}
		}
		last := min(j.next+maxOpenOccurrences-len(j.open), j.spec.occurrences)
		for n := j.next; n < last && !now.Before(j.spec.Due(n)); n++ {
			if !yield(n) {
				return
			}
		}
	}
}

// withOpen returns a copy in which an occurrence and all earlier ones that had not begun are open, and the position of
// that occurrence.
func (j *Job) withOpen(number int) (next *Job, position int) {
	copied := *j
	copied.open = slices.Clone(j.open)
	for ; copied.next <= number; copied.next++ {
		o := j.fresh
		o.number = copied.next
		copied.open = append(copied.open, o)
	}
	position, _ = copied.find(number)
	return &copied, position
}

// mayOpen reports whether an occurrence is open or may be opened.
func (j *Job) mayOpen(number int) bool {
	if _, open := j.find(number); open {
		return true
	}
	return number >= j.next && number < j.spec.occurrences && number-j.next < maxOpenedAtOnce
}

// ReadySteps yields the steps of an occurrence that have waiting tasks and whose earlier steps are done, in ascending
// order.
func (j *Job) ReadySteps(occurrence int) iter.Seq[int] {
	o := j.occurrence(occurrence)
	if _, open := j.find(occurrence); !open && occurrence >= j.next {
		return slices.Values(j.spec.roots)
	}
	return func(yield func(int) bool) {
		for i, l := range o.steps {
			if l.waiting > 0 && o.ready(j.spec.steps[i]) && !yield(i) {
				return
			}
		}
	}
}

// ready reports whether all steps that a step depends on are done.
func (o occurrence) ready(s Step) bool {
	return !slices.ContainsFunc(s.after, func(earlier int) bool { return !o.stepDone(earlier) })
}

// closeDone drops an open occurrence that is done from a job with a schedule, together with the records of its crashes.
func (j *Job) closeDone(position int) {
	o := j.open[position]
	if j.spec.occurrences == 1 || !o.done() {
		return
	}
	j.open = slices.Delete(j.open, position, position+1)
	j.crashes = withoutOccurrence(j.crashes, o.number)
}

// restoreOccurrences sets the open occurrences to those of a snapshot, given with their numbers and the progress of their
// steps, and the first number that has not begun.
func (j *Job) restoreOccurrences(numbers []int, steps [][]TaskList, next int) {
	j.next = next
	for i, n := range numbers {
		o := newOccurrence(n, steps[i])
		if j.spec.occurrences == 1 || !o.done() {
			j.open = append(j.open, o)
		}
	}
	// Most snapshots have all occurrences, those included that have not begun.
	for len(j.open) > 0 && j.open[len(j.open)-1].number == j.next-1 && !j.open[len(j.open)-1].begun() {
		j.open = j.open[:len(j.open)-1]
		j.next--
	}
}
