package admission_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/admission"
	"rosemarywind.example/rosemarywind/internal/job"
)

// Guards against a workspace or an urgency that starves the others.
func TestQueue(t *testing.T) {
	t.Run("workspaces are served in turn", func(t *testing.T) {
		q := admission.NewQueue[string]()
		for range 100 {
			q.Push("flood", job.Urgent, "flood")
		}
		q.Push("other", job.Urgent, "other")
		assertServed(t, q, "flood", "other", "flood")
	})
	t.Run("every fourth grant goes to a patient request", func(t *testing.T) {
		q := admission.NewQueue[string]()
		for range 100 {
			q.Push("a", job.Urgent, "urgent")
		}
		q.Push("a", job.Patient, "patient")
		assertServed(t, q, "urgent", "urgent", "urgent", "patient", "urgent")
	})
	t.Run("the interval of patient requests can be changed or turned off", func(t *testing.T) {
		for interval, want := range map[int][]string{2: {"urgent", "patient", "urgent"}, 0: {"urgent", "urgent", "urgent"}} {
			q := admission.NewQueue[string]().WithPatientInterval(interval)
			for range 3 {
				q.Push("a", job.Urgent, "urgent")
				q.Push("a", job.Patient, "patient")
			}
			assertServed(t, q, want...)
		}
	})
	t.Run("a workspace at its limit is passed over", func(t *testing.T) {
		q := admission.NewQueue[string]()
		q.Push("full", job.Urgent, "full")
		q.Push("free", job.Patient, "free")
		item, ok := q.Next(func(workspace string) bool { return workspace != "full" })
		assert.True(t, ok)
		assert.Equal(t, "free", item)
		assert.Equal(t, 1, q.Len())
	})
	t.Run("abandoned items are removed", func(t *testing.T) {
		q := admission.NewQueue[string]()
		q.Push("a", job.Urgent, "gone")
		q.Push("a", job.Urgent, "here")
		q.RemoveIf(func(s string) bool { return s == "gone" })
		assertServed(t, q, "here")
		assert.Zero(t, q.Len())
	})
}

func assertServed(t *testing.T, q *admission.Queue[string], want ...string) {
	t.Helper()
	for i, w := range want {
		item, ok := q.Next(func(string) bool { return true })
		assert.True(t, ok)
		assert.Equal(t, w, item, i)
	}
}
