package admission

import (
	"slices"

	"rosemarywind.example/rosemarywind/internal/job"
)

// defaultPatientInterval gives every fourth grant to a patient request, so that urgent requests cannot starve it.
const defaultPatientInterval = 4

// Queue orders waiting items: urgent before patient, then round robin over the workspaces, then first in, first out. It
// is not safe for concurrent use.
type Queue[T any] struct {
	urgent          urgencyClass[T]
	patient         urgencyClass[T]
	grants          int
	patientInterval int
}

// urgencyClass holds the waiting items of one urgency. The workspace at the front is served next.
type urgencyClass[T any] struct {
	workspaces []workspaceQueue[T]
}

// workspaceQueue holds the waiting items of one workspace, oldest first.
type workspaceQueue[T any] struct {
	workspace string
	items     []T
}

// NewQueue returns an empty queue in which every fourth grant goes to a patient item.
func NewQueue[T any]() *Queue[T] { return &Queue[T]{patientInterval: defaultPatientInterval} }

// WithPatientInterval makes every n-th grant go to a patient item if one waits, 0 for none, and returns the queue.
func (q *Queue[T]) WithPatientInterval(n int) *Queue[T] {
	q.patientInterval = n
	return q
}

// Push appends an item to those of the same workspace and urgency.
func (q *Queue[T]) Push(workspace string, urgency job.Urgency, item T) {
	if urgency == job.Urgent {
		q.urgent.push(workspace, item)
		return
	}
	q.patient.push(workspace, item)
}

// Len returns the number of waiting items of all workspaces.
func (q *Queue[T]) Len() int { return q.urgent.len() + q.patient.len() }

// Next removes and returns the first item whose workspace admit accepts. It calls admit at most once for a workspace
// that admit rejects; ok is false if admit accepts none.
func (q *Queue[T]) Next(admit func(workspace string) bool) (item T, ok bool) {
	first, second := &q.urgent, &q.patient
	if q.patientInterval > 0 && q.grants%q.patientInterval == q.patientInterval-1 {
		first, second = second, first
	}
	var rejected []string
	for _, c := range []*urgencyClass[T]{first, second} {
		if item, ok = c.take(admit, &rejected); ok {
			q.grants++
			return item, true
		}
	}
	return item, false
}

// RemoveIf removes the items for which abandoned reports true.
func (q *Queue[T]) RemoveIf(abandoned func(T) bool) {
	q.urgent.removeIf(abandoned)
	q.patient.removeIf(abandoned)
}

func (c *urgencyClass[T]) push(workspace string, item T) {
	for i := range c.workspaces {
		if c.workspaces[i].workspace == workspace {
			c.workspaces[i].items = append(c.workspaces[i].items, item)
			return
		}
	}
	c.workspaces = append(c.workspaces, workspaceQueue[T]{workspace: workspace, items: []T{item}})
}

func (c *urgencyClass[T]) len() (n int) {
	for _, wq := range c.workspaces {
		n += len(wq.items)
	}
	return n
}

// take removes and returns the oldest item of the first workspace that admit accepts, and moves the workspace to the
// back. It appends workspaces that admit rejects to rejected and skips those that are in it.
func (c *urgencyClass[T]) take(admit func(string) bool, rejected *[]string) (item T, ok bool) {
	for i, wq := range c.workspaces {
		if slices.Contains(*rejected, wq.workspace) {
			continue
		}
		if !admit(wq.workspace) {
			*rejected = append(*rejected, wq.workspace)
			continue
		}
		item, wq.items = wq.items[0], wq.items[1:]
		c.workspaces = slices.Delete(c.workspaces, i, i+1)
		if len(wq.items) > 0 {
			c.workspaces = append(c.workspaces, wq)
		}
		return item, true
	}
	return item, false
}

func (c *urgencyClass[T]) removeIf(abandoned func(T) bool) {
	for i := range c.workspaces {
		c.workspaces[i].items = slices.DeleteFunc(c.workspaces[i].items, abandoned)
	}
	c.workspaces = slices.DeleteFunc(c.workspaces, func(wq workspaceQueue[T]) bool { return len(wq.items) == 0 })
}
