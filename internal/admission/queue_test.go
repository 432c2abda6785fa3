package admission_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/admission"
	"rosemarywind.example/rosemarywind/internal/job"
)

// Guards against a workspace or an urgency that keeps others from being served.
func TestQueue(t *testing.T) {
	t.Run("a long queue of one workspace", func(t *testing.T) {
		q := admission.NewQueue[string]()
		for range 100 {
			q.Push("flood", job.Urgent, "flood")
		}
		q.Push("other", job.Urgent, "other")
		assertServed(t, q, "flood", "other", "flood")
	})
	t.Run("patient among urgent", func(t *testing.T) {
		q := admission.NewQueue[string]()
		for range 100 {
			q.Push("a", job.Urgent, "urgent")
		}
		q.Push("a", job.Patient, "patient")
		assertServed(t, q, "urgent", "urgent", "urgent", "patient", "urgent")
	})
	t.Run("another turn, or none, for patient requests", func(t *testing.T) {
		for turn, want := range map[int][]string{2: {"urgent", "patient", "urgent"}, 0: {"urgent", "urgent", "urgent"}} {
			q := admission.NewQueue[string]().WithPatientTurn(turn)
			for range 3 {
				q.Push("a", job.Urgent, "urgent")
				q.Push("a", job.Patient, "patient")
			}
			assertServed(t, q, want...)
		}
	})
	t.Run("a workspace at its limit", func(t *testing.T) {
		q := admission.NewQueue[string]()
		q.Push("full", job.Urgent, "full")
		q.Push("free", job.Patient, "free")
		item, ok := q.Next(func(workspace string) bool { return workspace != "full" })
		assert.True(t, ok)
		assert.Equal(t, "free", item)
		assert.Equal(t, 1, q.Len())
	})
	t.Run("items that left", func(t *testing.T) {
		q := admission.NewQueue[string]()
		q.Push("a", job.Urgent, "gone")
		q.Push("a", job.Urgent, "here")
		q.Drop(func(s string) bool { return s == "gone" })
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
