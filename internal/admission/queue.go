package admission

import (
	"slices"

	"rosemarywind.example/rosemarywind/internal/job"
)

// patientTurn gives every fourth grant to a patient request, so that urgent ones cannot starve it.
const patientTurn = 4

// Queue orders waiting items: urgent before patient, the workspaces in turn, the oldest first; it is for one thread.
type Queue[T any] struct {
	urgent  lane[T]
	patient lane[T]
	grants  int
	turn    int
}

// lane holds the waiting items of one urgency; the workspace at the front is the next one to be served.
type lane[T any] struct {
	shares []share[T]
}

type share[T any] struct {
	workspace string
	items     []T
}

// NewQueue returns an empty queue.
func NewQueue[T any]() *Queue[T] { return &Queue[T]{turn: patientTurn} }

// WithPatientTurn lets every n-th grant go to a patient request, or none if n is 0; it returns the queue.
func (q *Queue[T]) WithPatientTurn(n int) *Queue[T] {
	q.turn = n
	return q
}

// Push adds an item of a workspace behind its others of the same urgency.
func (q *Queue[T]) Push(workspace string, urgency job.Urgency, item T) {
	if urgency == job.Urgent {
		q.urgent.push(workspace, item)
		return
	}
	q.patient.push(workspace, item)
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return q.urgent.len() + q.patient.len() }

// Next removes and returns the first item that admit takes; a workspace that admit refused is asked once.
func (q *Queue[T]) Next(admit func(workspace string) bool) (item T, ok bool) {
	first, second := &q.urgent, &q.patient
	if q.turn > 0 && q.grants%q.turn == q.turn-1 {
		first, second = second, first
	}
	var refused []string
	for _, l := range []*lane[T]{first, second} {
		if item, ok = l.take(admit, &refused); ok {
			q.grants++
			return item, true
		}
	}
	return item, false
}

// Drop removes the items for which gone reports true.
func (q *Queue[T]) Drop(gone func(T) bool) {
	q.urgent.drop(gone)
	q.patient.drop(gone)
}

func (l *lane[T]) push(workspace string, item T) {
	for i := range l.shares {
		if l.shares[i].workspace == workspace {
			l.shares[i].items = append(l.shares[i].items, item)
			return
		}
	}
	l.shares = append(l.shares, share[T]{workspace: workspace, items: []T{item}})
}

func (l *lane[T]) len() (n int) {
	for _, s := range l.shares {
		n += len(s.items)
	}
	return n
}

// take serves the first workspace that admit takes and puts it behind the others.
func (l *lane[T]) take(admit func(string) bool, refused *[]string) (item T, ok bool) {
	for i, s := range l.shares {
		if slices.Contains(*refused, s.workspace) {
			continue
		}
		if !admit(s.workspace) {
			*refused = append(*refused, s.workspace)
			continue
		}
		item, s.items = s.items[0], s.items[1:]
		l.shares = slices.Delete(l.shares, i, i+1)
		if len(s.items) > 0 {
			l.shares = append(l.shares, s)
		}
		return item, true
	}
	return item, false
}

func (l *lane[T]) drop(gone func(T) bool) {
	for i := range l.shares {
		l.shares[i].items = slices.DeleteFunc(l.shares[i].items, gone)
	}
	l.shares = slices.DeleteFunc(l.shares, func(s share[T]) bool { return len(s.items) == 0 })
}
