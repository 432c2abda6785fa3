package plan_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/plan"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// TestBuddy guards against a buddy baseline that splits a larger free domain than necessary.
func TestBuddy(t *testing.T) {
	place := func(policy plan.Policy, s workspace.Shape) string {
		busy := jobOf(t, "busy", "x", shapeOf(t, 1, 5, workspace.Anywhere)).
			Reserve(1, []job.Member{job.NewMember(0, "w4", 5)}).Start()
		v := plan.NewView(workersOf(6, 2), []job.Job{busy, jobOf(t, "a", "x", s)}, nil)
		p := requirePlace(t, plan.New(plan.WithPolicy(policy)).Decide(v, startTime), "a")
		require.NotEmpty(t, p.Members())
		return p.Members()[0].Worker()
	}
	t.Run("a worker in use first", func(t *testing.T) {
		assert.Equal(t, "w4", place(plan.Buddy, shapeOf(t, 1, 2, workspace.Anywhere)))
	})
	t.Run("a block of a power of two", func(t *testing.T) {
		assert.Equal(t, "w3", place(plan.Buddy, shapeOf(t, 1, 3, workspace.Anywhere)))
		assert.Equal(t, "w4", place(plan.Direct, shapeOf(t, 1, 3, workspace.Anywhere)))
	})
	t.Run("a rack in use before an idle one", func(t *testing.T) {
		assert.Equal(t, "w3", place(plan.Buddy, shapeOf(t, 2, 8, workspace.SameRack)))
		assert.Equal(t, "w0", place(plan.FirstFit, shapeOf(t, 2, 8, workspace.SameRack)))
	})
}
