package batch

import (
	"iter"
	"slices"
	"time"
)

// blockSize is the number of tasks in a block of a TaskList; its last block may have fewer.
const blockSize = 128

// TaskList is the progress of the tasks of a step in one occurrence; it is immutable. It consists of blocks. A change
// copies one block, and tasks that have not begun share one block among all lists, so that they take no memory.
type TaskList struct {
	blocks  []block
	size    int
	waiting int
	placed  int
}

// block is a part of a TaskList.
type block struct {
	tasks   []Task
	waiting int
	placed  int
}

var (
	waitingTasks = slices.Repeat([]Task{{phase: Waiting}}, blockSize)
	endedTasks   = slices.Repeat([]Task{{phase: Ended}}, blockSize)
)

// newTaskList returns a list of tasks that have not begun.
func newTaskList(size int) TaskList {
	l := TaskList{size: size, waiting: size, blocks: make([]block, 0, (size+blockSize-1)/blockSize)}
	for left := size; left > 0; left -= blockSize {
		n := min(left, blockSize)
		l.blocks = append(l.blocks, block{tasks: waitingTasks[:n], waiting: n})
	}
	return l
}

// newEndedTaskList returns a list of tasks that are done, without their last runs.
func newEndedTaskList(size int) TaskList {
	l := TaskList{size: size, blocks: make([]block, 0, (size+blockSize-1)/blockSize)}
	for left := size; left > 0; left -= blockSize {
		l.blocks = append(l.blocks, block{tasks: endedTasks[:min(left, blockSize)]})
	}
	return l
}

// notBegun reports whether no task of the block has been placed, so that all are equal.
func (b block) notBegun() bool { return len(b.tasks) > 0 && &b.tasks[0] == &waitingTasks[0] }

// Len returns the number of tasks.
func (l TaskList) Len() int { return l.size }

// At returns the task with the given index, from 0.
func (l TaskList) At(index int) Task { return l.blocks[index/blockSize].tasks[index%blockSize] }

// Count returns the number of tasks in a phase.
func (l TaskList) Count(p Phase) int {
	switch p {
	case Waiting:
		return l.waiting
	case Placed:
		return l.placed
	case Ended:
		return l.size - l.waiting - l.placed
	}
	return 0
}

// All yields the tasks with their indexes.
func (l TaskList) All() iter.Seq2[int, Task] {
	return func(yield func(int, Task) bool) {
		for i, b := range l.blocks {
			for n, t := range b.tasks {
				if !yield(i*blockSize+n, t) {
					return
				}
			}
		}
	}
}

// In yields the tasks in a phase with their indexes. It passes over blocks without such tasks.
func (l TaskList) In(p Phase) iter.Seq2[int, Task] {
	return func(yield func(int, Task) bool) {
		for i, b := range l.blocks {
			if b.count(p) == 0 {
				continue
			}
			for n, t := range b.tasks {
				if t.phase == p && !yield(i*blockSize+n, t) {
					return
				}
			}
		}
	}
}

// WaitingSince returns the latest time at which a run of a waiting task ended, the zero time if none has run.
func (l TaskList) WaitingSince() (latest time.Time) {
	for _, b := range l.blocks {
		if b.waiting == 0 || b.notBegun() {
			continue
		}
		for _, t := range b.tasks {
			if t.phase == Waiting && t.phaseSince.After(latest) {
				latest = t.phaseSince
			}
		}
	}
	return latest
}

// MaxRun returns the highest number of a run of any task, 0 if none has been placed.
func (l TaskList) MaxRun() (highest int) {
	for _, b := range l.blocks {
		if b.notBegun() {
			continue
		}
		for _, t := range b.tasks {
			highest = max(highest, t.run)
		}
	}
	return highest
}

func (b block) count(p Phase) int {
	switch p {
	case Waiting:
		return b.waiting
	case Placed:
		return b.placed
	case Ended:
		return len(b.tasks) - b.waiting - b.placed
	}
	return 0
}

// taskEditor changes a copy of a TaskList; it copies each block once.
type taskEditor struct {
	list   TaskList
	copied []bool // by block
}

// edit returns an editor of a copy of the list.
func (l TaskList) edit() *taskEditor {
	l.blocks = slices.Clone(l.blocks)
	return &taskEditor{list: l, copied: make([]bool, len(l.blocks))}
}

// change applies f to a task.
func (e *taskEditor) change(index int, f func(*Task)) {
	i := index / blockSize
	b := &e.list.blocks[i]
	if !e.copied[i] {
		b.tasks, e.copied[i] = slices.Clone(b.tasks), true
	}
	t := &b.tasks[index%blockSize]
	e.count(b, t.phase, -1)
	f(t)
	e.count(b, t.phase, 1)
}

// changeAll applies f to all tasks.
func (e *taskEditor) changeAll(f func(*Task)) {
	for index := range e.list.size {
		e.change(index, f)
	}
}

func (e *taskEditor) count(b *block, p Phase, n int) {
	switch p {
	case Waiting:
		b.waiting += n
		e.list.waiting += n
	case Placed:
		b.placed += n
		e.list.placed += n
	case Ended:
	}
}

// TaskListBuilder builds a TaskList from the tasks of a snapshot; its zero value is an empty list.
type TaskListBuilder struct {
	list TaskList
	last []Task // of the block that is not complete
}

// Add appends a task count times.
func (b *TaskListBuilder) Add(t Task, count int) {
	for count > 0 {
		if len(b.last) == 0 && count >= blockSize && t == waitingTasks[0] {
			b.append(block{tasks: waitingTasks, waiting: blockSize})
			count -= blockSize
			continue
		}
		n := min(count, blockSize-len(b.last))
		b.last = append(b.last, slices.Repeat([]Task{t}, n)...)
		count -= n
		if len(b.last) == blockSize {
			b.addBlock()
		}
	}
}

// Build returns the list of the tasks; the builder must not be used after that.
func (b *TaskListBuilder) Build() TaskList {
	if len(b.last) > 0 {
		b.addBlock()
	}
	return b.list
}

// addBlock appends the last block; it shares its tasks if none has begun.
func (b *TaskListBuilder) addBlock() {
	added, notBegun := block{tasks: b.last}, true
	for _, t := range b.last {
		notBegun = notBegun && t == waitingTasks[0]
		switch t.phase {
		case Waiting:
			added.waiting++
		case Placed:
			added.placed++
		case Ended:
		}
	}
	if notBegun {
		added.tasks = waitingTasks[:len(b.last)]
	}
	b.append(added)
	b.last = nil
}

func (b *TaskListBuilder) append(added block) {
	b.list.blocks = append(b.list.blocks, added)
	b.list.size += len(added.tasks)
	b.list.waiting += added.waiting
	b.list.placed += added.placed
}
