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
	number     int
	tasks      [][]Task // by step and index
	unfinished []int    // by step, the number of tasks that are not done
}

// newOccurrence returns an occurrence of which no task has begun.
func newOccurrence(steps []Step) occurrence {
	o := occurrence{tasks: make([][]Task, len(steps)), unfinished: make([]int, len(steps))}
	for i, s := range steps {
		o.tasks[i] = slices.Repeat([]Task{{phase: Waiting}}, s.count)
		o.unfinished[i] = s.count
	}
	return o
}

// restoreOccurrence returns an occurrence with the tasks of a snapshot.
func restoreOccurrence(number int, tasks [][]Task) occurrence {
	o := occurrence{number: number, tasks: tasks, unfinished: make([]int, len(tasks))}
	for i := range tasks {
		o.unfinished[i] = countUnfinished(tasks[i])
	}
	return o
}

func countUnfinished(tasks []Task) (count int) {
	for _, t := range tasks {
		if t.phase != Ended {
			count++
		}
	}
	return count
}

// withStepCopy returns a copy in which the tasks of one step may be modified.
func (o occurrence) withStepCopy(step int) occurrence {
	o.tasks = slices.Clone(o.tasks)
	o.tasks[step] = slices.Clone(o.tasks[step])
	o.unfinished = slices.Clone(o.unfinished)
	return o
}

// done reports whether all tasks are done.
func (o occurrence) done() bool {
	return !slices.ContainsFunc(o.unfinished, func(count int) bool { return count > 0 })
}

// has reports whether a task is in a phase.
func (o occurrence) has(p Phase) bool {
	return slices.ContainsFunc(o.tasks, func(tasks []Task) bool {
		return slices.ContainsFunc(tasks, func(t Task) bool { return t.phase == p })
	})
}

// begun reports whether a task has been placed.
func (o occurrence) begun() bool {
	return slices.ContainsFunc(o.tasks, func(tasks []Task) bool {
		return slices.ContainsFunc(tasks, func(t Task) bool { return t.run > 0 })
	})
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
	o := newOccurrence(j.spec.steps)
	o.number = number
	for i := range o.tasks {
		clear(o.unfinished)
		for n := range o.tasks[i] {
			o.tasks[i][n].phase = Ended
		}
	}
	return o
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

// closeDone drops an open occurrence that is done from a job with a schedule, together with the records of its crashes.
func (j *Job) closeDone(position int) {
	o := j.open[position]
	if j.spec.occurrences == 1 || !o.done() {
		return
	}
	j.open = slices.Delete(j.open, position, position+1)
	j.crashes = withoutOccurrence(j.crashes, o.number)
}

// restoreOccurrences sets the open occurrences to those of a snapshot, given with their numbers, and the first number
// that has not begun.
func (j *Job) restoreOccurrences(numbers []int, tasks [][][]Task, next int) {
	j.next = next
	for i, n := range numbers {
		o := restoreOccurrence(n, tasks[i])
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
