package admission

import (
	"slices"

	"rosemarywind.example/rosemarywind/internal/job"
)

// patientTurn gives every fourth grant to a patient request, so that urgent ones cannot starve it.
const patientTurn = 4

// Queue orders waiting items: urgent before patient, the oldest first; it is for one thread.
type Queue[T any] struct {
	urgent  []entry[T]
	patient []entry[T]
	grants  int
}

type entry[T any] struct {
	workspace string
	item      T
}

// NewQueue returns an empty queue.
func NewQueue[T any]() *Queue[T] { return &Queue[T]{} }

// Push adds an item of a workspace behind those of the same urgency.
func (q *Queue[T]) Push(workspace string, urgency job.Urgency, item T) {
	e := entry[T]{workspace: workspace, item: item}
	if urgency == job.Urgent {
		q.urgent = append(q.urgent, e)
		return
	}
	q.patient = append(q.patient, e)
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return len(q.urgent) + len(q.patient) }

// Next removes and returns the first item that admit takes; a workspace that admit refused is asked once.
func (q *Queue[T]) Next(admit func(workspace string) bool) (item T, ok bool) {
	first, second := &q.urgent, &q.patient
	if q.grants%patientTurn == patientTurn-1 {
		first, second = second, first
	}
	var refused []string
	for _, list := range []*[]entry[T]{first, second} {
		if item, ok = take(list, admit, &refused); ok {
			q.grants++
			return item, true
		}
	}
	return item, false
}

// Drop removes the items for which gone reports true.
func (q *Queue[T]) Drop(gone func(T) bool) {
	match := func(e entry[T]) bool { return gone(e.item) }
	q.urgent = slices.DeleteFunc(q.urgent, match)
	q.patient = slices.DeleteFunc(q.patient, match)
}

func take[T any](list *[]entry[T], admit func(string) bool, refused *[]string) (item T, ok bool) {
	for i, e := range *list {
		if slices.Contains(*refused, e.workspace) {
			continue
		}
		if !admit(e.workspace) {
			*refused = append(*refused, e.workspace)
			continue
		}
		*list = slices.Delete(*list, i, i+1)
		return e.item, true
	}
	return item, false
}
